package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against whole plain answers that are thrown away for what does not speak against them: a stream
// of their target that ends by chance at the same moment, where the target had said that it leaves and
// still answers; a check of a believed target that the time limit cuts short; and an attempt beside them
// that fails after the verdict.
func TestWholePlainAnswerIsNotThrownAway(t *testing.T) {
	t.Run("another stream ended by chance", func(t *testing.T) {
		out, targets := &recordingResponder{}, &fakeTargetClient{}
		synctest.Test(t, func(t *testing.T) {
			s := newService(targets)
			targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
				leaves := f.Target
				leaves.Draining = true
				s.cfg.Scheduler.SetTargets([]state.TargetRecord{leaves})
				time.Sleep(time.Second) // it serves on
				s.targets.Ended(f.Target.ID, time.Now().Add(-20*time.Millisecond))
				head := &state.Response{Status: 200, HasSignature: true}
				return &fakeExchange{head: head, Reader: strings.NewReader("whole"), thenNotRunning: true, liveness: Leaving, receivedAt: time.Now()}, nil
			}}
			s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/once/x", APIKey: "key"}, time.Now(), out)
		})
		if out.body.String() != "whole" {
			t.Errorf("%q, failure %+v; want the whole answer", out.body.String(), out.failure)
		}
	})
	t.Run("the check lasts until the time limit", func(t *testing.T) {
		out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: []behaviour{inDoubt(1950 * time.Millisecond)}}
		synctest.Test(t, func(t *testing.T) { // the route has 2 s
			s := newService(slowCheckTargets{targets, time.Hour})
			s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/once/x", APIKey: "key"}, time.Now(), out)
		})
		if out.body.String() != "whole" {
			t.Errorf("%q, failure %+v; want the whole answer", out.body.String(), out.failure)
		}
	})
	t.Run("the attempt beside it fails later", func(t *testing.T) {
		// The second target finishes its answer after it has begun to shut down.
		finishes := endsNow(Ended, true, "whole")
		out, targets, _ := hedgedCall(t, "/plain/x", func(s *Service, _ func()) {
			s.cfg.TargetClient.(*fakeTargetClient).idleClosedAt = time.Now()
		}, afterwards(time.Second, connectionReset), afterwards(200*time.Millisecond, finishes))
		if out.body.String() != "whole" {
			t.Errorf("%q after %d sends, failure %+v; want the whole answer", out.body.String(), len(targets.sends), out.failure)
		}
	})
}
