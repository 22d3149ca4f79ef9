// Package quota limits each customer to its allowance over all entries with a token
// bucket: in any span of time, a customer uses at most its rate times the span plus the
// depth of the bucket. The depth is the customer's burst and a part of what the platform
// tolerates beyond the limit; the rest of that covers the delay of reports.
//
// Every entry keeps a copy of each bucket. It subtracts what it admits itself at once,
// and what other entries admit when they report their totals. What it admits before the
// others can have heard of it is limited to its share of what the customer has left, so
// that the entries together stay within what the platform tolerates (docs/decisions/0016).
//
// A customer's requests of a lower tier leave a part of the bucket to its higher tiers,
// so that the customer's most urgent requests are the last to be refused.
package quota

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Ledger holds the customers' buckets and the totals that entries have admitted. It
// is safe for concurrent use.
type Ledger struct {
	tolerance Tolerance
	restarted bool // as in Config
	// levelsUnknown says that customers may have used their allowance before this
	// process started, and that no other entry has told the levels yet.
	levelsUnknown bool
	// levelsSince is when another entry told the levels; zero if none did.
	levelsSince time.Time
	firstAdmit  time.Time // time of the first Admit
	share       float64   // of the known entries that have reported lately, as of shareAt
	shareAt     time.Time
	// stored are the levels that another entry had stored before all were restarted.
	stored map[state.Customer]float64
	// expectedPeers is the number of other entries that may exist, heard of or not.
	expectedPeers int

	mu       sync.Mutex
	random   *rand.Rand
	buckets  map[state.Customer]*bucket
	admitted map[state.Customer]usage // by this entry since its start
	peers    map[state.InstanceID]*peer
}

// usage is what this entry has admitted of one customer.
type usage struct {
	total     float64 // units, without those refunded
	changedAt time.Time
}

// Tolerance is what the platform tolerates beyond a customer's limit: within any
// Window, a customer may use (rate * Window + burst) * (1 + Overage) + Slack units,
// over all entries. A lowered limit takes effect within a Window.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // units
}

// beyond returns the units that are tolerated beyond a limit within a window.
func (t *Tolerance) beyond(rate, burst float64) float64 {
	return t.Overage*(rate*t.Window.Seconds()+burst) + t.Slack
}

// Config configures a Ledger.
type Config struct {
	Tolerance Tolerance
	// Restarted says that customers may have used their allowance just before the
	// start. Their buckets then start nearly empty, so that a restart of all entries
	// does not give them a second burst.
	Restarted bool
	// Seed initializes the random choices. It should differ between entries.
	Seed uint64
}

// New returns a ledger in which nothing has been admitted.
func New(c Config) *Ledger {
	c.Tolerance.Window = max(time.Millisecond, c.Tolerance.Window)
	return &Ledger{
		tolerance: c.Tolerance, restarted: c.Restarted, levelsUnknown: c.Restarted, buckets: make(map[state.Customer]*bucket),
		random:   rand.New(rand.NewPCG(c.Seed, 0)),
		admitted: make(map[state.Customer]usage), peers: make(map[state.InstanceID]*peer),
	}
}

// Ask is a request for units of a customer's allowance.
type Ask struct {
	Customer *state.CustomerConfig
	Cost     float64 // units
	// Tier orders the customer's requests; 0 is the highest. Late says that the request
	// can't be on time any more, so that it goes with those of the next tier.
	Tier int
	Late bool
}

// Refusal says why an Ask was refused.
type Refusal struct {
	Level, Reserve, Rate, Depth float64 // of the bucket; the level had to exceed the reserve
	// Unheard is what this entry has admitted and others may not have heard of, in units,
	// and UnheardLimit the most that it may be with the request.
	Unheard, UnheardLimit float64
	Age                   time.Duration // since the last report of another entry, 0 without others
	RetryAfter            time.Duration // time after which the request may be tried again
}

// Admit takes units of the customer's allowance and returns nil, or returns why not.
func (l *Ledger) Admit(now time.Time, a Ask) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstAdmit.IsZero() {
		l.firstAdmit = now
	}
	l.expireRestart(now)
	if a.Customer.Rate > 0 {
		b := l.refill(now, a.Customer)
		if refusal := l.check(now, b, &a); refusal != nil {
			return refusal
		}
		b.take(now, a.Cost)
	}
	l.addUsage(now, a.Customer.Name, a.Cost)
	return nil
}

// effectiveTier returns the tier with which the request is admitted.
func (a *Ask) effectiveTier() int {
	if a.Late {
		return a.Tier + 1
	}
	return a.Tier
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
		b.level = min(b.depth, b.level+cost)
		b.unheard.add(now, -cost)
		b.ownUse.add(now, -cost)
	}
	l.addUsage(now, customer, -cost)
}

// SetCustomers creates the buckets of the customers of a configuration, drops those of
// others, and puts changed limits into effect. An entry knows what others admit of a
// customer only if it has the bucket when they report it.
func (l *Ledger) SetCustomers(now time.Time, customers []state.CustomerConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limited := make(map[state.Customer]bool, len(customers))
	for i := range customers {
		if c := &customers[i]; c.Rate > 0 {
			limited[c.Name] = true
			l.refill(now, c)
		}
	}
	maps.DeleteFunc(l.buckets, func(name state.Customer, _ *bucket) bool { return !limited[name] })
}

// refill returns the customer's bucket, with its current limits and with the units
// added that are due since the last refill.
func (l *Ledger) refill(now time.Time, c *state.CustomerConfig) *bucket {
	b := l.buckets[c.Name]
	if b == nil {
		b = l.newBucket(now, c)
		l.buckets[c.Name] = b
	}
	b.setLimits(now, c, &l.tolerance)
	b.refill(now, l.tolerance.Window, l.reportingShare(now))
	return b
}

// storedLeft returns what a customer has left by the levels that were stored before a
// restart of all entries. They are half of StoreInterval old on average, in which the
// customer may have used twice its rate.
func (l *Ledger) storedLeft(name state.Customer, b *bucket) float64 {
	return max(0, l.stored[name]-b.rate*StoreInterval.Seconds()/2)
}

// newBucket returns the bucket of a customer of which this entry has seen no request.
// What others have admitted meanwhile is taken off.
func (l *Ledger) newBucket(now time.Time, c *state.CustomerConfig) *bucket {
	b := &bucket{updatedAt: now}
	b.setLimits(now, c, &l.tolerance)
	b.level = b.depth
	if l.levelsUnknown {
		b.credit = min(b.depth, restartShare*l.tolerance.beyond(c.Rate, c.Burst))
		b.level = l.storedLeft(c.Name, b)
	}
	for _, p := range l.peers {
		b.level = max(0, b.level-p.recent(now, c.Name, l.tolerance.Window))
	}
	return b
}
