package retry

import (
	"testing"
	"time"
)

// Guards against repeated sends in some window beyond the ratio and the allowance.
func TestWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &WindowBudget{Ratio: 0.2, Length: 10 * time.Second}
	for range 100 {
		w.RecordFirst(now)
	}
	taken := 0
	for w.Take(now, 3) {
		taken++
	}
	if taken != 23 {
		t.Errorf("%d repeated sends, want 23 for 100 first sends at a ratio of 0.2 and an allowance of 3", taken)
	}
	if w.Take(now.Add(9*time.Second), 3) {
		t.Error("a repeated send beyond the budget was allowed 9 s later in the same window")
	}
	later := now.Add(11 * time.Second)
	taken = 0
	for w.Take(later, 3) {
		taken++
	}
	if taken != 3 {
		t.Errorf("%d repeated sends in a window without first sends, want the allowance of 3", taken)
	}
}

// Guards against a step of the wall clock that empties or fills the budget.
func TestWindowWithClockStep(t *testing.T) {
	w := &WindowBudget{Ratio: 0.2, Length: 10 * time.Second}
	now := time.Now()
	w.RecordFirst(now)
	stepped := now.Add(-time.Hour) // the wall clock and the monotonic reading step back
	for range 2 {
		if !w.Take(stepped, 2) {
			t.Fatal("a repeated send within the allowance was refused after a clock step")
		}
	}
	if w.Take(stepped, 2) {
		t.Error("a repeated send beyond the allowance was allowed after a clock step")
	}
}
