package dispatch

import "time"

// claimInterval is the time between the draws by which entries divide free slots. It is about
// the age of a report when all entries report to each other.
const claimInterval = 80 * time.Millisecond

// demand is what waits at all entries for the slots of a service, and what is free.
type demand struct {
	waiting, entries  int // other requests that wait elsewhere, and entries where some do
	free, freeTargets int // slots, and targets with any
}

// demandFor returns the demand by requests of the rank and above.
func (s *Scheduler) demandFor(p *pool, rank int) demand {
	var d demand
	for _, t := range p.subset {
		if n := t.record.Slots + s.policies.admission.QueuedRequests - t.outstanding(); n > 0 && !t.record.Draining {
			d.free += n
			d.freeTargets++
		}
	}
	for _, other := range s.peerReports {
		before := d.waiting
		for otherRank, n := range other.report.Waiting[p.name] {
			if otherRank <= rank {
				d.waiting += n
			}
		}
		if d.waiting > before {
			d.entries++
		}
	}
	return d
}

// claimShare returns the share of the targets with free slots that this entry may take for r now.
// It is 1 unless the requests that wait at all entries are more than the free slots: then every
// entry that hears of a free slot would send a request there, and most of them would wait at the
// target, where no rank counts.
func (s *Scheduler) claimShare(p *pool, r *Request) float64 {
	if !s.policies.admission.LateWork || len(s.peerReports) == 0 {
		return 1
	}
	d := s.demandFor(p, min(max(0, r.Rank), maxRanks-1))
	if d.waiting+1 <= d.free {
		return 1
	}
	return float64(d.free) / float64(max(1, d.freeTargets)*(d.entries+1))
}

// mayClaim reports whether this entry may take a free slot of t when its share of the targets is
// share. It always may take one that it has released itself since its last report, because the
// others do not know of it.
func (s *Scheduler) mayClaim(t *target, share float64, now time.Time) bool {
	if share >= 1 || len(t.openGrants) < t.reportedOpen {
		return true
	}
	if now.Sub(t.claimDrawn) >= claimInterval {
		t.claimDrawn, t.claimDraw = now, s.random.Float64()
	}
	return t.claimDraw < share
}
