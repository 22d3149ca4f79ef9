package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// shortage fails before the request was sent, because the entry has no descriptor.
func shortage(context.Context, *Forward) (Exchange, error) {
	return nil, fmt.Errorf("%w: %w: socket: too many open files", ErrNotSent, ErrShortage)
}

// shortageInWrite fails after a part of the request was sent, because the entry has no memory
// for its sockets.
func shortageInWrite(context.Context, *Forward) (Exchange, error) {
	return nil, fmt.Errorf("write: %w: no buffer space available", ErrShortage)
}

// Guards against an entry that is short of descriptors and blames its targets for it: they are
// ejected, and the request fails although it has not run and a descriptor is soon free.
func TestShortageIsNotHeldAgainstTargets(t *testing.T) {
	for _, c := range []struct {
		name, path string
		next       []behaviour
		want       FailureKind // 0: no failure of the entry
		status     int
		body       string
	}{
		{"passes", "/once/x", []behaviour{shortage, respondWith(200, "ok")}, 0, 200, "ok"},
		{"passes late", "/once/x", []behaviour{shortage, shortage, shortage, respondWith(200, "ok")}, 0, 200, "ok"},
		{"lasts", "/once/x", []behaviour{shortage, shortage, shortage, shortage, respondWith(200, "ok")}, NotRun, 0, ""},
		{"in a stream", "/resume/x", []behaviour{truncated("id: 1\ndata: a\n\n"), shortage, shortage, respondWith(200, "id: 2\ndata: b\n\n")}, 0, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"in a write, may run once", "/once/x", []behaviour{shortageInWrite, respondWith(200, "ok")}, UnknownOutcome, 0, ""},
		{"in a write, repeatable", "/plain/x", []behaviour{shortageInWrite, respondWith(200, "ok")}, 0, 200, "ok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &recordingResponder{}
				s := newService(&fakeTargetClient{behaviours: c.next})
				s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: c.path, APIKey: "key"}, time.Now(), out)
				if out.failure.Kind != c.want || out.status != c.status || out.body.String() != c.body {
					t.Errorf("failure %+v, status %d, body %q; want kind %v, status %d, body %q", out.failure, out.status, out.body.String(), c.want, c.status, c.body)
				}
				if c.want == NotRun && out.failure.RetryAfter == 0 {
					t.Error("the caller is not told when to try again")
				}
				for id, target := range s.cfg.Scheduler.Summaries() {
					if target.Ejected {
						t.Errorf("target %s is ejected", id)
					}
				}
			})
		})
	}
}
