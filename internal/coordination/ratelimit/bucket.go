package ratelimit

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// bucket is this entry's part of one target's limit.
type bucket struct {
	used      bool    // this entry sends requests to the target
	level     float64 // permits, at most depth
	updatedAt time.Time
	// holds says that this entry is among those that may send. It was determined, with
	// sharers, at countedAt, zero if that is outdated.
	holds     bool
	sharers   int     // number of entries that do not lend, this one included
	perSecond float64 // what they share
	countedAt time.Time
	// lends says that this entry leaves its part to the others.
	lends     bool
	fillsFrom time.Time // the bucket does not fill before
	// unusedSince is since when there has been a permit that was not taken; zero: there is
	// none.
	unusedSince time.Time
	askedAt     time.Time // when a request that could go to the target was last considered
}

// newBucket returns the bucket for a limit that this entry has just learned. It holds a
// part of a permit that differs between entries, so that they do not all send at once.
func (l *Ledger) newBucket(now time.Time, id state.TargetID, used bool) bucket {
	level := float64(rankHash(id, l.cfg.Self)) / math.MaxUint64
	return bucket{used: used, level: level, updatedAt: now, askedAt: now, fillsFrom: l.cfg.StartedAt.Add(settleTime)}
}

// part returns the permits a second that the bucket gets while it is not full.
func (b *bucket) part() float64 {
	if !b.holds {
		return 0
	}
	return b.perSecond / float64(max(1, b.sharers))
}

// depth returns how many permits the bucket holds at most.
func (b *bucket) depth() float64 { return 1 + burstTime.Seconds()*b.part() }

// update adds the permits that are due to the bucket of a target whose limit is in force,
// counts the entries that share the limit, and begins or ends a loan.
func (l *Ledger) update(now time.Time, id state.TargetID, t *target) {
	t.fill(now)
	if now.Sub(t.countedAt) >= countInterval || now.Before(t.countedAt) {
		l.count(now, id, t)
	}
	t.updateLoan(now)
}

// fill adds the permits that are due since the last time.
func (b *bucket) fill(now time.Time) {
	from := b.updatedAt
	if b.fillsFrom.After(from) {
		from = b.fillsFrom
	}
	if !b.lends && now.After(from) {
		b.level = min(b.depth(), b.level+b.part()*now.Sub(from).Seconds())
	}
	b.updatedAt = now
}

// count counts the entries that do not lend their part, and determines whether this entry
// may send. An entry that may not has an empty bucket.
func (l *Ledger) count(now time.Time, id state.TargetID, t *target) {
	t.countedAt, t.perSecond, t.sharers = now, sharedRate(t.limit.PerSecond), 1
	idle, hash, before := t.idle(now), rankHash(id, l.cfg.Self), 0
	for instance, p := range l.peers {
		if now.Sub(p.reportedAt) > forgetAfter {
			delete(l.peers, instance)
			continue
		}
		if !p.lends(now, id) {
			t.sharers++
		}
		if precedes(p.notes[id].Idle, p.rank(id, instance), idle, hash) {
			before++
		}
	}
	t.holds = t.used && before < l.cfg.Tolerance.maxHolders(t.limit.PerSecond)
	if !t.holds {
		t.level = 0
	}
	t.level = min(t.level, t.depth())
}

// idle reports whether no request could go to the target lately.
func (b *bucket) idle(now time.Time) bool { return !b.used || now.Sub(b.askedAt) > idleAfter }

// precedes reports whether one entry is preferred to another as a holder: idle ones come
// last, and a hash decides among the others.
func precedes(idle bool, hash uint64, otherIdle bool, otherHash uint64) bool {
	if idle != otherIdle {
		return otherIdle
	}
	return hash < otherHash
}

// take takes a permit.
func (b *bucket) take() {
	b.level = max(0, b.level-1)
	b.unusedSince = time.Time{}
}

// updateLoan begins a loan when the entry may not send or has left a permit unused for
// lendAfter, and ends it when the entry may send and has taken a permit.
func (b *bucket) updateLoan(now time.Time) {
	switch {
	case !b.holds || b.level < 1:
		b.unusedSince = time.Time{}
	case b.unusedSince.IsZero():
		b.unusedSince = now
	}
	lends := !b.holds || !b.unusedSince.IsZero() && now.Sub(b.unusedSince) >= lendAfter
	if b.lends && !lends {
		b.fillsFrom = now.Add(loanDelay)
	}
	b.lends = lends
}
