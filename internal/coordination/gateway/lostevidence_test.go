package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a cut stream that is believed because another entry, which has told that its streams
// ended at the same moment, does not answer when it is asked once more.
func TestAnswerOfOtherEntryCountsWhenItIsSilentLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := otherEntry{}
		a, end := endingAttempt(t, &other)
		other.ended = []time.Time{end}
		a.request.service.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: "t9", Service: "s", Address: "t9", Slots: 4}}) // a's leaves
		c := &endCheck{attempt: a, arrivedAt: end, timeKnown: true}
		if c.findDoubt(&state.Response{}, &fakeExchange{}); c.doubt != endedTogether {
			t.Fatalf("doubt %s, want %s", c.doubt, endedTogether)
		}
		other.silent = true
		c.run = RunCheck{Liveness: Ended, Refused: true, IdleClosedAt: end.Add(-2 * targetend.CancelTime)}
		if c.judge(); c.judgement.Verdict == targetend.Whole {
			t.Errorf("whole because %s, although another entry has told that its stream ended at the same moment", c.judgement.Reason)
		}
	})
}
