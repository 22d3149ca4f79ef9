package placement

// pickPowerOfTwo draws two candidates at random and takes the one with the higher
// score.
func pickPowerOfTwo(s *evaluation, candidates []*candidate) *candidate {
	n := len(candidates)
	if n == 1 {
		return candidates[0]
	}
	i := s.random.IntN(n)
	j := s.random.IntN(n - 1)
	if j >= i {
		j++
	}
	if candidates[j].score > candidates[i].score {
		return candidates[j]
	}
	return candidates[i]
}
