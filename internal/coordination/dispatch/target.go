package dispatch

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// failingAverageWeight is the weight of one request in the moving average of
	// failures.
	failingAverageWeight = 0.12
	// An ejected target is probed after initialBackoff. The backoff doubles with each
	// failed probe, up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// goneBackoff is how long a target is ejected when another one has its address.
	// The record of the ejected target expires after three heartbeats.
	goneBackoff = 10 * time.Second
	// repeatableProbeWait is how long only repeatable requests may probe an ejected
	// target. After that any request may, because a service may have no repeatable ones.
	repeatableProbeWait = time.Second
	// ejectAfterFailures is the number of consecutive failures to answer that eject a
	// target.
	ejectAfterFailures = 2
	// A request that has had no response for silentObjectiveFactor times its objective
	// keeps new requests from its target. minSilentTime is the least time, so that
	// short objectives do not do so too early.
	silentObjectiveFactor = 2
	minSilentTime         = 300 * time.Millisecond
	// rejectionPause is how long a target gets no requests after it has rejected one as
	// full.
	rejectionPause = 50 * time.Millisecond
	// breakMemory is how long a sign that the process of a target may have ended counts. The record of
	// the next one comes within about a second, or some seconds if it is late. A target that lives on
	// gets fewer resumptions for that time.
	breakMemory = 5 * time.Second
)

// target holds the record of a target, its load and its health as seen by this entry.
type target struct {
	record state.TargetRecord
	// listedAt is when the record was new or changed here, and lastBreakAt when a request last showed that
	// the process of the target may have ended: no connection could be opened, or a response was broken
	// off. It is zero if none has since the target was listed.
	listedAt, lastBreakAt time.Time
	// leavesSince is since when the list of targets says that it leaves, or lacks it; zero if it does not.
	leavesSince  time.Time
	stated       *statement // by this run of the target
	hash         uint64
	openGrants   map[*Grant]struct{} // granted by this entry and not released
	cost         costmodel.Target
	pace         targetPace
	failingShare float64 // moving average of the share of requests that failed
	// consecutiveFailures counts the failures to answer since the last response.
	consecutiveFailures int
	backoff             time.Duration // doubles with each failed probe, 0 after a response
	// ejectedUntil is when the target may be probed; zero if it is not ejected.
	ejectedUntil time.Time
	pausedUntil  time.Time // the target gets no requests before
	// released is when this entry released slots that it has not taken again, as far as
	// hasReleased needs it.
	released []time.Time
	// openElsewhere is the number of requests that other entries report to have open
	// at the target, and pendingElsewhere the prompt tokens of those that have no
	// response yet.
	openElsewhere    int
	pendingElsewhere int
}

func newTarget(r state.TargetRecord, stated *statement) *target {
	return &target{record: r, stated: stated, hash: hashTargetID(r.ID), openGrants: make(map[*Grant]struct{})}
}

// outstanding returns the number of open requests of all entries at the target. It
// may exceed the number of slots.
func (t *target) outstanding() int { return len(t.openGrants) + t.openElsewhere }

// maxReservedShare is the largest share of a target's slots that a request leaves to
// higher ranks.
const maxReservedShare = 0.25

// requestLimit returns how many open requests the target may have when reserved slots
// are left to higher ranks, as far as maxReservedShare allows.
func (t *target) requestLimit(reserved int) int {
	return t.record.Slots - min(reserved, int(maxReservedShare*float64(t.record.Slots)))
}

// pendingTokens returns the prompt tokens of the open requests of this entry that have
// no response yet.
func (t *target) pendingTokens() float64 {
	sum := 0.0
	for g := range t.openGrants {
		if g.respondedAt.IsZero() {
			sum += g.request.Work.PromptTokens
		}
	}
	return sum
}

// load returns the load that all entries put on the target.
func (t *target) load() costmodel.Load {
	return costmodel.Load{
		PendingTokens: t.pendingTokens() + float64(t.pendingElsewhere), Open: t.outstanding(), Slots: t.record.Slots,
	}
}

// hasSilentRequest reports whether an open request of this entry has waited for its
// response much longer than its objective, so that new ones are better sent elsewhere.
func (t *target) hasSilentRequest(now time.Time) bool {
	for g := range t.openGrants {
		limit := max(minSilentTime, silentObjectiveFactor*g.request.Objective)
		if g.respondedAt.IsZero() && now.Sub(g.grantedAt) > limit {
			return true
		}
	}
	return false
}

// allows reports whether r may be sent to the target, now or later.
func (t *target) allows(r *Request) bool { return !t.stated.leaving() && r.allows(&t.record) }

// eligible reports whether the target may take r, apart from its load and from what it has
// stated. An ejected target takes one request at a time, as a probe, once its backoff is over.
func (t *target) eligible(now time.Time, r *Request) bool {
	if !t.allows(r) || now.Before(t.pausedUntil) {
		return false
	}
	if !t.ejectedUntil.IsZero() {
		return !now.Before(t.ejectedUntil) && len(t.openGrants) == 0
	}
	return !t.hasSilentRequest(now)
}

// eject ejects the target for the next backoff.
func (t *target) eject(now time.Time) {
	if t.backoff == 0 {
		t.backoff = initialBackoff
	} else {
		t.backoff = min(maxBackoff, 2*t.backoff)
	}
	t.ejectedUntil = now.Add(t.backoff)
}

// recordOutcome updates the health of the target with how a request ended. It
// reports whether this ejected the target or ended its ejection.
func (t *target) recordOutcome(now time.Time, g *Grant, o Outcome) (ejected, returned bool) {
	if o == Unreachable || o == Broken {
		t.lastBreakAt = now
	}
	switch o {
	case Served:
		t.failingShare -= failingAverageWeight * t.failingShare
	case Failed:
		t.failingShare += failingAverageWeight * (1 - t.failingShare)
	case Rejected:
		t.pausedUntil = now.Add(rejectionPause)
		return false, false
	case Gone:
		// The platform's list will show the replacement. A target that restarts under
		// this ID gets a new state in SetTargets.
		ejected = t.ejectedUntil.IsZero()
		t.ejectedUntil = now.Add(goneBackoff)
		return ejected, false
	case Unreachable, Broken, Silent:
		t.failingShare += failingAverageWeight * (1 - t.failingShare)
		t.consecutiveFailures++
		if o == Unreachable || t.consecutiveFailures >= ejectAfterFailures || !t.ejectedUntil.IsZero() {
			ejected = t.ejectedUntil.IsZero()
			t.eject(now)
		}
		return ejected, false
	case Cancelled, Unused:
		return false, false
	}
	returned = !t.ejectedUntil.IsZero()
	t.consecutiveFailures, t.backoff, t.ejectedUntil = 0, 0, time.Time{}
	return false, returned
}

// mayHaveEnded reports whether the process of the target may have ended since its record was read, so that
// another one may have its identifier.
func (t *target) mayHaveEnded(now time.Time) bool {
	return !t.lastBreakAt.IsZero() && now.Sub(t.lastBreakAt) < breakMemory
}

// setLeaves records whether the list of targets says at now that the target leaves, or lacks it.
func (t *target) setLeaves(now time.Time, leaves bool) {
	switch {
	case !leaves:
		t.leavesSince = time.Time{}
	case t.leavesSince.IsZero():
		t.leavesSince = now
	}
}
