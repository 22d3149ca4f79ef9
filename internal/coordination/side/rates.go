package side

import (
	"math"
	"time"
)

const (
	// decodeRateTimeConstant is the time constant of the moving average of the
	// decode rate. 500 ms after a sudden slowdown the average has covered 92% of
	// the change.
	decodeRateTimeConstant = 200 * time.Millisecond
	// saturationThreshold is the ratio of the decode rate of one attempt to the
	// highest recent one below which the target counts as saturated.
	saturationThreshold = 0.7
	// maxRateTimeConstant is the time constant with which the highest decode
	// rate of one attempt decays. Without the decay, a target that became slower
	// for good would count as saturated for ever.
	maxRateTimeConstant = 10 * time.Second
	// prefillRateWeight, callSecondsWeight and outputRatioWeight are the weights
	// of a new sample in the moving averages that get one sample for each
	// finished attempt.
	prefillRateWeight = 0.4
	callSecondsWeight = 0.3
	outputRatioWeight = 0.1
	// minPrefillTokens is the number of computed prompt tokens below which the
	// time to the first token says nothing about the prefill rate.
	minPrefillTokens = 64
)

// rates holds the measured speeds of the target. All rates are 0 before the
// first measurement.
type rates struct {
	decodeRate     float64   // generated tokens per second over all running attempts, as a moving average
	decodeCapacity float64   // decodeRate of the saturated target: measured, or extrapolated until it has been saturated
	wasSaturated   bool      // the target has been saturated at least once
	attemptRate    float64   // generated tokens per second of one running attempt, as a moving average
	maxAttemptRate float64   // highest recent attemptRate; decays with maxRateTimeConstant
	prefillRate    float64   // prompt tokens per second
	callSeconds    float64   // duration of a call of a plain service, as a moving average
	outputRatio    float64   // generated tokens divided by the most that were allowed, as a moving average; 1 before the first measurement
	outputSamples  int       // number of responses in outputRatio
	newTokens      int       // tokens generated since sampledAt
	sampledAt      time.Time // time of the last call of sampleDecodeRate
}

func newRates() *rates { return &rates{outputRatio: 1} }

// sampleDecodeRate updates the decode rates. decoding is the number of running
// attempts that have produced a token; windowSize is the number of attempts
// that may run.
func (r *rates) sampleDecodeRate(now time.Time, decoding, windowSize int) {
	dt := now.Sub(r.sampledAt)
	newTokens := r.newTokens
	r.sampledAt, r.newTokens = now, 0
	if decoding == 0 || dt <= 0 {
		return
	}
	rate := float64(newTokens) / dt.Seconds()
	attemptRate := rate / float64(decoding)
	if r.decodeRate == 0 {
		r.decodeRate, r.attemptRate = rate, attemptRate
	}
	keep := math.Exp(-float64(dt) / float64(decodeRateTimeConstant))
	r.decodeRate = keep*r.decodeRate + (1-keep)*rate
	r.attemptRate = keep*r.attemptRate + (1-keep)*attemptRate
	r.maxAttemptRate = max(r.attemptRate, r.maxAttemptRate*math.Exp(-float64(dt)/float64(maxRateTimeConstant)))
	r.updateCapacity(attemptRate, windowSize)
}

// updateCapacity updates the decode capacity. Only a saturated target lowers
// it: a target that runs few attempts generates fewer tokens in total, but it
// is not slower. Until the target has been saturated, the capacity is
// extrapolated from one attempt to a full window; the decode rate of a single
// attempt taken as the capacity would keep an idle target from getting work.
// latestAttemptRate is the rate of one attempt in the last sample. It is
// considered besides the moving average, which lags behind when many attempts
// end at once.
func (r *rates) updateCapacity(latestAttemptRate float64, windowSize int) {
	if max(latestAttemptRate, r.attemptRate) < saturationThreshold*r.maxAttemptRate {
		r.decodeCapacity, r.wasSaturated = r.decodeRate, true
		return
	}
	r.decodeCapacity = max(r.decodeCapacity, r.decodeRate)
	if !r.wasSaturated {
		r.decodeCapacity = max(r.decodeCapacity, r.attemptRate*float64(windowSize))
	}
}

// recordFirstToken records that a finished attempt waited d for its first
// token. tokens is the number of prompt tokens that the target computed in that
// time.
func (r *rates) recordFirstToken(tokens int, d time.Duration) {
	if tokens < minPrefillTokens || d <= 0 {
		return
	}
	rate := float64(tokens) / d.Seconds()
	if r.prefillRate == 0 {
		r.prefillRate = rate
		return
	}
	r.prefillRate = movingAverage(r.prefillRate, rate, prefillRateWeight)
}

// boundPrefillRate lowers the prefill rate when an attempt has waited d for its
// first token: the target cannot be faster than tokens/d, however many of them
// it found in its cache.
func (r *rates) boundPrefillRate(tokens int, d time.Duration) {
	if tokens < minPrefillTokens || d <= 0 {
		return
	}
	r.prefillRate = min(r.prefillRate, float64(tokens)/d.Seconds())
}

// recordPlainCall records the duration of a finished call of a plain service.
func (r *rates) recordPlainCall(d time.Duration) {
	if r.callSeconds == 0 {
		r.callSeconds = d.Seconds()
		return
	}
	r.callSeconds = movingAverage(r.callSeconds, d.Seconds(), callSecondsWeight)
}

// recordOutputLength records how many tokens a finished request generated of
// the most that it was allowed to.
func (r *rates) recordOutputLength(generated, maxOutput int) {
	if maxOutput <= 0 {
		return
	}
	r.outputSamples++
	ratio := min(1, float64(generated)/float64(maxOutput))
	// The first samples are weighted equally; with the fixed weight the start
	// value of 1 would distort the average for long.
	r.outputRatio = movingAverage(r.outputRatio, ratio, max(outputRatioWeight, 1/float64(r.outputSamples)))
}

// equivalentOutputTokens returns the number of output tokens that the target
// generates in the time that it takes for w. A target computes prompt tokens up
// to a hundred times as fast as it generates output tokens: if both counted the
// same, one prompt would look like seconds of output.
func (r *rates) equivalentOutputTokens(w workload) int {
	if r.prefillRate <= 0 || r.decodeCapacity <= 0 {
		return w.expectedOutput
	}
	return w.expectedOutput + int(float64(w.promptTokens)*r.decodeCapacity/r.prefillRate)
}

// movingAverage returns the exponential moving average after one more sample.
func movingAverage(old, sample, weight float64) float64 { return (1-weight)*old + weight*sample }

// predictSeconds returns the seconds that the target takes for w at the
// measured rates. Work whose rate is unknown counts as 0.
func (r *rates) predictSeconds(w workload) float64 {
	t := 0.0
	if r.prefillRate > 0 {
		t += float64(w.promptTokens) / r.prefillRate
	}
	if r.decodeRate > 0 {
		t += float64(w.expectedOutput) / r.decodeRate
	}
	return t
}
