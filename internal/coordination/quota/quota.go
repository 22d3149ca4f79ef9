// Package quota limits each customer to its allowance over all entries with a token
// bucket of the customer's rate and burst: in any span of time, a customer uses at
// most its rate times the span plus its burst.
//
// Every entry keeps a copy of each bucket. It subtracts what it admits itself at once,
// and what other entries admit when they report their totals.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// silentAfter is the time without a report after which another entry's usage is
	// taken as unknown. Entries report every second at least.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is the time without a report after which another entry is taken as
	// gone. It covers the platform's window of 8 s, in which the entry's requests
	// still count.
	forgetAfter = 12 * time.Second
	// maxDebtSeconds bounds, in seconds of the customer's rate, how far reports of
	// other entries lower a level below zero. It limits how long late reports can
	// keep a customer out.
	maxDebtSeconds = 2.0
	// minRetryAfter is the shortest retry-after time of a refused request.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryJitter bounds the random time that is added to a retry-after time, so
	// that refused requests do not come back together.
	maxRetryJitter = 800 * time.Millisecond
)

// Ledger holds the customers' buckets and the totals that entries have admitted. It
// is safe for concurrent use.
type Ledger struct {
	window time.Duration
	// levelsUnknown says that customers may have used their allowance before this
	// process started, and that no other entry has told the levels yet.
	levelsUnknown bool
	restartLevel  float64   // units in a new bucket while levelsUnknown is set
	firstAdmit    time.Time // time of the first Admit

	mu       sync.Mutex
	buckets  map[state.Customer]*bucket
	admitted map[state.Customer]usage // by this entry since its start
	peers    map[state.InstanceID]*peer
}

// bucket is the allowance of one customer.
type bucket struct {
	level     float64 // units; negative after a large request or late reports
	updatedAt time.Time
	// rate and burst are the limits in effect. previousRate is the rate before it was
	// lowered at loweredAt.
	rate, burst, previousRate float64
	loweredAt                 time.Time
}

// usage is what this entry has admitted of one customer.
type usage struct {
	total     float64 // units, without those refunded
	changedAt time.Time
}

// peer is what another entry has reported.
type peer struct {
	incarnation state.Incarnation
	totals      map[state.Customer]float64 // units admitted since its start
	// totalsComplete says that totals has every customer of which the entry admitted
	// requests.
	totalsComplete bool
	reportedAt     time.Time
}

// Config configures a Ledger.
type Config struct {
	// Window is the time over which a lowered rate is phased in, and after which a
	// restarted entry that was told no levels trusts its own buckets.
	Window time.Duration
	// Restarted says that customers may have used their allowance just before the
	// start. Their buckets then start with RestartLevel units instead of the burst,
	// so that a restart of all entries does not give them a second burst.
	Restarted    bool
	RestartLevel float64
}

// New returns a ledger in which nothing has been admitted.
func New(c Config) *Ledger {
	return &Ledger{
		window: max(time.Millisecond, c.Window), levelsUnknown: c.Restarted, restartLevel: c.RestartLevel,
		buckets: make(map[state.Customer]*bucket), admitted: make(map[state.Customer]usage),
		peers: make(map[state.InstanceID]*peer),
	}
}

// Admit takes cost units of the customer's allowance, or returns false and the time
// after which the request may be tried again.
func (l *Ledger) Admit(now time.Time, c *state.CustomerConfig, cost float64) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstAdmit.IsZero() {
		l.firstAdmit = now
	}
	l.expireRestart(now)
	if c.Rate > 0 {
		b := l.refill(now, c)
		// A request is admitted while the level is positive, because it may cost more
		// than the burst. The next ones wait until the level is positive again.
		if b.level <= 0 {
			wait := time.Duration((cost - b.level) / c.Rate * float64(time.Second))
			return max(minRetryAfter, wait) + rand.N(maxRetryJitter), false
		}
		b.level -= cost
	}
	l.addUsage(now, c.Name, cost)
	return 0, true
}

// addUsage adds cost units to what this entry has admitted.
func (l *Ledger) addUsage(now time.Time, customer state.Customer, cost float64) {
	l.admitted[customer] = usage{total: l.admitted[customer].total + cost, changedAt: now}
}

// Refund gives back the cost units of a request that did not run.
func (l *Ledger) Refund(now time.Time, customer state.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[customer]; b != nil {
		b.level = min(b.burst, b.level+cost)
	}
	l.addUsage(now, customer, -cost)
}

// refill returns the customer's bucket, with its current limits and with the units
// added that are due since the last refill.
func (l *Ledger) refill(now time.Time, c *state.CustomerConfig) *bucket {
	b := l.buckets[c.Name]
	if b == nil {
		b = &bucket{level: c.Burst, updatedAt: now, rate: c.Rate}
		if l.levelsUnknown {
			b.level = min(c.Burst, l.restartLevel)
		}
		l.buckets[c.Name] = b
	}
	if b.rate > 0 && c.Rate < b.rate {
		b.previousRate, b.loweredAt = b.rate, now
	}
	b.rate, b.burst = c.Rate, c.Burst
	b.level = math.Min(b.burst, b.level+now.Sub(b.updatedAt).Seconds()*b.effectiveRate(now, l.window)*l.reportingShare(now))
	b.updatedAt = now
	return b
}

// effectiveRate returns the rate at which the bucket refills. A lowered rate takes
// effect linearly over the window, because the previous limit holds for what the
// customer sent before the change.
func (b *bucket) effectiveRate(now time.Time, window time.Duration) float64 {
	previousShare := 1 - float64(now.Sub(b.loweredAt))/float64(window)
	return b.rate + max(0, previousShare)*max(0, b.previousRate-b.rate)
}

// reportingShare returns the share of the known entries, this one included, that have
// reported lately, and forgets those that are gone. Buckets refill at this share of
// the rate, which leaves the rest to the silent entries.
func (l *Ledger) reportingShare(now time.Time) float64 {
	known, heard := 1, 1
	for id, p := range l.peers {
		age := now.Sub(p.reportedAt)
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

// TotalsChangedSince returns the units that this entry has admitted since its start,
// of those customers whose total has changed at since or later.
func (l *Ledger) TotalsChangedSince(since time.Time) map[state.Customer]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[state.Customer]float64)
	for customer, u := range l.admitted {
		if !u.changedAt.Before(since) {
			used[customer] = u.total
		}
	}
	return used
}

// Levels returns the levels of the buckets for an entry that has restarted, or nil
// while this entry does not know them itself.
func (l *Ledger) Levels(now time.Time) map[state.Customer]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.levelsUnknown {
		return nil
	}
	levels := make(map[state.Customer]float64, len(l.buckets))
	for name, b := range l.buckets {
		refilled := now.Sub(b.updatedAt).Seconds() * b.rate
		levels[name] = math.Floor(min(b.burst, b.level+refilled))
	}
	return levels
}

// AdoptLevels sets the buckets to the levels of another entry, unless the levels are
// known here. Customers that it does not name have used nothing lately.
func (l *Ledger) AdoptLevels(now time.Time, levels map[state.Customer]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.levelsUnknown || levels == nil {
		return
	}
	l.levelsUnknown = false
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			b.level, b.updatedAt = level, now
		} else {
			l.buckets[name] = &bucket{level: level, updatedAt: now}
		}
	}
}

// expireRestart makes a restarted entry that was told no levels trust its own buckets
// once it has counted for the window.
func (l *Ledger) expireRestart(now time.Time) {
	if l.levelsUnknown && now.Sub(l.firstAdmit) > l.window {
		l.levelsUnknown = false
	}
}

// RemovePeer forgets an entry that is stopping.
func (l *Ledger) RemovePeer(from state.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, from)
}

// ApplyReport subtracts from the buckets what another entry has admitted since its
// last report. used has the totals since the start of that entry, of some customers
// or, if complete is set, of all. Because these are totals, the next report of a
// customer makes up for one that is lost or late.
func (l *Ledger) ApplyReport(now time.Time, from state.InstanceID, incarnation state.Incarnation, used map[state.Customer]float64, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, totals: make(map[state.Customer]float64)}
		l.peers[from] = p
	}
	p.reportedAt = now
	for customer, total := range used {
		before, known := p.totals[customer]
		p.totals[customer] = total
		if !known && !p.totalsComplete {
			continue // what it admitted before may not be recent
		}
		if b := l.buckets[customer]; b != nil {
			b.level = max(-maxDebtSeconds*b.rate, min(b.burst, b.level-(total-before)))
		}
	}
	p.totalsComplete = p.totalsComplete || complete
}
