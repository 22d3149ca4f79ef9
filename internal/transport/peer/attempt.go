package peer

import (
	"context"
	"io"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// attemptStream implements entry.AttemptStream.
type attemptStream struct {
	session *session
	stream  *quic.Stream
	out     sender
	events  chan state.AttemptEvent
	done    chan struct{} // closed by Close
	once    sync.Once
	ended   bool // the event that ended the attempt was returned
}

// read passes events on until the stream ends, then closes the channel.
func (a *attemptStream) read() {
	defer close(a.events)
	in := attemptTraffic.reader(a.stream)
	for {
		m, err := protocol.Read(in)
		if err != nil {
			return
		}
		attemptTraffic.messagesReceived.Add(1)
		a.session.touch()
		event, ok := m.(state.AttemptEvent)
		if !ok {
			return
		}
		select {
		case a.events <- event:
		case <-a.done:
			return
		case <-a.session.ctx.Done():
			return
		}
	}
}

// Next implements entry.AttemptStream.
func (a *attemptStream) Next(ctx context.Context) (state.AttemptEvent, error) {
	if a.ended {
		return nil, io.EOF
	}
	select {
	case event, ok := <-a.events:
		if !ok {
			return nil, entry.ErrSessionLost
		}
		a.ended = final(event)
		return event, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Withdraw implements entry.AttemptStream.
func (a *attemptStream) Withdraw() error { return a.out.send(&state.Withdraw{}) }

// Cancel implements entry.AttemptStream.
func (a *attemptStream) Cancel() error { return a.out.send(&state.Cancel{}) }

// Ack implements entry.AttemptStream.
func (a *attemptStream) Ack() error { return a.out.send(&state.Ack{}) }

// Close implements entry.AttemptStream.
func (a *attemptStream) Close() {
	a.once.Do(func() {
		close(a.done)
		a.stream.CancelRead(0)
		a.stream.Close()
		if a.session.streams.Add(-1) == 0 {
			a.session.markUsed()
		}
	})
}

// final reports whether the event ends its attempt.
func final(event state.AttemptEvent) bool {
	switch event.(type) {
	case *state.Done, *state.Refused, *state.Failed:
		return true
	}
	return false
}
