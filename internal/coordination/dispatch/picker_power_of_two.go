package dispatch

// pickPowerOfTwo picks the one with the lower score of two candidates drawn at random.
func pickPowerOfTwo(candidates []candidate, draw randomFloat) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	a, b := int(draw()*float64(n)), int(draw()*float64(n-1))
	if b >= a {
		b++
	}
	if candidates[b].score < candidates[a].score {
		return b
	}
	return a
}
