package placement

const (
	// affinityScore is the score of the strongest target that the prompt's first
	// blocks select when nothing is known to be cached there. It is below that of
	// half a prompt in cache, so that proof outweighs the hash.
	affinityScore = 0.45
	// secondAffinityScore is the same for the second target.
	secondAffinityScore = 0.4
	// loadBound is the largest load of a target relative to its share by speed at
	// which its cache still counts.
	loadBound = 1.25
	// smallLoad is the number of outstanding requests that never counts as too
	// much: engines batch that many, and with few requests in total the share of
	// one target is below one request.
	smallLoad = 4
)

// cachedPrefix scores by the share of the prompt that is expected in the
// target's cache, or by rendezvous hashing of the prompt's first blocks. A
// target with more than its bounded share of the load scores 0.
func cachedPrefix(s *evaluation, c *candidate) float64 {
	if s.overloaded(c) {
		return 0
	}
	score := 0.0
	if n := len(s.query.Blocks); n > 0 {
		score = float64(c.cached) / float64(n)
	}
	if !c.affinity {
		return score
	}
	if s.affinity[0] == c.target {
		return max(score, affinityScore)
	}
	return max(score, secondAffinityScore)
}

// overloaded reports whether c has more than loadBound times its share, by
// speed, of all outstanding requests.
func (s *evaluation) overloaded(c *candidate) bool {
	if c.outstanding < smallLoad || s.speed <= 0 {
		return false
	}
	fair := float64(s.total+1) * c.rates.decode / s.speed
	return float64(c.outstanding) > loadBound*fair
}
