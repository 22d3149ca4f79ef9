package placement

// notTried accepts targets that have neither refused nor failed this request.
func notTried(s *evaluation, t *target) bool {
	_, tried := s.query.Tried[t.id]
	return !tried
}
