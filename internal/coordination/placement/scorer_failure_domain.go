package placement

// scoreFailureDomain scores 1 for targets in the entry's own failure domain.
func scoreFailureDomain(s *evaluation, c *candidate) float64 {
	if c.target.domain == s.entryDomain {
		return 1
	}
	return 0
}
