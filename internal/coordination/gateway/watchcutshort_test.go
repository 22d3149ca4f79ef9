package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// openExchange has a connection that stays open until the entry closes it, as it does when ctx ends.
type openExchange struct {
	*fakeExchange
	ctx context.Context
}

func (e openExchange) StaysOpen(wait time.Duration) bool {
	select {
	case <-e.ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// Guards against whole responses that are broken off because their time limit ends while the connection behind
// them is watched: the entry closes it then, which says nothing of the target.
func TestCloseAtTheTimeLimitIsNoDoubt(t *testing.T) {
	for _, c := range []struct{ name, path, body string }{
		{"stream", "/stream/x", events}, {"stream that may be resumed", "/resume/x", events}, {"plain answer", "/once/x", "whole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets := &recordingResponder{}, &fakeTargetClient{liveness: map[state.TargetID]Liveness{}}
			synctest.Test(t, func(t *testing.T) {
				targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
					targets.liveness[f.Target.ID] = Unproved
					time.Sleep(990 * time.Millisecond)
					return openExchange{&fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: strings.NewReader(c.body), receivedAt: time.Now()}, ctx}, nil
				}}
				newService(targets).Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: c.path, APIKey: "key", HasTimeout: true, Timeout: time.Second}, time.Now(), out)
			})
			if len(targets.sends) != 1 || out.aborted || out.failure != (Failure{}) || out.body.String() != c.body {
				t.Errorf("aborted %t after %d sends with %q, failure %+v; want the whole response after 1", out.aborted, len(targets.sends), out.body.String(), out.failure)
			}
		})
	}
}
