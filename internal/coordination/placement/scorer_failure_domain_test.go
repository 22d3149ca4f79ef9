package placement

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a preference for failure domains other than the entry's own.
func TestScoreFailureDomain(t *testing.T) {
	s := testEvaluation(state.Request{}, &target{id: "a", domain: "tema-a"}, &target{id: "b", domain: "tema-b"}, &target{id: "c"})
	for i, want := range []float64{1, 0, 0} {
		if got := scoreFailureDomain(s, s.candidates[i]); got != want {
			t.Errorf("%s: score %g, want %g", s.candidates[i].target.id, got, want)
		}
	}
}
