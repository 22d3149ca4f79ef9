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

// orderWindow is the longest time for which a target that ignores the fencing
// number may apply orders of a superseded process (guarantee P7).
const orderWindow = order.LeaseDuration + order.RequestTimeout

// orderTarget is a fake target that takes orders.
type orderTarget struct {
	ghost  *ghost
	log    *logtest.Log
	checks bool // rejects old fencing numbers

	mu      sync.Mutex
	fence   uint64
	holding order.ObservedState
	limited int // loads to reject for the rate limit
	lost    int // answers to lose after an order was applied
}

func (t *orderTarget) holds() (order.ObservedState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return order.ObservedState{Models: slices.Clone(t.holding.Models), Role: t.holding.Role}, true
}

// orderer is the connection of one process to the target.
type orderer struct {
	*process
	target *orderTarget
}

// SendOrder implements order.Sender.
func (o orderer) SendOrder(ctx context.Context, ord order.Order) error {
	if err := o.gate(ctx); err != nil {
		return fmt.Errorf("%w: %w", order.ErrUnreachable, err)
	}
	t := o.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checks && ord.FencingToken < t.fence {
		count("order: old fence", 1)
		return order.ErrStaleFencingToken
	}
	if t.limited > 0 {
		t.limited--
		return &order.RateLimitedError{After: 3 * time.Second}
	}
	t.checkFence(ord.FencingToken)
	t.fence = max(t.fence, ord.FencingToken)
	count("order: applied", 1)
	t.holding.Models = slices.DeleteFunc(t.holding.Models, func(m state.ModelSpec) bool {
		return slices.ContainsFunc(ord.Unload, func(u state.ModelSpec) bool { return u.Name == m.Name }) || slices.ContainsFunc(ord.Load, func(l state.ModelSpec) bool { return l.Name == m.Name })
	})
	t.holding.Models = append(t.holding.Models, ord.Load...)
	t.holding.Role = ord.Role
	if t.lost > 0 {
		t.lost--
		return order.ErrUnreachable
	}
	return nil
}

// checkFence fails when a registration that is older than the window supersedes
// the order.
func (t *orderTarget) checkFence(fence uint64) {
	records := t.log.Records(order.StreamName)
	if fence >= uint64(len(records)) {
		t.ghost.fail("order under fencing number %d, which is no registration", fence)
		return
	}
	for _, r := range records[fence+1:] {
		if r.ID != records[fence].ID && time.Since(r.Time) > orderWindow {
			t.ghost.fail("order under fencing number %d, %s after registration %d", fence, time.Since(r.Time), r.Offset)
			return
		}
	}
}

// holder is a side process that gives orders.
type holder struct {
	process
	bundles chan *state.Bundle
}

// orderWorld holds the processes beside one target.
type orderWorld struct {
	log          logtest.Log
	target       *orderTarget
	holders      []*holder
	incarnations state.Incarnation
	bundle       *state.Bundle
}

func (w *orderWorld) start(i int) {
	w.incarnations++
	h := &holder{bundles: make(chan *state.Bundle, 1)}
	h.ctx, h.kill = context.WithCancel(context.Background())
	r := order.NewReconciler(order.Config{
		Target: "t0", Instance: state.InstanceID(fmt.Sprint("s", i)), Incarnation: w.incarnations,
		Log: processLog{&h.process, &w.log}, Sender: orderer{&h.process, w.target}, Bundles: h.bundles, Observed: w.target.holds, Logger: zap.NewNop(),
	})
	w.holders[i] = h
	go r.Run(h.ctx)
	h.bundles <- w.bundle
}

// publish changes the model that the target is to hold.
func (w *orderWorld) publish() {
	version := w.bundle.Version + 1
	w.bundle = &state.Bundle{Version: version, WeightStore: state.WeightStorePolicy{LoadsPerMinute: 60}, Placement: []state.TargetPlacement{{
		Target: "t0", Role: "mixed", Models: []state.ModelSpec{{Name: "m", Version: fmt.Sprint(version)}},
	}}}
	for _, h := range w.holders {
		select {
		case <-h.bundles:
		default:
		}
		h.bundles <- w.bundle
	}
}

var orderKinds = []string{"publish", "kill", "pause", "pause", "limit", "lose answer", "forget model", "log down", "log delay", "log loses acks", "log drops appends"}

// drawOrders draws a case of the property about orders.
func drawOrders(rt *rapid.T) func(g *ghost) {
	checks := rapid.Bool().Draw(rt, "target checks the fencing number")
	var events []event
	for range rapid.IntRange(1, 40).Draw(rt, "events") {
		events = append(events, event{
			kind: pick(rt, orderKinds), after: pick(rt, bundleGaps), i: rapid.IntRange(0, 11).Draw(rt, "i"), d: pick(rt, durations),
		})
	}
	return func(g *ghost) { runOrders(g, checks, events) }
}

func runOrders(g *ghost, checks bool, events []event) {
	w := &orderWorld{holders: make([]*holder, 2), bundle: &state.Bundle{}}
	w.target = &orderTarget{ghost: g, log: &w.log, checks: checks, holding: order.ObservedState{Role: "mixed"}}
	// Offsets start above 0.
	w.log.Append(context.Background(), order.StreamName, logstream.Entry{ID: "first"})
	for i := range w.holders {
		w.start(i)
	}
	for _, ev := range events {
		time.Sleep(ev.after)
		w.apply(ev)
		count("event: "+ev.kind, 1)
	}
	// Both processes may stand by for up to 10 min, and a repeated order waits
	// for 30 s.
	time.Sleep(12 * time.Minute)
	want := []state.ModelSpec{}
	for _, p := range w.bundle.Placement {
		want = p.Models
	}
	if has, _ := w.target.holds(); !slices.Equal(want, has.Models) {
		g.fail("target holds %v, want %v", has.Models, want)
	}
	for _, h := range w.holders {
		h.kill()
	}
	time.Sleep(time.Minute)
}

func (w *orderWorld) apply(ev event) {
	i := ev.i % len(w.holders)
	switch ev.kind {
	case "publish":
		w.publish()
	case "kill":
		w.holders[i].kill()
		w.start(i)
	case "pause":
		w.holders[i].pause(ev.d)
	default:
		logFault(&w.log, ev)
		w.target.mu.Lock()
		defer w.target.mu.Unlock()
		switch ev.kind {
		case "limit":
			w.target.limited += 1 + ev.i%2
		case "lose answer":
			w.target.lost++
		case "forget model":
			w.target.holding.Models = nil
		}
	}
}
