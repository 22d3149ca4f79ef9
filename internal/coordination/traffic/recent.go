package traffic

import "sync"

// RecentCache holds about the latest keys that were set, with their values, in two
// generations of up to GenerationLimit keys each: when the newer one is full, the
// older one is dropped. The zero value with a GenerationLimit is ready to use. It is
// safe for concurrent use.
type RecentCache[K comparable, V any] struct {
	GenerationLimit int

	mu    sync.Mutex
	newer map[K]V
	older map[K]V
}

// Get returns the value of a key, and whether the key is held.
func (r *RecentCache[K, V]) Get(key K) (V, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.newer[key]; ok {
		return v, true
	}
	v, ok := r.older[key]
	return v, ok
}

// Set sets the value of a key.
func (r *RecentCache[K, V]) Set(key K, value V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.newer) >= r.GenerationLimit || r.newer == nil {
		r.older, r.newer = r.newer, make(map[K]V)
	}
	r.newer[key] = value
}
