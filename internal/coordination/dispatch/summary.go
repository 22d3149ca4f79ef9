package dispatch

import (
	"strconv"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Summary is this entry's view of one target, for the expvar "targets".
type Summary struct {
	Service     state.Service `json:"service"`
	Subset      bool          `json:"subset"`    // the entry sends requests to it
	Connected   bool          `json:"connected"` // requests of this entry are open there
	Leaving     bool          `json:"leaving"`
	Ejected     bool          `json:"ejected"`
	Outstanding int           `json:"outstanding"` // requests of all entries, as far as they report
	Slowness    float64       `json:"slowness"`    // measured time over expected, 0 when not measured
	Failing     float64       `json:"failing"`     // share of recent requests that failed
}

// Summaries returns the state of all targets.
func (s *Scheduler) Summaries() map[state.TargetID]Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[state.TargetID]Summary, len(s.targets))
	for id, t := range s.targets {
		out[id] = Summary{
			Service: t.record.Service, Connected: len(t.open) > 0, Leaving: t.record.Draining,
			Ejected: !t.ejectedUntil.IsZero(), Outstanding: t.used(), Slowness: t.slow, Failing: t.failing,
		}
	}
	for _, p := range s.services {
		for _, t := range p.targets {
			summary := out[t.record.ID]
			summary.Subset = true
			out[t.record.ID] = summary
		}
	}
	return out
}

// WaitingByRank returns the number of requests that wait, by rank.
func (s *Scheduler) WaitingByRank() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	for _, p := range s.services {
		for _, w := range p.queue {
			out[strconv.Itoa(w.request.Rank)]++
		}
	}
	return out
}
