package dispatch

import "time"

// claimInterval is the time between the draws by which entries divide free slots. It is about
// the age of a report when all entries report to each other.
const claimInterval = 80 * time.Millisecond

// claimShare returns the share of the targets with free slots that this entry may take for r now.
// It is 1 unless the requests that wait at all entries are more than the free slots: then every
// entry that hears of a free slot would send a request there, and most of them would wait at the
// target, where no rank counts.
func (s *Scheduler) claimShare(p *pool, r *Request) float64 {
	if !s.policies.admission.LateWork || len(s.peerReports) == 0 {
		return 1
	}
	free, freeTargets := 0, 0
	for _, t := range p.subset {
		if n := t.record.Slots + s.policies.admission.QueuedRequests - t.outstanding(); n > 0 && !t.record.Draining {
			free += n
			freeTargets++
		}
	}
	rank := min(max(0, r.Rank), maxRanks-1)
	waiting, entries := 1, 1
	for _, other := range s.peerReports {
		before := waiting
		for otherRank, n := range other.report.Waiting[p.name] {
			if otherRank <= rank {
				waiting += n
			}
		}
		if waiting > before {
			entries++
		}
	}
	if waiting <= free {
		return 1
	}
	return float64(free) / float64(max(1, freeTargets)*entries)
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
