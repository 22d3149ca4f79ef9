package retry

import (
	"math"
	"sync"
	"time"
)

// slotTimeMemory is the time constant with which unused permission for extra work is lost. It
// is the length of the window of the retry budget, so that a calm hour does not allow a burst.
const slotTimeMemory = 10 * time.Second

// SlotTimeBudget bounds the extra work of hedges for one service at one entry, in slot time:
// the time for which requests hold a second slot. Served requests earn a share of the time for
// which they held theirs. As each entry spends only what it has earned, the bound holds over
// all entries. The zero value is empty. It is safe for concurrent use.
type SlotTimeBudget struct {
	mu sync.Mutex
	// level is what may be spent, in seconds. It is negative after work that took longer than
	// predicted.
	level float64
	// earned is what level would be if nothing was spent.
	earned    float64
	updatedAt time.Time
}

// update drops what was earned too long ago. A debt stays.
func (b *SlotTimeBudget) update(now time.Time) {
	if !b.updatedAt.IsZero() {
		kept := math.Exp(-max(0, now.Sub(b.updatedAt).Seconds()) / slotTimeMemory.Seconds())
		b.earned *= kept
		if b.level > 0 {
			b.level *= kept
		}
	}
	b.updatedAt = now
}

// Earn adds extra work that served requests allow.
func (b *SlotTimeBudget) Earn(now time.Time, allowed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.level += allowed.Seconds()
	b.earned += allowed.Seconds()
}

// Take takes what extra work is predicted to cost, or returns false if there is less. Work that
// is not urgent leaves half of what was earned to work that is.
func (b *SlotTimeBudget) Take(now time.Time, cost time.Duration, urgent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	left := b.level - cost.Seconds()
	if left < 0 || !urgent && left < b.earned/2 {
		return false
	}
	b.level = left
	return true
}

// Settle replaces the predicted cost of work by the actual one.
func (b *SlotTimeBudget) Settle(now time.Time, predicted, actual time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.level += (predicted - actual).Seconds()
}

// Left returns what may be spent.
func (b *SlotTimeBudget) Left(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	return time.Duration(b.level * float64(time.Second))
}
