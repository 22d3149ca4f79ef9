package faultsoak

import (
	"io"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// Guards against a judge that misses, for a form in which the process of a target ends, a stream
// that ends as complete too early or a whole one that is broken off, that does not say which form it
// was, or that reports what is allowed.
func TestFindingsOfEndedTargets(t *testing.T) {
	const last = 9
	begin := time.Now()
	at := func(n int) time.Time { return begin.Add(ms(n)) }
	kind := deployments[0].kinds[0]
	for _, form := range endingForms {
		for _, announced := range []bool{false, form != endKill} {
			how := ending{form, announced}.String()
			for _, c := range []struct {
				name    string
				events  int // that the caller got
				err     error
				outcome string // of the run
				endedAt int    // of the process
				want    map[string]int
				ends    streamEnds // besides streams
				named   bool       // the finding names the form
			}{
				{name: "ends too early", events: 3, outcome: emulator.RunBrokenOff, endedAt: 300, named: true,
					want: map[string]int{"ORDER": 1}, ends: streamEnds{cut: map[string]int{how: 1}, early: map[string]int{how: 1}}},
				{name: "ends too early, no event", outcome: emulator.RunBrokenOff, endedAt: 300, named: true,
					want: map[string]int{"ORDER": 1}, ends: streamEnds{cut: map[string]int{how: 1}, early: map[string]int{how: 1}, noEvent: 1}},
				{name: "ends too early before the process", events: 3, outcome: emulator.RunDropped, endedAt: 450,
					want: map[string]int{"ORDER": 1}, ends: streamEnds{early: map[string]int{"other": 1}}},
				{name: "broken off by the target", events: 3, err: io.ErrUnexpectedEOF, outcome: emulator.RunBrokenOff, endedAt: 300,
					ends: streamEnds{cut: map[string]int{how: 1}}},
				{name: "whole, broken off by the entry", events: last, err: io.ErrUnexpectedEOF, outcome: emulator.RunCompleted, endedAt: 300, named: true,
					want: map[string]int{"dropped": 1, "cut, excused": 1}, ends: streamEnds{whole: 1, brokenOff: 1}},
				{name: "whole", events: last, outcome: emulator.RunCompleted, endedAt: 300, ends: streamEnds{whole: 1}},
			} {
				t.Run(how+"/"+c.name, func(t *testing.T) {
					var body strings.Builder
					for n := range c.events {
						body.WriteString(emulator.RunEvent("a", n+1, "v1", 1001))
					}
					a := &attempt{id: "a", answerID: "a", signature: "s", kind: kind, entry: &entry{name: "edge-0"}, status: 200, events: last, body: body.String(), err: c.err, limit: kind.limit, begun: begin, sent: begin, ended: at(500)}
					run := emulator.Run{Target: "x", Number: 1001, From: begin, To: at(400), Outcome: c.outcome, Events: last}
					d := &deploymentRun{
						deployment: deployments[0], world: &world{t: t, logDirectory: t.TempDir()}, attempts: []*attempt{a},
						events: []event{{what: how, where: "x", from: at(c.endedAt), to: at(c.endedAt), impairment: true}},
						runsOf: func(string) []emulator.Run { return []emulator.Run{run} },
					}
					if got := d.findings(); !maps.Equal(got, c.want) {
						t.Errorf("findings %v, want %v", got, c.want)
					}
					c.ends.streams = 1
					if got := d.streamEnds(); got.String() != c.ends.String() {
						t.Errorf("ends of streams: %v, want %v", got, c.ends)
					}
					if c.want != nil && strings.HasSuffix(d.describe("", a, []emulator.Run{run}, ""), how) != c.named {
						t.Errorf("the finding names %q: %t, want %t", how, !c.named, c.named)
					}
				})
			}
		}
	}
}

// Guards against a judge that misses a stream which was resumed behind its last event, or one that
// was whole before or has further events then, and against one that reports others.
func TestResumedWholeStreams(t *testing.T) {
	const last = 9
	type r struct {
		after   int
		outcome string
	}
	for _, c := range []struct {
		name      string
		runs      []r
		events    int // that the caller got
		brokenOff bool
		want      streamEnds
	}{
		{name: "one run", runs: []r{{0, emulator.RunCompleted}}, events: last, want: streamEnds{whole: 1}},
		{name: "resumed before the last event", runs: []r{{0, emulator.RunBrokenOff}, {last - 1, emulator.RunCompleted}}, events: last, want: streamEnds{whole: 1}},
		{name: "whole, resumed, empty", runs: []r{{0, emulator.RunCompleted}, {last, emulator.RunCompleted}}, events: last, want: streamEnds{whole: 1, behind: 1, resumed: 1}},
		{name: "whole, resumed, one more event", runs: []r{{0, emulator.RunCompleted}, {last, emulator.RunCompleted}}, events: last + 1, want: streamEnds{whole: 1, behind: 1, resumed: 1, beyond: 1}},
		{name: "whole, resumed, refused", runs: []r{{0, emulator.RunCompleted}, {last, emulator.RunRefused}}, events: last, brokenOff: true, want: streamEnds{whole: 1, brokenOff: 1, behind: 1, resumed: 1}},
		{name: "without its end, resumed, one more event", runs: []r{{0, emulator.RunBrokenOff}, {last, emulator.RunCompleted}}, events: last + 1, want: streamEnds{whole: 1, behind: 1, beyond: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &attempt{id: "a", kind: deployments[0].kinds[1], entry: &entry{name: "edge-0"}, status: 200, events: last, body: strings.Repeat("id\n\n", c.events)}
			if c.brokenOff {
				a.err = io.ErrUnexpectedEOF
			}
			var runs []emulator.Run
			for i, r := range c.runs {
				runs = append(runs, emulator.Run{Target: "x", Number: i + 1, After: r.after, Outcome: r.outcome})
			}
			d := &deploymentRun{attempts: []*attempt{a}, runsOf: func(string) []emulator.Run { return runs }}
			c.want.streams = 1
			if got := d.streamEnds(); got.String() != c.want.String() {
				t.Errorf("ends of streams: %v, want %v", got, c.want)
			}
		})
	}
}
