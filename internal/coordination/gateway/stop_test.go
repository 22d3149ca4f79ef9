package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// notConnected fails before the request was sent when the request is cancelled.
func notConnected(ctx context.Context, _ *Forward) (Exchange, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
}

// serveUntilStopped serves one call, which EndRequests ends after 500 ms.
func serveUntilStopped(t *testing.T, call *state.Call, next ...behaviour) (*recordingResponder, *Service) {
	t.Helper()
	out := &recordingResponder{}
	var s *Service
	synctest.Test(t, func(t *testing.T) {
		s = newService(&fakeTargetClient{behaviours: next})
		time.AfterFunc(500*time.Millisecond, s.EndRequests)
		s.Serve(t.Context(), call, time.Now(), out)
	})
	return out, s
}

// Guards against a wrong answer to a request that the end of a planned stop ends: "not run"
// for one that was sent, "unknown" for one that was not, a failure in place of the response of
// a target, or a stream that looks complete.
func TestRequestsEndedByAPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name, path string
		next       []behaviour
		want       FailureKind // 0: no failure of the entry
		status     int
		aborted    bool
	}{
		{"waits for a connection", "/once/x", []behaviour{notConnected}, NotRun, 0, false},
		{"was sent", "/once/x", []behaviour{silentTarget}, UnknownOutcome, 0, false},
		{"was sent twice", "/plain/x", []behaviour{connectionReset, silentTarget}, UnknownOutcome, 0, false},
		{"has a failure of a target", "/plain/x", []behaviour{respondWith(500, "no"), notConnected}, 0, 500, false},
		{"stream without an event", "/stream/x", []behaviour{silentTarget}, UnknownOutcome, 0, false},
		{"stream has begun", "/stream/x", []behaviour{inPieces(100*time.Millisecond, true, "id: 1\ndata: a\n\n")}, 0, 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, s := serveUntilStopped(t, &state.Call{ID: "r", Host: "h", Path: c.path, APIKey: "key"}, c.next...)
			if out.failure.Kind != c.want || out.status != c.status || out.aborted != c.aborted {
				t.Errorf("failure %+v, status %d, aborted %t; want kind %v, status %d, aborted %t", out.failure, out.status, out.aborted, c.want, c.status, c.aborted)
			}
			if n := s.cfg.Counters.counts["attempt.silent"] + s.cfg.Counters.counts["attempt.unreachable"] + s.cfg.Counters.counts["caller_left"]; n > 0 {
				t.Errorf("counters %v; the target or the caller is blamed for the stop", s.cfg.Counters.counts)
			}
		})
	}
}

// Guards against a planned stop that sends a request whose largest output takes longer than
// the stop, or that refuses one which ends before.
func TestPlannedStopGoesByTheLargestOutput(t *testing.T) {
	for tokens, want := range map[int]FailureKind{10: 0, 1000: NotRun} {
		synctest.Test(t, func(t *testing.T) {
			out := &recordingResponder{}
			s := newService(&fakeTargetClient{behaviours: []behaviour{respondWith(200, "ok")}})
			s.StopBy(time.Now().Add(4 * time.Second))
			s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/once/x", APIKey: "key", HasTokenCounts: true, MaxOutputTokens: tokens}, time.Now(), out)
			if out.failure.Kind != want || want == NotRun && (out.failure.Reason != "stopping" || out.failure.RetryAfter == 0) {
				t.Errorf("up to %d tokens: failure %+v; want %v", tokens, out.failure, want)
			}
		})
	}
}

// Guards against a planned stop that refuses to continue a stream elsewhere although its
// caller already has the beginning.
func TestPlannedStopContinuesStreamsThatHaveBegun(t *testing.T) {
	out := &recordingResponder{}
	synctest.Test(t, func(t *testing.T) {
		var s *Service
		breaksDuringStop := func(ctx context.Context, f *Forward) (Exchange, error) {
			s.StopBy(time.Now())
			return truncated("id: 1\ndata: a\n\n")(ctx, f)
		}
		s = newService(&fakeTargetClient{behaviours: []behaviour{breaksDuringStop, respondWith(200, "id: 2\ndata: b\n\n")}})
		s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/resume/x", APIKey: "key"}, time.Now(), out)
	})
	if !out.ended || out.body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("ended %t, failure %+v, body %q; want the whole stream", out.ended, out.failure, out.body.String())
	}
}
