package placement

// pickRoundRobin takes the candidates in turn and ignores their scores.
func pickRoundRobin(s *evaluation, candidates []*candidate) *candidate {
	turn := s.policy.turns.Add(1) - 1
	return candidates[turn%uint64(len(candidates))]
}
