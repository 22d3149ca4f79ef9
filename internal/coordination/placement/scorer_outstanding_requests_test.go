package placement

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a count that misses queued, running or recently sent requests.
func TestOutstandingRequests(t *testing.T) {
	busy := &target{id: "busy", figures: &state.Figures{RunningCount: 2, QueuedCount: [state.MaxTiers]int{0, 3}}, live: new(live)}
	busy.live.count.Store(4)
	s := testEvaluation(state.Request{}, busy, &target{id: "one", figures: &state.Figures{RunningCount: 1}}, &target{id: "unknown"})
	for i, want := range []float64{1.0 / 10, 1.0 / 2, 1} {
		if got := outstandingRequests(s, s.candidates[i]); got != want {
			t.Errorf("%s: %g, want %g", s.candidates[i].target.id, got, want)
		}
	}
}
