package placement

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against accepting a target that is known not to serve the model.
func TestServesModel(t *testing.T) {
	loaded := &state.LoadFigures{Models: []string{"m1"}}
	for _, tc := range []struct {
		name, model string
		figures     *state.LoadFigures
		placed      []string
		want        bool
	}{
		{"no model asked for", "", loaded, nil, true},
		{"loaded", "m1", loaded, []string{"m2"}, true},
		{"not loaded", "m2", loaded, []string{"m2"}, false},
		{"unknown but placed", "m2", nil, []string{"m2"}, true},
		{"unknown and not placed", "m2", nil, []string{"m1"}, false},
		{"nothing known", "m2", nil, nil, true},
	} {
		s := testEvaluation(state.Request{Model: tc.model})
		if tc.placed != nil {
			s.policies.placedModels = map[state.TargetID][]string{"e": tc.placed}
		}
		if got := servesModel(s, &target{id: "e", figures: tc.figures}); got != tc.want {
			t.Errorf("%s: accepted %v, want %v", tc.name, got, tc.want)
		}
	}
}
