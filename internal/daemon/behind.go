package daemon

import (
	"sync"
	"time"
)

// behind is something that other entries have in a newer version.
type behind struct {
	mu           sync.Mutex
	own          uint64    // version here
	since, asked time.Time // since when a newer one than own is known elsewhere
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

// ask is called when a newer version than own is known elsewhere. It reports whether
// to ask for it, which is so when that has been the case for the time given. Reports
// of entries that are behind as well do not count.
func (b *behind) ask(now time.Time, own uint64, after time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() || b.own != own {
		b.own, b.since = own, now
	}
	if now.Sub(b.since) < after || now.Sub(b.asked) < askPause {
		return false
	}
	b.asked = now
	return true
}
