package upstream

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// startRelayedTarget starts a target that ends in the given way, behind a relay if relayed, and a gateway
// to it.
func startRelayedTarget(t *testing.T, ending string, relayed bool) (*endingTarget, *gateway.Service) {
	t.Helper()
	var target *endingTarget
	address := ""
	if relayed {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		address = ln.Addr().String()
		target = startNamedTarget(t, ending, address)
		relay := &emulator.Relay{}
		relay.SetTarget(target.address)
		go relay.Serve(ln)
	} else {
		target = startEndingTarget(t, ending)
		address = target.address
	}
	g := newGateway(New(), []string{address})
	config := withHealthPath(g.Configuration())
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Timeout = 10 * time.Second // streams take several times as long on a busy machine
	}
	g.SetConfiguration(config)
	return target, g
}

// relayCases calls check for each kind of route and of connections.
func relayCases(t *testing.T, check func(t *testing.T, route string, hasIdle bool)) {
	for _, route := range []string{"stream", "resume"} {
		for _, hasIdle := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idle connections %t", route, hasIdle), func(t *testing.T) { check(t, route, hasIdle) })
		}
	}
}

// checkRelayedStreamsAreComplete checks that whole streams of a target that shuts down and finishes them
// are complete. There is no other target, so that one that is to be resumed is broken off. The first two
// end while others go on for 300 ms and more, the last two more than 300 ms after the first, so that
// what is known by then decides each of them.
func checkRelayedStreamsAreComplete(t *testing.T, route string, hasIdle, relayed bool) {
	lengths := []int{60, 80, 150, 170}
	target, g := startRelayedTarget(t, finishesHandlers, relayed)
	if hasIdle {
		leaveIdleConnections(t, g)
	}
	for i, s := range serveStreams(t, g, route, lengths, target.terminate) {
		if !s.complete || s.events.Load() != int64(lengths[i]) {
			t.Errorf("stream %d: complete %t after %d of %d events", i, s.complete, s.events.Load(), lengths[i])
		}
	}
}

// Guards against whole streams that are broken off, or are to be resumed behind their end, because a relay
// before their target, which shuts down and finishes them, goes on accepting connections.
func TestStreamsOfTargetThatFinishesThemBehindRelayAreComplete(t *testing.T) {
	relayCases(t, func(t *testing.T, route string, hasIdle bool) {
		checkRelayedStreamsAreComplete(t, route, hasIdle, true)
	})
}

// Guards against the same without a relay, which shows that the streams can be told from cut ones.
func TestStreamsOfTargetThatFinishesThemAreComplete(t *testing.T) {
	relayCases(t, func(t *testing.T, route string, hasIdle bool) {
		checkRelayedStreamsAreComplete(t, route, hasIdle, false)
	})
}

// Guards against cut streams that are passed on as complete because a relay before their target, which
// cancels its handlers and ends, goes on accepting connections.
func TestStreamsOfTargetThatCancelsThemBehindRelayAreIncomplete(t *testing.T) {
	relayCases(t, func(t *testing.T, route string, hasIdle bool) {
		for _, lengths := range [][]int{{300, 300, 300, 300}, {300}} {
			target, g := startRelayedTarget(t, cancelsHandlers, true)
			if hasIdle {
				leaveIdleConnections(t, g)
			}
			for i, s := range serveStreams(t, g, route, lengths, target.terminate) {
				if s.complete {
					t.Errorf("stream %d of %d: complete after %d of %d events", i, len(lengths), s.events.Load(), lengths[i])
				}
			}
		}
	})
}

// Guards against a cut stream that is passed on as complete because a relay, whose idle timeout is shorter than
// the one that the target states, had closed idle connections before: that is no beginning of a shutdown.
func TestIdleTimeoutOfRelayIsNoShutdown(t *testing.T) {
	for _, route := range []string{"stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			target, g := startRelayedTarget(t, closesIdleEarlyThenCancels, true)
			terminate := func() {
				time.Sleep(20*endingEventGap + 4*endingIdleTime) // until the short streams' connections are closed
				target.terminate()
			}
			streams := serveStreams(t, g, route, []int{20, 20, 20, 20, 1000}, terminate)
			if s := streams[4]; s.complete {
				t.Errorf("complete after %d of 1000 events", s.events.Load())
			}
		})
	}
}
