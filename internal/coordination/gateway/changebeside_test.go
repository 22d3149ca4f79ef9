package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// pauseReader waits, calls do and ends. It fails at the end of its context, as a connection does that is
// closed then.
type pauseReader struct {
	ctx  context.Context
	wait time.Duration
	do   func()
}

func (r pauseReader) Read([]byte) (int, error) {
	pause(r.ctx, r.wait)
	if r.do(); r.ctx.Err() != nil {
		return 0, r.ctx.Err()
	}
	return 0, io.EOF
}

// list returns a function that lists targets of the service "s", which drain or do not.
func list(draining bool, ids ...state.TargetID) func(s *Service) {
	var records []state.TargetRecord
	for _, id := range ids {
		records = append(records, state.TargetRecord{ID: id, Service: "s", Address: string(id), Slots: 4, Draining: draining})
	}
	return func(s *Service) { s.cfg.Scheduler.SetTargets(records) }
}

// Guards against a whole stream of a target that leaves and is broken off because another one ended beside
// it for a reason that is this entry's or its caller's: its time was up, or the caller left.
func TestStreamEndedForTheEntryIsNoEvidence(t *testing.T) {
	const limit, later = 2 * time.Second, 100 * time.Millisecond // the time-out; from the first stream to the second
	for _, c := range []struct {
		name             string
		body, callerTime time.Duration // after which the body of the first stream ends, and its caller leaves
		behind           io.Reader     // the body of the first stream
		ended            time.Duration // after which it ends
	}{
		{"time is up", time.Hour, time.Hour, strings.NewReader(""), limit + deadlineSlack},
		{"broken off at the limit that its target was told", limit, time.Hour, truncatedReader{}, limit},
		{"ended at that limit", limit, time.Hour, strings.NewReader(""), limit},
		{"caller left", time.Hour, time.Second, strings.NewReader(""), time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				send := func(wait time.Duration, behind io.Reader) behaviour {
					return func(ctx context.Context, _ *Forward) (Exchange, error) {
						body := io.MultiReader(strings.NewReader(events), pauseReader{ctx, wait, func() {}}, behind)
						return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: body, thenNotRunning: true, liveness: Leaving}, nil
					}
				}
				s := newService(&fakeTargetClient{behaviours: []behaviour{send(c.body, c.behind), send(c.ended+5*time.Millisecond-later, strings.NewReader(""))}})
				list(false, "t1")(s)
				ctx, cancel := context.WithTimeout(t.Context(), c.callerTime)
				defer cancel()
				call, first, second := &state.Call{ID: "r", Host: "h", Path: "/stream/x", APIKey: "key"}, recordingResponder{}, recordingResponder{}
				go s.Serve(ctx, call, time.Now(), &first)
				time.Sleep(later)
				time.AfterFunc(later, func() { list(false)(s) })
				s.Serve(t.Context(), call, time.Now(), &second)
				synctest.Wait()
				if first.ended || !second.ended || second.aborted {
					t.Errorf("first complete %t, second complete %t, aborted %t; want only the second whole", first.ended, second.ended, second.aborted)
				}
			})
		})
	}
}
