package placement

import "testing"

// Guards against herding on the best candidate and against a slow candidate that
// is chosen as often as a fast one.
func TestPickWeightedNearBest(t *testing.T) {
	withSlow := scoredCandidates(0.9, 0.9)
	withSlow[1].rates.decode = 20
	checkPicker(t, pickWeightedNearBest, []pickerCase{
		{"divides near the best", scoredCandidates(0.9, 0.82, 0.5), []int{300, 300, 0}, 40},
		{"weighs by decode rate", withSlow, []int{500, 100}, 40},
		{"without scores", scoredCandidates(0, 0), []int{300, 300}, 40},
	})
}
