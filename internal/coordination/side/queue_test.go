package side

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against shedding an attempt, by displacement or refusal, while one of
// a lower tier is queued.
func TestDisplacementOrder(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(100, 10*time.Millisecond)}, testBundle(1, 3), func(h *harness) {
		h.session.Dispatch(h.newDispatch(0)) // occupies the window
		synctest.Wait()
		send := func(tier state.Tier) *AttemptStream {
			a := h.session.Dispatch(h.newDispatch(tier))
			synctest.Wait()
			return a
		}
		low1, mid, low2 := send(3), send(2), send(3)
		h.wantRefused(send(3), state.ReasonQueueFull)
		high := send(1)
		h.wantRefused(low2, state.ReasonDisplaced)
		top := send(0)
		h.wantRefused(low1, state.ReasonDisplaced)
		h.wantRefused(send(2), state.ReasonQueueFull)
		first := send(0)
		h.wantRefused(mid, state.ReasonDisplaced)
		if f := h.Figures(); f.LowestQueued != 1 || f.QueuedCount != [state.MaxTiers]int{2, 1} || !f.QueueFull() {
			h.t.Errorf("figures %+v", f)
		}
		for _, a := range []*AttemptStream{top, first, high} {
			finalEvent[*state.Done](h, a)
		}
		var order []uint64
		for len(h.runner.runs) > 0 {
			order = append(order, (<-h.runner.runs).Seq)
		}
		if diff := gocmp.Diff([]uint64{1, 7, 9, 6}, order); diff != "" {
			h.t.Error(diff)
		}
	})
}

// Guards against refusing a large request for its tokens while small ones of
// lower tiers stay queued, and against a queue without a token bound.
func TestTokenBound(t *testing.T) {
	b := testBundle(1, 100)
	b.Queue.MaxTokens = 1000
	withHarness(t, &scriptedRunner{run: produceChunks(100, 10*time.Millisecond)}, b, func(h *harness) {
		h.session.Dispatch(h.newDispatch(0))
		send := func(tier state.Tier, tokens int) *AttemptStream {
			d := h.newDispatch(tier)
			d.Request.PromptTokens = tokens
			a := h.session.Dispatch(d)
			synctest.Wait()
			return a
		}
		low := send(3, 100)
		send(1, 900)
		send(1, 900)
		h.wantRefused(low, state.ReasonDisplaced)
		h.wantRefused(send(1, 900), state.ReasonQueueFull)
		h.wantRefused(send(3, 1), state.ReasonQueueFull)
		if f := h.Figures(); f.QueuedCount[1] != 2 {
			h.t.Errorf("figures %+v", f)
		}
	})
}

// Guards against a lower tier that takes slots reserved for higher ones.
func TestTierReserve(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(100, 10*time.Millisecond)}, testBundle(8, 20, 0, 0, 1, 3), func(h *harness) {
		for range 10 {
			h.session.Dispatch(h.newDispatch(3))
		}
		synctest.Wait()
		if f := h.Figures(); f.Window != 4 || f.RunningCount != 1 {
			h.t.Errorf("window %d with %d running, want 4 with 1", f.Window, f.RunningCount)
		}
		for range 3 {
			h.session.Dispatch(h.newDispatch(0))
		}
		synctest.Wait()
		if f := h.Figures(); f.RunningCount != 4 || f.QueuedCount[0] != 0 {
			h.t.Errorf("%d running and %d of tier 0 queued, want 4 and 0", f.RunningCount, f.QueuedCount[0])
		}
	})
}

// Guards against a customer that takes more than its share within a tier, and
// against an order that ignores deadlines.
func TestFairOrder(t *testing.T) {
	q := newQueue()
	add := func(customer state.Customer, weight float64, tier state.Tier, deadline int) {
		q.add(&attempt{
			id: state.AttemptID{Entry: state.InstanceID(fmt.Sprint(customer, deadline))}, customer: customer, weight: weight,
			tier: tier, deadline: time.Unix(int64(deadline), 0), promptTokens: 50, expectedOutput: 50, events: newEventBuffer(),
		})
	}
	for i := range 4 {
		add("large", 1, 1, 100-i)
		add("small", 1, 1, 200-i)
	}
	add("heavy", 2, 1, 300)
	add("heavy", 2, 1, 301)
	add("heavy", 2, 1, 302)
	add("late", 1, 0, 900)
	want := []string{
		"late900", "large97", "small197", "heavy300", "heavy301",
		"large98", "small198", "heavy302", "large99", "small199", "large100", "small200",
	}
	var sorted, next []string
	for _, a := range q.sorted() {
		sorted = append(sorted, string(a.id.Entry))
	}
	for a := q.next(); a != nil; a = q.next() {
		if workAhead := q.workAhead(a); workAhead.count != 0 {
			t.Errorf("%s starts next behind %d others", a.id.Entry, workAhead.count)
		}
		next = append(next, string(a.id.Entry))
		q.remove(a)
		q.addInService(a)
	}
	if diff := gocmp.Diff(want, next); diff != "" {
		t.Error(diff)
	}
	if diff := gocmp.Diff(want, sorted); diff != "" {
		t.Error(diff)
	}
}

// Guards against counters that differ from the content of the queue, and
// against a predicted order that differs from the order of starts.
func TestQueueRandom(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		q := newQueue()
		var all []*attempt
		for range 300 {
			if rng.IntN(3) > 0 || len(all) == 0 {
				a := &attempt{
					customer: state.Customer(fmt.Sprint(rng.IntN(4))), tier: state.Tier(rng.IntN(4)), events: newEventBuffer(),
					promptTokens: 1 + rng.IntN(100), expectedOutput: 1 + rng.IntN(100), deadline: time.Unix(int64(rng.IntN(50)), 0),
				}
				a.weight = float64(1 + int(a.customer[0]-'0'))
				q.add(a)
				all = append(all, a)
				continue
			}
			a := q.next()
			if rng.IntN(2) == 0 {
				a = all[rng.IntN(len(all))]
			}
			q.remove(a)
			all = slices.DeleteFunc(all, func(b *attempt) bool { return a == b })
		}
		sorted := q.sorted()
		totalPromptTokens := 0
		for i, a := range sorted {
			totalPromptTokens += a.promptTokens
			if n := q.workAhead(a).count; n != i {
				t.Fatalf("seed %d: %d ahead of position %d", seed, n, i)
			}
		}
		if len(sorted) != len(all) || q.count != len(all) || q.totalPromptTokens != totalPromptTokens {
			t.Fatalf("seed %d: %d listed, %d counted, want %d; %d prompt tokens counted, want %d",
				seed, len(sorted), q.count, len(all), q.totalPromptTokens, totalPromptTokens)
		}
		if !slices.IsSortedFunc(sorted, func(a, b *attempt) int { return cmp.Compare(a.tier, b.tier) }) {
			t.Fatalf("seed %d: not in tier order", seed)
		}
		for i := len(sorted) - 1; i >= 0; i-- {
			if low := q.lowestTier(); low != sorted[i].tier || q.lastOfTier(low) != sorted[i] {
				t.Fatalf("seed %d: last of tier %d is not at position %d", seed, low, i)
			}
			q.remove(sorted[i])
		}
	}
}
