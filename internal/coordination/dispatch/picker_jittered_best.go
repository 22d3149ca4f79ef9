package dispatch

// drawSpread varies scores at random by up to this share, so that entries with
// equal views do not all choose the same target.
const drawSpread = 0.15

// pickJitteredBest picks the best score after a random variation.
func pickJitteredBest(candidates []scored, draw random) int {
	best, bestScore := 0, 0.0
	for i, c := range candidates {
		score := c.score * (1 + drawSpread*draw())
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
