package dispatch

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// quiet implements Observer.
type quiet struct{}

func (quiet) TargetEjected(state.TargetID, state.Service, Outcome, time.Duration) {}
func (quiet) TargetReturned(state.TargetID, state.Service)                        {}

// load is a simulated day: requests arrive at one or more entries in front of
// engines that admit slots requests at once and queue the rest in order.
type load struct {
	entries int
	engines int
	slots   int
	// slow is how many times slower every third engine is.
	slow float64
	// perSecond is the arrival rate at a time, by rank.
	perSecond func(at time.Duration, rank int) float64
	ranks     int
	length    time.Duration
	// down reports whether an engine is silent at a time.
	down func(at time.Duration, engine int) bool
	// apart keeps entries from hearing each other.
	apart bool
}

// tally is what happened to the requests of one rank.
type tally struct{ asked, onTime, late, refused int }

func (t tally) share() float64 { return float64(t.onTime) / math.Max(1, float64(t.asked)) }

// reportInterval is the time between reports of the entries.
const reportInterval = 40 * time.Millisecond

// onTimeTarget is the share of the users' first letter: 95 in 100 have their first token
// in time.
const onTimeTarget = 0.95

const objective = 400 * time.Millisecond

// engine is a simulated engine.
type engine struct {
	mu      sync.Mutex
	running int
	waiting []chan struct{}
}

type arrival struct {
	at   time.Duration
	rank int
	cost float64
}

type arrivalHeap []arrival

func (h arrivalHeap) Len() int           { return len(h) }
func (h arrivalHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h arrivalHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *arrivalHeap) Push(x any)        { *h = append(*h, x.(arrival)) }
func (h *arrivalHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// arrivalsOf draws the requests of the day: exponential gaps and heavy-tailed
// costs of 15 ms to 100 times that.
func (l load) arrivalsOf(random *rand.Rand) []arrival {
	var h arrivalHeap
	for rank := range l.ranks {
		for at := time.Duration(0); at < l.length; {
			rate := l.perSecond(at, rank)
			if rate <= 0 {
				at += 50 * time.Millisecond
				continue
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			cost := math.Min(1500, 15*math.Pow(1-random.Float64(), -1/1.5))
			heap.Push(&h, arrival{at: at, rank: rank, cost: cost})
		}
	}
	var out []arrival
	for len(h) > 0 {
		out = append(out, heap.Pop(&h).(arrival))
	}
	return out
}

// run plays the day in simulated time.
func (l load) run(t *testing.T, seed uint64) []tally {
	t.Helper()
	tallies := make([]tally, l.ranks)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.Now()
		records, engines := l.targets()
		var schedulers []*Scheduler
		for i := range l.entries {
			s := New("a", seed+uint64(i), time.Now, quiet{})
			s.SetTargets(records)
			schedulers = append(schedulers, s)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go l.exchange(ctx, schedulers)
		var mu sync.Mutex
		var group sync.WaitGroup
		for _, a := range l.arrivalsOf(random) {
			time.Sleep(time.Until(start.Add(a.at)))
			s := schedulers[random.IntN(l.entries)]
			group.Go(func() {
				onTime, err := l.serve(ctx, s, engines, a, start)
				mu.Lock()
				defer mu.Unlock()
				tallies[a.rank].count(onTime, err)
			})
		}
		group.Wait()
		cancel()
		time.Sleep(2 * reportInterval) // the exchange ends
	})
	t.Logf("by rank: %+v", tallies)
	return tallies
}

func (l load) targets() ([]state.TargetRecord, map[state.TargetID]*engine) {
	var records []state.TargetRecord
	engines := make(map[state.TargetID]*engine)
	for i := range l.engines {
		id := state.TargetID(fmt.Sprintf("e%02d", i))
		records = append(records, state.TargetRecord{ID: id, Service: "s", Address: string(id), Domain: "a", Slots: l.slots})
		engines[id] = &engine{}
	}
	return records, engines
}

// Reports to near entries go in each nearRounds-th round where there are more than
// AllEntries, and to all in each farRounds-th.
const nearRounds, farRounds = 3, 25

// exchange carries reports between the entries in rounds of 40 ms.
func (l load) exchange(ctx context.Context, schedulers []*Scheduler) {
	for i, s := range schedulers {
		s.SetPosition(Position{Index: i, Count: l.entries})
	}
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(reportInterval)
		for i, from := range schedulers {
			from.Pump()
			if l.apart || l.entries > AllEntries && (round+i)%nearRounds != 0 {
				continue
			}
			l.report(schedulers, i, (round+i)%farRounds < nearRounds)
		}
	}
}

// report carries the report of entry i to the near entries, and to all if far is
// set.
func (l load) report(schedulers []*Scheduler, i int, far bool) {
	id := state.InstanceID(fmt.Sprint(i))
	toNear, toFar := schedulers[i].Report(false), schedulers[i].Report(true)
	toFar.Lifetime = 3 * farRounds * reportInterval
	for j, to := range schedulers {
		switch near := schedulers[i].position.Near(j); {
		case i == j:
		case near:
			to.SetReport(id, toNear)
		case far:
			to.SetReport(id, toFar)
		}
	}
}

func (t *tally) count(onTime bool, err error) {
	t.asked++
	switch {
	case err != nil:
		t.refused++
	case onTime:
		t.onTime++
	default:
		t.late++
	}
}

// serve sends one request and reports whether its response began on time.
func (l load) serve(ctx context.Context, s *Scheduler, engines map[state.TargetID]*engine, a arrival, start time.Time) (onTime bool, err error) {
	arrived := time.Now()
	r := &Request{
		Service: "s", Rank: a.rank, Cost: a.cost, Prefill: a.cost / 4, Arrived: arrived, Objective: objective,
		Deadline: arrived.Add(8 * time.Second), Repeatable: true,
	}
	limit, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g, err := s.Acquire(limit, r)
	if err != nil {
		return false, err
	}
	index := 0
	if _, err := fmt.Sscanf(string(g.Target.ID), "e%d", &index); err != nil {
		return false, err
	}
	if l.down != nil && l.down(time.Since(start), index) {
		time.Sleep(2 * time.Second) // no response until the caller leaves
		s.Release(g, Silent)
		return false, nil
	}
	first := l.work(s, engines[g.Target.ID], g, index, a.cost)
	return first.Sub(arrived) <= objective, nil
}

// work runs a request at an engine and returns the time of its first response.
func (l load) work(s *Scheduler, e *engine, g *Grant, index int, cost float64) time.Time {
	e.mu.Lock()
	if e.running >= l.slots {
		turn := make(chan struct{})
		e.waiting = append(e.waiting, turn)
		e.mu.Unlock()
		<-turn
	} else {
		e.running++
		e.mu.Unlock()
	}
	factor := 1.0
	if index%3 == 2 {
		factor = l.slow
	}
	// A request shares the engine with the others in its batch.
	whole := time.Duration(cost * 4 * factor * float64(time.Millisecond))
	time.Sleep(whole / 4)
	first := time.Now()
	s.Answered(g)
	time.Sleep(whole - whole/4)
	s.Release(g, Served)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
	} else {
		e.running--
	}
	return first
}

// steady returns the same rate at all times for every rank, times burst from 2 s
// to 5 s.
func steady(rates []float64, burst float64) func(time.Duration, int) float64 {
	return func(at time.Duration, rank int) float64 {
		if at >= 2*time.Second && at < 5*time.Second {
			return rates[rank] * burst
		}
		return rates[rank]
	}
}

// Pattern: a calm day with engines of unlike speed. Guards against sending work to
// slow engines while fast ones are free (grown quiet-1: 7 in 100 late).
func TestCalmDayIsOnTime(t *testing.T) {
	l := load{entries: 4, engines: 9, slots: 8, slow: 8, ranks: 2, length: 8 * time.Second, perSecond: steady([]float64{60, 60}, 1)}
	for rank, got := range l.run(t, 1) {
		if got.refused > 0 {
			t.Errorf("rank %d: %d refused on a calm day", rank, got.refused)
		}
		if got.share() < onTimeTarget {
			t.Errorf("rank %d: %.3f on time, want %g", rank, got.share(), onTimeTarget)
		}
	}
}

// Pattern: a fleet of over a hundred entries, of which each uses a part of the
// engines. Guards against parts that are full while others are free, and against
// reports to all that are too old for placement (sweep to 300 instances).
func TestLargeFleetIsOnTime(t *testing.T) {
	l := load{entries: 120, engines: 150, slots: 8, slow: 3, ranks: 1, length: 4 * time.Second, perSecond: steady([]float64{3000}, 1)}
	got := l.run(t, 5)[0]
	if got.share() < onTimeTarget {
		t.Errorf("%.3f on time (%+v), want %g", got.share(), got, onTimeTarget)
	}
}

// Pattern: a plain service with few instances behind a large fleet, so that far
// entries use the same ones. Guards against entries that send more than the
// instances take, because they see the near entries' requests only.
func TestFewTargetsOfLargeFleet(t *testing.T) {
	l := load{entries: 120, engines: 8, slots: 8, slow: 1, ranks: 1, length: 4 * time.Second, perSecond: steady([]float64{160}, 1)}
	got := l.run(t, 6)[0]
	if got.share() < onTimeTarget {
		t.Errorf("%.3f on time (%+v), want %g", got.share(), got, onTimeTarget)
	}
}

// Pattern: a burst to twice the capacity. Guards against a higher tier that is
// shed before a lower one, or late because of it (guarantee P4).
func TestBurstKeepsTierOrder(t *testing.T) {
	l := load{entries: 4, engines: 9, slots: 8, slow: 4, ranks: 3, length: 8 * time.Second, perSecond: steady([]float64{60, 60, 120}, 4)}
	got := l.run(t, 2)
	for rank := 1; rank < len(got); rank++ {
		higher, lower := got[rank-1], got[rank]
		if float64(higher.refused)/float64(higher.asked) > float64(lower.refused)/float64(lower.asked)+0.05 {
			t.Errorf("rank %d is refused more often (%+v) than rank %d (%+v)", rank-1, higher, rank, lower)
		}
		if higher.share() < lower.share()-0.05 {
			t.Errorf("rank %d is on time less often (%+v) than rank %d (%+v)", rank-1, higher, rank, lower)
		}
	}
	if got[0].share() < onTimeTarget {
		t.Errorf("highest rank: %.3f on time (%+v), want %g: it alone is below the capacity", got[0].share(), got[0], onTimeTarget)
	}
	if got[2].onTime == 0 {
		t.Error("the lowest rank is never served")
	}
	if got[2].late > got[2].refused {
		t.Errorf("lowest rank: more are kept waiting until they are late than refused at once: %+v", got[2])
	}
}

// Pattern: entries that do not hear each other during a burst. Guards against
// each of them filling every engine.
func TestBurstWithoutReports(t *testing.T) {
	l := load{entries: 4, engines: 9, slots: 8, slow: 4, ranks: 3, length: 8 * time.Second, perSecond: steady([]float64{40, 40, 80}, 5), apart: true}
	got := l.run(t, 3)
	if got[0].share() < onTimeTarget {
		t.Errorf("highest rank: %.3f on time (%+v), want %g", got[0].share(), got[0], onTimeTarget)
	}
}

// Pattern: a third of the engines goes silent under load. Guards against sending
// more and more requests to engines that do not answer.
func TestSilentEnginesLoseTheirShare(t *testing.T) {
	l := load{
		entries: 4, engines: 9, slots: 8, slow: 1, ranks: 1, length: 8 * time.Second, perSecond: steady([]float64{200}, 1),
		down: func(at time.Duration, engine int) bool { return engine < 3 && at > 2*time.Second && at < 6*time.Second },
	}
	got := l.run(t, 4)[0]
	if got.share() < onTimeTarget {
		t.Errorf("%.3f on time (%+v), want %g", got.share(), got, onTimeTarget)
	}
}

// Pattern: a wave of callers that were refused and come back. Guards against
// serving them before those that can still be on time.
func TestReturnedRequestsYield(t *testing.T) {
	fresh, returned := &Request{Rank: 1}, &Request{Rank: 1, Returned: true}
	if !before(fresh, 2, returned, 1) || before(returned, 1, fresh, 2) {
		t.Error("a request that is late already goes before one that is not")
	}
	again := &Request{Rank: 3, Again: true}
	if !before(again, 9, fresh, 1) {
		t.Error("a request that was admitted before waits behind new ones")
	}
}
