package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// silentTargetClient answers checks as for targets that are silent for a while.
type silentTargetClient struct {
	fakeTargetClient
	until  time.Time // when the target answers again
	then   Liveness
	checks int
}

func (c *silentTargetClient) CheckRunning(ctx context.Context, _ *state.TargetRecord, _ string) RunCheck {
	const checkTime = 1500 * time.Millisecond
	c.checks++
	answers := min(time.Until(c.until), checkTime)
	select {
	case <-time.After(answers):
	case <-ctx.Done():
		return RunCheck{}
	}
	if answers == checkTime {
		return RunCheck{TimedOut: true}
	}
	return RunCheck{Liveness: c.then, Refused: c.then == Ended}
}

// Guards against a whole stream without length or chunks that is broken off because its target does not
// answer for longer than a check takes, for example because its process is stopped, although nothing
// else can complete the stream and its caller waits.
func TestCheckOfSilentTargetGoesOnWhileTheCallerWaits(t *testing.T) {
	const long = time.Hour
	for _, c := range []struct {
		name   string
		path   string
		silent time.Duration
		then   Liveness
		leaves time.Duration // when the caller leaves
		ended  bool
		body   string
		took   time.Duration
		checks int
	}{
		{"runs after two checks", "/stream/x", 1800 * time.Millisecond, Running, long, true, events, endSettleTime + 1800*time.Millisecond, 2},
		{"has ended after two checks", "/stream/x", 1800 * time.Millisecond, Ended, long, false, events, endSettleTime + 1800*time.Millisecond, 2},
		{"names nobody", "/stream/x", 100 * time.Millisecond, Unproved, long, false, events, endSettleTime + 100*time.Millisecond, 1},
		{"until the deadline", "/stream/x", long, Running, long, false, events, 2*time.Second + deadlineSlack, 2},
		{"until the caller leaves", "/stream/x", long, Running, 1700 * time.Millisecond, false, events, 1700 * time.Millisecond, 2},
		{"goes on elsewhere", "/resume/x", 1800 * time.Millisecond, Running, long, true, events, endSettleTime + 1500*time.Millisecond, 1},
		{"plain", "/once/x", 1800 * time.Millisecond, Running, long, true, events, endSettleTime + 1800*time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &recordingResponder{}
			targets := &silentTargetClient{then: c.then}
			targets.behaviours = []behaviour{endingWithConnection(events)}
			if c.path == "/resume/x" {
				last := strings.Index(events, "id: 3")
				targets.behaviours = []behaviour{endingWithConnection(events[:last]), respondWith(200, events[last:])}
			}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.leaves)
				defer cancel()
				began := time.Now()
				targets.until = began.Add(endSettleTime + c.silent)
				newService(targets).Serve(ctx, &state.Call{ID: "r", Host: "h", Path: c.path, APIKey: "key"}, began, out)
				if took := time.Since(began); took != c.took {
					t.Errorf("took %s, want %s", took, c.took)
				}
			})
			if out.ended != c.ended || out.body.String() != c.body || targets.checks != c.checks {
				t.Errorf("ended %t after %d checks with %q; want %t after %d", out.ended, targets.checks, out.body.String(), c.ended, c.checks)
			}
		})
	}
}

// unwatchedArrival is an exchange whose connection the target closes behind the end, which came at an unknown time.
type unwatchedArrival struct{ *fakeExchange }

func (unwatchedArrival) StaysOpen(time.Duration) bool { return false }

// Guards against a whole stream that is broken off because its check ended early for its timing, which does
// not count: the end came at an unknown time. Its target is silent for longer than a check takes.
func TestCheckGoesOnWhereTheTimeOfTheEndIsUnknown(t *testing.T) {
	out, targets := &recordingResponder{}, &silentTargetClient{then: Running}
	targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
		ex, err := timedStream{0, 5, 0}.send(ctx, f)
		return unwatchedArrival{ex.(watchedExchange).fakeExchange}, err
	}}
	synctest.Test(t, func(t *testing.T) {
		targets.until = time.Now().Add(1900 * time.Millisecond)
		newService(targets).Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/stream/x", APIKey: "key"}, time.Now(), out)
	})
	if !out.ended || targets.checks != 2 {
		t.Errorf("complete %t after %d checks, want the stream after 2", out.ended, targets.checks)
	}
}
