package placement

// pickBest takes the candidate with the highest score; the random source decides
// between equals.
func pickBest(s *evaluation, candidates []*candidate) *candidate {
	chosen, ties := candidates[0], 1
	for _, c := range candidates[1:] {
		switch {
		case c.score > chosen.score:
			chosen, ties = c, 1
		case c.score == chosen.score:
			ties++
			if s.random.IntN(ties) == 0 {
				chosen = c
			}
		}
	}
	return chosen
}
