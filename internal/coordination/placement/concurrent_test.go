package placement

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// concurrentEntry drives one Placer from several goroutines.
type concurrentEntry struct {
	*rig
	mu     sync.Mutex
	probes map[state.TargetID]int // open attempts sent to ejected targets
}

// request places, sends and ends one request, with load reports and failures
// in between.
func (e *concurrentEntry) request(random *rand.Rand) {
	e.mu.Lock()
	q := e.query(1, 2, uint64(random.IntN(50)))
	attempt := state.AttemptID{Entry: e.cfg.Entry, Session: 1, Seq: e.seq}
	e.mu.Unlock()
	q.Now = time.Now()
	d, ok := e.Place(q)
	if !ok { // a target is restarted
		time.Sleep(time.Second)
		e.SessionOpened(engine(random.IntN(8)), state.Incarnation(random.Uint64()), nil)
		return
	}
	probe := d.Reason == "probe of an ejected target"
	e.count(d.Target, probe, 1)
	e.Sent(d.Target, attempt, q.Request, q.Blocks)
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	switch random.IntN(40) {
	case 0:
		e.SessionLost(d.Target, nil)
	case 1:
		e.Leaving(engine(random.IntN(8)))
	default:
		e.Figures(d.Target, idleFigures(float64(100+random.IntN(900))))
	}
	e.count(d.Target, probe, -1)
	kind := random.IntN(4)
	e.Ended(d.Target, attempt, Outcome{Complete: kind < 2, NotRun: kind == 2, Unknown: kind == 3})
}

func (e *concurrentEntry) count(target state.TargetID, probe bool, n int) {
	if !probe {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.probes[target] += n; e.probes[target] > 1 {
		e.t.Errorf("two probes of %s at a time", target)
	}
}

// Guards against data races, counters that drift, a second probe and work for
// leaving targets when many requests and reports cross. TestMain makes a
// violated invariant panic.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &concurrentEntry{rig: start(t, "entry-0", engines(8, 1), nil), probes: map[state.TargetID]int{}}
		var group sync.WaitGroup
		for seed := range uint64(8) {
			group.Go(func() {
				random := rand.New(rand.NewPCG(seed, 1))
				for range 500 {
					e.request(random)
				}
			})
		}
		group.Wait()
		synctest.Wait()
		for id, target := range e.snapshot.Load().targets {
			prompt, output := target.live.ahead(state.MaxTiers - 1)
			if n := target.live.count.Load(); n != 0 || prompt != 0 || output != 0 || target.live.probe.Load() != 0 {
				t.Errorf("%s: %d requests, %d and %d tokens, probe %d left", id, n, prompt, output, target.live.probe.Load())
			}
		}
	})
}
