package side

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrStopped is returned after Service.Run has returned.
var ErrStopped = errors.New("side process stopped")

// Attempt is an entry's stream of the events of one attempt. Next is called by
// one goroutine; the other methods are safe for concurrent use.
type Attempt struct {
	service *Service
	id      state.AttemptID
	owner   bool // the stream belongs to the entry that dispatched the attempt
	wake    chan struct{}
	ended   atomic.Bool // the last event was returned

	mu     sync.Mutex
	bound  bool // the control goroutine has decided what the stream returns
	first  []state.AttemptEvent
	record *record // nil for a stream that has only the first events
	cursor cursor

	// Used by Next only.
	begun bool        // Next has returned an event
	timer *time.Timer // until a progress event is due; nil before the first wait
}

func newAttempt(s *Service, id state.AttemptID, owner bool) *Attempt {
	return &Attempt{service: s, id: id, owner: owner, wake: make(chan struct{}, 1)}
}

// Next returns the next event. It returns io.EOF after the event that ended the
// attempt or after the state of an attempt that has no events, ErrStopped when
// the service has stopped, and the context's error when ctx ends first.
func (a *Attempt) Next(ctx context.Context) (state.AttemptEvent, error) {
	if e, err := a.take(); e != nil || err != nil {
		return e, err
	}
	if a.timer == nil {
		a.timer = time.NewTimer(ProgressInterval)
	} else {
		a.timer.Reset(ProgressInterval)
	}
	defer a.timer.Stop()
	for {
		select {
		case <-a.wake:
		case <-a.timer.C:
			// The first event tells the state of the attempt, so nothing may
			// precede it.
			if a.begun {
				return &state.Progress{}, nil
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.service.stopped:
			if e, err := a.take(); e != nil || err != nil {
				return e, err
			}
			return nil, ErrStopped
		}
		if e, err := a.take(); e != nil || err != nil {
			return e, err
		}
	}
}

// take returns the next event if there is one.
func (a *Attempt) take() (state.AttemptEvent, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended.Load() {
		return nil, io.EOF
	}
	if len(a.first) > 0 {
		e := a.first[0]
		a.first = a.first[1:]
		a.begun = true
		return e, nil
	}
	if a.record == nil {
		if !a.bound {
			return nil, nil
		}
		a.ended.Store(true)
		return nil, io.EOF
	}
	e := a.record.next(&a.cursor)
	if e == nil {
		return nil, nil
	}
	a.begun = true
	switch e.(type) {
	case *state.Done, *state.Refused, *state.Failed:
		a.ended.Store(true)
	}
	return e, nil
}

// Withdraw takes back the attempt if it is queued.
func (a *Attempt) Withdraw() { a.service.post(func() { a.service.withdraw(a) }) }

// Cancel ends the attempt, also when it runs.
func (a *Attempt) Cancel() { a.service.post(func() { a.service.cancel(a) }) }

// Ack tells that the response was received whole.
func (a *Attempt) Ack() { a.service.post(func() { a.service.ack(a) }) }

// Detach tells that the stream is gone. The attempt goes on.
func (a *Attempt) Detach() { a.service.post(func() { a.service.detach(a) }) }

// bind decides what the stream returns: the first events, then those of r from
// offset on. r may be nil.
func (a *Attempt) bind(r *record, offset uint64, skipStage bool, first ...state.AttemptEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bound = true
	a.first = first
	if r != nil {
		a.record = r
		a.cursor = r.join(a, offset, skipStage)
	}
	a.notify()
}

func (a *Attempt) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
