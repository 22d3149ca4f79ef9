package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// TestMain fixes the random sequences of the tests. Flags on the command line override
// them.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// tolerance is what the users' platform tolerates.
var tolerance = Tolerance{Window: 4 * time.Second, Factor: 1.5, Slack: 5}

// The delays that the property draws are within what the package states: reports are under
// way for up to maxReportDelay, and requests for up to MaxSendDelay.
const (
	tick           = 20 * time.Millisecond
	maxReportDelay = 400 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	// responseTime is the time from the arrival of a request to its response.
	responseTime = 60 * time.Millisecond
)

// fleet is a simulation of entries before one target that states a limit.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	limit    state.RateLimit // what the target states now
	entries  []*simulatedEntry
	added    int              // entries so far, including those that have left
	inFlight map[int][]func() // reports and responses, by the number of the tick at which they arrive
	sent     []time.Time
	lossy    float64 // share of the reports that are lost
	// highestFill is the highest sum of the rates at which buckets filled, as a share of the
	// rate that the entries share.
	highestFill float64
}

// simulatedEntry is one entry. demand is the requests a second that it would send to the
// target.
type simulatedEntry struct {
	id          state.InstanceID
	ledger      *Ledger
	demand      float64
	nextReport  time.Time
	pausedUntil time.Time
	// excusedUntil is the time until which its requests do not count: it has been
	// restarted or paused, or does not know the limit yet.
	excusedUntil time.Time
	reports      int                      // sent so far
	heard        map[state.InstanceID]int // number of the last report of each other entry
}

func newFleet(seed uint64, entries int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: at(0), inFlight: make(map[int][]func())}
	for range entries {
		f.add(at(-60))
	}
	return f
}

// excuseFrom excuses the entry's requests for as long as the users do after a disturbance
// that ends at a time.
func (e *simulatedEntry) excuseFrom(end time.Time) {
	if until := end.Add(3 * time.Second); until.After(e.excusedUntil) {
		e.excusedUntil = until
	}
}

// add adds an entry that was started at a time.
func (f *fleet) add(startedAt time.Time) *simulatedEntry {
	e := &simulatedEntry{id: state.InstanceID(fmt.Sprintf("e%03d", f.added))}
	f.added++
	f.start(e, startedAt)
	f.entries = append(f.entries, e)
	return e
}

// start gives the entry a new process.
func (f *fleet) start(e *simulatedEntry, startedAt time.Time) {
	e.ledger = New(Config{Self: e.id, StartedAt: startedAt, Tolerance: tolerance})
	e.ledger.SetTargets(map[state.TargetID]bool{"t": true})
	e.nextReport, e.heard = f.now, make(map[state.InstanceID]int)
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.deliver()
		for _, e := range f.entries {
			if f.now.Before(e.pausedUntil) {
				continue
			}
			e.ledger.Update(f.now)
			if !f.now.Before(e.nextReport) {
				f.report(e)
			}
			for n := f.arrivals(e.demand); n > 0; n-- {
				f.send(e)
			}
		}
		f.recordFill()
	}
}

// recordFill records the sum of the rates at which the buckets of entries fill that are not
// excused.
func (f *fleet) recordFill() {
	if !f.limit.Stated {
		return
	}
	sum := 0.0
	for _, e := range f.entries {
		t := e.ledger.targets["t"]
		if t != nil && t.limit.Stated && !t.lends && !f.now.Before(t.fillsFrom) && !f.now.Before(e.excusedUntil) {
			sum += t.part()
		}
	}
	f.highestFill = max(f.highestFill, sum/sharedRate(f.limit.PerSecond))
}

// arrivals draws how many requests come within a tick.
func (f *fleet) arrivals(perSecond float64) int {
	n := 0
	for t := f.random.ExpFloat64(); t < perSecond*tick.Seconds(); t += f.random.ExpFloat64() {
		n++
	}
	return n
}

// tickNumber returns the number of the first tick at t or later.
func tickNumber(t time.Time) int { return int((t.Sub(at(0)) + tick - 1) / tick) }

// deliver runs what arrives now.
func (f *fleet) deliver() {
	n := tickNumber(f.now)
	for _, do := range f.inFlight[n] {
		do()
	}
	delete(f.inFlight, n)
}

// after runs do for the entry after d, or when it runs again.
func (f *fleet) after(d time.Duration, e *simulatedEntry, do func()) {
	due := f.now.Add(d)
	if e.pausedUntil.After(due) {
		due = e.pausedUntil
	}
	n := max(tickNumber(due), tickNumber(f.now)+1)
	f.inFlight[n] = append(f.inFlight[n], do)
}

// report sends the entry's report to all others.
func (f *fleet) report(e *simulatedEntry) {
	e.nextReport = f.now.Add(reportInterval)
	e.reports++
	notes, number := e.ledger.Report(f.now), e.reports
	for _, to := range f.entries {
		if to == e || f.random.Float64() < f.lossy {
			continue
		}
		ledger := to.ledger
		f.after(time.Duration(f.random.Int64N(int64(maxReportDelay))), to, func() {
			// Reports to a process that has been replaced are lost, and late ones are dropped.
			if to.ledger == ledger && number > to.heard[e.id] {
				to.heard[e.id] = number
				ledger.ApplyReport(f.now, e.id, notes)
			}
		})
	}
}

// send sends one request if the entry may. The target responds with what it states when the
// request arrives.
func (f *fleet) send(e *simulatedEntry) {
	if !e.ledger.Allows(f.now, "t", true) {
		return
	}
	e.ledger.Take(f.now, "t")
	sentAt, ledger := f.now, e.ledger
	if e.ledger.Limit("t").Stated && !f.now.Before(e.excusedUntil) {
		f.sent = append(f.sent, f.now.Add(time.Duration(f.random.Int64N(int64(MaxSendDelay)))))
	}
	limit := f.limit
	f.after(responseTime, e, func() {
		if e.ledger == ledger {
			ledger.Observe(f.now, sentAt, "t", limit)
		}
	})
}

// maxInWindow returns the highest number of counted requests within a window that begins
// at from or later and ends before to.
func (f *fleet) maxInWindow(from, to time.Time) int {
	most := 0
	for _, first := range f.sent {
		if first.Before(from) || first.Add(tolerance.Window).After(to) {
			continue
		}
		n := 0
		for _, s := range f.sent {
			if !s.Before(first) && s.Before(first.Add(tolerance.Window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// The sum of what entries send to a target that states a limit, whatever their demand is
// and whoever of them starts, stops, restarts, pauses or is not heard for a while. Guards
// against parts that add up to more than the limit, and sends to more than is tolerated.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	highest := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(3, 60).Draw(rt, "entries"))
		f.lossy = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		limit := rapid.SampledFrom([]float64{0, 0.3, 0.8, 1.7, 4.9, 12, 40}).Draw(rt, "limit")
		busy := rapid.SampledFrom([]float64{0.05, 0.3, 1}).Draw(rt, "busy")
		f.drawDemand(limit, busy)
		f.run(2 * time.Second)
		f.limit = perSecond(limit)
		f.run(2 * time.Second)
		from := f.now
		for range rapid.IntRange(3, 10).Draw(rt, "disturbances") {
			f.disturb(limit, busy)
			f.run(time.Duration(rapid.IntRange(100, 3000).Draw(rt, "pause ms")) * time.Millisecond)
		}
		f.run(6 * time.Second)
		allowed := tolerance.Factor*limit*tolerance.Window.Seconds() + tolerance.Slack
		got := f.maxInWindow(from, f.now)
		highest = max(highest, float64(got)/allowed)
		if f.highestFill > 1.0001 {
			rt.Errorf("%d entries, limit %g: the parts add up to %.2f of it", len(f.entries), limit, f.highestFill)
		}
		if float64(got) > allowed {
			rt.Fatalf("%d entries, limit %g: %d requests in %s, allowed %.1f", len(f.entries), limit, got, tolerance.Window, allowed)
		}
	})
	t.Logf("highest share of what is tolerated: %.2f", highest)
}

// drawDemand gives a share of the entries more demand than the limit, and the others none.
func (f *fleet) drawDemand(limit, busy float64) {
	for _, e := range f.entries {
		e.demand = 0
		if f.random.Float64() < busy {
			e.demand = 5 + 2*limit*f.random.Float64()
		}
	}
}

// disturb draws one change. Requests of entries that are restarted or paused are not
// counted for as long as the users excuse them.
func (f *fleet) disturb(limit, busy float64) {
	e := f.entries[f.random.IntN(len(f.entries))]
	switch f.random.IntN(6) {
	case 0:
		f.drawDemand(limit, busy)
	case 1: // restart
		f.start(e, f.now)
		e.excuseFrom(f.now)
	case 2: // a new entry
		f.add(f.now).excuseFrom(f.now)
	case 3: // pause
		e.pausedUntil = f.now.Add(time.Duration(1+f.random.IntN(6)) * time.Second)
		e.excuseFrom(e.pausedUntil)
	case 4: // many restart at once
		for _, e := range f.entries {
			if f.random.Float64() < 0.6 {
				f.start(e, f.now)
				e.excuseFrom(f.now)
			}
		}
	case 5: // planned stop of one and of its share
		if len(f.entries) > 3 {
			i := f.random.IntN(len(f.entries))
			gone := f.entries[i]
			f.entries = append(f.entries[:i], f.entries[i+1:]...)
			for _, other := range f.entries {
				other.ledger.RemovePeer(gone.id)
			}
		}
	}
}

// Guards against a part of the limit that is left unused because the entries that have it
// are idle or gone, and against a limit that holds on after its end.
func TestLimitIsUsedAndEnds(t *testing.T) {
	for _, entries := range []int{3, 5, 12, 30, 60} {
		for _, limit := range []float64{0.5, 4.9, 40} {
			for _, busy := range []int{1, 2, entries} {
				t.Run(fmt.Sprintf("entries=%d/limit=%g/busy=%d", entries, limit, busy), func(t *testing.T) {
					t.Parallel()
					f := newFleet(1, entries)
					for _, e := range f.entries[:busy] {
						e.demand = 5 + 2*limit
					}
					f.run(time.Second)
					f.limit = perSecond(limit)
					f.run(15 * time.Second)
					f.sent = nil
					const period = 20 * time.Second
					f.run(period)
					if got, want := float64(len(f.sent))/period.Seconds(), 0.7*limit; got < want {
						t.Errorf("%.2f requests a second, want %.2f", got, want)
					}
					f.limit = state.RateLimit{}
					f.run(10 * time.Second)
					for _, e := range f.entries {
						if e.ledger.Limit("t").Stated {
							t.Errorf("%s keeps to the limit 10 s after its end", e.id)
						}
					}
				})
			}
		}
	}
}

// All entries are idle for a while, so that buckets are full, and all become busy at once.
// Guards against so many buckets that one permit of each exceeds what is tolerated.
func TestIdleEntriesBecomeBusy(t *testing.T) {
	for _, entries := range []int{3, 12, 60} {
		for _, limit := range []float64{0, 0.3, 0.9, 4.9, 40} {
			f := newFleet(1, entries)
			f.limit = perSecond(limit)
			for _, e := range f.entries {
				e.ledger.Observe(f.now, f.now, "t", f.limit)
			}
			f.run(20 * time.Second)
			for _, e := range f.entries {
				e.demand = 50
			}
			from := f.now
			f.run(10 * time.Second)
			allowed := tolerance.Factor*limit*tolerance.Window.Seconds() + tolerance.Slack
			if got := f.maxInWindow(from, f.now); float64(got) > allowed {
				t.Errorf("%d entries, limit %g: %d requests in %s, allowed %.1f", entries, limit, got, tolerance.Window, allowed)
			}
		}
	}
}
