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

// AttemptStream is the stream in which an entry receives the events of one
// attempt. Next is called by one goroutine; the other methods are safe for
// concurrent use.
type AttemptStream struct {
	service *Service
	id      state.AttemptID
	owner   bool // the stream belongs to the entry that dispatched the attempt
	wake    chan struct{}
	ended   atomic.Bool // Next has returned the last event

	mu      sync.Mutex
	bound   bool                 // the control goroutine has called bind
	initial []state.AttemptEvent // returned before the events of the buffer
	events  *eventBuffer         // nil for a stream that has only the initial events
	cursor  cursor

	// Used by Next only.
	started bool        // Next has returned an event
	timer   *time.Timer // fires when a Progress event is due; nil before the first wait
}

func newAttemptStream(s *Service, id state.AttemptID, owner bool) *AttemptStream {
	return &AttemptStream{service: s, id: id, owner: owner, wake: make(chan struct{}, 1)}
}

// Next returns the next event, and a Progress event when there is none for
// ProgressInterval. It returns io.EOF after the event that ended the attempt or
// after the state of an attempt that has no further events, ErrStopped when the
// service has stopped, and the context's error when ctx ends first.
func (a *AttemptStream) Next(ctx context.Context) (state.AttemptEvent, error) {
	if e, err := a.tryNext(); e != nil || err != nil {
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
			// The first event is the state of the attempt, so no Progress event
			// may precede it.
			if a.started {
				return &state.Progress{}, nil
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.service.stopped:
			if e, err := a.tryNext(); e != nil || err != nil {
				return e, err
			}
			return nil, ErrStopped
		}
		if e, err := a.tryNext(); e != nil || err != nil {
			return e, err
		}
	}
}

// tryNext returns the next event without waiting. Both results are nil when
// there is none yet.
func (a *AttemptStream) tryNext() (state.AttemptEvent, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended.Load() {
		return nil, io.EOF
	}
	if len(a.initial) > 0 {
		e := a.initial[0]
		a.initial = a.initial[1:]
		a.started = true
		return e, nil
	}
	if a.events == nil {
		if !a.bound {
			return nil, nil
		}
		a.ended.Store(true)
		return nil, io.EOF
	}
	e := a.events.next(&a.cursor)
	if e == nil {
		return nil, nil
	}
	a.started = true
	switch e.(type) {
	case *state.Done, *state.Refused, *state.Failed:
		a.ended.Store(true)
	}
	return e, nil
}

// Withdraw refuses the attempt if it is still queued.
func (a *AttemptStream) Withdraw() { a.service.post(func() { a.service.withdraw(a) }) }

// Cancel ends the attempt, whether it is queued or running.
func (a *AttemptStream) Cancel() { a.service.post(func() { a.service.cancel(a) }) }

// Ack reports that the entry has received the whole response.
func (a *AttemptStream) Ack() { a.service.post(func() { a.service.ack(a) }) }

// Detach reports that nobody reads the stream any more. The attempt continues.
func (a *AttemptStream) Detach() { a.service.post(func() { a.service.detach(a) }) }

// bind sets the events that the stream returns: the initial ones, then those of
// b with chunks from offset on. b may be nil. With skipStage the current stage
// is not returned.
func (a *AttemptStream) bind(b *eventBuffer, offset uint64, skipStage bool, initial ...state.AttemptEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bound = true
	a.initial = initial
	if b != nil {
		a.events = b
		a.cursor = b.addReader(a, offset, skipStage)
	}
	a.notify()
}

// notify wakes Next so that it looks for new events.
func (a *AttemptStream) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
