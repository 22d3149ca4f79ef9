package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/retry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// phase is what the entry knows about an open attempt.
type phase uint8

const (
	phaseSent phase = iota // no event yet
	phaseQueued
	phaseRunning
	phaseOver // the side process said that it has ended
)

// attempt is one open attempt, of this entry or of the holder of the key.
type attempt struct {
	target      state.TargetID
	id          state.AttemptID
	incarnation state.Incarnation
	own         bool          // this entry dispatched it and may withdraw and cancel it
	stream      AttemptStream // nil while the session is lost
	phase       phase
	output      bool         // passed on a part of the response
	withdrawn   state.Reason // why the entry asked for the withdrawal; empty when it did not
	lostAt      time.Time    // when the stream broke; zero once events arrive again
	breaks      int          // streams lost since the last event
	gaps        int          // streams on which a chunk was missing
	known       int          // leading prompt blocks computed before
}

// ran reports whether the attempt may have computed its prompt.
func (a *attempt) ran() bool { return a.phase >= phaseRunning }

// waiting reports whether the attempt can be withdrawn.
func (a *attempt) waiting() bool { return a.own && a.phase <= phaseQueued }

func (a *attempt) close() {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
}

// follow passes the attempt's events on until it ends. When a.stream is nil it
// attaches first; cause is the error that ended the stream, if any.
func (r *run) follow(ctx context.Context, a *attempt, cause error) ending {
	defer a.close()
	for {
		if a.stream == nil {
			if end, ok := r.reattach(ctx, a, cause); !ok {
				return end
			}
		}
		event, err := r.next(ctx, a)
		if err != nil && ctx.Err() != nil {
			return r.abandon(ctx, a)
		}
		if err == nil {
			end, action := r.apply(a, event)
			if action == proceed {
				continue
			}
			if action == finish {
				return end
			}
			err = fmt.Errorf("response of attempt %s is not contiguous", a.id)
			a.gaps++
			if a.gaps > maxGaps {
				return unknown(state.ReasonStreamBroken, stepError("follow", a.target, err))
			}
		}
		a.close()
		cause = err
	}
}

// next returns the next event. While the attempt is queued it compares the
// alternatives from time to time.
func (r *run) next(ctx context.Context, a *attempt) (state.AttemptEvent, error) {
	for a.waiting() {
		tick, cancel := context.WithTimeout(ctx, reconsiderInterval)
		event, err := a.stream.Next(tick)
		cancel()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return event, err
		}
		r.reconsider(a)
	}
	return a.stream.Next(ctx)
}

// reconsider withdraws a queued attempt that was displaced or would start much
// sooner elsewhere.
func (r *run) reconsider(a *attempt) {
	if a.withdrawn != "" {
		return
	}
	if r.displaced() {
		r.withdraw(a, state.ReasonDisplaced)
		return
	}
	if a.phase != phaseQueued || r.placements >= r.bundle.Retry.Placements {
		return
	}
	best, current, ok := r.service.cfg.Placer.Alternative(a.target, r.query())
	if !ok || current <= withdrawFactor*best || current <= best+withdrawMargin {
		return
	}
	r.log.Info("withdrawal", zap.String("target", string(a.target)), zap.Duration("predicted_wait", current), zap.Duration("alternative", best))
	r.withdraw(a, state.ReasonWithdrawn)
}

// withdraw asks for the attempt back. The answer is *state.Refused, or the
// attempt goes on.
func (r *run) withdraw(a *attempt, reason state.Reason) {
	a.withdrawn = reason
	// A failed write shows up as a lost session.
	_ = a.stream.Withdraw()
}

// action says what follows an event.
type action uint8

const (
	proceed action = iota
	finish
	attachAgain // the stream is incomplete
)

// apply handles one event.
func (r *run) apply(a *attempt, event state.AttemptEvent) (ending, action) {
	if s, ok := event.(*state.AttemptState); ok {
		return r.applyState(a, s)
	}
	a.lostAt, a.breaks = time.Time{}, 0
	switch e := event.(type) {
	case *state.Queued:
		a.phase = max(a.phase, phaseQueued)
	case *state.Started:
		r.started(a)
	case *state.Head:
		r.started(a)
		a.output = true
		r.out.setHead(e)
		return r.afterOutput(a)
	case *state.Chunk:
		r.started(a)
		if r.out.add(e) == arrivalGap {
			return ending{}, attachAgain
		}
		a.output = true
		return r.afterOutput(a)
	case *state.Done:
		return r.applyDone(a, e)
	case *state.Refused:
		return r.applyRefused(a, e)
	case *state.Failed:
		return r.applyFailed(a, e)
	}
	return ending{}, proceed
}

func (r *run) started(a *attempt) {
	if a.phase >= phaseRunning {
		return
	}
	a.phase = phaseRunning
	r.ticket.MarkStarted()
}

// afterOutput ends the attempt when the caller is gone, unless a retry with its
// key may want the response.
func (r *run) afterOutput(a *attempt) (ending, action) {
	if r.out.err == nil || (r.keyed() && a.own) {
		return ending{}, proceed
	}
	if a.own {
		_ = a.stream.Cancel()
	}
	return ending{verdict: verdictCancelled, reason: ReasonCallerGone, err: r.out.err}, finish
}

// applyState handles the answer to Attach.
func (r *run) applyState(a *attempt, s *state.AttemptState) (ending, action) {
	switch s.Phase {
	case state.AttemptUnseen:
		// Final for this entry's own attempt: the newer session fences the one on
		// which it was dispatched.
		return r.notRun(a, elsewhere(ReasonUnseen, nil))
	case state.AttemptQueued:
		a.phase = max(a.phase, phaseQueued)
	case state.AttemptRunning, state.AttemptDone:
		r.started(a)
	case state.AttemptFailed:
		a.phase = phaseOver
	case state.AttemptVoided:
		return r.notRun(a, ending{verdict: verdictElsewhere, reason: state.ReasonVoided, receipt: s.Phase})
	case state.AttemptNotRun:
		return r.notRun(a, ending{verdict: verdictElsewhere, reason: state.ReasonWithdrawn, receipt: s.Phase})
	case state.AttemptExpired:
		return ending{verdict: verdictExpired, reason: ReasonResponseExpired, err: stepError("attach", a.target, errors.New("response is no longer retained"))}, finish
	default:
		r.started(a)
		return unknown(state.ReasonSideRestarted, stepError("attach", a.target, fmt.Errorf("fate of attempt %s is unknown there", a.id))), finish
	}
	return ending{}, proceed
}

// notRun ends an attempt that its target reports as not run.
func (r *run) notRun(a *attempt, end ending) (ending, action) {
	if a.withdrawn == state.ReasonDisplaced {
		end.verdict, end.reason, end.retryAfter = verdictRefused, state.ReasonDisplaced, defaultRetryAfter
	}
	if !a.output {
		return end, finish
	}
	state.Violated(state.NotRunIsTrue, fmt.Sprintf("attempt %s reported as not run by %s after output", a.id, a.target))
	return unknown(end.reason, stepError("follow", a.target, errors.New("reported as not run after output"))), finish
}

func (r *run) applyDone(a *attempt, d *state.Done) (ending, action) {
	r.started(a)
	if d.Chunks > r.out.next {
		return ending{}, attachAgain
	}
	if !state.Assert(d.Chunks == r.out.next, state.WholeAnswer, fmt.Sprintf("%d chunks passed on, attempt %s has %d", r.out.next, a.id, d.Chunks)) {
		return unknown(ReasonOutcomeUnknown, stepError("follow", a.target, errors.New("response is longer than reported"))), finish
	}
	r.figures(a, &d.Figures)
	if a.own && r.out.err == nil {
		_ = a.stream.Ack()
	}
	return ending{verdict: verdictComplete, usage: d.Usage}, finish
}

func (r *run) applyRefused(a *attempt, e *state.Refused) (ending, action) {
	r.figures(a, &e.Figures)
	err := stepError("dispatch", a.target, fmt.Errorf("refused: %s", e.Reason))
	r.log.Info("attempt refused", zap.String("attempt", a.id.String()), zap.String("target", string(a.target)), zap.String("reason", string(e.Reason)), zap.Duration("retry_after", e.RetryAfter))
	if e.Reason == state.ReasonDuplicate {
		// The refusal is about a second dispatch and says nothing about the first.
		state.Violated(state.DispatchOnce, fmt.Sprintf("attempt %s reached %s twice", a.id, a.target))
		return unknown(e.Reason, err), finish
	}
	end := ending{verdict: verdictElsewhere, reason: e.Reason, retryAfter: e.RetryAfter, receipt: state.AttemptNotRun, err: err}
	if e.Reason == state.ReasonVoided {
		end.receipt = state.AttemptVoided
	}
	return r.notRun(a, end)
}

func (r *run) applyFailed(a *attempt, e *state.Failed) (ending, action) {
	a.phase = phaseOver
	if a.own {
		_ = a.stream.Ack()
	}
	err := stepError("run", a.target, fmt.Errorf("%s %s", e.Reason, e.Detail))
	end := ending{verdict: verdictFailed, reason: e.Reason, usage: e.Usage, status: e.Status, body: e.Detail, err: err}
	switch {
	case e.Reason == state.ReasonTimeout && r.req.Idempotent:
		end.verdict = verdictTimedOut
	case e.Unknown || e.Reason == state.ReasonTimeout || e.Reason == state.ReasonCancelled:
		// A cancelled attempt was dispatched, so part of it may have taken effect.
		end.verdict = verdictUnknown
	}
	return end, finish
}

// figures hands figures to the placer. A refusal that was not about load has
// none.
func (r *run) figures(a *attempt, f *state.Figures) {
	if !f.Taken.IsZero() {
		r.service.cfg.Placer.Figures(a.target, f)
	}
}

// reattach opens a new stream for the attempt that starts at the next chunk
// wanted. It returns false and the ending when the fate stays open for too long.
func (r *run) reattach(ctx context.Context, a *attempt, cause error) (ending, bool) {
	if a.phase == phaseOver && errors.Is(cause, io.EOF) {
		return unknown(state.ReasonStreamBroken, stepError("attach", a.target, errors.New("attempt failed without a reason"))), false
	}
	a.withdrawn = "" // the withdrawal may be lost with the stream
	if a.lostAt.IsZero() {
		a.lostAt = time.Now()
	}
	if cause != nil {
		a.breaks++
		r.log.Info("attempt stream lost", zap.String("attempt", a.id.String()), zap.String("target", string(a.target)), zap.Uint64("offset", r.out.next), zap.Error(cause))
	}
	backoff := retry.Backoff{Base: attachBackoffBase, Max: attachBackoffMax}
	for n := a.breaks; ; n++ {
		if n > 1 {
			if sleep(ctx, backoff.Delay(n, r.service.cfg.Random())) != nil {
				return r.abandon(ctx, a), false
			}
		}
		left := r.attachLimit() - time.Since(a.lostAt)
		if left <= 0 {
			r.started(a) // it may have run
			return unknown(ReasonTargetUnreachable, stepError("attach", a.target, cause)), false
		}
		stream, err := r.attachOnce(ctx, a, left)
		if err == nil {
			a.stream = stream
			return ending{}, true
		}
		if ctx.Err() != nil {
			return r.abandon(ctx, a), false
		}
		cause = err
	}
}

// attachOnce attaches within the time limit.
func (r *run) attachOnce(ctx context.Context, a *attempt, limit time.Duration) (AttemptStream, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.service.cfg.Peers.Attach(ctx, a.target, &state.Attach{Attempt: a.id, Incarnation: a.incarnation, Offset: r.out.next})
}

// attachLimit is how long the fate of an attempt is asked for.
func (r *run) attachLimit() time.Duration {
	if r.req.Idempotent && !r.out.begun() {
		return retryAttachTimeout
	}
	return attachTimeout
}

// abandon ends an attempt whose context ended: at the deadline, or because the
// caller is gone. a.stream may be nil.
func (r *run) abandon(ctx context.Context, a *attempt) ending {
	if !a.own {
		return r.abandonedHolder(ctx)
	}
	if context.Cause(ctx) != errDeadline {
		if a.stream != nil {
			_ = a.stream.Cancel()
		}
		return ending{verdict: verdictCancelled, reason: ReasonCallerGone, err: context.Cause(ctx)}
	}
	err := stepError("run", a.target, errDeadline)
	if a.waiting() && a.stream != nil && r.confirmWithdrawal(a) {
		return refused(state.ReasonTimeout, defaultRetryAfter, err)
	}
	if a.stream != nil && !r.keyed() {
		_ = a.stream.Cancel()
	}
	r.started(a) // it may have run
	if r.req.Idempotent {
		return ending{verdict: verdictTimedOut, reason: state.ReasonTimeout, err: err}
	}
	return unknown(state.ReasonTimeout, err)
}

// confirmWithdrawal withdraws a queued attempt and reports whether the target
// has confirmed that it was not run.
func (r *run) confirmWithdrawal(a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	r.withdraw(a, state.ReasonTimeout)
	for {
		event, err := a.stream.Next(ctx)
		if err != nil {
			return false
		}
		switch e := event.(type) {
		case *state.Refused:
			r.figures(a, &e.Figures)
			return e.Reason != state.ReasonDuplicate
		case *state.Queued, *state.Progress, *state.AttemptState:
		default:
			return false
		}
	}
}
