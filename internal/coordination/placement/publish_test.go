package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// manyTargets returns a placer that knows n targets of 4 services.
func manyTargets(n int) *Placer {
	p := New(Config{Entry: "entry-0", Domain: "tema-a", Seed: 7})
	members := engines(n, 380)
	for i := range n {
		members[i].Service = state.Service(fmt.Sprintf("llm-%d", i%4))
	}
	p.owner.apply(membersEvent{members: members})
	for i := range min(n, 96) {
		p.owner.apply(openedEvent{target: engine(i), incarnation: 1, status: &state.Status{Figures: *idleFigures(100)}, at: time.Now()})
	}
	return p
}

// Guards against a snapshot that misses a change or an order that depends on
// which views were published before, when unchanged views are published again.
func TestPublishKeepsUnchangedViews(t *testing.T) {
	p := manyTargets(12)
	before := p.snapshot.Load()
	p.owner.apply(statusEvent{target: engine(3), status: &state.Status{Figures: *idleFigures(50)}, at: time.Now()})
	after := p.snapshot.Load()
	for i := range 12 {
		id := engine(i)
		if same := before.targets[id] == after.targets[id]; same != (i != 3) {
			t.Errorf("%s: view kept %t", id, same)
		}
	}
	if got := after.targets[engine(3)].figures.DecodeRate; got != 50 {
		t.Errorf("decode rate %g, want 50", got)
	}
	// The members change: one leaves the list and one is new.
	members := engines(13, 1)[1:]
	p.owner.apply(membersEvent{members: members})
	for _, v := range p.snapshot.Load().services {
		for i, x := range v.all {
			if x.id == engine(0) || i > 0 && v.all[i-1].id >= x.id {
				t.Errorf("target %s at place %d of its service", x.id, i)
			}
		}
	}
	if p.snapshot.Load().targets[engine(12)] == nil {
		t.Error("the new target is missing")
	}
}

func BenchmarkStatus(b *testing.B) {
	for _, n := range []int{24, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := manyTargets(n)
			for i := 0; b.Loop(); i++ {
				p.owner.apply(statusEvent{target: engine(i % 24), status: &state.Status{Figures: *idleFigures(100)}, at: time.Now()})
			}
		})
	}
}
