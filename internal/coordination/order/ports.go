// Package order reconciles a target with the placement in the bundle: it sends orders,
// which load and unload models and set adapters and the role. Before a process sends
// orders to a target, it registers for the target in a stream of the log. Each order
// carries a fencing token: the log offset of that registration.
package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Order asks a target to load and unload models and to set its adapters and role.
// Repeating an order has no further effect.
type Order struct {
	FencingToken uint64
	Load         []state.ModelSpec
	Unload       []state.ModelSpec // an empty version stands for whichever is loaded
	Adapters     []string          // the complete list, not a change to it
	Role         string            // "mixed", "prefill" or "decode"
}

// Sender sends orders to one target. An error wraps ErrStaleFencingToken,
// *RateLimitedError or ErrUnreachable, or says that the target refused the order
// for another reason.
type Sender interface {
	SendOrder(ctx context.Context, o Order) error
}

// ErrStaleFencingToken is returned when the target has seen a higher fencing token.
var ErrStaleFencingToken = errors.New("target has seen a higher fencing token")

// ErrUnreachable is returned when the target did not respond. The order may have
// taken effect.
var ErrUnreachable = errors.New("target did not respond")

// RateLimitedError is returned when the weight store does not allow a load before the
// time After has passed.
type RateLimitedError struct{ After time.Duration }

// Error implements error.
func (e *RateLimitedError) Error() string { return fmt.Sprintf("loads are limited for %s", e.After) }

// ObservedState is the state that a target reports. Adapters and a role that it does
// not report are ordered once and then taken to be in effect.
type ObservedState struct {
	Models   []state.ModelSpec // the loaded models; an empty version is an unknown one
	Adapters []string          // nil when not reported
	Role     string            // empty when not reported
}
