package placement

import (
	"testing"
	"testing/synctest"
)

// Guards against an entry that opens a session to every target because its long
// prompts are all different.
func TestSessionsOnDemandAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := start(t, "entry-0", engines(200, 1), c)
		for id := range c.connected {
			r.SessionOpened(id, 1, nil)
		}
		synctest.Wait()
		subset := len(c.connected)
		for prompt := range uint64(500) {
			blocks := make([]uint64, affinityBlocks)
			for i := range blocks {
				blocks[i] = prompt<<8 + uint64(i)
			}
			d, ok := r.Place(r.query(blocks...))
			if !ok {
				t.Fatalf("prompt %d not placed: %s", prompt, d.Reason)
			}
			synctest.Wait()
			for id, asked := range c.connected {
				if asked > 0 && !r.snapshot.Load().targets[id].connected {
					r.SessionOpened(id, 1, nil)
				}
			}
			synctest.Wait()
			if n := len(c.connected) - subset; n > maxOnDemand+affinityCount {
				t.Fatalf("%d sessions outside the subset, want at most %d", n, maxOnDemand+affinityCount)
			}
			if !r.snapshot.Load().targets[d.Target].connected {
				t.Fatalf("prompt %d placed on %s, which may have no session", prompt, d.Target)
			}
		}
		if n := len(c.connected) - subset; n < maxOnDemand {
			t.Errorf("%d sessions outside the subset, want at least %d", n, maxOnDemand)
		}
		// Closed sessions make room for others.
		before := len(c.connected)
		for id, target := range r.snapshot.Load().targets {
			if !target.subset {
				r.SessionClosed(id)
			}
		}
		synctest.Wait()
		for prompt := range uint64(20) {
			blocks := make([]uint64, affinityBlocks)
			blocks[affinityBlocks-1] = prompt<<32 + 1
			r.Place(r.query(blocks...))
		}
		synctest.Wait()
		if len(c.connected) == before {
			t.Error("no session was asked for after others had been closed")
		}
	})
}
