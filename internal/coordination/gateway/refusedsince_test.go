package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a cancelled stream that is taken for whole because its target seems to have refused
// connections since another stream ended, although they were first refused when that was checked.
func TestTargetRefusesSinceItWasAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(&fakeTargetClient{})
		grant, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		r := &request{service: s, route: &state.Route{}}
		whole, cancelled := &attempt{request: r, grant: grant, ctx: t.Context()}, &attempt{request: r, grant: grant, ctx: t.Context()}
		s.streams.event(whole, time.Now(), 0)
		s.streams.event(cancelled, time.Now(), 0)
		s.streams.ended(whole)
		endedAt := time.Now()
		time.Sleep(endSettleTime)
		s.streams.event(cancelled, time.Now(), endSettleTime) // the last one; the target is told to end now
		time.Sleep(endSettleTime)
		whole.judgeEnd(announcedClose, RunCheck{Liveness: Ended, Refused: true}, endedAt)
		s.streams.leave(whole)
		s.streams.ended(cancelled)
		if s.streams.continuedRefusing(cancelled) {
			t.Error("the stream seems to have gone on after connections were refused")
		}
	})
}
