// Package retry bounds retries of work that may have run: a budget that is
// earned by first attempts, and exponential backoff with full jitter.
package retry

import (
	"sync"
	"time"
)

// Budget is the number of retries that may be spent. Because it is earned by
// first attempts, retries stay a fixed share of the load and cannot amplify an
// outage. The zero value is empty and ready to use by several goroutines.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// Earn adds ratio for one first attempt, up to maximum saved.
func (b *Budget) Earn(ratio, maximum float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+ratio, maximum)
}

// Take spends one retry. It returns false and spends nothing when less than
// one is saved.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance makes ten additions of 0.1 count as one.
	const tolerance = 1e-9
	if b.saved < 1-tolerance {
		return false
	}
	b.saved = max(0, b.saved-1)
	return true
}

// Saved returns the retries saved.
func (b *Budget) Saved() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.saved
}

// Backoff is an exponential delay with full jitter: the delay before retry n is
// uniform between 0 and min(Max, Base*2^n).
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before retry n, counted from 0. random is uniform in
// [0, 1).
func (b Backoff) Delay(n int, random float64) time.Duration {
	ceiling := b.Base
	for range n {
		if ceiling >= b.Max/2 {
			ceiling = b.Max
			break
		}
		ceiling *= 2
	}
	return time.Duration(random * float64(min(ceiling, b.Max)))
}
