package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// subsetSize is the number of targets per service to which an entry keeps
	// sessions. 380 entries with sessions to all of 600 targets would be 228,000
	// sessions; with 16 for each of 4 models a side process has about 41, and an
	// entry's status reports fit its share of 19 KB/s and 2.3% of a core.
	subsetSize = 16
	// affinityCount is the number of targets selected by a prompt's first blocks.
	affinityCount = 2
	// maxOnDemand bounds the sessions to targets outside the subset. An entry that
	// sees many different long prompts would otherwise hold one to every target,
	// at about 200 KB each.
	maxOnDemand = 24
	// affinityBlocks is the number of first blocks that select targets: 512
	// tokens, below which a cached prefix does not repay an extra session.
	affinityBlocks = 512 / blockTokens
)

// rendezvous returns the weight of a target for an entry.
func rendezvous(entry state.InstanceID, target state.TargetID) uint64 {
	d := xxhash.New()
	d.WriteString(string(entry))
	d.Write([]byte{0})
	d.WriteString(string(target))
	return d.Sum64()
}

// prefixWeight returns the weight of a target for a prompt prefix. It does not
// depend on the entry, so all entries prefer the same targets.
func prefixWeight(prefix uint64, target state.TargetID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	d := xxhash.New()
	d.Write(b[:])
	d.WriteString(string(target))
	return d.Sum64()
}

// affinityTargets returns the targets selected by the prompt's first blocks, the
// strongest first; none for a short prompt. Ejected targets keep their place, so
// that entries with different experience still agree on the others.
func affinityTargets(all []*target, blocks []uint64) []*target {
	if len(blocks) < affinityBlocks {
		return nil
	}
	prefix := blocks[affinityBlocks-1]
	var top [affinityCount]*target
	var weights [affinityCount]uint64
	for _, t := range all {
		if t.live.leaving() {
			continue
		}
		w := prefixWeight(prefix, t.id)
		for i := range top {
			if top[i] == nil || w > weights[i] {
				copy(top[i+1:], top[i:])
				copy(weights[i+1:], weights[i:])
				top[i], weights[i] = t, w
				break
			}
		}
	}
	out := make([]*target, 0, affinityCount)
	for _, t := range top {
		if t != nil {
			out = append(out, t)
		}
	}
	return out
}

// subsetMember is a target to which an entry may keep a session.
type subsetMember struct {
	target  state.TargetID
	domain  state.FailureDomain
	ejected bool
}

// subset returns the targets to which entry keeps sessions: the first
// subsetSize by own failure domain and rendezvous weight. Ejected targets do
// not count, so that others replace them, but stay in the subset for probes, up
// to subsetSize of them.
func subset(entry state.InstanceID, domain state.FailureDomain, members []subsetMember) map[state.TargetID]bool {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b subsetMember) int {
		if (a.domain == domain) != (b.domain == domain) {
			if a.domain == domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous(entry, b.target), rendezvous(entry, a.target))
	})
	out := make(map[state.TargetID]bool, subsetSize)
	sound, ejected := 0, 0
	for _, m := range ranked {
		if sound == subsetSize {
			break
		}
		if m.ejected && ejected == subsetSize {
			continue
		}
		if m.ejected {
			ejected++
		} else {
			sound++
		}
		out[m.target] = true
	}
	return out
}
