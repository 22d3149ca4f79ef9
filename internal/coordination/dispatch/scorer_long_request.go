package dispatch

import "time"

const (
	// maxExpectedShare is the share of the time to its deadline that a request may be
	// expected to take at a target. longRequestPenalty is the factor for targets where
	// it is expected to take longer.
	maxExpectedShare   = 0.5
	longRequestPenalty = 5.0
)

// scoreLongRequest penalizes targets that may not finish the request by its deadline.
func scoreLongRequest(t *target, c *scoringInput) float64 {
	if c.cost.Duration(&t.cost, c.request.Work, t.load()) > time.Duration(maxExpectedShare*float64(c.request.Deadline.Sub(c.now))) {
		return longRequestPenalty
	}
	return 1
}
