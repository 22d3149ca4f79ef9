package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// keyOf returns the key of a target in reports.
func keyOf(id state.TargetID) TargetKey { return TargetKey(hashTargetID(id)) }

// clock is a manual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// newTestScheduler returns a scheduler with the targets t1 and t2 of two slots each,
// and its clock. Another entry reports no load.
func newTestScheduler() (*Scheduler, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	s := New("a", 1, c.now, noObserver{}, newTestLimits("self", time.Time{}))
	s.SetTargets([]state.TargetRecord{
		{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 1},
		{ID: "t2", Service: "s", Address: "2", Domain: "a", Slots: 2, Started: 1},
	})
	s.SetReport("other", Report{})
	return s, c
}

// request returns a request that arrives now.
func (c *clock) request(repeatable bool) *Request {
	return &Request{
		Service: "s", Arrived: c.at, Objective: 100 * time.Millisecond, Deadline: c.at.Add(time.Minute), Repeatable: repeatable,
	}
}

func acquire(t *testing.T, s *Scheduler, r *Request) *Grant {
	t.Helper()
	g, err := s.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// allowOnly returns r with all targets but id marked as tried.
func allowOnly(r *Request, id state.TargetID) *Request {
	for _, other := range []state.TargetID{"t1", "t2"} {
		if other != id {
			r.Tried = append(r.Tried, other)
		}
	}
	return r
}

// Guards against sending more and more requests to a target that has stopped
// responding.
func TestSilentTargetGetsNoMoreWork(t *testing.T) {
	s, c := newTestScheduler()
	acquire(t, s, allowOnly(c.request(true), "t1"))
	c.at = c.at.Add(time.Second)
	for range 3 {
		if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
			t.Fatalf("target %s was chosen although it does not respond", g.Target.ID)
		}
	}
}

// Guards against losing requests that may run only once, because they are used to
// probe an ejected target.
func TestEjectedTargetIsProbedWithRepeatableRequests(t *testing.T) {
	s, c := newTestScheduler()
	s.Release(acquire(t, s, allowOnly(c.request(true), "t1")), Unreachable)
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
		t.Errorf("target %s was chosen right after it was ejected", g.Target.ID)
	}
	c.at = c.at.Add(initialBackoff)
	s.SetReport("other", Report{})
	if g := acquire(t, s, c.request(false)); g.Target.ID != "t2" {
		t.Error("a request that may run only once was used as a probe")
	}
	probe := acquire(t, s, c.request(true))
	if probe.Target.ID != "t1" {
		t.Fatal("the target is not probed after its backoff")
	}
	s.Release(probe, Served)
	if g := acquire(t, s, allowOnly(c.request(false), "t1")); g.Target.ID != "t1" {
		t.Error("the target is still ejected after a successful probe")
	}
}

// Guards against spending the retry budget on a target whose address another target
// has taken over: each request to it is answered with status 421, which happened
// 3,069 times in one run.
func TestReplacedTargetGetsNoWork(t *testing.T) {
	s, c := newTestScheduler()
	s.Release(acquire(t, s, allowOnly(c.request(true), "t1")), Gone)
	c.at = c.at.Add(maxBackoff)
	s.SetReport("other", Report{})
	for range 3 {
		if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
			t.Fatal("a request was sent to the replaced target")
		}
	}
	s.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 2}})
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t1" {
		t.Error("the target that restarted with the same ID gets no requests")
	}
}

// Guards against sending requests to a target that is draining.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	s, c := newTestScheduler()
	s.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "1", Slots: 2, Draining: true}})
	var refusal *Refusal
	if _, err := s.Acquire(t.Context(), c.request(true)); !errors.As(err, &refusal) || refusal.Reason != ReasonNoTarget || refusal.RetryAfter <= 0 {
		t.Errorf("error %v, want a refusal for lack of a target, with a retry time", err)
	}
}

// Guards against losing a slot when a waiting request is cancelled.
func TestCancelledWaiterLeaksNoSlot(t *testing.T) {
	s, c := newTestScheduler()
	var grants []*Grant
	for range 2 * (2 + DefaultAdmission().QueuedRequests) {
		grants = append(grants, acquire(t, s, c.request(true)))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := c.request(true)
	r.AlreadyAdmitted = true // is queued whatever wait is predicted
	if _, err := s.Acquire(ctx, r); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want that of the context", err)
	}
	if n := s.Waiting("s"); n != 0 {
		t.Errorf("%d requests wait, want none", n)
	}
	for _, g := range grants {
		s.Release(g, Served)
	}
	for range 2 * (2 + DefaultAdmission().QueuedRequests) {
		acquire(t, s, c.request(true))
	}
}

// Guards against treating slots as free that other entries report to use.
func TestReportedRequestsOccupySlots(t *testing.T) {
	s, c := newTestScheduler()
	s.SetReport("other", Report{Open: map[TargetKey]int{keyOf("t1"): 3, keyOf("t2"): 1}})
	for range 2 {
		if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
			t.Fatalf("target %s was chosen although another entry uses its slots", g.Target.ID)
		}
	}
	c.at = c.at.Add(minReportLifetime + time.Millisecond)
	s.SetReport("third", Report{})
	s.GrantFreeSlots()
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t1" {
		t.Error("the slots of an entry whose report has expired are still in use")
	}
}

// observeResponses lets the cost model observe responses of a target to requests of one
// and of many prompt tokens.
func observeResponses(s *Scheduler, id state.TargetID, base, perThousandTokens time.Duration) {
	for n := range 60 {
		w := costmodel.Work{PromptTokens: float64(n % 3 * 5000)}
		took := base + time.Duration(w.PromptTokens/1000*float64(perThousandTokens))
		s.pool("s").cost.ObserveResponse(&s.targets[id].cost, w, costmodel.Load{Slots: 2}, took)
	}
}

// Targets of unlike speed. Guards against sending a long prompt to a slow target, where
// it is late, just before a slot of a fast one is free, and against leaving the slow
// target idle while a short prompt waits that can be on time there.
func TestLongPromptWaitsForFastTarget(t *testing.T) {
	s, c := newTestScheduler()
	observeResponses(s, "t1", 10*time.Millisecond, 5*time.Millisecond)
	observeResponses(s, "t2", 40*time.Millisecond, 20*time.Millisecond)
	var held []*Grant
	for range 2 + DefaultAdmission().QueuedRequests {
		held = append(held, acquire(t, s, allowOnly(c.request(true), "t1")))
	}
	long, short := c.request(true), c.request(true)
	long.Work.PromptTokens = 10000
	waiting, grant, refusal := s.place(long)
	if waiting == nil {
		t.Fatalf("the long prompt got %+v, %v, want it to wait for the fast target", grant, refusal)
	}
	if g := acquire(t, s, short); g.Target.ID != "t2" {
		t.Errorf("the short prompt was sent to %s, want the slow target", g.Target.ID)
	}
	for _, g := range held {
		s.Release(g, Cancelled)
	}
	if waiting.grant == nil || waiting.grant.Target.ID != "t1" {
		t.Errorf("the long prompt got %+v after a slot of the fast target was freed", waiting.grant)
	}
}

// Guards against refusing a request although a target has free slots, only because
// another one would suit it better.
func TestLongPromptTakesSlowTargetInTheEnd(t *testing.T) {
	s, c := newTestScheduler()
	observeResponses(s, "t1", 10*time.Millisecond, 5*time.Millisecond)
	observeResponses(s, "t2", 40*time.Millisecond, 20*time.Millisecond)
	for range 2 + DefaultAdmission().QueuedRequests {
		acquire(t, s, allowOnly(c.request(true), "t1"))
	}
	long := c.request(true)
	long.Work.PromptTokens = 10000
	waiting, _, _ := s.place(long)
	if waiting == nil {
		t.Fatal("the long prompt does not wait for the fast target")
	}
	c.at = c.at.Add(long.Objective)
	s.SetReport("other", Report{})
	s.GrantFreeSlots()
	if waiting.grant == nil || waiting.grant.Target.ID != "t2" {
		t.Errorf("grant %+v, refusal %v, want a slot of the slow target", waiting.grant, waiting.refusal)
	}
}

// Guards against targets that stay ejected for ever because all requests of their
// service may run only once, so that none is used as a probe.
func TestEjectedTargetIsProbedWithoutRepeatableRequests(t *testing.T) {
	s, c := newTestScheduler()
	for _, id := range []state.TargetID{"t1", "t2"} {
		s.Release(acquire(t, s, allowOnly(c.request(false), id)), Unreachable)
	}
	c.at = c.at.Add(initialBackoff + time.Second)
	s.SetReport("other", Report{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // makes Acquire fail if the request has to wait
	if _, err := s.Acquire(ctx, c.request(false)); err != nil {
		t.Errorf("error %v, want the request to be the probe", err)
	}
}
