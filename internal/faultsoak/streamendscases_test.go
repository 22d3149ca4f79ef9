package faultsoak

import (
	"fmt"
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
					run := emulator.Run{Software: "v1", Target: "x", Number: 1001, From: begin, To: at(400), Outcome: c.outcome, Events: last}
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

// Guards against a count that misses a stream which was resumed behind its last event, or one that
// was whole before or has further events then, that takes the entry for the caller, or that takes a
// caller's resumption for a further stream.
func TestResumedWholeStreams(t *testing.T) {
	const last = 9
	type r struct {
		after   int
		outcome string
	}
	type request struct {
		runs   []r
		events int // that the caller got, in all
		after  int // Last-Event-Id; the attempt resumes the one with the number of resumes
		status int // 200 if 0, none if below
		cut    bool
		body   string // in place of the events
	}
	whole := r{0, emulator.RunCompleted}
	behind := r{last, emulator.RunCompleted}
	brokenOff := request{runs: []r{whole}, events: last, cut: true}
	body := func(from, to int) string {
		var b strings.Builder
		for n := from; n <= to; n++ {
			b.WriteString(emulator.RunEvent("a", n, "v1", 1))
		}
		return b.String()
	}
	answers := func(names ...string) map[string]int {
		m := make(map[string]int)
		for _, n := range names {
			m[n]++
		}
		return m
	}
	for _, c := range []struct {
		name     string
		attempts []request
		want     streamEnds
	}{
		{name: "one run", attempts: []request{{runs: []r{whole}, events: last}}, want: streamEnds{streams: 1, whole: 1}},
		{name: "resumed before the last event", attempts: []request{{runs: []r{{0, emulator.RunBrokenOff}, {last - 1, emulator.RunCompleted}}, events: last}}, want: streamEnds{streams: 1, whole: 1}},
		{name: "resumed before the last event by the caller", attempts: []request{{runs: []r{{0, emulator.RunBrokenOff}}, events: last - 1, cut: true}, {runs: []r{{last - 1, emulator.RunCompleted}}, after: last - 1, events: last}},
			want: streamEnds{streams: 2, whole: 1}},
		{name: "whole, resumed, empty", attempts: []request{{runs: []r{whole, behind}, events: last}}, want: streamEnds{streams: 1, whole: 1, behind: 1, byEntry: resumed{streams: 1}}},
		{name: "whole, resumed, one more event", attempts: []request{{runs: []r{whole, behind}, events: last + 1}}, want: streamEnds{streams: 1, whole: 1, behind: 1, beyond: 1, byEntry: resumed{1, 1}}},
		{name: "whole, resumed, refused", attempts: []request{{runs: []r{whole, {last, emulator.RunRefused}}, events: last, cut: true}}, want: streamEnds{streams: 1, whole: 1, brokenOff: 1, behind: 1, byEntry: resumed{streams: 1}}},
		{name: "without its end, resumed, one more event", attempts: []request{{runs: []r{{0, emulator.RunBrokenOff}, behind}, events: last + 1}}, want: streamEnds{streams: 1, whole: 1, behind: 1, beyond: 1}},
		{name: "whole, resumed by the caller, empty", attempts: []request{brokenOff, {runs: []r{behind}, after: last, events: last}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{streams: 1}, answers: answers("no event")}},
		{name: "whole, resumed by the caller, empty and cut", attempts: []request{brokenOff, {runs: []r{behind}, after: last, events: last, cut: true}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{streams: 1}, answers: answers("no event, cut")}},
		{name: "whole, resumed by the caller, one more event", attempts: []request{brokenOff, {runs: []r{behind}, after: last, events: last + 1}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{1, 1}, answers: answers("next event")}},
		{name: "whole, resumed by the caller, part of one more event", attempts: []request{brokenOff, {runs: []r{behind}, after: last, body: body(last+1, last+1)[:20], cut: true}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{1, 1}, answers: answers("next event, cut")}},
		{name: "whole, resumed by the caller, last event again", attempts: []request{brokenOff, {runs: []r{behind}, after: last, body: body(last, last)}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{1, 1}, answers: answers("last event again")}},
		{name: "whole, resumed by the caller, anew", attempts: []request{brokenOff, {runs: []r{behind}, after: last, body: body(1, last)}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{1, 1}, answers: answers("other events")}},
		{name: "whole, resumed by the caller, refused", attempts: []request{brokenOff, {runs: []r{{last, emulator.RunRefused}}, after: last, events: last, status: 400}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{streams: 1}, answers: answers("status 400")}},
		{name: "whole, resumed by the caller, no answer", attempts: []request{brokenOff, {after: last, events: last, status: -1, cut: true}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{streams: 1}, answers: answers("connection closed")}},
		{name: "whole, resumed twice by the caller", attempts: []request{brokenOff, {runs: []r{behind}, after: last, events: last + 1, cut: true}, {runs: []r{{last + 1, emulator.RunCompleted}}, after: last + 1, events: last + 2}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{1, 1}, answers: answers("next event, cut", "next event")}},
		{name: "whole, resumed by the caller, one more event, then none", attempts: []request{brokenOff, {runs: []r{behind}, after: last, events: last + 1, cut: true}, {runs: []r{{last + 1, emulator.RunCompleted}}, after: last + 1, events: last + 1}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, byCaller: resumed{1, 1}, answers: answers("next event, cut", "no event")}},
		{name: "whole, resumed by the entry, then by the caller", attempts: []request{{runs: []r{whole, {last, emulator.RunBrokenOff}}, events: last, cut: true}, {runs: []r{behind}, after: last, events: last + 1}},
			want: streamEnds{streams: 1, whole: 1, brokenOff: 1, behind: 1, byEntry: resumed{streams: 1}, byCaller: resumed{1, 1}, answers: answers("next event")}},
		{name: "whole at the second attempt, resumed by the caller", attempts: []request{{runs: []r{{0, emulator.RunBrokenOff}}, events: 3, cut: true}, {runs: []r{{3, emulator.RunCompleted}}, after: 3, events: last, cut: true}, {runs: []r{behind}, after: last, events: last + 1}},
			want: streamEnds{streams: 2, whole: 1, brokenOff: 1, byCaller: resumed{1, 1}, answers: answers("next event")}},
		{name: "without its end, resumed by the caller, one more event", attempts: []request{{runs: []r{{0, emulator.RunBrokenOff}}, events: last, cut: true}, {runs: []r{behind}, after: last, events: last + 1}},
			want: streamEnds{streams: 1, answers: answers("next event")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &deploymentRun{}
			runs := make(map[string][]emulator.Run)
			d.runsOf = func(id string) []emulator.Run { return runs[id] }
			for i, q := range c.attempts {
				a := &attempt{id: fmt.Sprintf("a-%d", i), kind: deployments[0].kinds[1], entry: &entry{name: "edge-0"}, status: 200, after: q.after, events: last, body: q.body}
				if q.after > 0 {
					a.resumes = fmt.Sprintf("a-%d", i-1)
				}
				if a.body == "" {
					a.body = body(q.after+1, q.events)
				}
				if q.status != 0 {
					a.status = max(0, q.status)
				}
				if q.cut {
					a.err = io.ErrUnexpectedEOF
				}
				for n, r := range q.runs {
					runs[a.id] = append(runs[a.id], emulator.Run{Software: "v1", Target: "x", Number: n + 1, After: r.after, Outcome: r.outcome})
				}
				d.attempts = append(d.attempts, a)
			}
			if got := d.streamEnds(); got.String() != c.want.String() {
				t.Errorf("ends of streams: %v, want %v", got, c.want)
			}
		})
	}
}
