package dispatch

import "time"

// scorePredictedDelay returns the predicted time to the start of the response, in
// milliseconds.
func scorePredictedDelay(t *target, c *scoringInput) float64 {
	return float64(c.cost.Response(&t.cost, c.request.Work, t.load())) / float64(time.Millisecond)
}
