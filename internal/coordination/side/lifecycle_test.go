package side

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against lost, repeated or reordered chunks of a plain run.
func TestDispatchRunsToDone(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(50, 10*time.Millisecond)}, bundle(4, 10), func(r *rig) {
		events := r.rest(r.session.Dispatch(r.job(1)))
		if diff := cmp.Diff(offsets(0, 50), chunks(events)); diff != "" {
			r.t.Error(diff)
		}
		done, ok := events[len(events)-1].(*state.Done)
		if !ok || done.Chunks != 50 {
			r.t.Errorf("ended with %+v", events[len(events)-1])
		}
		if f := r.Figures(); f.RunningCount != 0 || f.DecodeRate < 80 || f.DecodeRate > 120 {
			r.t.Errorf("figures %+v, want nothing running and about 100 tokens/s", f)
		}
	})
}
