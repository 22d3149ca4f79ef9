package traffic

import "sync"

// Recent remembers about the latest entries of a map in two generations of up to
// Limit entries each: when the newer one is full, the older one is dropped. The
// zero value with a Limit is ready to use. It is safe for concurrent use.
type Recent[K comparable, V any] struct {
	Limit int

	mu    sync.Mutex
	newer map[K]V
	older map[K]V
}

// Get returns the value of a key.
func (r *Recent[K, V]) Get(key K) (V, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.newer[key]; ok {
		return v, true
	}
	v, ok := r.older[key]
	return v, ok
}

// Set sets the value of a key.
func (r *Recent[K, V]) Set(key K, value V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.newer) >= r.Limit || r.newer == nil {
		r.older, r.newer = r.newer, make(map[K]V)
	}
	r.newer[key] = value
}
