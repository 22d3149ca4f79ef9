package gateway

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a limit that is ended by a response which does not come from the target or
// does not take the request, by one to an earlier request, or by a limit that is no number.
func TestLimitIsEndedBySignedResponsesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(&fakeTargetClient{})
		acquire := func() *dispatch.Grant {
			now := time.Now()
			r := &dispatch.Request{Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute), Tried: []state.TargetID{"t2", "t3"}}
			g, err := s.cfg.Scheduler.Acquire(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			return g
		}
		inForceAfter := func(g *dispatch.Grant, head state.Response) bool {
			(&attempt{request: &request{service: s, call: &state.Call{ID: "r"}, log: zap.NewNop()}, grant: g}).observe(&head)
			return s.cfg.Scheduler.Summaries()["t1"].RateLimit != nil
		}
		early := acquire()
		time.Sleep(time.Second)
		if !inForceAfter(early, state.Response{Status: 503, NotRun: true, Stated: state.Statement{RateLimit: state.RateLimit{PerSecond: 2, Stated: true}}}) {
			t.Fatal("a limit that a rejection states is not in force")
		}
		if !inForceAfter(early, state.Response{Status: 200, HasSignature: true}) {
			t.Error("the limit has ended after a response to an earlier request")
		}
		time.Sleep(time.Second) // until there is a permit
		late := acquire()
		for name, head := range map[string]state.Response{
			"rejection":       {Status: 503, NotRun: true},
			"another target":  {Status: 421, Misdirected: true, HasSignature: true},
			"unsigned":        {Status: 200},
			"malformed limit": {Status: 200, HasSignature: true, Stated: state.Statement{RateLimitErr: errors.New("no number")}},
		} {
			if !inForceAfter(late, head) {
				t.Errorf("%s: the limit has ended", name)
			}
		}
		if inForceAfter(late, state.Response{Status: 200, HasSignature: true}) {
			t.Error("the limit is in force after a signed response to a later request that states none")
		}
	})
}
