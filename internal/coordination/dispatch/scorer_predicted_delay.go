package dispatch

// scorePredictedDelay returns the predicted time to the start of the response, in
// milliseconds of a target with the median slowness of the service.
func scorePredictedDelay(t *target, c *scoringInput) float64 {
	return t.predictResponseMillis(c.request, t.slownessOr(c.medianSlowness)/c.medianSlowness)
}
