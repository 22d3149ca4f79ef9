package targetend

import (
	"testing"
	"testing/synctest"
	"time"
)

const ms = time.Millisecond

// Guards against cut responses that are taken for whole, and whole ones for cut, by each kind of
// evidence, of this entry and of others, whose answers take time.
func TestJudge(t *testing.T) {
	end := time.Now()
	// at returns a report that was put together between two times after the end.
	at := func(earliest, latest time.Duration, s Seen) Report {
		return Report{Seen: s, Earliest: end.Add(earliest), Latest: end.Add(latest)}
	}
	now := func(after time.Duration, s Seen) Report { return at(after, after, s) }
	open := func(ages ...time.Duration) Seen { return Seen{Open: ages} }
	ended := func(ages ...time.Duration) Seen { return Seen{Ended: ages} }
	for _, c := range []struct {
		name    string
		reports []Report
		verdict Verdict
		reason  string
	}{
		{"nothing known", nil, Undecided, "not_known_to_refuse_before"},
		{"another goes on long after", []Report{now(SurvivalTime, open(SurvivalTime-CancelTime-1))}, Whole, "other_stream_goes_on"},
		{"another goes on, last data too early", []Report{now(SurvivalTime, open(SurvivalTime-CancelTime))}, Undecided, "not_known_to_refuse_before"},
		{"another goes on, too early to say", []Report{now(SurvivalTime-1, open(0))}, Undecided, "not_known_to_refuse_before"},
		{"another goes on, time of its data not known", []Report{now(SurvivalTime, open(unknownAge))}, Undecided, "not_known_to_refuse_before"},
		{"another goes on at another entry", []Report{{}, now(SurvivalTime, open(0))}, Whole, "other_stream_goes_on"},
		{"slow answer of another entry", []Report{at(SurvivalTime-1, 2*SurvivalTime, open(0))}, Undecided, "not_known_to_refuse_before"},
		{"another ended together", []Report{now(50*ms, ended(50*ms+togetherTime))}, Cut, "ended_together"},
		{"another ended together, a little later", []Report{now(50*ms, ended(50*ms-togetherTime))}, Cut, "ended_together"},
		{"another ended before", []Report{now(50*ms, ended(50*ms+togetherTime+1))}, Undecided, "not_known_to_refuse_before"},
		{"another ended later", []Report{now(50*ms, ended(50*ms-togetherTime-1))}, Undecided, "not_known_to_refuse_before"},
		{"another ended together at another entry", []Report{{}, at(30*ms, 70*ms, ended(80*ms))}, Cut, "ended_together"},
		{"another ended together, one goes on", []Report{now(50*ms, Seen{Open: []time.Duration{0}, Ended: []time.Duration{50 * ms}})}, Undecided, "some_ended_together"},
		{"another ended together, one goes on long after", []Report{now(SurvivalTime, Seen{Open: []time.Duration{0}, Ended: []time.Duration{SurvivalTime}})}, Whole, "other_stream_goes_on"},
		{"refused long before", []Report{now(50*ms, Seen{Refusing: 50*ms + CancelTime + 1})}, Whole, "went_on_while_refusing"},
		{"refused just before", []Report{now(50*ms, Seen{Refusing: 50*ms + CancelTime})}, Undecided, "began_to_refuse_just_before"},
		{"refused later", []Report{now(50*ms, Seen{Refusing: 40 * ms})}, Undecided, "not_known_to_refuse_before"},
		{"refused long before at another entry", []Report{{}, at(0, 50*ms, Seen{Refusing: 50*ms + CancelTime + 1})}, Whole, "went_on_while_refusing"},
		{"refused before at another entry, slow answer", []Report{at(0, 51*ms, Seen{Refusing: 50*ms + CancelTime + 1})}, Undecided, "began_to_refuse_just_before"},
		{"refused long before, another ended together elsewhere", []Report{now(50*ms, Seen{Refusing: time.Second}), now(50*ms, ended(50*ms))}, Cut, "ended_together"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if j := Judge(End{At: end}, c.reports...); j.Verdict != c.verdict || j.Reason != c.reason {
				t.Errorf("%s because %s, want %s because %s (%+v)", j.Verdict, j.Reason, c.verdict, c.reason, j)
			}
		})
	}
}

// Guards against a response without length or chunks that is taken for whole because its target had
// refused connections before: a process that is killed while it finishes its streams closes their
// connections too. Only a stream that goes on shows that it was not killed.
func TestJudgeEndThatOnlyTheConnectionMarks(t *testing.T) {
	end := time.Now()
	for _, c := range []struct {
		name    string
		seen    Seen
		verdict Verdict
		reason  string
	}{
		{"refused long before", Seen{Refusing: time.Hour}, Undecided, "end_not_marked"},
		{"refused long before, another goes on", Seen{Refusing: time.Hour, Open: []time.Duration{0}}, Whole, "other_stream_goes_on"},
		{"another ended together", Seen{Ended: []time.Duration{SurvivalTime}}, Cut, "ended_together"},
		{"another sent nothing more", Seen{Open: []time.Duration{SurvivalTime}}, Undecided, "end_not_marked"},
	} {
		t.Run(c.name, func(t *testing.T) {
			at := end.Add(SurvivalTime)
			if j := Judge(End{At: end, Unmarked: true}, Report{Seen: c.seen, Earliest: at, Latest: at}); j.Verdict != c.verdict || j.Reason != c.reason {
				t.Errorf("%s because %s, want %s because %s", j.Verdict, j.Reason, c.verdict, c.reason)
			}
		})
	}
}

// Guards against the last stream of a target that had said long before that it leaves, and exits behind
// it, which is taken for cut; and against streams that such a target cancels and that are taken for whole.
func TestJudgeEndAtDrainedTarget(t *testing.T) {
	at := time.Now()
	for _, c := range []struct {
		name    string
		end     End
		seen    Seen
		verdict Verdict
	}{
		{"last one", End{Drained: true}, Seen{}, Whole},
		{"last one, others ended before", End{Drained: true}, Seen{Ended: []time.Duration{time.Second}}, Whole},
		{"last one, without length or chunks", End{Drained: true, Unmarked: true}, Seen{}, Undecided},
		{"drain time not over", End{}, Seen{}, Undecided},
		{"another ended together", End{Drained: true}, Seen{Ended: []time.Duration{0}}, Cut},
		{"another is open", End{Drained: true}, Seen{Open: []time.Duration{0}}, Undecided},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.end.At = at
			j := Judge(c.end, Report{Seen: c.seen, Earliest: at, Latest: at})
			if j.Verdict != c.verdict || j.Verdict == Whole && !j.NeedsOthers() {
				t.Errorf("%s because %s, other entries asked %t; want %s", j.Verdict, j.Reason, j.NeedsOthers(), c.verdict)
			}
		})
	}
}

// Guards against a log that forgets what a target did as soon as its last stream has left, which another
// entry asks for, or that remembers it for ever, and against a target that is taken for one that refuses
// connections after it has run requests again.
func TestLog(t *testing.T) {
	at := func(d time.Duration) func() (time.Time, bool) {
		when := time.Now().Add(d)
		return func() (time.Time, bool) { return when, true }
	}
	for _, c := range []struct {
		name     string
		play     func(l *Log)
		open     int
		ended    int
		refusing time.Duration
	}{
		{"streams that go on and have ended", func(l *Log) {
			l.Begin("t", time.Now(), at(0))
			l.Begin("t", time.Now(), at(0)).End(time.Now())
			l.Begin("u", time.Now(), at(0))
			l.Begin("t", time.Now(), at(0)).Leave()
		}, 1, 1, 0},
		{"last stream has ended", func(l *Log) {
			l.Begin("t", time.Now(), at(0)).End(time.Now())
			time.Sleep(retention - 1)
			l.Begin("u", time.Now(), at(0))
		}, 0, 1, 0},
		{"ended long ago", func(l *Log) {
			l.Begin("t", time.Now(), at(0)).End(time.Now())
			time.Sleep(retention)
		}, 0, 0, 0},
		{"end is recorded once", func(l *Log) {
			s := l.Begin("t", time.Now(), at(0))
			s.End(time.Now())
			s.End(time.Now())
			s.Leave()
		}, 0, 1, 0},
		{"many ends", func(l *Log) {
			for range maxEnds + 1 {
				l.Begin("t", time.Now(), at(0)).End(time.Now())
			}
		}, 0, maxEnds, 0},
		{"refuses without streams, first seen counts", func(l *Log) {
			l.Refuses("t", time.Now())
			time.Sleep(time.Second)
			l.Refuses("t", time.Now())
		}, 0, 0, time.Second},
		{"refused long ago", func(l *Log) {
			l.Refuses("t", time.Now())
			time.Sleep(retention)
		}, 0, 0, 0},
		{"runs a request that was sent later", func(l *Log) {
			l.Refuses("t", time.Now())
			time.Sleep(time.Second)
			l.Begin("t", time.Now(), at(0))
		}, 1, 0, 0},
		{"runs a request that was sent before", func(l *Log) {
			sent := time.Now()
			l.Refuses("t", time.Now())
			time.Sleep(time.Second)
			l.Begin("t", sent, at(0))
		}, 1, 0, time.Second},
		{"accepts connections", func(l *Log) {
			l.Refuses("t", time.Now())
			time.Sleep(time.Second)
			l.Accepts("t")
		}, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Log{}
				c.play(l)
				seen := l.Seen("t", nil)
				if len(seen.Open) != c.open || len(seen.Ended) != c.ended || seen.Refusing != c.refusing {
					t.Errorf("seen %+v, want %d open, %d ended, refusing for %s", seen, c.open, c.ended, c.refusing)
				}
			})
		})
	}
}

// Guards against a log that grows with each target that has ever served.
func TestLogForgetsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Log{}
		open := l.Begin("open", time.Now(), func() (time.Time, bool) { return time.Time{}, false })
		l.Refuses("refused", time.Now())
		l.Begin("ended", time.Now(), open.received).End(time.Now())
		time.Sleep(retention + 1)
		l.Refuses("new", time.Now())
		if len(l.targets) != 2 || l.targets["open"] == nil || l.targets["new"] == nil {
			t.Errorf("%d targets are known, want those with an open stream and a new refusal", len(l.targets))
		}
	})
}

// Guards against a stream that counts as evidence of its own end.
func TestOwnStreamIsNoEvidence(t *testing.T) {
	l := &Log{}
	s := l.Begin("t", time.Now(), func() (time.Time, bool) { return time.Now(), true })
	if seen := l.Seen("t", s); len(seen.Open) != 0 {
		t.Errorf("%d streams go on, want none", len(seen.Open))
	}
	s.End(time.Now())
	if seen := l.Seen("t", s); len(seen.Ended) != 0 {
		t.Errorf("%d streams have ended, want none", len(seen.Ended))
	}
}
