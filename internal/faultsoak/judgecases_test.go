package faultsoak

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

// Guards against a judge that misses a broken rule, and against one that reports what the
// users' rules allow.
func TestFindings(t *testing.T) {
	stream, resumable, plain := deployments[0].kinds[0], deployments[0].kinds[1], deployments[0].kinds[3]
	begin := time.Now()
	at := func(n int) time.Time { return begin.Add(ms(n)) }
	run := func(target string, from, to int, outcome string) emulator.Run {
		return emulator.Run{Software: "v1", Target: target, From: at(from), To: at(to), Outcome: outcome}
	}
	stopped := event{what: "SIGTERM", where: "edge-0", from: at(-1000), to: at(-1000)}
	events := func(n int) string {
		var b strings.Builder
		for i := range n {
			b.WriteString(emulator.RunEvent("a", i+1, "v1", 1))
		}
		return b.String()
	}
	cut := attempt{kind: stream, status: 200, answerID: "a", signature: "s", events: 9, body: events(3), err: io.ErrUnexpectedEOF, ended: at(500)}
	with := func(a attempt, change func(*attempt)) attempt {
		change(&a)
		return a
	}
	unread := with(cut, func(a *attempt) { a.status, a.signature, a.body = 0, "", "" })
	for _, c := range []struct {
		name   string
		a      attempt
		runs   []emulator.Run
		events []event
		want   map[string]int
	}{
		{name: "whole", a: with(cut, func(a *attempt) { a.body, a.err = events(9), nil }), runs: []emulator.Run{run("x", 0, 500, emulator.RunCompleted)}, events: []event{stopped}},
		{name: "cut during a stop", a: cut, runs: []emulator.Run{run("x", 0, 500, emulator.RunDropped)}, events: []event{stopped}, want: map[string]int{"LOST": 1}},
		{name: "cut after SIGHUP", a: cut, runs: []emulator.Run{run("x", 0, 500, emulator.RunDropped)},
			events: []event{{what: "SIGHUP", where: "edge-0", from: at(100), to: at(100)}}, want: map[string]int{"LOST": 1}},
		{name: "cut without planned work", a: cut, runs: []emulator.Run{run("x", 0, 500, emulator.RunDropped)}, want: map[string]int{"cut, no planned work": 1}},
		{name: "cut while another entry stops", a: cut, runs: []emulator.Run{run("x", 0, 500, emulator.RunDropped)},
			events: []event{{what: "SIGTERM", where: "edge-1", from: at(-1000), to: at(-1000)}}, want: map[string]int{"cut, no planned work": 1}},
		{name: "cut after a pause", a: cut, runs: []emulator.Run{run("x", 0, 500, emulator.RunDropped)},
			events: []event{stopped, {what: "paused", where: "edge-0", from: at(-2500), to: at(-2000), impairment: true}}, want: map[string]int{"cut, excused": 1}},
		{name: "broken off by the target", a: cut, runs: []emulator.Run{run("x", 0, 500, emulator.RunLost)}, events: []event{stopped}},
		{name: "at the end of the grace", a: with(cut, func(a *attempt) { a.ended = at(4000) }), runs: []emulator.Run{run("x", 0, 4000, emulator.RunDropped)},
			events: []event{{what: "SIGTERM", where: "edge-0", from: at(-2900), to: at(-2900)}}, want: map[string]int{"cut, excused": 1}},
		{name: "before the end of the grace", a: with(cut, func(a *attempt) { a.ended = at(4000) }), runs: []emulator.Run{run("x", 0, 4000, emulator.RunDropped)},
			events: []event{{what: "SIGTERM", where: "edge-0", from: at(-2500), to: at(-2500)}}, want: map[string]int{"LOST": 1}},
		{name: "at the end of the grace, sent late", a: with(cut, func(a *attempt) { a.ended = at(3500) }), runs: []emulator.Run{run("x", 0, 3500, emulator.RunDropped)},
			events: []event{{what: "SIGTERM", where: "edge-0", from: at(-4000), to: at(-4000)}}, want: map[string]int{"LOST": 1}},
		{name: "at the time limit", a: with(cut, func(a *attempt) { a.ended = at(8000) }), runs: []emulator.Run{run("x", 0, 8000, emulator.RunDropped)}, events: []event{stopped}},
		{name: "caller left", a: with(cut, func(a *attempt) { a.left = true }), runs: []emulator.Run{run("x", 0, 500, emulator.RunDropped)}, events: []event{stopped}},
		{name: "read and not passed on", a: with(unread, func(a *attempt) { a.readWhole = true }), events: []event{stopped}, want: map[string]int{"LOST": 1}},
		{name: "crossed the close", a: unread, events: []event{stopped}},
		{name: "twice", a: with(cut, func(a *attempt) { a.body, a.err = events(9), nil }),
			runs: []emulator.Run{run("x", 0, 100, emulator.RunDropped), run("y", 100, 500, emulator.RunCompleted)}, want: map[string]int{"TWICE": 1}},
		{name: "goes on elsewhere at once", a: with(cut, func(a *attempt) { a.kind, a.body, a.err = resumable, events(9), nil }),
			runs: []emulator.Run{run("x", 0, 450, emulator.RunDropped), run("y", 100, 500, emulator.RunCompleted)}},
		{name: "goes on elsewhere beside the first", a: with(cut, func(a *attempt) { a.kind, a.body, a.err = resumable, events(9), nil }),
			runs: []emulator.Run{run("x", 0, 550, emulator.RunDropped), run("y", 100, 500, emulator.RunCompleted)}, want: map[string]int{"TWICE": 1}},
		{name: "goes on elsewhere beside a stopped one", a: with(cut, func(a *attempt) { a.kind, a.body, a.err = resumable, events(9), nil }),
			runs:   []emulator.Run{run("x", 0, 1550, emulator.RunDropped), run("y", 100, 500, emulator.RunCompleted)},
			events: []event{{what: targetStopped, where: "x", from: at(50), to: at(1540)}}},
		{name: "goes on elsewhere beside one that was stopped before", a: with(cut, func(a *attempt) { a.kind, a.body, a.err = resumable, events(9), nil }),
			runs:   []emulator.Run{run("x", 0, 550, emulator.RunDropped), run("y", 100, 500, emulator.RunCompleted)},
			events: []event{{what: targetStopped, where: "x", from: at(-1000), to: at(110)}}, want: map[string]int{"TWICE": 1}},
		{name: "first target goes on after the second has begun", a: with(cut, func(a *attempt) { a.kind, a.body, a.err = resumable, events(9), nil }),
			runs:   []emulator.Run{run("y", 100, 1500, emulator.RunCompleted), run("x", 150, 160, emulator.RunDropped)},
			events: []event{{what: targetStopped, where: "x", from: at(-10), to: at(149)}}},
		{name: "second target is left, the first works on", a: with(cut, func(a *attempt) { a.kind, a.body, a.err = resumable, events(9), nil }),
			runs: []emulator.Run{run("y", 100, 1500, emulator.RunCompleted), run("x", 150, 160, emulator.RunDropped)}, want: map[string]int{"TWICE": 1}},
		{name: "first target goes on after the second has begun, and works", a: with(cut, func(a *attempt) { a.kind, a.body, a.err = resumable, events(9), nil }),
			runs:   []emulator.Run{run("y", 100, 1500, emulator.RunCompleted), run("x", 150, 600, emulator.RunDropped)},
			events: []event{{what: targetStopped, where: "x", from: at(-10), to: at(149)}}, want: map[string]int{"TWICE": 1}},
		{name: "refused and ran", a: with(cut, func(a *attempt) { a.kind, a.status, a.signature, a.body, a.err = plain, 503, "", "", nil }),
			runs: []emulator.Run{run("x", 0, 100, emulator.RunDropped)}, want: map[string]int{"REFUSED": 1}},
		{name: "refused after a rejection", a: with(cut, func(a *attempt) { a.kind, a.status, a.signature, a.body, a.err = plain, 503, "", "", nil }),
			runs: []emulator.Run{run("x", 0, 100, emulator.Rejected+": queue full")}},
		{name: "whole at the entry", a: with(cut, func(a *attempt) { a.ended = at(8000) }), runs: []emulator.Run{run("x", 0, 7000, emulator.RunCompleted)},
			events: []event{stopped}, want: map[string]int{"dropped": 1}},
		{name: "given up", a: with(cut, func(a *attempt) { a.kind, a.status, a.signature, a.body, a.err = resumable, 502, "", "", nil }),
			runs: []emulator.Run{run("x", 0, 400, emulator.RunDropped)}, want: map[string]int{"given up": 1}},
		{name: "ends too early", a: with(cut, func(a *attempt) { a.err = nil }), runs: []emulator.Run{run("x", 0, 500, emulator.RunLost)}, want: map[string]int{"ORDER": 1}},
		{name: "of another request", a: with(cut, func(a *attempt) { a.answerID, a.body, a.err = "b", events(9), nil }),
			runs: []emulator.Run{run("x", 0, 500, emulator.RunCompleted)}, want: map[string]int{"MIXED": 1}},
		{name: "failure that no target sent", a: with(cut, func(a *attempt) { a.kind, a.status, a.body, a.err = plain, 500, "", nil }),
			runs: []emulator.Run{run("x", 0, 500, emulator.RunCompleted)}, want: map[string]int{"MIXED": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range c.runs {
				c.runs[i].Number = i + 1
			}
			c.a.id, c.a.entry, c.a.limit, c.a.begun, c.a.sent = "a", &entry{name: "edge-0"}, c.a.kind.limit, begin, begin
			d := &deploymentRun{
				deployment: deployments[0], world: &world{t: t, logDirectory: t.TempDir()}, attempts: []*attempt{&c.a}, events: c.events,
				runsOf: func(string) []emulator.Run { return c.runs },
			}
			if got := d.findings(); !maps.Equal(got, c.want) {
				t.Errorf("findings %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a judge that misses a form of ORDER, on streams that may be resumed or not and
// however they end, and against one that reports a stream as the users' rules allow it.
func TestFindingsOfOrder(t *testing.T) {
	begin := time.Now()
	const last = 9
	pieces := func(run, from, to int) string {
		var b strings.Builder
		for n := from; n <= to; n++ {
			b.WriteString(emulator.RunEvent("a", n, "v1", run))
		}
		return b.String()
	}
	part, secondPart, secondRest := pieces(1, 4, 4)[:20], pieces(2, 4, 4)[:20], pieces(2, 4, 4)[20:]
	endings := []struct {
		name string
		end  func(a *attempt)
	}{
		{"whole", func(a *attempt) {}},
		{"cut", func(a *attempt) { a.err = io.ErrUnexpectedEOF }},
		{"left", func(a *attempt) { a.err, a.left = os.ErrDeadlineExceeded, true }},
		{"refused", func(a *attempt) { a.status, a.signature = 503, "" }},
	}
	for _, c := range []struct {
		name  string
		body  string
		after int   // Last-Event-Id of the caller
		runs  []int // Last-Event-Id of each run
		// the names of the endings with which it is allowed, for streams that may be resumed and
		// for others
		resumable, once string
	}{
		{name: "whole", body: pieces(1, 1, last), runs: []int{0}, resumable: "whole cut left", once: "whole cut left"},
		{name: "no event", runs: []int{0}, resumable: "cut left refused", once: "cut left refused"},
		{name: "first events", body: pieces(1, 1, 3), runs: []int{0}, resumable: "cut left", once: "cut left"},
		{name: "inside an event", body: pieces(1, 1, 3) + part, runs: []int{0}, resumable: "cut left", once: "cut left"},
		{name: "inside the last event", body: pieces(1, 1, last)[:len(pieces(1, 1, last))-1], runs: []int{0}, resumable: "cut left", once: "cut left"},
		{name: "event missing", body: pieces(1, 1, 3) + pieces(1, 5, last), runs: []int{0}},
		{name: "first event missing", body: pieces(1, 2, last), runs: []int{0}},
		{name: "event twice", body: pieces(1, 1, 3) + pieces(1, 3, last), runs: []int{0}},
		{name: "last event twice", body: pieces(1, 1, last) + pieces(1, last, last), runs: []int{0}},
		{name: "event after the last", body: pieces(1, 1, last+1), runs: []int{0}},
		{name: "empty line after the last", body: pieces(1, 1, last) + "\r\n", runs: []int{0}},
		{name: "event of no run", body: pieces(1, 1, 3) + pieces(2, 4, last), runs: []int{0}},
		{name: "resumed by the entry", body: pieces(1, 1, 3) + pieces(2, 4, last), runs: []int{0, 3}, resumable: "whole cut left"},
		{name: "resumed by the entry, inside an event", body: pieces(1, 1, 2) + pieces(2, 3, 3) + secondPart, runs: []int{0, 2}, resumable: "cut left"},
		{name: "resumed by the entry, then a part of the first run", body: pieces(1, 1, 2) + pieces(2, 3, 3) + part, runs: []int{0, 2}},
		{name: "resumed twice", body: pieces(1, 1, 3) + pieces(2, 4, 6) + pieces(3, 7, last), runs: []int{0, 3, 6}, resumable: "whole cut left"},
		{name: "begun again after the first run", body: pieces(2, 1, last), runs: []int{0, 0}, resumable: "whole cut left", once: "whole cut left"},
		{name: "resumed inside an event", body: pieces(1, 1, 3) + part + pieces(2, 4, last), runs: []int{0, 3}},
		{name: "resumed inside an event, its rest of another run", body: pieces(1, 1, 3) + part + secondRest + pieces(2, 5, last), runs: []int{0, 3}},
		{name: "resumed inside an event, goes on with the next", body: pieces(1, 1, 3) + part + pieces(2, 5, last), runs: []int{0, 4}},
		{name: "event of the first run after the second has begun", body: pieces(1, 1, 3) + pieces(2, 4, 4) + pieces(1, 5, 5) + pieces(2, 6, last), runs: []int{0, 3}},
		{name: "event of the first run again after the second has begun", body: pieces(1, 1, 3) + pieces(2, 4, 4) + pieces(1, 4, 4) + pieces(2, 5, last), runs: []int{0, 3}},
		{name: "event of the first run in place of one of the second", body: pieces(1, 1, 4) + pieces(2, 5, last), runs: []int{0, 3}},
		{name: "part of an event of the first run after the last", body: pieces(1, 1, 3) + pieces(2, 4, last) + part, runs: []int{0, 3}},
		{name: "resumed behind the last event, empty or refused", body: pieces(1, 1, last), runs: []int{0, last}, resumable: "whole cut left", once: "whole cut left"},
		{name: "resumed behind the last event, one more", body: pieces(1, 1, last) + pieces(2, last+1, last+1), runs: []int{0, last}},
		{name: "resumed behind the last event, a part of one more", body: pieces(1, 1, last) + pieces(2, last+1, last+1)[:20], runs: []int{0, last}},
		{name: "resumed behind the last event, which is repeated", body: pieces(1, 1, last) + pieces(2, last, last), runs: []int{0, last}},
		{name: "resumed behind the last event, anew", body: pieces(1, 1, last) + pieces(2, 1, last), runs: []int{0, last}},
		{name: "resumed too early, one event twice", body: pieces(1, 1, 3) + pieces(2, 3, last), runs: []int{0, 2}},
		{name: "resumed too early, repeated event dropped", body: pieces(1, 1, 3) + pieces(2, 4, last), runs: []int{0, 2}},
		{name: "resumed too late", body: pieces(1, 1, 3) + pieces(2, 5, last), runs: []int{0, 4}},
		{name: "joined with a run from the start", body: pieces(1, 1, 3) + pieces(2, 4, last), runs: []int{0, 0}},
		{name: "two writers", body: pieces(1, 1, 3) + pieces(2, 4, 5) + pieces(1, 6, last), runs: []int{0, 3}},
		{name: "resumed by the caller", body: pieces(1, 4, last), after: 3, runs: []int{3}, resumable: "whole cut left", once: "whole cut left"},
		{name: "resumed by the caller, then by the entry", body: pieces(1, 4, 6) + pieces(2, 7, last), after: 3, runs: []int{3, 6}, resumable: "whole cut left"},
		{name: "resumed by the caller, event missing", body: pieces(1, 5, last), after: 3, runs: []int{3}},
		{name: "resumed by the caller, event twice", body: pieces(1, 3, last), after: 3, runs: []int{3}},
		{name: "resumed by the caller, run from the start", body: pieces(1, 4, last), after: 3, runs: []int{0}},
		{name: "resumed by the caller, first events", body: pieces(1, 4, 5), after: 3, runs: []int{3}, resumable: "cut left", once: "cut left"},
	} {
		for _, kind := range deployments[0].kinds[:2] {
			for _, e := range endings {
				allowed := c.once
				if kind.resumable {
					allowed = c.resumable
				}
				t.Run(c.name+"/"+kind.name+"/"+e.name, func(t *testing.T) {
					a := &attempt{id: "a", answerID: "a", signature: "s", kind: kind, entry: &entry{name: "edge-0"}, status: 200, after: c.after, events: last, body: c.body, limit: kind.limit, begun: begin, sent: begin, ended: begin.Add(ms(500))}
					e.end(a)
					var runs []emulator.Run
					for i, after := range c.runs {
						runs = append(runs, emulator.Run{Software: "v1", Target: "x", Number: i + 1, After: after, From: begin, To: begin.Add(ms(400)), Outcome: emulator.RunBrokenOff})
					}
					attempts, want := []*attempt{a}, 0
					if c.after > 0 { // the caller got the events before in its first attempt
						first := &attempt{id: "b", answerID: "b", signature: "s", kind: kind, entry: a.entry, status: 200, events: last, body: strings.ReplaceAll(pieces(1, 1, c.after), "data: a", "data: b"), err: io.ErrUnexpectedEOF, limit: kind.limit, begun: begin, sent: begin, ended: begin.Add(ms(500))}
						a.resumes, attempts = "b", append(attempts, first)
					}
					if !slices.Contains(strings.Fields(allowed), e.name) {
						want = 1
					}
					d := &deploymentRun{deployment: deployments[0], world: &world{t: t, logDirectory: t.TempDir()}, attempts: attempts, runsOf: func(id string) []emulator.Run {
						if id == "b" {
							return []emulator.Run{{Software: "v1", Target: "x", Number: 1, From: begin, To: begin.Add(ms(400)), Outcome: emulator.RunBrokenOff}}
						}
						return runs
					}}
					if got := d.findings(); got["ORDER"] != want {
						t.Errorf("findings %v, want ORDER %d", got, want)
					}
				})
			}
		}
	}
}

// Guards against a judge that misses an event too many which a caller's resumption behind the last
// event brings, counts it more than once for a stream, or hides another fault of the stream with it.
func TestFindingsOfCallersBehindTheLastEvent(t *testing.T) {
	const last = 9
	begin := time.Now()
	pieces := func(id string, run, from, to int) string {
		var b strings.Builder
		for n := from; n <= to; n++ {
			b.WriteString(emulator.RunEvent(id, n, "v1", run))
		}
		return b.String()
	}
	type request struct {
		id, resumes string
		after       int
		body        string
		status      int  // 200 if 0
		cut         bool // the connection was closed
		runs        []emulator.Run
	}
	run := func(number, after int, outcome string) emulator.Run {
		return emulator.Run{Software: "v1", Target: "x", Number: number, After: after, Outcome: outcome, From: begin, To: begin.Add(ms(400))}
	}
	whole, more := run(1, 0, emulator.RunCompleted), run(2, last, emulator.RunCompleted)
	first := request{id: "a", body: pieces("a", 1, 1, last), cut: true, runs: []emulator.Run{whole}}
	behind := func(body string, runs ...emulator.Run) request {
		return request{id: "b", resumes: "a", after: last, body: body, runs: runs}
	}
	cut := func(r request) request {
		r.cut = true
		return r
	}
	moved := run(2, last, emulator.RunCompleted)
	moved.Service = "other"
	oneMore := behind(pieces("b", 2, last+1, last+1), more)
	for _, c := range []struct {
		name              string
		attempts          []request
		order             int
		byEntry, byCaller int // streams that are reported as whole ones resumed by them
	}{
		{name: "no event", attempts: []request{first, behind("", more)}, byCaller: 1},
		{name: "no event, cut", attempts: []request{first, cut(behind("", more))}, byCaller: 1},
		{name: "refused by the target", attempts: []request{first, {id: "b", resumes: "a", after: last, status: 400, runs: []emulator.Run{run(2, last, emulator.RunRefused)}}}, byCaller: 1},
		{name: "one more event", attempts: []request{first, oneMore}, order: 1, byCaller: 1},
		{name: "one more event, cut", attempts: []request{first, cut(oneMore)}, order: 1, byCaller: 1},
		{name: "a part of one more event", attempts: []request{first, cut(behind(oneMore.body[:20], more))}, order: 1, byCaller: 1},
		{name: "last event again", attempts: []request{first, behind(pieces("b", 2, last, last), more)}, order: 1, byCaller: 1},
		{name: "anew", attempts: []request{first, behind(pieces("b", 2, 1, last), more)}, order: 1, byCaller: 1},
		{name: "one more event of another service", attempts: []request{first, behind(oneMore.body, moved)}, order: 2, byCaller: 1},
		{name: "one more event that the entry asked for", attempts: []request{first, behind(oneMore.body, run(1, last, emulator.RunLost), more)}, order: 1, byCaller: 1},
		{name: "one more event, then another", attempts: []request{first, cut(oneMore),
			{id: "c", resumes: "b", after: last + 1, body: pieces("c", 3, last+2, last+2), runs: []emulator.Run{run(3, last+1, emulator.RunCompleted)}}}, order: 1, byCaller: 1},
		{name: "one more event, then events in a failure", attempts: []request{first, cut(oneMore),
			{id: "c", resumes: "b", after: last + 1, body: pieces("c", 3, last+2, last+2), status: 400, runs: []emulator.Run{run(3, last+1, emulator.RunRefused)}}}, order: 2, byCaller: 1},
		{name: "one more event by the entry, then another", attempts: []request{{id: "a", body: first.body + pieces("a", 2, last+1, last+1), cut: true, runs: []emulator.Run{whole, more}},
			{id: "b", resumes: "a", after: last + 1, body: pieces("b", 2, last+2, last+2), runs: []emulator.Run{run(2, last+1, emulator.RunCompleted)}}}, order: 1, byEntry: 1, byCaller: 1},
		{name: "other fault before", attempts: []request{{id: "a", body: pieces("a", 1, 1, 3) + pieces("a", 5, 4, last), cut: true, runs: []emulator.Run{whole}}, oneMore}, order: 2, byCaller: 1},
		{name: "one more event of two streams", attempts: []request{first, oneMore, {id: "d", body: pieces("d", 1, 1, last), cut: true, runs: []emulator.Run{whole}},
			{id: "e", resumes: "d", after: last, body: pieces("e", 2, last+1, last+1), runs: []emulator.Run{more}}}, order: 2, byCaller: 2},
		{name: "without its end, one more event", attempts: []request{{id: "a", body: first.body, cut: true, runs: []emulator.Run{run(1, 0, emulator.RunBrokenOff)}}, oneMore}, order: 1},
		{name: "without its end, resumed by the entry, one more event", attempts: []request{{id: "a", body: first.body + pieces("a", 2, last+1, last+1), runs: []emulator.Run{run(1, 0, emulator.RunBrokenOff), more}}}, order: 1},
		{name: "resumed before the last event", attempts: []request{{id: "a", body: pieces("a", 1, 1, last-1), cut: true, runs: []emulator.Run{whole}},
			{id: "b", resumes: "a", after: last - 1, body: pieces("b", 2, last, last), runs: []emulator.Run{run(2, last-1, emulator.RunCompleted)}}}},
		{name: "whole, resumed by the entry", attempts: []request{{id: "a", body: first.body, runs: []emulator.Run{whole, more}}}, byEntry: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := make(map[string][]emulator.Run)
			d := &deploymentRun{deployment: deployments[0], world: &world{t: t, logDirectory: t.TempDir()}, runsOf: func(id string) []emulator.Run { return runs[id] }}
			kind := deployments[0].kinds[1]
			for _, q := range c.attempts {
				a := &attempt{id: q.id, resumes: q.resumes, answerID: q.id, signature: "s", kind: kind, entry: &entry{name: "edge-0"}, status: 200, after: q.after, events: last, body: q.body, limit: kind.limit, begun: begin, sent: begin, ended: begin.Add(ms(500))}
				if q.status != 0 {
					a.status = q.status
				}
				if q.cut {
					a.err = io.ErrUnexpectedEOF
				}
				runs[a.id], d.attempts = q.runs, append(d.attempts, a)
			}
			got := d.findings()
			if got["ORDER"] != c.order || got["whole, resumed by the entry"] != c.byEntry || got["whole, resumed by the caller"] != c.byCaller {
				t.Errorf("findings %v, want ORDER %d and %d and %d whole ones resumed by the entry and by the caller", got, c.order, c.byEntry, c.byCaller)
			}
		})
	}
}

// Guards against callers that stop at the last event although the stream was broken off: a caller
// cannot know that it was the last, so that no run would show what a resumption behind it brings.
func TestCallersResumeBehindTheLastEvent(t *testing.T) {
	const last = 9
	type seen struct{ after, resumes string }
	for _, c := range []struct {
		name string
		kind *requestKind
		cuts []int // events after which an answer is cut; the further ones are whole
		want []seen
	}{
		{name: "whole", kind: deployments[0].kinds[1], want: []seen{{}}},
		{name: "cut before the last event", kind: deployments[0].kinds[1], cuts: []int{last - 1}, want: []seen{{}, {"8", "a-0"}}},
		{name: "cut behind the last event", kind: deployments[0].kinds[1], cuts: []int{last}, want: []seen{{}, {"9", "a-0"}}},
		{name: "cut behind the last event, then without an event", kind: deployments[0].kinds[1], cuts: []int{last, 0}, want: []seen{{}, {"9", "a-0"}, {"9", "a-0"}}},
		{name: "cut behind the last event and behind a further one", kind: deployments[0].kinds[1], cuts: []int{last, last + 1}, want: []seen{{}, {"9", "a-0"}, {"10", "a-1"}}},
		{name: "may not be resumed", kind: deployments[0].kinds[0], cuts: []int{last}, want: []seen{{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []seen
			ip := conntest.Address(t).String()
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, callerPort))
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = append(got, seen{r.Header.Get("Last-Event-Id"), r.Header.Get("Resumes")})
				after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent
				end := last
				if n := len(got); n <= len(c.cuts) {
					end = c.cuts[n-1]
				}
				w.WriteHeader(http.StatusOK)
				for n := after + 1; n <= end; n++ {
					fmt.Fprint(w, emulator.StreamEvent("a", n, "v1"))
				}
				if len(got) <= len(c.cuts) {
					http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			})}
			go server.Serve(ln)
			d := &deploymentRun{deployment: deployments[0], world: &world{t: t}, ready: make(map[*entry]int), idleSeen: callerIdle}
			kind := *c.kind
			kind.events, kind.body = distribution{mean: last, max: last}, distribution{mean: 1, max: 1}
			// Two entries at one address, since a caller does not try the same entry again at once.
			caller := &caller{run: d, prefer: []*entry{{name: "edge-0", ip: ip}, {name: "edge-1", ip: ip}}}
			caller.request(&kind, "a", newRandom(1))
			server.Close()
			if !slices.Equal(got, c.want) {
				t.Errorf("requests %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a judge that misses events of two services or software versions in one stream, or
// reports streams of one service and version.
func TestFindingsOfJoinedPlaces(t *testing.T) {
	const last = 9
	begin := time.Now()
	run := func(target, service, software string, number, after int, outcome string) emulator.Run {
		return emulator.Run{Target: target, Service: service, Software: software, Number: number, After: after, Outcome: outcome, From: begin, To: begin.Add(ms(400))}
	}
	type answer struct {
		runs []emulator.Run
		ends []int // the last event of each of the runs
	}
	broken := run("T", "s", "v1", 1, 0, emulator.RunBrokenOff)
	whole := func(target, service, software string, number, after int) emulator.Run {
		return run(target, service, software, number, after, emulator.RunCompleted)
	}
	for _, c := range []struct {
		name    string
		answers []answer // of the caller's attempts
		order   int
		want    string // of the last attempt
	}{
		{name: "one target", answers: []answer{{[]emulator.Run{whole("T", "s", "v1", 1, 0)}, []int{last}}}},
		{name: "resumed by the entry at the same version", answers: []answer{{[]emulator.Run{broken, whole("U", "s", "v1", 2, 6)}, []int{6, last}}}},
		{name: "resumed by the entry at another version", answers: []answer{{[]emulator.Run{broken, whole("U", "s", "v2", 2, 6)}, []int{6, last}}},
			order: 1, want: "the entry joined two software versions: event 7 came from run 2 at U of s, v2, the first from run 1 at T of s, v1"},
		{name: "resumed by the entry in place at another version", answers: []answer{{[]emulator.Run{broken, whole("T", "s", "v2", 2, 6)}, []int{6, last}}},
			order: 1, want: "the entry joined two software versions: event 7 came from run 2 at T of s, v2, the first from run 1 at T of s, v1"},
		{name: "resumed by the entry at another service", answers: []answer{{[]emulator.Run{broken, whole("U", "other", "v1", 2, 6)}, []int{6, last}}},
			order: 1, want: "the entry joined two services: event 7 came from run 2 at U of other, v1, the first from run 1 at T of s, v1"},
		{name: "resumed by the entry at another service and version", answers: []answer{{[]emulator.Run{broken, whole("U", "other", "v2", 2, 6)}, []int{6, last}}},
			order: 1, want: "the entry joined two services and software versions: event 7 came from run 2 at U of other, v2, the first from run 1 at T of s, v1"},
		{name: "begun again at another version before the first event", answers: []answer{{[]emulator.Run{broken, whole("U", "s", "v2", 2, 0)}, []int{0, last}}}},
		{name: "begun again at another service before the first event", answers: []answer{{[]emulator.Run{broken, whole("U", "other", "v1", 2, 0)}, []int{0, last}}}},
		{name: "run at another version that brought nothing", answers: []answer{{[]emulator.Run{broken, run("U", "s", "v2", 2, 6, emulator.RunBrokenOff), whole("V", "s", "v1", 3, 6)}, []int{6, 6, last}}}},
		{name: "run at another service that brought nothing", answers: []answer{{[]emulator.Run{broken, run("U", "other", "v1", 2, 6, emulator.RunBrokenOff), whole("V", "s", "v1", 3, 6)}, []int{6, 6, last}}}},
		{name: "resumed by the caller at the same version", answers: []answer{{[]emulator.Run{broken}, []int{6}}, {[]emulator.Run{whole("U", "s", "v1", 2, 6)}, []int{last}}}},
		{name: "resumed by the caller at another version", answers: []answer{{[]emulator.Run{broken}, []int{6}}, {[]emulator.Run{whole("U", "s", "v2", 2, 6)}, []int{last}}},
			order: 1, want: "the caller joined two software versions: event 7 came from run 2 at U of s, v2, the first from run 1 at T of s, v1"},
		{name: "resumed by the caller at another service", answers: []answer{{[]emulator.Run{broken}, []int{6}}, {[]emulator.Run{whole("U", "other", "v1", 2, 6)}, []int{last}}},
			order: 1, want: "the caller joined two services: event 7 came from run 2 at U of other, v1, the first from run 1 at T of s, v1"},
		{name: "begun again at another service by the caller, without an event before", answers: []answer{{[]emulator.Run{broken}, []int{0}}, {[]emulator.Run{whole("U", "other", "v1", 2, 0)}, []int{last}}}},
		{name: "resumed by the caller, then by the entry at another version", answers: []answer{{[]emulator.Run{broken}, []int{4}}, {[]emulator.Run{run("U", "s", "v1", 2, 4, emulator.RunBrokenOff), whole("V", "s", "v2", 3, 6)}, []int{6, last}}},
			order: 1, want: "the entry joined two software versions: event 7 came from run 3 at V of s, v2, the first from run 1 at T of s, v1"},
		{name: "resumed by the caller, then by the entry at another service", answers: []answer{{[]emulator.Run{broken}, []int{4}}, {[]emulator.Run{run("U", "s", "v1", 2, 4, emulator.RunBrokenOff), whole("V", "other", "v1", 3, 6)}, []int{6, last}}},
			order: 1, want: "the entry joined two services: event 7 came from run 3 at V of other, v1, the first from run 1 at T of s, v1"},
		{name: "resumed by the caller without an event, then at another version", answers: []answer{{[]emulator.Run{broken}, []int{6}}, {nil, nil}, {[]emulator.Run{whole("U", "s", "v2", 2, 6)}, []int{last}}},
			order: 1, want: "the caller joined two software versions: event 7 came from run 2 at U of s, v2, the first from run 1 at T of s, v1"},
		{name: "joined by the caller, which resumes again", answers: []answer{{[]emulator.Run{broken}, []int{4}}, {[]emulator.Run{run("U", "other", "v1", 2, 4, emulator.RunBrokenOff)}, []int{6}}, {[]emulator.Run{whole("U", "other", "v1", 3, 6)}, []int{last}}},
			order: 1, want: "the caller joined two services: event 7 came from run 3 at U of other, v1, the first from run 1 at T of s, v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := make(map[string][]emulator.Run)
			d := &deploymentRun{deployment: deployments[0], world: &world{t: t, logDirectory: t.TempDir()}, runsOf: func(id string) []emulator.Run { return runs[id] }}
			kind := deployments[0].kinds[1]
			after, resumes := 0, ""
			for i, answer := range c.answers {
				id := fmt.Sprintf("a-%d", i)
				a := &attempt{id: id, resumes: resumes, answerID: id, signature: "s", kind: kind, entry: &entry{name: "edge-0"}, status: 200, after: after, events: last, limit: kind.limit, begun: begin, sent: begin, ended: begin.Add(ms(500))}
				for j, r := range answer.runs {
					for ; after < answer.ends[j]; after++ {
						a.body += emulator.RunEvent(id, after+1, r.Software, r.Number)
					}
				}
				if after < last {
					a.err = io.ErrUnexpectedEOF
				}
				if a.body != "" {
					resumes = id
				}
				runs[id], d.attempts = answer.runs, append(d.attempts, a)
			}
			a := d.attempts[len(d.attempts)-1]
			got := ""
			if j := d.joinedPlaces(a, attemptsBefore(a, d.attemptsByID())); j.by != "" {
				got = j.String()
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if got := d.findings(); got["ORDER"] != c.order {
				t.Errorf("findings %v, want ORDER %d", got, c.order)
			}
		})
	}
}

// Guards against a count of refused resumptions that misses some, or gives them another reason than
// the entry logged.
func TestCountResumptions(t *testing.T) {
	const last = 9
	begin := time.Now()
	kind := deployments[0].kinds[1]
	lines := []string{
		`level=info msg="placement refused" request=cut-0 route=r rank=0 reason=version_left ahead=0`,
		`level=info msg="stream aborted" request=cut-0 route=r reason=no_placement_left last_event=4 runs=1`,
		`level=info msg="stream aborted" request=late-0 route=r reason=stream_broken last_event=4 runs=1`,
		`level=info msg="stream aborted" request=whole-0 route=r reason=stream_broken last_event=9 runs=2`,
		`level=info msg="request failed" request=refused-0 route=r customer=c configuration=1 outcome=not_run reason=unknown_origin retry_after=100ms`,
		`level=info msg="request failed" request=unnamed-0 route=r customer=c configuration=1 outcome=not_run reason=origin_not_on_route`,
	}
	d := &deploymentRun{deployment: deployments[0], world: &world{t: t, logDirectory: t.TempDir()}, runsOf: func(id string) []emulator.Run {
		switch id {
		case "on-0":
			return []emulator.Run{{Number: 1}, {Number: 2, After: 4}}
		case "whole-0":
			return []emulator.Run{{Number: 1}, {Number: 2, After: last}}
		}
		return []emulator.Run{{Number: 1}}
	}}
	if err := os.WriteFile(d.world.logDirectory+"/edge-0.log", []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	add := func(id string, status, received, after int, resumes string, took time.Duration) {
		d.attempts = append(d.attempts, &attempt{id: id, kind: kind, status: status, body: strings.Repeat("x\n\n", received), after: after, events: last, resumes: resumes, limit: kind.limit, begun: begin, ended: begin.Add(took)})
	}
	add("on-0", 200, last, 0, "", ms(500))
	add("cut-0", 200, 4, 0, "", ms(500))
	add("late-0", 200, 4, 0, "", kind.limit)
	add("whole-0", 200, last, 0, "", ms(500))
	add("untouched-0", 200, last, 0, "", ms(500))
	add("resumed-0", 200, 5, 4, "cut-0", ms(500))
	add("refused-0", 503, 0, 4, "cut-0", ms(500))
	add("lost-0", 0, 0, 4, "cut-0", ms(500))
	add("behind-0", 503, 0, last, "whole-0", ms(500))
	add("unnamed-0", 503, 0, 4, "cut-0", ms(500))
	d.attempts[len(d.attempts)-1].unnamed = true
	byEntry, byCaller, unnamed := d.countResumptions()
	if got, want := byEntry.String(), "1 of 3 went on, refused: map[no_placement_left/version_left:1 time limit:1]"; got != want {
		t.Errorf("by the entry: %s, want %s", got, want)
	}
	if got, want := byCaller.String(), "1 of 3 went on, refused: map[status 0:1 unknown_origin (503):1]"; got != want {
		t.Errorf("by the caller: %s, want %s", got, want)
	}
	if got, want := unnamed.String(), "0 of 1 went on, refused: map[origin_not_on_route (503):1]"; got != want {
		t.Errorf("by the caller without the name of the request: %s, want %s", got, want)
	}
}
