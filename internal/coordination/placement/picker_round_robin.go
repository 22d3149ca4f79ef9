package placement

// roundRobin takes the candidates in turn and ignores their scores.
func roundRobin(s *evaluation, candidates []*candidate) *candidate {
	turn := s.policy.turn.Add(1) - 1
	return candidates[turn%uint64(len(candidates))]
}
