package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// checkedInTurn is a client whose checks find one result after another.
type checkedInTurn struct {
	*fakeTargetClient
	checks []RunCheck
}

func (c *checkedInTurn) CheckRunning(context.Context, *state.TargetRecord, string) RunCheck {
	check := c.checks[0]
	c.checks = c.checks[1:]
	return check
}

// Guards against a cut answer that is passed on as complete because its target, which was full when a relay closed
// three connections in a row, counts as one that went on while it refused connections, although it has run
// another request since.
func TestTargetThatRunsRequestsIsNotKnownToRefuse(t *testing.T) {
	out, targets := &recordingResponder{}, &fakeTargetClient{}
	synctest.Test(t, func(t *testing.T) {
		targets.behaviours = []behaviour{closingBehind(Ended, true, "full"), respondWith(200, "served"), endsNow(Ended, false, "cut")}
		svc := newService(&checkedInTurn{targets, []RunCheck{{Liveness: Ended}, {Liveness: Ended, Refused: true}}})
		svc.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "t1", Slots: 4}})
		for _, o := range []*recordingResponder{{}, {}, out} {
			svc.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/once/x", APIKey: "key"}, time.Now(), o)
			time.Sleep(200 * time.Millisecond)
		}
	})
	if out.body.String() != "" || len(targets.sends) != 3 {
		t.Errorf("%q was passed on after %d sends", out.body.String(), len(targets.sends))
	}
}
