package dispatch

import "time"

const (
	// longShare is the share of the time left that a request may be expected to
	// take at a target. longPenalty makes a target where it takes longer look that
	// much slower.
	longShare   = 0.5
	longPenalty = 5.0
)

// scoreLongRequest keeps requests from targets that may not finish them in time.
func scoreLongRequest(t *target, c *choice) float64 {
	if t.expected(c.request, c.typical) > time.Duration(longShare*float64(c.request.Deadline.Sub(c.now))) {
		return longPenalty
	}
	return 1
}
