package standin

import (
	"maps"
	"sync"
)

// Counts holds numbers of runs and tokens of a target, in total or for one user.
// Tokens are prompt tokens except in GeneratedTokens.
type Counts struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"` // cancelled, or lost in a restart
	// ComputedTokens were prefilled; CachedTokens were found in the prefix cache
	// instead.
	ComputedTokens int `json:"computed_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	// ThrownAwayTokens is the part of ComputedTokens that was computed for runs
	// that were cancelled or lost.
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

// TargetLedger counts what one target ran. A run is one execution of a request;
// a request that is sent again runs again.
type TargetLedger struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"` // "engine" or "plain"
	Total Counts `json:"total"`
	// Runs is the number of runs by X-Request-Id.
	Runs map[string]int `json:"runs"`
	// Users holds the counts by user: the body field "user" at engines, the
	// header X-Load-Id at plain services.
	Users map[string]Counts `json:"users"`
}

// Ledger is the response of GET /admin/ledger.
type Ledger struct {
	Targets []TargetLedger `json:"targets"`
}

// Users returns the counts of each user, summed over all targets.
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

// ledger is a TargetLedger that is safe for concurrent use. It grows with the
// number of requests, which the test or trial bounds.
type ledger struct {
	mu     sync.Mutex
	target TargetLedger
}

func newLedger(name, kind string) *ledger {
	return &ledger{target: TargetLedger{Name: name, Kind: kind, Runs: map[string]int{}, Users: map[string]Counts{}}}
}

// countRun counts a run of the request id; an empty id is not counted.
func (l *ledger) countRun(id string) {
	if id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target.Runs[id]++
}

// addCounts adds d to the total and, unless user is empty, to the counts of user.
func (l *ledger) addCounts(user string, d Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target.Total.add(d)
	if user == "" {
		return
	}
	c := l.target.Users[user]
	c.add(d)
	l.target.Users[user] = c
}

func (l *ledger) snapshot() TargetLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.target
	out.Runs = maps.Clone(out.Runs)
	out.Users = maps.Clone(out.Users)
	return out
}
