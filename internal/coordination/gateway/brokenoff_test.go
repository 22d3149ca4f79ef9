package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// endingAt is a body that ends at a time.
type endingAt struct {
	io.Reader
	at time.Time
}

func (r endingAt) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		time.Sleep(time.Until(r.at))
	}
	return n, err
}

// Guards against a cut stream that is believed, because its target has refused connections for long,
// although another stream of the target was broken off at the same moment: that is stronger evidence than
// one that ended between two events.
func TestStreamBrokenOffAtTheSameMomentCounts(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	for _, c := range []struct{ name, other string }{
		{"between two events", first},
		{"inside an event", first + "id: 2\ndata: "},
		{"before its first event", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			outs := []*recordingResponder{{}, {}}
			synctest.Test(t, func(t *testing.T) {
				end := time.Now().Add(4 * targetend.CancelTime)
				cut := func(body string) behaviour {
					return func(context.Context, *Forward) (Exchange, error) {
						head := &state.Response{Status: 200, HasSignature: true}
						return &fakeExchange{head: head, Reader: endingAt{strings.NewReader(body), end}, closes: true, thenNotRunning: true, liveness: Ended, receivedAt: end}, nil
					}
				}
				targets := &fakeTargetClient{idleClosedAt: end.Add(-2 * targetend.CancelTime), behaviours: []behaviour{cut(c.other), cut(first)}}
				s := newService(targets)
				s.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: "t1", Service: "s", Address: "t1", Slots: 4}})
				var callers sync.WaitGroup
				for i, out := range outs {
					callers.Go(func() {
						s.Serve(t.Context(), &state.Call{ID: state.RequestID(fmt.Sprint("r", i)), Host: "h", Path: "/stream/x", APIKey: "key"}, time.Now(), out)
					})
					synctest.Wait()
				}
				callers.Wait()
			})
			if outs[1].ended {
				t.Errorf("complete with %q, although another stream was cut at the same moment", outs[1].body.String())
			}
		})
	}
}
