package quicsession

import (
	"context"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a whole response that is thrown away at the deadline, or at the end of a planned stop,
// although its end had been received before: the entry does not ask for events while it writes to a slow
// caller, or while it is paused.
func TestEndReceivedBeforeTheDeadlineCounts(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 64 { // a select between both would take either
		a := &attemptStream{events: make(chan state.AttemptEvent, 1)}
		a.events <- &state.Done{Chunks: 3}
		if event, err := a.Next(ctx); err != nil {
			t.Fatalf("event %v, error %v; want the end that was received", event, err)
		}
	}
	a := &attemptStream{events: make(chan state.AttemptEvent, 1)}
	for n, err := 0, error(nil); err == nil; n++ {
		if n > maxEventsReadAhead {
			t.Fatal("a target that goes on sending is listened to without a bound")
		}
		a.events <- &state.Chunk{Offset: uint64(n)}
		_, err = a.Next(ctx)
	}
}
