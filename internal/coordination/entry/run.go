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

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("request deadline passed")

// errLeaving tells why an attempt was not dispatched.
var errLeaving = errors.New("target is leaving")

// errBudget tells why a retry was not made.
var errBudget = errors.New("retry budget exhausted")

// run is the life of one request. It is used by one goroutine.
type run struct {
	service *Service
	req     *state.Request
	blocks  []uint64
	bundle  *state.Bundle
	ticket  *admission.Ticket
	log     *zap.Logger
	out     delivery

	tried      map[state.TargetID]state.Reason
	placements int // attempts made, whether or not the target was reached
	reopened   int // times that targets in tried were asked again
	retries    int // retries of work that may have run
	refusal    ending
	allAsked   bool // P4(b) requires no further target to be asked; false after a placement
	mayHaveRun bool // an attempt ended unknown, so the request is no longer "not run"

	caller  context.Context // ends when the caller is gone
	claimed uint32          // placement number of the key that the last claim seen has
	receipt state.Phase     // for placement claimed
}

// keyed reports whether the request must be claimed.
func (r *run) keyed() bool { return r.req.Key != "" && !r.req.Idempotent }

// do runs the request from placement to its end.
func (r *run) do(caller context.Context) ending {
	r.caller = caller
	ctx := caller
	if r.keyed() {
		ctx = context.WithoutCancel(caller)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.req.Deadline, errDeadline)
	defer cancel()
	if r.keyed() {
		if end, over := r.joinEarlier(); over {
			return end
		}
	}
	for {
		d, end, ok := r.choose(ctx)
		if !ok {
			return end
		}
		end = r.place(ctx, d)
		switch end.verdict {
		case verdictElsewhere:
			r.noteRefusal(end)
		case verdictUnknown:
			if err := r.prepareRetry(ctx, end); err != nil {
				return end
			}
		default:
			return end
		}
	}
}

// place makes one attempt at the target of d.
func (r *run) place(ctx context.Context, d Decision) ending {
	r.placements++
	r.allAsked = false
	s := r.service
	reservation, err := s.cfg.Peers.Reserve(ctx, d.Target)
	if err != nil {
		if ctx.Err() != nil {
			return r.stopped(ctx, stepError("reserve", d.Target, err))
		}
		return r.notSent(ctx, &attempt{target: d.Target}, ReasonTargetUnreachable, stepError("reserve", d.Target, err))
	}
	a := &attempt{target: d.Target, id: reservation.Attempt, incarnation: reservation.Incarnation, own: true}
	if r.keyed() {
		if end, won := r.claim(ctx, a); !won {
			return end
		}
	}
	if r.retries == 0 && r.placements == 1 {
		s.budget.Earn(r.bundle.Retry.BudgetRatio, r.bundle.Retry.BudgetMax)
	}
	if s.cfg.Placer.IsLeaving(d.Target) {
		// It began to leave while the session was opened or the key was claimed.
		return r.notSent(ctx, a, state.ReasonLeaving, stepError("dispatch", d.Target, errLeaving))
	}
	a.known = leading(&s.computed, r.blocks)
	stream, err := s.cfg.Peers.Dispatch(ctx, reservation, r.req)
	if errors.Is(err, ErrNotSent) {
		if ctx.Err() != nil {
			return r.stopped(ctx, stepError("dispatch", d.Target, err))
		}
		return r.notSent(ctx, a, ReasonTargetUnreachable, stepError("dispatch", d.Target, err))
	}
	s.cfg.Placer.Sent(d.Target, a.id, r.req, r.blocks)
	if err == nil {
		a.stream = stream
	}
	// After any other error the fate is open, as after a lost session.
	end := r.follow(ctx, a, err)
	r.tried[d.Target] = end.reason
	r.ended(a, end)
	if end.verdict == verdictElsewhere {
		return r.withReceipt(ctx, a, end)
	}
	return end
}

// notSent ends an attempt of which nothing was sent.
func (r *run) notSent(ctx context.Context, a *attempt, reason state.Reason, err error) ending {
	end := elsewhere(reason, err)
	r.tried[a.target] = end.reason
	if a.own {
		return r.withReceipt(ctx, a, end)
	}
	return end
}

// ended tells the placer and the counters about an attempt that was sent.
func (r *run) ended(a *attempt, end ending) {
	o := Outcome{Reason: end.reason, Usage: end.usage}
	switch end.verdict {
	case verdictComplete:
		o.Complete = true
	case verdictElsewhere, verdictRefused:
		o.NotRun = true
	case verdictUnknown:
		o.Unknown = true
	}
	r.service.cfg.Placer.Ended(a.target, a.id, o)
	if a.ran() && !o.NotRun {
		countAttempt(r.key(), r.req, end.usage, a.known, o.Complete)
		for _, b := range r.blocks {
			r.service.computed.Set(b, struct{}{})
		}
	}
}

// prepareRetry waits before a retry of work that may have run. Its error tells
// why there is none.
func (r *run) prepareRetry(ctx context.Context, end ending) error {
	r.mayHaveRun = true
	if !r.req.Idempotent {
		return errors.New("request is not idempotent")
	}
	if r.placements >= r.bundle.Retry.Placements {
		return errors.New("too many placements")
	}
	if !r.out.restart() {
		return errors.New("part of the response was sent")
	}
	if !r.service.budget.Take() {
		r.log.Info("no retry", zap.String("reason", errBudget.Error()), zap.String("cause", string(end.reason)))
		return errBudget
	}
	delay := r.backoff().Delay(r.retries, r.service.cfg.Random())
	r.retries++
	return sleep(ctx, delay)
}

func (r *run) backoff() retry.Backoff {
	return retry.Backoff{Base: r.bundle.Retry.BackoffBase.Std(), Max: r.bundle.Retry.BackoffMax.Std()}
}

// noteRefusal remembers why and for how long a target refused.
func (r *run) noteRefusal(end ending) {
	if r.refusal.reason == "" || end.reason.ForLoad() || !r.refusal.reason.ForLoad() {
		r.refusal.reason, r.refusal.err = end.reason, end.err
	}
	if end.retryAfter > 0 && (r.refusal.retryAfter == 0 || end.retryAfter < r.refusal.retryAfter) {
		r.refusal.retryAfter = end.retryAfter
	}
}

// stopped ends a request of which no attempt is open because ctx ended.
func (r *run) stopped(ctx context.Context, err error) ending {
	if context.Cause(ctx) == errDeadline {
		return refused(state.ReasonTimeout, defaultRetryAfter, err)
	}
	return ending{verdict: verdictCancelled, reason: ReasonCallerGone, err: err}
}

// displaced reports whether a higher tier took this request's place.
func (r *run) displaced() bool {
	select {
	case <-r.ticket.Displaced():
		return true
	default:
		return false
	}
}

// fingerprint identifies what the key was used for.
func (r *run) fingerprint() uint64 {
	d := xxhash.New()
	d.WriteString(r.req.Method)
	d.Write([]byte{0})
	d.WriteString(r.req.Path)
	d.Write([]byte{0})
	d.Write(r.req.Body)
	return d.Sum64()
}

// result turns the last ending into what the caller is told.
func (r *run) result(end ending) Result {
	res := Result{Reason: end.reason, Err: end.err}
	switch end.verdict {
	case verdictComplete:
		return Result{Kind: Complete, Usage: end.usage}
	case verdictRefused, verdictElsewhere:
		// After an attempt with an unknown outcome the request is not "not run",
		// whatever became of the later ones.
		if r.mayHaveRun {
			res.Kind = Unknown
			break
		}
		res.Kind = Refused
		res.RetryAfter = end.retryAfter
	case verdictUnknown:
		res.Kind = Unknown
	case verdictTimedOut:
		res.Kind = TimedOut
	case verdictFailed:
		res.Kind, res.Status, res.Body = Failed, end.status, end.body
	case verdictExpired:
		res.Kind = Expired
	case verdictCancelled:
		res.Kind = Cancelled
	}
	if res.Err == nil {
		res.Err = errRequest.New("%s", string(end.reason))
	}
	return res
}

// report logs and counts the end of the request.
func (r *run) report(res Result) {
	fields := []zap.Field{
		zap.String("tier", r.tierName()), zap.String("policy", r.policy()),
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
	useful := r.out.err == nil && !time.Now().After(r.req.Deadline)
	traffic.CountRequest(r.key(), outcomeOf(res, useful))
}

func (r *run) policy() string {
	if r.req.Policy == "" {
		return traffic.NoPolicy
	}
	return r.req.Policy
}

func (r *run) tierName() string {
	if r.bundle == nil || int(r.req.Tier) >= len(r.bundle.Tiers) {
		return "none"
	}
	return r.bundle.Tiers[r.req.Tier].Name
}

// key is the key of the counters.
func (r *run) key() string { return traffic.CounterKey(r.policy(), r.tierName()) }

// sleep waits for d or until ctx ends, and returns the context's error then.
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
