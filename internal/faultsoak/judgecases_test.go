package faultsoak

import (
	"io"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// Guards against a judge that misses a broken rule, and against one that reports what the
// users' rules allow.
func TestFindings(t *testing.T) {
	stream, resumable, plain := deployments[0].kinds[0], deployments[0].kinds[1], deployments[0].kinds[3]
	begin := time.Now()
	at := func(n int) time.Time { return begin.Add(ms(n)) }
	run := func(target string, from, to int, outcome string) emulator.Run {
		return emulator.Run{Target: target, From: at(from), To: at(to), Outcome: outcome}
	}
	stopped := event{what: "SIGTERM", where: "edge-0", from: at(-1000), to: at(-1000)}
	events := func(n int) string {
		var b strings.Builder
		for i := range n {
			b.WriteString(emulator.StreamEvent("a", i+1, "v1"))
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
