package side

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// dispatch decides about an arriving attempt. An attempt that is known already
// is never started again: the stream reports what became of it.
func (s *Service) dispatch(c *Session, d *state.Dispatch, stream *Attempt) {
	s.streams[stream] = struct{}{}
	if s.known(d.Attempt) {
		s.attachKnown(d.Attempt, 0, stream)
		return
	}
	if s.recovering && d.Incarnation != s.cfg.Incarnation {
		// The attempt may be among those that the target still runs.
		s.waiting = append(s.waiting, func() { s.dispatch(c, d, stream) })
		return
	}
	if reason, ok := s.acceptable(c, d); !ok {
		s.refuse(d, stream, reason)
		return
	}
	a := s.newAttempt(d)
	s.queue.add(a)
	before := s.queue.ahead(a)
	wait := s.wait(a, before)
	if a.late(time.Now().Add(wait)) {
		s.queue.remove(a)
		s.refuse(d, stream, state.ReasonDeadline)
		return
	}
	if !s.admit(a) {
		s.queue.remove(a)
		s.refuse(d, stream, state.ReasonQueueFull)
		return
	}
	s.attempts[a.id] = a
	stream.bind(a.record, 0, false)
	s.schedule()
	if a.phase == state.AttemptQueued {
		a.record.setStage(&state.Queued{Ahead: before.count, Wait: wait})
	}
}

// acceptable checks everything that does not depend on load.
func (s *Service) acceptable(c *Session, d *state.Dispatch) (state.Reason, bool) {
	_, voided := s.voided[d.Attempt]
	switch e := s.entries[c.key]; {
	case d.Incarnation != s.cfg.Incarnation:
		return state.ReasonWrongIncarnation, false
	case voided:
		return state.ReasonVoided, false
	case e == nil || e.current != c || keyOf(d.Attempt) != c.key || d.Attempt.Session != c.number:
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

// admit reports whether the newly queued a may stay, and makes room for it by
// displacing queued attempts of lower tiers. The queue may exceed its token
// bound by one prompt when it holds no lower tier: a strict bound would refuse a
// large request of a tier while small ones of a lower tier stay queued.
func (s *Service) admit(a *attempt) bool {
	if s.mayStart() && len(s.running) < s.window.limit(a.tier) && s.queue.next() == a {
		return true
	}
	limits := s.bundle.Queue
	for s.queue.count > limits.MaxCount || s.queue.prompts > limits.MaxTokens {
		if !s.queue.holdsLowerThan(a.tier) {
			break
		}
		s.displace()
	}
	return s.queue.count <= limits.MaxCount && s.queue.prompts-a.prompt < limits.MaxTokens
}

// mayStart reports whether attempts may be sent to the target at all.
func (s *Service) mayStart() bool {
	return !s.recovering && !s.leaving && !time.Now().Before(s.hold)
}

// displace refuses the last queued attempt of the lowest tier.
func (s *Service) displace() {
	s.refuseQueued(s.queue.last(s.queue.lowest()), state.ReasonDisplaced)
}

// checkTierOrder asserts P4(a) for a refusal that is about to be reported: no
// request is refused or displaced for load while one of a lower tier is queued.
func (s *Service) checkTierOrder(t state.Tier, reason state.Reason) {
	if reason.Shed() {
		state.Assert(!s.queue.holdsLowerThan(t), state.TierOrder,
			fmt.Sprintf("tier %d refused (%s) while tier %d is queued", t, reason, s.queue.lowest()))
	}
}

// refuse answers a dispatch that is not accepted.
func (s *Service) refuse(d *state.Dispatch, stream *Attempt, reason state.Reason) {
	s.checkTierOrder(d.Request.Tier, reason)
	phase := state.AttemptNotRun
	if reason == state.ReasonVoided {
		phase = state.AttemptVoided
	}
	// The refusal is final, so a copy that arrives on another session must not
	// run either.
	e := s.entries[keyOf(d.Attempt)]
	switch {
	case d.Incarnation != s.cfg.Incarnation:
	case e == nil || d.Attempt.Session > e.highest:
		s.voidUnseen(d.Attempt)
	default:
		s.remember(d.Attempt, phase)
	}
	s.logRefusal(d.Attempt, d.Request.ID, d.Request.Tier, reason)
	stream.bind(nil, 0, true, s.refused(reason))
}

func (s *Service) refused(reason state.Reason) *state.Refused {
	r := &state.Refused{Reason: reason, Figures: s.figures()}
	if reason.ForLoad() {
		r.RetryAfter = seconds(s.firstFree() + s.speed.seconds(s.queue.work()))
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
	s.logRefusal(a.id, a.request, a.tier, reason)
	a.record.setEnd(s.refused(reason))
}

// schedule starts queued attempts while the window allows. The reserve of a
// tier grows towards the lower tiers, so when the first attempt in order may
// not start, no other may.
func (s *Service) schedule() {
	if !s.mayStart() {
		return
	}
	for a := s.queue.next(); a != nil; a = s.queue.next() {
		if len(s.running) >= s.window.limit(a.tier) {
			s.window.full = true
			return
		}
		s.queue.remove(a)
		s.start(a)
	}
}

// start dispatches a to the target.
func (s *Service) start(a *attempt) {
	state.Assert(!a.mayHaveRun, state.DispatchOnce, fmt.Sprintf("attempt %s started twice", a.id))
	state.Assert(!s.leaving, state.LeavingIdle, fmt.Sprintf("attempt %s started while leaving", a.id))
	a.mayHaveRun = true
	a.prefillLoad = a.prompt
	for other := range s.running {
		if other.first.IsZero() {
			a.prefillLoad += other.prompt
		}
	}
	s.window.tokens = !a.plain()
	s.occupy(a)
	a.record.setStage(&state.Started{})
	s.cfg.Log.Debug("attempt started", zap.Stringer("attempt", a.id), zap.Int("running", len(s.running)))
	req := a.req
	s.work(a, func(ctx context.Context, emit func(state.AttemptEvent)) (state.Usage, error) {
		return s.runner.Run(ctx, a.id, req, emit)
	})
}

// occupy gives a a slot of the window.
func (s *Service) occupy(a *attempt) {
	a.phase = state.AttemptRunning
	a.started = time.Now()
	s.running[a] = struct{}{}
	s.queue.serve(a)
}

// outcome is how a run ended.
type outcome struct {
	usage     state.Usage
	err       error
	cancelled bool // the target confirmed the cancellation
}

// work calls run in a goroutine of its own and reports back.
func (s *Service) work(a *attempt, run func(context.Context, func(state.AttemptEvent)) (state.Usage, error)) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	a.cancel = cancel
	s.workers.Go(func() {
		defer cancel(nil)
		var o outcome
		o.usage, o.err = run(ctx, func(e state.AttemptEvent) { s.send(command{attempt: a, event: e}) })
		if o.err != nil && errors.Is(context.Cause(ctx), errCancelled) {
			o.cancelled = s.cancelAtTarget(a.id)
		}
		s.post(func() { s.finished(a, o) })
	})
}

// errCancelled is the cause of a run's context that ended for an attempt, not
// because the process stops.
var errCancelled = errors.New("attempt cancelled")

func (s *Service) cancelAtTarget(id state.AttemptID) bool {
	ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
	defer cancel()
	err := s.runner.Cancel(ctx, id)
	if err != nil {
		s.cfg.Log.Warn("cancellation not confirmed by the target", zap.Stringer("attempt", id), zap.Error(err))
	}
	return err == nil
}

// event records an event of a running attempt.
func (s *Service) event(a *attempt, e state.AttemptEvent) {
	switch e := e.(type) {
	case *state.Head:
		a.record.setHead(e)
	case *state.Chunk:
		s.chunk(a, e)
	}
}

func (s *Service) chunk(a *attempt, c *state.Chunk) {
	if !state.Assert(a.record.append(c), state.WholeAnswer, fmt.Sprintf("attempt %s: chunk %d out of order", a.id, c.Offset)) {
		s.stop(a, state.ReasonStreamBroken)
		return
	}
	if _, bytes := a.record.size(); bytes > MaxResponse {
		s.stop(a, state.ReasonResponseTooLarge)
		return
	}
	now := time.Now()
	if c.Offset >= a.chunksAtTarget && !a.plain() {
		s.speed.tokens++
		if !a.first.IsZero() {
			s.window.gap(now.Sub(a.latest))
		}
	}
	if a.first.IsZero() {
		a.first = now
	}
	a.latest = now
}

// stop ends a running attempt at the target. The slot is free once the target
// has answered.
func (s *Service) stop(a *attempt, reason state.Reason) {
	if a.phase != state.AttemptRunning || a.stopReason != "" {
		return
	}
	a.stopReason = reason
	a.cancel(errCancelled)
}

// finished takes the outcome of a run.
func (s *Service) finished(a *attempt, o outcome) {
	if _, ok := s.running[a]; ok {
		delete(s.running, a)
		s.queue.release(a)
	}
	a.cancel = nil
	defer s.schedule()
	if o.err == nil {
		s.done(a, o)
		return
	}
	var denied *NotAdmittedError
	var unknown *UnknownError
	switch {
	case a.adopted || errors.As(o.err, &unknown):
		s.failed(a, o)
	case errors.Is(o.err, ErrNotSent):
		a.mayHaveRun = false
		s.notRun(a, state.ReasonUnreachable)
	case errors.As(o.err, &denied):
		a.mayHaveRun = false
		s.notAdmitted(a, denied)
	default:
		s.failed(a, o)
	}
}

// notRun refuses an attempt whose request did not reach the target.
func (s *Service) notRun(a *attempt, reason state.Reason) {
	switch a.stopReason {
	case "":
	case state.ReasonTimeout:
		reason = state.ReasonDeadline
	default:
		reason = state.ReasonWithdrawn
	}
	s.refuseAttempt(a, reason)
}

// notAdmitted queues an attempt again that the target did not admit. After
// maxAdmissions the target counts as full, and what gives way is chosen as it
// is for a full queue.
func (s *Service) notAdmitted(a *attempt, denied *NotAdmittedError) {
	a.admissions++
	s.window.notAdmitted(len(s.running))
	s.hold = time.Now().Add(min(max(minAdmissionHold, denied.RetryAfter), maxAdmissionHold))
	switch {
	case a.stopReason != "":
		s.notRun(a, state.ReasonWithdrawn)
		return
	case s.leaving:
		s.notRun(a, state.ReasonLeaving)
		return
	case a.admissions < maxAdmissions:
	case s.queue.holdsLowerThan(a.tier):
		s.displace()
	default:
		s.notRun(a, state.ReasonNotAdmitted)
		return
	}
	a.phase = state.AttemptQueued
	s.queue.add(a)
	before := s.queue.ahead(a)
	a.record.setStage(&state.Queued{Ahead: before.count, Wait: s.wait(a, before)})
}

func (s *Service) done(a *attempt, o outcome) {
	a.phase = state.AttemptDone
	s.measureDone(a, o.usage, time.Now())
	chunks, _ := a.record.size()
	a.record.setEnd(&state.Done{Chunks: chunks, Usage: o.usage, Figures: s.figures()})
	s.retain(a)
}

// measureDone updates the averages that need a whole response.
func (s *Service) measureDone(a *attempt, u state.Usage, now time.Time) {
	if a.adopted {
		return
	}
	if a.plain() {
		s.speed.finishedPlain(now.Sub(a.started))
		return
	}
	s.speed.finishedOutput(u.GeneratedTokens, a.limit)
	if !a.first.IsZero() {
		computed := a.prefillLoad - a.prompt + u.PromptTokens - u.CachedTokens
		s.speed.firstToken(computed, a.first.Sub(a.started))
	}
}

// failed ends an attempt that was dispatched and did not finish.
func (s *Service) failed(a *attempt, o outcome) {
	f := &state.Failed{Reason: state.ReasonStreamBroken, Unknown: true, Detail: o.err.Error(), Usage: o.usage}
	var reported *TargetError
	var unknown *UnknownError
	switch {
	case a.stopReason != "":
		f.Reason, f.Unknown = a.stopReason, !o.cancelled
	case errors.As(o.err, &reported):
		f.Reason, f.Unknown, f.Detail, f.Status = state.ReasonTargetError, false, reported.Detail, reported.Status
	case errors.As(o.err, &unknown):
		f.Reason = unknown.Reason
	}
	if f.Usage == (state.Usage{}) {
		f.Usage = a.spent()
	}
	s.cfg.Log.Info("attempt failed", zap.Stringer("attempt", a.id), zap.String("reason", string(f.Reason)),
		zap.Bool("unknown", f.Unknown), zap.Error(o.err))
	a.phase = state.AttemptFailed
	a.record.setEnd(f)
	s.retain(a)
}

// spent estimates the tokens that the target computed for an attempt without a
// usage report.
func (a *attempt) spent() state.Usage {
	if a.first.IsZero() || a.plain() {
		return state.Usage{}
	}
	chunks, _ := a.record.size()
	return state.Usage{PromptTokens: a.prompt, GeneratedTokens: int(chunks)}
}

// withdraw takes back a queued attempt on behalf of the entry that sent it.
func (s *Service) withdraw(stream *Attempt) {
	if a := s.attempts[stream.id]; a != nil && stream.owner && a.phase == state.AttemptQueued {
		s.refuseQueued(a, state.ReasonWithdrawn)
		s.schedule()
	}
}

// cancel ends an attempt on behalf of the entry that sent it.
func (s *Service) cancel(stream *Attempt) {
	a := s.attempts[stream.id]
	if a == nil || !stream.owner {
		return
	}
	s.withdraw(stream)
	s.stop(a, state.ReasonCancelled)
}
