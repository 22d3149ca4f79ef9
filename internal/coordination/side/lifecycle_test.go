package side

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against lost, repeated or reordered chunks of an undisturbed run.
func TestDispatchRunsToDone(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(50, 10*time.Millisecond)}, testBundle(4, 10), func(h *harness) {
		events := h.readAll(h.session.Dispatch(h.newDispatch(1)))
		if diff := cmp.Diff(offsetRange(0, 50), chunkOffsets(events)); diff != "" {
			h.t.Error(diff)
		}
		done, ok := events[len(events)-1].(*state.Done)
		if !ok || done.Chunks != 50 {
			h.t.Errorf("ended with %+v", events[len(events)-1])
		}
		if f := h.Figures(); f.RunningCount != 0 || f.DecodeRate < 160 || f.DecodeRate > 240 {
			h.t.Errorf("figures %+v, want nothing running and about 200 tokens/s, 100 for each of 2 slots", f)
		}
	})
}

// Guards against an older session that still delivers work, and against an
// attempt that is lost with its session.
func TestNewSessionFencesOlder(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(10, 100*time.Millisecond)}, testBundle(4, 10), func(h *harness) {
		old, running, late := h.session, h.newDispatch(0), h.newDispatch(0)
		first := old.Dispatch(running)
		synctest.Wait()
		h.session = h.openSession("e1", 2)
		<-old.Fenced()
		h.wantRefused(old.Dispatch(late), state.ReasonFenced)
		// An attempt is accepted only on the session that it names.
		finalEvent[*state.Done](h, h.session.Dispatch(h.newDispatch(0)))
		wrong := h.newDispatch(0)
		wrong.Attempt.Session = 3
		h.wantRefused(h.session.Dispatch(wrong), state.ReasonFenced)
		foreign := h.newDispatch(0)
		foreign.Attempt.Entry = "e2"
		h.wantRefused(h.session.Dispatch(foreign), state.ReasonFenced)
		if _, err := h.OpenSession("e1", 1, 1); !errors.Is(err, ErrFenced) {
			h.t.Errorf("older session opened: %v", err)
		}
		unseen := late.Attempt
		unseen.Seq = 99
		if p := h.readPhase(h.session.Attach(&state.Attach{Attempt: unseen, Incarnation: selfIncarnation})); p != state.AttemptUnseen {
			h.t.Errorf("phase %d, want unseen", p)
		}
		old.Close()
		first.Detach()
		events := h.readAll(h.session.Attach(&state.Attach{Attempt: running.Attempt, Incarnation: selfIncarnation, Offset: 4}))
		if diff := cmp.Diff(offsetRange(4, 10), chunkOffsets(events)); diff != "" {
			h.t.Error(diff)
		}
		// The refusals above were final: the same attempts do not run later.
		h.session = h.openSession("e1", 3)
		h.wantRefused(h.session.Dispatch(wrong), state.ReasonVoided)
		h.wantRefused(h.openSession("e2", 2).Dispatch(foreign), state.ReasonVoided)
		if n := len(h.runner.runs); n != 2 {
			h.t.Errorf("%d attempts ran, want 2", n)
		}
	})
}

// Guards against an attempt that runs on an incarnation other than the one it
// is addressed to, without a bundle, or with a model that is not loaded.
func TestRefusedBeforeQueue(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(1, 0)}, nil, func(h *harness) {
		h.wantRefused(h.session.Dispatch(h.newDispatch(0)), state.ReasonNoBundle)
		h.SetBundle(testBundle(4, 10))
		other := h.newDispatch(0)
		other.Incarnation = selfIncarnation + 1
		h.wantRefused(h.session.Dispatch(other), state.ReasonWrongIncarnation)
		large := h.newDispatch(0)
		large.Request.PromptTokens = 100001
		h.wantRefused(h.session.Dispatch(large), state.ReasonTooLarge)
		past := h.newDispatch(0)
		past.Request.Deadline = time.Now().Add(-time.Second)
		h.wantRefused(h.session.Dispatch(past), state.ReasonDeadline)
		h.LoadReported(Load{Models: []state.ModelSpec{{Name: "m"}}})
		h.wantRefused(h.session.Dispatch(h.newDispatch(0)), state.ReasonNotLoaded)
		if n := len(h.runner.runs); n != 0 {
			h.t.Errorf("%d attempts ran, want none", n)
		}
	})
}

// Guards against a voided attempt that runs, and against a receipt for one that
// ran or may have run.
func TestVoid(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(10, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		void := func(d *state.Dispatch, want state.Phase) {
			h.t.Helper()
			if got := h.session.Void(&state.Void{Attempt: d.Attempt, Incarnation: d.Incarnation}); got.Phase != want {
				h.t.Errorf("void %s: phase %d, want %d", d.Attempt, got.Phase, want)
			}
		}
		before := h.newDispatch(0)
		void(before, state.AttemptVoided)
		h.wantRefused(h.session.Dispatch(before), state.ReasonVoided)
		void(before, state.AttemptVoided)

		running, queued := h.newDispatch(0), h.newDispatch(0)
		stream, waiting := h.session.Dispatch(running), h.session.Dispatch(queued)
		void(running, state.AttemptRunning)
		void(queued, state.AttemptVoided)
		h.wantRefused(waiting, state.ReasonVoided)
		finalEvent[*state.Done](h, stream)
		void(running, state.AttemptDone)

		earlier := h.newDispatch(0)
		earlier.Incarnation = selfIncarnation + 1
		void(earlier, state.AttemptUnknown)

		var full *state.Dispatch
		for range MaxVoidedAttempts - 1 { // and the one above
			full = h.newDispatch(0)
			h.session.Void(&state.Void{Attempt: full.Attempt, Incarnation: selfIncarnation})
		}
		void(full, state.AttemptVoided)
		void(h.newDispatch(0), state.AttemptUnknown)
		// Fencing makes room: older sessions can no longer deliver.
		h.session = h.openSession("e1", 2)
		void(h.newDispatch(0), state.AttemptVoided)
		void(full, state.AttemptVoided)
		if n := len(h.runner.runs); n != 1 {
			h.t.Errorf("%d attempts ran, want 1", n)
		}
	})
}

// Guards against a duplicate dispatch that runs again, at any point of the
// attempt's life.
func TestDuplicateDispatchRunsOnce(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(10, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		d := h.newDispatch(0)
		first, second := h.session.Dispatch(d), h.session.Dispatch(d)
		for _, a := range []*AttemptStream{first, second, h.session.Dispatch(d)} {
			if diff := cmp.Diff(offsetRange(0, 10), chunkOffsets(h.readAll(a))); diff != "" {
				h.t.Error(diff)
			}
		}
		first.Ack()
		if p := h.readPhase(h.session.Dispatch(d)); p != state.AttemptExpired {
			h.t.Errorf("phase %d, want expired", p)
		}
		time.Sleep(2 * RetentionPeriod)
		if p := h.readPhase(h.session.Dispatch(d)); p != state.AttemptUnknown {
			h.t.Errorf("phase %d, want unknown", p)
		}
		if n := len(h.runner.runs); n != 1 {
			h.t.Errorf("attempt ran %d times", n)
		}
	})
}

// Guards against a planned stop that accepts new work, cuts off a running
// request, starts queued ones, or ends before responses have been delivered.
func TestLeave(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(10, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		running := h.session.Dispatch(h.newDispatch(0))
		queued := h.session.Dispatch(h.newDispatch(0))
		h.Leave()
		<-h.session.Urgent()
		if !h.session.Status().Leaving {
			h.t.Error("status does not tell that the target is leaving")
		}
		h.wantRefused(queued, state.ReasonLeaving)
		refused := h.session.Dispatch(h.newDispatch(0))
		h.wantRefused(refused, state.ReasonLeaving)
		finalEvent[*state.Done](h, running)
		queued.Detach()
		refused.Detach()
		time.Sleep(DrainGrace / 2)
		select {
		case <-h.Drained():
			h.t.Error("drained before the response was acknowledged")
		default:
		}
		running.Ack()
		running.Detach()
		time.Sleep(time.Second)
		select {
		case <-h.Drained():
		default:
			h.t.Error("not drained after the response was acknowledged")
		}
	})
}

// Guards against an idle side process that ends its planned stop while dispatches are
// on their way from entries that have not been told yet. A dispatch that is lost with
// the session has an unknown outcome, although it was not run.
func TestLeaveAnswersDispatchesOnTheirWay(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(10, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		h.Leave()
		time.Sleep(LeaveNotice - tickInterval)
		select {
		case <-h.Drained():
			h.t.Error("drained before entries could learn that the target is leaving")
		default:
		}
		late := h.session.Dispatch(h.newDispatch(0))
		h.wantRefused(late, state.ReasonLeaving)
		late.Detach()
		<-h.Drained()
	})
}

// Guards against a planned stop that waits for a response that its entry has
// cancelled and does not read.
func TestDrainSkipsCancelled(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(10, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		a := h.session.Dispatch(h.newDispatch(0))
		time.Sleep(200 * time.Millisecond)
		a.Cancel()
		a.Detach()
		left := time.Now()
		h.Leave()
		<-h.Drained()
		if d := time.Since(left); d > time.Second {
			h.t.Errorf("drained after %s", d)
		}
	})
}

// Guards against a planned stop that waits for an entry that is gone.
func TestDrainIsBounded(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(10, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		finalEvent[*state.Done](h, h.session.Dispatch(h.newDispatch(0)))
		left := time.Now()
		h.Leave()
		<-h.Drained()
		if d := time.Since(left); d < DrainGrace || d > DrainGrace+time.Second {
			h.t.Errorf("drained after %s", d)
		}
	})
}

// Guards against attempts of a dead entry that occupy slots for ever, and
// against the loss of attempts with a key.
func TestLostSession(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(300, 100*time.Millisecond)}, testBundle(4, 10), func(h *harness) {
		plain, keyed, queued := h.newDispatch(0), h.newDispatch(0), h.newDispatch(0)
		keyed.Request.ClaimKey = "k"
		for _, d := range []*state.Dispatch{plain, keyed, queued} {
			h.session.Dispatch(d).Detach()
		}
		h.session.Close()
		time.Sleep(SessionGrace / 2)
		h.session = h.openSession("e1", 2)
		time.Sleep(SessionGrace / 10)
		h.session.Close()
		// The session that returned in time started a new grace.
		time.Sleep(SessionGrace * 9 / 10)
		if n := len(h.runner.cancelled); n != 0 {
			h.t.Errorf("%d attempts cancelled within the grace", n)
		}
		time.Sleep(SessionGrace / 5)
		if id := <-h.runner.cancelled; id != plain.Attempt {
			h.t.Errorf("cancelled %s, want %s", id, plain.Attempt)
		}
		other := h.openSession("e2", 1)
		attach := func(d *state.Dispatch) *AttemptStream {
			return other.Attach(&state.Attach{Attempt: d.Attempt, Incarnation: selfIncarnation})
		}
		if p := h.readPhase(attach(queued)); p != state.AttemptNotRun {
			h.t.Errorf("queued attempt: phase %d, want not run", p)
		}
		if p := h.readPhase(attach(plain)); p != state.AttemptFailed {
			h.t.Errorf("attempt without a key: phase %d, want failed", p)
		}
		if n := len(chunkOffsets(h.readAll(attach(keyed)))); n != 300 {
			h.t.Errorf("keyed attempt: %d chunks, want 300", n)
		}
		h.session = h.openSession("e1", 3)
		h.session.Dispatch(h.newDispatch(0))
		h.session.Close()
		time.Sleep(SessionGrace + time.Second)
		if n := len(h.runner.cancelled); n != 1 {
			h.t.Errorf("%d attempts cancelled after a second loss, want 1", n)
		}
	})
}

// Guards against an entry that ends attempts which it did not send.
func TestOnlyOwnerCancels(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(20, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		d, q := h.newDispatch(0), h.newDispatch(0)
		own, waiting := h.session.Dispatch(d), h.session.Dispatch(q)
		foreign := h.openSession("e2", 1).Attach(&state.Attach{Attempt: d.Attempt, Incarnation: selfIncarnation})
		foreign.Cancel()
		foreign.Ack()
		own.Withdraw() // has no effect on a running attempt
		waiting.Withdraw()
		h.wantRefused(waiting, state.ReasonWithdrawn)
		time.Sleep(time.Second)
		own.Cancel()
		if f := finalEvent[*state.Failed](h, own); f.Reason != state.ReasonCancelled || f.OutcomeUnknown || f.Usage.GeneratedTokens == 0 {
			h.t.Errorf("failed with %+v", f)
		}
		if id := <-h.runner.cancelled; id != d.Attempt {
			h.t.Errorf("cancelled %s at the target", id)
		}
		d = h.newDispatch(0)
		finalEvent[*state.Done](h, h.session.Dispatch(d))
		foreign = h.openSession("e2", 2).Attach(&state.Attach{Attempt: d.Attempt, Incarnation: selfIncarnation})
		finalEvent[*state.Done](h, foreign)
		foreign.Ack()
		if p := h.readPhase(h.session.Attach(&state.Attach{Attempt: d.Attempt, Incarnation: selfIncarnation})); p != state.AttemptDone {
			h.t.Errorf("phase %d after another entry's acknowledgement, want done", p)
		}
	})
}

// Guards against requests that wait or run past their deadline, and against
// cutting off a request with a key at its deadline.
func TestDeadlines(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(40, 100*time.Millisecond)}, testBundle(1, 10), func(h *harness) {
		finalEvent[*state.Done](h, h.session.Dispatch(h.newDispatch(0))) // measures 10 tokens/s
		running := h.session.Dispatch(h.newDispatch(0))
		time.Sleep(time.Second)
		hopeless := h.newDispatch(0)
		hopeless.Request.Deadline = time.Now().Add(time.Second)
		sent := time.Now()
		h.wantRefused(h.session.Dispatch(hopeless), state.ReasonDeadline)
		if d := time.Since(sent); d > 0 {
			h.t.Errorf("refused after %s, want at once", d)
		}
		finalEvent[*state.Done](h, running)

		short := h.newDispatch(0)
		short.Request.Deadline = time.Now().Add(2 * time.Second)
		if f := finalEvent[*state.Failed](h, h.session.Dispatch(short)); f.Reason != state.ReasonTimeout || f.OutcomeUnknown {
			h.t.Errorf("failed with %+v", f)
		}
		if id := <-h.runner.cancelled; id != short.Attempt {
			h.t.Errorf("cancelled %s at the target", id)
		}

		keyed := h.newDispatch(0)
		keyed.Request.ClaimKey, keyed.Request.Deadline = "k", time.Now().Add(2*time.Second)
		finalEvent[*state.Done](h, h.session.Dispatch(keyed)) // a retry may collect it
	})
}

// Guards against reporting a known outcome as unknown or an unknown one as
// known.
func TestOutcomes(t *testing.T) {
	var err error
	runner := &scriptedRunner{run: func(context.Context, state.AttemptID, func(state.AttemptEvent)) (state.Usage, error) {
		return state.Usage{}, err
	}}
	withHarness(t, runner, testBundle(4, 10), func(h *harness) {
		err = fmt.Errorf("dial: %w", ErrNotSent)
		h.wantRefused(h.session.Dispatch(h.newDispatch(0)), state.ReasonUnreachable)
		err = &TargetError{Status: 500, Detail: "no"}
		if f := finalEvent[*state.Failed](h, h.session.Dispatch(h.newDispatch(0))); f.OutcomeUnknown || f.Status != 500 || f.Reason != state.ReasonTargetError {
			h.t.Errorf("failed with %+v", f)
		}
		// The connection for the resumption was refused; the request had been sent.
		err = &UnknownOutcomeError{Reason: state.ReasonTargetSilent, Err: ErrNotSent}
		if f := finalEvent[*state.Failed](h, h.session.Dispatch(h.newDispatch(0))); !f.OutcomeUnknown || f.Reason != state.ReasonTargetSilent {
			h.t.Errorf("failed with %+v", f)
		}
		err = errors.New("unforeseen")
		if f := finalEvent[*state.Failed](h, h.session.Dispatch(h.newDispatch(0))); !f.OutcomeUnknown {
			h.t.Errorf("failed with %+v", f)
		}
	})
}

// Guards against shedding a request that the target did not admit while lower
// tiers stay queued, and against retrying it for ever.
func TestNotAdmitted(t *testing.T) {
	full := true
	runner := &scriptedRunner{}
	runner.run = func(ctx context.Context, id state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
		if full {
			return state.Usage{}, &NotAdmittedError{Status: 429}
		}
		return produceChunks(1, 0)(ctx, id, emit)
	}
	withHarness(t, runner, testBundle(1, 10), func(h *harness) {
		high, low := h.session.Dispatch(h.newDispatch(1)), h.session.Dispatch(h.newDispatch(3))
		h.wantRefused(low, state.ReasonDisplaced)
		h.wantRefused(high, state.ReasonNotAdmitted)
		if n := len(h.runner.runs); n != maxTargetRejections+1 {
			h.t.Errorf("sent %d times, want %d", n, maxTargetRejections+1)
		}
		again := h.session.Dispatch(h.newDispatch(1))
		time.Sleep(minRejectionPause / 2)
		full = false
		finalEvent[*state.Done](h, again)
	})
}

// Guards against a stream that returns no event while its attempt waits.
func TestProgress(t *testing.T) {
	withHarness(t, &scriptedRunner{run: produceChunks(1, 10*time.Second)}, testBundle(1, 10), func(h *harness) {
		running, queued := h.session.Dispatch(h.newDispatch(0)), h.session.Dispatch(h.newDispatch(0))
		for _, a := range []*AttemptStream{running, queued} {
			for range 10 {
				from := time.Now()
				if _, err := a.Next(h.t.Context()); err != nil || time.Since(from) > ProgressInterval {
					h.t.Errorf("no event for %s: %v", time.Since(from), err)
				}
			}
		}
	})
}

// Guards against an unbounded store of responses, and against losing the
// response of an attempt with a key within RetentionPeriod and the size bound.
func TestRetention(t *testing.T) {
	const size = 1 << 20
	run := func(_ context.Context, _ state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
		emit(&state.Chunk{Data: make([]byte, size)})
		return state.Usage{}, nil
	}
	withHarness(t, &scriptedRunner{run: run}, testBundle(1, 10), func(h *harness) {
		var jobs []*state.Dispatch
		for i := range MaxRetainedBytes/size + 3 {
			d := h.newDispatch(0)
			d.Request.ClaimKey = fmt.Sprint(i)
			jobs = append(jobs, d)
			a := h.session.Dispatch(d)
			finalEvent[*state.Done](h, a)
			a.Ack()
			a.Detach()
		}
		count := map[state.Phase]int{}
		for _, d := range jobs {
			count[h.readPhase(h.session.Attach(&state.Attach{Attempt: d.Attempt, Incarnation: selfIncarnation}))]++
		}
		want := map[state.Phase]int{state.AttemptExpired: 3, state.AttemptDone: MaxRetainedBytes / size}
		if diff := cmp.Diff(want, count); diff != "" {
			h.t.Error(diff)
		}
		time.Sleep(RetentionPeriod + time.Second)
		newest := jobs[len(jobs)-1]
		if p := h.readPhase(h.session.Attach(&state.Attach{Attempt: newest.Attempt, Incarnation: selfIncarnation})); p != state.AttemptExpired {
			h.t.Errorf("phase %d after the retention period, want expired", p)
		}
	})
}

// Guards against a restart that loses running streams, runs their attempts
// twice, lets them exceed the window, or reports an outcome that it cannot
// know.
func TestRestartAdoptsStreams(t *testing.T) {
	adopted := state.AttemptID{Entry: "e1", Incarnation: 1, Session: 1, Seq: 1}
	whole := state.AttemptID{Entry: "e1", Incarnation: 1, Session: 1, Seq: 2}
	lost := state.AttemptID{Entry: "e1", Incarnation: 1, Session: 1, Seq: 3}
	runner := &scriptedRunner{
		run: produceChunks(1, 0), listDelay: time.Second,
		listed: []TargetAttempt{{Attempt: adopted, Chunks: 5}, {Attempt: whole, Chunks: 20, Done: true}},
	}
	resumed := 0
	runner.resume = func(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
		resumed++
		if from != 0 {
			t.Errorf("resumed from %d", from)
		}
		return produceChunks(20, 100*time.Millisecond)(ctx, id, emit)
	}
	withHarness(t, runner, testBundle(1, 10), func(h *harness) {
		h.session = h.openSession("e1", 2)
		attach := func(id state.AttemptID) *AttemptStream {
			return h.session.Attach(&state.Attach{Attempt: id, Incarnation: selfIncarnation + 1, Offset: 5})
		}
		duplicate := &state.Dispatch{Attempt: adopted, Incarnation: selfIncarnation + 1}
		early := []*AttemptStream{attach(adopted), h.session.Dispatch(duplicate)}
		if p := h.readPhase(attach(lost)); p != state.AttemptUnknown {
			h.t.Errorf("lost attempt: phase %d, want unknown", p)
		}
		if v := h.session.Void(&state.Void{Attempt: lost, Incarnation: selfIncarnation + 1}); v.Phase != state.AttemptUnknown {
			h.t.Errorf("void of lost attempt: phase %d, want unknown", v.Phase)
		}
		old := h.newDispatch(0)
		old.Incarnation = selfIncarnation + 1
		h.wantRefused(h.session.Dispatch(old), state.ReasonWrongIncarnation)
		if f := h.Figures(); f.RunningCount != 1 {
			h.t.Errorf("%d running, want the adopted one", f.RunningCount)
		}
		started := time.Now()
		waiting := h.session.Dispatch(h.newDispatch(0))
		for i, a := range early {
			if n := len(chunkOffsets(h.readAll(a))); n != 15+5*i {
				h.t.Errorf("stream %d opened before the list arrived: %d chunks", i, n)
			}
		}
		for _, id := range []state.AttemptID{adopted, whole, whole} {
			if diff := cmp.Diff(offsetRange(5, 20), chunkOffsets(h.readAll(attach(id)))); diff != "" {
				h.t.Errorf("%s: %s", id, diff)
			}
		}
		finalEvent[*state.Done](h, waiting)
		if d := time.Since(started); d < 1500*time.Millisecond {
			h.t.Errorf("the window of 1 let a second attempt run after %s", d)
		}
		if resumed != 2 || len(h.runner.runs) != 1 {
			h.t.Errorf("%d streams resumed, %d run, want 2 and 1", resumed, len(h.runner.runs))
		}
	})
}

// Guards against starting work or reporting false outcomes while the target
// does not list its attempts, and against waiting for the list for ever.
func TestRestartWithoutList(t *testing.T) {
	runner := &scriptedRunner{run: produceChunks(1, 0), listError: errors.New("down")}
	withHarness(t, runner, testBundle(1, 10), func(h *harness) {
		started := time.Now()
		early := h.newDispatch(0)
		early.Attempt.Seq = 100
		early.Incarnation = selfIncarnation + 1
		attached := h.session.Attach(&state.Attach{Attempt: early.Attempt, Incarnation: selfIncarnation + 1})
		job := h.session.Dispatch(h.newDispatch(0))
		time.Sleep(RecoveryTimeout / 2)
		if n := len(h.runner.runs); n != 0 {
			h.t.Errorf("%d attempts started before recovery ended", n)
		}
		if p := h.readPhase(attached); p != state.AttemptUnknown {
			h.t.Errorf("phase %d, want unknown", p)
		}
		finalEvent[*state.Done](h, job)
		if d := time.Since(started); d < RecoveryTimeout || d > RecoveryTimeout+time.Second {
			h.t.Errorf("waited %s", d)
		}
	})
}

// Guards, over random interleavings, against an attempt that runs twice or runs
// although it was reported as not run; violations of the other invariants panic.
func TestRandomLifecycles(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		ran := map[state.AttemptID]int{}
		runner := &scriptedRunner{}
		runner.run = func(ctx context.Context, id state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
			switch id.Seq % 9 {
			case 0:
				return state.Usage{}, ErrNotSent
			case 1:
				return state.Usage{}, &TargetError{Status: 500}
			case 2:
				time.Sleep(time.Duration(id.Seq%3) * 20 * time.Millisecond)
				return state.Usage{}, &NotAdmittedError{Status: 503}
			}
			mu.Lock()
			ran[id]++
			mu.Unlock()
			return produceChunks(int(id.Seq%40), 15*time.Millisecond)(ctx, id, emit)
		}
		withHarness(t, runner, testBundle(4, 12, 0, 0, 1, 2), func(h *harness) {
			var jobs []*state.Dispatch
			notRun := map[state.AttemptID]bool{}
			var streams sync.WaitGroup
			sessions := []*Session{h.session}
			h.openSession("e1", 2).Close()
			for range 400 {
				number := sessions[len(sessions)-1].number
				switch k := rng.IntN(20); {
				case k < 12 || len(jobs) == 0:
					d := h.newDispatch(state.Tier(rng.IntN(4)))
					d.Attempt.Session = number
					d.Request.Deadline = time.Now().Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
					d.Request.Customer = state.Customer(fmt.Sprint(rng.IntN(3)))
					jobs = append(jobs, d)
				case k == 12:
					c := h.openSession("e1", number+2)
					sessions = append(sessions, c)
				case k == 13:
					d := jobs[rng.IntN(len(jobs))]
					if v := sessions[len(sessions)-1].Void(&state.Void{Attempt: d.Attempt, Incarnation: selfIncarnation}); v.Phase == state.AttemptVoided || v.Phase == state.AttemptNotRun {
						mu.Lock()
						notRun[d.Attempt] = true
						mu.Unlock()
					}
				}
				d := jobs[max(0, len(jobs)-1-rng.IntN(5))]
				a := sessions[max(0, len(sessions)-1-rng.IntN(2))].Dispatch(d)
				act := rng.IntN(6)
				streams.Go(func() {
					defer a.Detach()
					if act == 0 {
						a.Cancel()
					}
					events := h.readAll(a)
					if _, ok := events[len(events)-1].(*state.Refused); ok {
						mu.Lock()
						notRun[d.Attempt] = true
						mu.Unlock()
					}
					a.Ack()
				})
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
			streams.Wait()
			for id, n := range ran {
				if n > 1 || notRun[id] {
					h.t.Errorf("seed %d: %s ran %d times, reported as not run: %v", seed, id, n, notRun[id])
				}
			}
			if len(ran) < 20 || len(notRun) < 20 {
				h.t.Errorf("seed %d: only %d ran and %d did not", seed, len(ran), len(notRun))
			}
		})
	}
}
