// Package admission limits what one entry accepts: a token bucket for each
// customer, of which every tier leaves a reserve to the customer's higher
// tiers, and a bound on open requests in which a higher tier displaces a
// waiting request of a lower one.
package admission

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// The reasons for which a request is not admitted. They are error codes that
// callers see.
const (
	ReasonCustomerLimit   state.Reason = "customer_limit"
	ReasonUnknownCustomer state.Reason = "unknown_customer"
	ReasonOverloaded      state.Reason = "entry_overloaded"
)

// overloadRetryAfter is the retry-after time when all open requests are used.
const overloadRetryAfter = time.Second

// Refusal says why a request was not admitted.
type Refusal struct {
	Reason     state.Reason
	RetryAfter time.Duration // 0 when nothing is known
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	maxOpen int

	mu        sync.Mutex
	bundle    *state.Bundle // that the index was built from
	customers map[state.Customer]*state.CustomerPolicy
	buckets   map[state.Customer]*bucket
	open      int
	waiting   [state.MaxTiers]*list.List // of *Ticket by tier; those that may be displaced, oldest first
}

type bucket struct {
	limiter *rate.Limiter
	perSec  float64
	burst   int
}

// NewController returns a controller that allows maxOpen open requests.
func NewController(maxOpen int) *Controller {
	c := &Controller{maxOpen: maxOpen, buckets: make(map[state.Customer]*bucket)}
	for i := range c.waiting {
		c.waiting[i] = list.New()
	}
	return c
}

// Ticket is an admitted request. Its methods may be called in any order and
// more than once.
type Ticket struct {
	controller *Controller
	tier       state.Tier
	displaced  chan struct{}
	place      *list.Element // in waiting; nil when the request cannot be displaced
	counted    bool
	released   bool
}

// Admit admits a request of customer at tier, or says why not. The ticket must
// be released.
func (c *Controller) Admit(now time.Time, b *state.Bundle, customer state.Customer, tier state.Tier) (*Ticket, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index(b)
	policy, ok := c.customers[customer]
	if !ok || int(tier) >= len(b.Tiers) {
		return nil, &Refusal{Reason: ReasonUnknownCustomer}
	}
	if c.open >= c.maxOpen && !c.canDisplace(tier) {
		return nil, &Refusal{Reason: ReasonOverloaded, RetryAfter: overloadRetryAfter}
	}
	if wait := c.bucket(now, policy).take(now, b.Tiers[tier].LimitReserve); wait > 0 {
		return nil, &Refusal{Reason: ReasonCustomerLimit, RetryAfter: wait}
	}
	if c.open >= c.maxOpen {
		c.displace(tier)
	}
	c.open++
	return &Ticket{controller: c, tier: tier, displaced: make(chan struct{}), counted: true}, nil
}

// Open returns the number of open requests.
func (c *Controller) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// index prepares for a bundle and drops the buckets of removed customers.
func (c *Controller) index(b *state.Bundle) {
	if c.bundle == b {
		return
	}
	c.bundle = b
	c.customers = make(map[state.Customer]*state.CustomerPolicy, len(b.Customers))
	for i := range b.Customers {
		c.customers[b.Customers[i].Name] = &b.Customers[i]
	}
	for name := range c.buckets {
		if c.customers[name] == nil {
			delete(c.buckets, name)
		}
	}
}

// bucket returns the customer's bucket with the limits of policy. Tokens in it
// outlast a change of the limits.
func (c *Controller) bucket(now time.Time, policy *state.CustomerPolicy) *bucket {
	k := c.buckets[policy.Name]
	if k == nil {
		k = &bucket{limiter: rate.NewLimiter(rate.Limit(policy.RequestsPerSecond), policy.Burst), perSec: policy.RequestsPerSecond, burst: policy.Burst}
		c.buckets[policy.Name] = k
	}
	if k.perSec != policy.RequestsPerSecond {
		k.perSec = policy.RequestsPerSecond
		k.limiter.SetLimitAt(now, rate.Limit(k.perSec))
	}
	if k.burst != policy.Burst {
		k.burst = policy.Burst
		k.limiter.SetBurstAt(now, k.burst)
	}
	return k
}

// take takes one token and leaves share of the burst. It returns the time after
// which that will be possible, 0 when the token was taken.
func (k *bucket) take(now time.Time, share float64) time.Duration {
	// At least one token of the burst is usable by every tier.
	reserve := min(share*float64(k.burst), float64(k.burst-1))
	missing := 1 + reserve - k.limiter.TokensAt(now)
	// The limiter converts between time and tokens in floating point.
	const tolerance = 1e-6
	if missing <= tolerance && k.limiter.AllowN(now, 1) {
		return 0
	}
	seconds := math.Max(missing, tolerance) / k.perSec
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// canDisplace reports whether a request of a tier lower than tier waits.
func (c *Controller) canDisplace(tier state.Tier) bool {
	for t := len(c.waiting) - 1; t > int(tier); t-- {
		if c.waiting[t].Len() > 0 {
			return true
		}
	}
	return false
}

// displace gives up the newest waiting request of the lowest tier.
func (c *Controller) displace(tier state.Tier) {
	for t := len(c.waiting) - 1; t > int(tier); t-- {
		if last := c.waiting[t].Back(); last != nil {
			victim := last.Value.(*Ticket)
			victim.settle()
			victim.uncount()
			close(victim.displaced)
			return
		}
	}
}

// Displaced is closed when a request of a higher tier takes this one's place.
func (t *Ticket) Displaced() <-chan struct{} { return t.displaced }

// Waiting tells that the request can be given up as not run.
func (t *Ticket) Waiting() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.place == nil && t.counted {
		t.place = c.waiting[t.tier].PushBack(t)
	}
}

// Started tells that the request runs and can no longer be given up. A request
// that was displaced too late counts again.
func (t *Ticket) Started() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	t.settle()
	if !t.counted && !t.released {
		t.counted = true
		t.controller.open++
	}
}

// Release ends the request.
func (t *Ticket) Release() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	t.released = true
	t.settle()
	t.uncount()
}

// settle takes the ticket from the waiting ones. The controller is locked.
func (t *Ticket) settle() {
	if t.place != nil {
		t.controller.waiting[t.tier].Remove(t.place)
		t.place = nil
	}
}

// uncount frees the ticket's slot once. The controller is locked.
func (t *Ticket) uncount() {
	if t.counted {
		t.counted = false
		t.controller.open--
		state.Assert(t.controller.open >= 0, state.BoundedState, "negative number of open requests")
	}
}
