package placement

import (
	"testing"
	"testing/synctest"
)

// Guards against sessions to every target: each long prompt selects affinity
// targets by its first blocks, so many different prompts select all targets.
func TestSessionsOnDemandAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := startPlacer(t, "entry-0", testMembers(200, 1), c)
		for id := range c.connectCalls {
			r.SessionOpened(id, 1, nil)
		}
		synctest.Wait()
		subsetSessions := len(c.connectCalls)
		for prompt := range uint64(500) {
			blocks := make([]uint64, affinityPrefixBlocks)
			for i := range blocks {
				blocks[i] = prompt<<8 + uint64(i)
			}
			d, ok := r.Place(r.query(blocks...))
			if !ok {
				t.Fatalf("prompt %d not placed: %s", prompt, d.Reason)
			}
			synctest.Wait()
			for id, calls := range c.connectCalls {
				if calls > 0 && !r.snapshot.Load().targets[id].connected {
					r.SessionOpened(id, 1, nil)
				}
			}
			synctest.Wait()
			if n := len(c.connectCalls) - subsetSessions; n > maxOnDemandSessions+affinityTargetCount {
				t.Fatalf("%d sessions asked for outside the subset, want at most %d", n, maxOnDemandSessions+affinityTargetCount)
			}
			if !r.snapshot.Load().targets[d.Target].connected {
				t.Fatalf("prompt %d placed on %s, which has no session", prompt, d.Target)
			}
		}
		if n := len(c.connectCalls) - subsetSessions; n < maxOnDemandSessions {
			t.Errorf("%d sessions asked for outside the subset, want at least %d", n, maxOnDemandSessions)
		}
		// Sessions that are closed make room for others.
		before := len(c.connectCalls)
		for id, target := range r.snapshot.Load().targets {
			if !target.inSubset {
				r.SessionClosed(id)
			}
		}
		synctest.Wait()
		for prompt := range uint64(20) {
			blocks := make([]uint64, affinityPrefixBlocks)
			blocks[affinityPrefixBlocks-1] = prompt<<32 + 1
			r.Place(r.query(blocks...))
		}
		synctest.Wait()
		if len(c.connectCalls) == before {
			t.Error("no session was asked for after the on-demand sessions had been closed")
		}
	})
}
