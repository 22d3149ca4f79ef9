package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against retries that exceed their share of the first attempts.
func TestBudgetIsEarnedByFirstAttempts(t *testing.T) {
	var b Budget
	if b.Take() {
		t.Fatal("an empty budget allowed a retry")
	}
	for range 10 {
		b.Earn(0.1, 10)
	}
	if !b.Take() {
		t.Fatal("ten first attempts at 0.1 did not earn one retry")
	}
	if b.Take() {
		t.Fatal("ten first attempts at 0.1 earned two retries")
	}
	for range 1000 {
		b.Earn(0.1, 10)
	}
	if got := b.Saved(); got != 10 {
		t.Fatalf("saved %g, want the maximum 10", got)
	}
}

// Guards against delays outside the bounds, and against an overflow after many
// retries.
func TestBackoffDelay(t *testing.T) {
	b := Backoff{Base: 50 * time.Millisecond, Max: 2 * time.Second}
	rng := rand.New(rand.NewPCG(1, 2))
	for n, ceiling := range map[int]time.Duration{0: 50 * time.Millisecond, 1: 100 * time.Millisecond, 5: 1600 * time.Millisecond, 6: 2 * time.Second, 200: 2 * time.Second} {
		for range 100 {
			if d := b.Delay(n, rng.Float64()); d < 0 || d >= ceiling {
				t.Fatalf("retry %d: delay %s, want within [0, %s)", n, d, ceiling)
			}
		}
	}
}
