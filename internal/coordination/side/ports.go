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
	// when the response is whole, when it failed, or when ctx ends; it does not
	// cancel the attempt at the target then. Its error wraps ErrNotSent or is a
	// *NotAdmittedError, a *TargetError or an *UnknownError. Any other error
	// counts as an unknown outcome.
	Run(ctx context.Context, attempt state.AttemptID, req *state.Request, emit func(state.AttemptEvent)) (state.Usage, error)
	// Resume continues the stream of an attempt that the target knows, from
	// chunk from on. Events and errors are those of Run, but the attempt counts
	// as run whatever the error.
	Resume(ctx context.Context, attempt state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error)
	// Cancel ends the attempt at the target. A nil error means that the target
	// confirmed it.
	Cancel(ctx context.Context, attempt state.AttemptID) error
	// Running lists the attempts that the target knows. It is empty for targets
	// that cannot resume.
	Running(ctx context.Context) ([]Live, error)
}

// Live is an attempt that the target knows.
type Live struct {
	Attempt state.AttemptID
	Done    bool   // the response is whole
	Chunks  uint64 // chunks produced so far
}

// ErrNotSent tells that no part of the request reached the target, so it did
// not run.
var ErrNotSent = errors.New("request not sent to the target")

// NotAdmittedError tells that the target did not admit the request, so it did
// not run.
type NotAdmittedError struct {
	Status     int
	RetryAfter time.Duration // 0 when the target named none
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

// UnknownError tells that the outcome cannot be determined.
type UnknownError struct {
	Reason state.Reason // ReasonTargetSilent or ReasonStreamBroken
	Err    error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown (%s): %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Load is the load report of a target. It lags.
type Load struct {
	Running int
	Waiting int
	Models  []state.ModelSpec
	Time    time.Time
}
