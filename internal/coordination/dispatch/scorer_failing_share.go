package dispatch

// failingShareWeight is what a unit of failing share above the median of the service
// adds to the factor: with a tenth more failures, a target scores as if it were twice
// as slow.
const failingShareWeight = 10.0

// scoreFailingShare penalizes targets that fail more often than the median target.
func scoreFailingShare(t *target, c *scoringInput) float64 {
	return 1 + failingShareWeight*max(0, t.failingShare-c.medianFailing)
}
