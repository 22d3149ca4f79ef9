package dispatch

import (
	"math"
	"time"
)

// arrivalTimeConstant is the time constant with which arrivals are forgotten. It is
// short because bursts last only a few seconds.
const arrivalTimeConstant = time.Second

// arrivalRate is an exponentially decaying rate of arrivals. The zero value is ready
// to use.
type arrivalRate struct {
	decayedCount float64
	updatedAt    time.Time
}

// decay updates the count to now.
func (a *arrivalRate) decay(now time.Time) {
	if !a.updatedAt.IsZero() {
		a.decayedCount *= math.Exp(-now.Sub(a.updatedAt).Seconds() / arrivalTimeConstant.Seconds())
	}
	a.updatedAt = now
}

// record counts an arrival at now.
func (a *arrivalRate) record(now time.Time) {
	a.decay(now)
	a.decayedCount++
}

// perSecond returns the rate of arrivals at now.
func (a *arrivalRate) perSecond(now time.Time) float64 {
	a.decay(now)
	return a.decayedCount / arrivalTimeConstant.Seconds()
}
