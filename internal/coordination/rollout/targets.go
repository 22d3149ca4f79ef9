package rollout

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// trialLoad is the load of a trial target relative to the usual load of an old target that
	// the choice of the trial targets aims at, to find versions that are bad only under load.
	trialLoad = 1.3
	// rotations is the number of sets of trial targets within the time of an order.
	rotations                = 6
	minRotation, maxRotation = 2 * time.Second, 4 * time.Second
	// manyPermits is the number of saved permits from which they are used twice as fast, as
	// at the start, when an entry has its part of the slack.
	manyPermits = 3
	// burstCycle is the time in which permits are saved up and then used, where the share of the
	// requests is too small to load one target as usual.
	burstCycle = 2500 * time.Millisecond
	// slowTargetFactor is the largest ratio of the speeds of targets of a service.
	slowTargetFactor = 4.4
)

// targets are the listed targets of a service.
type targets struct {
	versions map[state.SoftwareVersion]int // listed targets that do not drain
	fresh    []state.TargetRecord          // of the new version, those that do not drain
	all      []state.TargetRecord
	oldSlots int
	emptyAt  time.Time // since when no new target is listed, or zero
}

// setTargets takes the targets of the service.
func (s *service) setTargets(now time.Time, records []state.TargetRecord) {
	s.targets.all = slices.Clone(records)
	s.targets.choose(s.plan)
	switch {
	case len(s.targets.fresh) > 0:
		s.targets.emptyAt = time.Time{}
	case s.targets.emptyAt.IsZero():
		s.targets.emptyAt = now
	}
	if s.plan.Number > 0 && !s.plan.Phase.Terminal() {
		s.plan.From = s.targets.replaced(s.plan.Order.To, s.plan.From)
	}
}

// choose sorts the targets into those of the new and those of the old versions.
func (t *targets) choose(p Plan) {
	t.versions, t.fresh, t.oldSlots = make(map[state.SoftwareVersion]int), nil, 0
	for _, r := range t.all {
		if r.Draining {
			continue
		}
		t.versions[r.Software]++
		if p.Number > 0 && r.Software == p.Order.To {
			t.fresh = append(t.fresh, r)
		} else {
			t.oldSlots += max(1, r.Slots)
		}
	}
	rank := func(r state.TargetRecord) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(r.ID), p.Number))
	}
	slices.SortFunc(t.fresh, func(a, b state.TargetRecord) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
	})
}

// replaced returns from with the listed versions other than to added.
func (t *targets) replaced(to state.SoftwareVersion, from []state.SoftwareVersion) []state.SoftwareVersion {
	from = slices.Clone(from)
	for _, r := range t.all {
		if r.Software != to && !slices.Contains(from, r.Software) {
			from = append(from, r.Software)
		}
	}
	slices.Sort(from)
	return from
}

// onlyNewListed reports whether no target of another than the new version is listed.
func (s *service) onlyNewListed() bool {
	return len(s.targets.versions) == 1 && len(s.targets.fresh) > 0
}

// mostFrequent returns the version that most targets have, the lowest one of several.
func (t *targets) mostFrequent() state.SoftwareVersion {
	var best state.SoftwareVersion
	count := 0
	for v, n := range t.versions {
		if n > count || n == count && v < best {
			best, count = v, n
		}
	}
	return best
}

// perTarget returns the load of one new target, relative to the usual load of an old
// target, that all requests of the service together would be.
func (t *targets) perTarget() float64 {
	return max(1, float64(t.oldSlots)/float64(max(1, t.fresh[0].Slots)))
}

// trial returns the new targets that are tried at a time since the start of the order,
// which all entries know about equally. Some of them come again and again, so that a version
// that turns bad later is seen at a target that was good before.
func (t *targets) trial(elapsed, duration time.Duration, share float64) []state.TargetID {
	n := len(t.fresh)
	if n == 0 {
		return nil
	}
	k := min(n, max(1, int(share*t.perTarget()/trialLoad)))
	turn := int(max(0, elapsed) / min(maxRotation, max(minRotation, duration/rotations)))
	ids := make([]state.TargetID, 0, k)
	if k == 1 {
		if turn%2 == 0 {
			turn = turn / 2 % 2 // the first two in turn, between the others
		}
		return append(ids, t.fresh[turn%n].ID)
	}
	ids = append(ids, t.fresh[0].ID)
	for i := range k - 1 {
		ids = append(ids, t.fresh[1+(turn*(k-1)+i)%(n-1)].ID)
	}
	return ids
}

// pace returns the largest part of the requests that is sent to the new version now. It
// keeps the trial targets at trialLoad. Where the share is too small for that, permits are
// saved up for a part of each burstCycle.
func (t *targets) pace(elapsed time.Duration, share, credit float64, trial int) float64 {
	most := trialLoad * float64(trial) / t.perTarget()
	if credit > manyPermits {
		most *= 2
	}
	most = min(0.5, most)
	on := min(1, share/most)
	position := math.Mod(max(0, elapsed.Seconds()), burstCycle.Seconds()) / burstCycle.Seconds()
	if elapsed > burstCycle && position > 1.1*on && on < 1 {
		return 0
	}
	return most
}
