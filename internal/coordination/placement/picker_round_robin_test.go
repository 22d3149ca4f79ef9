package placement

import "testing"

// Guards against a candidate that is skipped or chosen twice in a round.
func TestPickRoundRobin(t *testing.T) {
	checkPicker(t, pickRoundRobin, []pickerCase{
		{"takes turns", scoredCandidates(0.1, 0.9, 0.5), []int{200, 200, 200}, 0},
		{"single", scoredCandidates(0.1), []int{3}, 0},
	})
}
