package placement

import "testing"

// Guards against ignoring scores and against always choosing the same of several
// equal candidates.
func TestPickBest(t *testing.T) {
	checkPicker(t, pickBest, []pickerCase{
		{"takes the highest", scoredCandidates(0.5, 0.9, 0.89), []int{0, 600, 0}, 0},
		{"divides between equals", scoredCandidates(0.9, 0.9, 0.9), []int{200, 200, 200}, 40},
	})
}
