package placement

import "testing"

// Guards against a target that is skipped or taken twice in a round.
func TestRoundRobin(t *testing.T) {
	checkPicker(t, roundRobin, []pickerCase{
		{"takes turns", scored(0.1, 0.9, 0.5), []int{200, 200, 200}, 0},
		{"single", scored(0.1), []int{3}, 0},
	})
}
