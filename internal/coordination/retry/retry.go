// Package retry bounds retries of work that may have run, with budgets in proportion
// to first attempts and exponential backoff with full jitter.
package retry

import (
	"sync"
	"time"
)

// Budget holds the number of retries that may be spent. Because first attempts earn
// it, retries stay a fixed share of the load and cannot amplify an outage. The zero
// value is an empty budget. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	saved float64 // retries
}

// Earn adds ratio retries for one first attempt, as far as at most maximum are saved.
func (b *Budget) Earn(ratio, maximum float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+ratio, maximum)
}

// Take spends one retry. It returns false and spends nothing if less than one is
// saved.
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

// Saved returns the number of retries that may be spent.
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
