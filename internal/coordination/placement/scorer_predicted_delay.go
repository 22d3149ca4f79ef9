package placement

// delayScale is the predicted delay in seconds that halves the score. Being
// absolute, it makes differences below about 0.1 s fall into the 10% that the
// weighted-near-best picker treats as equal.
const delayScale = 1.0

// predictedDelay scores by the predicted delay: the work that is ahead of the
// request over the measured speeds, and the prefill of the uncached prompt.
func predictedDelay(_ *evaluation, c *candidate) float64 {
	return delayScale / (delayScale + c.delay.Seconds())
}
