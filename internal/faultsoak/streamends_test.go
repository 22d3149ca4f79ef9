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
// doubts more ends breaks off more whole streams.
type streamEnds struct {
	streams   int
	cut       map[string]int // by the end of their target, which the keys describe
	early     map[string]int // ended as complete before their last event, by the same or "other"
	noEvent   int            // of the early ones, had no event
	whole     int            // ended by their target after the last event, at entries in touch
	brokenOff int            // of the whole ones, did not reach their caller as complete
	behind    int            // had a run that was asked to go on behind the last event
	resumed   int            // of these, had another run that had ended the whole stream
	beyond    int            // of those asked behind the last event, brought their caller further ones
}

func (s streamEnds) String() string {
	return fmt.Sprintf("%d, of them cut by the end of a target: %v; ended as complete before the last event: %v, %d of them without an event; whole ones: %d, of them broken off by the entry: %d; resumed behind the last event: %d, of them whole ones: %d, with further events: %d",
		s.streams, s.cut, s.early, s.noEvent, s.whole, s.brokenOff, s.behind, s.resumed, s.beyond)
}

func (d *deploymentRun) streamEnds() streamEnds {
	s := streamEnds{cut: make(map[string]int), early: make(map[string]int)}
	for _, a := range d.attempts {
		ran := ranOf(d.runsOf(a.id))
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
		if slices.ContainsFunc(ran, func(r emulator.Run) bool { return r.After >= a.events }) {
			s.behind++
			if slices.ContainsFunc(ran, func(r emulator.Run) bool { return r.Outcome == emulator.RunCompleted && r.After < a.events }) {
				s.resumed++
			}
			if a.after+a.received() > a.events {
				s.beyond++
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
	return s
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
