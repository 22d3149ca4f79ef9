package gateway

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// goOnAfter answers as a target does that goes on after the event which the caller has.
func goOnAfter(_ context.Context, f *Forward) (Exchange, error) {
	n, _ := strconv.Atoi(f.ResumeAfter) // 0 if the caller has none
	rest := events[strings.Index(events+fmt.Sprintf("id: %d", 4), fmt.Sprintf("id: %d", n+1)):]
	return respondWith(200, rest)(context.Background(), f)
}

// Guards against an event that is missing or comes twice, and against an end before the last event,
// if an event or the end of a stream and a timer are due at the same moment, as after a pause of the
// process in which both came due. Their order is random, so that each case is tried often.
func TestEventAndTimerThatAreDueTogether(t *testing.T) {
	const repetitions = 100
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	gap := max(minEventGapTimeout, time.Duration(eventGapTimeoutFactor*float64(longRoute().Routes[0].Gap)))
	withdrawn := func(x withdrawnExchange) behaviour {
		return func(ctx context.Context, _ *Forward) (Exchange, error) {
			x := x
			x.head = &state.Response{Status: 200, HasSignature: true}
			x.ctx, x.pieces, x.asked = ctx, []string{first, rest}, make(chan struct{})
			return &x, nil
		}
	}
	for _, c := range []struct {
		name   string
		first  behaviour
		limit  time.Duration // of the caller
		mayEnd bool          // the stream may end as broken off
	}{
		{"rest when the target has stalled", stallFor(gap), 9 * time.Second, false},
		{"rest one interval later", stallFor(gap + handOverInterval), 9 * time.Second, false},
		{"rest at the check of a withdrawal", withdrawn(withdrawnExchange{afterwards: withdrawTime, reached: true}), 9 * time.Second, false},
		{"rest at the check of a withdrawal, host not reached", withdrawn(withdrawnExchange{afterwards: withdrawTime}), 9 * time.Second, false},
		{"break at the check of a withdrawal", withdrawn(withdrawnExchange{afterwards: withdrawTime, end: io.ErrUnexpectedEOF, reached: true}), 9 * time.Second, false},
		{"end at the check of a withdrawal", withdrawn(withdrawnExchange{afterwards: withdrawTime, end: io.EOF, reached: true}), 9 * time.Second, false},
		{"end at the check of a withdrawal, host not reached", withdrawn(withdrawnExchange{afterwards: withdrawTime, end: io.EOF}), 9 * time.Second, false},
		{"rest and end at the deadline", stallFor(900 * time.Millisecond), 900 * time.Millisecond, true},
		{"rest and end when the deadline is acted on", stallFor(900*time.Millisecond + deadlineSlack), 900 * time.Millisecond, true},
		{"end at the check of a withdrawal and the deadline", withdrawn(withdrawnExchange{afterwards: withdrawTime, end: io.EOF, reached: true}), gap + withdrawTime, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			complete := 0
			for range repetitions {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{behaviours: []behaviour{c.first, goOnAfter}}
					s := newService(targets)
					s.SetConfiguration(longRoute())
					out := &recordingResponder{}
					call := resumableCall()
					call.Timeout, call.HasTimeout = c.limit, true
					s.Serve(t.Context(), call, time.Now(), out)
					body := out.body.String()
					switch {
					case out.ended && body == events:
						complete++
					case out.ended, !c.mayEnd, !strings.HasPrefix(events, body):
						t.Errorf("ended %t, aborted %t after %q with %q", out.ended, out.aborted, targets.resumePoints(), body)
					}
					if n := s.cfg.Scheduler.Waiting("s"); n != 0 {
						t.Errorf("%d requests wait", n)
					}
				})
			}
			t.Logf("%d of %d streams are complete", complete, repetitions)
		})
	}
}
