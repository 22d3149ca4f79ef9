package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against what another entry tells that counts once for each time it is asked: an end that came by
// chance at the same moment decides as if there were several, and a stream that has ended since goes on.
func TestAnswersOfAnEntryThatIsAskedAgainCountOnce(t *testing.T) {
	const withLastEvent, betweenEvents = targetend.Weight(8), targetend.Weight(-14)
	for _, c := range []struct {
		name   string
		timing targetend.Weight
		goesOn time.Duration // how long the other stream goes on after the end
		whole  bool
	}{
		{"another ended by chance at the same moment", withLastEvent, 0, true},
		{"cancelled, another goes on for a while", betweenEvents, targetend.SurvivalTime / 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, end := endingAttempt(t, &otherEntry{})
				otherEnd := end.Add(c.goesOn)
				a.timingWeight = c.timing
				s := a.request.service
				s.cfg.AskTargetEnd = func(context.Context, state.TargetID, string) ([]targetend.Report, error) {
					now := time.Now()
					r := targetend.Report{Earliest: now, Latest: now, Entry: "b"}
					if now.Before(otherEnd) {
						r.Open = []time.Duration{now.Sub(end)}
					} else {
						r.Ended, r.EndedTimings = []time.Duration{now.Sub(otherEnd)}, []targetend.Weight{0}
					}
					return []targetend.Report{r}, nil
				}
				left := a.grant.Target
				left.Draining = true
				s.cfg.Scheduler.SetTargets([]state.TargetRecord{left})
				check := &endCheck{attempt: a, exchange: &fakeExchange{}, arrivedAt: end, timeKnown: true, promised: true, run: RunCheck{Liveness: Leaving}}
				check.findDoubt(&state.Response{})
				check.judge()
				if j := check.judgement; (j.Verdict == targetend.Whole) != c.whole {
					t.Errorf("%s because %s, want whole %t; asked %d times, %+v", j.Verdict, j.Reason, c.whole, check.questions, j)
				}
			})
		})
	}
}

// Guards against a stream that its target cancelled between two events, and that is passed on as complete
// because another entry has one that is open and has sent nothing since.
func TestOpenStreamElsewhereDoesNotProveEndBetweenEvents(t *testing.T) {
	for _, promised := range []bool{true, false} { // it had said before that it leaves, or begins to
		synctest.Test(t, func(t *testing.T) {
			a, end := endingAttempt(t, &otherEntry{})
			a.timingWeight = -14
			a.request.service.cfg.AskTargetEnd = func(context.Context, state.TargetID, string) ([]targetend.Report, error) {
				now := time.Now()
				return []targetend.Report{{Seen: targetend.Seen{Open: []time.Duration{now.Sub(end)}}, Earliest: now, Latest: now, Entry: "b"}}, nil
			}
			c := &endCheck{attempt: a, arrivedAt: end, timeKnown: true, doubt: endedBetweenEvents, promised: promised, run: RunCheck{Liveness: Leaving}}
			if c.judge(); c.judgement.Verdict == targetend.Whole {
				t.Errorf("whole because %s", c.judgement.Reason)
			}
		})
	}
}
