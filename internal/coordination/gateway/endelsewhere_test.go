package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// otherEntry is another entry that is asked for the end of a target.
type otherEntry struct {
	refusesSince time.Time   // zero: it has not seen that
	ended        []time.Time // ends of its streams
	goesOn       bool        // it has a stream that goes on
	none         bool        // there is no other entry
	silent       bool        // it does not answer
	answersFrom  time.Time   // it answers no question before
	asked        int
}

func (e *otherEntry) ask(context.Context, state.TargetID, string) ([]targetend.Report, error) {
	e.asked++
	if e.none {
		return nil, nil
	}
	if e.silent || time.Now().Before(e.answersFrom) {
		return nil, context.DeadlineExceeded
	}
	now := time.Now()
	r := targetend.Report{Earliest: now, Latest: now}
	if !e.refusesSince.IsZero() {
		r.Refusing = now.Sub(e.refusesSince)
	}
	for _, at := range e.ended {
		r.Ended = append(r.Ended, now.Sub(at))
	}
	if e.goesOn {
		r.Open = []time.Duration{0}
	}
	return []targetend.Report{r}, nil
}

// endingAttempt returns an attempt whose stream has just ended, at a target that other entries know as
// other tells.
func endingAttempt(t *testing.T, other *otherEntry) (a *attempt, end time.Time) {
	s := newService(&fakeTargetClient{})
	s.cfg.AskTargetEnd = other.ask
	grant, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	end = time.Now()
	a = &attempt{request: &request{service: s, route: &state.Route{}}, ctx: t.Context(), grant: grant}
	a.race = newRace(a)
	a.logged = s.targets.Begin(grant.Target.ID, end, func() (time.Time, bool) { return end, true })
	a.logged.End(end)
	return a, end
}

// Guards against a cut stream that is believed because it is the only one that this entry has from a
// target which finishes its streams for a while and then cancels the rest, against a whole one that is
// broken off although another entry knows that the target finishes its streams, or because another one
// ended by chance at the same moment, and against questions about ends that are decided here.
func TestOtherEntriesTellWhetherAStreamIsWhole(t *testing.T) {
	const long, just = 2 * targetend.CancelTime, targetend.CancelTime / 2
	for _, c := range []struct {
		name     string
		refusing time.Duration // before the end, as seen here
		goesOn   bool          // another stream here
		together bool          // another stream here has ended at the same moment
		other    func(end time.Time) otherEntry
		verdict  targetend.Verdict
		asked    int
	}{
		{"nothing known elsewhere, refused long before", long, false, false, func(time.Time) otherEntry { return otherEntry{} }, targetend.Whole, 1},
		{"no answer, refused long before", long, false, false, func(time.Time) otherEntry { return otherEntry{silent: true} }, targetend.Whole, 1},
		{"no other entry, refused just before", just, false, false, func(time.Time) otherEntry { return otherEntry{none: true} }, targetend.Undecided, 1},
		{"no answer, refused just before", just, false, false, func(time.Time) otherEntry { return otherEntry{silent: true} }, targetend.Undecided, 2},
		{"first answer too late, seen to refuse elsewhere", just, false, false, func(end time.Time) otherEntry {
			return otherEntry{refusesSince: end.Add(-long), answersFrom: end.Add(targetend.SurvivalTime)}
		}, targetend.Whole, 2},
		{"nothing known elsewhere, refused just before", just, false, false, func(time.Time) otherEntry { return otherEntry{} }, targetend.Undecided, 1},
		{"streams elsewhere ended together", long, false, false, func(end time.Time) otherEntry { return otherEntry{ended: []time.Time{end}} }, targetend.Cut, 1},
		{"seen to refuse elsewhere", just, false, false, func(end time.Time) otherEntry { return otherEntry{refusesSince: end.Add(-long)} }, targetend.Whole, 1},
		{"goes on elsewhere", just, false, false, func(time.Time) otherEntry { return otherEntry{goesOn: true} }, targetend.Whole, 2},
		{"some ended together elsewhere, others go on", long, false, false, func(end time.Time) otherEntry { return otherEntry{ended: []time.Time{end}, goesOn: true} }, targetend.Whole, 2},
		{"ended together here, nothing known elsewhere", long, false, true, func(time.Time) otherEntry { return otherEntry{} }, targetend.Cut, 1},
		{"ended together here, goes on elsewhere", just, false, true, func(time.Time) otherEntry { return otherEntry{goesOn: true} }, targetend.Whole, 2},
		{"goes on here, refused long before", long, true, false, func(time.Time) otherEntry { return otherEntry{} }, targetend.Whole, 0},
		{"goes on here, refused just before", just, true, false, func(time.Time) otherEntry { return otherEntry{} }, targetend.Whole, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := otherEntry{}
				a, end := endingAttempt(t, &other)
				other = c.other(end)
				if c.goesOn {
					a.request.service.targets.Begin(a.grant.Target.ID, end, func() (time.Time, bool) { return time.Now(), true })
				}
				if c.together {
					a.request.service.targets.Begin(a.grant.Target.ID, end, func() (time.Time, bool) { return end, true }).End(end)
				}
				check := RunCheck{Liveness: Ended, Refused: true, IdleClosedAt: end.Add(-c.refusing)}
				if j := judgeEnd(a, unannouncedClose, check, end, true); j.Verdict != c.verdict || other.asked != c.asked {
					t.Errorf("%s because %s, asked %d times; want %s, asked %d times", j.Verdict, j.Reason, other.asked, c.verdict, c.asked)
				}
				if passed := time.Since(end); passed > targetend.SurvivalTime {
					t.Errorf("took %s", passed)
				}
			})
		})
	}
}

// Guards against a whole stream without length or chunks that is broken off, or sent to another target,
// although another one of its target goes on, and against a cut one that is believed because its target
// refused connections before: it may have been killed.
func TestStreamWithoutEndIsWholeIfAnotherGoesOn(t *testing.T) {
	for goesOn, want := range map[bool]targetend.Verdict{true: targetend.Whole, false: targetend.Undecided} {
		synctest.Test(t, func(t *testing.T) {
			a, end := endingAttempt(t, &otherEntry{goesOn: goesOn})
			check := RunCheck{Liveness: Ended, Refused: true, IdleClosedAt: end.Add(-time.Second)}
			if j := judgeEnd(a, connectionEnd, check, end, false); j.Verdict != want {
				t.Errorf("another goes on %t: %s because %s, want %s", goesOn, j.Verdict, j.Reason, want)
			}
		})
	}
}

// Guards against a cut stream that is not doubted because its target, which is to leave, keeps the
// connection open and has no other stream of this entry, and against a question for each end of a target
// that serves.
func TestEndsAtLeavingTargetAreComparedWithThoseElsewhere(t *testing.T) {
	for _, c := range []struct {
		name                     string
		leaves, refused, endedBy bool // endedBy: a stream elsewhere ended at the same moment
		doubt                    endDoubt
		asked                    int
	}{
		{"serves", false, false, true, noDoubt, 0},
		{"is to leave", true, false, true, endedTogether, 1},
		{"refused connections", false, true, true, endedTogether, 1},
		{"is to leave, ended alone", true, false, false, noDoubt, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := otherEntry{}
				a, end := endingAttempt(t, &other)
				if c.endedBy {
					other.ended = []time.Time{end}
				}
				if c.leaves {
					a.request.service.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: "t9", Service: "s", Address: "t9", Slots: 4}})
				}
				if c.refused {
					a.request.service.targets.Refuses(a.grant.Target.ID, end)
				}
				check := &endCheck{attempt: a, exchange: &fakeExchange{}, arrivedAt: end, timeKnown: true}
				check.findDoubt(&state.Response{})
				if check.doubt != c.doubt || other.asked != c.asked {
					t.Errorf("doubt %s, asked %d times; want %s, asked %d times", check.doubt, other.asked, c.doubt, c.asked)
				}
			})
		})
	}
}

// idleClosers are targets that have closed their idle connections.
type idleClosers struct {
	*fakeTargetClient
	at time.Time
}

func (c idleClosers) IdleClosedAt(_ state.TargetID, address string) time.Time {
	if address == "closed" {
		return c.at
	}
	return time.Time{}
}

// Guards against an entry that does not tell others of the idle connections that a target has closed:
// one that sends it no request sees no other sign of its end.
func TestIdleConnectionsClosedAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(idleClosers{&fakeTargetClient{}, time.Now()})
		time.Sleep(time.Second)
		if seen := s.TargetSeen("t", "closed"); seen.Refusing != time.Second {
			t.Errorf("refusing for %s, want 1 s", seen.Refusing)
		}
		if seen := s.TargetSeen("t", "open"); seen.Refusing != 0 {
			t.Errorf("refusing for %s, want that it is not known to", seen.Refusing)
		}
	})
}

// Guards against a whole stream that is broken off because its target, which had said that it leaves and
// has served for its drain time, exits behind it; and against a cut stream that is believed for that.
func TestLastStreamOfDrainedTarget(t *testing.T) {
	const drain = time.Second
	for _, c := range []struct {
		name     string
		leaves   time.Duration // before the end
		removed  bool          // from the list, in place of a record that says so
		together bool          // a stream of another entry has ended at the same moment
		whole    bool
	}{
		{"drain time is over", drain + 1, false, false, true},
		{"drain time is over, not listed", drain + 1, true, false, true},
		{"drain time is over, ended with another", drain + 1, false, true, false},
		{"drain time is not over", drain, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := otherEntry{}
				a, _ := endingAttempt(t, &other)
				cfg := &a.request.service.cfg
				cfg.DrainTime = drain
				left := a.grant.Target
				left.Draining = true
				records := []state.TargetRecord{left}
				if c.removed {
					records = nil
				}
				cfg.Scheduler.SetTargets(records)
				time.Sleep(c.leaves)
				end := time.Now()
				if c.together {
					other.ended = []time.Time{end}
				}
				if j := judgeEnd(a, unannouncedClose, RunCheck{Liveness: Ended, Refused: true}, end, true); (j.Verdict == targetend.Whole) != c.whole {
					t.Errorf("%s because %s, want whole %t", j.Verdict, j.Reason, c.whole)
				}
			})
		})
	}
}
