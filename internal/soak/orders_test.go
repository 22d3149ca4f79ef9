package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/coordination/order"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// staleOrderWindow is how long after a newer registration a target that does not
// check fencing tokens may still apply orders of the superseded process
// (guarantee P7).
const staleOrderWindow = order.LeaseDuration + order.RequestTimeout

// orderTarget is a fake target that applies orders to load and unload models.
type orderTarget struct {
	ghost       *ghost
	log         *logtest.Log
	checksFence bool // rejects fencing tokens lower than the highest applied

	mu             sync.Mutex
	highestFence   uint64
	current        order.ObservedState
	rateLimitNext  int // number of next orders to reject as rate limited
	loseAnswerNext int // number of next orders whose answer is lost after they were applied
}

// observedState returns a copy of the models and role that the target has now.
func (t *orderTarget) observedState() (order.ObservedState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return order.ObservedState{Models: slices.Clone(t.current.Models), Role: t.current.Role}, true
}

// orderSender implements order.Sender: it is the connection of one side process to
// the target.
type orderSender struct {
	*process
	target *orderTarget
}

// SendOrder implements order.Sender.
func (o orderSender) SendOrder(ctx context.Context, ord order.Order) error {
	if err := o.waitRunnable(ctx); err != nil {
		return fmt.Errorf("%w: %w", order.ErrUnreachable, err)
	}
	t := o.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checksFence && ord.FencingToken < t.highestFence {
		count("order: stale fencing token", 1)
		return order.ErrStaleFencingToken
	}
	if t.rateLimitNext > 0 {
		t.rateLimitNext--
		return &order.RateLimitedError{After: 3 * time.Second}
	}
	t.checkNotSuperseded(ord.FencingToken)
	t.highestFence = max(t.highestFence, ord.FencingToken)
	count("order: applied", 1)
	t.current.Models = slices.DeleteFunc(t.current.Models, func(m state.ModelSpec) bool {
		return slices.ContainsFunc(ord.Unload, func(u state.ModelSpec) bool { return u.Name == m.Name }) || slices.ContainsFunc(ord.Load, func(l state.ModelSpec) bool { return l.Name == m.Name })
	})
	t.current.Models = append(t.current.Models, ord.Load...)
	t.current.Role = ord.Role
	if t.loseAnswerNext > 0 {
		t.loseAnswerNext--
		return order.ErrUnreachable
	}
	return nil
}

// checkNotSuperseded reports a failure if fence, the fencing token of an order, is
// beyond the end of the stream of registrations, or if another process registered
// after it more than staleOrderWindow ago.
func (t *orderTarget) checkNotSuperseded(fence uint64) {
	records := t.log.Records(order.StreamName)
	if fence >= uint64(len(records)) {
		t.ghost.fail("order with fencing token %d, which is not the offset of a registration", fence)
		return
	}
	for _, r := range records[fence+1:] {
		if r.ID != records[fence].ID && time.Since(r.Time) > staleOrderWindow {
			t.ghost.fail("order with fencing token %d was applied %s after registration %d superseded it", fence, time.Since(r.Time), r.Offset)
			return
		}
	}
}

// orderProcess is a side process that sends orders to the target.
type orderProcess struct {
	process
	bundles chan *state.Bundle
}

// orderWorld holds the side processes that compete to send orders to one target.
type orderWorld struct {
	log          logtest.Log
	target       *orderTarget
	processes    []*orderProcess
	incarnations state.Incarnation
	bundle       *state.Bundle
}

func (w *orderWorld) startProcess(i int) {
	w.incarnations++
	p := &orderProcess{bundles: make(chan *state.Bundle, 1)}
	p.ctx, p.kill = context.WithCancel(context.Background())
	r := order.NewReconciler(order.Config{
		Target: "t0", Instance: state.InstanceID(fmt.Sprint("s", i)), Incarnation: w.incarnations,
		Log: processLog{&p.process, &w.log}, Sender: orderSender{&p.process, w.target}, Bundles: p.bundles, Observed: w.target.observedState, Logger: zap.NewNop(),
	})
	w.processes[i] = p
	go r.Run(p.ctx)
	p.bundles <- w.bundle
}

// publishPlacement publishes a bundle that places the next version of the model on
// the target.
func (w *orderWorld) publishPlacement() {
	version := w.bundle.Version + 1
	w.bundle = &state.Bundle{Version: version, WeightStore: state.WeightStorePolicy{LoadsPerMinute: 60}, Placement: []state.TargetPlacement{{
		Target: "t0", Role: "mixed", Models: []state.ModelSpec{{Name: "m", Version: fmt.Sprint(version)}},
	}}}
	for _, p := range w.processes {
		select {
		case <-p.bundles:
		default:
		}
		p.bundles <- w.bundle
	}
}

var orderEventKinds = []string{"publish", "kill", "pause", "pause", "limit", "lose answer", "forget model", "log down", "log delay", "log loses acks", "log drops appends"}

// drawOrders draws a case of the property about orders.
func drawOrders(rt *rapid.T) func(g *ghost) {
	checksFence := rapid.Bool().Draw(rt, "target checks the fencing token")
	var events []event
	for range rapid.IntRange(1, 40).Draw(rt, "events") {
		events = append(events, event{
			kind: pickUniform(rt, orderEventKinds), delay: pickUniform(rt, bundleEventDelays), index: rapid.IntRange(0, 11).Draw(rt, "i"), duration: pickUniform(rt, durations),
		})
	}
	return func(g *ghost) { runOrders(g, checksFence, events) }
}

func runOrders(g *ghost, checksFence bool, events []event) {
	w := &orderWorld{processes: make([]*orderProcess, 2), bundle: &state.Bundle{}}
	w.target = &orderTarget{ghost: g, log: &w.log, checksFence: checksFence, current: order.ObservedState{Role: "mixed"}}
	// Takes offset 0, so that every registration has a fencing token above 0.
	w.log.Append(context.Background(), order.StreamName, logstream.Entry{ID: "first"})
	for i := range w.processes {
		w.startProcess(i)
	}
	for _, ev := range events {
		time.Sleep(ev.delay)
		w.apply(ev)
		count("event: "+ev.kind, 1)
	}
	// Both processes may be standing by, which lasts up to 10 min, and an order is
	// repeated after 30 s.
	time.Sleep(12 * time.Minute)
	want := []state.ModelSpec{}
	for _, placement := range w.bundle.Placement {
		want = placement.Models
	}
	if observed, _ := w.target.observedState(); !slices.Equal(want, observed.Models) {
		g.fail("target holds %v, want %v", observed.Models, want)
	}
	for _, p := range w.processes {
		p.kill()
	}
	time.Sleep(time.Minute)
}

func (w *orderWorld) apply(ev event) {
	i := ev.index % len(w.processes)
	switch ev.kind {
	case "publish":
		w.publishPlacement()
	case "kill":
		w.processes[i].kill()
		w.startProcess(i)
	case "pause":
		w.processes[i].pause(ev.duration)
	default:
		injectLogFault(&w.log, ev)
		w.target.mu.Lock()
		defer w.target.mu.Unlock()
		switch ev.kind {
		case "limit":
			w.target.rateLimitNext += 1 + ev.index%2
		case "lose answer":
			w.target.loseAnswerNext++
		case "forget model":
			w.target.current.Models = nil
		}
	}
}
