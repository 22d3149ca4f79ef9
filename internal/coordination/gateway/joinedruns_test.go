package gateway

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// runEvents returns the events of a run from one number to another. Their text names the run, because
// two runs of a prompt need not write the same.
func runEvents(run string, from, to int, lineEnd string) []string {
	var list []string
	for n := from; n <= to; n++ {
		list = append(list, strings.ReplaceAll(fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, run, n), "\n", lineEnd))
	}
	return list
}

// checkJoin reports an event that is not a whole event of one run, and numbers that do not go on by one.
func checkJoin(t *testing.T, body, lineEnd string, runs ...string) {
	t.Helper()
	known := make(map[string]int)
	for _, run := range runs {
		for i, ev := range runEvents(run, 1, 4, lineEnd) {
			known[ev] = i + 1
		}
	}
	last := 0
	for ev := range strings.SplitAfterSeq(body, lineEnd+lineEnd) {
		if ev == "" {
			continue
		}
		if known[ev] != last+1 {
			t.Errorf("%q comes after event %d in %q", ev, last, body)
			return
		}
		last++
	}
}

// Guards against an event that holds bytes of two runs, and against one that comes twice with different
// texts: a run is broken off at any byte, and the next one writes another text, from where it is to go on
// or from its beginning.
func TestEventsOfTwoRunsAreNotMixed(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		first := strings.Join(runEvents("a", 1, 4, lineEnd), "")
		for cut := range len(first) + 1 {
			for form, firstRun := range map[string]behaviour{
				"broken off": truncated(first[:cut]), "target ends": endingWithTarget(first[:cut]), "ends early": endingWithConnection(first[:cut]),
			} {
				for _, ignoresID := range []bool{false, true} {
					secondRun := func(ctx context.Context, f *Forward) (Exchange, error) {
						from := 1
						if n := parseEventNumber(f.ResumeAfter); n.known && !ignoresID {
							from = int(n.value) + 1
						}
						return chunked(strings.Join(runEvents("b", from, 4, lineEnd), ""))(ctx, f)
					}
					out, targets := serveCall(t, "/resume/x", firstRun, secondRun)
					name := fmt.Sprintf("%s after %q, id ignored %t", form, first[:cut], ignoresID)
					checkJoin(t, out.body.String(), lineEnd, "a", "b")
					// A stream that ends between two events at a target that runs cannot be told from a whole one.
					whole := strings.Count(out.body.String(), "id: ") == 4
					if form != "ends early" && (!out.ended || !whole) || out.ended && len(targets.sends) == 2 && !whole {
						t.Errorf("%s: ended %t with %q after %d sends", name, out.ended, out.body.String(), len(targets.sends))
					}
				}
			}
		}
	}
}

// lateReader returns pieces after pauses, although its context has ended: they were on their way.
type lateReader struct {
	pauses []time.Duration
	pieces []string
	read   *[]string // what has happened so far
}

func (r *lateReader) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	time.Sleep(r.pauses[0])
	*r.read = append(*r.read, r.pieces[0])
	n := copy(p, r.pieces[0])
	r.pauses, r.pieces = r.pauses[1:], r.pieces[1:]
	return n, nil
}

// Guards against an event of the first run that is written after the second run has begun: it arrives
// while the request moves to another target, or after the attempt was cancelled.
func TestLateEventOfFirstRunIsNotWritten(t *testing.T) {
	for _, late := range []time.Duration{900 * time.Millisecond, time.Second, 1100 * time.Millisecond, 1299 * time.Millisecond, 1300 * time.Millisecond, 1500 * time.Millisecond} {
		for _, withdraw := range []bool{false, true} {
			for _, reached := range []bool{false, true} {
				t.Run(fmt.Sprintf("after %s, asked to abandon it %t, reached %t", late, withdraw, reached), func(t *testing.T) {
					var order []string
					first := func(context.Context, *Forward) (Exchange, error) {
						pieces := slices.Concat(runEvents("a", 1, 2, "\n"), runEvents("a", 3, 3, "\n"))
						ex := &fakeExchange{
							head:   &state.Response{Status: 200, HasSignature: true},
							Reader: &lateReader{pauses: []time.Duration{0, 0, late}, pieces: pieces, read: &order},
						}
						if withdraw {
							return &abandoningExchange{ex, reached}, nil
						}
						return ex, nil
					}
					second := func(ctx context.Context, f *Forward) (Exchange, error) {
						order = append(order, "second run")
						return chunked(strings.Join(runEvents("b", int(parseEventNumber(f.ResumeAfter).value)+1, 4, "\n"), ""))(ctx, f)
					}
					out := &recordingResponder{}
					targets := &fakeTargetClient{behaviours: []behaviour{first, second}}
					synctest.Test(t, func(t *testing.T) {
						s := newService(targets)
						s.SetConfiguration(longRoute())
						s.Serve(t.Context(), resumableCall(), time.Now(), out)
					})
					checkJoin(t, out.body.String(), "\n", "a", "b")
					if !out.ended || strings.Count(out.body.String(), "id: ") != 4 {
						t.Errorf("ended %t with %q", out.ended, out.body.String())
					}
					if i := slices.Index(order, "second run"); i >= 0 && i < len(order)-1 {
						t.Errorf("the first run is read after the second has begun: %q", order)
					}
				})
			}
		}
	}
}

// abandoningExchange can be asked to abandon its request.
type abandoningExchange struct {
	*fakeExchange
	reached bool
}

func (*abandoningExchange) Withdraw() bool  { return true }
func (x *abandoningExchange) Reached() bool { return x.reached }

// Guards against an event that comes twice because the ids of a stream are no numbers: the target that
// is to go on repeats the event that the caller has.
func TestLastEventWithoutNumberIsNotRepeated(t *testing.T) {
	const first, again, rest = "id: a\ndata: one\n\nid: b\ndata: two\n\n", "id: b\ndata: other\n\n", "id: c\ndata: three\n\n"
	checkStreams(t, []streamCase{
		{"resumed by the entry", "/resume/x", []behaviour{truncated(first), chunked(again + rest)}, first + rest, true, false, 0, []string{"", "b"}},
		{"not repeated", "/resume/x", []behaviour{truncated(first), chunked(rest)}, first + rest, true, false, 0, []string{"", "b"}},
	})
}

// Guards against a whole stream that is broken off because of another response, or a copy of its last
// event, behind it, although the stream may not be sent to a further target: nothing can remove the
// doubt, as on a route that may not be resumed.
func TestStreamFollowedByAnotherResponseInItsLastRunIsWhole(t *testing.T) {
	first, rest := events[:strings.Index(events, "id: 2")], events[strings.Index(events, "id: 2"):]
	last := events[strings.Index(events, "id: 3"):]
	checkStreams(t, []streamCase{
		{"same event again", "/resume/x", []behaviour{truncated(first), endingWithConnection(rest + last)}, events, true, false, 0, []string{"", "1"}},
		{"another response", "/resume/x", []behaviour{truncated(first), endingWithConnection(rest + "HTTP/1.1 200 OK\r\n\r\nlate")}, events, true, false, 0, []string{"", "1"}},
		{"its target has ended", "/resume/x", []behaviour{truncated(first), endingWithTarget(rest + last)}, events, false, true, 0, []string{"", "1"}},
		{"may go on elsewhere", "/resume/x", []behaviour{endingWithConnection(events + last), respondWith(200, "")}, events, true, false, 0, []string{"", "3"}},
	})
}
