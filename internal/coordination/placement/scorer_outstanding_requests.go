package placement

// outstandingRequests scores by the number of requests queued, running and sent
// since the figures, relative to the candidate with the fewest.
func outstandingRequests(s *evaluation, c *candidate) float64 {
	return float64(s.fewest+1) / float64(c.outstanding+1)
}
