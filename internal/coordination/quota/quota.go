// Package quota limits each customer to its allowance over all entries: a token
// bucket with the customer's rate and burst, so that in any span a customer uses
// at most its rate times the span plus its burst.
//
// Every entry keeps a copy of each bucket, takes from it what it admits at once,
// and what the others admit when they report their totals.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// silentAfter is the time without a report after which another entry's use
	// is unknown. Reports come every second at least.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is the time after which a silent entry is taken as gone. It
	// covers the platform's window of 8 s, in which its requests still count.
	forgetAfter = 12 * time.Second
	// maxDebt bounds, in seconds of the customer's rate, how long reports that
	// arrive late can keep a customer out.
	maxDebt = 2.0
	// minRetryAfter is the shortest time after which a refused request is asked
	// to come back.
	minRetryAfter = 200 * time.Millisecond
	// retrySpread is the random part of a retry-after time, so that refused
	// requests do not come back together.
	retrySpread = 800 * time.Millisecond
)

// Ledger holds the buckets. It is safe for concurrent use.
type Ledger struct {
	window time.Duration
	// unsure says that customers may have used their allowance before this process
	// counted, and that no other entry has told yet.
	unsure  bool
	slack   float64
	started time.Time // of a restarted entry, when it first counted

	mu      sync.Mutex
	buckets map[state.Customer]*bucket
	used    map[state.Customer]usage // admitted here since the start
	peers   map[state.InstanceID]*peer
}

// bucket is the allowance of one customer.
type bucket struct {
	level   float64 // units; negative after a large request or late reports
	updated time.Time
	// rate and burst are the limits in effect; earlier is the rate before they
	// were lowered at loweredAt.
	rate, burst, earlier float64
	loweredAt            time.Time
}

type usage struct {
	total   float64 // units
	changed time.Time
}

type peer struct {
	incarnation state.Incarnation
	used        map[state.Customer]float64
	// complete says that used has all customers that the entry has admitted.
	complete bool
	heard    time.Time
}

// Config configures a Ledger.
type Config struct {
	// Window is the span over which a lowered limit is phased in.
	Window time.Duration
	// Restart says that customers may have used their allowance just before. Their
	// buckets then start with Slack units instead of the burst, so that a restart
	// of all entries does not give them a second burst.
	Restart bool
	Slack   float64
}

// New returns a ledger without use.
func New(c Config) *Ledger {
	return &Ledger{
		window: max(time.Millisecond, c.Window), unsure: c.Restart, slack: c.Slack,
		buckets: make(map[state.Customer]*bucket), used: make(map[state.Customer]usage),
		peers: make(map[state.InstanceID]*peer),
	}
}

// Admit takes cost units of the customer's allowance. Otherwise it returns the
// time after which the request may come back.
func (l *Ledger) Admit(now time.Time, c *state.CustomerConfig, cost float64) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.started.IsZero() {
		l.started = now
	}
	l.settle(now)
	if c.Rate > 0 {
		b := l.refill(now, c)
		// A request is admitted while anything is left, because one may be larger
		// than the burst. The next ones wait until the debt is paid.
		if b.level <= 0 {
			wait := time.Duration((cost - b.level) / c.Rate * float64(time.Second))
			return max(minRetryAfter, wait) + rand.N(retrySpread), false
		}
		b.level -= cost
	}
	l.use(now, c.Name, cost)
	return 0, true
}

func (l *Ledger) use(now time.Time, customer state.Customer, cost float64) {
	l.used[customer] = usage{total: l.used[customer].total + cost, changed: now}
}

// Return gives back the units of a request that did not run.
func (l *Ledger) Return(now time.Time, customer state.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[customer]; b != nil {
		b.level = min(b.burst, b.level+cost)
	}
	l.use(now, customer, -cost)
}

// refill brings the customer's bucket up to date.
func (l *Ledger) refill(now time.Time, c *state.CustomerConfig) *bucket {
	b := l.buckets[c.Name]
	if b == nil {
		b = &bucket{level: c.Burst, updated: now, rate: c.Rate}
		if l.unsure {
			b.level = min(c.Burst, l.slack)
		}
		l.buckets[c.Name] = b
	}
	if b.rate > 0 && c.Rate < b.rate {
		b.earlier, b.loweredAt = b.rate, now
	}
	b.rate, b.burst = c.Rate, c.Burst
	b.level = math.Min(b.burst, b.level+now.Sub(b.updated).Seconds()*b.phasedRate(now, l.window)*l.heardShare(now))
	b.updated = now
	return b
}

// phasedRate lowers the rate over the window, because the earlier limit holds for
// what a customer sent before the change.
func (b *bucket) phasedRate(now time.Time, window time.Duration) float64 {
	before := 1 - float64(now.Sub(b.loweredAt))/float64(window)
	return b.rate + max(0, before)*max(0, b.earlier-b.rate)
}

// heardShare returns the share of the entries whose use is known. The part of
// silent entries is left to them.
func (l *Ledger) heardShare(now time.Time) float64 {
	known, heard := 1, 1
	for id, p := range l.peers {
		age := now.Sub(p.heard)
		if age > forgetAfter {
			delete(l.peers, id)
			continue
		}
		known++
		if age <= silentAfter {
			heard++
		}
	}
	return float64(heard) / float64(known)
}

// Used returns what was admitted here since the start, of the customers for which
// it has changed at since or later.
func (l *Ledger) Used(since time.Time) map[state.Customer]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[state.Customer]float64)
	for customer, u := range l.used {
		if !u.changed.Before(since) {
			used[customer] = u.total
		}
	}
	return used
}

// Levels returns the levels of the buckets, so that a restarted entry can take
// them over, or nil while this entry does not know them itself.
func (l *Ledger) Levels(now time.Time) map[state.Customer]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unsure {
		return nil
	}
	levels := make(map[state.Customer]float64, len(l.buckets))
	for name, b := range l.buckets {
		grown := now.Sub(b.updated).Seconds() * b.rate
		levels[name] = math.Floor(min(b.burst, b.level+grown))
	}
	return levels
}

// Adopt takes over the levels of another entry's buckets after a restart.
// Customers that it does not name have used nothing lately.
func (l *Ledger) Adopt(now time.Time, levels map[state.Customer]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unsure || levels == nil {
		return
	}
	l.unsure = false
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			b.level, b.updated = level, now
		} else {
			l.buckets[name] = &bucket{level: level, updated: now}
		}
	}
}

// settle ends the doubt of a restarted entry that heard no levels: after the
// window its own buckets are right.
func (l *Ledger) settle(now time.Time) {
	if l.unsure && now.Sub(l.started) > l.window {
		l.unsure = false
	}
}

// Leave forgets an entry that stops.
func (l *Ledger) Leave(from state.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, from)
}

// Report takes over what another entry has admitted since its start, of some
// customers or, when complete is set, of all. A report that is lost or late is made
// up for by the next one of the same customer.
func (l *Ledger) Report(now time.Time, from state.InstanceID, incarnation state.Incarnation, used map[state.Customer]float64, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, used: make(map[state.Customer]float64)}
		l.peers[from] = p
	}
	p.heard = now
	for customer, total := range used {
		before, known := p.used[customer]
		p.used[customer] = total
		if !known && !p.complete {
			continue // what it admitted before is not known to be recent
		}
		if b := l.buckets[customer]; b != nil {
			b.level = max(-maxDebt*b.rate, min(b.burst, b.level-(total-before)))
		}
	}
	p.complete = p.complete || complete
}
