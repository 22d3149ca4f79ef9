package upstream

import (
	"syscall"
	"testing"
	"time"
)

// Guards against a cut stream that is believed because its target has closed idle connections long
// before: it does so at its idle timeout too, which it states only in whole seconds.
func TestIdleTimeoutIsNoShutdown(t *testing.T) {
	for _, route := range []string{"stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			target := startEndingTarget(t, closesIdleThenCancels)
			g := newGateway(New(), []string{target.address})
			leaveIdleConnections(t, g) // the stream takes one, and the target closes the others during it
			s := serveStreams(t, g, route, []int{300}, func() {
				time.Sleep(5 * endingIdleTime)
				target.process.Process.Signal(syscall.SIGTERM)
			})[0]
			if s.complete {
				t.Errorf("complete after %d of 300 events", s.events.Load())
			}
		})
	}
}
