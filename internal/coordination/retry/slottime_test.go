package retry

import (
	"testing"
	"time"
)

// Guards against extra work beyond what served requests have earned, against a burst after a calm
// time, and against work that is not urgent and takes what urgent work needs.
func TestSlotTimeBudget(t *testing.T) {
	var b SlotTimeBudget
	now := time.Now()
	if b.Take(now, time.Millisecond, true) {
		t.Error("extra work was allowed before any request was served")
	}
	b.Earn(now, time.Second)
	if !b.Take(now, 400*time.Millisecond, false) || b.Take(now, 400*time.Millisecond, false) {
		t.Error("work that is not urgent takes more or less than half")
	}
	if !b.Take(now, 400*time.Millisecond, true) || b.Take(now, 400*time.Millisecond, true) {
		t.Error("urgent work takes more or less than what is left")
	}
	b.Settle(now, 400*time.Millisecond, time.Second)
	if b.Earn(now, 300*time.Millisecond); b.Take(now.Add(time.Minute), time.Millisecond, true) {
		t.Error("work that took longer than predicted is forgotten")
	}
	b.Earn(now.Add(time.Minute), 10*time.Second)
	if left := b.Left(now.Add(2 * time.Minute)); left > 100*time.Millisecond {
		t.Errorf("%s are left of 10 s after a minute without requests", left)
	}
}

// Guards against hedges that take permissions which real retries need.
func TestTakeSpareLeavesHalf(t *testing.T) {
	w := WindowBudget{Ratio: 0.2, Length: 10 * time.Second}
	now := time.Now()
	for range 100 {
		w.RecordRequest(now)
	}
	spare, rest := 0, 0
	for w.TakeSpare(now, 6) {
		spare++
	}
	for w.Take(now, 6) {
		rest++
	}
	if spare != 8 || rest != 8 {
		t.Errorf("%d permissions for hedges and %d for retries of 16, want 8 and 8", spare, rest)
	}
}
