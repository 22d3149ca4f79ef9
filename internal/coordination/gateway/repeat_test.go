package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// The operator publishes a configuration while a request is in progress. Guards against a
// request that runs again, or at more targets, although the configuration that is in effect by
// then forbids it.
func TestRepeatedRunIsAllowedByTheConfigurationInEffect(t *testing.T) {
	once := func(name, prefix string) state.Route {
		return route(name, prefix, state.NonIdempotentRoute, false, 1)
	}
	for _, c := range []struct {
		name, path string
		changed    []state.Route
		sends      int
	}{
		{"still idempotent", "/plain/x", []state.Route{route("plain", "/plain/", state.IdempotentRoute, false, 2)}, 2},
		{"no longer idempotent", "/plain/x", []state.Route{once("plain", "/plain/")}, 1},
		{"longer prefix", "/plain/x", []state.Route{route("plain", "/plain/", state.IdempotentRoute, false, 2), once("x", "/plain/x")}, 1},
		{"fewer attempts", "/plain/x", []state.Route{route("plain", "/plain/", state.IdempotentRoute, false, 1)}, 1},
		{"route dropped", "/plain/x", nil, 2},
		{"no longer resumable", "/resume/x", []state.Route{route("resume", "/resume/", state.StreamingRoute, false, 2)}, 1},
		{"became idempotent", "/once/x", []state.Route{route("once", "/once/", state.IdempotentRoute, false, 2)}, 1},
	} {
		for _, afterDecision := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, after the decision to send again: %t", c.name, afterDecision), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{}
					s := newService(targets)
					publish := func() {
						s.SetConfiguration(&state.Configuration{Version: 4, Routes: c.changed, Customers: testConfig.Customers})
					}
					reset := connectionReset
					if afterDecision {
						// The retry budget is asked once the request may be sent again.
						s.cfg.RetrySlack = func() float64 { publish(); return 5 }
					} else {
						reset = func(ctx context.Context, f *Forward) (Exchange, error) { publish(); return connectionReset(ctx, f) }
					}
					targets.behaviours = []behaviour{reset, respondWith(200, "ok")}
					out := &recordingResponder{}
					s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: c.path, APIKey: "key"}, time.Now(), out)
					if len(targets.sends) != c.sends {
						t.Errorf("%d sends, want %d", len(targets.sends), c.sends)
					}
					if out.failure.Kind == NotRun {
						t.Errorf("failure %+v of a request that may have run", out.failure)
					}
				})
			})
		}
	}
}
