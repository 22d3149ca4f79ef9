package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// What the users tolerate of repeated sends to a service within toleratedWindow, over all
// entries: toleratedRatio for each request and toleratedSlack more. The requests are those
// of the window, of the one before it or of the one half a window before it, whichever has
// most.
const (
	toleratedRatio  = 0.2
	toleratedSlack  = 56
	toleratedWindow = 10 * time.Second
)

// faultyTargets fail all requests in one way at a time. They record what arrives.
type faultyTargets struct {
	runningTargets
	mu       sync.Mutex
	random   *rand.Rand
	fault    behaviour
	arrived  map[state.RequestID]bool
	repeats  []time.Time // arrivals beyond the first of their request
	requests []time.Time // when callers sent them
}

func (f *faultyTargets) Send(ctx context.Context, fw *Forward) (Exchange, error) {
	f.mu.Lock()
	fault, delay := f.fault, time.Duration(f.random.Int64N(int64(100*time.Millisecond)))
	ex, err := fault(ctx, fw)
	if err == nil {
		if f.arrived[fw.Call.ID] {
			f.repeats = append(f.repeats, time.Now())
		}
		f.arrived[fw.Call.ID] = true
	}
	f.mu.Unlock()
	time.Sleep(delay)
	return ex, err
}

// retryFleet is a number of entries before one service, under a load of 140 requests a
// second.
type retryFleet struct {
	*faultyTargets
	entries []*Service
	cancel  []context.CancelFunc
	ctx     []context.Context
}

const fleetRequestInterval = time.Second / 140

func newRetryFleet(t *testing.T, seed uint64, entries int) *retryFleet {
	f := &retryFleet{
		faultyTargets: &faultyTargets{random: rand.New(rand.NewPCG(seed, 2)), fault: respondWith(200, "ok"), arrived: make(map[state.RequestID]bool)},
		entries:       make([]*Service, entries), cancel: make([]context.CancelFunc, entries), ctx: make([]context.Context, entries),
	}
	for i := range entries {
		f.start(t, i)
	}
	return f
}

// start starts the process of an entry, or replaces it, which cuts off its requests.
func (f *retryFleet) start(t *testing.T, i int) {
	s := newSeededService(f.faultyTargets, uint64(i))
	if f.cancel[i] != nil {
		f.cancel[i]()
		s.cfg.RetrySlackFrom = time.Now().Add(toleratedWindow)
	}
	// As in the daemon: most of the slack, divided among the entries.
	s.cfg.RetrySlack = func() float64 { return 0.9 * toleratedSlack / float64(max(8, len(f.entries))) }
	s.SetConfiguration(&state.Configuration{Version: 1, Routes: []state.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: state.IdempotentRoute, MaxAttempts: 4, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond,
		Split: []state.ServiceWeight{{Service: "s", Weight: 1}},
	}}})
	var targets []state.TargetRecord
	for n := range 12 {
		id := fmt.Sprintf("t%d", n)
		targets = append(targets, state.TargetRecord{ID: state.TargetID(id), Service: "s", Address: id, Slots: 12})
	}
	s.cfg.Scheduler.SetTargets(targets)
	f.entries[i] = s
	f.ctx[i], f.cancel[i] = context.WithCancel(t.Context())
}

// run sends requests for a minute, in which faults and restarts come at random.
func (f *retryFleet) run(t *testing.T) {
	var group sync.WaitGroup
	faults := []behaviour{respondWith(200, "ok"), respondWith(500, "failed"), connectionReset, connectionRefused}
	nextFault, nextRestart := 10*time.Second, 10*time.Second
	began := time.Now()
	for n := 0; time.Since(began) < time.Minute; n++ {
		time.Sleep(fleetRequestInterval)
		if time.Since(began) > nextFault {
			f.mu.Lock()
			f.fault = faults[f.random.IntN(len(faults))]
			nextFault += time.Duration(200+f.random.IntN(2500)) * time.Millisecond
			f.mu.Unlock()
		}
		if time.Since(began) > nextRestart {
			for i := range f.entries {
				if f.random.IntN(2) == 0 {
					f.start(t, i)
				}
			}
			nextRestart += time.Duration(1+f.random.IntN(6)) * time.Second
		}
		f.mu.Lock()
		i := f.random.IntN(len(f.entries))
		f.requests = append(f.requests, time.Now())
		f.mu.Unlock()
		group.Go(func() {
			call := &state.Call{ID: state.RequestID(fmt.Sprint(n)), Host: "h", Path: "/x"}
			f.entries[i].Serve(f.ctx[i], call, time.Now(), &recordingResponder{})
		})
	}
	for _, cancel := range f.cancel {
		cancel()
	}
	group.Wait()
}

// count returns how many of the times are within d from t on.
func count(times []time.Time, t time.Time, d time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(t) && at.Before(t.Add(d)) {
			n++
		}
	}
	return n
}

// check reports the window with the highest excess over what is tolerated, if any, and
// returns the highest number of repeated sends as a share of what is tolerated.
func (f *retryFleet) check(t *testing.T) (highest float64) {
	worst := ""
	for _, at := range f.repeats {
		repeats := count(f.repeats, at, toleratedWindow)
		requests := max(count(f.requests, at, toleratedWindow), count(f.requests, at.Add(-toleratedWindow), toleratedWindow),
			count(f.requests, at.Add(-toleratedWindow/2), toleratedWindow))
		tolerated := toleratedRatio*float64(requests) + toleratedSlack
		if share := float64(repeats) / tolerated; share > highest {
			highest = share
			worst = fmt.Sprintf("%d repeated sends within %s for %d requests, tolerated %.0f", repeats, toleratedWindow, requests, tolerated)
		}
	}
	if highest > 1 {
		t.Error(worst)
	}
	return highest
}

// Guards against repeated sends beyond what is tolerated over all entries, while targets
// fail, break off and refuse connections in turn and entries are restarted: a process that
// starts has no right to what its predecessor has used, and requests that wait for a target
// must not gather permissions.
func TestRepeatedSendsOfAllEntriesStayWithinBudget(t *testing.T) {
	for _, entries := range []int{3, 5, 23, 60} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRetryFleet(t, seed, entries)
					f.run(t)
					if len(f.repeats) < toleratedSlack {
						t.Errorf("only %d repeated sends, too few to judge", len(f.repeats))
					}
					t.Logf("%d requests, %d repeated sends, at most %.2f of what is tolerated", len(f.requests), len(f.repeats), f.check(t))
				})
			})
		}
	}
}
