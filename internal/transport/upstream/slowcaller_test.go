package upstream

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// stallingCaller is a responder whose caller does not read for a while once stalls is set.
type stallingCaller struct {
	eventCount
	stalls atomic.Bool
}

func (c *stallingCaller) WriteEvent(b []byte) error {
	if c.stalls.Load() {
		time.Sleep(200 * time.Millisecond)
	}
	return c.eventCount.WriteEvent(b)
}

// Guards against cut streams that are passed on as complete because another one, whose end has arrived too
// but is not read while its caller is slow, seems to go on.
func TestUnreadEndOfSlowCallerDoesNotHideOthers(t *testing.T) {
	target := startEndingTarget(t, cancelsAndCleansUp)
	g := newGateway(New(), []string{target.address})
	slow := &stallingCaller{}
	call := &state.Call{ID: "slow", Method: http.MethodPost, URI: "/stream/300", Host: "h", Path: "/stream/300"}
	call.Header = []state.HeaderField{{Name: "Request-Id", Value: string(call.ID)}}
	var callers sync.WaitGroup
	callers.Go(func() { g.Serve(t.Context(), call, time.Now(), slow) })
	for slow.events.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	streams := serveStreams(t, g, "stream", []int{300, 300}, func() {
		slow.stalls.Store(true)
		time.Sleep(50 * time.Millisecond) // it writes to its caller now
		target.process.Process.Signal(syscall.SIGTERM)
	})
	callers.Wait()
	for i, s := range append(streams, &slow.eventCount) {
		if s.complete {
			t.Errorf("%s: complete after %d of 300 events", fmt.Sprint("stream ", i), s.events.Load())
		}
	}
}
