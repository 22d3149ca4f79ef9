package quicsession

import (
	"context"
	"io"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// attemptStream is the entry's end of an attempt stream. It implements
// entry.AttemptStream.
type attemptStream struct {
	session   *session
	stream    *quic.Stream
	commands  sender                  // for Withdraw, Cancel and Ack
	events    chan state.AttemptEvent // read ahead; closed when the stream ends
	closed    chan struct{}           // closed by Close
	closeOnce sync.Once
	ended     bool // Next has returned the event that ended the attempt
	late      int  // events that Next has returned in a row after its context had ended
}

// readEvents passes the events received to Next until the stream or the session ends
// or Close is called.
func (a *attemptStream) readEvents() {
	defer close(a.events)
	in := attemptTraffic.countReceived(a.stream)
	for {
		m, err := protocol.Read(in)
		if err != nil {
			return
		}
		attemptTraffic.messagesReceived.Add(1)
		a.session.recordReceived()
		event, ok := m.(state.AttemptEvent)
		if !ok {
			return
		}
		select {
		case a.events <- event:
		case <-a.closed:
			return
		case <-a.session.ctx.Done():
			return
		}
	}
}

// Next implements entry.AttemptStream. What had been received when ctx ended still counts: it may be the
// end of the response. The number of such events is bounded, because the target may go on sending.
func (a *attemptStream) Next(ctx context.Context) (state.AttemptEvent, error) {
	if a.ended {
		return nil, io.EOF
	}
	if ctx.Err() == nil {
		a.late = 0
		select {
		case event, ok := <-a.events:
			return a.take(event, ok)
		case <-ctx.Done():
		}
	}
	if a.late < maxEventsReadAhead {
		select {
		case event, ok := <-a.events:
			a.late++
			return a.take(event, ok)
		default:
		}
	}
	return nil, ctx.Err()
}

// take returns what was received from the events. ok is false if they have ended.
func (a *attemptStream) take(event state.AttemptEvent, ok bool) (state.AttemptEvent, error) {
	if !ok {
		return nil, entry.ErrSessionLost
	}
	a.ended = endsAttempt(event)
	return event, nil
}

// Withdraw implements entry.AttemptStream.
func (a *attemptStream) Withdraw() error { return a.commands.send(&state.Withdraw{}) }

// Cancel implements entry.AttemptStream.
func (a *attemptStream) Cancel() error { return a.commands.send(&state.Cancel{}) }

// Ack implements entry.AttemptStream.
func (a *attemptStream) Ack() error { return a.commands.send(&state.Ack{}) }

// Close implements entry.AttemptStream.
func (a *attemptStream) Close() {
	a.closeOnce.Do(func() {
		close(a.closed)
		a.stream.CancelRead(0)
		a.stream.Close()
		if a.session.openStreams.Add(-1) == 0 {
			a.session.recordActivityChange()
		}
	})
}

// endsAttempt reports whether event is the last one of its attempt.
func endsAttempt(event state.AttemptEvent) bool {
	switch event.(type) {
	case *state.Done, *state.Refused, *state.Failed:
		return true
	}
	return false
}
