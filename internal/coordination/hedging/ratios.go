// Package hedging predicts how much longer a request without a response will take, from the
// ratios of actual to predicted times of earlier ones. It uses no network and no clock.
package hedging

import (
	"math"
	"time"
)

// The ratios are counted in buckets of equal width on a logarithmic scale, from
// 2^lowestOctave to 2^highestOctave.
const (
	bucketsPerOctave = 4
	lowestOctave     = -4
	highestOctave    = 9
	bucketCount      = (highestOctave - lowestOctave) * bucketsPerOctave
)

const (
	// retention is the factor by which each observation reduces the weight of earlier ones, so
	// that a few hundred count.
	retention = 0.997
	// minObservations is the weight of observations from which on a quantile is taken from them.
	minObservations = 30
	// minTail is the weight of observations beyond a ratio from which on the rest is taken from
	// them.
	minTail = 3
	// defaultQuantile is the 95th percentile that is assumed while there are too few
	// observations.
	defaultQuantile = 3.0
)

// Ratios is the distribution of the ratio of the actual to the predicted time to a response.
// A request that was ended without a response counts as longer than it was awaited: otherwise
// the slowest requests, which hedges end, would be missing. The zero value has no observation.
// It is not safe for concurrent use.
type Ratios struct {
	responded [bucketCount]float64 // weights of the requests whose response started
	ended     [bucketCount]float64 // weights of those that were ended without a response
}

func bucketOf(ratio float64) int {
	if !(ratio > 0) {
		return 0
	}
	b := int(math.Floor((math.Log2(ratio) - lowestOctave) * bucketsPerOctave))
	return min(max(b, 0), bucketCount-1)
}

// upperEdge returns the highest ratio of a bucket.
func upperEdge(bucket int) float64 {
	return math.Exp2(float64(bucket+1)/bucketsPerOctave + lowestOctave)
}

// Observe records a request by the ratio of its time to the predicted one. responded says that
// its response started then; otherwise it was ended.
func (r *Ratios) Observe(ratio float64, responded bool) {
	for i := range bucketCount {
		r.responded[i] *= retention
		r.ended[i] *= retention
	}
	if responded {
		r.responded[bucketOf(ratio)]++
	} else {
		r.ended[bucketOf(ratio)]++
	}
}

// survival returns, for each bucket, the share of requests whose ratio is beyond it (the
// product-limit estimate), and the weight of those observed in it or beyond.
func (r *Ratios) survival() (beyond, weight [bucketCount]float64) {
	sum := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		sum += r.responded[i] + r.ended[i]
		weight[i] = sum
	}
	share := 1.0
	for i := range bucketCount {
		if weight[i] > 0 {
			share *= 1 - r.responded[i]/weight[i]
		}
		beyond[i] = share
	}
	return beyond, weight
}

// Quantile returns the ratio that a share q of the requests does not exceed. If more than 1-q
// were ended without a response, it is the highest that was observed.
func (r *Ratios) Quantile(q float64) float64 {
	beyond, weight := r.survival()
	if weight[0] < minObservations {
		return defaultQuantile
	}
	for i := range bucketCount {
		if beyond[i] <= 1-q || i+1 < bucketCount && weight[i+1] == 0 {
			return upperEdge(i)
		}
	}
	return upperEdge(bucketCount - 1)
}

// Rest predicts how much longer a request takes that has had no response for elapsed: the
// median of those that took as long. A request that was silent for longer than nearly all
// others is expected to stay so for as long again.
func (r *Ratios) Rest(predicted, elapsed time.Duration) time.Duration {
	if predicted <= 0 {
		return elapsed
	}
	ratio := float64(elapsed) / float64(predicted)
	from := bucketOf(ratio)
	beyond, weight := r.survival()
	if from+1 >= bucketCount || weight[from+1] < minTail || beyond[from] <= 0 {
		return elapsed
	}
	for i := from + 1; i < bucketCount; i++ {
		if beyond[i] <= beyond[from]/2 {
			return max(0, time.Duration(upperEdge(i)*float64(predicted))-elapsed)
		}
	}
	return elapsed
}
