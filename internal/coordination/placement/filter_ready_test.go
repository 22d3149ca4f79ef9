package placement

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against accepting leaving or ejected targets, and against a second probe
// while one is claimed or open.
func TestIsReady(t *testing.T) {
	s := testEvaluation(state.Request{})
	now := s.query.Now
	for _, tc := range []struct {
		name       string
		target     target
		leaving    bool
		probeState int64
		want       bool
	}{
		{"sound", target{}, false, 0, true},
		{"leaving", target{}, true, 0, false},
		{"in backoff", target{ejected: true, backoffEnd: now.Add(time.Second)}, false, 0, false},
		{"due for a probe", target{ejected: true, backoffEnd: now}, false, 0, true},
		{"probe claimed", target{ejected: true, backoffEnd: now}, false, now.UnixNano(), false},
		{"probe sent", target{ejected: true, backoffEnd: now}, false, probeInFlight, false},
		{"claim abandoned", target{ejected: true, backoffEnd: now}, false, now.Add(-probeClaimTimeout).UnixNano(), true},
	} {
		tc.target.shared = new(sharedState)
		tc.target.shared.probeState.Store(tc.probeState)
		if tc.leaving {
			tc.target.shared.markLeaving(now)
		}
		if got := isReady(s, &tc.target); got != tc.want {
			t.Errorf("%s: accepted %v, want %v", tc.name, got, tc.want)
		}
	}
}
