package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// KeyOf returns the key of a target in reports.
func KeyOf(id state.TargetID) Key { return Key(hashOf(id)) }

// clock is a time that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// newTest returns a scheduler of two targets with two slots each.
func newTest() (*Scheduler, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	s := New("a", 1, c.now, quiet{})
	s.SetTargets([]state.TargetRecord{
		{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 1},
		{ID: "t2", Service: "s", Address: "2", Domain: "a", Slots: 2, Started: 1},
	})
	s.SetReport("other", Report{})
	return s, c
}

func (c *clock) request(repeatable bool) *Request {
	return &Request{
		Service: "s", Cost: 1, Arrived: c.at, Objective: 100 * time.Millisecond, Deadline: c.at.Add(time.Minute), Repeatable: repeatable,
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

// only returns a request that can go to one target alone.
func only(r *Request, id state.TargetID) *Request {
	for _, other := range []state.TargetID{"t1", "t2"} {
		if other != id {
			r.Tried = append(r.Tried, other)
		}
	}
	return r
}

// Guards against sending more and more requests to a target that has stopped
// answering.
func TestSilentTargetGetsNoMoreWork(t *testing.T) {
	s, c := newTest()
	acquire(t, s, only(c.request(true), "t1"))
	c.at = c.at.Add(time.Second)
	for range 3 {
		if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
			t.Fatalf("target %s was chosen, which is silent", g.Target.ID)
		}
	}
}

// Guards against losing requests that may run once to the probe of a target that
// was ejected.
func TestEjectedTargetIsProbedWithRepeatableRequests(t *testing.T) {
	s, c := newTest()
	s.Release(acquire(t, s, only(c.request(true), "t1")), Unreachable)
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
		t.Errorf("target %s was chosen right after it was ejected", g.Target.ID)
	}
	c.at = c.at.Add(firstBackoff)
	s.SetReport("other", Report{})
	if g := acquire(t, s, c.request(false)); g.Target.ID != "t2" {
		t.Error("a request that may run once was used as a probe")
	}
	probe := acquire(t, s, c.request(true))
	if probe.Target.ID != "t1" {
		t.Fatal("the target is not probed after its backoff")
	}
	s.Release(probe, Served)
	if g := acquire(t, s, only(c.request(false), "t1")); g.Target.ID != "t1" {
		t.Error("the target did not return after a probe that was served")
	}
}

// Guards against spending the budget of repeated sends on a target whose address
// another one has (found on scale-1 of pelletier-gauge-grown: 3,069 answers 421).
func TestTargetWhoseAddressIsTaken(t *testing.T) {
	s, c := newTest()
	s.Release(acquire(t, s, only(c.request(true), "t1")), Gone)
	c.at = c.at.Add(maxBackoff)
	s.SetReport("other", Report{})
	for range 3 {
		if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
			t.Fatal("the target got work again")
		}
	}
	s.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 2}})
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t1" {
		t.Error("the target that started again under the name gets no work")
	}
}

// Guards against sending work to a target that leaves.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	s, c := newTest()
	s.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "1", Slots: 2, Draining: true}})
	var refusal *Refusal
	if _, err := s.Acquire(t.Context(), c.request(true)); !errors.As(err, &refusal) || refusal.Reason != ReasonNoTarget || refusal.RetryAfter <= 0 {
		t.Errorf("error %v, want a refusal with a time to come back", err)
	}
}

// Guards against a slot that is lost when its request gives up while it waits.
func TestWaiterThatGivesUp(t *testing.T) {
	s, c := newTest()
	var grants []*Grant
	for range 2 * (2 + DefaultAdmission().QueuedRequests) {
		grants = append(grants, acquire(t, s, c.request(true)))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := c.request(true)
	r.Again = true // waits whatever is predicted
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

// Guards against counting a slot that another entry has taken as free.
func TestReportedRequestsTakeSlots(t *testing.T) {
	s, c := newTest()
	s.SetReport("other", Report{Open: map[Key]int{KeyOf("t1"): 3, KeyOf("t2"): 1}})
	for range 2 {
		if g := acquire(t, s, c.request(true)); g.Target.ID != "t2" {
			t.Fatalf("target %s was chosen, whose slots another entry has", g.Target.ID)
		}
	}
	c.at = c.at.Add(peerLifetime + time.Millisecond)
	s.SetReport("third", Report{})
	s.Pump()
	if g := acquire(t, s, c.request(true)); g.Target.ID != "t1" {
		t.Error("an entry that has gone silent still holds its slots")
	}
}

// Guards against a service whose requests may all run once only and whose targets
// were all ejected: nothing would ever probe them.
func TestEjectedTargetIsProbedAtLast(t *testing.T) {
	s, c := newTest()
	for _, id := range []state.TargetID{"t1", "t2"} {
		s.Release(acquire(t, s, only(c.request(false), id)), Unreachable)
	}
	c.at = c.at.Add(firstBackoff + time.Second)
	s.SetReport("other", Report{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // a request that has to wait fails
	if _, err := s.Acquire(ctx, c.request(false)); err != nil {
		t.Errorf("error %v, want the request to be the probe", err)
	}
}
