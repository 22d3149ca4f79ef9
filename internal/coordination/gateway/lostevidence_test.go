package gateway

import (
	"context"
	"slices"
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
		c := &endCheck{attempt: a, exchange: &fakeExchange{}, arrivedAt: end, timeKnown: true}
		if c.findDoubt(&state.Response{}); c.doubt != endedTogether {
			t.Fatalf("doubt %s, want %s", c.doubt, endedTogether)
		}
		other.silent = true
		c.run = RunCheck{Liveness: Ended, Refused: true, IdleClosedAt: end.Add(-2 * targetend.CancelTime)}
		if c.judge(); c.judgement.Verdict == targetend.Whole {
			t.Errorf("whole because %s, although another entry has told that its stream ended at the same moment", c.judgement.Reason)
		}
	})
}

// Guards against a cut stream that is believed because an entry that has told that its stream ended at the
// same moment is silent when others, which have told that theirs go on, are asked once more.
func TestAnswersOfSeveralEntriesCountWhenOneIsSilentLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, end := endingAttempt(t, &otherEntry{})
		questions := 0
		a.request.service.cfg.AskTargetEnd = func(ctx context.Context, id state.TargetID, address string) ([]targetend.Report, error) {
			entries := []otherEntry{{ended: []time.Time{end}, silent: questions > 0}, {goesOn: questions == 0}}
			questions++
			var answers []targetend.Report
			for i := range entries {
				told, _ := entries[i].ask(ctx, id, address) // an error means that it is silent
				answers = slices.Concat(answers, told)
			}
			return answers, nil
		}
		j := judgeEnd(a, unannouncedClose, RunCheck{Liveness: Ended, Refused: true, IdleClosedAt: end.Add(-2 * targetend.CancelTime)}, end, true)
		if questions != 2 || j.Verdict == targetend.Whole {
			t.Errorf("%s because %s after %d questions; want that it is not believed after 2", j.Verdict, j.Reason, questions)
		}
	})
}

// Guards against a stream that was cut together with others and is believed because its target, which had
// said that it leaves, answers that it does.
func TestAnswerOfLeavingTargetDoesNotProveWhatEndedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := otherEntry{}
		a, end := endingAttempt(t, &other)
		other.ended = []time.Time{end}
		s := a.request.service
		s.cfg.TargetClient = &fakeTargetClient{liveness: map[state.TargetID]Liveness{a.grant.Target.ID: Leaving}}
		a.request.table, a.request.call, a.request.log = s.table.Load(), &state.Call{ID: "r"}, s.cfg.Log
		s.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: "t9", Service: "s", Address: "t9", Slots: 4}}) // a's leaves
		err := a.checkEnd(&state.Response{Status: 200, HasSignature: true}, &fakeExchange{receivedAt: end}, false)
		if err == nil {
			t.Error("complete, although a stream of another entry ended at the same moment")
		}
	})
}
