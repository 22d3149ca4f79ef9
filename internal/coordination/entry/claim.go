package entry

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// joinEarlier joins the claim that is in effect for the key when the request
// arrives. It returns false when the request is to be placed by this entry.
func (r *run) joinEarlier() (ending, bool) {
	holder, ok := r.service.cfg.Claims.Lookup(r.req.Key)
	if !ok {
		return ending{}, false
	}
	end := r.join(holder)
	return end, end.verdict != verdictElsewhere
}

// claim reserves the key for a. When it does not win, the ending is that of the
// request's attempt elsewhere, or a refusal.
func (r *run) claim(ctx context.Context, a *attempt) (ending, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := state.Claim{
		Key: r.req.Key, Placement: r.claimed + 1, Attempt: a.id, Target: a.target,
		Incarnation: a.incarnation, Fingerprint: r.fingerprint(), Receipt: r.receipt,
	}
	result, err := r.service.cfg.Claims.Claim(ctx, c)
	if err != nil {
		// The record may still take effect, but its attempt is never dispatched.
		return refused(ReasonClaimUnavailable, defaultRetryAfter, stepError("claim for attempt", a.target, err)), false
	}
	if result.Won {
		r.claimed = c.Placement
		return ending{}, true
	}
	r.log.Info("claim lost", zap.String("holder", result.Holder.Attempt.String()), zap.String("target", string(result.Holder.Target)))
	return r.join(result.Holder), false
}

// join returns the response of the attempt that holds the key, or says that it
// was not run, with the receipt, so that this entry may place the request.
func (r *run) join(holder state.Claim) ending {
	if holder.Fingerprint != r.fingerprint() {
		return refused(ReasonKeyReused, 0, fmt.Errorf("key was used for another request as attempt %s", holder.Attempt))
	}
	r.ticket.MarkStarted() // the attempt cannot be withdrawn by this entry
	ctx, cancel := context.WithDeadlineCause(r.caller, r.req.Deadline, errDeadline)
	defer cancel()
	for first := true; ; first = false {
		a := &attempt{target: holder.Target, id: holder.Attempt, incarnation: holder.Incarnation}
		end := r.follow(ctx, a, nil)
		if end.verdict != verdictElsewhere {
			return end
		}
		if newer, ok := r.service.cfg.Claims.Lookup(r.req.Key); ok && newer.Placement > holder.Placement {
			holder = newer
			continue
		}
		if end.receipt == 0 && first {
			// The entry that holds the key may be about to dispatch.
			if sleep(ctx, unseenGrace) != nil {
				return r.abandonedHolder(ctx)
			}
			continue
		}
		if end.receipt == 0 {
			end = r.void(ctx, a)
		}
		if end.verdict == verdictElsewhere && end.receipt != 0 {
			r.claimed, r.receipt = holder.Placement, end.receipt
			r.log.Info("taking over key", zap.String("attempt", holder.Attempt.String()), zap.String("target", string(holder.Target)))
			return end
		}
		if end.verdict != verdictElsewhere {
			return end
		}
	}
}

// abandonedHolder ends a request whose attempt belongs to another entry.
func (r *run) abandonedHolder(ctx context.Context) ending {
	if r.caller.Err() != nil {
		return ending{verdict: verdictCancelled, reason: ReasonCallerGone}
	}
	return unknown(state.ReasonTimeout, context.Cause(ctx))
}

// void asks the target for the receipt that a was not run. Without one the
// outcome is unknown. An ending to place elsewhere without receipt means that
// the attempt has arrived in the meantime.
func (r *run) void(ctx context.Context, a *attempt) ending {
	s, err := r.service.cfg.Peers.Void(ctx, a.target, &state.Void{Attempt: a.id, Incarnation: a.incarnation})
	if err != nil {
		return unknown(ReasonTargetUnreachable, stepError("void", a.target, err))
	}
	end := elsewhere(ReasonUnseen, nil)
	switch s.Phase {
	case state.AttemptVoided, state.AttemptNotRun:
		end.receipt = s.Phase
	case state.AttemptQueued, state.AttemptRunning, state.AttemptDone, state.AttemptFailed:
	case state.AttemptExpired:
		return ending{verdict: verdictExpired, reason: ReasonResponseExpired}
	default:
		return unknown(ReasonOutcomeUnknown, stepError("void", a.target, fmt.Errorf("no receipt: phase %d", s.Phase)))
	}
	return end
}

// withReceipt completes the ending of this entry's own attempt that was not run
// with the receipt that the next claim of the key needs. Without one the request
// is refused; "not run" remains true because the attempt itself did not run.
func (r *run) withReceipt(ctx context.Context, a *attempt, end ending) ending {
	if !r.keyed() {
		return end
	}
	if end.receipt == 0 {
		voided := r.void(ctx, a)
		if voided.receipt == 0 {
			return refused(end.reason, defaultRetryAfter, voided.err)
		}
		end.receipt = voided.receipt
	}
	r.receipt = end.receipt
	return end
}
