package entry

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// joinExistingClaim follows the attempt that holds the key when the request
// arrives. It returns false when there is no claim for the key, or when the
// holder's attempt was not run, so that this entry has to place the request.
func (r *requestRun) joinExistingClaim() (attemptEnd, bool) {
	holder, ok := r.service.cfg.Claims.Lookup(r.req.ClaimKey)
	if !ok {
		return attemptEnd{}, false
	}
	end := r.joinHolder(holder)
	return end, end.kind != endPlaceAgain
}

// claimKey reserves the key for attempt a and reports whether the claim won. When
// it did not, the result is the end of the attempt that holds the key, or a
// refusal when the claim could not be decided.
func (r *requestRun) claimKey(ctx context.Context, a *attempt) (attemptEnd, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := state.Claim{
		Key: r.req.ClaimKey, Placement: r.claimedPlacement + 1, Attempt: a.id, Target: a.target,
		Incarnation: a.incarnation, Fingerprint: r.fingerprint(), Receipt: r.receipt,
	}
	result, err := r.service.cfg.Claims.Claim(ctx, c)
	if err != nil {
		// The claim record may still be appended and win, but its attempt is never
		// dispatched.
		return refusedEnd(ReasonClaimUnavailable, defaultRetryAfter, stepError("claim for attempt", a.target, err)), false
	}
	if result.Won {
		r.claimedPlacement = c.Placement
		return attemptEnd{}, true
	}
	r.log.Info("claim lost to another attempt", zap.String("holder", result.Holder.Attempt.String()), zap.String("target", string(result.Holder.Target)))
	return r.joinHolder(result.Holder), false
}

// joinHolder follows the attempt that holds the key and returns its end. The kind
// endPlaceAgain means that the attempt was not run and that r.receipt holds the
// target's receipt for that, so that this entry may claim the key and place the
// request itself.
func (r *requestRun) joinHolder(holder state.Claim) attemptEnd {
	if holder.Fingerprint != r.fingerprint() {
		return refusedEnd(ReasonKeyReused, 0, fmt.Errorf("idempotency key was already used for a different request, attempt %s", holder.Attempt))
	}
	// This entry cannot withdraw the holder's attempt, so admission must not
	// displace this request.
	r.ticket.MarkStarted()
	ctx, cancel := r.limit(r.callerCtx)
	defer cancel()
	for first := true; ; first = false {
		a := &attempt{target: holder.Target, id: holder.Attempt, incarnation: holder.Incarnation}
		end := r.follow(ctx, a, nil)
		if end.kind != endPlaceAgain {
			return end
		}
		if newer, ok := r.service.cfg.Claims.Lookup(r.req.ClaimKey); ok && newer.Placement > holder.Placement {
			holder = newer
			continue
		}
		if end.receipt == 0 && first {
			// The entry that won the claim may be about to dispatch the attempt.
			if sleep(ctx, unseenGracePeriod) != nil {
				return r.abandonHolder(ctx)
			}
			continue
		}
		if end.receipt == 0 {
			end = r.voidAttempt(ctx, a)
		}
		if end.kind == endPlaceAgain && end.receipt != 0 {
			r.claimedPlacement, r.receipt = holder.Placement, end.receipt
			r.log.Info("claim can be taken over: attempt was not run", zap.String("attempt", holder.Attempt.String()), zap.String("target", string(holder.Target)))
			return end
		}
		if end.kind != endPlaceAgain {
			return end
		}
	}
}

// abandonHolder ends a request that follows another entry's attempt, because ctx
// ended. The attempt itself goes on.
func (r *requestRun) abandonHolder(ctx context.Context) attemptEnd {
	reason, ok := limitReason(ctx)
	if !ok {
		return attemptEnd{kind: endCancelled, reason: reason}
	}
	return unknownEnd(reason, context.Cause(ctx))
}

// voidAttempt asks the side process to refuse attempt a from now on and returns
// its receipt that a was not run. The outcome is unknown when the side process
// cannot be reached or cannot tell. The kind endPlaceAgain without a receipt means
// that the attempt has arrived in the meantime.
func (r *requestRun) voidAttempt(ctx context.Context, a *attempt) attemptEnd {
	s, err := r.service.cfg.Peers.Void(ctx, a.target, &state.Void{Attempt: a.id, Incarnation: a.incarnation})
	if err != nil {
		return unknownEnd(ReasonTargetUnreachable, stepError("void", a.target, err))
	}
	end := placeAgainEnd(ReasonUnseen, nil)
	switch s.Phase {
	case state.AttemptVoided, state.AttemptNotRun:
		end.receipt = s.Phase
	case state.AttemptQueued, state.AttemptRunning, state.AttemptDone, state.AttemptFailed:
	case state.AttemptExpired:
		return attemptEnd{kind: endExpired, reason: ReasonResponseExpired}
	default:
		return unknownEnd(ReasonOutcomeUnknown, stepError("void", a.target, fmt.Errorf("no receipt: phase %d", s.Phase)))
	}
	return end
}

// obtainReceipt adds to the end of this entry's own attempt, which was not run, the
// receipt that the next claim of the key needs. If the target gives none, the
// request is refused; reporting it as not run is true because the attempt did not
// run.
func (r *requestRun) obtainReceipt(ctx context.Context, a *attempt, end attemptEnd) attemptEnd {
	if !r.needsClaim() {
		return end
	}
	if end.receipt == 0 {
		voided := r.voidAttempt(ctx, a)
		if voided.receipt == 0 {
			return refusedEnd(end.reason, defaultRetryAfter, voided.err)
		}
		end.receipt = voided.receipt
	}
	r.receipt = end.receipt
	return end
}
