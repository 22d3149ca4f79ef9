package placement

import "testing"

// Guards against ignored scores and against a fixed choice between equals.
func TestBest(t *testing.T) {
	checkPicker(t, best, []pickerCase{
		{"takes the highest", scored(0.5, 0.9, 0.89), []int{0, 600, 0}, 0},
		{"divides between equals", scored(0.9, 0.9, 0.9), []int{200, 200, 200}, 40},
	})
}
