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

// Stream is the name of the registration stream.
const Stream = "orders"

const (
	// Lease is how long a read of the stream's end allows orders.
	Lease = 2 * time.Second
	// RequestTimeout is the time an order may take. A target that ignores the
	// fencing number may apply an order of a superseded process for Lease +
	// RequestTimeout.
	RequestTimeout = 2 * time.Second
	// registerLimit bounds the wait for the registration's append.
	registerLimit = 2 * time.Second
)

// registration is the content of a record of the stream, in CBOR.
type registration struct {
	Target      state.TargetID    `cbor:"1,keyasint"`
	Instance    state.InstanceID  `cbor:"2,keyasint"`
	Incarnation state.Incarnation `cbor:"3,keyasint"`
}

// errSuperseded tells that another process registered for the target later.
var errSuperseded = errors.New("another process has registered for the target")

// errPaused tells that more than Lease went by between reading the stream and
// acting on it.
var errPaused = errors.New("lease has expired")

// errLost tells that records after the registration were lost to retention.
var errLost = errors.New("registrations are no longer retained")

// registrar holds this process's registration for one target. It is used by one
// goroutine.
type registrar struct {
	log  logstream.Log
	self registration

	registered bool
	recordID   string // of the newest registration made here
	fence      uint64 // its offset
	next       uint64 // the stream is read up to here
}

// lease allows orders under Fence until Until.
type lease struct {
	Fence uint64
	asOf  time.Time
}

// register appends a registration and takes its offset as fencing number.
func (r *registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	data, err := cbor.Marshal(&r.self)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	// The stream's end before the append is where the record can be looked for.
	page, err := r.log.Read(ctx, Stream, r.next, 1, 0)
	if err != nil {
		return fmt.Errorf("register for target %s: %w", r.self.Target, err)
	}
	id := logstream.NewID()
	res := logstream.Append(ctx, r.log, Stream, page.End, logstream.Entry{ID: id, Data: data})
	if res.Fate != logstream.Appended {
		return fmt.Errorf("register for target %s: %s: %w", r.self.Target, res.Fate, res.Err)
	}
	r.registered, r.recordID = true, id
	r.fence, r.next = res.Offset, res.Offset+1
	return nil
}

// renew reads the stream to its end and returns a lease when the last
// registration for the target is this process's own.
func (r *registrar) renew(ctx context.Context) (lease, error) {
	if !r.registered {
		if err := r.register(ctx); err != nil {
			return lease{}, err
		}
	}
	from := r.next
	var superseded *registration
	next, first, asOf, err := logstream.ReadToEnd(ctx, r.log, Stream, from, func(rec logstream.Record) {
		var other registration
		if cbor.Unmarshal(rec.Data, &other) != nil || other.Target != r.self.Target {
			return
		}
		if rec.ID == r.recordID {
			// A repeated append of the own registration.
			r.fence, superseded = rec.Offset, nil
			return
		}
		superseded = &other
	})
	if err != nil {
		return lease{}, fmt.Errorf("renew lease for target %s: %w", r.self.Target, err)
	}
	r.next = next
	if first > from {
		r.registered = false
		return lease{}, errLost
	}
	if superseded != nil {
		r.registered = false
		return lease{}, fmt.Errorf("%w: instance %s", errSuperseded, superseded.Instance)
	}
	return lease{Fence: r.fence, asOf: asOf}, nil
}

// valid reports whether the lease still allows an order. The wall clock counts
// as well as the monotonic one, which stands still while a virtual machine is
// suspended.
func (l lease) valid(now time.Time) bool {
	return now.Sub(l.asOf) <= Lease && now.Round(0).Sub(l.asOf.Round(0)) <= Lease
}

// expires returns when an order given under the lease must have been sent and
// answered.
func (l lease) expires() time.Time { return l.asOf.Add(Lease + RequestTimeout) }
