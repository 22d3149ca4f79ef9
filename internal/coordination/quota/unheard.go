package quota

import (
	"math/rand/v2"
	"time"
)

const (
	// unheardTime is how long other entries may not have heard of what this entry has
	// admitted. It exceeds the time between reports to all entries, because a report may
	// be late.
	unheardTime = 2 * time.Second
	// unheardSlots is the number of parts of unheardTime for which sums are kept apart.
	unheardSlots = 6
	// delayShare is the share of the platform's tolerance that entries may use together
	// before they hear of each other.
	delayShare = 0.2
	// equalShare is the share of the units for unheard requests that is divided equally
	// among all entries, so that an entry with new callers can admit some of them. The
	// rest is divided by use.
	equalShare = 0.75
	// useTimeConstant is the time constant with which the use of this entry and of others
	// is forgotten.
	useTimeConstant = 4 * time.Second
)

// slidingSum is the sum of what was added within unheardTime. The zero value is ready to
// use.
type slidingSum struct {
	slots  [unheardSlots]float64
	newest int       // number of the newest slot since start
	start  time.Time // of the first use; slots go by the time since, whatever the clock is set to
}

// advance drops what was added before the last unheardTime.
func (s *slidingSum) advance(now time.Time) {
	if s.start.IsZero() {
		s.start = now
	}
	number := int(now.Sub(s.start) / (unheardTime / unheardSlots))
	s.newest = max(s.newest, number-unheardSlots) // older slots are all cleared below
	for ; s.newest < number; s.newest++ {
		s.slots[(s.newest+1)%unheardSlots] = 0
	}
}

// add adds units at now.
func (s *slidingSum) add(now time.Time, units float64) {
	s.advance(now)
	s.slots[s.newest%unheardSlots] += units
}

// total returns the sum at now.
func (s *slidingSum) total(now time.Time) float64 {
	s.advance(now)
	sum := 0.0
	for _, units := range s.slots {
		sum += units
	}
	return max(0, sum)
}

// check returns why a request for units of the bucket is refused, or nil.
func (l *Ledger) check(now time.Time, b *bucket, a *Ask) *Refusal {
	heard := l.reportingShare(now)
	b.addCredit(heard)
	tier := a.effectiveTier()
	b.use[min(tier, maxTiers-1)].record(now, a.Cost)
	reserve := b.reserve(now, tier, a.Cost)
	b.allTiers.record(now, a.Cost)
	rounding := b.rounding(now, l.random) * b.allTiers.meanCost
	unheard, limit := b.unheard.total(now), b.unheardLimit(now, l.entries(now), heard)
	plenty := b.level > b.depth/2
	if !plenty {
		limit *= 1 - reserve/b.depth
	}
	if l.levelsUnknown {
		reserve += rounding
	}
	// The first request of a customer with plenty left is admitted although it may cost more
	// than the limit, which is below one request for a small customer of a large fleet.
	first := plenty && unheard == 0
	// A request is admitted while the level is above the reserve, because it may cost more
	// than the depth. The next ones wait until the level is restored.
	if b.level > reserve && (first || unheard+rounding <= limit) {
		return nil
	}
	return &Refusal{
		Level: b.level, Reserve: reserve, Rate: b.rate, Depth: b.depth, Unheard: unheard, UnheardLimit: limit, Age: l.reportAge(now),
		RetryAfter: b.retryAfter(now, reserve+a.Cost),
	}
}

// rounding returns the share of the mean cost that must be left for a request. It is random
// and drawn anew after unheardTime. Because many entries draw it independently, what they
// admit together is close to the sum of what they have left, although a request may cost
// more than that of one entry. It does not depend on the cost of the request, so that
// large requests are not refused more often than small ones.
func (b *bucket) rounding(now time.Time, random *rand.Rand) float64 {
	if now.Sub(b.roundedAt) >= unheardTime {
		b.roundedAt, b.roundingShare = now, random.Float64()
	}
	return b.roundingShare
}
