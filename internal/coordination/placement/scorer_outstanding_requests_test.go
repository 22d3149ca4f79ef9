package placement

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a count that misses queued, running or recently sent requests.
func TestScoreOutstandingRequests(t *testing.T) {
	busy := &target{id: "busy", figures: &state.LoadFigures{RunningCount: 2, QueuedCount: [state.MaxTiers]int{0, 3}}, shared: new(sharedState)}
	busy.shared.requests.Store(4)
	s := testEvaluation(state.Request{}, busy, &target{id: "one", figures: &state.LoadFigures{RunningCount: 1}}, &target{id: "unknown"})
	for i, want := range []float64{1.0 / 10, 1.0 / 2, 1} {
		if got := scoreOutstandingRequests(s, s.candidates[i]); got != want {
			t.Errorf("%s: score %g, want %g", s.candidates[i].target.id, got, want)
		}
	}
}
