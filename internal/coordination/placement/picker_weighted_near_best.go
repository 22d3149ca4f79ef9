package placement

// nearBestRatio is the lowest ratio to the best score at which a score counts as
// equal to it.
const nearBestRatio = 0.9

// pickWeightedNearBest draws among the candidates whose scores are near the best,
// with probabilities in proportion to their decode rates. Entries that share
// stale figures would otherwise all choose the same best target.
func pickWeightedNearBest(s *evaluation, candidates []*candidate) *candidate {
	highest := 0.0
	for _, c := range candidates {
		highest = max(highest, c.score)
	}
	totalRate := 0.0
	for _, c := range candidates {
		if c.score >= nearBestRatio*highest {
			totalRate += c.rates.decode
		}
	}
	draw := s.random.Float64() * totalRate
	var last *candidate
	for _, c := range candidates {
		if c.score < nearBestRatio*highest {
			continue
		}
		last = c
		if draw -= c.rates.decode; draw < 0 {
			break
		}
	}
	return last
}
