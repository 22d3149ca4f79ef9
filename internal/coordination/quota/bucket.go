package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// depthShare is the share of the platform's tolerance by which a bucket is deeper
	// than the customer's burst, and restartShare the share that it holds after a
	// restart of all entries. The rest covers requests that several entries admit before
	// they hear of each other.
	depthShare   = 0.2
	restartShare = 0.1
	// maxDebtSeconds bounds, in seconds of the customer's rate, how far reports of
	// other entries lower a level below zero. It limits how long late reports can
	// keep a customer out.
	maxDebtSeconds = 2.0
	// tierReserve is the share of the depth that a request leaves to each higher tier
	// with recent requests, and maxReserve the largest share.
	tierReserve = 0.25
	maxReserve  = 0.75
	// fullReserveCost is the cost from which on a request leaves the whole reserve, as a
	// share of the mean cost of the higher tier.
	fullReserveCost = 0.4
	// minRetryAfter is the shortest retry-after time of a refused request.
	minRetryAfter = 200 * time.Millisecond
	// retryJitter is the largest share by which a retry-after time is lengthened at
	// random, so that refused requests do not come back together.
	retryJitter = 0.5
)

// bucket is the allowance of one customer.
type bucket struct {
	level     float64 // units; negative after a large request or late reports
	updatedAt time.Time
	// rate, burst and depth are the limits in effect. previousRate is the rate before
	// it was lowered at loweredAt.
	rate, burst, depth, previousRate float64
	loweredAt                        time.Time
	// credit is what the bucket starts with after a restart of all entries, and
	// creditedShare the share of it that has been added to the level.
	credit, creditedShare float64
	// shortSince is when a request was first refused since the bucket was half full.
	shortSince time.Time
	use        [maxTiers]tierUse
	// unheard is what this entry has admitted and others may not have heard of.
	unheard slidingSum
	// ownUse and otherUse are what this entry and the others have admitted, decaying.
	ownUse, otherUse decayingSum
	roundedAt        time.Time
	roundingShare    float64
	allTiers         tierUse
	// delayUnits is what entries may admit together before they hear of each other.
	delayUnits float64
}

// setLimits sets the limits to those of c.
func (b *bucket) setLimits(now time.Time, c *state.CustomerConfig, t *Tolerance) {
	if b.rate > 0 && c.Rate < b.rate {
		b.previousRate, b.loweredAt = b.rate, now
	}
	b.rate, b.burst = c.Rate, c.Burst
	b.depth = c.Burst + depthShare*t.beyond(c.Rate, c.Burst)
	b.delayUnits = delayShare * t.beyond(c.Rate, c.Burst)
}

// refill adds the units that are due since the last refill. share is the share of the
// entries whose use is known here; the rest of the rate is left to the others.
func (b *bucket) refill(now time.Time, window time.Duration, share float64) {
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	b.level = math.Min(b.depth, b.level+elapsed*b.effectiveRate(now, window)*share)
	b.updatedAt = now
	if b.level >= b.depth/2 {
		b.shortSince = time.Time{}
	}
}

// addCredit adds the part of the credit that is due when the given share of the entries is
// heard.
func (b *bucket) addCredit(share float64) {
	if b.credit > 0 && share > b.creditedShare {
		b.level += b.credit * (share - b.creditedShare)
		b.creditedShare = share
	}
}

// effectiveRate returns the rate at which the bucket refills. A lowered rate takes
// effect linearly over the window, because the previous limit holds for what the
// customer sent before the change.
func (b *bucket) effectiveRate(now time.Time, window time.Duration) float64 {
	previousShare := 1 - float64(now.Sub(b.loweredAt))/float64(window)
	return b.rate + max(0, previousShare)*max(0, b.previousRate-b.rate)
}

// subtract takes units that other entries have admitted.
func (b *bucket) subtract(now time.Time, units float64) {
	b.level = max(-maxDebtSeconds*b.rate, min(b.depth, b.level-units))
	b.otherUse.add(now, units)
}

// take takes units that this entry admits.
func (b *bucket) take(now time.Time, units float64) {
	b.level -= units
	b.unheard.add(now, units)
	b.ownUse.add(now, units)
}

// unheardLimit returns how much this entry may admit within unheardTime. Over all entries
// the limits add up to what the customer has left, what refills meanwhile and delayUnits:
// each entry knows what the others admitted before that, and counts what they admit
// meanwhile as if they used all of their limits. heard is the share of the entries whose
// use is known here.
func (b *bucket) unheardLimit(now time.Time, entries int, heard float64) float64 {
	left := max(0, b.level+b.unheard.total(now)+b.delayUnits) + b.rate*unheardTime.Seconds()
	own, other := b.ownUse.at(now), b.otherUse.at(now)
	share := equalShare / float64(entries)
	if own+other > 0 {
		share += (1 - equalShare) * heard * own / (own + other)
	}
	return left * share
}

// reserve returns the level above which a request is admitted. It grows with each higher
// tier that has recent requests, but less for a request that costs little compared with
// those of that tier, because refusing it would not let one of them in.
func (b *bucket) reserve(now time.Time, tier int, cost float64) float64 {
	share := 0.0
	for i := range min(tier, maxTiers) {
		if t := &b.use[i]; t.recent(now) {
			share += tierReserve * min(1, cost/max(1, fullReserveCost*t.meanCost))
		}
	}
	return min(maxReserve, share) * b.depth
}

// retryAfter returns the time after which a refused request that needs a level of need
// may be tried again. A shortage that has lasted for some time is expected to last about
// as long again.
func (b *bucket) retryAfter(now time.Time, need float64) time.Duration {
	if b.shortSince.IsZero() {
		b.shortSince = now
	}
	refilled := time.Duration((need - b.level) / b.rate * float64(time.Second))
	wait := max(minRetryAfter, refilled) + now.Sub(b.shortSince)
	return wait + time.Duration(retryJitter*rand.Float64()*float64(wait))
}

// decayingSum is a sum that is forgotten with useTimeConstant. The zero value is ready to
// use.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

// add adds units at now.
func (d *decayingSum) add(now time.Time, units float64) {
	d.sum = max(0, d.at(now)+units)
	d.updatedAt = now
}

// at returns the sum at now.
func (d *decayingSum) at(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.updatedAt).Seconds()/useTimeConstant.Seconds())
}

// maxTiers is the number of tiers that are told apart; lower ones count as the last.
const maxTiers = 5

const (
	// tierMemory is the time after its last request for which a tier has a reserve.
	tierMemory = 2 * time.Second
	// costAverageWeight is the weight of a request in the moving average of the cost.
	costAverageWeight = 0.1
)

// tierUse is what a customer's requests of one tier, or of all, cost.
type tierUse struct {
	meanCost float64 // moving average
	lastAt   time.Time
}

func (u *tierUse) record(now time.Time, cost float64) {
	if u.lastAt.IsZero() {
		u.meanCost = cost
	}
	u.meanCost += costAverageWeight * (cost - u.meanCost)
	u.lastAt = now
}

// recent reports whether there was a request within tierMemory.
func (u *tierUse) recent(now time.Time) bool {
	return !u.lastAt.IsZero() && now.Sub(u.lastAt) <= tierMemory
}
