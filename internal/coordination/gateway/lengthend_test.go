package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a whole response with a stated length that is thrown away because it ends at the time
// limit, and against an empty one that is passed on there: HTTP servers state a length of 0 if a handler
// returns at its limit without having written anything.
func TestLengthShowsTheEndAtTheTimeLimit(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		whole                    bool
	}{
		{"stream", "POST", "/stream/x", events, 200, true},
		{"plain", "POST", "/once/x", "whole", 200, true},
		{"plain, empty", "POST", "/once/x", "", 200, false},
		{"plain, HEAD", "HEAD", "/once/x", "", 200, true},
		{"plain, status 204", "POST", "/once/x", "", 204, true},
		{"stream, empty", "POST", "/stream/x", "", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: []behaviour{func(_ context.Context, f *Forward) (Exchange, error) {
				limit := time.Now().Add(f.TimeLeft.Truncate(timeLimitUnit)) // what the target is told
				return &fakeExchange{head: &state.Response{Status: c.status, HasSignature: true, HasLength: true}, Reader: io.MultiReader(strings.NewReader(c.body), readerFunc(func([]byte) (int, error) {
					time.Sleep(time.Until(limit))
					return 0, io.EOF
				}))}, nil
			}}}
			synctest.Test(t, func(t *testing.T) {
				newService(targets).Serve(t.Context(), &state.Call{ID: "r", Method: c.method, Host: "h", Path: c.path, APIKey: "key"}, time.Now(), out)
			})
			if out.ended != c.whole || len(targets.sends) != 1 {
				t.Errorf("ended %t after %d sends, failure %+v; want ended %t after 1", out.ended, len(targets.sends), out.failure, c.whole)
			}
		})
	}
}
