package dispatch

// remotePenalty makes a target of another failure domain look this much slower:
// bytes between failure domains are priced and take longer.
const remotePenalty = 1.15

// scoreFailureDomain prefers targets of the entry's own failure domain.
func scoreFailureDomain(t *target, c *choice) float64 {
	if t.record.Domain != c.domain {
		return remotePenalty
	}
	return 1
}
