package daemon

import (
	"sync"
	"time"
)

// behind is something that other entries have in a newer version.
type behind struct {
	mu           sync.Mutex
	since, asked time.Time
}

const (
	// behindTime is how long the store has to deliver a configuration that another
	// entry has. A read that waits at the store was once not answered although
	// there was a newer record (CONFIG on scale-2 of tbl-plan-grown).
	behindTime = 300 * time.Millisecond
	// askPause is the time between questions to other entries for what is newer
	// there: this entry may refuse it.
	askPause = time.Second
)

// ask reports whether to ask for what has been newer elsewhere for the time given.
func (b *behind) ask(now time.Time, after time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		b.since = now
	}
	if now.Sub(b.since) < after || now.Sub(b.asked) < askPause {
		return false
	}
	b.asked = now
	return true
}

// caughtUp records that nothing newer is known elsewhere.
func (b *behind) caughtUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Time{}
}
