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
	s.Release(open[0], Unused)
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

// Guards against a request that arrives while a planned stop ends, is sent because it is predicted
// to end in time, and is cut because its target is slower than that.
func TestRequestThatArrivesAsAStopEndsMayTakeUntilItsDeadline(t *testing.T) {
	s, c := newTestScheduler()
	s.StopBy(c.at.Add(4 * time.Second))
	for _, test := range []struct {
		name                 string
		readAt, deadline     time.Duration
		responseBegun, takes bool
	}{
		{"read before", 0, 5 * time.Second, false, true},
		{"deadline after the end", time.Millisecond, 4001 * time.Millisecond, false, false},
		{"deadline at the end", time.Millisecond, 4 * time.Second, false, true},
		{"goes on with a stream", time.Millisecond, 5 * time.Second, true, true},
	} {
		r := c.request(false)
		r.ReadAt, r.Deadline, r.ResponseBegun, r.AlreadyAdmitted = c.at.Add(test.readAt), c.at.Add(test.deadline), test.responseBegun, test.responseBegun
		_, g, refusal := s.placeNow(r)
		if (g != nil) != test.takes || !test.takes && (refusal == nil || refusal.Reason != ReasonStopping) {
			t.Errorf("%s: grant %v, refusal %v; want a grant: %t", test.name, g, refusal, test.takes)
		}
		if g != nil {
			s.Release(g, Unused)
		}
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

// Guards against sending a request during a planned stop to a target whose slots are all in
// use, where it would wait for a slot for longer than the stop lasts.
func TestPlannedStopCountsTheWaitAtTheTarget(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	s := New("a", 1, c.now, noObserver{}, newTestLimits("self", time.Time{}))
	s.SetTargets([]state.TargetRecord{{ID: "t", Service: "s", Address: "1", Domain: "a", Slots: 1, Started: 1}})
	request := func() *Request {
		s.SetReport("other", Report{})
		r := c.request(false)
		r.Objective = 30 * time.Second
		return r
	}
	for range 60 {
		g := acquire(t, s, request())
		c.at = c.at.Add(2 * time.Second)
		s.ResponseStarted(g)
		s.Release(g, Served)
	}
	const left = 4100 * time.Millisecond
	s.StopBy(c.at.Add(left))
	if _, g, _ := s.placeNow(request()); g == nil {
		t.Fatal("the first request, which ends before the stop, is not sent")
	}
	if _, g, _ := s.placeNow(request()); g != nil {
		t.Errorf("sent although the response is predicted in %v, twice which is allowed for, and the stop ends in %v", g.Predicted, left)
	}
}
