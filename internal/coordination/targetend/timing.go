package targetend

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Timing is how the end of a response followed its last event. A server that finishes a response ends it
// right behind the last event, and one whose handlers are cancelled at any time between two events.
type Timing uint8

const (
	// TimingUnknown: the response has no events, or the entry may have read its end late.
	TimingUnknown Timing = iota
	// WithLastEvent: within withEventTime.
	WithLastEvent
	// SoonAfter: later, but within soonTime, as the entry may also see it when it is busy.
	SoonAfter
	// BetweenEvents: later than that.
	BetweenEvents

	timings
)

// String returns the value as it appears in logs and names of counters.
func (t Timing) String() string {
	return [...]string{"unknown", "with_last_event", "soon_after", "between_events"}[t]
}

const (
	withEventTime = time.Millisecond
	soonTime      = 20 * time.Millisecond
)

// TimingOf returns the timing of an end that was read at the given time after the last event.
func TimingOf(afterEvent time.Duration) Timing {
	switch {
	case afterEvent <= withEventTime:
		return WithLastEvent
	case afterEvent <= soonTime:
		return SoonAfter
	default:
		return BetweenEvents
	}
}

// Weight is how much a sign speaks for a whole response: ten times the decimal logarithm of how much more
// often it appears at whole ends than at cut ones. Weights of independent signs add up.
type Weight float64

// weightOf returns the weight of a sign by its rates at whole and at cut ends.
func weightOf(whole, cut float64) Weight { return Weight(10 * math.Log10(whole/cut)) }

// timingRates are how often each timing was seen at whole ends of a service.
type timingRates [timings]float64

// serviceEnds is what is known of the whole ends of a service.
type serviceEnds struct {
	rates timingRates
	gap   float64 // mean time between two events, ns; 0 if it is not known
}

// gapSamples is the number of streams over which the time between events is averaged.
const gapSamples = 64

// assumedRates count like ends that were seen: until some have been, little is known of how the targets of a
// service end their responses. Some return from their handlers long after the last event.
var assumedRates = timingRates{WithLastEvent: 2, SoonAfter: 1, BetweenEvents: 1}

// maxCounted is the number of ends from which on older ones count half.
const maxCounted = 1000

func (r *timingRates) add(t Timing) {
	r[t]++
	total := 0.0
	for _, n := range r {
		total += n
	}
	if total > maxCounted {
		for i := range r {
			r[i] /= 2
		}
	}
}

// of returns the rate of a timing at whole ends.
func (r *timingRates) of(t Timing) float64 {
	n, total := r[t]+assumedRates[t], 0.0
	for i := range r {
		total += r[i] + assumedRates[i]
	}
	return n / total
}

const (
	// endsBehindEvents is the share of the servers that notice that a handler was cancelled right behind
	// an event only, and endsLater the share of those that do at any later time.
	endsBehindEvents = 0.1
	endsLater        = 0.1
)

// atCutEnds returns the rate of a timing at the ends of streams that were cancelled, with the given time
// between two events. An entry that reads events late sees the end of a stream closer to its last event.
func atCutEnds(t Timing, gap, late time.Duration) float64 {
	within := func(d time.Duration) float64 { return min(1, float64(d+late)/float64(gap)) }
	with, soon := within(withEventTime), within(soonTime)
	between := 1 - endsBehindEvents - endsLater
	switch t {
	case WithLastEvent:
		return endsBehindEvents + between*with
	case SoonAfter:
		return between * (soon - with)
	default:
		return endsLater + between*(1-soon)
	}
}

// minRate bounds rates, so that no sign alone outweighs all others.
const minRate = 0.005

// Learn records the timing of the end of a response that was whole, and the mean time between two of its
// events; 0 if it had fewer.
func (l *Log) Learn(service state.Service, t Timing, gap time.Duration) {
	if t == TimingUnknown {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timings == nil {
		l.timings = make(map[state.Service]*serviceEnds)
	}
	known := l.timings[service]
	if known == nil {
		known = &serviceEnds{gap: float64(gap)}
		l.timings[service] = known
	}
	known.rates.add(t)
	if gap > 0 {
		known.gap += (float64(gap) - known.gap) / gapSamples
	}
}

// lateSamples is the number of events over which the delay of reads is averaged.
const lateSamples = 64

// ReadLate records how long after its arrival an event was read: a busy machine lets the entry wait.
func (l *Log) ReadLate(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late += (float64(d) - l.late) / lateSamples
}

// TimingWeight returns the weight of the timing of an end, of a stream with the given mean time between
// two events, 0 if it had fewer: then that of the service is taken. The weight is 0 if nothing is known.
func (l *Log) TimingWeight(service state.Service, t Timing, gap time.Duration) Weight {
	if t == TimingUnknown {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.timings[service]
	if known == nil {
		known = new(serviceEnds)
	}
	if gap <= 0 {
		gap = time.Duration(known.gap)
	}
	if gap <= 0 {
		return 0
	}
	w := weightOf(max(minRate, known.rates.of(t)), max(minRate, atCutEnds(t, gap, time.Duration(l.late))))
	if t != WithLastEvent { // what is rare at both kinds of ends does not speak for a whole one
		return min(0, w)
	}
	return w
}
