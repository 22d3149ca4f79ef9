package placement

// ready accepts targets that are neither leaving nor ejected. A target whose
// session was lost is ejected. After the backoff it is accepted for one probe.
func ready(s *evaluation, t *target) bool {
	if t.live.leaving() {
		return false
	}
	if !t.ejected {
		return true
	}
	return !s.query.Now.Before(t.probeFrom) && t.live.probeFree(s.query.Now)
}
