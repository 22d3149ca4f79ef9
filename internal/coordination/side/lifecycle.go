package side

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// dispatch handles an arriving attempt: it is started, queued or refused. An
// attempt that is known already is not started again; its stream reports its
// state and events.
func (s *Service) dispatch(sess *Session, d *state.Dispatch, stream *AttemptStream) {
	s.streams[stream] = struct{}{}
	if s.isKnown(d.Attempt) {
		s.bindKnown(d.Attempt, 0, stream)
		return
	}
	if s.recovering && d.Incarnation != s.cfg.Incarnation {
		// The attempt may be among those that the target still runs.
		s.afterRecovery = append(s.afterRecovery, func() { s.dispatch(sess, d, stream) })
		return
	}
	if reason, ok := s.checkDispatch(sess, d); !ok {
		s.refuseDispatch(d, stream, reason)
		return
	}
	a := s.newAttempt(d)
	s.queue.add(a)
	before := s.queue.workAhead(a)
	wait := s.predictWait(a, before)
	if a.pastDeadline(time.Now().Add(wait)) {
		s.queue.remove(a)
		s.refuseDispatch(d, stream, state.ReasonDeadline)
		return
	}
	if !s.admit(a) {
		s.queue.remove(a)
		s.refuseDispatch(d, stream, state.ReasonQueueFull)
		return
	}
	s.attempts[a.id] = a
	stream.bind(a.events, 0, false)
	s.schedule()
	if a.phase == state.AttemptQueued {
		a.events.setStage(&state.Queued{Ahead: before.count, Wait: wait})
	}
}

// checkDispatch checks the conditions that do not depend on load. When one
// fails, it returns the reason for the refusal and false.
func (s *Service) checkDispatch(sess *Session, d *state.Dispatch) (state.Reason, bool) {
	_, voided := s.voided[d.Attempt]
	switch e := s.entries[sess.key]; {
	case d.Incarnation != s.cfg.Incarnation:
		return state.ReasonWrongIncarnation, false
	case voided:
		return state.ReasonVoided, false
	case e == nil || e.currentSession != sess || entryKeyOf(d.Attempt) != sess.key || d.Attempt.Session != sess.number:
		return state.ReasonFenced, false
	case s.leaving:
		return state.ReasonLeaving, false
	case s.bundle == nil:
		return state.ReasonNoBundle, false
	case d.Request.PromptTokens > s.bundle.Queue.MaxTokens:
		return state.ReasonTooLarge, false
	case d.Request.Kind != state.PlainCall && len(s.models) > 0 && !s.models[d.Request.Model]:
		return state.ReasonNotLoaded, false
	}
	return "", true
}

// admit reports whether the newly queued a may stay. To make room for it, it
// displaces queued attempts of lower tiers. The queue may exceed its token
// bound by one prompt when it holds no lower tier: a strict bound would refuse
// a large request of a tier while small ones of a lower tier stay queued.
func (s *Service) admit(a *attempt) bool {
	if s.mayStart() && len(s.running) < s.window.limitFor(a.tier) && s.queue.next() == a {
		return true
	}
	limits := s.bundle.Queue
	for s.queue.count > limits.MaxCount || s.queue.totalPromptTokens > limits.MaxTokens {
		if !s.queue.holdsLowerThan(a.tier) {
			break
		}
		s.displaceLast()
	}
	return s.queue.count <= limits.MaxCount && s.queue.totalPromptTokens-a.promptTokens < limits.MaxTokens
}

// mayStart reports whether attempts may be sent to the target at all, apart
// from the window.
func (s *Service) mayStart() bool {
	return !s.recovering && !s.leaving && !time.Now().Before(s.startsPausedUntil)
}

// displaceLast refuses the attempt of the lowest queued tier that would start
// last.
func (s *Service) displaceLast() {
	s.refuseQueued(s.queue.lastOfTier(s.queue.lowestTier()), state.ReasonDisplaced)
}

// checkTierOrder asserts state.TierOrder for a refusal that is about to be
// reported: no request is refused or displaced because of load while one of a
// lower tier is queued.
func (s *Service) checkTierOrder(t state.Tier, reason state.Reason) {
	if reason.IsShed() {
		state.Assert(!s.queue.holdsLowerThan(t), state.TierOrder,
			fmt.Sprintf("tier %d refused (%s) while tier %d is queued", t, reason, s.queue.lowestTier()))
	}
}

// refuseDispatch answers a dispatch that is not accepted.
func (s *Service) refuseDispatch(d *state.Dispatch, stream *AttemptStream, reason state.Reason) {
	s.checkTierOrder(d.Request.Tier, reason)
	phase := state.AttemptNotRun
	if reason == state.ReasonVoided {
		phase = state.AttemptVoided
	}
	// The refusal is final, so a copy that arrives on another session must not
	// run either.
	e := s.entries[entryKeyOf(d.Attempt)]
	switch {
	case d.Incarnation != s.cfg.Incarnation:
	case e == nil || d.Attempt.Session > e.highestSession:
		s.voidUnseen(d.Attempt)
	default:
		s.remember(d.Attempt, phase)
	}
	s.logRefusal(d.Attempt, d.Request.ID, d.Request.Tier, reason)
	stream.bind(nil, 0, true, s.newRefusal(reason))
}

// newRefusal returns a refusal with the current figures. One because of load
// also has the predicted time until the queue has been served.
func (s *Service) newRefusal(reason state.Reason) *state.Refused {
	r := &state.Refused{Reason: reason, Figures: s.figures()}
	if reason.IsOverload() {
		r.RetryAfter = secondsToDuration(s.secondsUntilFreeSlot() + s.rates.predictSeconds(s.queue.workload()))
	}
	return r
}

func (s *Service) logRefusal(id state.AttemptID, request state.RequestID, tier state.Tier, reason state.Reason) {
	s.cfg.Log.Info("attempt refused", zap.Stringer("attempt", id), zap.String("reason", string(reason)),
		zap.String("request", string(request)), zap.Uint8("tier", uint8(tier)),
		zap.Int("queued", s.queue.count), zap.Int("running", len(s.running)), zap.Int("window", s.window.size))
}

// refuseQueued takes a out of the queue and reports it as not run.
func (s *Service) refuseQueued(a *attempt, reason state.Reason) {
	s.queue.remove(a)
	s.refuseAttempt(a, reason)
}

// refuseAttempt reports an attempt that is neither queued nor running as not run.
func (s *Service) refuseAttempt(a *attempt, reason state.Reason) {
	s.checkTierOrder(a.tier, reason)
	state.Assert(!a.mayHaveRun, state.NotRunIsTrue, fmt.Sprintf("attempt %s reported as not run", a.id))
	a.phase = state.AttemptNotRun
	if reason == state.ReasonVoided {
		a.phase = state.AttemptVoided
	}
	delete(s.attempts, a.id)
	s.remember(a.id, a.phase)
	s.logRefusal(a.id, a.requestID, a.tier, reason)
	a.events.setEnd(s.newRefusal(reason))
}

// schedule starts queued attempts while the window allows. The number of
// reserved slots grows towards the lower tiers, so when the first attempt in
// order may not start, no other may either.
func (s *Service) schedule() {
	if !s.mayStart() {
		return
	}
	for a := s.queue.next(); a != nil; a = s.queue.next() {
		if len(s.running) >= s.window.limitFor(a.tier) {
			s.window.wasFull = true
			return
		}
		s.queue.remove(a)
		s.start(a)
	}
}

// start sends a to the target.
func (s *Service) start(a *attempt) {
	state.Assert(!a.mayHaveRun, state.DispatchOnce, fmt.Sprintf("attempt %s started twice", a.id))
	state.Assert(!s.leaving, state.LeavingIdle, fmt.Sprintf("attempt %s started while leaving", a.id))
	a.mayHaveRun = true
	a.prefillTokens = a.promptTokens
	for other := range s.running {
		if other.firstChunk.IsZero() {
			a.prefillTokens += other.promptTokens
		}
	}
	s.window.producesTokens = !a.isPlainCall()
	s.occupySlot(a)
	a.events.setStage(&state.Started{})
	s.cfg.Log.Debug("attempt started", zap.Stringer("attempt", a.id), zap.Int("running", len(s.running)))
	req := a.req
	s.runOnTarget(a, func(ctx context.Context, emit func(state.AttemptEvent)) (state.Usage, error) {
		return s.runner.Run(ctx, a.id, req, emit)
	})
}

// occupySlot counts a as running, in one slot of the window.
func (s *Service) occupySlot(a *attempt) {
	a.phase = state.AttemptRunning
	a.started = time.Now()
	s.running[a] = struct{}{}
	s.queue.addInService(a)
}

// runResult is the result of reading a response from the target.
type runResult struct {
	usage     state.Usage
	err       error
	cancelled bool // the target confirmed the cancellation
}

// runOnTarget calls run in a goroutine of its own, which sends the events and
// the result to the control goroutine. When the attempt has been cancelled, it
// also cancels it at the target.
func (s *Service) runOnTarget(a *attempt, run func(context.Context, func(state.AttemptEvent)) (state.Usage, error)) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	a.cancel = cancel
	s.workers.Go(func() {
		defer cancel(nil)
		var result runResult
		result.usage, result.err = run(ctx, func(e state.AttemptEvent) { s.send(command{attempt: a, event: e}) })
		if result.err != nil && errors.Is(context.Cause(ctx), errCancelled) {
			result.cancelled = s.cancelAtTarget(a.id)
		}
		s.post(func() { s.endRun(a, result) })
	})
}

// errCancelled is the cause with which the context of a run ends when the
// attempt is cancelled. When the process stops, the context ends with another
// cause.
var errCancelled = errors.New("attempt cancelled")

// cancelAtTarget reports whether the target confirmed the cancellation.
func (s *Service) cancelAtTarget(id state.AttemptID) bool {
	ctx, cancel := context.WithTimeout(s.ctx, targetCallTimeout)
	defer cancel()
	err := s.runner.Cancel(ctx, id)
	if err != nil {
		s.cfg.Log.Warn("cancellation not confirmed by the target", zap.Stringer("attempt", id), zap.Error(err))
	}
	return err == nil
}

// handleEvent records an event of a running attempt.
func (s *Service) handleEvent(a *attempt, e state.AttemptEvent) {
	switch e := e.(type) {
	case *state.Head:
		a.events.setHead(e)
	case *state.Chunk:
		s.handleChunk(a, e)
	}
}

// handleChunk records a chunk and the rates that follow from it. A chunk out of
// order or a response that is too large cancels the attempt.
func (s *Service) handleChunk(a *attempt, c *state.Chunk) {
	if !state.Assert(a.events.append(c), state.WholeAnswer, fmt.Sprintf("attempt %s: chunk %d out of order", a.id, c.Offset)) {
		s.cancelRunning(a, state.ReasonStreamBroken)
		return
	}
	if _, bytes := a.events.size(); bytes > MaxResponseBytes {
		s.cancelRunning(a, state.ReasonResponseTooLarge)
		return
	}
	now := time.Now()
	if c.Offset >= a.chunksAtAdoption && !a.isPlainCall() {
		s.rates.newTokens++
		if !a.firstChunk.IsZero() {
			s.window.recordGap(now.Sub(a.latestChunk))
		}
	}
	if a.firstChunk.IsZero() {
		a.firstChunk = now
	}
	a.latestChunk = now
}

// cancelRunning cancels a running attempt at the target. The slot becomes free
// once the target has answered or targetCallTimeout has passed.
func (s *Service) cancelRunning(a *attempt, reason state.Reason) {
	if a.phase != state.AttemptRunning || a.stopReason != "" {
		return
	}
	a.stopReason = reason
	a.cancel(errCancelled)
}

// endRun frees the slot of a run that has ended and completes, fails, refuses
// or requeues the attempt according to the result.
func (s *Service) endRun(a *attempt, result runResult) {
	if _, ok := s.running[a]; ok {
		delete(s.running, a)
		s.queue.removeInService(a)
	}
	a.cancel = nil
	defer s.schedule()
	if result.err == nil {
		s.completeAttempt(a, result)
		return
	}
	var notAdmitted *NotAdmittedError
	var unknown *UnknownOutcomeError
	switch {
	case a.adopted || errors.As(result.err, &unknown):
		s.failAttempt(a, result)
	case errors.Is(result.err, ErrNotSent):
		a.mayHaveRun = false
		s.refuseNotRun(a, state.ReasonUnreachable)
	case errors.As(result.err, &notAdmitted):
		a.mayHaveRun = false
		s.requeueNotAdmitted(a, notAdmitted)
	default:
		s.failAttempt(a, result)
	}
}

// refuseNotRun refuses an attempt that the target did not receive or did not
// admit. If the attempt has been cancelled in the meantime, the reason of the
// refusal follows from that.
func (s *Service) refuseNotRun(a *attempt, reason state.Reason) {
	switch a.stopReason {
	case "":
	case state.ReasonTimeout:
		reason = state.ReasonDeadline
	default:
		reason = state.ReasonWithdrawn
	}
	s.refuseAttempt(a, reason)
}

// requeueNotAdmitted queues an attempt again that the target did not admit, and
// pauses starts. From maxTargetRejections on the target counts as full: as with
// a full queue, a queued attempt of a lower tier is displaced, or else this one
// is refused.
func (s *Service) requeueNotAdmitted(a *attempt, notAdmitted *NotAdmittedError) {
	a.targetRejections++
	s.window.shrinkTo(len(s.running))
	s.startsPausedUntil = time.Now().Add(min(max(minRejectionPause, notAdmitted.RetryAfter), maxRejectionPause))
	switch {
	case a.stopReason != "":
		s.refuseNotRun(a, state.ReasonWithdrawn)
		return
	case s.leaving:
		s.refuseNotRun(a, state.ReasonLeaving)
		return
	case a.targetRejections < maxTargetRejections:
	case s.queue.holdsLowerThan(a.tier):
		s.displaceLast()
	default:
		s.refuseNotRun(a, state.ReasonNotAdmitted)
		return
	}
	a.phase = state.AttemptQueued
	s.queue.add(a)
	before := s.queue.workAhead(a)
	a.events.setStage(&state.Queued{Ahead: before.count, Wait: s.predictWait(a, before)})
}

// completeAttempt ends an attempt whose response is complete.
func (s *Service) completeAttempt(a *attempt, result runResult) {
	a.phase = state.AttemptDone
	s.recordMeasurements(a, result.usage, time.Now())
	chunks, _ := a.events.size()
	a.events.setEnd(&state.Done{Chunks: chunks, Usage: result.usage, Figures: s.figures()})
	s.retain(a)
}

// recordMeasurements updates the averages that need a complete response.
func (s *Service) recordMeasurements(a *attempt, u state.Usage, now time.Time) {
	if a.adopted {
		return
	}
	if a.isPlainCall() {
		s.rates.recordPlainCall(now.Sub(a.started))
		return
	}
	s.rates.recordOutputLength(u.GeneratedTokens, a.maxOutput)
	if !a.firstChunk.IsZero() {
		computed := a.prefillTokens - a.promptTokens + u.PromptTokens - u.CachedTokens
		s.rates.recordFirstToken(computed, a.firstChunk.Sub(a.started))
	}
}

// failAttempt ends an attempt that was sent to the target and did not finish.
func (s *Service) failAttempt(a *attempt, result runResult) {
	f := &state.Failed{Reason: state.ReasonStreamBroken, OutcomeUnknown: true, Detail: result.err.Error(), Usage: result.usage}
	var reported *TargetError
	var unknown *UnknownOutcomeError
	switch {
	case a.stopReason != "":
		f.Reason, f.OutcomeUnknown = a.stopReason, !result.cancelled
	case errors.As(result.err, &reported):
		f.Reason, f.OutcomeUnknown, f.Detail, f.Status = state.ReasonTargetError, false, reported.Detail, reported.Status
	case errors.As(result.err, &unknown):
		f.Reason = unknown.Reason
	}
	if f.Usage == (state.Usage{}) {
		f.Usage = a.estimatedUsage()
	}
	s.cfg.Log.Info("attempt failed", zap.Stringer("attempt", a.id), zap.String("reason", string(f.Reason)),
		zap.Bool("unknown", f.OutcomeUnknown), zap.Error(result.err))
	a.phase = state.AttemptFailed
	a.events.setEnd(f)
	s.retain(a)
}

// estimatedUsage estimates the tokens that the target computed for an attempt
// without a usage report. Each chunk counts as one generated token.
func (a *attempt) estimatedUsage() state.Usage {
	if a.firstChunk.IsZero() || a.isPlainCall() {
		return state.Usage{}
	}
	chunks, _ := a.events.size()
	return state.Usage{PromptTokens: a.promptTokens, GeneratedTokens: int(chunks)}
}

// withdraw refuses a queued attempt at the request of the entry that sent it.
func (s *Service) withdraw(stream *AttemptStream) {
	if a := s.attempts[stream.id]; a != nil && stream.owner && a.phase == state.AttemptQueued {
		s.refuseQueued(a, state.ReasonWithdrawn)
		s.schedule()
	}
}

// cancel ends a queued or running attempt at the request of the entry that sent
// it.
func (s *Service) cancel(stream *AttemptStream) {
	a := s.attempts[stream.id]
	if a == nil || !stream.owner {
		return
	}
	s.withdraw(stream)
	s.cancelRunning(a, state.ReasonCancelled)
}
