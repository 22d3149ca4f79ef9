// Package targetend judges whether a response is complete that has ended in a way in which responses
// also end when their target does: HTTP servers write the last chunk of a response when its handler is
// cancelled. It knows what this entry has seen of the target, and takes into account what other entries
// have seen.
//
// A response is judged alike whether or not it may be resumed: what a target does that is asked to go on
// behind the last event of a whole stream is not known, and it may make one more event.
package targetend

import (
	"math"
	"time"
)

const (
	// CancelTime is how long a handler may take to return after it was cancelled: those that write
	// streams notice it between two events.
	CancelTime = 150 * time.Millisecond
	// SurvivalTime is how long after the end of a response another stream of its target must go on to
	// show that the target still writes streams. A target that cancels its handlers in turn takes a
	// while for all of them.
	SurvivalTime = 300 * time.Millisecond
	// togetherTime is the time within which responses end that the same event has ended.
	togetherTime = 25 * time.Millisecond
)

// unknownAge is the age of what happened at an unknown time. It proves nothing.
const unknownAge = time.Duration(math.MaxInt64)

// Seen is what an entry has seen of a target. All ages are from when it was put together, so that the
// clocks of entries needn't agree.
type Seen struct {
	// Open has the age of the last data of each stream that goes on, and Ended the ages of the ends of
	// those that have ended lately.
	Open, Ended []time.Duration
	// EndedTimings are the weights of the timings of Ended, in the same order. Entries of an earlier
	// release tell none.
	EndedTimings []Weight
	// Refusing is for how long the target has been known to refuse connections, or to have closed its
	// idle ones; 0 if it is not.
	Refusing time.Duration
}

// Report is what an entry has seen, put together between two times of the clock of this entry.
type Report struct {
	Seen
	Earliest, Latest time.Time
}

// Verdict says what is known of the end of a response.
type Verdict uint8

const (
	// Undecided: a whole response and one that was cut look the same.
	Undecided Verdict = iota
	// Whole: the target has finished the response.
	Whole
	// Cut: the target has ended all its streams at once.
	Cut
)

// String returns the value as it appears in logs and names of counters.
func (v Verdict) String() string { return [...]string{"undecided", "whole", "cut"}[v] }

const (
	wentOnWhileRefusing = "went_on_while_refusing"
	lastOfDrained       = "last_of_drained_target"
)

// Judgement is a verdict with what it rests on.
type Judgement struct {
	Verdict Verdict
	Reason  string
	// GoOn and Together are the numbers of other streams of the target that go on and that ended at the
	// same moment as the response.
	GoOn, Together int
	// Refusing is for how long before the end the target had been known to refuse connections; 0 if it
	// was not.
	Refusing time.Duration
}

// NeedsOthers reports whether other entries are to be asked before the judgement counts. Streams that go
// on there show that those which ended together here were not cancelled. A stream that ends long after
// its target began to refuse connections may have been cancelled with those of other entries, unless
// another one here goes on.
func (j *Judgement) NeedsOthers() bool {
	return j.Verdict != Whole || (j.Reason == wentOnWhileRefusing || j.Reason == lastOfDrained) && j.GoOn == 0
}

// End is the end of a response.
type End struct {
	At time.Time // when it arrived
	// Unmarked says that only the end of the connection marks it, as it also does if the process of the
	// target is killed. At is then when it was read at the latest.
	Unmarked bool
	// Drained says that the time for which a target serves after it has said that it leaves was over. It
	// may exit as soon as its last response has ended.
	Drained bool
}

// Judge judges the end of a response by what entries have seen of its target.
func Judge(e End, reports ...Report) Judgement {
	var j Judgement
	end := e.At
	survives := false
	for i := range reports {
		r := &reports[i]
		j.GoOn += len(r.Open)
		j.Together += r.countTogether(end)
		j.Refusing = max(j.Refusing, r.refusingAt(end))
		survives = survives || r.survives(end)
	}
	switch {
	case survives:
		j.Verdict, j.Reason = Whole, "other_stream_goes_on"
	case j.Together > 0 && j.GoOn == 0:
		j.Verdict, j.Reason = Cut, "ended_together"
	case j.Together > 0:
		j.Reason = "some_ended_together"
	case e.Unmarked:
		j.Reason = "end_not_marked"
	case j.Refusing > CancelTime:
		j.Verdict, j.Reason = Whole, wentOnWhileRefusing
	case e.Drained && j.GoOn == 0:
		j.Verdict, j.Reason = Whole, lastOfDrained
	case j.Refusing > 0:
		j.Reason = "began_to_refuse_just_before"
	default:
		j.Reason = "not_known_to_refuse_before"
	}
	return j
}

// survives reports whether another stream has gone on for so long after the end that its handler was
// not cancelled then.
func (r *Report) survives(end time.Time) bool {
	if r.Earliest.Before(end.Add(SurvivalTime)) {
		return false
	}
	for _, age := range r.Open {
		if age != unknownAge && r.Earliest.Add(-age).After(end.Add(CancelTime)) {
			return true
		}
	}
	return false
}

// countTogether returns the number of other streams that may have ended at the same moment.
func (r *Report) countTogether(end time.Time) (n int) {
	for _, age := range r.Ended {
		if !r.Earliest.Add(-age).After(end.Add(togetherTime)) && !r.Latest.Add(-age).Before(end.Add(-togetherTime)) {
			n++
		}
	}
	return n
}

// refusingAt returns for how long the target had at least refused connections at the end.
func (r *Report) refusingAt(end time.Time) time.Duration {
	if r.Refusing == 0 {
		return 0
	}
	return max(0, end.Sub(r.Latest.Add(-r.Refusing)))
}
