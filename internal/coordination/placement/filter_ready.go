package placement

// isReady accepts targets that are neither leaving nor ejected. A target whose
// session was lost, or whose attempts keep ending with an unknown outcome, is
// ejected. After the backoff it is accepted for one probe.
func isReady(s *evaluation, t *target) bool {
	if t.shared.isLeaving() {
		return false
	}
	if !t.ejected {
		return true
	}
	return !s.query.Now.Before(t.backoffEnd) && t.shared.canClaimProbe(s.query.Now)
}
