package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// goneTarget is a client whose checks of an end say how the path to a target that has gone looks.
type goneTarget struct {
	*fakeTargetClient
	check RunCheck
}

func (c goneTarget) CheckRunning(ctx context.Context, _ *state.TargetRecord, _ string) RunCheck {
	if c.check.TimedOut {
		pause(ctx, time.Second)
	}
	return c.check
}

// closingExchange is an exchange whose connection the target closes behind the end, unannounced.
type closingExchange struct{ *fakeExchange }

func (closingExchange) StaysOpen(time.Duration) bool { return false }

// Received returns the time of the read, as on a machine that is not busy.
func (closingExchange) Received() (earliest, latest time.Time, known bool) {
	return time.Now(), time.Now(), true
}

// Guards against whole streams that are broken off, or resumed behind their last event, because nothing proves
// that their target finished them: it shuts down, and behind a relay, or at an address that another target has
// taken, connections are not refused. Of a stream without length or chunks, the same holds on each path.
// Guards as well against cut ones that are believed there.
func TestUndecidedEndIsJudgedByItsTiming(t *testing.T) {
	const oneMore = "id: 6\ndata: x\n\n"
	for _, path := range []struct {
		name     string
		check    RunCheck
		unframed bool
	}{
		{"refused", RunCheck{Liveness: Ended, Refused: true}, false},
		{"accepted and closed, as by a relay", RunCheck{Liveness: Ended}, false},
		{"accepted and silent", RunCheck{TimedOut: true}, false},
		{"without length or chunks, refused", RunCheck{Liveness: Ended, Refused: true}, true},
		{"without length or chunks, accepted and closed", RunCheck{Liveness: Ended}, true},
	} {
		for _, s := range []timedStream{{0, 5, 0}, {0, 5, timedGap * 3 / 4}} {
			for _, route := range []string{"/stream/x", "/resume/x"} {
				whole := s.endAfter == 0
				t.Run(fmt.Sprintf("%s, %s, whole %t", path.name, route, whole), func(t *testing.T) {
					out, targets := &recordingResponder{}, &fakeTargetClient{}
					synctest.Test(t, func(t *testing.T) {
						targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
							ex, err := s.send(ctx, f)
							closing := closingExchange{ex.(watchedExchange).fakeExchange}
							closing.head.EndsWithConnection = path.unframed
							return closing, err
						}, respondWith(200, oneMore)}
						svc := newService(goneTarget{targets, path.check})
						svc.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: route, APIKey: "key"}, time.Now(), out)
					})
					sentOn := len(targets.sends) > 1
					if whole && (!out.ended || sentOn) || !whole && out.ended && !sentOn {
						t.Errorf("complete %t after %d sends with %q", out.ended, len(targets.sends), out.body.String())
					}
				})
			}
		}
	}
}
