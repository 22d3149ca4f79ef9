package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// recordingJudge records what it observes.
type recordingJudge struct {
	*rollout.Ledger
	mu   sync.Mutex
	seen []rollout.Observation
}

func (j *recordingJudge) Observe(now time.Time, o rollout.Observation) {
	j.mu.Lock()
	j.seen = append(j.seen, o)
	j.mu.Unlock()
	j.Ledger.Observe(now, o)
}

// Guards against a caller's invalid request, a full target or an entry's own shortage that
// counts as a failure of the version, and against a failure that does not.
func TestVersionOutcome(t *testing.T) {
	for _, c := range []struct {
		outcome   dispatch.Outcome
		err       error
		suspected bool
		want      rollout.Outcome
	}{
		{dispatch.Served, nil, false, rollout.Answered}, // of any status below 500
		{dispatch.Failed, nil, false, rollout.Failed},
		{dispatch.Rejected, nil, false, rollout.Refused},
		{dispatch.Unreachable, nil, false, rollout.Unreachable},
		{dispatch.Silent, errStalled, false, rollout.TimedOut},
		{dispatch.Broken, io.ErrUnexpectedEOF, false, rollout.Lost},
		{dispatch.Broken, io.EOF, true, rollout.Ignored},
		{dispatch.Broken, errInvalidResponse, false, rollout.Failed},
		{dispatch.Broken, errTooLarge, false, rollout.Failed},
		{dispatch.Broken, fmt.Errorf("read: %w", errNoMemory), false, rollout.Ignored},
		{dispatch.Cancelled, context.Canceled, false, rollout.Ignored},
		{dispatch.Gone, nil, false, rollout.Ignored},
	} {
		if got := versionOutcome(c.outcome, c.err, c.suspected); got != c.want {
			t.Errorf("%s (%v): outcome %d, want %d", c.outcome, c.err, got, c.want)
		}
	}
}

// Guards against requests that count as in progress for ever, or as ended twice, which keeps a
// roll-out from its completion: each that is sent is observed to end once.
func TestEachSentRequestIsObservedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := &fakeTargetClient{behaviours: []behaviour{respondWith(404, "no"), respondWith(500, "bad"), respondWith(200, events), respondWith(200, events)}}
		s := newSoftwareService(targets, 1, "v1", "v1", "v1")
		judge := &recordingJudge{Ledger: rollout.New(rollout.Config{Self: "self"})}
		judge.Loaded(time.Now())
		s.cfg.Rollouts = judge
		s.cfg.Scheduler.SetVersions(judge)
		for i := range 3 {
			serve(t, s, state.Call{ID: state.RequestID(fmt.Sprint(i))})
		}
		var ends []rollout.Outcome
		for _, o := range judge.seen {
			if o.Outcome != rollout.Begun && o.Outcome != rollout.Overdue {
				ends = append(ends, o.Outcome)
			}
		}
		want := []rollout.Outcome{rollout.Answered, rollout.Failed, rollout.Answered, rollout.Answered}
		if fmt.Sprint(ends) != fmt.Sprint(want) || len(targets.sends) != len(want) {
			t.Errorf("%d requests sent, ends %v, want %v", len(targets.sends), ends, want)
		}
	})
}
