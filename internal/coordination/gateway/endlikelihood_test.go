package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// goneTarget is a client whose checks of an end say how the path to the first target, which has gone, looks. Others
// run.
type goneTarget struct {
	*fakeTargetClient
	check RunCheck
}

func (c goneTarget) CheckRunning(ctx context.Context, target *state.TargetRecord, healthPath string) RunCheck {
	if target.ID != c.first() {
		return c.fakeTargetClient.CheckRunning(ctx, target, healthPath)
	}
	if c.check.TimedOut {
		pause(ctx, time.Second)
	}
	return c.check
}

// first returns the target of the first send.
func (c goneTarget) first() state.TargetID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sends[0].Target.ID
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

var gonePaths = []gonePath{
	{"refused", RunCheck{Liveness: Ended, Refused: true}},
	{"accepted and closed, as by a relay", RunCheck{Liveness: Ended}},
}

// Guards against whole streams that are broken off, or resumed behind their last event, because nothing proves
// that their target finished them: it shuts down, and behind a relay, or at an address that another target has
// taken, connections are not refused. Guards as well against cut ones that are believed there.
func TestUndecidedEndIsJudgedByItsTiming(t *testing.T) {
	for _, path := range append(gonePaths, gonePath{"accepted and silent", RunCheck{TimedOut: true}}) {
		checkUndecidedEnds(t, path)
	}
}

// Guards against verdicts on the only stream of a target whose shutdown began unseen that differ from those of
// docs/design/target-ends.md, Limits: a whole stream and a cut one look the same there, so that the timing decides
// for both. Where it speaks for a cut, a stream that may be resumed goes on at the next target.
func TestOnlyStreamOfTargetThatShutsDownUnseen(t *testing.T) {
	for _, path := range gonePaths {
		checkSameSigns(t, path, false, map[time.Duration]bool{0: true, timedGap / 4: false, timedGap * 3 / 4: false, timedGap: false})
	}
}

// Guards against verdicts on a stream without length or chunks, at a target that has gone, that differ from those of
// docs/design/target-ends.md, Limits: a process that is killed ends it at any time, also right behind an event, so
// that its timing does not decide, and a whole one is taken for a cut one too.
func TestEndWithoutLengthOrChunksAtGoneTargetIsUndecided(t *testing.T) {
	for _, path := range gonePaths {
		checkSameSigns(t, path, true, map[time.Duration]bool{0: false, timedGap * 3 / 4: false})
	}
}

// checkUndecidedEnds checks whole streams and cut ones, which may be resumed or not, of a target that has gone
// when their end is checked.
func checkUndecidedEnds(t *testing.T, path gonePath) {
	t.Helper()
	for _, s := range []timedStream{{0, 5, 0}, {0, 5, timedGap * 3 / 4}} {
		for _, route := range []string{"/stream/x", "/resume/x"} {
			whole := s.endAfter == 0
			t.Run(fmt.Sprintf("%s, %s, whole %t", path.name, route, whole), func(t *testing.T) {
				out, targets := serveAtGoneTarget(t, path, route, false, s, "id: 6\ndata: x\n\n")
				sentOn := len(targets.sends) > 1
				if whole && (!out.ended || sentOn) || !whole && out.ended && !sentOn {
					t.Errorf("complete %t after %d sends with %q", out.ended, len(targets.sends), out.body.String())
				}
			})
		}
	}
}

// checkSameSigns checks the verdict on a stream of five events that is whole there, or cut, at a target that has
// gone when its end is checked. believed says for each time between the last event and the end whether the
// stream is passed on as complete. What the next target has is all that differs between whole and cut ones.
func checkSameSigns(t *testing.T, path gonePath, unframed bool, believed map[time.Duration]bool) {
	t.Helper()
	const rest = "id: 6\ndata: x\n\n"
	for endAfter, complete := range believed {
		for _, route := range []string{"/stream/x", "/resume/x"} {
			for _, left := range []string{"", rest} {
				t.Run(fmt.Sprintf("%s, %s, ends after %s, left %q", path.name, route, endAfter, left), func(t *testing.T) {
					out, targets := serveAtGoneTarget(t, path, route, unframed, timedStream{0, 5, endAfter}, left)
					want, sends := "", 1
					for n := 1; n <= 5; n++ {
						want += fmt.Sprintf("id: %d\ndata: x\n\n", n)
					}
					resumed := !complete && route == "/resume/x"
					if resumed {
						want, sends = want+left, 2
					}
					if out.ended != (complete || resumed) || out.aborted == out.ended || out.body.String() != want || len(targets.sends) != sends {
						t.Errorf("complete %t, broken off %t after %d sends with %q; want complete %t after %d with %q", out.ended, out.aborted, len(targets.sends), out.body.String(), complete || resumed, sends, want)
					}
				})
			}
		}
	}
}

// serveAtGoneTarget serves a call for a stream at a target that has gone when the end is checked. The next target,
// which runs, has what is left.
func serveAtGoneTarget(t *testing.T, path gonePath, route string, unframed bool, s timedStream, left string) (*recordingResponder, *fakeTargetClient) {
	t.Helper()
	out, targets := &recordingResponder{}, &fakeTargetClient{}
	synctest.Test(t, func(t *testing.T) {
		gone := goneTarget{fakeTargetClient: targets, check: path.check}
		targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
			ex, err := s.send(ctx, f)
			closing := closingExchange{ex.(watchedExchange).fakeExchange}
			closing.head.EndsWithConnection = unframed
			return closing, err
		}, respondWith(200, left)}
		newService(gone).Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: route, APIKey: "key"}, time.Now(), out)
	})
	return out, targets
}
