package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
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

// ejectionObserver counts targets that return from an ejection.
type ejectionObserver struct {
	noObserver
	ejected, returned int
}

func (o *ejectionObserver) TargetEjected(state.TargetID, state.Service, dispatch.Outcome, time.Duration) {
	o.ejected++
}
func (o *ejectionObserver) TargetReturned(state.TargetID, state.Service) { o.returned++ }

// Guards against a target that has ended and is chosen again at once, because the slot of a stream
// that ended with it is released as served before the end of the stream is checked.
func TestStreamThatEndedWithItsTargetIsNotServed(t *testing.T) {
	for _, closes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			body, target := io.Pipe()
			s := newService(&fakeTargetClient{behaviours: []behaviour{func(context.Context, *Forward) (Exchange, error) {
				head := &state.Response{Status: 200, HasSignature: true, EndsWithConnection: !closes}
				return &fakeExchange{head: head, Reader: body, closes: true, thenNotRunning: true, liveness: Ended}, nil
			}}})
			observer := &ejectionObserver{}
			s.cfg.Scheduler = dispatch.New("a", 1, time.Now, observer, ratelimit.New(ratelimit.Config{Self: "self"}))
			s.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "t1", Slots: 4}})
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/stream/x", APIKey: "key"}, time.Now(), &recordingResponder{})
			}()
			io.WriteString(target, "id: 1\ndata: x\n\n")
			other, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
			if err != nil {
				t.Fatal(err)
			}
			s.cfg.Scheduler.Release(other, dispatch.Unreachable)
			target.Close()
			<-done
			if observer.ejected != 1 || observer.returned != 0 {
				t.Errorf("in chunks %t: ejected %d times, returned %d times; want 1, 0", closes, observer.ejected, observer.returned)
			}
		})
	}
}
