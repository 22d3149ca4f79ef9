package costmodel

import (
	"math"
	"time"
)

const (
	// minMargin is the least factor by which an end may be predicted too late. The estimates of
	// callers and the pace of engines differ by about as much in the simulations of package
	// dispatch.
	minMargin = 1.3
	// earlyWeight is the weight of one request in the spread of early ends.
	earlyWeight = 0.01
	// minEnds is the number of ends from which on the spread is known. Before, nothing is
	// certain.
	minEnds = 50
	// certainty is the number of standard deviations by which an end must be predicted too late
	// to be certain: with a normal distribution, 1 request in 40 ends earlier.
	certainty = 2
)

// earliness is the spread of the ends that came earlier than predicted.
type earliness struct {
	square float64 // moving average of the squared logarithms of actual / predicted, where below 0
	count  int
}

// ObservePrediction records that a request with a complete response ended after actual, of which
// predicted was the prediction without a wait for a slot.
func (s *Service) ObservePrediction(predicted, actual time.Duration) {
	x := math.Min(0, math.Log(max(minMillis, millis(actual))/max(minMillis, millis(predicted))))
	s.early.count++
	s.early.square += max(earlyWeight, 1/float64(s.early.count)) * (2*x*x - s.early.square)
}

// EarliestEnd returns the time after which a request ends at t at the earliest, as far as the
// predictions so far can be relied on. It is 0 if they cannot: without an estimate of the output,
// or with estimates that are far off, the spread is large.
func (s *Service) EarliestEnd(t *Target, w Work, l Load) time.Duration {
	if s.early.count < minEnds {
		return 0
	}
	margin := max(minMargin, math.Exp(certainty*math.Sqrt(s.early.square)))
	return time.Duration(float64(s.Duration(t, w, l)) / margin)
}
