package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// newPlacerWithTargets returns a placer that knows n targets of 4 services, up to 96
// of them with sessions and figures.
func newPlacerWithTargets(n int) *Placer {
	p := New(Config{Entry: "entry-0", Domain: "tema-a", Seed: 7})
	members := testMembers(n, 380)
	for i := range n {
		members[i].Service = state.Service(fmt.Sprintf("llm-%d", i%4))
	}
	p.owner.apply(membersEvent{members: members})
	for i := range min(n, 96) {
		p.owner.apply(sessionOpenedEvent{target: engineID(i), incarnation: 1, status: &state.Status{Figures: *idleFigures(100)}, at: time.Now()})
	}
	return p
}

// Guards against a snapshot that misses a change, and against targets in another
// order than by name. Both could come about because unchanged views and the
// sorted targets are reused.
func TestPublishKeepsUnchangedViews(t *testing.T) {
	p := newPlacerWithTargets(12)
	before := p.snapshot.Load()
	p.owner.apply(statusEvent{target: engineID(3), status: &state.Status{Figures: *idleFigures(50)}, at: time.Now()})
	after := p.snapshot.Load()
	for i := range 12 {
		id := engineID(i)
		if same := before.targets[id] == after.targets[id]; same != (i != 3) {
			t.Errorf("%s: earlier view reused: %t, want the opposite", id, same)
		}
	}
	if got := after.targets[engineID(3)].figures.DecodeRate; got != 50 {
		t.Errorf("decode rate %g, want 50", got)
	}
	// One member is removed from the list and one is added.
	members := testMembers(13, 1)[1:]
	p.owner.apply(membersEvent{members: members})
	for _, v := range p.snapshot.Load().services {
		for i, x := range v.targets {
			if x.id == engineID(0) || i > 0 && v.targets[i-1].id >= x.id {
				t.Errorf("target %s is at position %d of its service", x.id, i)
			}
		}
	}
	if p.snapshot.Load().targets[engineID(12)] == nil {
		t.Error("the new target is missing")
	}
}

func BenchmarkStatus(b *testing.B) {
	for _, n := range []int{24, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPlacerWithTargets(n)
			for i := 0; b.Loop(); i++ {
				p.owner.apply(statusEvent{target: engineID(i % 24), status: &state.Status{Figures: *idleFigures(100)}, at: time.Now()})
			}
		})
	}
}
