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
func (st *AttemptStream) Next(ctx context.Context) (state.AttemptEvent, error) {
	if e, err := st.tryNext(); e != nil || err != nil {
		return e, err
	}
	if st.timer == nil {
		st.timer = time.NewTimer(ProgressInterval)
	} else {
		st.timer.Reset(ProgressInterval)
	}
	defer st.timer.Stop()
	for {
		select {
		case <-st.wake:
		case <-st.timer.C:
			// The first event is the state of the attempt, so no Progress event
			// may precede it.
			if st.started {
				return &state.Progress{}, nil
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-st.service.stopped:
			if e, err := st.tryNext(); e != nil || err != nil {
				return e, err
			}
			return nil, ErrStopped
		}
		if e, err := st.tryNext(); e != nil || err != nil {
			return e, err
		}
	}
}

// tryNext returns the next event without waiting. Both results are nil when
// there is none yet.
func (st *AttemptStream) tryNext() (state.AttemptEvent, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended.Load() {
		return nil, io.EOF
	}
	if len(st.initial) > 0 {
		e := st.initial[0]
		st.initial = st.initial[1:]
		st.started = true
		return e, nil
	}
	if st.events == nil {
		if !st.bound {
			return nil, nil
		}
		st.ended.Store(true)
		return nil, io.EOF
	}
	e := st.events.next(&st.cursor)
	if e == nil {
		return nil, nil
	}
	st.started = true
	switch e.(type) {
	case *state.Done, *state.Refused, *state.Failed:
		st.ended.Store(true)
	}
	return e, nil
}

// Withdraw refuses the attempt if it is still queued.
func (st *AttemptStream) Withdraw() { st.service.post(func() { st.service.withdraw(st) }) }

// Cancel ends the attempt, whether it is queued or running.
func (st *AttemptStream) Cancel() { st.service.post(func() { st.service.cancel(st) }) }

// Ack reports that the entry has received the whole response.
func (st *AttemptStream) Ack() { st.service.post(func() { st.service.ack(st) }) }

// Detach reports that nobody reads the stream any more. The attempt continues.
func (st *AttemptStream) Detach() { st.service.post(func() { st.service.detach(st) }) }

// bind sets the events that the stream returns: the initial ones, then those of
// b with chunks from offset on. b may be nil. With skipStage the current stage
// is not returned.
func (st *AttemptStream) bind(b *eventBuffer, offset uint64, skipStage bool, initial ...state.AttemptEvent) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.bound = true
	st.initial = initial
	if b != nil {
		st.events = b
		st.cursor = b.addReader(st, offset, skipStage)
	}
	st.notify()
}

// notify wakes Next so that it looks for new events.
func (st *AttemptStream) notify() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}
