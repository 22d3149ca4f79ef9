package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against whole responses of streaming routes that are broken off because their target ends,
// although they cannot have a body, so that their end is known from their head.
func TestResponseOfStreamingRouteWithoutBodyIsWhole(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	noBody := func(status int) behaviour {
		return func(context.Context, *Forward) (Exchange, error) {
			head := &state.Response{Status: status, HasSignature: true, HasLength: true}
			return &fakeExchange{head: head, Reader: strings.NewReader(""), closes: true, thenNotRunning: true, liveness: Ended}, nil
		}
	}
	for _, c := range []struct {
		name, method, path string
		next               []behaviour
		want               string
	}{
		{"status 204", http.MethodPost, "/stream/x", []behaviour{noBody(204)}, ""},
		{"HEAD", http.MethodHead, "/stream/x", []behaviour{noBody(200)}, ""},
		{"status 204 in answer to a resumption", http.MethodPost, "/resume/x", []behaviour{truncated(first), noBody(204)}, first},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &recordingResponder{}
			synctest.Test(t, func(t *testing.T) {
				s := newService(&fakeTargetClient{behaviours: c.next})
				s.Serve(t.Context(), &state.Call{ID: "r", Method: c.method, Host: "h", Path: c.path, APIKey: "key"}, time.Now(), out)
			})
			if !out.ended || out.body.String() != c.want {
				t.Errorf("ended %t, failure %+v, body %q; want the whole response", out.ended, out.failure, out.body.String())
			}
		})
	}
}
