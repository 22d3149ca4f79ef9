package dispatch

import (
	"slices"
	"time"
)

const (
	// reportDelay is the time that a report takes from the state that it describes to the
	// entry that uses it, beside the interval between reports.
	reportDelay = 20 * time.Millisecond
	// contentionFactor is how many times as many slots must be free as other entries are
	// expected to take unseen, for entries to take any of them. With fewer, several entries
	// take the same slot.
	contentionFactor = 2
)

// contention divides free slots between the entries that see the same ones. Reports are up to a
// report interval old. Near saturation, all entries would otherwise send to the few targets that
// the reports show to be free, and queues of many times the slots would grow there.
//
// While few slots are free, an entry takes a slot that it has released itself, which the others
// do not know yet, or one of a target whose turn it is: each free slot of a target is one
// entry's for a period, and another one's in the next.
type contention struct {
	active bool
	period time.Duration
	// index is this entry's place among the count entries that use the same targets.
	index, count int
}

// contentionOf returns the contention for the slots of a service.
func (s *Scheduler) contentionOf(p *pool) contention {
	if !s.policies.admission.LateWork || len(s.peerReports) == 0 || s.position.Count < 2 {
		return contention{}
	}
	slots, own, elsewhere := 0, 0, 0
	for _, t := range p.subset {
		if !t.record.Draining {
			slots += t.record.Slots
			own += len(t.openGrants)
			elsewhere += t.openElsewhere
		}
	}
	c := contention{period: ReportInterval(s.position.Count) + reportDelay}
	if p.holdTime < c.period {
		return c // the slots that a report shows in use are free again when it arrives
	}
	takenUnseen := float64(elsewhere) * c.period.Seconds() / p.holdTime.Seconds()
	if c.active = float64(slots-own-elsewhere) < contentionFactor*takenUnseen; c.active {
		c.index, c.count = s.position.amongSharers()
	}
	return c
}

// amongSharers returns the place of the entry among the entries that use the same targets, and
// their number. On a ring of arcs, any NearEntries consecutive ones do.
func (p Position) amongSharers() (index, count int) {
	if p.Count > MaxFullMeshEntries {
		return p.Index % NearEntries, NearEntries
	}
	return p.Index, p.Count
}

// mayTake reports whether this entry may take one of the free slots of t.
func (c *contention) mayTake(t *target, free int, now time.Time) bool {
	return !c.active || t.hasReleased(now.Add(-c.period)) || c.hasTurn(t, free, now)
}

// hasTurn reports whether one of the free slots of t is this entry's in the present period.
// Periods of different targets begin at different times, so that entries do not all act at once.
func (c *contention) hasTurn(t *target, free int, now time.Time) bool {
	if free <= 0 {
		return false
	}
	millis := uint64(c.period.Milliseconds())
	epoch := (uint64(now.UnixMilli()) + t.hash%millis) / millis
	first := int(mix(t.hash^epoch) % uint64(c.count))
	return (c.index-first+c.count)%c.count < free
}

// mix spreads the bits of x, so that consecutive numbers give independent results.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hasReleased reports whether this entry has released a slot of the target since the given time
// and has not taken one instead.
func (t *target) hasReleased(since time.Time) bool {
	t.released = slices.DeleteFunc(t.released, func(at time.Time) bool { return at.Before(since) })
	return len(t.released) > 0
}

// takeReleased counts one of the released slots as taken.
func (t *target) takeReleased() {
	if len(t.released) > 0 {
		t.released = t.released[1:]
	}
}
