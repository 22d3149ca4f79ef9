package dispatch

// remoteDomainPenalty is the factor for targets of another failure domain: bytes
// between failure domains are priced and take longer.
const remoteDomainPenalty = 1.15

// scoreFailureDomain prefers targets in the failure domain of the entry.
func scoreFailureDomain(t *target, c *scoringInput) float64 {
	if t.record.Domain != c.domain {
		return remoteDomainPenalty
	}
	return 1
}
