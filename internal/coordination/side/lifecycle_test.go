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
	withRig(t, &scriptedRunner{run: produce(50, 10*time.Millisecond)}, bundle(4, 10), func(r *rig) {
		events := r.rest(r.session.Dispatch(r.job(1)))
		if diff := cmp.Diff(offsets(0, 50), chunks(events)); diff != "" {
			r.t.Error(diff)
		}
		done, ok := events[len(events)-1].(*state.Done)
		if !ok || done.Chunks != 50 {
			r.t.Errorf("ended with %+v", events[len(events)-1])
		}
		if f := r.Figures(); f.RunningCount != 0 || f.DecodeRate < 160 || f.DecodeRate > 240 {
			r.t.Errorf("figures %+v, want nothing running and about 200 tokens/s, 100 for each of 2 slots", f)
		}
	})
}

// Guards against work that an older session still delivers, and against an
// attempt that is lost with its session.
func TestNewSessionFencesOlder(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(10, 100*time.Millisecond)}, bundle(4, 10), func(r *rig) {
		old, running, late := r.session, r.job(0), r.job(0)
		first := old.Dispatch(running)
		synctest.Wait()
		r.session = r.open("e1", 2)
		<-old.Fenced()
		r.wantRefused(old.Dispatch(late), state.ReasonFenced)
		// An attempt is accepted only on the session that it names.
		last[*state.Done](r, r.session.Dispatch(r.job(0)))
		wrong := r.job(0)
		wrong.Attempt.Session = 3
		r.wantRefused(r.session.Dispatch(wrong), state.ReasonFenced)
		foreign := r.job(0)
		foreign.Attempt.Entry = "e2"
		r.wantRefused(r.session.Dispatch(foreign), state.ReasonFenced)
		if _, err := r.OpenSession("e1", 1, 1); !errors.Is(err, ErrFenced) {
			r.t.Errorf("older session opened: %v", err)
		}
		unseen := late.Attempt
		unseen.Seq = 99
		if p := r.phase(r.session.Attach(&state.Attach{Attempt: unseen, Incarnation: self})); p != state.AttemptUnseen {
			r.t.Errorf("phase %d, want unseen", p)
		}
		old.Close()
		first.Detach()
		events := r.rest(r.session.Attach(&state.Attach{Attempt: running.Attempt, Incarnation: self, Offset: 4}))
		if diff := cmp.Diff(offsets(4, 10), chunks(events)); diff != "" {
			r.t.Error(diff)
		}
		// The refusals above were final: the same attempts do not run later.
		r.session = r.open("e1", 3)
		r.wantRefused(r.session.Dispatch(wrong), state.ReasonVoided)
		r.wantRefused(r.open("e2", 2).Dispatch(foreign), state.ReasonVoided)
		if n := len(r.runner.runs); n != 2 {
			r.t.Errorf("%d attempts ran, want 2", n)
		}
	})
}

// Guards against an attempt that runs on an incarnation other than the one it
// is addressed to, without a bundle, or with a model that is not loaded.
func TestRefusedBeforeQueue(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(1, 0)}, nil, func(r *rig) {
		r.wantRefused(r.session.Dispatch(r.job(0)), state.ReasonNoBundle)
		r.SetBundle(bundle(4, 10))
		other := r.job(0)
		other.Incarnation = self + 1
		r.wantRefused(r.session.Dispatch(other), state.ReasonWrongIncarnation)
		large := r.job(0)
		large.Request.PromptTokens = 100001
		r.wantRefused(r.session.Dispatch(large), state.ReasonTooLarge)
		past := r.job(0)
		past.Request.Deadline = time.Now().Add(-time.Second)
		r.wantRefused(r.session.Dispatch(past), state.ReasonDeadline)
		r.LoadReported(Load{Models: []state.ModelSpec{{Name: "m"}}})
		r.wantRefused(r.session.Dispatch(r.job(0)), state.ReasonNotLoaded)
		if n := len(r.runner.runs); n != 0 {
			r.t.Errorf("%d attempts ran, want none", n)
		}
	})
}

// Guards against a voided attempt that runs, and against a receipt for one that
// ran or may have run.
func TestVoid(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(10, 100*time.Millisecond)}, bundle(1, 10), func(r *rig) {
		void := func(d *state.Dispatch, want state.Phase) {
			r.t.Helper()
			if got := r.session.Void(&state.Void{Attempt: d.Attempt, Incarnation: d.Incarnation}); got.Phase != want {
				r.t.Errorf("void %s: phase %d, want %d", d.Attempt, got.Phase, want)
			}
		}
		before := r.job(0)
		void(before, state.AttemptVoided)
		r.wantRefused(r.session.Dispatch(before), state.ReasonVoided)
		void(before, state.AttemptVoided)

		running, queued := r.job(0), r.job(0)
		stream, waiting := r.session.Dispatch(running), r.session.Dispatch(queued)
		void(running, state.AttemptRunning)
		void(queued, state.AttemptVoided)
		r.wantRefused(waiting, state.ReasonVoided)
		last[*state.Done](r, stream)
		void(running, state.AttemptDone)

		earlier := r.job(0)
		earlier.Incarnation = self + 1
		void(earlier, state.AttemptUnknown)

		var full *state.Dispatch
		for range MaxVoided - 1 { // and the one above
			full = r.job(0)
			r.session.Void(&state.Void{Attempt: full.Attempt, Incarnation: self})
		}
		void(full, state.AttemptVoided)
		void(r.job(0), state.AttemptUnknown)
		// Fencing makes room: older sessions can no longer deliver.
		r.session = r.open("e1", 2)
		void(r.job(0), state.AttemptVoided)
		void(full, state.AttemptVoided)
		if n := len(r.runner.runs); n != 1 {
			r.t.Errorf("%d attempts ran, want 1", n)
		}
	})
}

// Guards against a duplicate dispatch that runs again, at any point of the
// attempt's life.
func TestDuplicateDispatchRunsOnce(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(10, 100*time.Millisecond)}, bundle(1, 10), func(r *rig) {
		d := r.job(0)
		first, second := r.session.Dispatch(d), r.session.Dispatch(d)
		for _, a := range []*Attempt{first, second, r.session.Dispatch(d)} {
			if diff := cmp.Diff(offsets(0, 10), chunks(r.rest(a))); diff != "" {
				r.t.Error(diff)
			}
		}
		first.Ack()
		if p := r.phase(r.session.Dispatch(d)); p != state.AttemptExpired {
			r.t.Errorf("phase %d, want expired", p)
		}
		time.Sleep(2 * Horizon)
		if p := r.phase(r.session.Dispatch(d)); p != state.AttemptUnknown {
			r.t.Errorf("phase %d, want unknown", p)
		}
		if n := len(r.runner.runs); n != 1 {
			r.t.Errorf("attempt ran %d times", n)
		}
	})
}

// Guards against a planned stop that takes new work, cuts off a running
// request, runs the queue, or exits before responses were delivered.
func TestLeave(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(10, 100*time.Millisecond)}, bundle(1, 10), func(r *rig) {
		running := r.session.Dispatch(r.job(0))
		queued := r.session.Dispatch(r.job(0))
		r.Leave()
		<-r.session.Urgent()
		if !r.session.Status().Leaving {
			r.t.Error("status does not tell that the target is leaving")
		}
		r.wantRefused(queued, state.ReasonLeaving)
		refused := r.session.Dispatch(r.job(0))
		r.wantRefused(refused, state.ReasonLeaving)
		last[*state.Done](r, running)
		queued.Detach()
		refused.Detach()
		time.Sleep(DrainGrace / 2)
		select {
		case <-r.Drained():
			r.t.Error("drained before the response was acknowledged")
		default:
		}
		running.Ack()
		running.Detach()
		time.Sleep(time.Second)
		select {
		case <-r.Drained():
		default:
			r.t.Error("not drained after the response was acknowledged")
		}
	})
}

// Guards against a planned stop that waits for a response that its entry has
// cancelled and does not read.
func TestDrainSkipsCancelled(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(10, 100*time.Millisecond)}, bundle(1, 10), func(r *rig) {
		a := r.session.Dispatch(r.job(0))
		time.Sleep(200 * time.Millisecond)
		a.Cancel()
		a.Detach()
		left := time.Now()
		r.Leave()
		<-r.Drained()
		if d := time.Since(left); d > time.Second {
			r.t.Errorf("drained after %s", d)
		}
	})
}

// Guards against a stop that waits for an entry that is gone.
func TestDrainIsBounded(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(10, 100*time.Millisecond)}, bundle(1, 10), func(r *rig) {
		last[*state.Done](r, r.session.Dispatch(r.job(0)))
		left := time.Now()
		r.Leave()
		<-r.Drained()
		if d := time.Since(left); d < DrainGrace || d > DrainGrace+time.Second {
			r.t.Errorf("drained after %s", d)
		}
	})
}

// Guards against attempts of a dead entry that hold slots for ever, and against
// the loss of keyed ones (rule 12).
func TestLostSession(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(300, 100*time.Millisecond)}, bundle(4, 10), func(r *rig) {
		plain, keyed, queued := r.job(0), r.job(0), r.job(0)
		keyed.Request.Key = "k"
		for _, d := range []*state.Dispatch{plain, keyed, queued} {
			r.session.Dispatch(d).Detach()
		}
		r.session.Close()
		time.Sleep(SessionGrace / 2)
		r.session = r.open("e1", 2)
		time.Sleep(SessionGrace / 10)
		r.session.Close()
		// The session that returned in time started a new grace.
		time.Sleep(SessionGrace * 9 / 10)
		if n := len(r.runner.cancelled); n != 0 {
			r.t.Errorf("%d attempts cancelled within the grace", n)
		}
		time.Sleep(SessionGrace / 5)
		if id := <-r.runner.cancelled; id != plain.Attempt {
			r.t.Errorf("cancelled %s, want %s", id, plain.Attempt)
		}
		other := r.open("e2", 1)
		attach := func(d *state.Dispatch) *Attempt {
			return other.Attach(&state.Attach{Attempt: d.Attempt, Incarnation: self})
		}
		if p := r.phase(attach(queued)); p != state.AttemptNotRun {
			r.t.Errorf("queued attempt: phase %d, want not run", p)
		}
		if p := r.phase(attach(plain)); p != state.AttemptFailed {
			r.t.Errorf("attempt without a key: phase %d, want failed", p)
		}
		if n := len(chunks(r.rest(attach(keyed)))); n != 300 {
			r.t.Errorf("keyed attempt: %d chunks, want 300", n)
		}
		r.session = r.open("e1", 3)
		r.session.Dispatch(r.job(0))
		r.session.Close()
		time.Sleep(SessionGrace + time.Second)
		if n := len(r.runner.cancelled); n != 1 {
			r.t.Errorf("%d attempts cancelled after a second loss, want 1", n)
		}
	})
}

// Guards against an entry that ends attempts which it did not send.
func TestOnlyOwnerCancels(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(20, 100*time.Millisecond)}, bundle(1, 10), func(r *rig) {
		d, q := r.job(0), r.job(0)
		own, waiting := r.session.Dispatch(d), r.session.Dispatch(q)
		foreign := r.open("e2", 1).Attach(&state.Attach{Attempt: d.Attempt, Incarnation: self})
		foreign.Cancel()
		foreign.Ack()
		own.Withdraw() // has no effect on a running attempt
		waiting.Withdraw()
		r.wantRefused(waiting, state.ReasonWithdrawn)
		time.Sleep(time.Second)
		own.Cancel()
		if f := last[*state.Failed](r, own); f.Reason != state.ReasonCancelled || f.Unknown || f.Usage.GeneratedTokens == 0 {
			r.t.Errorf("failed with %+v", f)
		}
		if id := <-r.runner.cancelled; id != d.Attempt {
			r.t.Errorf("cancelled %s at the target", id)
		}
		d = r.job(0)
		last[*state.Done](r, r.session.Dispatch(d))
		foreign = r.open("e2", 2).Attach(&state.Attach{Attempt: d.Attempt, Incarnation: self})
		last[*state.Done](r, foreign)
		foreign.Ack()
		if p := r.phase(r.session.Attach(&state.Attach{Attempt: d.Attempt, Incarnation: self})); p != state.AttemptDone {
			r.t.Errorf("phase %d after another entry's acknowledgement, want done", p)
		}
	})
}

// Guards against requests that are held or run past their deadline, and against a
// keyed request that is cut off at it.
func TestDeadlines(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(40, 100*time.Millisecond)}, bundle(1, 10), func(r *rig) {
		last[*state.Done](r, r.session.Dispatch(r.job(0))) // measures 10 tokens/s
		running := r.session.Dispatch(r.job(0))
		time.Sleep(time.Second)
		hopeless := r.job(0)
		hopeless.Request.Deadline = time.Now().Add(time.Second)
		sent := time.Now()
		r.wantRefused(r.session.Dispatch(hopeless), state.ReasonDeadline)
		if d := time.Since(sent); d > 0 {
			r.t.Errorf("refused after %s, want at once", d)
		}
		last[*state.Done](r, running)

		short := r.job(0)
		short.Request.Deadline = time.Now().Add(2 * time.Second)
		if f := last[*state.Failed](r, r.session.Dispatch(short)); f.Reason != state.ReasonTimeout || f.Unknown {
			r.t.Errorf("failed with %+v", f)
		}
		if id := <-r.runner.cancelled; id != short.Attempt {
			r.t.Errorf("cancelled %s at the target", id)
		}

		keyed := r.job(0)
		keyed.Request.Key, keyed.Request.Deadline = "k", time.Now().Add(2*time.Second)
		last[*state.Done](r, r.session.Dispatch(keyed)) // a retry may collect it
	})
}

// Guards against outcomes that say more or less than is known.
func TestOutcomes(t *testing.T) {
	var err error
	runner := &scriptedRunner{run: func(context.Context, state.AttemptID, func(state.AttemptEvent)) (state.Usage, error) {
		return state.Usage{}, err
	}}
	withRig(t, runner, bundle(4, 10), func(r *rig) {
		err = fmt.Errorf("dial: %w", ErrNotSent)
		r.wantRefused(r.session.Dispatch(r.job(0)), state.ReasonUnreachable)
		err = &TargetError{Status: 500, Detail: "no"}
		if f := last[*state.Failed](r, r.session.Dispatch(r.job(0))); f.Unknown || f.Status != 500 || f.Reason != state.ReasonTargetError {
			r.t.Errorf("failed with %+v", f)
		}
		// The connection for the resumption was refused; the request had been sent.
		err = &UnknownError{Reason: state.ReasonTargetSilent, Err: ErrNotSent}
		if f := last[*state.Failed](r, r.session.Dispatch(r.job(0))); !f.Unknown || f.Reason != state.ReasonTargetSilent {
			r.t.Errorf("failed with %+v", f)
		}
		err = errors.New("unforeseen")
		if f := last[*state.Failed](r, r.session.Dispatch(r.job(0))); !f.Unknown {
			r.t.Errorf("failed with %+v", f)
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
		return produce(1, 0)(ctx, id, emit)
	}
	withRig(t, runner, bundle(1, 10), func(r *rig) {
		high, low := r.session.Dispatch(r.job(1)), r.session.Dispatch(r.job(3))
		r.wantRefused(low, state.ReasonDisplaced)
		r.wantRefused(high, state.ReasonNotAdmitted)
		if n := len(r.runner.runs); n != maxAdmissions+1 {
			r.t.Errorf("sent %d times, want %d", n, maxAdmissions+1)
		}
		again := r.session.Dispatch(r.job(1))
		time.Sleep(minAdmissionHold / 2)
		full = false
		last[*state.Done](r, again)
	})
}

// Guards against a session that falls silent while its stream waits.
func TestProgress(t *testing.T) {
	withRig(t, &scriptedRunner{run: produce(1, 10*time.Second)}, bundle(1, 10), func(r *rig) {
		running, queued := r.session.Dispatch(r.job(0)), r.session.Dispatch(r.job(0))
		for _, a := range []*Attempt{running, queued} {
			for range 10 {
				from := time.Now()
				if _, err := a.Next(r.t.Context()); err != nil || time.Since(from) > ProgressInterval {
					r.t.Errorf("no event for %s: %v", time.Since(from), err)
				}
			}
		}
	})
}

// Guards against an unbounded store of responses, and against the loss of a
// keyed one within the horizon and the bound.
func TestRetention(t *testing.T) {
	const size = 1 << 20
	run := func(_ context.Context, _ state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
		emit(&state.Chunk{Data: make([]byte, size)})
		return state.Usage{}, nil
	}
	withRig(t, &scriptedRunner{run: run}, bundle(1, 10), func(r *rig) {
		var jobs []*state.Dispatch
		for i := range MaxRetained/size + 3 {
			d := r.job(0)
			d.Request.Key = fmt.Sprint(i)
			jobs = append(jobs, d)
			a := r.session.Dispatch(d)
			last[*state.Done](r, a)
			a.Ack()
			a.Detach()
		}
		count := map[state.Phase]int{}
		for _, d := range jobs {
			count[r.phase(r.session.Attach(&state.Attach{Attempt: d.Attempt, Incarnation: self}))]++
		}
		want := map[state.Phase]int{state.AttemptExpired: 3, state.AttemptDone: MaxRetained / size}
		if diff := cmp.Diff(want, count); diff != "" {
			r.t.Error(diff)
		}
		time.Sleep(Horizon + time.Second)
		newest := jobs[len(jobs)-1]
		if p := r.phase(r.session.Attach(&state.Attach{Attempt: newest.Attempt, Incarnation: self})); p != state.AttemptExpired {
			r.t.Errorf("phase %d after the horizon, want expired", p)
		}
	})
}

// Guards against a restart that loses running streams, runs them twice, lets
// them exceed the window, or claims to know what it cannot.
func TestRestartAdoptsStreams(t *testing.T) {
	adopted := state.AttemptID{Entry: "e1", Incarnation: 1, Session: 1, Seq: 1}
	whole := state.AttemptID{Entry: "e1", Incarnation: 1, Session: 1, Seq: 2}
	lost := state.AttemptID{Entry: "e1", Incarnation: 1, Session: 1, Seq: 3}
	runner := &scriptedRunner{
		run: produce(1, 0), delay: time.Second,
		live: []Live{{Attempt: adopted, Chunks: 5}, {Attempt: whole, Chunks: 20, Done: true}},
	}
	resumed := 0
	runner.resume = func(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
		resumed++
		if from != 0 {
			t.Errorf("resumed from %d", from)
		}
		return produce(20, 100*time.Millisecond)(ctx, id, emit)
	}
	withRig(t, runner, bundle(1, 10), func(r *rig) {
		r.session = r.open("e1", 2)
		attach := func(id state.AttemptID) *Attempt {
			return r.session.Attach(&state.Attach{Attempt: id, Incarnation: self + 1, Offset: 5})
		}
		duplicate := &state.Dispatch{Attempt: adopted, Incarnation: self + 1}
		early := []*Attempt{attach(adopted), r.session.Dispatch(duplicate)}
		if p := r.phase(attach(lost)); p != state.AttemptUnknown {
			r.t.Errorf("lost attempt: phase %d, want unknown", p)
		}
		if v := r.session.Void(&state.Void{Attempt: lost, Incarnation: self + 1}); v.Phase != state.AttemptUnknown {
			r.t.Errorf("void of lost attempt: phase %d, want unknown", v.Phase)
		}
		old := r.job(0)
		old.Incarnation = self + 1
		r.wantRefused(r.session.Dispatch(old), state.ReasonWrongIncarnation)
		if f := r.Figures(); f.RunningCount != 1 {
			r.t.Errorf("%d running, want the adopted one", f.RunningCount)
		}
		started := time.Now()
		waiting := r.session.Dispatch(r.job(0))
		for i, a := range early {
			if n := len(chunks(r.rest(a))); n != 15+5*i {
				r.t.Errorf("stream %d opened before the list arrived: %d chunks", i, n)
			}
		}
		for _, id := range []state.AttemptID{adopted, whole, whole} {
			if diff := cmp.Diff(offsets(5, 20), chunks(r.rest(attach(id)))); diff != "" {
				r.t.Errorf("%s: %s", id, diff)
			}
		}
		last[*state.Done](r, waiting)
		if d := time.Since(started); d < 1500*time.Millisecond {
			r.t.Errorf("the window of 1 let a second attempt run after %s", d)
		}
		if resumed != 2 || len(r.runner.runs) != 1 {
			r.t.Errorf("%d streams resumed, %d run, want 2 and 1", resumed, len(r.runner.runs))
		}
	})
}

// Guards against new work and false answers while the target does not tell
// which streams are alive, and against waiting for it for ever.
func TestRestartWithoutList(t *testing.T) {
	runner := &scriptedRunner{run: produce(1, 0), listed: errors.New("down")}
	withRig(t, runner, bundle(1, 10), func(r *rig) {
		started := time.Now()
		early := r.job(0)
		early.Attempt.Seq = 100
		early.Incarnation = self + 1
		attached := r.session.Attach(&state.Attach{Attempt: early.Attempt, Incarnation: self + 1})
		job := r.session.Dispatch(r.job(0))
		time.Sleep(RecoveryLimit / 2)
		if n := len(r.runner.runs); n != 0 {
			r.t.Errorf("%d attempts started before the live streams were known", n)
		}
		if p := r.phase(attached); p != state.AttemptUnknown {
			r.t.Errorf("phase %d, want unknown", p)
		}
		last[*state.Done](r, job)
		if d := time.Since(started); d < RecoveryLimit || d > RecoveryLimit+time.Second {
			r.t.Errorf("waited %s", d)
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
			return produce(int(id.Seq%40), 15*time.Millisecond)(ctx, id, emit)
		}
		withRig(t, runner, bundle(4, 12, 0, 0, 1, 2), func(r *rig) {
			var jobs []*state.Dispatch
			notRun := map[state.AttemptID]bool{}
			var streams sync.WaitGroup
			sessions := []*Session{r.session}
			r.open("e1", 2).Close()
			for range 400 {
				number := sessions[len(sessions)-1].number
				switch k := rng.IntN(20); {
				case k < 12 || len(jobs) == 0:
					d := r.job(state.Tier(rng.IntN(4)))
					d.Attempt.Session = number
					d.Request.Deadline = time.Now().Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
					d.Request.Customer = state.Customer(fmt.Sprint(rng.IntN(3)))
					jobs = append(jobs, d)
				case k == 12:
					c := r.open("e1", number+2)
					sessions = append(sessions, c)
				case k == 13:
					d := jobs[rng.IntN(len(jobs))]
					if v := sessions[len(sessions)-1].Void(&state.Void{Attempt: d.Attempt, Incarnation: self}); v.Phase == state.AttemptVoided || v.Phase == state.AttemptNotRun {
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
					events := r.rest(a)
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
					r.t.Errorf("seed %d: %s ran %d times, reported as not run: %v", seed, id, n, notRun[id])
				}
			}
			if len(ran) < 20 || len(notRun) < 20 {
				r.t.Errorf("seed %d: only %d ran and %d did not", seed, len(ran), len(notRun))
			}
		})
	}
}
