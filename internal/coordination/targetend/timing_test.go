package targetend

import (
	"math"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against whole responses that are taken for cut because another one ended by chance at the same
// moment, or because their end was read late, and against cut ones that are taken for whole, where the
// timing of the ends tells them apart.
func TestJudgeByTiming(t *testing.T) {
	const with, between, unknown = Weight(8), Weight(-14), Weight(0)
	end := time.Now()
	together := func(timings ...Weight) Report {
		return Report{Seen: Seen{Ended: make([]time.Duration, len(timings)), EndedTimings: timings}, Earliest: end, Latest: end}
	}
	refusing := Report{Seen: Seen{Refusing: time.Second}, Earliest: end, Latest: end}
	goesOn := Report{Seen: Seen{Open: []time.Duration{0}}, Earliest: end, Latest: end}
	leaves, ended, drained := End{At: end, Promised: true}, End{At: end}, End{At: end, Drained: true}
	for _, c := range []struct {
		name    string
		end     End
		timing  Weight
		reports []Report
		want    Verdict
	}{
		{"as promised, with its last event", leaves, with, nil, Whole},
		{"as promised, beside another whole one", leaves, with, []Report{together(with)}, Undecided},
		{"as promised, beside three whole ones", leaves, with, []Report{together(with, with, with)}, Undecided},
		{"as promised, beside one of unknown timing", leaves, with, []Report{together(unknown)}, Undecided},
		{"as promised, beside a cut one", leaves, with, []Report{together(between)}, Cut},
		{"as promised, between events", leaves, between, nil, Cut},
		{"as promised, between events, one goes on", leaves, between, []Report{goesOn}, Undecided},
		{"as promised, beside an end that an earlier release tells", leaves, unknown, []Report{{Seen: Seen{Ended: []time.Duration{0}}, Earliest: end, Latest: end}}, Cut},
		{"ended, with its last event", ended, with, nil, Undecided},
		{"ended, between events", ended, between, nil, Cut},
		{"ended, beside a whole one", ended, with, []Report{together(with)}, Undecided},
		{"refused long before, between events", ended, between, []Report{refusing}, Undecided},
		{"refused long before, beside a whole one", ended, with, []Report{refusing, together(with)}, Whole},
		{"refused long before, of unknown timing, beside one whose end was common there", ended, unknown, []Report{refusing, together(with)}, Undecided},
		{"refused long before, beside a cut one", ended, with, []Report{refusing, together(between)}, Cut},
		{"drained, beside a whole one", drained, with, []Report{together(with)}, Whole},
		{"drained, beside a cut one", drained, with, []Report{together(between)}, Cut},
		{"only the end of the connection marks it", End{At: end, Unmarked: true, Drained: true}, with, nil, Undecided},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.end.Timing = c.timing
			if j := Judge(c.end, c.reports...); j.Verdict != c.want {
				t.Errorf("%s because %s, want %s (%+v)", j.Verdict, j.Reason, c.want, j)
			}
		})
	}
}

// Guards against whole responses that are broken off although their signs speak for them, such as the last one
// of a target that had refused connections for half a second, because its end was read a little late; and
// against cut ones that are believed because no sign speaks against them.
func TestIsLikelyWhole(t *testing.T) {
	at := time.Now()
	refusing := Seen{Refusing: time.Second}
	for _, c := range []struct {
		name string
		end  End
		seen Seen
		want bool
	}{
		{"refused long before, read a little late", End{Timing: -5.1}, refusing, true},
		{"ended with its last event", End{Timing: 8}, Seen{}, true},
		{"ended with its last event, as another one at that moment", End{Timing: 8}, Seen{Ended: []time.Duration{0}, EndedTimings: []Weight{12}}, false},
		{"refused long before, read a little late, another one ended with its last event", End{Timing: -6}, Seen{Refusing: time.Second, Ended: []time.Duration{0}, EndedTimings: []Weight{13}}, true},
		{"refused long before, between events", End{Timing: -16}, refusing, false},
		{"refused long before, timing of a cut", End{Timing: -13.2}, refusing, false},
		{"nothing known", End{}, Seen{}, false},
		{"often ends so when it is cut", End{Timing: 4}, Seen{}, false},
		{"another one was cut with it", End{Timing: 8}, Seen{Ended: []time.Duration{0}, EndedTimings: []Weight{-14}}, false},
		{"without length or chunks", End{Unmarked: true}, refusing, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.end.At = at
			if j := Judge(c.end, Report{Seen: c.seen, Earliest: at, Latest: at}); j.IsLikelyWhole() != c.want {
				t.Errorf("likely whole %t, want %t (%+v)", j.IsLikelyWhole(), c.want, j)
			}
		})
	}
}

// Guards against a target that ends many streams a second and of which each coincidence counts like a rare one.
func TestCoincidencesAtBusyTarget(t *testing.T) {
	end := time.Now()
	seen := Seen{Ended: []time.Duration{0}}
	quiet := Judge(End{At: end}, Report{Seen: seen, Earliest: end, Latest: end})
	for i := range 20 {
		seen.Ended = append(seen.Ended, 50*time.Millisecond+time.Duration(i)*90*time.Millisecond)
	}
	busy := Judge(End{At: end}, Report{Seen: seen, Earliest: end, Latest: end})
	if busy.Together != 1 || busy.Others < quiet.Others+5 {
		t.Errorf("%d ended together with weight %.1f, at a quiet target %.1f", busy.Together, busy.Others, quiet.Others)
	}
}

// Guards against a cut stream whose end seems to come with its last event because a busy entry read that late.
func TestWeightOfTimingAtBusyEntry(t *testing.T) {
	const gap = 20 * time.Millisecond
	var idle, busy Log
	for range 10 * lateSamples {
		idle.ReadLate(0)
		busy.ReadLate(gap / 2)
		idle.Learn("s", WithLastEvent, gap)
		busy.Learn("s", WithLastEvent, gap)
	}
	a, b := idle.TimingWeight("s", WithLastEvent, gap), busy.TimingWeight("s", WithLastEvent, gap)
	if b < 0 || b > a-3 {
		t.Errorf("weight %.1f at an idle entry, %.1f at a busy one", a, b)
	}
	for range 10 * lateSamples {
		busy.ReadLate(10 * gap)
	}
	if w := busy.TimingWeight("s", SoonAfter, gap); w > 0 {
		t.Errorf("weight %.1f of an end soon after the event at a busy entry", w)
	}
}

// Guards against a timing that counts as proof although it is common at both kinds of ends: at services whose
// whole responses end later than their last event, and where streams have events as often as ends are timed.
func TestWeightOfTiming(t *testing.T) {
	for _, c := range []struct {
		name     string
		learned  Timing // at all whole ends; TimingUnknown for none
		timing   Timing
		gap      time.Duration
		min, max Weight
	}{
		{"nothing seen, between events", TimingUnknown, BetweenEvents, 100 * time.Millisecond, -sufficientWeight + 1, -1},
		{"nothing seen, with the last event", TimingUnknown, WithLastEvent, 100 * time.Millisecond, 1, sufficientWeight - 1},
		{"ends come with the last event", WithLastEvent, WithLastEvent, 100 * time.Millisecond, 8, sufficientWeight},
		{"ends come with the last event, this one between events", WithLastEvent, BetweenEvents, 100 * time.Millisecond, -30, -sufficientWeight},
		{"ends come between events", BetweenEvents, BetweenEvents, 100 * time.Millisecond, -1, 3},
		{"ends come between events, this one with the last", BetweenEvents, WithLastEvent, 100 * time.Millisecond, -30, -sufficientWeight},
		{"events come all the time", WithLastEvent, WithLastEvent, time.Millisecond, 0, 1},
		{"unknown timing", WithLastEvent, TimingUnknown, 100 * time.Millisecond, 0, 0},
		{"unknown time between events", WithLastEvent, BetweenEvents, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l Log
			for range 2 * maxCounted {
				l.Learn("s", c.learned, 0)
				l.Learn("other", BetweenEvents, time.Second)
			}
			if w := l.TimingWeight("s", c.timing, c.gap); w < c.min || w > c.max || math.IsNaN(float64(w)) {
				t.Errorf("weight %.1f, want %.1f to %.1f", w, c.min, c.max)
			}
			if n := len(l.timings); n > 2 || c.learned != TimingUnknown && l.timings[state.Service("s")].rates[c.learned] > maxCounted {
				t.Errorf("%d services, %v", n, l.timings["s"])
			}
		})
	}
}

// Guards against a stream without length or chunks of a killed process that is believed because other streams of
// its target ended with it while further ones, which nobody has read yet, seem to go on.
func TestUnmarkedEndBesideOpenStreamIsNotLikelyWhole(t *testing.T) {
	at := time.Now()
	seen := Seen{Refusing: time.Second, Open: []time.Duration{unknownAge}}
	for range maxEnds { // a busy target, at which a coincidence shows little
		seen.Ended, seen.EndedTimings = append(seen.Ended, time.Second), append(seen.EndedTimings, 0)
	}
	seen.Ended, seen.EndedTimings = append(seen.Ended, 0), append(seen.EndedTimings, 10)
	if j := Judge(End{At: at, Unmarked: true}, Report{Seen: seen, Earliest: at, Latest: at}); j.IsLikelyWhole() {
		t.Errorf("likely whole (%+v)", j)
	}
}
