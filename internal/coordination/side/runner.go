package side

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Runner runs attempts on the target. It is safe for concurrent use.
type Runner interface {
	// Run sends the request to the target once and passes *state.Head and
	// *state.Chunk events, with contiguous offsets from 0, to emit. It returns
	// when the response is complete, when the request has failed, or when ctx
	// ends; in the last case it does not cancel the attempt at the target. Its
	// error wraps ErrNotSent or is a *NotAdmittedError, a *TargetError or an
	// *UnknownOutcomeError. Any other error counts as an unknown outcome.
	Run(ctx context.Context, attempt state.AttemptID, req *state.Request, emit func(state.AttemptEvent)) (state.Usage, error)
	// Resume reads the stream of an attempt that the target knows, starting at
	// chunk from. Events and errors are those of Run, but the attempt counts as
	// run whatever the error.
	Resume(ctx context.Context, attempt state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error)
	// Cancel ends the attempt at the target. A nil error means that the target
	// confirmed the cancellation.
	Cancel(ctx context.Context, attempt state.AttemptID) error
	// ListAttempts returns the attempts that the target knows, running or done.
	// It returns none for targets that cannot resume streams.
	ListAttempts(ctx context.Context) ([]TargetAttempt, error)
}

// TargetAttempt is an attempt in the list that the target returns.
type TargetAttempt struct {
	Attempt state.AttemptID
	Done    bool   // the response is complete
	Chunks  uint64 // chunks produced so far
}

// ErrNotSent means that no part of the request reached the target, so the
// request did not run.
var ErrNotSent = errors.New("request not sent to the target")

// NotAdmittedError means that the target did not admit the request, so the
// request did not run.
type NotAdmittedError struct {
	Status     int
	RetryAfter time.Duration // 0 when the target sent none
}

// Error implements error.
func (e *NotAdmittedError) Error() string {
	return fmt.Sprintf("target did not admit the request: status %d", e.Status)
}

// TargetError is an error that the target itself reported.
type TargetError struct {
	Status int // HTTP status; 0 for an error inside a stream
	Detail string
}

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target reported status %d: %s", e.Status, e.Detail)
}

// UnknownOutcomeError means that the outcome of an attempt cannot be
// determined.
type UnknownOutcomeError struct {
	Reason state.Reason // ReasonTargetSilent or ReasonStreamBroken
	Err    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown (%s): %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Load is the load report of a target. It may be out of date when it arrives.
type Load struct {
	Running int
	Waiting int
	Models  []state.ModelSpec
	Time    time.Time
}
