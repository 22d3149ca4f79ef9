package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// tell lets the target of a grant ask for a pause, and returns the grant.
func tell(s *Scheduler, g *Grant, pause time.Duration) {
	s.Observe(g, state.Statement{Pause: pause}, false)
	s.Release(g, Rejected)
}

// refusal returns the refusal of a request, or nil if it got a grant, which is released.
func refusal(t *testing.T, s *Scheduler, r *Request) *Refusal {
	t.Helper()
	g, err := s.Acquire(t.Context(), r)
	var refused *Refusal
	switch {
	case errors.As(err, &refused):
		return refused
	case err != nil:
		t.Fatal(err)
	}
	s.Release(g, Unused)
	return nil
}

// Guards against a pause that a shorter one ends, and against one that is forgotten because
// the list of targets loses the target for a moment.
func TestPauseIsNotEndedEarly(t *testing.T) {
	s, c := newTestScheduler()
	list := []state.TargetRecord{{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 1}, {ID: "t2", Service: "s", Address: "2", Domain: "a", Slots: 2, Started: 1}}
	first, second := acquire(t, s, allowOnly(c.request(true), "t1")), acquire(t, s, allowOnly(c.request(true), "t1"))
	tell(s, first, 3*time.Second)
	tell(s, second, time.Second)
	c.at = c.at.Add(2 * time.Second)
	s.SetTargets(list[1:])
	s.SetTargets(list)
	if refusal(t, s, allowOnly(c.request(true), "t1")) == nil {
		t.Error("the target got a request within the pause")
	}
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
		t.Error("the target got a request within the pause")
	}
	c.at = c.at.Add(time.Second + maxPauseJitter)
	if g := acquire(t, s, allowOnly(c.request(true), "t1")); g.Target.ID != "t1" {
		t.Error("the target is not used after the pause")
	}
}

// Guards against requests that wait for targets which all pause, and against a time to
// return that says nothing of the pauses.
func TestRequestsAreRefusedWhileAllTargetsPause(t *testing.T) {
	s, c := newTestScheduler()
	first, second := acquire(t, s, allowOnly(c.request(true), "t1")), acquire(t, s, allowOnly(c.request(true), "t2"))
	tell(s, first, 3*time.Second)
	tell(s, second, 5*time.Second)
	for name, r := range map[string]*Request{"first send": c.request(false), "repeated send": c.request(true)} {
		r.AlreadyAdmitted = name == "repeated send"
		refused := refusal(t, s, r)
		if refused == nil || refused.Reason != ReasonPaused || refused.RetryAfter < 3*time.Second || refused.RetryAfter > 5*time.Second {
			t.Errorf("%s: refusal %+v, want one for the pauses, that ends with the shorter of them", name, refused)
		}
	}
	resumed := c.request(true)
	resumed.Resumed, resumed.AlreadyAdmitted = true, true
	done := make(chan *Grant)
	go func() {
		g, err := s.Acquire(t.Context(), resumed)
		if err != nil {
			t.Error(err)
		}
		done <- g
	}()
	for s.Waiting("s") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.at = c.at.Add(3*time.Second + maxPauseJitter)
	s.GrantFreeSlots()
	if g := <-done; g == nil || g.Target.ID != "t1" {
		t.Errorf("a stream that has begun got %v, want the target that takes requests first", g)
	}
}

// Guards against all waiting requests going to a target at once when its pause ends.
func TestTargetIsUsedStepByStepAfterAPause(t *testing.T) {
	s, c := newTestScheduler()
	s.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 8, Started: 1}})
	tell(s, acquire(t, s, c.request(true)), time.Second)
	c.at = c.at.Add(time.Second + maxPauseJitter)
	for _, want := range []int{1, 2, 4} {
		var grants []*Grant
		for {
			s.mu.Lock()
			_, g, _ := s.place(c.request(true))
			s.mu.Unlock()
			if g == nil {
				break
			}
			grants = append(grants, g)
		}
		s.pool("s").queue = nil
		if len(grants) != want {
			t.Fatalf("%d requests at once, want %d", len(grants), want)
		}
		for _, g := range grants {
			s.Release(g, Served)
		}
		s.pool("s").queue = nil
	}
}

// Guards against a pause, or a grant from before it, that passes to the successor of a
// target at its address; and against sending a request with a grant from before the pause.
func TestPauseBindsOneRunOnly(t *testing.T) {
	s, c := newTestScheduler()
	first, second := acquire(t, s, allowOnly(c.request(true), "t1")), acquire(t, s, allowOnly(c.request(true), "t1"))
	tell(s, first, time.Minute)
	if s.Holds(second) {
		t.Error("a request may be sent to the target although it was granted before the pause")
	}
	for _, successor := range []state.TargetRecord{
		{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 2},
		{ID: "t3", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 3},
	} {
		s.SetTargets([]state.TargetRecord{successor})
		g := acquire(t, s, c.request(true))
		if !s.Holds(g) {
			t.Errorf("successor %s %d does not take requests", successor.ID, successor.Started)
		}
		s.Release(g, Served)
	}
	c.at = c.at.Add(2 * time.Minute)
	s.SetTargets(nil)
	if len(s.statements) != 0 {
		t.Errorf("%d statements of targets that are gone are kept", len(s.statements))
	}
}

// Guards against requests to a target that has said that it leaves, also when the list of
// targets loses it for a moment, against keeping them from its successor, and against taking
// its end for a crash.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	s, c := newTestScheduler()
	list := []state.TargetRecord{{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 1}}
	s.SetTargets(list)
	g, waiting := acquire(t, s, c.request(true)), acquire(t, s, c.request(true))
	s.Observe(g, state.Statement{Leaving: true}, true)
	s.Release(g, Served)
	if s.Holds(waiting) || s.Serves(waiting) {
		t.Error("the target is still expected to serve requests")
	}
	s.SetTargets(nil)
	s.SetTargets(list)
	if refused := refusal(t, s, c.request(true)); refused == nil || refused.Reason != ReasonNoTarget {
		t.Errorf("refusal %+v, want one because there is no target", refused)
	}
	s.SetTargets([]state.TargetRecord{{ID: "t2", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 2}})
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" || !s.Holds(g) {
		t.Error("the successor at the address gets no requests")
	}
	c.at = c.at.Add(leavingMemory)
	s.SetTargets(nil)
	if len(s.statements) != 0 {
		t.Errorf("%d statements of targets that are gone are kept", len(s.statements))
	}
}
