package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// StreamName is the name of the log stream that holds the registrations.
const StreamName = "orders"

const (
	// LeaseDuration is how long after a read of the stream to its end a process may
	// send orders.
	LeaseDuration = 2 * time.Second
	// RequestTimeout bounds the call that sends an order. A target that ignores the
	// fencing token may apply an order of a superseded process for up to
	// LeaseDuration + RequestTimeout after the newer registration.
	RequestTimeout = 2 * time.Second
	// registerTimeout bounds the append of a registration.
	registerTimeout = 2 * time.Second
)

// registration is the content of one record of the stream, encoded as CBOR. It says
// that a process gives the orders to a target from now on.
type registration struct {
	Target      state.TargetID    `cbor:"1,keyasint"`
	Instance    state.InstanceID  `cbor:"2,keyasint"`
	Incarnation state.Incarnation `cbor:"3,keyasint"`
}

// errSuperseded is returned when another process has registered for the target
// later.
var errSuperseded = errors.New("another process has registered for the target")

// errLeaseExpired is returned when more than LeaseDuration passed between reading the
// stream and sending the order.
var errLeaseExpired = errors.New("lease has expired")

// errRegistrationsExpired is returned when records after this process's registration
// were deleted by retention before they were read.
var errRegistrationsExpired = errors.New("registrations are no longer retained")

// registrar keeps this process registered for one target. It is used by one
// goroutine.
type registrar struct {
	log logstream.Log
	own registration

	registered   bool
	recordID     string // of this process's latest registration
	fencingToken uint64 // offset of that registration in the stream
	nextOffset   uint64 // offset of the next record to read
}

// lease allows orders under fencingToken until LeaseDuration after readAt.
type lease struct {
	fencingToken uint64
	readAt       time.Time
}

// register appends a registration and takes its offset as the fencing token.
func (r *registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	data, err := cbor.Marshal(&r.own)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	// If the outcome of the append is unknown, the record is searched for from the
	// end that the stream had before the append.
	page, err := r.log.Read(ctx, StreamName, r.nextOffset, 1, 0)
	if err != nil {
		return fmt.Errorf("register for target %s: %w", r.own.Target, err)
	}
	id := logstream.NewID()
	res := logstream.Append(ctx, r.log, StreamName, page.End, logstream.Entry{ID: id, Data: data})
	if res.Outcome != logstream.Appended {
		return fmt.Errorf("register for target %s: %s: %w", r.own.Target, res.Outcome, res.Err)
	}
	r.registered, r.recordID = true, id
	r.fencingToken, r.nextOffset = res.Offset, res.Offset+1
	return nil
}

// renew reads the stream to its end and returns a lease if the last registration for
// the target is this process's own. It registers first if this process is not
// registered.
func (r *registrar) renew(ctx context.Context) (lease, error) {
	if !r.registered {
		if err := r.register(ctx); err != nil {
			return lease{}, err
		}
	}
	from := r.nextOffset
	var superseded *registration
	next, first, asOf, err := logstream.ReadToEnd(ctx, r.log, StreamName, from, func(rec logstream.Record) {
		var other registration
		if cbor.Unmarshal(rec.Data, &other) != nil || other.Target != r.own.Target {
			return
		}
		if rec.ID == r.recordID {
			// A second copy of this process's registration, from a repeated append.
			r.fencingToken, superseded = rec.Offset, nil
			return
		}
		superseded = &other
	})
	if err != nil {
		return lease{}, fmt.Errorf("renew lease for target %s: %w", r.own.Target, err)
	}
	r.nextOffset = next
	if first > from {
		r.registered = false
		return lease{}, errRegistrationsExpired
	}
	if superseded != nil {
		r.registered = false
		return lease{}, fmt.Errorf("%w: instance %s", errSuperseded, superseded.Instance)
	}
	return lease{fencingToken: r.fencingToken, readAt: asOf}, nil
}

// valid reports whether the lease still allows an order. It checks the wall clock as
// well as the monotonic clock, because the latter stands still while a virtual machine
// is suspended.
func (l lease) valid(now time.Time) bool {
	return now.Sub(l.readAt) <= LeaseDuration && now.Round(0).Sub(l.readAt.Round(0)) <= LeaseDuration
}

// orderDeadline returns the time by which an order under the lease must have been
// sent and answered.
func (l lease) orderDeadline() time.Time { return l.readAt.Add(LeaseDuration + RequestTimeout) }
