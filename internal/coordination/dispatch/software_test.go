package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

func softwareTargets(n int, software func(i int) state.SoftwareVersion) []state.TargetRecord {
	var records []state.TargetRecord
	for i := range n {
		id := fmt.Sprint("t", i)
		records = append(records, state.TargetRecord{ID: state.TargetID(id), Service: "s", Address: id, Slots: 1, Software: software(i)})
	}
	return records
}

func softwareRequest(required state.SoftwareVersion) *Request {
	now := time.Now()
	return &Request{
		Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(10 * time.Second),
		RequiredSoftware: &required, AlreadyAdmitted: true,
	}
}

// Guards against a stream that is sent to a target of another software version because
// those of its own are full or gone: it waits in the first case and is refused in the
// second.
func TestRequiredSoftware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("a", 1, time.Now, noObserver{}, newTestLimits("self", time.Time{}))
		s.SetTargets(softwareTargets(4, func(i int) state.SoftwareVersion { return []state.SoftwareVersion{"v1", "v2", "v2", "v2"}[i] }))
		var held []*Grant // more than the slots, because a target may queue a few
		for {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			g, err := s.Acquire(ctx, softwareRequest("v1"))
			cancel()
			if err != nil {
				break // the only target of v1 is full
			}
			held = append(held, g)
		}
		time.AfterFunc(100*time.Millisecond, func() { s.Release(held[0], Served) })
		began := time.Now()
		g, err := s.Acquire(t.Context(), softwareRequest("v1"))
		if err != nil || g.Target.Software != "v1" || time.Since(began) < 100*time.Millisecond {
			t.Fatalf("grant %+v after %s, error %v; want the target of v1 once it is free", g, time.Since(began), err)
		}
		var refusal *Refusal
		if _, err := s.Acquire(t.Context(), softwareRequest("v3")); !errors.As(err, &refusal) || refusal.Reason != ReasonNoTarget {
			t.Errorf("error %v for a version that no target has, want a refusal", err)
		}
		time.AfterFunc(500*time.Millisecond, func() {
			s.SetTargets(softwareTargets(4, func(int) state.SoftwareVersion { return "v2" }))
		})
		if _, err := s.Acquire(t.Context(), softwareRequest("v1")); !errors.As(err, &refusal) {
			t.Errorf("error %v when the last target of the version leaves, want a refusal", err)
		}
	})
}

// Guards against refusing to continue a stream in a large fleet, in which an entry uses
// some targets only, because none of these has the software version.
func TestRequiredSoftwareBeyondSubset(t *testing.T) {
	s := New("a", 1, time.Now, noObserver{}, newTestLimits("self", time.Time{}))
	s.SetTargets(softwareTargets(500, func(i int) state.SoftwareVersion {
		if i < 2 {
			return "v1"
		}
		return "v2"
	}))
	for i := range 20 {
		s.SetPosition(Position{Index: 15 * i, Count: 300})
		g, err := s.Acquire(t.Context(), softwareRequest("v1"))
		if err != nil || g.Target.Software != "v1" {
			t.Fatalf("grant %+v, error %v; want a target of v1", g, err)
		}
		s.Release(g, Served)
	}
}
