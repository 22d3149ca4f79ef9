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
	// Entry is the one that has told it; empty if that is not known.
	Entry string
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

// Reasons of a judgement.
const (
	otherGoesOn         = "other_stream_goes_on"
	someEndedTogether   = "some_ended_together"
	endedTogether       = "ended_together"
	mayHaveBeenTogether = "may_have_ended_together"
	endedBetweenEvents  = "ended_between_events"
	endNotMarked        = "end_not_marked"
	wentOnWhileRefusing = "went_on_while_refusing"
	lastOfDrained       = "last_of_drained_target"
	promisedToServe     = "promised_to_serve"
	beganToRefuse       = "began_to_refuse_just_before"
	notKnownToRefuse    = "not_known_to_refuse_before"
)

// Weights of what is known of the target. docs/design/target-ends.md has the rates behind them.
const (
	// sufficientWeight decides an end: the signs appear ten times as often at ends of the one kind.
	sufficientWeight Weight = 10
	wentOnWeight     Weight = 15
	drainedWeight    Weight = 15
	promisedWeight   Weight = 2
	// expectedWeight is that of a target that is also likely to finish this response.
	expectedWeight Weight = 5
	// targetEndedWeight is that of a target that does not run any more, of which nothing shows that it
	// was to finish its streams.
	targetEndedWeight Weight = -5
)

const (
	// coincidenceTime is how long before the end of a response the other ends of its target are counted,
	// from which the rate of coincidences follows. minCoincidence is the least rate.
	coincidenceTime = 2 * time.Second
	minCoincidence  = 0.05
	// endsWhenCut is the share of the other streams that end within togetherTime if all are cancelled.
	endsWhenCut = 0.98
)

// Judgement is a verdict with what it rests on.
type Judgement struct {
	Verdict Verdict
	Reason  string
	// Sum is that of the weights of all signs. Others is the part of the streams that ended together, and
	// Timing that of the timing of the end itself.
	Sum, Others, Timing Weight
	// GoOn and Together are the numbers of other streams of the target that go on and that ended at the
	// same moment as the response.
	GoOn, Together int
	// Refusing is for how long before the end the target had been known to refuse connections; 0 if it
	// was not.
	Refusing time.Duration
	// unmarked is End.Unmarked. Reason does not tell it where some streams ended together.
	unmarked bool
}

// NeedsOthers reports whether other entries are to be asked before the judgement counts. Streams that go
// on there show that those which ended together here were not cancelled. A stream that ends long after
// its target began to refuse connections may have been cancelled with those of other entries, unless
// another one here goes on.
func (j *Judgement) NeedsOthers() bool {
	return j.Verdict != Whole || (j.Reason == wentOnWhileRefusing || j.Reason == lastOfDrained) && j.GoOn == 0
}

// SpeaksForCut reports whether a stream of the target, this one or another, ended as if it was cut.
func (j *Judgement) SpeaksForCut() bool { return j.Others < 0 || j.Timing < 0 }

// EndsLikeCut reports whether the timing of the end is by itself sufficient to take it for a cut.
func (j *Judgement) EndsLikeCut() bool { return j.Timing <= -sufficientWeight }

// IsLikelyWhole reports whether the signs of an end that nothing decides speak more for a whole response than
// for a cut one, and its timing alone does not speak for a cut. Such a response is neither broken off nor
// resumed. An end that only the connection marks has too few signs for that: a process that is killed ends its
// connections like one that closes them. Neither does the timing of streams that ended together speak for them,
// unless their target had long refused connections: handlers that are cancelled together may all end right
// behind an event.
func (j *Judgement) IsLikelyWhole() bool {
	alone := j.Together == 0 || j.Refusing > CancelTime
	return j.Verdict == Undecided && !j.unmarked && alone && !j.EndsLikeCut() && j.Sum > 0
}

// End is the end of a response.
type End struct {
	At time.Time // when it arrived
	// Timing is the weight of the timing of the end; 0 if that is not known.
	Timing Weight
	// Unmarked says that only the end of the connection marks it, as it also does if the process of the
	// target is killed. At is then when it was read at the latest.
	Unmarked bool
	// Drained says that the time for which a target serves after it has said that it leaves was over. It
	// may exit as soon as its last response has ended.
	Drained bool
	// Promised says that the target had said before the end that it leaves, so that it is to serve on, and
	// that its process still answers.
	Promised bool
	// Expected says that such a target is likely to finish this response.
	Expected bool
}

// Judge judges the end of a response by what entries have seen of its target.
func Judge(e End, reports ...Report) Judgement {
	j := Judgement{Timing: e.Timing, unmarked: e.Unmarked}
	survives := false
	coincidence := coincidenceRate(e.At, reports)
	inStep := Weight(0) // of the others that ended with their last event
	for i := range reports {
		r := &reports[i]
		j.GoOn += len(r.Open)
		n, weight, least := r.weighTogether(e.At, coincidence)
		j.Together += n
		j.Others += weight
		inStep = min(inStep, least)
		j.Refusing = max(j.Refusing, r.refusingAt(e.At))
		survives = survives || r.survives(e.At)
	}
	j.Others += inStep
	known, weight := j.weighTarget(&e)
	j.Sum = weight + j.Timing + j.Others
	switch {
	case survives:
		j.Verdict, j.Reason = Whole, otherGoesOn
	case j.Together > 0 && j.GoOn > 0:
		j.Reason = someEndedTogether
	case j.Sum <= -sufficientWeight && j.GoOn == 0:
		j.Verdict, j.Reason = Cut, endedBetweenEvents
		if j.Others < j.Timing {
			j.Reason = endedTogether
		}
	case e.Unmarked:
		j.Reason = endNotMarked
	case j.Sum >= sufficientWeight:
		j.Verdict, j.Reason = Whole, known
	case j.Others <= -sufficientWeight:
		j.Reason = mayHaveBeenTogether
	default:
		j.Reason = known
	}
	return j
}

// weighTarget returns what is known of the target, and its weight. A target that finishes its streams for a
// while and cancels the rest has refused connections for a while too, so that this shows nothing where
// streams ended together and the timing of the end does not outweigh that.
func (j *Judgement) weighTarget(e *End) (reason string, w Weight) {
	together := j.Others+max(0, j.Timing) < 0
	switch {
	case j.Refusing > CancelTime && !together:
		return wentOnWhileRefusing, wentOnWeight
	case e.Drained && j.GoOn == 0 && !together:
		return lastOfDrained, drainedWeight
	case e.Promised && e.Expected:
		return promisedToServe, expectedWeight
	case e.Promised:
		return promisedToServe, promisedWeight
	case j.Refusing > 0:
		return beganToRefuse, targetEndedWeight
	default:
		return notKnownToRefuse, targetEndedWeight
	}
}

// coincidenceRate returns how often a target that goes on ends another stream within togetherTime of a time,
// by the ends before it.
func coincidenceRate(at time.Time, reports []Report) float64 {
	ends := 0
	for i := range reports {
		r := &reports[i]
		for _, age := range r.Ended {
			if ended := r.Latest.Add(-age); ended.Before(at.Add(-togetherTime)) && ended.After(at.Add(-coincidenceTime)) {
				ends++
			}
		}
	}
	window := float64(2*togetherTime) / float64(coincidenceTime)
	return max(minCoincidence, 1-math.Exp(-float64(ends)*window))
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

// weighTogether returns the number of other streams that may have ended at the same moment, and what they
// weigh, where streams that go on end at that moment at the given rate. Those that ended with their last event
// weigh less, and count once, with the least weight: a target whose batch moves in steps ends several whole
// streams at one step.
func (r *Report) weighTogether(end time.Time, coincidence float64) (n int, sum, inStep Weight) {
	for i, age := range r.Ended {
		if r.Earliest.Add(-age).After(end.Add(togetherTime)) || r.Latest.Add(-age).Before(end.Add(-togetherTime)) {
			continue
		}
		n++
		timing := Weight(0)
		if i < len(r.EndedTimings) {
			timing = r.EndedTimings[i]
		}
		weight := min(0, weightOf(coincidence, endsWhenCut)+timing)
		if timing > 0 {
			inStep = min(inStep, weight)
		} else {
			sum += weight
		}
	}
	return n, sum, inStep
}

// refusingAt returns for how long the target had at least refused connections at the end.
func (r *Report) refusingAt(end time.Time) time.Duration {
	if r.Refusing == 0 {
		return 0
	}
	return max(0, end.Sub(r.Latest.Add(-r.Refusing)))
}
