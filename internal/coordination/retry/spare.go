package retry

import "time"

// spareShare is the share of what the budget can hold that hedges leave to real retries.
const spareShare = 0.5

// Spare reports whether TakeSpare would succeed.
func (w *WindowBudget) Spare(now time.Time, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(now, slack)
	return w.hasSpare(now, slack)
}

// TakeSpare takes the permission for one repeated send that is made beside the one before, or
// returns false if less than half of what the budget can hold would be left to sends that
// replace one that has failed.
func (w *WindowBudget) TakeSpare(now time.Time, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(now, slack)
	if !w.hasSpare(now, slack) {
		return false
	}
	w.level = max(0, w.level-1)
	return true
}

func (w *WindowBudget) hasSpare(now time.Time, slack float64) bool {
	return w.hasOne() && w.level-1 >= spareShare*w.capacity(now, slack)-tolerance
}
