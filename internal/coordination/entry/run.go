package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/admission"
	"github.com/cassiaramp/cassiaramp/internal/coordination/retry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// errDeadlinePassed is the cause of a context that ended at the request's
// deadline.
var errDeadlinePassed = errors.New("request deadline passed")

// errStopLimit is the cause of a context that Service.EndRequests ended.
var errStopLimit = errors.New("time limit of the planned stop reached")

// errTargetLeaving is the error of an attempt that was not dispatched because its
// target had begun to leave.
var errTargetLeaving = errors.New("target is leaving")

// errBudgetExhausted is the error of a retry that the retry budget does not allow.
var errBudgetExhausted = errors.New("retry budget exhausted")

// requestRun runs one request from admission to its result. It is used by one
// goroutine.
type requestRun struct {
	service  *Service
	req      *state.Request
	blocks   []uint64
	bundle   *state.Bundle
	ticket   *admission.Ticket
	log      *zap.Logger
	delivery delivery

	tried            map[state.TargetID]state.Reason
	placements       int // attempts made, including those that did not reach their target
	transientRetries int // times that targets with transient refusals were made eligible again
	retries          int // retries of work that may have run
	reportedRefusal  attemptEnd
	// requiredTargetsAsked says that requiredTarget found no further target to
	// ask, so that the request may be refused for load. Each placement clears it.
	requiredTargetsAsked bool
	mayHaveRun           bool // an attempt had an unknown outcome, so the request must not be reported as not run

	callerCtx        context.Context // ends when the caller is gone
	claimedPlacement uint32          // placement number in the key's last claim that this entry won or saw fail
	receipt          state.Phase     // receipt that claimedPlacement was not run, for the next claim
}

// needsClaim reports whether the request's key must be claimed in the log before an
// attempt is dispatched.
func (r *requestRun) needsClaim() bool { return r.req.ClaimKey != "" && !r.req.Idempotent }

// execute places an admitted request and retries it until it ends. caller ends
// when the caller is gone; a request that needs a claim then goes on until its
// deadline.
func (r *requestRun) execute(caller context.Context) attemptEnd {
	r.callerCtx = caller
	ctx := caller
	if r.needsClaim() {
		ctx = context.WithoutCancel(caller)
	}
	ctx, cancel := r.limit(ctx)
	defer cancel()
	if r.needsClaim() {
		if end, over := r.joinExistingClaim(); over {
			return end
		}
	}
	for {
		d, end, ok := r.chooseTarget(ctx)
		if !ok {
			return end
		}
		end = r.place(ctx, d)
		switch end.kind {
		case endPlaceAgain:
			r.recordRefusal(end)
		case endUnknown:
			if err := r.prepareRetry(ctx, end); err != nil {
				return end
			}
		default:
			return end
		}
	}
}

// limit returns a context that also ends at the request's deadline, with cause
// errDeadlinePassed, and with EndRequests, with cause errStopLimit.
func (r *requestRun) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancelAtDeadline := context.WithDeadlineCause(ctx, r.req.Deadline, errDeadlinePassed)
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(r.service.untilEnd, func() { cancel(errStopLimit) })
	return ctx, func() {
		unregister()
		cancel(nil)
		cancelAtDeadline()
	}
}

// limitReason returns the reason that is reported for a context of limit that has
// ended. It returns false when the caller is gone.
func limitReason(ctx context.Context) (state.Reason, bool) {
	switch context.Cause(ctx) {
	case errDeadlinePassed:
		return state.ReasonTimeout, true
	case errStopLimit:
		return ReasonStopping, true
	}
	return ReasonCallerGone, false
}

// place makes one attempt at d.Target: it reserves an attempt identifier, claims
// the key if there is one, dispatches the attempt and follows it to its end.
func (r *requestRun) place(ctx context.Context, d Decision) attemptEnd {
	r.placements++
	r.requiredTargetsAsked = false
	s := r.service
	reservation, err := s.cfg.Peers.Reserve(ctx, d.Target)
	if err != nil {
		if ctx.Err() != nil {
			return r.contextEnd(ctx, stepError("reserve", d.Target, err))
		}
		return r.notSentEnd(ctx, &attempt{target: d.Target}, ReasonTargetUnreachable, stepError("reserve", d.Target, err))
	}
	a := &attempt{target: d.Target, id: reservation.Attempt, incarnation: reservation.Incarnation, isOwn: true}
	if r.needsClaim() {
		if end, won := r.claimKey(ctx, a); !won {
			return end
		}
	}
	if r.retries == 0 && r.placements == 1 {
		s.budget.Earn(r.bundle.Retry.BudgetRatio, r.bundle.Retry.BudgetMax)
	}
	if s.cfg.Placer.IsLeaving(d.Target) {
		// It began to leave while the session was opened or the key was claimed.
		return r.notSentEnd(ctx, a, state.ReasonLeaving, stepError("dispatch", d.Target, errTargetLeaving))
	}
	a.computedBlocks = countComputedPrefix(&s.computedBlocks, r.blocks)
	stream, err := s.cfg.Peers.Dispatch(ctx, reservation, r.req)
	if errors.Is(err, ErrNotSent) {
		if ctx.Err() != nil {
			return r.contextEnd(ctx, stepError("dispatch", d.Target, err))
		}
		return r.notSentEnd(ctx, a, ReasonTargetUnreachable, stepError("dispatch", d.Target, err))
	}
	s.cfg.Placer.AttemptSent(d.Target, a.id, r.req, r.blocks)
	if err == nil {
		a.stream = stream
	}
	// After any other error the request may have been sent, so follow asks the
	// side process, as after a lost session.
	end := r.follow(ctx, a, err)
	r.tried[d.Target] = end.reason
	r.recordAttemptEnd(a, end)
	if end.kind == endPlaceAgain {
		return r.obtainReceipt(ctx, a, end)
	}
	return end
}

// notSentEnd ends an attempt that was not sent, so that the request can be placed
// again.
func (r *requestRun) notSentEnd(ctx context.Context, a *attempt, reason state.Reason, err error) attemptEnd {
	end := placeAgainEnd(reason, err)
	r.tried[a.target] = end.reason
	if a.isOwn {
		return r.obtainReceipt(ctx, a, end)
	}
	return end
}

// recordAttemptEnd reports the end of an attempt that was sent to the placer and
// counts its prompt tokens.
func (r *requestRun) recordAttemptEnd(a *attempt, end attemptEnd) {
	o := Outcome{Reason: end.reason, Usage: end.usage}
	switch end.kind {
	case endComplete:
		o.Complete = true
	case endPlaceAgain, endRefused:
		o.NotRun = true
	case endUnknown:
		o.Unknown = true
	}
	r.service.cfg.Placer.AttemptEnded(a.target, a.id, o)
	if a.mayHaveRun() && !o.NotRun {
		countPromptTokens(r.counterKey(), r.req, end.usage, a.computedBlocks, o.Complete)
		for _, b := range r.blocks {
			r.service.computedBlocks.Set(b, struct{}{})
		}
	}
}

// prepareRetry decides whether a request that may have run can be retried, and
// waits for the backoff delay. Its error says why there is no retry.
func (r *requestRun) prepareRetry(ctx context.Context, end attemptEnd) error {
	r.mayHaveRun = true
	if !r.req.Idempotent {
		return errors.New("request is not idempotent")
	}
	if r.placements >= r.bundle.Retry.Placements {
		return errors.New("too many placements")
	}
	if !r.delivery.restart() {
		return errors.New("part of the response was sent")
	}
	if !r.service.budget.Take() {
		r.log.Info("request is not retried", zap.String("reason", errBudgetExhausted.Error()), zap.String("cause", string(end.reason)))
		return errBudgetExhausted
	}
	delay := r.backoff().Delay(r.retries, r.service.cfg.Random())
	r.retries++
	return sleep(ctx, delay)
}

// backoff returns the delays between retries from the bundle.
func (r *requestRun) backoff() retry.Backoff {
	return retry.Backoff{Base: r.bundle.Retry.BackoffBase.Std(), Max: r.bundle.Retry.BackoffMax.Std()}
}

// recordRefusal keeps what the caller is told if no target takes the request: the
// latest refusal, with refusals for load taking precedence, and the shortest
// retry-after time.
func (r *requestRun) recordRefusal(end attemptEnd) {
	if r.reportedRefusal.reason == "" || end.reason.IsOverload() || !r.reportedRefusal.reason.IsOverload() {
		r.reportedRefusal.reason, r.reportedRefusal.err = end.reason, end.err
	}
	if end.retryAfter > 0 && (r.reportedRefusal.retryAfter == 0 || end.retryAfter < r.reportedRefusal.retryAfter) {
		r.reportedRefusal.retryAfter = end.retryAfter
	}
}

// contextEnd returns the end of a request without an open attempt after ctx ended:
// a refusal at the deadline or the limit of a planned stop, otherwise a cancellation by
// the caller.
func (r *requestRun) contextEnd(ctx context.Context, err error) attemptEnd {
	reason, ok := limitReason(ctx)
	if ok {
		return refusedEnd(reason, defaultRetryAfter, err)
	}
	return attemptEnd{kind: endCancelled, reason: reason, err: err}
}

// displaced reports whether admission gave this request's slot to a request of a
// higher tier.
func (r *requestRun) displaced() bool {
	select {
	case <-r.ticket.Displaced():
		return true
	default:
		return false
	}
}

// fingerprint returns a hash of method, path and body. It detects a key that is
// reused for another request.
func (r *requestRun) fingerprint() uint64 {
	d := xxhash.New()
	d.WriteString(r.req.Method)
	d.Write([]byte{0})
	d.WriteString(r.req.Path)
	d.Write([]byte{0})
	d.Write(r.req.Body)
	return d.Sum64()
}

// result converts the end of the last attempt into the result of the request.
func (r *requestRun) result(end attemptEnd) Result {
	res := Result{Reason: end.reason, Err: end.err}
	switch end.kind {
	case endComplete:
		return Result{Kind: Complete, Usage: end.usage}
	case endRefused, endPlaceAgain:
		// An earlier attempt with an unknown outcome may have run, even though the
		// last one did not.
		if r.mayHaveRun {
			res.Kind = Unknown
			break
		}
		res.Kind = Refused
		res.RetryAfter = end.retryAfter
	case endUnknown:
		res.Kind = Unknown
	case endTimedOut:
		res.Kind = TimedOut
	case endFailed:
		res.Kind, res.Status, res.Body = Failed, end.status, end.body
	case endExpired:
		res.Kind = Expired
	case endCancelled:
		res.Kind = Cancelled
	}
	if res.Err == nil {
		res.Err = errRequest.New("%s", string(end.reason))
	}
	return res
}

// reportResult logs the end of the request and counts it.
func (r *requestRun) reportResult(res Result) {
	fields := []zap.Field{
		zap.String("tier", r.tierName()), zap.String("policy", r.policyName()),
		zap.String("reason", string(res.Reason)), zap.Int("placements", r.placements), zap.Error(res.Err),
	}
	switch res.Kind {
	case Refused:
		r.log.Info("request refused", append(fields, zap.Bool("not_run", true), zap.Duration("retry_after", res.RetryAfter))...)
	case Unknown:
		r.log.Warn("outcome unknown", fields...)
	case TimedOut, Failed, Expired:
		r.log.Info("request failed", fields...)
	}
	inTime := r.delivery.sinkErr == nil && !time.Now().After(r.req.Deadline)
	traffic.CountRequest(r.counterKey(), trafficOutcome(res, inTime))
}

// policyName returns the name of the policy that placed the request, or
// traffic.NoPolicy.
func (r *requestRun) policyName() string {
	if r.req.Policy == "" {
		return traffic.NoPolicy
	}
	return r.req.Policy
}

// tierName returns the name of the request's tier, or "none" when the bundle has no
// such tier.
func (r *requestRun) tierName() string {
	if r.bundle == nil || int(r.req.Tier) >= len(r.bundle.Tiers) {
		return "none"
	}
	return r.bundle.Tiers[r.req.Tier].Name
}

// counterKey returns the key of the request's traffic counters.
func (r *requestRun) counterKey() string { return traffic.CounterKey(r.policyName(), r.tierName()) }

// sleep waits for d. If ctx ends first, it returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
