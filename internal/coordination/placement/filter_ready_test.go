package placement

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against work for leaving or ejected targets, and against a second
// probe while one is open.
func TestReady(t *testing.T) {
	s := testEvaluation(state.Request{})
	now := s.query.Now
	for _, tc := range []struct {
		name  string
		state target
		leave bool
		probe int64
		want  bool
	}{
		{"sound", target{}, false, 0, true},
		{"leaving", target{}, true, 0, false},
		{"in backoff", target{ejected: true, probeFrom: now.Add(time.Second)}, false, 0, false},
		{"due for a probe", target{ejected: true, probeFrom: now}, false, 0, true},
		{"probe claimed", target{ejected: true, probeFrom: now}, false, now.UnixNano(), false},
		{"probe sent", target{ejected: true, probeFrom: now}, false, probeSent, false},
		{"claim abandoned", target{ejected: true, probeFrom: now}, false, now.Add(-probeClaimTimeout).UnixNano(), true},
	} {
		tc.state.live = new(live)
		tc.state.live.probe.Store(tc.probe)
		if tc.leave {
			tc.state.live.leave(now)
		}
		if got := ready(s, &tc.state); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
