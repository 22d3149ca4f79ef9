package placement

// failureDomain scores 1 for targets in the entry's own failure domain.
func failureDomain(s *evaluation, c *candidate) float64 {
	if c.target.domain == s.domain {
		return 1
	}
	return 0
}
