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
		whole.race, cancelled.race = newRace(whole), newRace(cancelled)
		s.streams.begin(whole, &fakeExchange{receivedAt: time.Now()})
		s.streams.ended(whole)
		endedAt := time.Now()
		time.Sleep(cancelTime)
		check := RunCheck{Liveness: Ended, Refused: true}
		whole.judgeEnd(announcedClose, check, endedAt, true)
		s.streams.begin(cancelled, &fakeExchange{receivedAt: time.Now()})
		s.streams.leave(whole)
		time.Sleep(endSettleTime)
		s.streams.ended(cancelled)
		if complete, because := cancelled.judgeEnd(unannouncedClose, check, time.Now(), true); complete {
			t.Errorf("the stream is complete because %q", because)
		}
	})
}
