package entry

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Kind is the way a request ended.
type Kind uint8

// The kinds of result.
const (
	Complete  Kind = iota + 1 // the sink has the whole response
	Refused                   // the request has not run and will not run
	Unknown                   // the request may have run
	TimedOut                  // the deadline passed while an idempotent request ran
	Failed                    // the target reported an error
	Expired                   // the request completed; its response is no longer available
	Cancelled                 // the caller is gone
)

// Result tells how a request ended.
type Result struct {
	Kind   Kind
	Reason state.Reason // error code; empty for Complete
	Usage  state.Usage  // Complete only
	// RetryAfter is set for Refused, and 0 when nothing is known.
	RetryAfter time.Duration
	Status     int    // Failed only: the target's HTTP status, 0 for none
	Body       string // Failed only: what the target said
	// Err carries the step and the peer; nil for Complete.
	Err error
}

// The reasons that arise at the entry, in addition to those of package state
// and package admission.
const (
	ReasonOutcomeUnknown    state.Reason = "outcome_unknown"
	ReasonKeyReused         state.Reason = "idempotency_key_reused"
	ReasonResponseExpired   state.Reason = "completed_response_expired"
	ReasonClaimUnavailable  state.Reason = "claim_unavailable"
	ReasonNoTarget          state.Reason = "no_target_available"
	ReasonTargetUnreachable state.Reason = "target_unreachable"
	ReasonUnseen            state.Reason = "attempt_unseen"
	ReasonStopping          state.Reason = "entry_stopping"
	ReasonCallerGone        state.Reason = "caller_disconnected"
)

// Errors of this package have the type errRequest, the step as message and the
// properties step and peer.
var (
	errorNamespace = errorx.NewNamespace("entry")
	errRequest     = errorNamespace.NewType("request").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	propertyStep   = errorx.RegisterProperty("step")
	propertyPeer   = errorx.RegisterPrintableProperty("peer")
)

// stepError names the step and the peer at which cause occurred.
func stepError(step string, peer state.TargetID, cause error) error {
	if cause == nil {
		return nil
	}
	return errRequest.Wrap(cause, "%s", step).WithProperty(propertyStep, step).WithProperty(propertyPeer, string(peer))
}

// isTransient reports whether the same target may take the request after all.
func isTransient(r state.Reason) bool {
	switch r {
	case state.ReasonFenced, state.ReasonWrongIncarnation, state.ReasonWithdrawn, state.ReasonVoided,
		ReasonUnseen, ReasonTargetUnreachable:
		return true
	}
	return false
}

// verdict says how one attempt ended and whether the request goes on.
type verdict uint8

const (
	verdictComplete  verdict = iota + 1
	verdictElsewhere         // not run; may be placed again
	verdictRefused           // not run; final
	verdictUnknown           // may have run
	verdictTimedOut
	verdictFailed
	verdictExpired
	verdictCancelled
)

// ending is the end of one attempt.
type ending struct {
	verdict    verdict
	reason     state.Reason
	retryAfter time.Duration
	usage      state.Usage
	status     int
	body       string
	// receipt is the target's own statement that the attempt was not run; 0 for
	// none.
	receipt state.Phase
	err     error
}

func elsewhere(reason state.Reason, err error) ending {
	return ending{verdict: verdictElsewhere, reason: reason, err: err}
}

func refused(reason state.Reason, retryAfter time.Duration, err error) ending {
	return ending{verdict: verdictRefused, reason: reason, retryAfter: retryAfter, err: err}
}

func unknown(reason state.Reason, err error) ending {
	return ending{verdict: verdictUnknown, reason: reason, err: err}
}
