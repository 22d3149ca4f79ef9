// Package memory accounts for the bytes that a process holds for its callers: header
// sections and bodies of their requests, and responses that wait for a reader. What the
// account does not cover is refused before it is allocated, so that callers cannot make
// the process exceed its memory limit.
package memory

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the most that a small reservation holds. Only small ones may use the
	// reserve of the account.
	SmallBytes = 64 << 10
	// stalledAfter is the time without progress after which an unfinished reservation may be
	// ended for the sake of another one. A peer that shares a link of 10 Mbit/s with 100
	// others sends 4 KiB in a third of a second.
	stalledAfter = 500 * time.Millisecond
)

// Limits are the bytes that an account covers. Zero means no limit.
type Limits struct {
	Total int
	// Reserve is the part of Total that only small reservations may use.
	Reserve int
	// Responses bounds the reservations of the kind Response together.
	Responses int
}

// Kind is what a reservation holds.
type Kind uint8

// The kinds of reservations.
const (
	Head     Kind = iota // header sections of requests
	Body                 // bodies of requests
	Response             // responses, and events of streams
	kinds
)

// Counts are the state of an account, for metrics.
type Counts struct {
	Limit    int `json:"limit"`
	Used     int `json:"used"`
	Peak     int `json:"peak"`
	Heads    int `json:"heads"`
	Bodies   int `json:"bodies"`
	Response int `json:"responses"`
	Refused  int `json:"refused"`
	Evicted  int `json:"evicted"`
}

// Account is safe for concurrent use.
type Account struct {
	limits Limits
	now    func() time.Time

	mu         sync.Mutex
	used, peak int
	usedBy     [kinds]int
	refused    int
	evicted    int
	unfinished map[*Reservation]struct{} // those that may be ended
}

// New returns an account without reservations.
func New(limits Limits) *Account {
	return &Account{limits: limits, now: time.Now, unfinished: make(map[*Reservation]struct{})}
}

// Counts returns the state of the account.
func (a *Account) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Counts{
		Limit: a.limits.Total, Used: a.used, Peak: a.peak, Heads: a.usedBy[Head], Bodies: a.usedBy[Body], Response: a.usedBy[Response],
		Refused: a.refused, Evicted: a.evicted,
	}
}

// Open returns an empty reservation. If end is not nil, the reservation is unfinished: end is
// called, once at most, when the account needs its bytes. It must not block or use the account.
func (a *Account) Open(kind Kind, end func()) *Reservation {
	return &Reservation{account: a, kind: kind, end: end}
}

// limitFor returns what may be used in all when a reservation has the given size.
func (a *Account) limitFor(size int) int {
	if size > SmallBytes {
		return a.limits.Total - a.limits.Reserve
	}
	return a.limits.Total
}

// makeRoom ends unfinished reservations until more bytes fit into the limit, and returns
// false if they do not. Responses may end reservations that make progress too, because their
// requests have run. a.mu is held.
func (a *Account) makeRoom(r *Reservation, size, more int) bool {
	if r.kind == Response && a.limits.Responses > 0 && a.usedBy[Response]+more > a.limits.Responses {
		return false
	}
	if a.limits.Total == 0 {
		return true
	}
	stalled := stalledAfter
	if r.kind == Response {
		stalled = 0
	}
	for a.used+more > a.limitFor(size) {
		victim := a.victim(r, stalled)
		if victim == nil {
			return false
		}
		a.evict(victim)
	}
	return true
}

// victim returns the unfinished reservation to end: the one with the highest product of size
// and time without progress. a.mu is held.
func (a *Account) victim(except *Reservation, stalled time.Duration) *Reservation {
	now, most := a.now(), 0.0
	var found *Reservation
	for r := range a.unfinished {
		idle := now.Sub(r.progressAt)
		if r == except || idle < stalled {
			continue
		}
		if score := float64(r.bytes) * (idle + time.Millisecond).Seconds(); score > most {
			found, most = r, score
		}
	}
	return found
}

// evict ends a reservation. Its bytes are free at once: the handler that holds them sees that
// it was ended and returns. a.mu is held.
func (a *Account) evict(r *Reservation) {
	a.evicted++
	r.evicted = true
	a.free(r)
	r.end()
}

// free takes a reservation out of the account. a.mu is held.
func (a *Account) free(r *Reservation) {
	a.used -= r.bytes
	a.usedBy[r.kind] -= r.bytes
	r.bytes = 0
	delete(a.unfinished, r)
}

// Reservation is the part of the account that one request or response holds.
type Reservation struct {
	account    *Account
	kind       Kind
	end        func()
	bytes      int
	progressAt time.Time
	evicted    bool
}

// Grow makes the reservation cover size bytes in all, and counts as progress. It returns
// false, and leaves the reservation as it is, if the account does not cover them or the
// reservation was ended.
func (r *Reservation) Grow(size int) bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.evicted {
		return false
	}
	r.progressAt = a.now()
	more := size - r.bytes
	if more <= 0 {
		return true
	}
	if !a.makeRoom(r, size, more) {
		a.refused++
		return false
	}
	r.bytes += more
	a.used += more
	a.usedBy[r.kind] += more
	a.peak = max(a.peak, a.used)
	if r.end != nil {
		a.unfinished[r] = struct{}{}
	}
	return true
}

// Progress records that the peer has sent or read a considerable part. It returns false if
// the reservation was ended.
func (r *Reservation) Progress() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.progressAt = r.account.now()
	return !r.evicted
}

// Evicted reports whether the account has ended the reservation.
func (r *Reservation) Evicted() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.evicted
}

// Finish keeps the reservation from being ended. It returns false if it was ended before.
func (r *Reservation) Finish() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	delete(r.account.unfinished, r)
	r.end = nil
	return !r.evicted
}

// Release gives all bytes back. It may be called again.
func (r *Reservation) Release() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.free(r)
}
