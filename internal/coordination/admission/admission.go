// Package admission limits what one entry accepts. Each customer has a token bucket,
// in which every tier leaves a reserve for the customer's higher tiers. The number
// of open requests is bounded; at the bound, a request of a higher tier displaces a
// waiting request of a lower one. Tier 0 is the highest.
package admission

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Reasons for which a request is not admitted. Callers see them as error codes.
const (
	ReasonCustomerLimit   state.Reason = "customer_limit"
	ReasonUnknownCustomer state.Reason = "unknown_customer"
	ReasonOverloaded      state.Reason = "entry_overloaded"
)

// overloadRetryAfter is the retry-after time of requests that are refused because the
// maximum number of requests is open.
const overloadRetryAfter = time.Second

// Refusal says why a request was not admitted.
type Refusal struct {
	Reason     state.Reason
	RetryAfter time.Duration // 0 if unknown
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	maxOpen int

	mu           sync.Mutex
	bundle       *state.Bundle // from which customers was built
	customers    map[state.Customer]*state.CustomerPolicy
	buckets      map[state.Customer]*bucket
	openRequests int
	displaceable [state.MaxTiers]*list.List // waiting *Ticket of each tier, oldest first
}

// bucket is a customer's rate limiter and the limits that are set on it.
type bucket struct {
	limiter   *rate.Limiter
	perSecond float64
	burst     int
}

// NewController returns a controller that allows maxOpen open requests.
func NewController(maxOpen int) *Controller {
	c := &Controller{maxOpen: maxOpen, buckets: make(map[state.Customer]*bucket)}
	for i := range c.displaceable {
		c.displaceable[i] = list.New()
	}
	return c
}

// Ticket is an admitted request. Its methods may be called in any order and
// more than once.
type Ticket struct {
	controller *Controller
	tier       state.Tier
	displaced  chan struct{}
	element    *list.Element // in displaceable; nil if the request cannot be displaced
	holdsSlot  bool          // counted among the open requests
	released   bool
}

// Admit admits a request of customer at tier, or returns the reason for refusing it.
// The ticket must be released.
func (c *Controller) Admit(now time.Time, b *state.Bundle, customer state.Customer, tier state.Tier) (*Ticket, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.indexBundle(b)
	policy, ok := c.customers[customer]
	if !ok || int(tier) >= len(b.Tiers) {
		return nil, &Refusal{Reason: ReasonUnknownCustomer}
	}
	if c.openRequests >= c.maxOpen && !c.canDisplace(tier) {
		return nil, &Refusal{Reason: ReasonOverloaded, RetryAfter: overloadRetryAfter}
	}
	if wait := c.bucket(now, policy).takeToken(now, b.Tiers[tier].LimitReserve); wait > 0 {
		return nil, &Refusal{Reason: ReasonCustomerLimit, RetryAfter: wait}
	}
	if c.openRequests >= c.maxOpen {
		c.displace(tier)
	}
	c.openRequests++
	return &Ticket{controller: c, tier: tier, displaced: make(chan struct{}), holdsSlot: true}, nil
}

// Open returns the number of open requests.
func (c *Controller) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRequests
}

// indexBundle indexes the customers of a new bundle and drops the buckets of those
// that it removes. The controller must be locked.
func (c *Controller) indexBundle(b *state.Bundle) {
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

// bucket returns the customer's bucket, set to the limits of policy. A change of the
// limits keeps the tokens in the bucket.
func (c *Controller) bucket(now time.Time, policy *state.CustomerPolicy) *bucket {
	k := c.buckets[policy.Name]
	if k == nil {
		k = &bucket{limiter: rate.NewLimiter(rate.Limit(policy.RequestsPerSecond), policy.Burst), perSecond: policy.RequestsPerSecond, burst: policy.Burst}
		c.buckets[policy.Name] = k
	}
	if k.perSecond != policy.RequestsPerSecond {
		k.perSecond = policy.RequestsPerSecond
		k.limiter.SetLimitAt(now, rate.Limit(k.perSecond))
	}
	if k.burst != policy.Burst {
		k.burst = policy.Burst
		k.limiter.SetBurstAt(now, k.burst)
	}
	return k
}

// takeToken takes one token if reserveShare of the burst remains, and returns 0.
// Otherwise it returns the time after which that will be possible.
func (b *bucket) takeToken(now time.Time, reserveShare float64) time.Duration {
	// Every tier can use at least one token of the burst.
	reserve := min(reserveShare*float64(b.burst), float64(b.burst-1))
	missing := 1 + reserve - b.limiter.TokensAt(now)
	// The limiter converts between time and tokens in floating point, which rounds.
	const tolerance = 1e-6
	if missing <= tolerance && b.limiter.AllowN(now, 1) {
		return 0
	}
	seconds := math.Max(missing, tolerance) / b.perSecond
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// canDisplace reports whether a request of a lower tier than tier is waiting.
func (c *Controller) canDisplace(tier state.Tier) bool {
	for t := len(c.displaceable) - 1; t > int(tier); t-- {
		if c.displaceable[t].Len() > 0 {
			return true
		}
	}
	return false
}

// displace withdraws the newest waiting request of the lowest tier that is below tier.
func (c *Controller) displace(tier state.Tier) {
	for t := len(c.displaceable) - 1; t > int(tier); t-- {
		if last := c.displaceable[t].Back(); last != nil {
			victim := last.Value.(*Ticket)
			victim.removeFromWaiting()
			victim.freeSlot()
			close(victim.displaced)
			return
		}
	}
}

// Displaced returns a channel that is closed when a request of a higher tier displaces
// this one.
func (t *Ticket) Displaced() <-chan struct{} { return t.displaced }

// MarkWaiting marks the request as not running, so that it can be displaced and refused
// as not run.
func (t *Ticket) MarkWaiting() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.element == nil && t.holdsSlot {
		t.element = c.displaceable[t.tier].PushBack(t)
	}
}

// MarkStarted marks the request as running, so that it can no longer be displaced. A
// request that was displaced just before counts as open again, even beyond the bound.
func (t *Ticket) MarkStarted() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	t.removeFromWaiting()
	if !t.holdsSlot && !t.released {
		t.holdsSlot = true
		t.controller.openRequests++
	}
}

// Release ends the request and frees its slot.
func (t *Ticket) Release() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	t.released = true
	t.removeFromWaiting()
	t.freeSlot()
}

// removeFromWaiting makes the request no longer displaceable. The controller must be
// locked.
func (t *Ticket) removeFromWaiting() {
	if t.element != nil {
		t.controller.displaceable[t.tier].Remove(t.element)
		t.element = nil
	}
}

// freeSlot frees the slot of the request if it holds one. The controller must be
// locked.
func (t *Ticket) freeSlot() {
	if t.holdsSlot {
		t.holdsSlot = false
		t.controller.openRequests--
		state.Assert(t.controller.openRequests >= 0, state.BoundedState, "negative number of open requests")
	}
}
