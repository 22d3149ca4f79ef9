// Package entry implements the lifecycle of a request that an entry sends through side
// processes: admission, placement, retries, claims and the response to the caller. An
// entry instance is the process that receives callers' requests. Requests that an entry
// sends directly to targets are in package gateway.
//
// Each placement of a request on a target is an attempt. An entry does not talk to a
// target itself but to the side process that runs beside it. A side process can state
// that it has not run an attempt and never will. Such a receipt allows the request to
// be placed again without the risk that it runs twice.
package entry

import (
	"context"
	"errors"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrNotSent is returned for a dispatch that was not sent, so the attempt has not
// run.
var ErrNotSent = errors.New("dispatch not sent")

// ErrSessionLost is returned when the session ended while the attempt was open.
// Peers.Attach then tells what became of the attempt.
var ErrSessionLost = errors.New("session lost")

// Peers is the client of the side processes beside the targets.
type Peers interface {
	// Reserve returns a new attempt identifier on the session to target, and opens
	// the session if there is none. An error means that nothing was sent.
	Reserve(ctx context.Context, target state.TargetID) (state.Reservation, error)
	// Dispatch sends the request as the reserved attempt, once. After an error that
	// wraps ErrNotSent the attempt was not sent; after any other it may have been.
	Dispatch(ctx context.Context, r state.Reservation, req *state.Request) (AttemptStream, error)
	// Attach opens a stream of the events of an attempt that this or another entry
	// dispatched earlier. The first event is *state.AttemptState.
	Attach(ctx context.Context, target state.TargetID, a *state.Attach) (AttemptStream, error)
	// Void asks the side process to refuse an attempt from now on. It returns the
	// attempt's phase, see state.Void.
	Void(ctx context.Context, target state.TargetID, v *state.Void) (state.AttemptState, error)
}

// AttemptStream is the open stream of one attempt. It is used by one goroutine.
type AttemptStream interface {
	// Next returns the next event. It returns io.EOF after the event that ended
	// the attempt, ErrSessionLost when the session ended before that, and the
	// context's error when ctx has ended and nothing more had been received, after
	// which Next may be called again.
	Next(ctx context.Context) (state.AttemptEvent, error)
	// Withdraw, Cancel and Ack send the messages of that name in package state.
	Withdraw() error
	Cancel() error
	Ack() error
	// Close releases the stream. It does not cancel the attempt.
	Close()
}

// ErrClaimUnavailable is returned when it could not be determined whether a claim won,
// because the log is unavailable or this process has not yet read all claims within
// the horizon, the time for which a claim is in effect. The claimed attempt must not
// be dispatched.
var ErrClaimUnavailable = errors.New("claim unavailable")

// Claims reserves callers' keys in the log, so that only one entry at a time places
// the request of a key.
type Claims interface {
	// Claim appends c and, once the position of c in the log is known, returns which
	// claim holds the key. Its error wraps ErrClaimUnavailable.
	Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error)
	// Lookup returns the claim in effect for key within the horizon.
	Lookup(key string) (state.Claim, bool)
}
