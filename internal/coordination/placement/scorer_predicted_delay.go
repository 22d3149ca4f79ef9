package placement

// halvingDelaySeconds is the predicted delay in seconds at which the score is one
// half. Since it is absolute, delays that differ by less than about 0.1 s get
// scores within the 10% that the weighted-near-best picker treats as equal.
const halvingDelaySeconds = 1.0

// scorePredictedDelay scores by the predicted delay: the time that the target
// needs, at its token rates, for the work ahead of the request and for the
// prefill of the uncached part of the prompt.
func scorePredictedDelay(_ *evaluation, c *candidate) float64 {
	return halvingDelaySeconds / (halvingDelaySeconds + c.delay.Seconds())
}
