package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// endingWithConnection answers with a signed response that has neither a length nor
// chunks. Its body ends without an error, as it does when a target crashes.
func endingWithConnection(body string) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		head := &state.Response{Status: 200, HasSignature: true, EndsWithConnection: true}
		return &fakeExchange{head: head, Reader: strings.NewReader(body)}, nil
	}
}

// endingWithTarget answers as endingWithConnection does, from a target that has ended then.
func endingWithTarget(body string) behaviour { return endingWithLiveness(Ended, body) }

// endingWithLiveness answers as endingWithConnection does, from a target of which no more is known
// then than the given liveness.
func endingWithLiveness(l Liveness, body string) behaviour {
	return func(ctx context.Context, f *Forward) (Exchange, error) {
		ex, err := endingWithConnection(body)(ctx, f)
		ex.(*fakeExchange).thenNotRunning, ex.(*fakeExchange).liveness = true, l
		return ex, err
	}
}

// Guards against a stream that is passed on as complete although its target has crashed between
// two events, and against events that come twice because a stream was whole then.
func TestStreamEndingWithItsTargetIsIncomplete(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	checkStreams(t, []streamCase{
		{"may not be resumed", "/stream/x", []behaviour{endingWithTarget(first)}, first, false, true, 0, []string{""}},
		{"goes on elsewhere", "/resume/x", []behaviour{endingWithTarget(first), endingWithConnection(rest)}, events, true, false, 0, []string{"", "1"}},
		{"was whole, nothing is left", "/resume/x", []behaviour{endingWithTarget(events), endingWithConnection("")}, events, true, false, 0, []string{"", "3"}},
		{"second target ends too", "/resume/x", []behaviour{endingWithTarget(first), endingWithTarget(rest)}, events, false, true, 0, []string{"", "1"}},
		{"body with an end", "/stream/x", []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
			ex, err := endingWithTarget(events)(ctx, f)
			ex.(*fakeExchange).head.EndsWithConnection = false
			return ex, err
		}}, events, true, false, 0, []string{""}},
		{"target runs", "/stream/x", []behaviour{endingWithConnection(events)}, events, true, false, 0, []string{""}},
	})
}

// Guards against a response that is passed on as complete because nothing shows that its target
// has ended, although nothing shows that it still runs either.
func TestResponseIsCompleteOnlyWithProof(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	unproved := func(body string) behaviour { return endingWithLiveness(Unproved, body) }
	checkStreams(t, []streamCase{
		{"may not be resumed", "/stream/x", []behaviour{unproved(first)}, first, false, true, 0, []string{""}},
		{"goes on elsewhere", "/resume/x", []behaviour{unproved(first), endingWithConnection(rest)}, events, true, false, 0, []string{"", "1"}},
		{"was whole, nothing is left", "/resume/x", []behaviour{unproved(events), endingWithConnection("")}, events, true, false, 0, []string{"", "3"}},
		{"plain", "/once/x", []behaviour{unproved("whole")}, "", false, false, UnknownOutcome, []string{""}},
	})
}

// Guards against checks of running targets that cannot be told apart afterwards.
func TestChecksOfRunningTargetsAreRecorded(t *testing.T) {
	for _, l := range []Liveness{Running, Ended, Unproved} {
		core, lines := observer.New(zapcore.InfoLevel)
		s := newService(&fakeTargetClient{behaviours: []behaviour{endingWithLiveness(l, "whole")}})
		s.cfg.Log = zap.New(core)
		s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/once/x", APIKey: "key"}, time.Now(), &recordingResponder{})
		if n := s.cfg.Counters.counts["end_check."+l.String()]; n != 1 {
			t.Errorf("%s: counted %d times, want 1", l, n)
		}
		recorded := lines.FilterMessage("end of response not proved").All()
		if l == Running && len(recorded) > 0 {
			t.Errorf("%s: line %v, want none", l, recorded)
		}
		if l != Running && (len(recorded) != 1 || recorded[0].ContextMap()["result"] != l.String()) {
			t.Errorf("%s: lines %v, want one with the result", l, recorded)
		}
	}
}

// Guards against a further response of the target that is passed on as an event: nothing marks the
// end of a stream without length or chunks, and a head ends with an empty line as an event does.
func TestResponseBehindStreamIsNoEvent(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	const extra = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 8\r\n\r\nlate\n\n\n\n"
	const withoutLength = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\nid: 9\n\n"
	checkStreams(t, []streamCase{
		{"behind the stream", "/stream/x", []behaviour{endingWithConnection(events + extra)}, events, true, false, 0, []string{""}},
		{"two of them", "/stream/x", []behaviour{endingWithConnection(events + extra + extra)}, events, true, false, 0, []string{""}},
		{"inside the stream", "/stream/x", []behaviour{endingWithConnection(first + extra + rest)}, events, true, false, 0, []string{""}},
		{"before the first event", "/stream/x", []behaviour{endingWithConnection(extra + events)}, events, true, false, 0, []string{""}},
		{"instead of events", "/resume/x", []behaviour{endingWithConnection(extra), endingWithConnection(events)}, events, true, false, 0, []string{"", ""}},
		{"then the target ends", "/resume/x", []behaviour{endingWithTarget(first + extra), endingWithConnection(rest)}, events, true, false, 0, []string{"", "1"}},
		{"cut off", "/resume/x", []behaviour{endingWithConnection(first + extra[:len(extra)-6]), endingWithConnection(rest)}, events, true, false, 0, []string{"", "1"}},
		{"without a length", "/resume/x", []behaviour{endingWithConnection(first + withoutLength), endingWithConnection(rest)}, events, true, false, 0, []string{"", "1"}},
		{"field of an event with an end", "/stream/x", []behaviour{respondWith(200, "HTTP/1.1: a\n\n")}, "HTTP/1.1: a\n\n", true, false, 0, []string{""}},
	})
}

// Guards against bytes of no request that are passed on as an event behind a stream without length
// or chunks, and against a stream that is taken for complete because of bytes that may stand in place
// of its rest.
func TestStrayBytesBehindStreamAreNoEvent(t *testing.T) {
	var cases []streamCase
	for name, stray := range map[string]string{
		"no response":                     "ok\r\n\r\n",
		"TLS alert":                       "\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n",
		"head without a status":           "HTTP/1.1\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: x\n\n",
		"noise behind a colon":            ":\xf1\x88\n\n",
		"event without an id":             "data: x\n\n",
		"event whose id is no number":     "id: x\ndata: x\n\n",
		"id of the last event again":      "id: 3\ndata: x\n\n",
		"same event again, then noise":    "id: 3\ndata: c\n\n\xf1\n\n",
		"another stream without its head": "id: 1\ndata: x\n\nid: 4\ndata: y\n\n",
		"head of an interim response":     "HTTP/1.1 100 Continue\r\n\r\nid: 4\ndata: x\n\n",
		"part of an event":                "id: 4\nda",
	} {
		cases = append(cases,
			streamCase{name, "/stream/x", []behaviour{endingWithConnection(events + stray)}, events, false, true, 0, []string{""}},
			streamCase{name + ", may be resumed", "/resume/x", []behaviour{endingWithConnection(events + stray), respondWith(200, "")}, events, true, false, 0, []string{"", "3"}},
		)
	}
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	checkStreams(t, append(cases,
		streamCase{"head behind an empty line", "/stream/x", []behaviour{endingWithConnection(events + "\r\n" + late)}, events, true, false, 0, []string{""}},
		streamCase{"in place of the first event", "/stream/x", []behaviour{endingWithConnection("ok\r\n\r\n")}, "", false, false, UnknownOutcome, []string{""}},
		streamCase{"in place of the first event, runs elsewhere", "/resume/x", []behaviour{endingWithConnection("ok\r\n\r\n"), respondWith(200, events)}, events, true, false, 0, []string{"", ""}},
		streamCase{"comment", "/stream/x", []behaviour{endingWithConnection(events + ": x\n\n")}, events + ": x\n\n", true, false, 0, []string{""}},
		streamCase{"events without ids", "/stream/x", []behaviour{endingWithConnection("data: a\n\ndata: b\n\n")}, "data: a\n\ndata: b\n\n", true, false, 0, []string{""}},
	))
}

// Guards against a whole stream that may not be resumed and is broken off because another response
// without a length, or a copy of its last event, comes behind it: targets send additional bytes only
// behind complete responses, and neither stands in place of the rest. A stream that may be resumed
// is asked for its rest all the same, which costs nothing if there is none.
func TestStreamFollowedByAnotherResponseIsWhole(t *testing.T) {
	last := events[strings.Index(events, "id: 3"):]
	for name, extra := range map[string]string{
		"same event again":          last,
		"same event twice":          last + last,
		"another stream, no length": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: x\n\n",
		"plain response, no length": "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\nlate",
		"head of another version":   "HTTP/2 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"head in lower case":        "http/1.1 200 ok\r\ncontent-length: 2\r\n\r\nok",
		"head with a spoiled field": "HTTP/1.1 200 OK\r\nContent-Type\r\n\r\nid: 4\ndata: x\n\n",
		"in chunks":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
	} {
		checkStreams(t, []streamCase{
			{name, "/stream/x", []behaviour{endingWithConnection(events + extra)}, events, true, false, 0, []string{""}},
			{name + ", may be resumed", "/resume/x", []behaviour{endingWithConnection(events + extra), respondWith(200, "")}, events, true, false, 0, []string{"", "3"}},
			{name + ", its target has ended", "/stream/x", []behaviour{endingWithTarget(events + extra)}, events, false, true, 0, []string{""}},
			{name + ", nothing shows that its target runs", "/stream/x", []behaviour{endingWithLiveness(Unproved, events+extra)}, events, false, true, 0, []string{""}},
		})
	}
	first := events[:strings.Index(events, "id: 2")]
	checkStreams(t, []streamCase{
		{"same event again, then the rest", "/stream/x", []behaviour{endingWithConnection(first + events)}, events, true, false, 0, []string{""}},
		{"same event again, then a part of the next", "/stream/x", []behaviour{endingWithConnection(first + first + "id: 2\nda")}, first, false, true, 0, []string{""}},
		{"response in place of the first event", "/stream/x", []behaviour{endingWithConnection("HTTP/1.1 200 OK\r\n\r\nlate")}, "", false, false, UnknownOutcome, []string{""}},
		{"spoiled head in place of the first event", "/stream/x", []behaviour{endingWithConnection("http/1.1 200 ok\r\n\r\nlate")}, "", false, false, UnknownOutcome, []string{""}},
	})
}

// Guards against a stream that a target breaks off inside an event, or before the first
// one, and that reaches the caller as complete because its body ended without an error.
func TestStreamEndingInsideEventIsIncomplete(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	checkStreams(t, []streamCase{
		{"inside an event", "/stream/x", []behaviour{endingWithConnection(first + "id: 2\nda")}, first, false, true, 0, []string{""}},
		{"inside the line that ends an event", "/stream/x", []behaviour{endingWithConnection(first + "id: 2\ndata: b\n")}, first, false, true, 0, []string{""}},
		{"inside an event, goes on elsewhere", "/resume/x", []behaviour{endingWithConnection(first + "id: 2\nda"), endingWithConnection(rest)}, events, true, false, 0, []string{"", "1"}},
		{"inside an event of the second run", "/resume/x", []behaviour{truncated(first), endingWithConnection("id: 2\nda")}, first, false, true, 0, []string{"", "1"}},
		{"inside the first event", "/stream/x", []behaviour{endingWithConnection("id: 1\nda")}, "", false, false, UnknownOutcome, []string{""}},
		{"inside the first event, runs elsewhere", "/resume/x", []behaviour{endingWithConnection("id: 1\nda"), respondWith(200, events)}, events, true, false, 0, []string{"", ""}},
		{"inside an event of a body with an end", "/stream/x", []behaviour{respondWith(200, first+"id: 2\nda")}, first, false, true, 0, []string{""}},
		{"before the first event", "/stream/x", []behaviour{endingWithConnection("")}, "", false, false, UnknownOutcome, []string{""}},
		{"before the first event, runs elsewhere", "/resume/x", []behaviour{endingWithConnection(""), respondWith(200, events)}, events, true, false, 0, []string{"", ""}},
		{"after a comment", "/stream/x", []behaviour{endingWithConnection(": waiting\n\n")}, ": waiting\n\n", false, true, 0, []string{""}},
		{"after the last event", "/stream/x", []behaviour{endingWithConnection(events)}, events, true, false, 0, []string{""}},
	})
}

// inChunks answers with a complete, signed response in chunks.
func inChunks(body string) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: strings.NewReader(body)}, nil
	}
}

// Guards against a success without any event that is passed on as a whole stream because its target
// still runs: a run begins with its first token, and a target that cancels its handlers before that
// answers so while it is about to end.
func TestFirstAttemptWithoutEventIsIncomplete(t *testing.T) {
	for name, empty := range map[string]behaviour{
		"with a length":                respondWith(200, ""),
		"with a length, status 201":    respondWith(201, ""),
		"in chunks":                    inChunks(""),
		"in chunks, announces a close": closingBehind(Running, true, ""),
		"without length or chunks":     endingWithConnection(""),
	} {
		checkStreams(t, []streamCase{
			{name, "/stream/x", []behaviour{empty}, "", false, false, UnknownOutcome, []string{""}},
			{name + ", runs elsewhere", "/resume/x", []behaviour{empty, respondWith(200, events)}, events, true, false, 0, []string{"", ""}},
			{name + ", twice", "/resume/x", []behaviour{empty, empty}, "", false, false, UnknownOutcome, []string{"", ""}},
		})
	}
	for _, c := range []struct {
		name, body string
		answer     func(body string) behaviour
	}{
		{"comment, with a length", ": waiting\n\n", func(body string) behaviour { return respondWith(200, body) }},
		{"comment, in chunks", ": waiting\n\n", inChunks},
		{"comment, without length or chunks", ": waiting\n\n", endingWithConnection},
		{"empty lines, in chunks", "\n\n", inChunks},
	} {
		checkStreams(t, []streamCase{
			{c.name, "/stream/x", []behaviour{c.answer(c.body)}, c.body, false, true, 0, []string{""}},
			{c.name + ", runs elsewhere", "/resume/x", []behaviour{c.answer(c.body), respondWith(200, events)}, c.body + events, true, false, 0, []string{"", ""}},
			{c.name + ", then nothing", "/resume/x", []behaviour{c.answer(c.body), respondWith(200, "")}, c.body, false, true, 0, []string{"", ""}},
		})
	}
}

// Guards against a resumption behind the last event that is sent on or refused because it has no
// event: the caller may lack only the end of the stream.
func TestCallersResumptionWithoutEventIsWhole(t *testing.T) {
	for name, empty := range map[string]behaviour{"with a length": respondWith(200, ""), "in chunks": inChunks("")} {
		t.Run(name, func(t *testing.T) {
			out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: []behaviour{empty}}
			synctest.Test(t, func(t *testing.T) {
				call := resumableCall()
				call.ResumeAfter = "3"
				newService(targets).Serve(t.Context(), call, time.Now(), out)
			})
			if !out.ended || out.status != 200 || out.body.Len() != 0 || len(targets.sends) != 1 {
				t.Errorf("ended %t, failure %+v after %d sends; want the empty response", out.ended, out.failure, len(targets.sends))
			}
		})
	}
}

// Guards against a plain response that is lost because it has neither a length nor
// chunks: its body is complete when the connection ends without an error.
func TestPlainResponseEndingWithConnectionIsComplete(t *testing.T) {
	out, _ := serveCall(t, "/once/x", endingWithConnection("whole"))
	if !out.ended || out.body.String() != "whole" {
		t.Errorf("ended %t with body %q, want the whole response", out.ended, out.body.String())
	}
}

// Guards against a part of a long line that is taken for a line of its own. Taken for a blank
// line, it ends an event that its target broke off, and the caller gets that and the next one as
// one event. Taken for an id, it moves the place at which the stream is resumed.
func TestPartOfLongLineIsNoLine(t *testing.T) {
	const bufferBytes = 4096 // of the reader of events
	first := events[:strings.Index(events, "id: 2")]
	var cases []streamCase
	check := func(length int, end string) {
		line := "data: " + strings.Repeat("x", length-len("data: "))
		begun := "id: 2" + end + line + end
		cases = append(cases, streamCase{
			fmt.Sprintf("%d bytes and %q, broken off before the blank line", length, end), "/resume/x",
			[]behaviour{truncated(first + begun), endingWithConnection(begun + end)}, first + begun + end, true, false, 0, []string{"", "1"},
		})
		second, third := "id: 2"+end+line+"id: 9"+end+end, "id: 3"+end+"data: c"+end+end
		cases = append(cases, streamCase{
			fmt.Sprintf("%d bytes and %q, then an id inside the line", length, end), "/resume/x",
			[]behaviour{truncated(first + second + "id: 3" + end), endingWithConnection(third)}, first + second + third, true, false, 0, []string{"", "2"},
		})
	}
	for extra := -3; extra <= 3; extra++ {
		for _, end := range []string{"\n", "\r\n"} {
			check(bufferBytes+extra, end)
			check(2*bufferBytes+extra, end)
		}
	}
	checkStreams(t, cases)
}

// Guards against a plain response that is passed on as complete although its target has crashed in
// the middle of it: without a length or chunks, its body ends without an error then.
func TestPlainResponseEndingWithItsTargetIsIncomplete(t *testing.T) {
	if out, _ := serveCall(t, "/once/x", endingWithTarget("par")); out.failure.Kind != UnknownOutcome {
		t.Errorf("failure %v with body %q, want that the outcome is unknown", out.failure.Kind, out.body.String())
	}
	if out, _ := serveCall(t, "/plain/x", endingWithTarget("par"), endingWithConnection("whole")); !out.ended || out.body.String() != "whole" {
		t.Errorf("ended %t with body %q, want the response of another target", out.ended, out.body.String())
	}
}

// Guards against a stream that is passed on as complete although its target only ended it because
// it was asked to abandon the request: HTTP servers end a response in chunks properly when its
// handler returns early.
func TestStreamEndingAfterItsTargetWasAskedToAbandonItIsIncomplete(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	for _, c := range []struct {
		name       string
		pieces     []string // of the stalled target
		afterwards time.Duration
		end        error
		resumed    string // response of the second target
		resume     []string
	}{
		{"at once", []string{first, rest}, 50 * time.Millisecond, io.EOF, rest, []string{"", "1"}},
		{"after it could be reached and was silent", []string{first, rest}, 2 * time.Second, io.EOF, rest, []string{"", "1"}},
		{"after a further event", []string{first, "id: 2\ndata: b\n\n"}, 50 * time.Millisecond, nil, "id: 3\ndata: c\n\n", []string{"", "2"}},
		{"was whole, nothing is left", []string{first, rest}, 50 * time.Millisecond, nil, "", []string{"", "3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &recordingResponder{}
			stall := func(ctx context.Context, _ *Forward) (Exchange, error) {
				return &withdrawnExchange{
					fakeExchange: fakeExchange{head: &state.Response{Status: 200, HasSignature: true}}, ctx: ctx, pieces: c.pieces,
					asked: make(chan struct{}), afterwards: c.afterwards, end: c.end, reached: true,
				}, nil
			}
			targets := &fakeTargetClient{behaviours: []behaviour{stall, respondWith(200, c.resumed)}}
			synctest.Test(t, func(t *testing.T) {
				s := newService(targets)
				s.SetConfiguration(longRoute())
				s.Serve(t.Context(), resumableCall(), time.Now(), out)
			})
			if !out.ended || out.body.String() != events {
				t.Errorf("ended %t with %q, want all events", out.ended, out.body.String())
			}
			if diff := cmp.Diff(c.resume, targets.resumePoints()); diff != "" {
				t.Errorf("resumed after (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a whole stream that is sent to another target, which may make one more event, because its
// end is read after the target was asked to abandon the request, although it had arrived before.
func TestEndThatArrivedBeforeItsTargetWasAskedToAbandonItIsItsOwn(t *testing.T) {
	for name, before := range map[string]bool{"arrived before": true, "arrived after": false} {
		t.Run(name, func(t *testing.T) {
			out := &recordingResponder{}
			targets := &fakeTargetClient{}
			synctest.Test(t, func(t *testing.T) {
				x := &withdrawnExchange{
					fakeExchange: fakeExchange{head: &state.Response{Status: 200, HasSignature: true}}, pieces: []string{events, ""},
					asked: make(chan struct{}), afterwards: 50 * time.Millisecond, end: io.EOF, reached: true,
				}
				targets.behaviours = []behaviour{func(ctx context.Context, _ *Forward) (Exchange, error) {
					if x.ctx = ctx; before {
						x.receivedAt = time.Now()
					} else {
						x.receivedAt = time.Now().Add(time.Hour)
					}
					return x, nil
				}, respondWith(200, "id: 4\ndata: x\n\n")}
				s := newService(targets)
				s.SetConfiguration(longRoute())
				s.Serve(t.Context(), resumableCall(), time.Now(), out)
				if n := s.cfg.Scheduler.Waiting("s"); n != 0 {
					t.Errorf("%d requests wait", n)
				}
			})
			if sentOn := len(targets.sends) > 1; sentOn == before || !out.ended || before && out.body.String() != events {
				t.Errorf("sent on %t, ended %t with %q; want sent on %t", sentOn, out.ended, out.body.String(), !before)
			}
		})
	}
}

// Guards against a stream that is passed on as complete although its target only stopped at the
// time limit that it was told: HTTP servers end a response in chunks properly when its handler
// returns early.
func TestStreamEndingAtItsTimeLimitIsIncomplete(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	endsBefore := func(margin time.Duration) behaviour {
		return func(_ context.Context, f *Forward) (Exchange, error) {
			limit := time.Now().Add(f.TimeLeft.Truncate(time.Millisecond)) // what the target is told
			return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: io.MultiReader(strings.NewReader(first), readerFunc(func([]byte) (int, error) {
				time.Sleep(time.Until(limit) - margin)
				return 0, io.EOF
			}))}, nil
		}
	}
	checkStreams(t, []streamCase{
		{"at the limit", "/stream/x", []behaviour{endsBefore(0)}, first, false, true, 0, []string{""}},
		{"at the limit, may be resumed", "/resume/x", []behaviour{endsBefore(0)}, first, false, true, 0, []string{""}},
		{"after the limit", "/stream/x", []behaviour{endsBefore(-10 * time.Millisecond)}, first, false, true, 0, []string{""}},
		{"less than the unit of the limit before", "/stream/x", []behaviour{endsBefore(500 * time.Microsecond)}, first, false, true, 0, []string{""}},
		{"before the limit", "/stream/x", []behaviour{endsBefore(5 * time.Millisecond)}, first, true, false, 0, []string{""}},
	})
}

// Guards against a stream that is sent to a second target because the first one stopped at the time
// limit, where nothing of the limit is left to the second.
func TestStreamEndingAtItsTimeLimitIsNotSentOn(t *testing.T) {
	const gap = 100 * time.Millisecond // no stall
	out, targets := serveCall(t, "/resume/x", func(_ context.Context, f *Forward) (Exchange, error) {
		end := time.Now().Add(f.TimeLeft - timeLimitUnit/2)
		n := 0
		return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: readerFunc(func(p []byte) (int, error) {
			if time.Until(end) <= gap {
				time.Sleep(time.Until(end))
				return 0, io.EOF
			}
			time.Sleep(gap)
			n++
			return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", n)), nil
		})}, nil
	}, respondWith(200, ""))
	if !out.aborted || len(targets.sends) != 1 {
		t.Errorf("aborted %t after %d sends; want that the stream is broken off after 1", out.aborted, len(targets.sends))
	}
}

// readerFunc is a function as io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a part of a plain response that is passed on as whole because its target ended it
// at the time limit that it was told: HTTP servers end a response in chunks properly when its
// handler returns early, and one without length or chunks by closing the connection.
func TestPlainResponseEndingAtItsTimeLimitIsIncomplete(t *testing.T) {
	for _, c := range []struct {
		name               string
		margin             time.Duration
		endsWithConnection bool
		hasLength          bool
		whole              bool
	}{
		{"in chunks, at the limit", 0, false, false, false},
		{"in chunks, after the limit", -10 * time.Millisecond, false, false, false},
		{"in chunks, before the limit", 5 * time.Millisecond, false, false, true},
		{"without length or chunks, at the limit", 0, true, false, false},
		{"without length or chunks, before the limit", 5 * time.Millisecond, true, false, true},
		{"with a length, at the limit", 0, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, _ := serveCall(t, "/once/x", func(_ context.Context, f *Forward) (Exchange, error) {
				limit := time.Now().Add(f.TimeLeft.Truncate(time.Millisecond)) // what the target is told
				return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true, EndsWithConnection: c.endsWithConnection, HasLength: c.hasLength}, Reader: io.MultiReader(strings.NewReader("par"), readerFunc(func([]byte) (int, error) {
					time.Sleep(time.Until(limit) - c.margin)
					return 0, io.EOF
				}))}, nil
			})
			if out.ended != c.whole {
				t.Errorf("ended %t with body %q, failure %v; want ended %t", out.ended, out.body.String(), out.failure.Kind, c.whole)
			}
		})
	}
}

// Guards against a resumption that ends without an event because its target ends, and that is passed on
// as the end of the stream.
func TestResumptionWithoutEventNeedsProof(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	inChunksOf := func(l Liveness) behaviour {
		return func(ctx context.Context, f *Forward) (Exchange, error) {
			ex, err := inChunks("")(ctx, f)
			ex.(*fakeExchange).thenNotRunning, ex.(*fakeExchange).liveness = true, l
			return ex, err
		}
	}
	for _, l := range []Liveness{Unproved, Ended} {
		for name, empty := range map[string]behaviour{
			"connection stays open": inChunksOf(l), "close": closingBehind(l, false, ""), "announced close": closingBehind(l, true, ""),
		} {
			name = name + ", " + l.String()
			checkStreams(t, []streamCase{{name, "/resume/x", []behaviour{truncated(first), empty}, first, false, true, 0, []string{"", "1"}}})
			t.Run(name+", resumed by the caller", func(t *testing.T) {
				out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: []behaviour{empty, respondWith(200, rest)}}
				synctest.Test(t, func(t *testing.T) {
					call := resumableCall()
					call.ResumeAfter = "1"
					newService(targets).Serve(t.Context(), call, time.Now(), out)
				})
				if !out.ended || out.body.String() != rest {
					t.Errorf("ended %t, failure %+v, body %q; want the rest of another target", out.ended, out.failure, out.body.String())
				}
			})
		}
	}
	checkStreams(t, []streamCase{
		{"target runs", "/resume/x", []behaviour{truncated(first), inChunksOf(Running)}, first, true, false, 0, []string{"", "1"}},
		{"target runs and has closed the connection", "/resume/x", []behaviour{truncated(first), closingBehind(Running, true, "")}, first, true, false, 0, []string{"", "1"}},
	})
}

// Guards against a resumption without an event that is passed on as the end of the stream although the
// attempt before has sent a part of a further event.
func TestResumptionBehindPartOfEventHasEvent(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	second := events[len(first):strings.Index(events, "id: 3")]
	c := longRoute()
	c.Routes[0].MaxAttempts = 3
	for _, tc := range []struct {
		name  string
		next  []behaviour
		want  string
		ended bool
		sends int
	}{
		{"part of an event", []behaviour{truncated(first + "id: 2\nda"), respondWith(200, "")}, first, false, 3},
		{"one byte of an event", []behaviour{truncated(first + "i"), respondWith(200, "")}, first, false, 3},
		{"whole but for the blank line", []behaviour{respondWith(200, first+"id: 2\ndata: b\n"), respondWith(200, "")}, first, false, 3},
		{"two empty ones", []behaviour{truncated(first + "id: 2\nda"), respondWith(200, ""), inChunks("")}, first, false, 3},
		{"only events that the caller has", []behaviour{truncated(first + "id: 2\nda"), respondWith(200, first)}, first, false, 3},
		{"comes from another target", []behaviour{truncated(first + "id: 2\nda"), respondWith(200, ""), respondWith(200, events[len(first):])}, events, true, 3},
		{"part of an event of a resumption", []behaviour{truncated(first), truncated("id: 2\nda"), respondWith(200, "")}, first, false, 3},
		{"event comes, then a part of the next", []behaviour{truncated(first + "id: 2\nda"), truncated(second + "id: 3\n"), respondWith(200, "")}, first + second, false, 3},
		{"event comes, then nothing", []behaviour{truncated(first + "id: 2\nda"), truncated(second), respondWith(200, "")}, first + second, true, 3},
		{"part of an event that the caller has", []behaviour{truncated(first), truncated("id: 1\nda"), respondWith(200, "")}, first, true, 3},
		{"part of an event without its number", []behaviour{truncated(first), truncated("id: 1"), respondWith(200, "")}, first, true, 3},
		{"part of a comment", []behaviour{truncated(first + ": wai"), respondWith(200, "")}, first, true, 2},
		{"part of an empty line", []behaviour{truncated(first + "\r"), respondWith(200, "")}, first, true, 2},
		{"bytes behind a stream without length or chunks", []behaviour{endingWithConnection(first + "id: 2\nda"), respondWith(200, "")}, first, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: tc.next}
			for len(targets.behaviours) < tc.sends {
				targets.behaviours = append(targets.behaviours, respondWith(200, ""))
			}
			synctest.Test(t, func(t *testing.T) {
				s := newService(targets)
				s.SetConfiguration(c)
				s.Serve(t.Context(), resumableCall(), time.Now(), out)
			})
			if out.ended != tc.ended || out.aborted == tc.ended || out.body.String() != tc.want || len(targets.sends) != tc.sends {
				t.Errorf("ended %t, aborted %t, body %q after %d sends; want ended %t, body %q after %d", out.ended, out.aborted, out.body.String(), len(targets.sends), tc.ended, tc.want, tc.sends)
			}
		})
	}
}
