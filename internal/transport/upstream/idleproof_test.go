package upstream

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against cancelled streams that are passed on as complete because their target, which has
// closed its listener and is about to exit, still answers on a connection that was idle.
func TestAnswerOnIdleConnectionDoesNotProveStreams(t *testing.T) {
	if ending := os.Getenv(endingVariable); ending != "" {
		serveEndingForm(t, ending)
		return
	}
	for _, hasIdle := range []bool{false, true} {
		target := startEndingTarget(t, cancelsAndCleansUp)
		g := newGateway(New(), []string{target.address})
		for i, s := range serveStreams(t, g, "stream", []int{300, 300, 300, 300}, func() {
			if hasIdle {
				serveEmptyCall(t, g)
			}
			target.process.Process.Signal(syscall.SIGTERM)
		}) {
			if s.complete {
				t.Errorf("idle connection %t, stream %d: complete after %d of 300 events", hasIdle, i, s.events.Load())
			}
		}
	}
}

// serveEmptyCall serves a call whose connection is idle then.
func serveEmptyCall(t *testing.T, g *gateway.Service) {
	t.Helper()
	out := &outcome{}
	call := &state.Call{ID: "idle", Method: http.MethodPost, URI: "/plain/0", Host: "h", Path: "/plain/0"}
	call.Header = []state.HeaderField{{Name: "Request-Id", Value: string(call.ID)}}
	g.Serve(t.Context(), call, time.Now(), out)
	if out.status != http.StatusOK {
		t.Errorf("call before the end: %+v", out)
	}
}
