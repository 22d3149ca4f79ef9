package placement

// scoreOutstandingRequests scores by the number of requests queued, running and sent
// since the figures, relative to the candidate with the fewest.
func scoreOutstandingRequests(s *evaluation, c *candidate) float64 {
	return float64(s.minOutstanding+1) / float64(c.outstanding+1)
}
