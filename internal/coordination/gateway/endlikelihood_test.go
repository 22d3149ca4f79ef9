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

// gonePath is what a check of a target that has gone meets.
type gonePath struct {
	name  string
	check RunCheck
}

// Guards against whole streams that are broken off, or resumed behind their last event, because nothing proves
// that their target finished them: it shuts down, and behind a relay, or at an address that another target has
// taken, connections are not refused. Guards as well against cut ones that are believed there.
func TestUndecidedEndIsJudgedByItsTiming(t *testing.T) {
	for _, path := range []gonePath{
		{"refused", RunCheck{Liveness: Ended, Refused: true}},
		{"accepted and closed, as by a relay", RunCheck{Liveness: Ended}},
		{"accepted and silent", RunCheck{TimedOut: true}},
	} {
		checkUndecidedEnds(t, path, false)
	}
}

// Guards against the same for streams without length or chunks. A process that is killed ends them too, so that
// a timing that is common at whole ends shows less.
func TestUndecidedEndWithoutLengthOrChunksIsJudgedByItsTiming(t *testing.T) {
	for _, path := range []gonePath{
		{"refused", RunCheck{Liveness: Ended, Refused: true}},
		{"accepted and closed, as by a relay", RunCheck{Liveness: Ended}},
	} {
		checkUndecidedEnds(t, path, true)
	}
}

// checkUndecidedEnds checks whole streams and cut ones, which may be resumed or not, of a target that has gone
// when their end is checked.
func checkUndecidedEnds(t *testing.T, path gonePath, unframed bool) {
	t.Helper()
	for _, s := range []timedStream{{0, 5, 0}, {0, 5, timedGap * 3 / 4}} {
		for _, route := range []string{"/stream/x", "/resume/x"} {
			whole := s.endAfter == 0
			t.Run(fmt.Sprintf("%s, %s, whole %t", path.name, route, whole), func(t *testing.T) {
				out, targets := &recordingResponder{}, &fakeTargetClient{}
				synctest.Test(t, func(t *testing.T) {
					targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
						ex, err := s.send(ctx, f)
						closing := closingExchange{ex.(watchedExchange).fakeExchange}
						closing.head.EndsWithConnection = unframed
						return closing, err
					}, respondWith(200, "id: 6\ndata: x\n\n")}
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
