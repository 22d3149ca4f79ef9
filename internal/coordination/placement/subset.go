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
	// sessions. 380 entries with sessions to all of 600 targets would have 228,000
	// sessions. With 16 targets for each of 4 models, a side process has about 41
	// sessions, and the status reports to an entry stay within its share of 19 KB/s
	// and 2.3% of a core.
	subsetSize = 16
	// affinityTargetCount is the number of targets that a prompt's first blocks
	// select.
	affinityTargetCount = 2
	// maxOnDemandSessions bounds the sessions to targets outside the subset. Without
	// it, an entry that sees many different long prompts would hold a session to
	// every target, at about 200 KB each.
	maxOnDemandSessions = 24
	// affinityPrefixBlocks is the number of first blocks that select the affinity
	// targets: 512 tokens, since a shorter cached prefix does not save enough to
	// justify an extra session.
	affinityPrefixBlocks = 512 / blockTokens
)

// entryWeight returns the rendezvous weight of a target for an entry.
func entryWeight(entry state.InstanceID, target state.TargetID) uint64 {
	d := xxhash.New()
	d.WriteString(string(entry))
	d.Write([]byte{0})
	d.WriteString(string(target))
	return d.Sum64()
}

// prefixWeight returns the rendezvous weight of a target for a prompt prefix. It
// does not depend on the entry, so all entries prefer the same targets.
func prefixWeight(prefix uint64, target state.TargetID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	d := xxhash.New()
	d.Write(b[:])
	d.WriteString(string(target))
	return d.Sum64()
}

// affinityTargets returns the targets with the highest weights for the prompt's
// first blocks, the highest first, or none for a short prompt. Ejected targets
// are not replaced by others, so that entries that have ejected different targets
// still agree on the rest.
func affinityTargets(all []*target, blocks []uint64) []*target {
	if len(blocks) < affinityPrefixBlocks {
		return nil
	}
	prefix := blocks[affinityPrefixBlocks-1]
	var top [affinityTargetCount]*target
	var weights [affinityTargetCount]uint64
	for _, t := range all {
		if t.shared.isLeaving() {
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
	out := make([]*target, 0, affinityTargetCount)
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

// selectSubset returns the targets to which entry keeps sessions: the first
// subsetSize members that are not ejected, where those in the entry's own failure
// domain come first and then those with higher rendezvous weights. Ejected
// members do not count, so that others replace them, but up to subsetSize of
// those that come before the last one selected stay in the subset for probes.
func selectSubset(entry state.InstanceID, domain state.FailureDomain, members []subsetMember) map[state.TargetID]bool {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b subsetMember) int {
		if (a.domain == domain) != (b.domain == domain) {
			if a.domain == domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(entryWeight(entry, b.target), entryWeight(entry, a.target))
	})
	out := make(map[state.TargetID]bool, subsetSize)
	healthy, ejected := 0, 0
	for _, m := range ranked {
		if healthy == subsetSize {
			break
		}
		if m.ejected && ejected == subsetSize {
			continue
		}
		if m.ejected {
			ejected++
		} else {
			healthy++
		}
		out[m.target] = true
	}
	return out
}
