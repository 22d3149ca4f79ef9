package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against an attempt beside another one that reads fields of the request, or releases its
// slot as served, at the end of a stream without events, while the other attempt begins the response.
// The race detector finds the first.
func TestEmptyStreamBesideStreamThatBegins(t *testing.T) {
	first, rest := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for range 100 {
		var began atomic.Pointer[time.Time]
		stream := func(ctx context.Context, f *Forward) (Exchange, error) {
			now := time.Now()
			began.Store(&now)
			return streamAfter(300*time.Millisecond, first, rest)(ctx, f)
		}
		empty := func(ctx context.Context, _ *Forward) (Exchange, error) {
			time.Sleep(time.Until(began.Load().Add(300 * time.Millisecond))) // when the other stream begins
			return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: strings.NewReader(""), closes: true, thenNotRunning: true, liveness: Ended}, nil
		}
		out, targets, _ := hedgedCall(t, "/resume/x", nil, stream, empty)
		if !out.ended || out.body.String() != first+rest || len(targets.sends) != 2 {
			t.Fatalf("ended %t after %d sends with %q, failure %+v; want the whole stream", out.ended, len(targets.sends), out.body.String(), out.failure)
		}
	}
}
