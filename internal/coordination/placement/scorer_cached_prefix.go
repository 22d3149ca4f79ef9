package placement

const (
	// firstAffinityScore is the score of the first affinity target when none of the
	// prompt is expected in its cache. It is below the score for half a prompt in
	// the cache, so that evidence of cached blocks outweighs the hash.
	firstAffinityScore = 0.45
	// secondAffinityScore is the same for the second affinity target.
	secondAffinityScore = 0.4
	// maxLoadFactor is the largest load of a target, relative to its fair share by
	// decode rate, at which its cache still counts.
	maxLoadFactor = 1.25
	// minOverloadRequests is the number of outstanding requests below which a
	// target never counts as overloaded: engines batch that many, and with few
	// requests in total the fair share of one target is below one request.
	minOverloadRequests = 4
)

// scoreCachedPrefix scores by the share of the prompt that is expected in the
// target's cache, with a minimum for the targets that rendezvous hashing of the
// prompt's first blocks selects. An overloaded target scores 0.
func scoreCachedPrefix(s *evaluation, c *candidate) float64 {
	if s.isOverloaded(c) {
		return 0
	}
	score := 0.0
	if n := len(s.query.Blocks); n > 0 {
		score = float64(c.cachedBlocks) / float64(n)
	}
	if !c.hasAffinity {
		return score
	}
	if s.affinityTargets[0] == c.target {
		return max(score, firstAffinityScore)
	}
	return max(score, secondAffinityScore)
}

// isOverloaded reports whether c has more than maxLoadFactor times its fair share
// of all outstanding requests. Fair shares are in proportion to decode rates.
func (s *evaluation) isOverloaded(c *candidate) bool {
	if c.outstanding < minOverloadRequests || s.totalDecodeRate <= 0 {
		return false
	}
	fairShare := float64(s.totalOutstanding+1) * c.rates.decode / s.totalDecodeRate
	return float64(c.outstanding) > maxLoadFactor*fairShare
}
