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
	mu         sync.Mutex
	openProbes map[state.TargetID]int // open probes of ejected targets
}

// request places, sends and ends one request. Before its end it reports load
// figures, a lost session or a leaving target.
func (e *concurrentEntry) request(random *rand.Rand) {
	e.mu.Lock()
	q := e.query(1, 2, uint64(random.IntN(50)))
	attempt := state.AttemptID{Entry: e.cfg.Entry, Session: 1, Seq: e.seq}
	e.mu.Unlock()
	q.Now = time.Now()
	d, ok := e.Place(q)
	if !ok { // restart a target, so that one becomes available
		time.Sleep(time.Second)
		e.SessionOpened(engineID(random.IntN(8)), state.Incarnation(random.Uint64()), nil)
		return
	}
	probe := d.Reason == "probe of an ejected target"
	e.countProbe(d.Target, probe, 1)
	e.AttemptSent(d.Target, attempt, q.Request, q.Blocks)
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	switch random.IntN(40) {
	case 0:
		e.SessionLost(d.Target, nil)
	case 1:
		e.TargetLeaving(engineID(random.IntN(8)))
	default:
		e.FiguresReceived(d.Target, idleFigures(float64(100+random.IntN(900))))
	}
	e.countProbe(d.Target, probe, -1)
	kind := random.IntN(4)
	e.AttemptEnded(d.Target, attempt, Outcome{Complete: kind < 2, NotRun: kind == 2, Unknown: kind == 3})
}

// countProbe adds n to the open probes of target, if the attempt is a probe, and
// fails the test when there are two.
func (e *concurrentEntry) countProbe(target state.TargetID, probe bool, n int) {
	if !probe {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openProbes[target] += n; e.openProbes[target] > 1 {
		e.t.Errorf("%s has two open probes at a time", target)
	}
}

// Guards against data races, counters that do not return to 0, a second probe and
// work for leaving targets when requests and reports are concurrent. TestMain
// makes a violated invariant panic.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &concurrentEntry{rig: startPlacer(t, "entry-0", testMembers(8, 1), nil), openProbes: map[state.TargetID]int{}}
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
			prompt, output := target.shared.tokensAhead(state.MaxTiers - 1)
			if n := target.shared.requests.Load(); n != 0 || prompt != 0 || output != 0 || target.shared.probeState.Load() != 0 {
				t.Errorf("%s: counters hold %d requests, %d prompt and %d output tokens and probe state %d after all attempts ended", id, n, prompt, output, target.shared.probeState.Load())
			}
		}
	})
}
