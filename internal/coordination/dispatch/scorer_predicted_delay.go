package dispatch

// scorePredictedDelay returns the predicted time to the response, in milliseconds
// of a target of usual speed.
func scorePredictedDelay(t *target, c *choice) float64 {
	return t.firstResponse(c.request, t.slowness(c.typical)/c.typical)
}
