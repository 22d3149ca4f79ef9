package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a whole stream that is sent to another target, which may make one more event, because
// its target closes the connection behind the end: the entry itself has closed its side, to ask the target
// to abandon the stream, when the end had arrived already.
func TestCloseThatTheEntryAskedForIsNoDoubt(t *testing.T) {
	out := &recordingResponder{}
	targets := &fakeTargetClient{liveness: map[state.TargetID]Liveness{}}
	synctest.Test(t, func(t *testing.T) {
		x := &withdrawnExchange{
			fakeExchange: fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, closes: true}, pieces: []string{events, ""},
			asked: make(chan struct{}), afterwards: 50 * time.Millisecond, end: io.EOF, reached: true,
		}
		targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
			x.ctx, x.receivedAt = ctx, time.Now()
			targets.liveness[f.Target.ID] = Unproved // it is full
			return x, nil
		}, respondWith(200, "id: 4\ndata: x\n\n")}
		s := newService(targets)
		s.SetConfiguration(longRoute())
		s.Serve(t.Context(), resumableCall(), time.Now(), out)
	})
	if len(targets.sends) > 1 || !out.ended || out.body.String() != events {
		t.Errorf("%d sends, ended %t with %q; want the whole stream after 1", len(targets.sends), out.ended, out.body.String())
	}
}
