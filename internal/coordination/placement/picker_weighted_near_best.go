package placement

// nearBest is the lowest score, relative to the best, that counts as equal.
const nearBest = 0.9

// weightedNearBest draws among the candidates within 10% of the best score,
// weighted by speed. Entries that share stale figures would otherwise all
// choose the same best target.
func weightedNearBest(s *evaluation, candidates []*candidate) *candidate {
	highest := 0.0
	for _, c := range candidates {
		highest = max(highest, c.score)
	}
	total := 0.0
	for _, c := range candidates {
		if c.score >= nearBest*highest {
			total += c.rates.decode
		}
	}
	at := s.random.Float64() * total
	var last *candidate
	for _, c := range candidates {
		if c.score < nearBest*highest {
			continue
		}
		last = c
		if at -= c.rates.decode; at < 0 {
			break
		}
	}
	return last
}
