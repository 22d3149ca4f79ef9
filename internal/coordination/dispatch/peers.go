package dispatch

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// maxRanks is the number of ranks that reports, arrival rates and fair shares tell
// apart; ranks beyond count as the lowest of them.
const maxRanks = 8

const (
	// minReportInterval is the shortest time between reports to the near entries, if there are
	// few. It is below the time for which a slot is held, so that reports follow the load.
	minReportInterval = 40 * time.Millisecond
	// largeFleetReportInterval is the same if there are more than MaxFullMeshEntries in all. A
	// slot is held for a few hundred milliseconds, and several entries take the same slot
	// between two reports.
	largeFleetReportInterval = 2 * minReportInterval
	// Otherwise the shortest time is one minReportInterval for every entriesPerReportInterval
	// other entries, but at least one, which bounds packets and processor time.
	entriesPerReportInterval = 12
)

// ReportInterval returns the shortest time between an entry's reports to the near entries.
// entries is the number of all entries, including that one.
func ReportInterval(entries int) time.Duration {
	if entries > MaxFullMeshEntries {
		return largeFleetReportInterval
	}
	return minReportInterval * time.Duration(max(1, (entries-1)/entriesPerReportInterval))
}

// Report returns the load that this entry reports to the near entries or, if far is
// set, to all others. The latter share targets of this entry only in services with
// sharedBeyondNear, so their report is limited to these.
func (s *Scheduler) Report(far bool) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Open: make(map[TargetKey]int), Pending: make(map[TargetKey]int), Waiting: make(map[state.Service][]int), Limits: s.limits.Report(s.now())}
	for _, t := range s.targets {
		if len(t.openGrants) > 0 && (!far || s.pool(t.record.Service).sharedBeyondNear) {
			r.Open[t.key()] = len(t.openGrants)
			if tokens := int(t.pendingTokens()); tokens > 0 {
				r.Pending[t.key()] = tokens
			}
		}
	}
	for name, p := range s.services {
		if far && !p.sharedBeyondNear {
			continue
		}
		if ranks := p.waitingByRank(); ranks != nil {
			r.Waiting[name] = ranks
		}
	}
	return r
}

// waitingByRank returns the number of waiting requests of each rank, or nil if there is none.
// Those with HandOver have a target and do not count: other entries would leave free slots to
// them that may suit none.
func (p *pool) waitingByRank() (ranks []int) {
	for _, w := range p.queue {
		if w.request.HandOver {
			continue
		}
		if ranks == nil {
			ranks = make([]int, maxRanks)
		}
		ranks[min(max(0, w.request.Rank), maxRanks-1)]++
	}
	return ranks
}

// SetStartingPeers sets the number of other entries that are expected to report, while this
// entry has just started; 0 later. When all entries restart at once, each knows of no load
// of the others, and does not know yet which targets are its own.
func (s *Scheduler) SetStartingPeers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startingPeers = n
}

// SetReport replaces the report of another entry.
func (s *Scheduler) SetReport(from state.InstanceID, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReport(from)
	s.peerReports[from] = &peerReport{report: r, expires: s.now().Add(max(minReportLifetime, r.Lifetime))}
	s.addReport(&r, 1)
	s.notifyRateLimits(s.limits.ApplyReport(s.now(), from, r.Limits))
	s.grantFreeSlots()
}

// RemovePeer forgets an entry that has stopped.
func (s *Scheduler) RemovePeer(from state.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReport(from)
	s.limits.RemovePeer(from)
	s.grantFreeSlots()
}

// dropReport forgets the report of another entry, if there is one.
func (s *Scheduler) dropReport(from state.InstanceID) {
	if old := s.peerReports[from]; old != nil {
		s.addReport(&old.report, -1)
		delete(s.peerReports, from)
	}
}

// addReport adds the load in a report to the targets if sign is 1, and subtracts it
// if sign is -1.
func (s *Scheduler) addReport(r *Report, sign int) {
	for key, n := range r.Open {
		if t := s.targetsByKey[key]; t != nil {
			t.openElsewhere += sign * n
		}
	}
	for key, tokens := range r.Pending {
		if t := s.targetsByKey[key]; t != nil {
			t.pendingElsewhere += sign * tokens
		}
	}
}

// recountReports recomputes the load of other entries at each target from their
// reports, after the list of targets has changed.
func (s *Scheduler) recountReports() {
	for _, t := range s.targets {
		t.openElsewhere, t.pendingElsewhere = 0, 0
	}
	for _, p := range s.peerReports {
		s.addReport(&p.report, 1)
	}
}

// expireReports drops the reports whose lifetime is over.
func (s *Scheduler) expireReports() {
	now := s.now()
	for id, p := range s.peerReports {
		if now.After(p.expires) {
			s.dropReport(id)
		}
	}
}

// fairShare divides the slots of a service between the entries with waiting requests.
// allowed says whether this entry may take a slot for r, and overcommit how many
// requests beyond a target's limit it may send.
//
// An entry below its fair share may overcommit targets, because an entry knows of
// the slots that it releases itself before the others do. An entry takes no slot for r
// while other entries have at least as many requests of higher ranks waiting as slots
// are free. Otherwise it leaves no free slot idle for a fairer division, because
// reports are too old for that.
func (s *Scheduler) fairShare(p *pool, r *Request, now time.Time) (overcommit int, allowed bool) {
	slots, own, openElsewhere := 0, 0, 0
	for _, t := range p.subset {
		if t.record.Draining || !r.allowsVersion(&t.record) {
			continue
		}
		slots += t.record.Slots
		own += len(t.openGrants)
		openElsewhere += t.openElsewhere
	}
	if 2*len(s.peerReports) < s.startingPeers {
		// The load of most other entries is not known yet. Each of those that use the same
		// targets may send as much as this one, and together they must not fill the
		// targets before they hear of each other.
		sharers := (s.startingPeers + 1) * len(p.subset) / max(1, len(p.allTargets))
		return 0, own*max(assumedEntries, sharers) < slots
	}
	if len(s.peerReports) == 0 {
		// No other entry reports. Each of the assumed entries may send as much as this
		// one, and together they must stay below twice the slots.
		return 0, own*assumedEntries < slots*2
	}
	rank := min(max(0, r.Rank), maxRanks-1)
	ownDemand := own + 1
	for _, w := range p.queue {
		if w.request.Rank <= rank && !w.request.HandOver {
			ownDemand++
		}
	}
	otherDemand, higherWaiting, othersWaiting := openElsewhere, 0, 0
	for _, other := range s.peerReports {
		for otherRank, n := range other.report.Waiting[p.name] {
			if otherRank < rank {
				higherWaiting += n
			}
			if otherRank <= rank {
				otherDemand += n
				othersWaiting += n
			}
		}
	}
	free := slots - own - openElsewhere
	if higherWaiting > 0 && free <= higherWaiting {
		return 0, false
	}
	if othersWaiting == 0 {
		return 0, true
	}
	fair := float64(slots) * float64(ownDemand) / float64(ownDemand+otherDemand)
	if float64(own) < fair-1 {
		return overcommitSlots, true
	}
	return 0, true
}
