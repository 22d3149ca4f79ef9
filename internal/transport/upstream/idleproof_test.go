package upstream

import (
	"syscall"
	"testing"
)

// Guards against cancelled streams that are passed on as complete because their target, which has
// closed its listener and is about to exit, still answers on a connection that was idle.
func TestAnswerOnIdleConnectionDoesNotProveStreams(t *testing.T) {
	for _, hasIdle := range []bool{false, true} {
		target := startEndingTarget(t, cancelsAndCleansUp)
		g := newGateway(New(), []string{target.address})
		lengths := []int{300, 300}
		if hasIdle {
			leaveIdleConnections(t, g) // of which the streams take two
		}
		for i, s := range serveStreams(t, g, "stream", lengths, func() { target.process.Process.Signal(syscall.SIGTERM) }) {
			if s.complete {
				t.Errorf("idle connection %t, stream %d: complete after %d of 300 events", hasIdle, i, s.events.Load())
			}
		}
	}
}
