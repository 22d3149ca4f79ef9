package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// simTarget is a target with slots and a queue. Its requests take a random time.
type simTarget struct {
	slots       chan struct{}
	slowness    float64   // factor on the time of each request
	pausedUntil time.Time // nothing ends before
	busy        time.Duration
	open        int
}

// simFleet is a number of entries before one service. It records what targets do and how long
// callers wait.
type simFleet struct {
	runningTargets
	mu      sync.Mutex
	random  *rand.Rand
	targets map[string]*simTarget
	ids     []string
	entries []*Service
	cutOff  map[int]bool // entries whose reports, and those to them, are lost
	waits   []time.Duration
	failed  int
	sends   map[state.RequestID]int
	atOnce  map[state.RequestID][]string // targets at which a request runs
	shared  bool                         // some request ran twice at one target at a time
}

const (
	simTime  = 100 * time.Millisecond // of a request of usual size
	simSlots = 4
)

func newSimFleet(seed uint64, entries, targets int, share float64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 7)), targets: make(map[string]*simTarget), cutOff: make(map[int]bool), sends: make(map[state.RequestID]int), atOnce: make(map[state.RequestID][]string)}
	var records []state.TargetRecord
	for i := range targets {
		id := fmt.Sprintf("10.0.0.%d:80", i+1)
		f.ids = append(f.ids, id)
		f.targets[id] = &simTarget{slots: make(chan struct{}, simSlots), slowness: 1}
		records = append(records, state.TargetRecord{ID: state.TargetID(id), Service: "s", Address: id, Slots: simSlots, Domain: state.FailureDomain(fmt.Sprint("d", i%3))})
	}
	for i := range entries {
		s := newSeededService(f, seed*100+uint64(i))
		s.cfg.Scheduler.SetTargets(records)
		s.cfg.RetrySlack = func() float64 { return 0.9 * toleratedSlack / float64(max(8, entries)) }
		s.cfg.HedgingShare = func() float64 { return share }
		s.SetConfiguration(&state.Configuration{Version: 1, Routes: []state.Route{
			simRoute("plain", state.IdempotentRoute, false), simRoute("once", state.NonIdempotentRoute, false),
			simRoute("stream", state.StreamingRoute, false), simRoute("resume", state.StreamingRoute, true),
		}})
		f.entries = append(f.entries, s)
	}
	return f
}

func simRoute(name string, kind state.RouteKind, resumable bool) state.Route {
	return state.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: 2, Timeout: 8 * time.Second,
		Objective: 500 * time.Millisecond, Gap: 400 * time.Millisecond, Split: []state.ServiceWeight{{Service: "s", Weight: 1}},
	}
}

func (f *simFleet) Send(ctx context.Context, fw *Forward) (Exchange, error) {
	id := fw.Target.Address
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends[fw.Call.ID]++
	if slices.Contains(f.atOnce[fw.Call.ID], id) {
		f.shared = true
	}
	f.atOnce[fw.Call.ID] = append(f.atOnce[fw.Call.ID], id)
	t := f.targets[id]
	t.open++
	// Times vary by a factor of up to 1.35 either way, apart from the size of the request.
	takes := time.Duration(float64(simTime) * t.slowness * (1 + float64(fw.Call.PromptTokens)/1000) * (0.74 + 0.61*f.random.Float64()))
	ran := make(chan error, 1)
	go func() { ran <- f.runAt(ctx, t, takes) }()
	x := &simExchange{ran: ran, done: func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.open--
		at := f.atOnce[fw.Call.ID]
		i := slices.Index(at, id)
		f.atOnce[fw.Call.ID] = slices.Delete(at, i, i+1)
	}}
	return x, nil
}

// runAt runs a request in a slot of a target until it ends or is cancelled.
func (f *simFleet) runAt(ctx context.Context, t *simTarget, takes time.Duration) error {
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	began := time.Now()
	defer func() {
		f.mu.Lock()
		t.busy += time.Since(began)
		f.mu.Unlock()
		<-t.slots
	}()
	end := began.Add(takes)
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(end)):
		}
		f.mu.Lock()
		if t.pausedUntil.After(end) {
			end = t.pausedUntil
		}
		f.mu.Unlock()
	}
	return nil
}

// simExchange is a complete response of one event.
type simExchange struct {
	ran  chan error
	done func()
	body io.Reader
}

const simBody = "id: 1\ndata: a\n\n"

func (x *simExchange) Head() (*state.Response, error) {
	if err := <-x.ran; err != nil {
		return nil, err
	}
	x.body = strings.NewReader(simBody)
	return &state.Response{Status: 200, HasSignature: true}, nil
}
func (x *simExchange) Read(p []byte) (int, error) { return x.body.Read(p) }
func (x *simExchange) Close(bool)                 { x.done() }

// simCall is a call of a route that the fleet serves.
func simCall(id int, route string, tokens int) *state.Call {
	return &state.Call{ID: state.RequestID(fmt.Sprint(id)), Host: "h", Path: "/" + route + "/x", HasTokenCounts: tokens > 0, PromptTokens: tokens}
}

// load is what callers send: a number of requests a second, over all entries.
type load struct {
	perSecond float64
	length    time.Duration
	route     string
	tokens    func(n int) int // nil for none
	at        map[time.Duration]func()
}

// play sends a load and waits for all answers.
func (f *simFleet) play(t *testing.T, l load) {
	var wg sync.WaitGroup
	began := time.Now()
	for after, do := range l.at {
		time.AfterFunc(after, func() { f.mu.Lock(); defer f.mu.Unlock(); do() })
	}
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() { f.exchangeReports(ctx) })
	var calls sync.WaitGroup
	first := len(f.sends)
	for n := 0; time.Since(began) < l.length; n++ {
		f.mu.Lock()
		gap, entry := f.random.ExpFloat64(), f.random.IntN(len(f.entries))
		f.mu.Unlock()
		time.Sleep(time.Duration(gap / l.perSecond * float64(time.Second)))
		tokens := 0
		if l.tokens != nil {
			tokens = l.tokens(n)
		}
		calls.Go(func() {
			out, sent := &recordingResponder{}, time.Now()
			f.entries[entry].Serve(ctx, simCall(first+n, l.route, tokens), sent, out)
			f.mu.Lock()
			defer f.mu.Unlock()
			if !out.ended || out.body.String() != simBody {
				f.failed++
				return
			}
			f.waits = append(f.waits, time.Since(sent))
		})
	}
	calls.Wait()
	cancel()
	wg.Wait()
}

// exchangeReports passes the reports of the entries to the others and grants free slots, as the
// process does, until ctx ends.
func (f *simFleet) exchangeReports(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%2 == 0 {
			for i, from := range f.entries {
				report := from.cfg.Scheduler.Report(false)
				for j, to := range f.entries {
					f.mu.Lock()
					lost := f.cutOff[i] || f.cutOff[j]
					f.mu.Unlock()
					if i != j && !lost {
						to.cfg.Scheduler.SetReport(state.InstanceID(fmt.Sprint("e", i)), report)
					}
				}
			}
		}
		for _, e := range f.entries {
			e.cfg.Scheduler.GrantFreeSlots()
		}
		time.Sleep(dispatch.GrantInterval)
	}
}

// quantile returns the time that a share q of the callers did not exceed.
func (f *simFleet) quantile(q float64) time.Duration {
	slices.Sort(f.waits)
	return f.waits[int(q*float64(len(f.waits)-1))]
}

// count returns the sum of a counter over all entries.
func (f *simFleet) count(name string) (sum int64) {
	for _, e := range f.entries {
		e.cfg.Counters.mu.Lock()
		sum += e.cfg.Counters.counts[name]
		e.cfg.Counters.mu.Unlock()
	}
	return sum
}

// checkEnd checks that nothing is left when all callers have their answers.
func (f *simFleet) checkEnd(t *testing.T) {
	t.Helper()
	for id, target := range f.targets {
		if target.open != 0 || len(target.slots) != 0 {
			t.Errorf("%d requests are open at target %s, %d of them run", target.open, id, len(target.slots))
		}
	}
	for i, e := range f.entries {
		if open := e.cfg.Scheduler.Report(false).Open; len(open) > 0 {
			t.Errorf("entry %d holds slots: %v", i, open)
		}
	}
	if f.shared {
		t.Error("a request ran twice at one target at a time")
	}
}

// checkLimit checks that hedges did no more extra work than the limit allows, but for the last
// one of each entry, which may take longer than predicted.
func (f *simFleet) checkLimit(t *testing.T) {
	t.Helper()
	allowed, extra := f.count("hedge_allowed_us.s"), f.count("hedge_extra_us.s")
	t.Logf("hedges: %d sent, %d won, extra work %s of %s allowed, saved %s; p50 %s p95 %s p99 %s of %d; not sent: %v", f.count("hedge_sent.s"), f.count("hedge_won.s"), time.Duration(extra)*time.Microsecond,
		time.Duration(allowed)*time.Microsecond, time.Duration(f.count("hedge_saved_us.s"))*time.Microsecond, f.quantile(0.5), f.quantile(0.95), f.quantile(0.99), len(f.waits), f.notSent())
	if extra > allowed {
		t.Errorf("extra work of %d µs, allowed %d µs", extra, allowed)
	}
}

// notSent returns why hedges were not sent.
func (f *simFleet) notSent() map[string]int64 {
	reasons := make(map[string]int64)
	for _, e := range f.entries {
		for name := range e.cfg.Counters.counts {
			if reason, ok := strings.CutPrefix(name, "hedge_not_sent."); ok {
				reasons[reason] = f.count(name)
			}
		}
	}
	return reasons
}
