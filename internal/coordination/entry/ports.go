// Package entry implements the request lifecycle at an entry instance:
// admission, placement, retries, claims and the response to the caller.
package entry

import (
	"context"
	"errors"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrNotSent tells that a dispatch was not sent, so the attempt did not run.
var ErrNotSent = errors.New("dispatch not sent")

// ErrSessionLost tells that the session ended while the attempt was open. The
// fate of the attempt must be asked for with Attach.
var ErrSessionLost = errors.New("session lost")

// Peers reaches the side processes.
type Peers interface {
	// Reserve returns a new attempt identifier on the live session to target,
	// which it opens when needed. An error means that nothing was sent.
	Reserve(ctx context.Context, target state.TargetID) (state.Reservation, error)
	// Dispatch sends the request as the reserved attempt, exactly once. An error
	// wraps ErrNotSent.
	Dispatch(ctx context.Context, r state.Reservation, req *state.Request) (AttemptStream, error)
	// Attach asks for an attempt dispatched earlier by this or another entry.
	// The first event is *state.AttemptState.
	Attach(ctx context.Context, target state.TargetID, a *state.Attach) (AttemptStream, error)
	// Void asks the side process to refuse an attempt from now on.
	Void(ctx context.Context, target state.TargetID, v *state.Void) (state.AttemptState, error)
}

// AttemptStream is the open stream of one attempt. It is used by one goroutine.
type AttemptStream interface {
	// Next returns the next event. It returns io.EOF after the event that ended
	// the attempt, ErrSessionLost when the session ended before that, and the
	// context's error when ctx ends first, after which Next may be called again.
	Next(ctx context.Context) (state.AttemptEvent, error)
	Withdraw() error
	Cancel() error
	Ack() error
	// Close releases the stream. It does not cancel the attempt.
	Close()
}

// ErrClaimUnavailable tells that the fate of a claim could not be determined
// because the log is unavailable or its horizon is not folded yet. The claimed
// attempt must not be dispatched.
var ErrClaimUnavailable = errors.New("claim unavailable")

// Claims reserves callers' keys in the log.
type Claims interface {
	// Claim appends c and returns who holds the key once c's place in the log is
	// known. Its error wraps ErrClaimUnavailable.
	Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error)
	// Lookup returns the claim in effect for key within the horizon.
	Lookup(key string) (state.Claim, bool)
}
