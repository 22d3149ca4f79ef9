package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
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
		received := func() (time.Time, bool) { return time.Now(), true }
		whole.logged = s.targets.Begin(grant.Target.ID, time.Now(), received)
		whole.logged.End(time.Now())
		endedAt := time.Now()
		time.Sleep(targetend.CancelTime)
		check := RunCheck{Liveness: Ended, Refused: true}
		judgeEnd(whole, announcedClose, check, endedAt, true)
		cancelled.logged = s.targets.Begin(grant.Target.ID, endedAt, received)
		time.Sleep(endSettleTime)
		cancelled.logged.End(time.Now())
		if j := judgeEnd(cancelled, unannouncedClose, check, time.Now(), true); j.Verdict == targetend.Whole {
			t.Errorf("the stream is complete because %q", j.Reason)
		}
	})
}
