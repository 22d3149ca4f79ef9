package dispatch

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// placeNow places r and returns its waiter, grant or refusal.
func (s *Scheduler) placeNow(r *Request) (*waiter, *Grant, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.place(r)
}

// Guards against a request that waits at a saturated service until the planned stop ends, and
// against one that is sent so late that its response cannot end before.
func TestPlannedStopRefusesRequestsThatCannotEnd(t *testing.T) {
	s, c := newTestScheduler()
	var open []*Grant
	wait := func(w costmodel.Work) *waiter {
		for {
			r := c.request(false)
			r.Objective, r.LargestWork = 30*time.Second, w
			waiter, g, refusal := s.placeNow(r)
			if refusal != nil {
				t.Fatal(refusal)
			}
			if waiter != nil {
				return waiter
			}
			open = append(open, g)
		}
	}
	first, second, large := wait(costmodel.Work{}), wait(costmodel.Work{}), wait(costmodel.Work{OutputTokens: 100})
	s.StopBy(c.at.Add(2 * time.Second))
	if large.refusal == nil || large.refusal.Reason != ReasonStopping {
		t.Errorf("a request that takes up to %v: refusal %v; want it refused at once", longest(large.request, 0), large.refusal)
	}
	c.at = c.at.Add(1100 * time.Millisecond)
	s.Release(open[0], Served)
	if first.grant == nil {
		t.Errorf("a request that ends before the stop: refusal %v; want a grant", first.refusal)
	}
	c.at = c.at.Add(200 * time.Millisecond)
	s.GrantFreeSlots()
	if second.refusal == nil || second.refusal.Reason != ReasonStopping || second.refusal.RetryAfter <= 0 {
		t.Errorf("a request that waits until it no longer ends before the stop: refusal %v; want %s", second.refusal, ReasonStopping)
	}
	if _, g, refusal := s.placeNow(c.request(false)); g != nil || refusal == nil || refusal.Reason != ReasonStopping {
		t.Errorf("a request that arrives too late: grant %v, refusal %v", g, refusal)
	}
	begun := c.request(false)
	begun.AlreadyAdmitted, begun.ResponseBegun = true, true
	for _, g := range open {
		s.Release(g, Served)
	}
	if _, g, refusal := s.placeNow(begun); g == nil {
		t.Errorf("a stream that has begun: refusal %v; want it continued", refusal)
	}
}

// Guards against sending a request during a planned stop to a target that is known to be too
// slow for it, and against refusing it while another target is fast enough.
func TestPlannedStopLeavesOutSlowTargets(t *testing.T) {
	s, c := newTestScheduler()
	for _, took := range []struct {
		id state.TargetID
		d  time.Duration
	}{{"t1", 20 * time.Millisecond}, {"t2", 3 * time.Second}} {
		for range 10 {
			g := acquire(t, s, allowOnly(c.request(false), took.id))
			c.at = c.at.Add(took.d)
			s.ResponseStarted(g)
			s.Release(g, Served)
		}
	}
	s.StopBy(c.at.Add(2 * time.Second))
	for range 2 {
		if g := acquire(t, s, c.request(false)); g.Target.ID != "t1" {
			t.Errorf("sent to %s, whose responses take 3 s", g.Target.ID)
		}
	}
}
