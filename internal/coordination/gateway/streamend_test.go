package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

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
		{"without events, of a body with an end", "/stream/x", []behaviour{respondWith(200, "")}, "", true, false, 0, []string{""}},
	})
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
