package faultsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// streamEnds counts the ends of the streams that ran. Both errors are counted, since an entry that
// doubts more ends breaks off more whole streams. A caller's resumption behind the last event is
// no further stream.
type streamEnds struct {
	streams   int
	cut       map[string]int // by the end of their target, which the keys describe
	early     map[string]int // ended as complete before their last event, by the same or "other"
	noEvent   int            // of the early ones, had no event
	whole     int            // ended by their target after the last event, at entries in touch
	brokenOff int            // of the whole ones, did not reach their caller as complete
	behind    int            // had a run that the entry asked to go on behind the last event
	beyond    int            // of these, brought their caller further ones
	byEntry   resumed        // whole streams that the entry resumed behind the last event
	byCaller  resumed        // whole streams that the caller resumed there, in a later attempt
	answers   map[string]int // to the callers' attempts behind the last event
}

// resumed counts whole streams that were resumed, and those that got further events then.
type resumed struct{ streams, beyond int }

func (r resumed) String() string {
	return fmt.Sprintf("%d, with further events: %d", r.streams, r.beyond)
}

func (s streamEnds) String() string {
	return fmt.Sprintf("%d, of them cut by the end of a target: %v; ended as complete before the last event: %v, %d of them without an event; whole ones: %d, of them broken off by the entry: %d; resumed behind the last event by the entry: %d, with further events: %d; whole ones resumed by the entry: %v; whole ones resumed by the caller: %v; answers to callers behind the last event: %v",
		s.streams, s.cut, s.early, s.noEvent, s.whole, s.brokenOff, s.behind, s.beyond, s.byEntry, s.byCaller, s.answers)
}

func (d *deploymentRun) streamEnds() streamEnds {
	s := streamEnds{cut: make(map[string]int), early: make(map[string]int), answers: make(map[string]int)}
	byID := d.attemptsByID()
	byCaller := make(map[*attempt]bool) // by the last whole attempts; with further events
	for _, a := range d.attempts {
		ran := ranOf(d.runsOf(a.id))
		if a.behindEnd() {
			s.answers[a.answerBehind()]++
			if whole := d.wholeOf(attemptsBefore(a, byID)); whole != nil {
				byCaller[whole] = byCaller[whole] || a.status == http.StatusOK && a.body != ""
			}
			continue
		}
		if a.kind.kind != "streaming" || len(ran) == 0 {
			continue
		}
		s.streams++
		cause := "other"
		for _, r := range ran {
			if how := d.endingOf(r); how != "" && r.Outcome == emulator.RunBrokenOff {
				cause = how
			}
		}
		if cause != "other" {
			s.cut[cause]++
		}
		ended := a.status == http.StatusOK && a.err == nil
		if ended && a.after+a.received() < a.events {
			s.early[cause]++
			if a.received() == 0 {
				s.noEvent++
			}
		}
		further := a.after+a.received() > a.events
		if a.resumedBehind(ran) {
			s.behind++
			if further {
				s.beyond++
			}
			if a.endedByTarget(ran) {
				s.byEntry.count(further)
			}
		}
		// A run behind the last event may be refused or broken off.
		if slices.ContainsFunc(ran, func(r emulator.Run) bool { return r.Outcome == emulator.RunCompleted }) && !a.left && d.inTouch(a) {
			s.whole++
			if !ended {
				s.brokenOff++
			}
		}
	}
	for _, further := range byCaller {
		s.byCaller.count(further)
	}
	return s
}

func (r *resumed) count(further bool) {
	r.streams++
	if further {
		r.beyond++
	}
}

// resumedBehind reports whether an attempt had a run that was asked to go on behind the last event.
func (a *attempt) resumedBehind(ran []emulator.Run) bool {
	return a.kind.kind == "streaming" && slices.ContainsFunc(ran, func(r emulator.Run) bool { return r.After >= a.events })
}

// endedByTarget reports whether a run ended after the last event of the stream.
func (a *attempt) endedByTarget(ran []emulator.Run) bool {
	return slices.ContainsFunc(ran, func(r emulator.Run) bool { return r.Outcome == emulator.RunCompleted && r.After < a.events })
}

// answerBehind says what a caller got that resumed a stream behind its last event.
func (a *attempt) answerBehind() string {
	answer := fmt.Sprintf("status %d", a.status)
	switch {
	case a.status == 0 && a.left:
		return "none until the caller left"
	case a.status == 0:
		return "connection closed"
	case a.status != http.StatusOK:
		return answer
	}
	switch first, _, _ := strings.Cut(a.body, "\n"); { // as RunEvent writes an event
	case a.body == "":
		answer = "no event"
	case first == fmt.Sprintf("id: %d", a.after+1):
		answer = "next event"
	case first == fmt.Sprintf("id: %d", a.after):
		answer = "last event again"
	default:
		answer = "other events"
	}
	if a.err != nil {
		answer += ", cut"
	}
	return answer
}

// attemptsByID returns the attempts of all callers by their IDs.
func (d *deploymentRun) attemptsByID() map[string]*attempt {
	byID := make(map[string]*attempt)
	for _, a := range d.attempts {
		byID[a.id] = a
	}
	return byID
}

// attemptsBefore returns the attempts whose stream a resumes, the latest first.
func attemptsBefore(a *attempt, byID map[string]*attempt) (before []*attempt) {
	for a = byID[a.resumes]; a != nil; a = byID[a.resumes] {
		before = append(before, a)
	}
	return before
}

// wholeOf returns the attempt of a stream whose target ended it after its last event, or nil.
func (d *deploymentRun) wholeOf(attempts []*attempt) *attempt {
	for _, a := range attempts {
		if a.endedByTarget(ranOf(d.runsOf(a.id))) {
			return a
		}
	}
	return nil
}

// endingOf returns how the process of a run's target ended, or was told to, before the run did, ""
// if it was not.
func (d *deploymentRun) endingOf(r emulator.Run) string {
	for _, e := range d.events {
		if e.where == r.Target && e.what != targetStopped && strings.HasPrefix(e.what, "SIG") && !e.from.After(r.To) {
			return e.what
		}
	}
	return ""
}

// overlap reports whether a target works on a run for too long after the run next has begun. Their
// order is not known if the target of next was stopped until then: it may have been the one before.
func (d *deploymentRun) overlap(before, next emulator.Run) bool {
	woken := slices.ContainsFunc(d.events, func(e event) bool {
		return e.what == targetStopped && e.where == next.Target && !next.From.Before(e.from) && next.From.Before(e.to.Add(wakeTime))
	})
	return d.worksOn(before, next.From) > doubleWork && !(woken && d.worksOn(next, before.From) <= doubleWork)
}

// wakeTime is the time within which a stopped process has begun what came meanwhile.
const wakeTime = 500 * time.Millisecond

// worksOn returns how long a target works on a run after a moment. A stopped process does no work.
func (d *deploymentRun) worksOn(r emulator.Run, from time.Time) time.Duration {
	works := r.To.Sub(from)
	for _, e := range d.events {
		if e.what == targetStopped && e.where == r.Target {
			works -= max(0, earlier(e.to, r.To).Sub(latest(e.from, from)))
		}
	}
	return works
}
