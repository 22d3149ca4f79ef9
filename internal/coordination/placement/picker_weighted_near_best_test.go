package placement

import "testing"

// Guards against herding on the best candidate and against a slow one that draws as often as a fast one.
func TestWeightedNearBest(t *testing.T) {
	slow := scored(0.9, 0.9)
	slow[1].rates.decode = 20
	checkPicker(t, weightedNearBest, []pickerCase{
		{"divides near the best", scored(0.9, 0.82, 0.5), []int{300, 300, 0}, 40},
		{"weighs by speed", slow, []int{500, 100}, 40},
		{"without scores", scored(0, 0), []int{300, 300}, 40},
	})
}
