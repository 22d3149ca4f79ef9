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

// attemptPhase is how far an open attempt has come, as far as the entry knows.
type attemptPhase uint8

const (
	phaseSent attemptPhase = iota // dispatched; no event yet
	phaseQueued
	phaseRunning
	phaseEnded // reported as ended without a whole response
)

// attempt is an open attempt of this entry, or of the entry that holds the key.
type attempt struct {
	target            state.TargetID
	id                state.AttemptID
	incarnation       state.Incarnation
	isOwn             bool          // made by this entry, which alone may withdraw and cancel it
	stream            AttemptStream // nil while the entry is not attached
	phase             attemptPhase
	hasOutput         bool         // a part of the response was passed on
	withdrawReason    state.Reason // why the entry asked to withdraw it; empty if it did not
	streamLostAt      time.Time    // when the stream was lost; zero once events arrive again
	lostStreams       int          // streams lost since the last event
	incompleteStreams int          // streams that left out a chunk
	computedBlocks    int          // leading prompt blocks that earlier attempts had computed
}

// mayHaveRun reports whether the attempt may have computed its prompt.
func (a *attempt) mayHaveRun() bool { return a.phase >= phaseRunning }

// canWithdraw reports whether the attempt is this entry's own and not known to have
// started.
func (a *attempt) canWithdraw() bool { return a.isOwn && a.phase <= phaseQueued }

// close closes the stream, if any. It does not cancel the attempt.
func (a *attempt) close() {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
}

// follow handles the attempt's events until it ends. When a.stream is nil it
// attaches first; cause is the error that ended the previous stream, if any.
func (r *requestRun) follow(ctx context.Context, a *attempt, cause error) attemptEnd {
	defer a.close()
	for {
		if a.stream == nil {
			if end, ok := r.reattach(ctx, a, cause); !ok {
				return end
			}
		}
		event, err := r.nextEvent(ctx, a)
		if err != nil && ctx.Err() != nil {
			return r.abandon(ctx, a)
		}
		if err == nil {
			end, action := r.handleEvent(a, event)
			if action == actionContinue {
				continue
			}
			if action == actionFinish {
				return end
			}
			err = fmt.Errorf("response of attempt %s is not contiguous", a.id)
			a.incompleteStreams++
			if a.incompleteStreams > maxIncompleteStreams {
				return unknownEnd(state.ReasonStreamBroken, stepError("follow", a.target, err))
			}
		}
		a.close()
		cause = err
	}
}

// nextEvent returns the next event of the attempt. While the attempt can be
// withdrawn it reconsiders the target every reconsiderInterval.
func (r *requestRun) nextEvent(ctx context.Context, a *attempt) (state.AttemptEvent, error) {
	for a.canWithdraw() {
		pollCtx, cancel := context.WithTimeout(ctx, reconsiderInterval)
		event, err := a.stream.Next(pollCtx)
		cancel()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return event, err
		}
		r.reconsider(a)
	}
	return a.stream.Next(ctx)
}

// reconsider withdraws an attempt that has not started if its request was displaced
// by a higher tier, or if it is queued and would start much sooner at another target.
func (r *requestRun) reconsider(a *attempt) {
	if a.withdrawReason != "" {
		return
	}
	if r.displaced() {
		r.withdraw(a, state.ReasonDisplaced)
		return
	}
	if a.phase != phaseQueued || r.placements >= r.bundle.Retry.Placements {
		return
	}
	best, current, ok := r.service.cfg.Placer.CompareWaits(a.target, r.placementQuery())
	if !ok || current <= withdrawFactor*best || current <= best+withdrawMargin {
		return
	}
	r.log.Info("withdrawal", zap.String("target", string(a.target)), zap.Duration("predicted_wait", current), zap.Duration("alternative", best))
	r.withdraw(a, state.ReasonWithdrawn)
}

// withdraw asks the side process to give up the attempt without running it. It
// answers with *state.Refused; if the attempt has started, it goes on instead.
func (r *requestRun) withdraw(a *attempt, reason state.Reason) {
	a.withdrawReason = reason
	// If the write fails, the next read reports the lost session.
	_ = a.stream.Withdraw()
}

// eventAction says what to do after an event.
type eventAction uint8

const (
	actionContinue eventAction = iota
	actionFinish
	actionReattach // a chunk is missing from the stream
)

// handleEvent handles one event. With actionFinish it returns the end of the
// attempt.
func (r *requestRun) handleEvent(a *attempt, event state.AttemptEvent) (attemptEnd, eventAction) {
	if s, ok := event.(*state.AttemptState); ok {
		return r.handleState(a, s)
	}
	a.streamLostAt, a.lostStreams = time.Time{}, 0
	switch e := event.(type) {
	case *state.Queued:
		a.phase = max(a.phase, phaseQueued)
	case *state.Started:
		r.markRunning(a)
	case *state.Head:
		r.markRunning(a)
		a.hasOutput = true
		r.delivery.forwardHead(e)
		return r.finishIfCallerGone(a)
	case *state.Chunk:
		r.markRunning(a)
		if r.delivery.forwardChunk(e) == chunkGap {
			return attemptEnd{}, actionReattach
		}
		a.hasOutput = true
		return r.finishIfCallerGone(a)
	case *state.Done:
		return r.handleDone(a, e)
	case *state.Refused:
		return r.handleRefused(a, e)
	case *state.Failed:
		return r.handleFailed(a, e)
	}
	return attemptEnd{}, actionContinue
}

// markRunning records that the attempt may have started, so that the request can no
// longer be displaced.
func (r *requestRun) markRunning(a *attempt) {
	if a.phase >= phaseRunning {
		return
	}
	a.phase = phaseRunning
	r.ticket.MarkStarted()
}

// finishIfCallerGone ends the attempt when the caller is gone. An attempt under a
// key that this entry claimed goes on, because a retry with the same key may
// collect the response.
func (r *requestRun) finishIfCallerGone(a *attempt) (attemptEnd, eventAction) {
	if r.delivery.sinkErr == nil || (r.needsClaim() && a.isOwn) {
		return attemptEnd{}, actionContinue
	}
	if a.isOwn {
		_ = a.stream.Cancel()
	}
	return attemptEnd{kind: endCancelled, reason: ReasonCallerGone, err: r.delivery.sinkErr}, actionFinish
}

// handleState handles the side process's answer to Attach.
func (r *requestRun) handleState(a *attempt, s *state.AttemptState) (attemptEnd, eventAction) {
	switch s.Phase {
	case state.AttemptUnseen:
		// Final for this entry's own attempt: the newer session fences the one on
		// which it was dispatched.
		return r.notRunEnd(a, placeAgainEnd(ReasonUnseen, nil))
	case state.AttemptQueued:
		a.phase = max(a.phase, phaseQueued)
	case state.AttemptRunning, state.AttemptDone:
		r.markRunning(a)
	case state.AttemptFailed:
		a.phase = phaseEnded
	case state.AttemptVoided:
		return r.notRunEnd(a, attemptEnd{kind: endPlaceAgain, reason: state.ReasonVoided, receipt: s.Phase})
	case state.AttemptNotRun:
		return r.notRunEnd(a, attemptEnd{kind: endPlaceAgain, reason: state.ReasonWithdrawn, receipt: s.Phase})
	case state.AttemptExpired:
		return attemptEnd{kind: endExpired, reason: ReasonResponseExpired, err: stepError("attach", a.target, errors.New("the target no longer retains the response"))}, actionFinish
	default:
		r.markRunning(a)
		return unknownEnd(state.ReasonSideRestarted, stepError("attach", a.target, fmt.Errorf("side process does not know the outcome of attempt %s", a.id))), actionFinish
	}
	return attemptEnd{}, actionContinue
}

// notRunEnd ends an attempt that its target reports as not run. A displaced request
// is refused. A report that comes after output violates state.NotRunIsTrue.
func (r *requestRun) notRunEnd(a *attempt, end attemptEnd) (attemptEnd, eventAction) {
	if a.withdrawReason == state.ReasonDisplaced {
		end.kind, end.reason, end.retryAfter = endRefused, state.ReasonDisplaced, defaultRetryAfter
	}
	if !a.hasOutput {
		return end, actionFinish
	}
	state.ReportViolation(state.NotRunIsTrue, fmt.Sprintf("attempt %s reported as not run by %s after output", a.id, a.target))
	return unknownEnd(end.reason, stepError("follow", a.target, errors.New("attempt reported as not run after a part of its response"))), actionFinish
}

// handleDone ends the attempt if every chunk of its response was passed on.
func (r *requestRun) handleDone(a *attempt, d *state.Done) (attemptEnd, eventAction) {
	r.markRunning(a)
	if d.Chunks > r.delivery.nextOffset {
		return attemptEnd{}, actionReattach
	}
	if !state.Assert(d.Chunks == r.delivery.nextOffset, state.WholeAnswer, fmt.Sprintf("%d chunks passed on, attempt %s has %d", r.delivery.nextOffset, a.id, d.Chunks)) {
		return unknownEnd(ReasonOutcomeUnknown, stepError("follow", a.target, errors.New("response is longer than reported"))), actionFinish
	}
	r.passFigures(a, &d.Figures)
	if a.isOwn && r.delivery.sinkErr == nil {
		_ = a.stream.Ack()
	}
	return attemptEnd{kind: endComplete, usage: d.Usage}, actionFinish
}

// handleRefused ends an attempt that its side process has refused or withdrawn.
func (r *requestRun) handleRefused(a *attempt, e *state.Refused) (attemptEnd, eventAction) {
	r.passFigures(a, &e.Figures)
	err := stepError("dispatch", a.target, fmt.Errorf("refused: %s", e.Reason))
	r.log.Info("attempt refused", zap.String("attempt", a.id.String()), zap.String("target", string(a.target)), zap.String("reason", string(e.Reason)), zap.Duration("retry_after", e.RetryAfter))
	if e.Reason == state.ReasonDuplicate {
		// The side process refused a second dispatch of the attempt, which says
		// nothing about the outcome of the first.
		state.ReportViolation(state.DispatchOnce, fmt.Sprintf("attempt %s reached %s twice", a.id, a.target))
		return unknownEnd(e.Reason, err), actionFinish
	}
	end := attemptEnd{kind: endPlaceAgain, reason: e.Reason, retryAfter: e.RetryAfter, receipt: state.AttemptNotRun, err: err}
	if e.Reason == state.ReasonVoided {
		end.receipt = state.AttemptVoided
	}
	return r.notRunEnd(a, end)
}

// handleFailed ends an attempt that was dispatched and did not finish.
func (r *requestRun) handleFailed(a *attempt, e *state.Failed) (attemptEnd, eventAction) {
	a.phase = phaseEnded
	if a.isOwn {
		_ = a.stream.Ack()
	}
	err := stepError("run", a.target, fmt.Errorf("%s %s", e.Reason, e.Detail))
	end := attemptEnd{kind: endFailed, reason: e.Reason, usage: e.Usage, status: e.Status, body: e.Detail, err: err}
	switch {
	case e.Reason == state.ReasonTimeout && r.req.Idempotent:
		end.kind = endTimedOut
	case e.OutcomeUnknown || e.Reason == state.ReasonTimeout || e.Reason == state.ReasonCancelled:
		// A cancelled attempt was dispatched, so part of it may have taken effect.
		end.kind = endUnknown
	}
	return end, actionFinish
}

// passFigures passes load figures on to the placer. A refusal that was not for load
// carries none.
func (r *requestRun) passFigures(a *attempt, f *state.LoadFigures) {
	if !f.Taken.IsZero() {
		r.service.cfg.Placer.FiguresReceived(a.target, f)
	}
}

// reattach opens a new stream for the attempt, from the first chunk that was not
// yet passed on. It retries with backoff. It returns false and the end of the
// attempt when the side process cannot be reached within attachTimeLimit or when
// ctx ends.
func (r *requestRun) reattach(ctx context.Context, a *attempt, cause error) (attemptEnd, bool) {
	if a.phase == phaseEnded && errors.Is(cause, io.EOF) {
		return unknownEnd(state.ReasonStreamBroken, stepError("attach", a.target, errors.New("attempt failed without a reason"))), false
	}
	a.withdrawReason = "" // a withdrawal may have been lost with the stream, so it may be sent again
	if a.streamLostAt.IsZero() {
		a.streamLostAt = time.Now()
	}
	if cause != nil {
		a.lostStreams++
		r.log.Info("attempt stream lost", zap.String("attempt", a.id.String()), zap.String("target", string(a.target)), zap.Uint64("offset", r.delivery.nextOffset), zap.Error(cause))
	}
	backoff := retry.Backoff{Base: attachBackoffBase, Max: attachBackoffMax}
	for n := a.lostStreams; ; n++ {
		if n > 1 {
			if sleep(ctx, backoff.Delay(n, r.service.cfg.Random())) != nil {
				return r.abandon(ctx, a), false
			}
		}
		remaining := r.attachTimeLimit() - time.Since(a.streamLostAt)
		if remaining <= 0 {
			r.markRunning(a) // it may have started
			return unknownEnd(ReasonTargetUnreachable, stepError("attach", a.target, cause)), false
		}
		stream, err := r.attach(ctx, a, remaining)
		if err == nil {
			a.stream = stream
			return attemptEnd{}, true
		}
		if ctx.Err() != nil {
			return r.abandon(ctx, a), false
		}
		cause = err
	}
}

// attach makes one call of Attach, which may take up to limit.
func (r *requestRun) attach(ctx context.Context, a *attempt, limit time.Duration) (AttemptStream, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.service.cfg.Peers.Attach(ctx, a.target, &state.Attach{Attempt: a.id, Incarnation: a.incarnation, Offset: r.delivery.nextOffset})
}

// attachTimeLimit returns for how long after the loss of its stream the entry tries
// to attach to an attempt. It is shorter for a request that can be retried.
func (r *requestRun) attachTimeLimit() time.Duration {
	if r.req.Idempotent && !r.delivery.hasOutput() {
		return retryableAttachTimeout
	}
	return attachTimeout
}

// abandon ends an attempt after ctx ended, at the deadline, at the limit of a planned
// stop or because the caller is gone. a.stream may be nil. At the deadline or the limit,
// a queued attempt is withdrawn, and the request is refused as not run if the target
// confirms that. An attempt under a claimed key is not cancelled then, so that a retry
// with the key can collect its response.
func (r *requestRun) abandon(ctx context.Context, a *attempt) attemptEnd {
	if !a.isOwn {
		return r.abandonHolder(ctx)
	}
	reason, ok := limitReason(ctx)
	if !ok {
		if a.stream != nil {
			_ = a.stream.Cancel()
		}
		return attemptEnd{kind: endCancelled, reason: reason, err: context.Cause(ctx)}
	}
	err := stepError("run", a.target, context.Cause(ctx))
	if a.canWithdraw() && a.stream != nil && r.confirmWithdrawal(a, reason) {
		return refusedEnd(reason, defaultRetryAfter, err)
	}
	if a.stream != nil && !r.needsClaim() {
		_ = a.stream.Cancel()
	}
	r.markRunning(a) // it may have started
	if r.req.Idempotent && reason == state.ReasonTimeout {
		return attemptEnd{kind: endTimedOut, reason: reason, err: err}
	}
	return unknownEnd(reason, err)
}

// confirmWithdrawal withdraws an attempt that has not started for reason and reports whether
// the side process confirmed within confirmTimeout that it was not run.
func (r *requestRun) confirmWithdrawal(a *attempt, reason state.Reason) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	r.withdraw(a, reason)
	for {
		event, err := a.stream.Next(ctx)
		if err != nil {
			return false
		}
		switch e := event.(type) {
		case *state.Refused:
			r.passFigures(a, &e.Figures)
			return e.Reason != state.ReasonDuplicate
		case *state.Queued, *state.Progress, *state.AttemptState:
		default:
			return false
		}
	}
}
