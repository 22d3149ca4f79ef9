package gateway

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// setPlainTimeout sets the time-out of the route of plain requests that may be repeated, and an objective of 1 s.
func setPlainTimeout(s *Service, timeout time.Duration) {
	config := *s.Configuration()
	config.Version++
	plain := route("plain", "/plain/", state.IdempotentRoute, false, 2)
	plain.Timeout, plain.Objective = timeout, time.Second
	config.Routes = []state.Route{plain}
	s.SetConfiguration(&config)
}

// Guards against whole answers of targets that have ended that are thrown away, or held back for too long,
// because another attempt runs beside them; and against those that are preferred to an answer that is proved.
func TestAnswerOfEndedTargetIsKeptWhileAnotherAttemptRuns(t *testing.T) {
	finishes := endsNow(Ended, true, "kept")
	second := afterwards(100*time.Millisecond, finishes)
	for _, c := range []struct {
		name          string
		first         behaviour
		timeout       time.Duration
		refuses       bool // the targets have refused connections since the begin
		callerLeaves  bool
		body          string
		after, within time.Duration
	}{
		{"the other one answers", afterwards(time.Second, respondWith(200, "proved")), 10 * time.Second, true, false, "proved", time.Second, 1010 * time.Millisecond},
		{"the other one fails", afterwards(time.Second, connectionReset), 10 * time.Second, true, false, "kept", time.Second, 1010 * time.Millisecond},
		{"the other one gets a status", afterwards(time.Second, respondWith(500, "no")), 10 * time.Second, true, false, "kept", time.Second, 1010 * time.Millisecond},
		{"the other one is silent", silentTarget, 10 * time.Second, true, false, "kept", 3 * time.Second, 4 * time.Second},
		{"the other one keeps its answer too", afterwards(time.Second, finishes), 10 * time.Second, true, false, "kept", time.Second, 1700 * time.Millisecond},
		{"the time is over", silentTarget, 2 * time.Second, true, false, "kept", 2 * time.Second, 2*time.Second + deadlineSlack + 10*time.Millisecond},
		{"the caller leaves", silentTarget, 10 * time.Second, true, true, "", 0, 0},
		{"nothing shows that it is whole", afterwards(time.Second, connectionReset), 10 * time.Second, false, false, "", 0, 0},
		{"nothing shows that it is whole, the other one answers", afterwards(time.Second, respondWith(200, "proved")), 10 * time.Second, false, false, "proved", time.Second, 1010 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets, s := hedgedCall(t, "/plain/x", func(s *Service, leave func()) {
				setPlainTimeout(s, c.timeout)
				if c.refuses {
					s.cfg.TargetClient.(*fakeTargetClient).idleClosedAt = time.Now()
				}
				if c.callerLeaves {
					time.AfterFunc(1500*time.Millisecond, leave)
				}
			}, c.first, second)
			if out.body.String() != c.body || len(targets.sends) != 2 || out.aborted != c.callerLeaves {
				t.Errorf("%q after %d sends, aborted %t, failure %+v; want %q after 2", out.body.String(), len(targets.sends), out.aborted, out.failure, c.body)
			}
			if took := s.requestTime("/plain/x"); took < c.after || took > c.within {
				t.Errorf("answered after %s, want %s to %s", took, c.after, c.within)
			}
		})
	}
}

// Guards against an answer that only signs show to be whole and that is preferred to one that is proved, because
// its target is silent when it is asked, in place of refusing connections.
func TestAnswerOfSilentTargetIsKeptWhileAnotherAttemptRuns(t *testing.T) {
	out, targets, _ := hedgedCall(t, "/plain/x", func(s *Service, _ func()) {
		setPlainTimeout(s, 10*time.Second)
		for _, id := range []state.TargetID{"t1", "t2", "t3"} {
			began := time.Now() // of the refusals, which are seen last while the attempts run
			s.targets.Refuses(id, began)
			time.AfterFunc(275*time.Millisecond, func() { s.targets.Refuses(id, began) })
		}
	}, afterwards(time.Second, respondWith(200, "proved")), afterwards(100*time.Millisecond, endsNow(Unproved, false, "kept")))
	if out.body.String() != "proved" || len(targets.sends) != 2 {
		t.Errorf("%q after %d sends, want the proved answer after 2", out.body.String(), len(targets.sends))
	}
}
