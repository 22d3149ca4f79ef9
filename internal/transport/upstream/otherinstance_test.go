package upstream

import (
	"testing"
	"time"
)

// Guards against a cut stream that is believed because an earlier target at the same address has closed
// idle connections, which came to the pool after the entry had closed those of the removed target.
func TestIdleConnectionsOfEarlierTargetSayNothing(t *testing.T) {
	target := startEndingTarget(t, finishesHandlers)
	client := New()
	g := newGateway(client, []string{target.address})
	serveStreams(t, g, "stream", []int{20}, func() { client.RetireIdle(target.address) }) // as at its removal from the list
	target.process.Process.Kill()
	target.process.Wait() // an error says that it was killed
	time.Sleep(100 * time.Millisecond)
	if seen := g.TargetSeen("the next one", target.address); seen.Refusing > 0 {
		t.Errorf("the next target at the address is told as refusing connections for %s", seen.Refusing)
	}
}

// Guards against a whole stream that is broken off because its target, which shuts down and finishes it, was
// removed from the list before: the close of idle connections shows when the shutdown began.
func TestStreamOfRemovedTargetThatFinishesItIsComplete(t *testing.T) {
	target, client := startEndingTarget(t, finishesHandlers), New()
	g := newGateway(client, []string{target.address})
	leaveIdleConnections(t, g)
	s := serveStreams(t, g, "stream", []int{80}, func() {
		client.RetireIdle(target.address) // as at its removal
		target.terminate()
	})[0]
	if !s.complete || s.events.Load() != 80 {
		t.Errorf("complete %t after %d of 80 events", s.complete, s.events.Load())
	}
}
