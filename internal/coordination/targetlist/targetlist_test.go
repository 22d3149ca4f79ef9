package targetlist

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

func ids(l *List, now time.Time) map[state.TargetID]bool {
	out := make(map[state.TargetID]bool)
	for _, r := range l.Targets(now) {
		out[r.ID] = true
	}
	return out
}

// Guards against dropping every target for two seconds after an outage of the store
// during which the targets' records expired.
func TestExpiredTargetsReappear(t *testing.T) {
	start := time.Unix(1000, 0)
	l := New()
	l.StoreAnswered(start)
	l.Replace(start, []state.TargetRecord{{ID: "a"}, {ID: "b"}})
	l.StoreFailed()
	back := start.Add(5 * time.Second)
	l.StoreAnswered(back)
	l.Replace(back, nil)
	if !l.HasPendingRemovals() {
		t.Error("pending removals are not reported")
	}
	if got := ids(l, back.Add(time.Second)); !got["a"] || !got["b"] {
		t.Fatalf("targets one second after the store's return: %v, want both", got)
	}
	l.Put(state.TargetRecord{ID: "a"})
	if got := ids(l, back.Add(3*time.Second)); !got["a"] || got["b"] {
		t.Fatalf("targets three seconds after the store's return: %v, want only a", got)
	}
	if l.HasPendingRemovals() {
		t.Error("removals are still pending three seconds after the store's return")
	}
}

// Guards against sending work to a target that left shortly after an outage of the
// store. Its removal was taken for an expired record, and it got work 2,248 ms after
// the removal.
func TestRemovalAfterReturnTakesEffectAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	l := New()
	l.StoreAnswered(start)
	l.Replace(start, []state.TargetRecord{{ID: "a"}, {ID: "b"}})
	l.StoreFailed()
	back := start.Add(5 * time.Second)
	l.StoreAnswered(back)
	l.Remove(back.Add(900*time.Millisecond), "b")
	if got := ids(l, back.Add(900*time.Millisecond)); got["b"] {
		t.Fatal("the removed target is still listed")
	}
}

// Guards against losing a removal while the store answers.
func TestRemoval(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.StoreAnswered(now)
	l.Put(state.TargetRecord{ID: "a"})
	l.Remove(now, "a")
	if got := ids(l, now); len(got) != 0 {
		t.Fatalf("targets %v, want none", got)
	}
}

// Guards against an entry without access to the store that keeps sending work to a
// target which another entry knows to be gone.
func TestAdoptedRemovalTakesEffectDuringOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.StoreAnswered(now)
	l.Replace(now, []state.TargetRecord{{ID: "a"}, {ID: "b"}})
	l.StoreFailed()
	l.Adopt(now, []state.TargetRecord{{ID: "a"}})
	if got := ids(l, now); got["b"] || !got["a"] {
		t.Fatalf("targets %v, want only a", got)
	}
}
