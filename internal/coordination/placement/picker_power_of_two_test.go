package placement

import "testing"

// Guards against a draw that takes the same candidate twice or the worse of two.
func TestPowerOfTwo(t *testing.T) {
	checkPicker(t, powerOfTwo, []pickerCase{
		{"never takes the worst", scored(0.1, 0.5, 0.9), []int{0, 200, 400}, 40},
		{"single", scored(0.1), []int{600}, 0},
	})
}
