package standin

import (
	"maps"
	"sync"
)

// Counts are what a target did, in total or for one user. Tokens are prompt
// tokens except GeneratedTokens.
type Counts struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"` // cancelled, or lost in a restart
	// ComputedTokens were prefilled, CachedTokens were found in the prefix cache.
	ComputedTokens int `json:"computed_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	// ThrownAwayTokens is the part of ComputedTokens that belongs to runs that
	// did not finish.
	ThrownAwayTokens int `json:"thrown_away_tokens"`
	GeneratedTokens  int `json:"generated_tokens"`
}

func (c *Counts) add(d Counts) {
	c.Started += d.Started
	c.Finished += d.Finished
	c.Cancelled += d.Cancelled
	c.ComputedTokens += d.ComputedTokens
	c.CachedTokens += d.CachedTokens
	c.ThrownAwayTokens += d.ThrownAwayTokens
	c.GeneratedTokens += d.GeneratedTokens
}

// TargetLedger is what one target ran.
type TargetLedger struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"` // "engine" or "plain"
	Total Counts `json:"total"`
	// Runs counts the runs by X-Request-Id.
	Runs map[string]int `json:"runs"`
	// Users counts by the body field "user" (engines) or by the header X-Load-Id
	// (plain services).
	Users map[string]Counts `json:"users"`
}

// Ledger is the response of GET /admin/ledger.
type Ledger struct {
	Targets []TargetLedger `json:"targets"`
}

// Users sums the counts of each user over all targets.
func (l Ledger) Users() map[string]Counts {
	out := map[string]Counts{}
	for _, t := range l.Targets {
		for user, c := range t.Users {
			sum := out[user]
			sum.add(c)
			out[user] = sum
		}
	}
	return out
}

// ledger is safe for concurrent use. It grows with the number of requests,
// which a run bounds.
type ledger struct {
	mu   sync.Mutex
	data TargetLedger
}

func newLedger(name, kind string) *ledger {
	return &ledger{data: TargetLedger{Name: name, Kind: kind, Runs: map[string]int{}, Users: map[string]Counts{}}}
}

func (l *ledger) run(id string) {
	if id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data.Runs[id]++
}

func (l *ledger) count(user string, d Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data.Total.add(d)
	if user == "" {
		return
	}
	c := l.data.Users[user]
	c.add(d)
	l.data.Users[user] = c
}

func (l *ledger) copy() TargetLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.data
	out.Runs = maps.Clone(out.Runs)
	out.Users = maps.Clone(out.Users)
	return out
}
