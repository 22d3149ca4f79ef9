package placement

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against placing a request again on the target that refused it.
func TestNotTried(t *testing.T) {
	s := testEvaluation(state.Request{})
	s.query.Tried = map[state.TargetID]state.Reason{"a": state.ReasonQueueFull}
	for id, want := range map[state.TargetID]bool{"a": false, "b": true} {
		if got := notTried(s, &target{id: id}); got != want {
			t.Errorf("target %s accepted: %v, want %v", id, got, want)
		}
	}
}
