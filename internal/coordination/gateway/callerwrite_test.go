package gateway

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// failingResponder fails to write one event, as a connection does whose write deadline has passed.
type failingResponder struct {
	recordingResponder
	left int // events until then
}

func (r *failingResponder) WriteEvent(b []byte) error {
	if r.left--; r.left == 0 {
		return os.ErrDeadlineExceeded
	}
	return r.recordingResponder.WriteEvent(b)
}

// Guards against a stream that goes on at another target, without an event, after a write to the
// caller has failed.
func TestFailedWriteToCallerEndsTheStream(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed int
		want   string
	}{
		{"first event", 1, ""},
		{"later event", 2, events[:strings.Index(events, "id: 2")]},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rest := events[strings.Index(events, "id: 3"):]
				targets := &fakeTargetClient{behaviours: []behaviour{respondWith(200, events), respondWith(200, rest)}}
				out := &failingResponder{left: c.failed}
				newService(targets).Serve(t.Context(), resumableCall(), time.Now(), out)
				if len(targets.sends) != 1 || out.ended || !out.aborted || out.body.String() != c.want {
					t.Errorf("ended %t, aborted %t after %d sends with %q; want aborted after 1 with %q", out.ended, out.aborted, len(targets.sends), out.body.String(), c.want)
				}
			})
		})
	}
}
