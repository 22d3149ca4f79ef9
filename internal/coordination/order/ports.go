// Package order brings a target's models, adapters and role in line with the
// placement in the bundle. Each order carries a fencing number, the log offset
// of the registration under which it is given.
package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Order asks a target to change what it holds. Repeating an order is harmless.
type Order struct {
	Fence    uint64
	Load     []state.ModelSpec
	Unload   []state.ModelSpec // an empty version stands for the one that is held
	Adapters []string          // the whole list wanted
	Role     string            // "mixed", "prefill" or "decode"
}

// Orders sends orders to the target. An error wraps ErrOldFence,
// *RateLimitedError or ErrUnreachable, or says that the target refused the order
// for another reason.
type Orders interface {
	SendOrder(ctx context.Context, o Order) error
}

// ErrOldFence tells that the target has seen a higher fencing number.
var ErrOldFence = errors.New("fencing number is old")

// ErrUnreachable tells that the target did not respond; the order may have had
// its effect.
var ErrUnreachable = errors.New("target did not respond")

// RateLimitedError tells that the weight store does not allow a load now.
type RateLimitedError struct{ After time.Duration }

// Error returns the wait.
func (e *RateLimitedError) Error() string { return fmt.Sprintf("rate limited for %s", e.After) }

// Holding is what a target reports to hold. Adapters and a role that it does not
// report are ordered once and then taken as held.
type Holding struct {
	Models   []state.ModelSpec // an empty version stands for an unknown one
	Adapters []string          // nil when not reported
	Role     string            // empty when not reported
}
