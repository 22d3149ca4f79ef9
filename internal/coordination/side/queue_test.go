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

// Guards against an order of displacement or of refusal that sheds a tier
// before a lower one.
func TestDisplacementOrder(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(100, 10*time.Millisecond)}, bundle(1, 3), func(r *rig) {
		r.session.Dispatch(r.job(0)) // occupies the window
		synctest.Wait()
		send := func(tier state.Tier) *Attempt {
			a := r.session.Dispatch(r.job(tier))
			synctest.Wait()
			return a
		}
		low1, mid, low2 := send(3), send(2), send(3)
		r.wantRefused(send(3), state.ReasonQueueFull)
		high := send(1)
		r.wantRefused(low2, state.ReasonDisplaced)
		top := send(0)
		r.wantRefused(low1, state.ReasonDisplaced)
		r.wantRefused(send(2), state.ReasonQueueFull)
		first := send(0)
		r.wantRefused(mid, state.ReasonDisplaced)
		if f := r.Figures(); f.LowestQueued != 1 || f.QueuedCount != [state.MaxTiers]int{2, 1} || !f.QueueFull() {
			r.t.Errorf("figures %+v", f)
		}
		for _, a := range []*Attempt{top, first, high} {
			last[*state.Done](r, a)
		}
		var order []uint64
		for len(r.runner.runs) > 0 {
			order = append(order, (<-r.runner.runs).Seq)
		}
		if diff := gocmp.Diff([]uint64{1, 7, 9, 6}, order); diff != "" {
			r.t.Error(diff)
		}
	})
}

// Guards against a large request that is refused for its tokens while small
// ones of lower tiers stay queued, and against a queue without a token bound.
func TestTokenBound(t *testing.T) {
	b := bundle(1, 100)
	b.Queue.MaxTokens = 1000
	withRig(t, &scriptedRunner{run: produce(100, 10*time.Millisecond)}, b, func(r *rig) {
		r.session.Dispatch(r.job(0))
		send := func(tier state.Tier, tokens int) *Attempt {
			d := r.job(tier)
			d.Request.PromptTokens = tokens
			a := r.session.Dispatch(d)
			synctest.Wait()
			return a
		}
		low := send(3, 100)
		send(1, 900)
		send(1, 900)
		r.wantRefused(low, state.ReasonDisplaced)
		r.wantRefused(send(1, 900), state.ReasonQueueFull)
		r.wantRefused(send(3, 1), state.ReasonQueueFull)
		if f := r.Figures(); f.QueuedCount[1] != 2 {
			r.t.Errorf("figures %+v", f)
		}
	})
}

// Guards against reserved slots that a lower tier takes.
func TestTierReserve(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(100, 10*time.Millisecond)}, bundle(8, 20, 0, 0, 1, 3), func(r *rig) {
		for range 10 {
			r.session.Dispatch(r.job(3))
		}
		synctest.Wait()
		if f := r.Figures(); f.Window != 4 || f.RunningCount != 1 {
			r.t.Errorf("window %d with %d running, want 4 with 1", f.Window, f.RunningCount)
		}
		for range 3 {
			r.session.Dispatch(r.job(0))
		}
		synctest.Wait()
		if f := r.Figures(); f.RunningCount != 4 || f.QueuedCount[0] != 0 {
			r.t.Errorf("%d running and %d of tier 0 queued, want 4 and 0", f.RunningCount, f.QueuedCount[0])
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
			tier: tier, deadline: time.Unix(int64(deadline), 0), prompt: 50, output: 50, record: newRecord(),
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
		if ahead := q.ahead(a); ahead.count != 0 {
			t.Errorf("%s starts next behind %d others", a.id.Entry, ahead.count)
		}
		next = append(next, string(a.id.Entry))
		q.remove(a)
		q.serve(a)
	}
	if diff := gocmp.Diff(want, next); diff != "" {
		t.Error(diff)
	}
	if diff := gocmp.Diff(want, sorted); diff != "" {
		t.Error(diff)
	}
}

// Guards against counters that drift from the content, and against a prediction
// of order that differs from the order served.
func TestQueueRandom(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		q := newQueue()
		var all []*attempt
		for range 300 {
			if rng.IntN(3) > 0 || len(all) == 0 {
				a := &attempt{
					customer: state.Customer(fmt.Sprint(rng.IntN(4))), tier: state.Tier(rng.IntN(4)), record: newRecord(),
					prompt: 1 + rng.IntN(100), output: 1 + rng.IntN(100), deadline: time.Unix(int64(rng.IntN(50)), 0),
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
		prompts := 0
		for i, a := range sorted {
			prompts += a.prompt
			if n := q.ahead(a).count; n != i {
				t.Fatalf("seed %d: %d ahead of position %d", seed, n, i)
			}
		}
		if len(sorted) != len(all) || q.count != len(all) || q.prompts != prompts {
			t.Fatalf("seed %d: %d listed, %d counted, want %d; %d prompt tokens counted, want %d",
				seed, len(sorted), q.count, len(all), q.prompts, prompts)
		}
		if !slices.IsSortedFunc(sorted, func(a, b *attempt) int { return cmp.Compare(a.tier, b.tier) }) {
			t.Fatalf("seed %d: not in tier order", seed)
		}
		for i := len(sorted) - 1; i >= 0; i-- {
			if low := q.lowest(); low != sorted[i].tier || q.last(low) != sorted[i] {
				t.Fatalf("seed %d: last of tier %d is not at position %d", seed, low, i)
			}
			q.remove(sorted[i])
		}
	}
}
