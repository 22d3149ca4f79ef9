package bundle

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// cluster is a set of stores that read one log, and the operators who publish to it.
type cluster struct {
	t      *testing.T
	rand   *rand.Rand
	log    *logtest.Log
	stores []*Store
	stops  []func()

	mu       sync.Mutex
	accepted map[uint64]state.BundleID // by version, as reported to operators or seen in a store
}

func (c *cluster) restart(i int) {
	c.stops[i]()
	c.stores[i], c.stops[i] = startStoppableStore(c.t, c.log)
}

// publishNext publishes a bundle whose base is in effect in a random store.
func (c *cluster) publishNext(note string) {
	b := c.stores[c.rand.IntN(len(c.stores))].Bundle()
	if b.Version == 0 {
		return
	}
	doc := document(c.t, b.Version+1, ID(b.Document), note)
	go func() {
		if p := publish(c.t, c.log, doc); p.Outcome == OutcomeAccepted {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.accepted[p.Version] = p.ID
		}
	}()
}

// gossip offers the bundle of each store to all stores, as peer sessions do.
func (c *cluster) gossip() {
	for _, from := range c.stores {
		for _, to := range c.stores {
			to.Offer(from.Bundle())
		}
	}
}

// checkAgreement fails the test if two stores have different bundles of one version in
// effect, or another one than an operator was told.
func (c *cluster) checkAgreement() {
	c.t.Helper()
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, s := range c.stores {
		b := s.Bundle()
		if b.Version == 0 {
			continue
		}
		if want, ok := c.accepted[b.Version]; ok && want != ID(b.Document) {
			c.t.Fatalf("store %d has another bundle of version %d in effect than an operator was told or another store had", i, b.Version)
		}
		c.accepted[b.Version] = ID(b.Document)
	}
}

// randomStep publishes, injects or ends a fault, restarts a store or gossips, and then
// waits for a random time.
func (c *cluster) randomStep(n int) {
	switch c.rand.IntN(9) {
	case 0, 1:
		c.publishNext(fmt.Sprint(n, "a"))
		c.publishNext(fmt.Sprint(n, "b"))
	case 2:
		c.log.SetDown(true)
	case 3, 4:
		c.log.SetDown(false)
	case 5:
		c.log.SetDelay(time.Duration(c.rand.IntN(3000)) * time.Millisecond)
	case 6:
		c.log.LoseAcks(c.rand.IntN(3))
		c.log.DropAppends(c.rand.IntN(3))
	case 7:
		c.restart(c.rand.IntN(len(c.stores)))
	case 8:
		c.gossip()
	}
	time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(retention/20)))
	applyRetention(c.t, c.log)
	c.checkAgreement()
}

// Guards against bundles that differ between processes, revert, or do not reach
// every process within 5 s once the log is back, under random faults.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{t: t, rand: rand.New(rand.NewPCG(seed, 0)), log: new(logtest.Log), accepted: make(map[uint64]state.BundleID)}
			mustPublish(t, c.log, 1, "", "")
			for range 4 {
				s, stop := startStoppableStore(t, c.log)
				c.stores, c.stops = append(c.stores, s), append(c.stops, stop)
			}
			for n := range 80 {
				c.randomStep(n)
			}
			c.log.SetDown(false)
			c.log.SetDelay(0)
			c.log.LoseAcks(0)
			c.log.DropAppends(0)
			time.Sleep(5 * time.Second)
			c.gossip()
			time.Sleep(retention / 2) // a checkpoint completes the history of every process
			c.checkAgreement()
			b := c.stores[0].Bundle()
			last := mustPublish(t, c.log, b.Version+1, ID(b.Document), "last")
			time.Sleep(5 * time.Second)
			for _, s := range c.stores {
				wantVersion(t, s, b.Version+1, last)
			}
			t.Logf("seed %d: version %d, %d records", seed, b.Version+1, c.log.Appends())
			for _, stop := range c.stops {
				stop()
			}
		})
	}
}
