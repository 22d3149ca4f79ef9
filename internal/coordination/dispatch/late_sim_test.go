package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// streamKind is a kind of requests for streams of the simulation. Its index is its rank.
type streamKind struct {
	name               string
	perSecond          float64
	objective, timeout time.Duration
	patience           time.Duration // time after which a caller leaves if there is no event
	events, prompt     lognormal
}

// lognormal draws heavy-tailed sizes.
type lognormal struct{ mean, spread, limit float64 }

func (d lognormal) draw(random *rand.Rand) int {
	v := d.mean * math.Exp(d.spread*random.NormFloat64()-d.spread*d.spread/2)
	return int(max(1, math.Round(min(v, d.limit))))
}

// unevenKinds returns three kinds with prompts up to 14 times and outputs up to 10 times the mean,
// at a third of the given rate (per second) each on average.
func unevenKinds(rate float64) []streamKind {
	return []streamKind{
		{"short", 0.25 * rate, ms(800), ms(8000), ms(3200), lognormal{23.9, 1.5, 240}, lognormal{3720, 1.1, 53200}},
		{"tight", 0.32 * rate, ms(1200), ms(5000), ms(4800), lognormal{10.4, 1.5, 100}, lognormal{2890, 1, 39600}},
		{"long", 0.43 * rate, ms(1500), ms(10000), ms(6000), lognormal{34.5, 1.5, 340}, lognormal{1110, 1, 3790}},
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// streamSimulation simulates streams from engines that run up to slots requests at once, read
// prompts one after the other, and produce events the slower the more requests run and while a
// prompt is read.
type streamSimulation struct {
	entries, engines, slots int
	slowFactor              float64 // how many times slower every third engine is
	kinds                   []streamKind
	duration                time.Duration
	burst                   func(at time.Duration, rank int) float64 // factor of the arrival rate; nil for none
	// hint returns the output that a caller states for a response of so many events; nil if it
	// states that and an error of up to a third.
	hint      func(random *rand.Rand, events int) int
	admission state.AdmissionPolicy
	tallyFrom time.Duration
}

// streamTally counts the requests of one rank by how they ended, and the slot time that they
// used.
type streamTally struct {
	asked, onTime, late, cut, refused int
	slotTime, wasted                  time.Duration
}

func (t streamTally) onTimeShare() float64 { return float64(t.onTime) / float64(max(1, t.asked)) }

func (t streamTally) refusedShare() float64 { return float64(t.refused) / float64(max(1, t.asked)) }

func (t streamTally) String() string {
	n := float64(max(1, t.asked)) / 100
	return fmt.Sprintf("%d asked: %.1f%% on time, %.1f%% late, %.1f%% cut, %.1f%% refused; slots %.1fs, in vain %.1fs", t.asked,
		float64(t.onTime)/n, float64(t.late)/n, float64(t.cut)/n, float64(t.refused)/n, t.slotTime.Seconds(), t.wasted.Seconds())
}

// streamEngine is an engine of the simulation.
type streamEngine struct {
	simulatedEngine
	slow    float64
	reading time.Time // prompts are read until then
}

// Times of an engine of usual speed, as in internal/faultsoak.
const (
	firstEventTime  = 26 * time.Millisecond
	stepTime        = 17750 * time.Microsecond
	stepPerRequest  = 231 * time.Microsecond
	promptTokenTime = time.Millisecond / 157
	readingSlows    = 4.7
)

// errCut says that a request was cut off while it was at an engine.
var errCut = fmt.Errorf("cut off")

// enter waits for a slot.
func (e *streamEngine) enter(ctx context.Context, slots int) error {
	e.mu.Lock()
	if e.running < slots {
		e.running++
		e.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == turn {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return errCut
		}
	}
	e.leaveLocked() // the slot was granted meanwhile
	return errCut
}

func (e *streamEngine) leaveLocked() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0])
	e.waiting = e.waiting[1:]
}

// readPrompt returns the time until a prompt is read.
func (e *streamEngine) readPrompt(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); e.reading.Before(now) {
		e.reading = now
	}
	e.reading = e.reading.Add(time.Duration(float64(tokens) * e.slow * float64(promptTokenTime)))
	return time.Until(e.reading)
}

// step returns the time until the next event of a stream.
func (e *streamEngine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.slow * float64(stepTime+time.Duration(e.running)*stepPerRequest)
	if time.Now().Before(e.reading) {
		step *= readingSlows
	}
	return time.Duration(step)
}

// sleep waits for d, or fails when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errCut
	}
}

// stream is a request of the simulation.
type stream struct {
	at                   time.Duration
	rank                 int
	prompt, events, hint int
}

func (sim streamSimulation) draw(random *rand.Rand) []stream {
	var out []stream
	next := make([]time.Duration, len(sim.kinds))
	for {
		rank := 0
		for i := range next {
			if next[i] < next[rank] {
				rank = i
			}
		}
		k, at := sim.kinds[rank], next[rank]
		if at >= sim.duration {
			return out
		}
		rate := k.perSecond
		if sim.burst != nil {
			rate *= sim.burst(at, rank)
		}
		next[rank] += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		s := stream{at: at, rank: rank, prompt: k.prompt.draw(random), events: k.events.draw(random)}
		if sim.hint != nil {
			s.hint = sim.hint(random, s.events)
		} else {
			s.hint = max(1, int(float64(s.events)*(0.67+0.66*random.Float64())))
		}
		out = append(out, s)
	}
}

// run returns the tallies by rank and the table of the predictions of all entries.
func (sim streamSimulation) run(t *testing.T, seed uint64) ([]streamTally, []state.CalibrationRow) {
	t.Helper()
	tallies := make([]streamTally, len(sim.kinds))
	var table []state.CalibrationRow
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.Now()
		exchange := simulation{entries: sim.entries, engines: sim.engines, slots: sim.slots}
		records, _ := exchange.targets()
		engines := make(map[state.TargetID]*streamEngine)
		for i, r := range records {
			engines[r.ID] = &streamEngine{slow: 1}
			if i%3 == 2 {
				engines[r.ID].slow = sim.slowFactor
			}
		}
		var schedulers []*Scheduler
		for i := range sim.entries {
			s := New("a", seed+uint64(i), time.Now, noObserver{}, newTestLimits(state.InstanceID(fmt.Sprint(i)), start))
			policies, err := NewPolicies(sim.admission, BuiltInPolicies(), []state.PolicyShare{{Policy: PolicyPredictedDelay, Share: 1}})
			if err != nil {
				t.Fatal(err)
			}
			s.SetPolicies(policies)
			s.SetTargets(records)
			schedulers = append(schedulers, s)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go exchange.exchangeReports(ctx, schedulers)
		var mu sync.Mutex
		var group sync.WaitGroup
		for _, a := range sim.draw(random) {
			time.Sleep(time.Until(start.Add(a.at)))
			s := schedulers[random.IntN(sim.entries)]
			group.Go(func() {
				one := streamTally{asked: 1}
				sim.serveCaller(ctx, s, engines, a, &one)
				mu.Lock()
				defer mu.Unlock()
				if a.at >= sim.tallyFrom {
					tallies[a.rank].add(one)
				}
			})
		}
		group.Wait()
		cancel()
		time.Sleep(2 * reportInterval) // the exchange ends
		table = mergeCalibration(schedulers)
	})
	for rank, tally := range tallies {
		t.Logf("rank %d: %v", rank, tally)
	}
	return tallies, table
}

func (t *streamTally) add(o streamTally) {
	t.asked += o.asked
	t.onTime += o.onTime
	t.late += o.late
	t.cut += o.cut
	t.refused += o.refused
	t.slotTime += o.slotTime
	t.wasted += o.wasted
}

// maxReturns is how often a refused caller comes back.
const maxReturns = 2

// serveCaller sends a request, and again after the time that a refusal states while the caller
// has time left.
func (sim streamSimulation) serveCaller(ctx context.Context, s *Scheduler, engines map[state.TargetID]*streamEngine, a stream, tally *streamTally) {
	arrived := time.Now()
	for n := 0; ; n++ {
		retryAfter, err := sim.serveOnce(ctx, s, engines, a, arrived, tally)
		if err == nil {
			return
		}
		left := time.Until(arrived.Add(sim.kinds[a.rank].timeout))
		if n == maxReturns || min(retryAfter, left*3/10) <= 0 {
			tally.refused++
			return
		}
		time.Sleep(min(retryAfter, left*3/10))
	}
}

// serveOnce sends a request once. It returns an error if it did not run.
func (sim streamSimulation) serveOnce(ctx context.Context, s *Scheduler, engines map[state.TargetID]*streamEngine, a stream, arrived time.Time, tally *streamTally) (time.Duration, error) {
	k := sim.kinds[a.rank]
	work := costmodel.Work{PromptTokens: float64(a.prompt), OutputTokens: float64(a.hint)}
	r := &Request{
		Service: "s", Route: k.name, Rank: a.rank, Work: work, LargestWork: work, Arrived: arrived, Objective: k.objective,
		Deadline: arrived.Add(k.timeout), CallerLeaves: time.Now().Add(k.patience), Repeatable: true,
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g, err := s.Acquire(ctx, r)
	if refusal, ok := err.(*Refusal); ok {
		return refusal.RetryAfter, err
	}
	if err != nil {
		return 0, err
	}
	first, err := sim.execute(ctx, s, engines[g.Target.ID], g, a, tally)
	switch {
	case err != nil:
		tally.cut++
		s.Release(g, Silent)
	case first.Sub(arrived) <= k.objective:
		tally.onTime++
		s.Release(g, Served)
	default:
		tally.late++
		s.Release(g, Served)
	}
	return 0, nil
}

// execute runs a request at an engine and returns when its first event came.
func (sim streamSimulation) execute(ctx context.Context, s *Scheduler, e *streamEngine, g *Grant, a stream, tally *streamTally) (first time.Time, err error) {
	if err := e.enter(ctx, sim.slots); err != nil {
		return first, err
	}
	entered := time.Now()
	defer func() {
		used := time.Since(entered)
		tally.slotTime += used
		if err != nil {
			tally.wasted += used
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.leaveLocked()
	}()
	unlessLeft, cancel := context.WithDeadline(ctx, g.request.CallerLeaves)
	defer cancel()
	if err := sleep(unlessLeft, time.Duration(e.slow*float64(firstEventTime))+e.readPrompt(a.prompt)); err != nil {
		return first, err
	}
	first = time.Now()
	s.ResponseStarted(g)
	for g.Events = 1; g.Events < a.events; g.Events++ {
		if err := sleep(ctx, e.step()); err != nil {
			return first, err
		}
	}
	return first, nil
}

// mergeCalibration adds up the tables of several entries.
func mergeCalibration(schedulers []*Scheduler) []state.CalibrationRow {
	sum := calibration{}
	for _, s := range schedulers {
		for key, tally := range s.calibration {
			row := sum.row(key)
			row.start.Add(tally.start)
			row.end.Add(tally.end)
			row.cut += tally.cut
		}
	}
	return (&Scheduler{calibration: sum}).Calibration()
}
