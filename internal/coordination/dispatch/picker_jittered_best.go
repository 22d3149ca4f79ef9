package dispatch

// maxScoreJitter is the largest share by which a score is raised at random, so that
// entries with the same view do not all choose the same target.
const maxScoreJitter = 0.15

// pickJitteredBest picks the candidate with the lowest score after random jitter.
func pickJitteredBest(candidates []candidate, draw randomFloat) int {
	best, bestScore := 0, 0.0
	for i, c := range candidates {
		score := c.score * (1 + maxScoreJitter*draw())
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
