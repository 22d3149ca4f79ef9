package side

import (
	"math"
	"time"
)

const (
	// speedMemory is the time constant of the decode rate. After a sudden
	// slowdown the rate has followed by 92% within 500 ms.
	speedMemory = 200 * time.Millisecond
	// saturatedBelow is the decode rate of one attempt, relative to the fastest
	// lately, below which the target counts as saturated.
	saturatedBelow = 0.7
	// fastestMemory is the time constant with which the fastest rate of one
	// attempt is forgotten, so that a target that became slower for good is not
	// taken as saturated for ever.
	fastestMemory = 10 * time.Second
	// prefillWeight, durationWeight and outputWeight are the weights of a new
	// sample in the averages that are updated once for each attempt.
	prefillWeight  = 0.4
	durationWeight = 0.3
	outputWeight   = 0.1
	// minPrefill is the number of computed prompt tokens from which a time to
	// first token says something about the prefill rate.
	minPrefill = 64
)

// speed measures the target. All rates are 0 before the first measurement.
type speed struct {
	decode   float64 // generated tokens per second over all running attempts
	capacity float64 // the same when the target is saturated, as far as that is known
	full     bool    // the target has been saturated
	each     float64 // generated tokens per second of one running attempt
	fastest  float64 // highest value of each lately
	prefill  float64 // prompt tokens per second
	duration float64 // seconds that a call of a plain service takes
	output   float64 // generated tokens divided by the most that were allowed; 1 before the first measurement
	finished int     // responses that output is based on
	tokens   int     // generated since the last sample
	sampled  time.Time
}

func newSpeed() *speed { return &speed{output: 1} }

// sample updates the decode rate. decoding is the number of running attempts
// past their first token, of the window that may run.
func (s *speed) sample(now time.Time, decoding, window int) {
	dt := now.Sub(s.sampled)
	tokens := s.tokens
	s.sampled, s.tokens = now, 0
	if decoding == 0 || dt <= 0 {
		return
	}
	rate := float64(tokens) / dt.Seconds()
	each := rate / float64(decoding)
	if s.decode == 0 {
		s.decode, s.each = rate, each
	}
	keep := math.Exp(-float64(dt) / float64(speedMemory))
	s.decode = keep*s.decode + (1-keep)*rate
	s.each = keep*s.each + (1-keep)*each
	s.fastest = max(s.each, s.fastest*math.Exp(-float64(dt)/float64(fastestMemory)))
	s.learnCapacity(each, window)
}

// learnCapacity follows the decode rate down only while the target is saturated.
// A target that runs few attempts generates few tokens, but is not slower for it.
// Until it has been saturated, a full window counts as many times the rate of one
// attempt: taken as it is, that rate would keep an idle target from getting work.
// latest is the rate of one attempt in the last sample; the average alone lags
// behind when many attempts end at once.
func (s *speed) learnCapacity(latest float64, window int) {
	if max(latest, s.each) < saturatedBelow*s.fastest {
		s.capacity, s.full = s.decode, true
		return
	}
	s.capacity = max(s.capacity, s.decode)
	if !s.full {
		s.capacity = max(s.capacity, s.each*float64(window))
	}
}

// firstToken takes the time to the first token of a finished attempt. tokens
// is what the target computed in that time.
func (s *speed) firstToken(tokens int, d time.Duration) {
	if tokens < minPrefill || d <= 0 {
		return
	}
	rate := float64(tokens) / d.Seconds()
	if s.prefill == 0 {
		s.prefill = rate
		return
	}
	s.prefill = average(s.prefill, rate, prefillWeight)
}

// waiting takes an attempt that has waited for its first token for d. The
// target cannot be faster than tokens/d, however much it found in its cache.
func (s *speed) waiting(tokens int, d time.Duration) {
	if tokens < minPrefill || d <= 0 {
		return
	}
	s.prefill = min(s.prefill, float64(tokens)/d.Seconds())
}

func (s *speed) finishedPlain(d time.Duration) {
	if s.duration == 0 {
		s.duration = d.Seconds()
		return
	}
	s.duration = average(s.duration, d.Seconds(), durationWeight)
}

func (s *speed) finishedOutput(generated, expected int) {
	if expected <= 0 {
		return
	}
	s.finished++
	ratio := min(1, float64(generated)/float64(expected))
	// The first responses count equally, or the start value would linger.
	s.output = average(s.output, ratio, max(outputWeight, 1/float64(s.finished)))
}

func average(old, sample, weight float64) float64 { return (1-weight)*old + weight*sample }

// seconds returns how long the target takes for w when it runs at the measured
// rates; 0 when they are unknown.
func (s *speed) seconds(w work) float64 {
	t := 0.0
	if s.prefill > 0 {
		t += float64(w.prompt) / s.prefill
	}
	if s.decode > 0 {
		t += float64(w.output) / s.decode
	}
	return t
}
