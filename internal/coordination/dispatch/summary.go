package dispatch

import (
	"strconv"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Summary is the state of one target as seen by this entry, for the expvar "targets".
type Summary struct {
	Service     state.Service `json:"service"`
	InSubset    bool          `json:"subset"`    // this entry may send requests to the target
	Connected   bool          `json:"connected"` // requests of this entry are open at the target
	Leaving     bool          `json:"leaving"`   // by the list of targets or by its own responses
	Paused      bool          `json:"paused"`    // wants no requests from this entry
	Ejected     bool          `json:"ejected"`
	Outstanding int           `json:"outstanding"` // open requests of this entry and those that others report
	Slowness    float64       `json:"slowness"`    // ratio of the time to a response to that usual in the service, 0 if not measured
	Failing     float64       `json:"failing"`     // share of recent requests that failed
	// StatedLoad is the load that the target stated last: running and waiting requests of all
	// entries, and slots; absent without one.
	StatedLoad *state.StatedLoad `json:"stated_load,omitempty"`
	// RateLimit is the limit that the target states, in requests a second over all
	// entries; absent without one.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// RateLimitPart is the part of the limit that this entry may use now, in requests a
	// second; 0 without a limit.
	RateLimitPart float64 `json:"rate_limit_part,omitempty"`
}

// Summaries returns the summaries of all targets.
func (s *Scheduler) Summaries() map[state.TargetID]Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[state.TargetID]Summary, len(s.targets))
	for id, t := range s.targets {
		summary := Summary{
			Service: t.record.Service, Connected: len(t.openGrants) > 0, Leaving: t.record.Draining || t.stated.leaving(), Paused: s.now().Before(t.stated.pausedUntil),
			Ejected: !t.ejectedUntil.IsZero(), Outstanding: t.outstanding(), Slowness: s.pool(t.record.Service).cost.Slowness(&t.cost), Failing: t.failingShare,
		}
		if load := t.stated.load; load.Stated {
			summary.StatedLoad = &load
		}
		if limit := s.limits.Limit(id); limit.Stated {
			summary.RateLimit = &limit.PerSecond
			summary.RateLimitPart, _ = s.limits.Limited(s.now(), id)
		}
		out[id] = summary
	}
	for _, p := range s.services {
		for _, t := range p.subset {
			summary := out[t.record.ID]
			summary.InSubset = true
			out[t.record.ID] = summary
		}
	}
	return out
}

// WaitingByRank returns the number of waiting requests of all services, by rank.
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
