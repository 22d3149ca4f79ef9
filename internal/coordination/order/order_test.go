package order

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

func TestMain(m *testing.M) {
	state.SetViolationHandler(func(inv state.Invariant, detail string) { panic(fmt.Sprintf("%s: %s", inv, detail)) })
	os.Exit(m.Run())
}

// withSimulatedTime runs f with simulated time and an empty log.
func withSimulatedTime(t *testing.T, f func(t *testing.T, log *logtest.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, new(logtest.Log)) })
}

// elapse advances the simulated time by d and waits until everything due by then has
// happened.
func elapse(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// target is a fake target that applies orders at once.
type target struct {
	checksFence bool

	mu            sync.Mutex
	fence         uint64
	applied       ObservedState
	received      []Order
	receivedAt    []time.Time
	nextErr       error // returned by the next order
	ignoresOrders bool  // orders are accepted but not applied
}

func (g *target) SendOrder(ctx context.Context, o Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if err := g.nextErr; err != nil {
		g.nextErr = nil
		return err
	}
	if g.checksFence && o.FencingToken < g.fence {
		return ErrStaleFencingToken
	}
	g.fence = max(g.fence, o.FencingToken)
	g.received = append(g.received, o)
	g.receivedAt = append(g.receivedAt, time.Now())
	if g.ignoresOrders {
		return nil
	}
	g.applied.Models = slices.DeleteFunc(g.applied.Models, func(m state.ModelSpec) bool {
		return slices.Contains(o.Unload, m)
	})
	g.applied.Models = append(g.applied.Models, o.Load...)
	g.applied.Adapters, g.applied.Role = o.Adapters, o.Role
	return nil
}

func (g *target) observed() (ObservedState, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return ObservedState{Models: slices.Clone(g.applied.Models), Adapters: g.applied.Adapters, Role: g.applied.Role}, true
}

// orders returns the orders accepted so far.
func (g *target) orders() []Order {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.received)
}

func model(name, version string) state.ModelSpec {
	return state.ModelSpec{Name: name, Version: version}
}

// placement returns a bundle that places models on each of n targets t0, t1, ...
func placement(version uint64, n int, models ...state.ModelSpec) *state.Bundle {
	b := &state.Bundle{Version: version, WeightStore: state.WeightStorePolicy{LoadsPerMinute: 6}}
	for i := range n {
		b.Placement = append(b.Placement, state.TargetPlacement{Target: state.TargetID(fmt.Sprint("t", i)), Models: models, Role: "mixed"})
	}
	return b
}

// start runs a reconciler for target name until the end of the test. It returns the
// channel that delivers bundles to it.
func start(t testing.TB, log logstream.Log, name state.TargetID, instance state.InstanceID, g *target) chan *state.Bundle {
	t.Helper()
	bundles := make(chan *state.Bundle, 1)
	r := NewReconciler(Config{Target: name, Instance: instance, Incarnation: 1, Log: log, Sender: g, Bundles: bundles, Observed: g.observed, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return bundles
}

// Guards against loads that all start at once, and against orders to a target whose
// state is the desired one.
func TestStaggeredLoads(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, log *logtest.Log) {
		targets := make([]*target, 4)
		began := time.Now()
		for i := range targets {
			targets[i] = &target{applied: ObservedState{Models: []state.ModelSpec{model("m", "1"), model("old", "1")}, Role: "mixed"}}
			bundles := start(t, log, state.TargetID(fmt.Sprint("t", i)), state.InstanceID(fmt.Sprint("s", i)), targets[i])
			first := placement(1, 4, model("m", "1"), model("old", "1"))
			bundles <- first
			synctest.Wait()
			bundles <- placement(2, 4, model("m", "2"))
		}
		elapse(10 * time.Minute)
		for i, g := range targets {
			if len(g.orders()) != 2 && !(i == 0 && len(g.orders()) == 1) {
				t.Fatalf("t%d got %d orders: %+v", i, len(g.orders()), g.orders())
			}
			last := g.orders()[len(g.orders())-1]
			if diff := cmp.Diff([]state.ModelSpec{model("m", "2")}, last.Load); diff != "" {
				t.Errorf("t%d load (-want +got):\n%s", i, diff)
			}
			due := time.Duration(i) * 10 * time.Second // 6 loads a minute
			if at := g.receivedAt[len(g.receivedAt)-1].Sub(began); at < due || at > due+2*checkInterval {
				t.Errorf("t%d loads after %s, want about %s", i, at, due)
			}
		}
	})
}

// Guards against an order that is repeated each second during a slow load, and against
// one that is never repeated although the load is not reported.
func TestLoadTakesTime(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, log *logtest.Log) {
		g := &target{ignoresOrders: true}
		bundles := start(t, log, "t0", "s", g)
		bundles <- placement(1, 1, model("m", "1"))
		elapse(settleTime - checkInterval)
		if n := len(g.orders()); n != 1 {
			t.Errorf("%d orders within the settle time, want 1", n)
		}
		elapse(settleTime)
		if n := len(g.orders()); n != 2 {
			t.Errorf("%d orders within two settle times, want 2", n)
		}
	})
}

// Guards against a role that is never ordered, or ordered again and again, when the
// target does not report its role.
func TestRoleNotReported(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, log *logtest.Log) {
		g := &target{ignoresOrders: true, applied: ObservedState{Models: []state.ModelSpec{model("m", "1")}}}
		bundles := start(t, log, "t0", "s", g)
		bundles <- placement(1, 1, model("m", "1"))
		elapse(10 * settleTime)
		if got := g.orders(); len(got) != 1 || got[0].Role != "mixed" || len(got[0].Load) > 0 {
			t.Errorf("orders %+v, want one that sets the role", got)
		}
	})
}

// Guards against an order that is repeated too early, or never, after the weight
// store's 429.
func TestRateLimited(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, log *logtest.Log) {
		g := &target{nextErr: fmt.Errorf("load: %w", &RateLimitedError{After: 20 * time.Second})}
		bundles := start(t, log, "t0", "s", g)
		began := time.Now()
		bundles <- placement(1, 1, model("m", "1"))
		elapse(time.Minute)
		if len(g.orders()) != 1 {
			t.Fatalf("%d orders, want 1", len(g.orders()))
		}
		if at := g.receivedAt[0].Sub(began); at < 20*time.Second || at > 32*time.Second {
			t.Errorf("repeated after %s, want 20 s and up to half more", at)
		}
	})
}

// pausingLog simulates a process that is paused: the first read that reaches the end
// of the stream, other than from offset 0, returns after pause. duringPause is called
// at the end of the pause.
type pausingLog struct {
	logstream.Log
	pause       time.Duration
	duringPause func()
}

func (l *pausingLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if d := l.pause; d > 0 && page.Next >= page.End && from > 0 {
		l.pause = 0
		time.Sleep(d)
		l.duringPause()
	}
	return page, err
}

// Guards against an order by a process whose lease expired while it was paused and
// another process registered.
func TestPausedPastLease(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, shared *logtest.Log) {
		g := &target{} // ignores the fencing token
		b := placement(1, 1, model("m", "1"))
		log := &pausingLog{Log: shared, pause: LeaseDuration + time.Second}
		log.duringPause = func() {
			// Another process registers while this one is paused.
			other := registrar{log: shared, own: registration{Target: "t0", Instance: "s2"}}
			if _, err := other.renew(t.Context()); err != nil {
				t.Error(err)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.fence = other.fencingToken
		}
		shared.Append(t.Context(), StreamName, logstream.Entry{ID: "x"}) // so that offsets start above 0
		bundles := start(t, log, "t0", "s1", g)
		bundles <- b
		elapse(LeaseDuration + 2*time.Second)
		if log.pause != 0 {
			t.Fatal("the process was not paused")
		}
		for _, o := range g.orders() {
			if o.FencingToken <= 1 {
				t.Errorf("order under fencing token %d after a later registration", o.FencingToken)
			}
		}
		elapse(5 * time.Second)
		if len(g.orders()) != 1 || g.orders()[0].FencingToken != 3 {
			t.Errorf("orders %+v, want one under token 3, after registering again", g.orders())
		}
	})
}

// Guards against two processes beside one target that both send orders, or that
// supersede each other's registration again and again.
func TestTwoSideProcesses(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, log *logtest.Log) {
		g := &target{} // ignores the fencing token
		bundles1 := start(t, log, "t0", "s1", g)
		bundles2 := start(t, log, "t0", "s2", g)
		bundles1 <- placement(1, 1, model("m", "1"))
		elapse(2 * time.Second)
		bundles2 <- placement(1, 1, model("m", "2")) // the worst case: the processes have different bundles
		elapse(10 * time.Second)
		holding, _ := g.observed()
		if diff := cmp.Diff([]state.ModelSpec{model("m", "2")}, holding.Models); diff != "" {
			t.Errorf("the later registration does not decide (-want +got):\n%s", diff)
		}
		if len(g.orders()) != 2 {
			t.Errorf("%d orders, want one by each process", len(g.orders()))
		}
		elapse(10 * time.Minute)
		if n := log.Appends(); n > 30 {
			t.Errorf("%d registrations in 10 minutes", n)
		}
		for i := 1; i < len(g.orders()); i++ {
			if g.orders()[i].FencingToken < g.orders()[i-1].FencingToken {
				t.Errorf("order under token %d after one under token %d", g.orders()[i].FencingToken, g.orders()[i-1].FencingToken)
			}
		}
	})
}

// Guards against a process that keeps using a fencing token that the target rejects.
func TestStaleFencingToken(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, log *logtest.Log) {
		g := &target{checksFence: true, fence: 1} // another process has token 1
		bundles := start(t, log, "t0", "s1", g)
		bundles <- placement(1, 1, model("m", "1"))
		elapse(10 * time.Second)
		if len(g.orders()) != 0 || log.Appends() != 1 {
			t.Fatalf("%d orders and %d registrations, want 0 and 1", len(g.orders()), log.Appends())
		}
		elapse(time.Minute)
		if len(g.orders()) != 1 || g.orders()[0].FencingToken != 1 {
			t.Errorf("orders %+v, want one under a new token", g.orders())
		}
	})
}

// Guards against an order while the log is down, and against a process that does not
// register again after the outage, or after its registration was deleted by retention.
func TestLogFaults(t *testing.T) {
	withSimulatedTime(t, func(t *testing.T, log *logtest.Log) {
		log.SetDown(true)
		g := &target{}
		bundles := start(t, log, "t0", "s1", g)
		bundles <- placement(1, 1, model("m", "1"))
		elapse(time.Minute)
		if len(g.orders()) != 0 {
			t.Fatalf("%d orders while the log is down", len(g.orders()))
		}
		log.SetDown(false)
		log.LoseAcks(1)
		elapse(time.Minute)
		if len(g.orders()) != 1 || log.Appends() != 1 {
			t.Fatalf("%d orders and %d registrations after the outage, want 1 and 1", len(g.orders()), log.Appends())
		}
		log.Append(t.Context(), StreamName, logstream.Entry{ID: "x"})
		log.Append(t.Context(), StreamName, logstream.Entry{ID: "y"})
		log.Forget(StreamName, 2)
		bundles <- placement(2, 1, model("m", "2"))
		elapse(time.Minute)
		if len(g.orders()) != 2 || g.orders()[1].FencingToken != 3 {
			t.Errorf("orders %+v, want the second under token 3", g.orders())
		}
	})
}

// Guards against loads and unloads that do not match the difference between the
// observed and the desired state, and against an order when there is none.
func TestDifference(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	want := &state.TargetPlacement{Models: []state.ModelSpec{model("a", "2"), model("b", "1")}, Adapters: []string{"x", "y"}, Role: "prefill"}
	tests := []struct {
		name           string
		has            ObservedState
		starts         map[state.ModelSpec]time.Time
		order          Order
		empty, settled bool
	}{
		{"settled", ObservedState{Models: want.Models, Adapters: []string{"y", "x"}, Role: "prefill"}, nil, Order{}, true, true},
		{"version not reported", ObservedState{Models: []state.ModelSpec{model("a", ""), model("b", "")}, Adapters: []string{"x", "y"}, Role: "prefill"}, nil, Order{}, true, true},
		{"old version", ObservedState{Models: []state.ModelSpec{model("a", "1"), model("b", "1")}, Adapters: []string{"x", "y"}, Role: "prefill"}, nil, Order{Load: []state.ModelSpec{model("a", "2")}, Unload: []state.ModelSpec{model("a", "1")}}, false, false},
		{"old version serves until the new one is due", ObservedState{Models: []state.ModelSpec{model("a", "1"), model("b", "1")}, Adapters: []string{"x", "y"}, Role: "prefill"}, map[state.ModelSpec]time.Time{model("a", "2"): now.Add(1)}, Order{}, true, false},
		{"extra model", ObservedState{Models: append([]state.ModelSpec{model("c", "1")}, want.Models...), Adapters: []string{"x", "y"}, Role: "prefill"}, nil, Order{Unload: []state.ModelSpec{model("c", "1")}}, false, false},
		{"role", ObservedState{Models: want.Models, Adapters: []string{"x", "y"}, Role: "decode"}, nil, Order{}, false, false},
	}
	for _, tt := range tests {
		o, empty, settled := nextOrder(want, tt.has, tt.starts, now)
		tt.order.Adapters, tt.order.Role = want.Adapters, want.Role
		if diff := cmp.Diff(tt.order, o); diff != "" || empty != tt.empty || settled != tt.settled {
			t.Errorf("%s: empty=%t settled=%t, want %t %t; order (-want +got):\n%s", tt.name, empty, settled, tt.empty, tt.settled, diff)
		}
	}
}
