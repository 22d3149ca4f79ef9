package entry

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ResultKind says how a request ended.
type ResultKind uint8

// The kinds of result.
const (
	Complete  ResultKind = iota + 1 // the sink has the whole response
	Refused                         // the request has not run and will not run
	Unknown                         // the request may have run
	TimedOut                        // the deadline passed while an idempotent request ran
	Failed                          // the target reported an error
	Expired                         // the request completed; its response is no longer available
	Cancelled                       // the caller is gone
)

// Result is the end of a request.
type Result struct {
	Kind   ResultKind
	Reason state.Reason // error code; empty for Complete
	Usage  state.Usage  // Complete only
	// RetryAfter is set for Refused only: the time after which the caller may try
	// again, 0 when nothing is known.
	RetryAfter time.Duration
	Status     int    // Failed only: the target's HTTP status, 0 for none
	Body       string // Failed only: the target's description of the error
	// Err is nil for Complete. It names the failed step and the target where those
	// are known.
	Err error
}

// The reasons that the entry itself reports, in addition to those of packages state
// and admission.
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

// Errors that stepError returns have the type errRequest, the step as message and the
// properties step and peer. A result without a more specific error gets an errRequest
// with the reason as message.
var (
	errorNamespace = errorx.NewNamespace("entry")
	errRequest     = errorNamespace.NewType("request").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	propertyStep   = errorx.RegisterProperty("step")
	propertyPeer   = errorx.RegisterPrintableProperty("peer")
)

// stepError wraps cause with the step of the request that failed and the target at
// which it failed. It returns nil when cause is nil.
func stepError(step string, peer state.TargetID, cause error) error {
	if cause == nil {
		return nil
	}
	return errRequest.Wrap(cause, "%s", step).WithProperty(propertyStep, step).WithProperty(propertyPeer, string(peer))
}

// isTransient reports whether a target that refused or failed for reason r may take
// the same request when it is asked again.
func isTransient(r state.Reason) bool {
	switch r {
	case state.ReasonFenced, state.ReasonWrongIncarnation, state.ReasonWithdrawn, state.ReasonVoided,
		ReasonUnseen, ReasonTargetUnreachable:
		return true
	}
	return false
}

// endKind says how an attempt, or a request that made none, ended and whether the
// request may be placed again.
type endKind uint8

const (
	endComplete   endKind = iota + 1
	endPlaceAgain         // not run; the request may be placed again
	endRefused            // not run; the request ends
	endUnknown            // may have run; the request may be retried if it is idempotent
	endTimedOut
	endFailed
	endExpired
	endCancelled
)

// attemptEnd is the end of an attempt, or of a request that made none.
type attemptEnd struct {
	kind       endKind
	reason     state.Reason
	retryAfter time.Duration
	usage      state.Usage
	status     int
	body       string
	// receipt is state.AttemptVoided or state.AttemptNotRun when the side process
	// has stated that the attempt was not run and never will be; otherwise 0.
	receipt state.Phase
	err     error
}

// placeAgainEnd ends an attempt that was not run; the request may be placed again.
func placeAgainEnd(reason state.Reason, err error) attemptEnd {
	return attemptEnd{kind: endPlaceAgain, reason: reason, err: err}
}

// refusedEnd ends a request that has not run and will not run.
func refusedEnd(reason state.Reason, retryAfter time.Duration, err error) attemptEnd {
	return attemptEnd{kind: endRefused, reason: reason, retryAfter: retryAfter, err: err}
}

// unknownEnd ends an attempt that may have run.
func unknownEnd(reason state.Reason, err error) attemptEnd {
	return attemptEnd{kind: endUnknown, reason: reason, err: err}
}
