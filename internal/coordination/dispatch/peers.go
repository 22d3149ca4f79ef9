package dispatch

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// reportedPrefill is the work, in milliseconds, from which on it is reported: less
// is done before the report arrives.
const reportedPrefill = 40

// maxRanks bounds the ranks told apart in reports.
const maxRanks = 8

// Report returns what the near entries need to know of this one, or, when far is
// set, all others: they use targets of wide services only.
func (s *Scheduler) Report(far bool) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Open: make(map[Key]int), Prefill: make(map[Key]int), Waiting: make(map[state.Service][]int)}
	for _, t := range s.targets {
		if len(t.open) > 0 && (!far || s.pool(t.record.Service).wide) {
			r.Open[t.key()] = len(t.open)
			if prefill := int(t.prefill()); prefill >= reportedPrefill {
				r.Prefill[t.key()] = prefill
			}
		}
	}
	for name, p := range s.services {
		if len(p.queue) == 0 || far && !p.wide {
			continue
		}
		ranks := make([]int, maxRanks)
		for _, w := range p.queue {
			ranks[min(max(0, w.request.Rank), maxRanks-1)]++
		}
		r.Waiting[name] = ranks
	}
	return r
}

// SetReport takes over what another entry reports.
func (s *Scheduler) SetReport(from state.InstanceID, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.peers[from]; old != nil {
		s.count(&old.report, -1)
	}
	s.peers[from] = &peer{report: r, expires: s.now().Add(max(peerLifetime, r.Lifetime))}
	s.count(&r, 1)
	s.pump()
}

// count adds what another entry has open at each target, times sign.
func (s *Scheduler) count(r *Report, sign int) {
	for key, n := range r.Open {
		if t := s.keys[key]; t != nil {
			t.elsewhere += sign * n
		}
	}
	for key, prefill := range r.Prefill {
		if t := s.keys[key]; t != nil {
			t.elsewherePrefill += sign * prefill
		}
	}
}

// recount counts all reports again, after the list of targets has changed.
func (s *Scheduler) recount() {
	for _, t := range s.targets {
		t.elsewhere, t.elsewherePrefill = 0, 0
	}
	for _, p := range s.peers {
		s.count(&p.report, 1)
	}
}

// expire drops reports that count no longer.
func (s *Scheduler) expire() {
	now := s.now()
	for id, p := range s.peers {
		if now.After(p.expires) {
			s.count(&p.report, -1)
			delete(s.peers, id)
		}
	}
}

// fairness shares the slots of a service between entries with waiting requests.
// It returns the slots beyond a target's own that this entry may take, and
// whether it may take any. An entry below its fair share may overcommit targets,
// because others learn first of the slots that they release themselves. Free slots
// are never left idle for a fairer share: reports are too old for that.
func (s *Scheduler) fairness(p *pool, r *Request, now time.Time) (extra int, allowed bool) {
	slots, own, elsewhere := 0, 0, 0
	for _, t := range p.targets {
		if t.record.Draining {
			continue
		}
		slots += t.record.Slots
		own += len(t.open)
		elsewhere += t.elsewhere
	}
	if len(s.peers) == 0 {
		// Nobody reports: others may send as much as this entry.
		return 0, own*assumedEntries < slots*2
	}
	rank := min(max(0, r.Rank), maxRanks-1)
	ownDemand := own + 1
	for _, w := range p.queue {
		if w.request.Rank <= rank {
			ownDemand++
		}
	}
	otherDemand, higher, othersWait := elsewhere, 0, 0
	for _, other := range s.peers {
		for level, n := range other.report.Waiting[p.name] {
			if level < rank {
				higher += n
			}
			if level <= rank {
				otherDemand += n
				othersWait += n
			}
		}
	}
	free := slots - own - elsewhere
	if higher > 0 && free <= higher {
		return 0, false
	}
	if othersWait == 0 {
		return 0, true
	}
	fair := float64(slots) * float64(ownDemand) / float64(ownDemand+otherDemand)
	if float64(own) < fair-1 {
		return overcommitSlots, true
	}
	return 0, true
}
