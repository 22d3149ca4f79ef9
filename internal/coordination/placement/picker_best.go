package placement

// best takes the candidate with the highest score; the random source decides
// between equals.
func best(s *evaluation, candidates []*candidate) *candidate {
	chosen, equals := candidates[0], 1
	for _, c := range candidates[1:] {
		switch {
		case c.score > chosen.score:
			chosen, equals = c, 1
		case c.score == chosen.score:
			equals++
			if s.random.IntN(equals) == 0 {
				chosen = c
			}
		}
	}
	return chosen
}
