package upstream

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a cut stream that is believed because another entry, which sends the target no more
// requests, tells that the target has closed its idle connections: it does so at its idle timeout too.
func TestIdleTimeoutIsNotToldAsShutdown(t *testing.T) {
	target := startEndingTarget(t, closesIdleThenCancels)
	other := newGateway(New(), []string{target.address})
	g := newAskingGateway(New(), []string{target.address}, func(_ context.Context, id state.TargetID, address string) ([]targetend.Report, error) {
		r := targetend.Report{Earliest: time.Now()}
		r.Seen = other.TargetSeen(id, address)
		r.Latest = time.Now()
		return []targetend.Report{r}, nil
	})
	leaveIdleConnections(t, other)
	s := serveStreams(t, g, "stream", []int{300}, func() {
		time.Sleep(5 * endingIdleTime)
		if seen := other.TargetSeen(state.TargetID(target.address), target.address); seen.Refusing > 0 {
			t.Errorf("a target that serves is told as refusing connections for %s", seen.Refusing)
		}
		target.process.Process.Signal(syscall.SIGTERM)
	})[0]
	if s.complete {
		t.Errorf("complete after %d of 300 events", s.events.Load())
	}
}

// Guards against a cut stream that is believed because another entry tells of idle connections that a relay has
// closed at its own idle timeout, which is shorter than the one that the target states.
func TestIdleTimeoutOfRelayIsNotToldAsShutdown(t *testing.T) {
	target, other := startRelayedTarget(t, closesIdleEarlyThenCancels, true)
	environment := target.process.Env
	address := strings.TrimPrefix(environment[len(environment)-1], instanceVariable+"=") // of the relay
	g := newAskingGateway(New(), []string{address}, func(_ context.Context, id state.TargetID, address string) ([]targetend.Report, error) {
		r := targetend.Report{Earliest: time.Now()}
		r.Seen = other.TargetSeen(id, address)
		r.Latest = time.Now()
		return []targetend.Report{r}, nil
	})
	g.SetConfiguration(withHealthPath(g.Configuration()))
	leaveIdleConnections(t, other)
	s := serveStreams(t, g, "stream", []int{300}, func() {
		time.Sleep(5 * endingIdleTime)
		target.terminate()
	})[0]
	if s.complete {
		t.Errorf("complete after %d of 300 events", s.events.Load())
	}
}
