package placement

import "testing"

// Guards against drawing the same candidate twice and against choosing the worse
// of the two drawn.
func TestPickPowerOfTwo(t *testing.T) {
	checkPicker(t, pickPowerOfTwo, []pickerCase{
		{"never takes the worst", scoredCandidates(0.1, 0.5, 0.9), []int{0, 200, 400}, 40},
		{"single", scoredCandidates(0.1), []int{600}, 0},
	})
}
