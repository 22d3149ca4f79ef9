package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// pieceReader returns one piece a read, each after a pause, and then fails when its context
// ends. It repeats the last piece if repeat is set.
type pieceReader struct {
	ctx    context.Context
	pause  time.Duration
	pieces []string
	repeat bool
}

func (r *pieceReader) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(r.pause):
	}
	n := copy(p, r.pieces[0])
	if len(r.pieces) > 1 || !r.repeat {
		r.pieces = r.pieces[1:]
	}
	return n, nil
}

// inPieces answers with a signed stream in pieces, with a pause before each.
func inPieces(pause time.Duration, repeat bool, pieces ...string) behaviour {
	return func(ctx context.Context, _ *Forward) (Exchange, error) {
		head := &state.Response{Status: 200, HasSignature: true}
		return &fakeExchange{head: head, Reader: &pieceReader{ctx: ctx, pause: pause, pieces: pieces, repeat: repeat}}, nil
	}
}

// Guards against a stalled stream that holds its request until the deadline because the
// target sends a comment now and then, although another target could go on with it.
func TestStalledStreamWithCommentsGoesOnElsewhere(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	for _, c := range []struct {
		name   string
		pieces []string
	}{
		{"after the first event", []string{first, ": alive\n\n"}},
		{"parts of an event", []string{first, "id: 2\n", "data: ", "x"}},
	} {
		out, targets := serveCall(t, "/resume/x", inPieces(200*time.Millisecond, true, c.pieces...), respondWith(200, rest))
		if !out.ended || len(targets.sends) != 2 || !strings.HasSuffix(out.body.String(), rest) {
			t.Errorf("%s: ended %t after %d sends with %q, want the rest of the events from another target", c.name, out.ended, len(targets.sends), out.body.String())
		}
	}
}

// Guards against cutting a slow stream whose events come within the longest pause that the
// users accept.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		var pieces []string
		for rest := events; rest != ""; {
			end := strings.Index(rest, "\n\n") + 2
			pieces, rest = append(pieces, rest[:end]), rest[end:]
		}
		out, targets := serveCall(t, path, inPieces(240*time.Millisecond, false, pieces...))
		if !out.ended || len(targets.sends) != 1 || out.body.String() != events {
			t.Errorf("%s: ended %t after %d sends with %q, want all events of one target", path, out.ended, len(targets.sends), out.body.String())
		}
	}
}
