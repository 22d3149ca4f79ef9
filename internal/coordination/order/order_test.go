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
	state.OnViolation(func(inv state.Invariant, detail string) { panic(fmt.Sprintf("%s: %s", inv, detail)) })
	os.Exit(m.Run())
}

// bubble runs f with simulated time and an empty log.
func bubble(t *testing.T, f func(t *testing.T, log *logtest.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, new(logtest.Log)) })
}

// elapse lets d go by and everything due then happen.
func elapse(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// target is a target that applies orders at once.
type target struct {
	checksFence bool

	mu      sync.Mutex
	fence   uint64
	holding Holding
	got     []Order
	times   []time.Time
	fail    error // returned by the next order
	lag     bool  // orders do not change what is reported
}

func (g *target) SendOrder(ctx context.Context, o Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if err := g.fail; err != nil {
		g.fail = nil
		return err
	}
	if g.checksFence && o.Fence < g.fence {
		return ErrOldFence
	}
	g.fence = max(g.fence, o.Fence)
	g.got = append(g.got, o)
	g.times = append(g.times, time.Now())
	if g.lag {
		return nil
	}
	g.holding.Models = slices.DeleteFunc(g.holding.Models, func(m state.ModelSpec) bool {
		return slices.Contains(o.Unload, m)
	})
	g.holding.Models = append(g.holding.Models, o.Load...)
	g.holding.Adapters, g.holding.Role = o.Adapters, o.Role
	return nil
}

func (g *target) holds() (Holding, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Holding{Models: slices.Clone(g.holding.Models), Adapters: g.holding.Adapters, Role: g.holding.Role}, true
}

// orders returns the orders applied so far.
func (g *target) orders() []Order {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.got)
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

// start runs a reconciler beside target name. The channel carries bundles.
func start(t testing.TB, log logstream.Log, name state.TargetID, instance state.InstanceID, g *target) chan *state.Bundle {
	t.Helper()
	bundles := make(chan *state.Bundle, 1)
	r := NewReconciler(Config{Target: name, Instance: instance, Incarnation: 1, Log: log, Orders: g, Bundles: bundles, Holding: g.holds, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return bundles
}

// Guards against loads that all start at once, and against orders to a target
// that holds what it should.
func TestStaggeredLoads(t *testing.T) {
	bubble(t, func(t *testing.T, log *logtest.Log) {
		targets := make([]*target, 4)
		began := time.Now()
		for i := range targets {
			targets[i] = &target{holding: Holding{Models: []state.ModelSpec{model("m", "1"), model("old", "1")}, Role: "mixed"}}
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
			if at := g.times[len(g.times)-1].Sub(began); at < due || at > due+2*checkInterval {
				t.Errorf("t%d loads after %s, want about %s", i, at, due)
			}
		}
	})
}

// Guards against an order repeated each second while a load takes its time, and
// against giving up when it never shows.
func TestLoadTakesTime(t *testing.T) {
	bubble(t, func(t *testing.T, log *logtest.Log) {
		g := &target{lag: true}
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

// Guards against a role that is never ordered, or ordered for ever, when the
// target does not report it.
func TestRoleNotReported(t *testing.T) {
	bubble(t, func(t *testing.T, log *logtest.Log) {
		g := &target{lag: true, holding: Holding{Models: []state.ModelSpec{model("m", "1")}}}
		bundles := start(t, log, "t0", "s", g)
		bundles <- placement(1, 1, model("m", "1"))
		elapse(10 * settleTime)
		if got := g.orders(); len(got) != 1 || got[0].Role != "mixed" || len(got[0].Load) > 0 {
			t.Errorf("orders %+v, want one that sets the role", got)
		}
	})
}

// Guards against ignoring the weight store's 429 or losing the order after it.
func TestRateLimited(t *testing.T) {
	bubble(t, func(t *testing.T, log *logtest.Log) {
		g := &target{fail: fmt.Errorf("load: %w", &RateLimitedError{After: 20 * time.Second})}
		bundles := start(t, log, "t0", "s", g)
		began := time.Now()
		bundles <- placement(1, 1, model("m", "1"))
		elapse(time.Minute)
		if len(g.orders()) != 1 {
			t.Fatalf("%d orders, want 1", len(g.orders()))
		}
		if at := g.times[0].Sub(began); at < 20*time.Second || at > 32*time.Second {
			t.Errorf("repeated after %s, want 20 s and up to half more", at)
		}
	})
}

// pausingLog stands for a process that stops after its next read returned.
type pausingLog struct {
	logstream.Log
	pause  time.Duration
	during func()
}

func (l *pausingLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if d := l.pause; d > 0 && page.Next >= page.End && from > 0 {
		l.pause = 0
		time.Sleep(d)
		l.during()
	}
	return page, err
}

// Guards against an order by a process whose lease expired during a pause in
// which another process registered and gave orders.
func TestPausedPastLease(t *testing.T) {
	bubble(t, func(t *testing.T, shared *logtest.Log) {
		g := &target{} // ignores the fencing number
		b := placement(1, 1, model("m", "1"))
		log := &pausingLog{Log: shared, pause: Lease + time.Second}
		log.during = func() {
			// A new process takes over while this one is paused.
			other := registrar{log: shared, self: registration{Target: "t0", Instance: "s2"}}
			if _, err := other.renew(t.Context()); err != nil {
				t.Error(err)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.fence = other.fence
		}
		shared.Append(t.Context(), Stream, logstream.Entry{ID: "x"}) // so that offsets start above 0
		bundles := start(t, log, "t0", "s1", g)
		bundles <- b
		elapse(Lease + 2*time.Second)
		if log.pause != 0 {
			t.Fatal("the process was not paused")
		}
		for _, o := range g.orders() {
			if o.Fence <= 1 {
				t.Errorf("order under fencing number %d after a later registration", o.Fence)
			}
		}
		elapse(5 * time.Second)
		if len(g.orders()) != 1 || g.orders()[0].Fence != 3 {
			t.Errorf("orders %+v, want one under number 3, after registering again", g.orders())
		}
	})
}

// Guards against two processes beside one target that both give orders, or that
// register in turns without end.
func TestTwoSideProcesses(t *testing.T) {
	bubble(t, func(t *testing.T, log *logtest.Log) {
		g := &target{} // ignores the fencing number
		bundles1 := start(t, log, "t0", "s1", g)
		bundles2 := start(t, log, "t0", "s2", g)
		bundles1 <- placement(1, 1, model("m", "1"))
		elapse(2 * time.Second)
		bundles2 <- placement(1, 1, model("m", "2")) // not the same bundle: the worst case
		elapse(10 * time.Second)
		holding, _ := g.holds()
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
			if g.orders()[i].Fence < g.orders()[i-1].Fence {
				t.Errorf("order under %d after one under %d", g.orders()[i].Fence, g.orders()[i-1].Fence)
			}
		}
	})
}

// Guards against a process that insists on an old fencing number.
func TestOldFence(t *testing.T) {
	bubble(t, func(t *testing.T, log *logtest.Log) {
		g := &target{checksFence: true, fence: 1} // another process has number 1
		bundles := start(t, log, "t0", "s1", g)
		bundles <- placement(1, 1, model("m", "1"))
		elapse(10 * time.Second)
		if len(g.orders()) != 0 || log.Appends() != 1 {
			t.Fatalf("%d orders and %d registrations, want 0 and 1", len(g.orders()), log.Appends())
		}
		elapse(time.Minute)
		if len(g.orders()) != 1 || g.orders()[0].Fence != 1 {
			t.Errorf("orders %+v, want one under a new number", g.orders())
		}
	})
}

// Guards against an order while the log is down, and against a process that
// stays without fencing number afterwards or after its record was forgotten.
func TestLogFaults(t *testing.T) {
	bubble(t, func(t *testing.T, log *logtest.Log) {
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
		log.Append(t.Context(), Stream, logstream.Entry{ID: "x"})
		log.Append(t.Context(), Stream, logstream.Entry{ID: "y"})
		log.Forget(Stream, 2)
		bundles <- placement(2, 1, model("m", "2"))
		elapse(time.Minute)
		if len(g.orders()) != 2 || g.orders()[1].Fence != 3 {
			t.Errorf("orders %+v, want the second under number 3", g.orders())
		}
	})
}

// Guards against orders that repeat while the target has not reported the
// effect, and against wrong unloads.
func TestDifference(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	want := &state.TargetPlacement{Models: []state.ModelSpec{model("a", "2"), model("b", "1")}, Adapters: []string{"x", "y"}, Role: "prefill"}
	tests := []struct {
		name           string
		has            Holding
		starts         map[state.ModelSpec]time.Time
		order          Order
		empty, settled bool
	}{
		{"settled", Holding{Models: want.Models, Adapters: []string{"y", "x"}, Role: "prefill"}, nil, Order{}, true, true},
		{"version not reported", Holding{Models: []state.ModelSpec{model("a", ""), model("b", "")}, Adapters: []string{"x", "y"}, Role: "prefill"}, nil, Order{}, true, true},
		{"old version", Holding{Models: []state.ModelSpec{model("a", "1"), model("b", "1")}, Adapters: []string{"x", "y"}, Role: "prefill"}, nil, Order{Load: []state.ModelSpec{model("a", "2")}, Unload: []state.ModelSpec{model("a", "1")}}, false, false},
		{"old version serves until the new one is due", Holding{Models: []state.ModelSpec{model("a", "1"), model("b", "1")}, Adapters: []string{"x", "y"}, Role: "prefill"}, map[state.ModelSpec]time.Time{model("a", "2"): now.Add(1)}, Order{}, true, false},
		{"extra model", Holding{Models: append([]state.ModelSpec{model("c", "1")}, want.Models...), Adapters: []string{"x", "y"}, Role: "prefill"}, nil, Order{Unload: []state.ModelSpec{model("c", "1")}}, false, false},
		{"role", Holding{Models: want.Models, Adapters: []string{"x", "y"}, Role: "decode"}, nil, Order{}, false, false},
	}
	for _, tt := range tests {
		o, empty, settled := difference(want, tt.has, tt.starts, now)
		tt.order.Adapters, tt.order.Role = want.Adapters, want.Role
		if diff := cmp.Diff(tt.order, o); diff != "" || empty != tt.empty || settled != tt.settled {
			t.Errorf("%s: empty=%t settled=%t, want %t %t; order (-want +got):\n%s", tt.name, empty, settled, tt.empty, tt.settled, diff)
		}
	}
}
