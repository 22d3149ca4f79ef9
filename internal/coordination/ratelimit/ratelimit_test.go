package ratelimit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// at returns a time n seconds after an arbitrary start.
func at(n float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(n * float64(time.Second))) }

// perSecond returns a limit that is stated.
func perSecond(n float64) state.RateLimit { return state.RateLimit{PerSecond: n, Stated: true} }

// Guards against a limit that is ended by a response which was under way when the target
// began to state it, and against one that never ends.
func TestLimitEndsWithLaterRequest(t *testing.T) {
	l := New(Config{Self: "self"})
	l.SetTargets(map[state.TargetID]bool{"t": true})
	if c := l.Observe(at(1), at(0), "t", state.RateLimit{}); c != nil {
		t.Errorf("a response without a limit changed %+v", c)
	}
	l.Observe(at(2), at(1.5), "t", perSecond(4))
	l.Observe(at(3), at(1.9), "t", state.RateLimit{})
	if diff := cmp.Diff(perSecond(4), l.Limit("t")); diff != "" {
		t.Errorf("after a response to an earlier request (-want +got):\n%s", diff)
	}
	l.Observe(at(3), at(2.5), "t", perSecond(2.5))
	if diff := cmp.Diff(perSecond(2.5), l.Limit("t")); diff != "" {
		t.Errorf("after another value (-want +got):\n%s", diff)
	}
	c := l.Observe(at(4), at(3.1), "t", state.RateLimit{})
	if diff := cmp.Diff(&Change{Target: "t", From: perSecond(2.5), Age: 900 * time.Millisecond, Source: "self"}, c); diff != "" {
		t.Errorf("change at the end (-want +got):\n%s", diff)
	}
	if l.Limit("t").Stated {
		t.Error("the limit is in force after a response to a later request stated none")
	}
}
