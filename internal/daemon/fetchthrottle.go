package daemon

import (
	"sync"
	"time"
)

// fetchThrottle decides when to fetch a newer version of the configuration or of the
// bundle that other entries report.
type fetchThrottle struct {
	mu         sync.Mutex
	ownVersion uint64 // the version here
	// newerSince is when a version newer than ownVersion was first reported, and
	// allowedAt the last time at which allow returned true.
	newerSince, allowedAt time.Time
}

const (
	// configurationFetchDelay is how long the store has to deliver a configuration
	// that another entry has. After that, it is fetched from an entry, because the
	// store may leave a waiting read unanswered although there is a newer record.
	configurationFetchDelay = 300 * time.Millisecond
	// minVersionFetchInterval is the least time between two fetches of a newer version.
	// This entry may refuse the version, and each report would cause another fetch.
	minVersionFetchInterval = time.Second
)

// allow reports whether to fetch now. The caller calls it for each report of a version
// that is newer than ownVersion, and for no other report. allow returns true once such
// reports have come for delay without a change of ownVersion, and then at most once in
// minVersionFetchInterval.
func (t *fetchThrottle) allow(now time.Time, ownVersion uint64, delay time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newerSince.IsZero() || t.ownVersion != ownVersion {
		t.ownVersion, t.newerSince = ownVersion, now
	}
	if now.Sub(t.newerSince) < delay || now.Sub(t.allowedAt) < minVersionFetchInterval {
		return false
	}
	t.allowedAt = now
	return true
}
