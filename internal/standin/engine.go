package standin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// tick is the step of the simulated computation; far below the 38 ms between
	// tokens that callers expect.
	tick = 4 * time.Millisecond
	// defaultRetained is the number of finished requests kept for resuming.
	defaultRetained = 1024
	// maxLoadHistory bounds the load figures kept for the lag.
	maxLoadHistory = 4096
)

// engine simulates a model engine with continuous batching: prompts are
// prefilled one after the other in order of arrival, and all requests past
// their prefill decode together.
type engine struct {
	config  EngineConfig
	srv     *server
	ledger  *ledger
	weights string // base URL of the weight store; empty for none

	mu       sync.Mutex
	wake     chan struct{} // holds one value while there may be work
	active   []*generation // in order of arrival
	byID     map[string]*generation
	finished []*generation // oldest first
	cache    *prefixCache
	load     []loadFigures
	last     time.Time // of the last step
	fence    uint64    // highest fencing number seen
	models   []state.ModelSpec
	adapters []string
	role     string
}

// generation is one run of a request. The engine's mutex guards the fields
// below changed.
type generation struct {
	id        string
	user      string
	model     string
	chat      bool
	usage     bool // whether the stream has a chunk with the usage
	seed      uint64
	blocks    []uint64
	prompt    int // tokens
	maxTokens int
	created   int64

	changed   chan struct{} // closed and replaced on progress
	prefilled bool
	cached    int     // prompt tokens found in the cache
	computed  float64 // prompt tokens prefilled so far
	generated float64 // tokens generated so far
	done      bool
	cancelled bool
}

type loadFigures struct {
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	Models  []state.ModelSpec `json:"models"`
	Time    time.Time         `json:"time"`
}

func newEngine(c EngineConfig, srv *server, weights string) *engine {
	if c.Retained == 0 {
		c.Retained = defaultRetained
	}
	e := &engine{
		config: c, srv: srv, ledger: newLedger(c.Name, "engine"), weights: weights,
		wake: make(chan struct{}, 1), byID: map[string]*generation{}, models: c.Models, role: "mixed",
	}
	srv.faults.lag = -1 // the settings' lags apply
	srv.faults.gap = c.CacheGap
	e.cache = newPrefixCache(c.CacheTokens, srv.faults.dropsEvent)
	srv.handler = e.handle
	e.report(time.Now())
	return e
}

// lag returns the lag that a fault has set, or else the one in the settings.
func (e *engine) lag(configured state.Duration) time.Duration {
	if set := e.srv.faults.currentLag(); set >= 0 {
		return set
	}
	return configured.Std()
}

// compute advances the simulation until the process stops. It sleeps while
// nothing runs.
func (e *engine) compute() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-e.srv.ctx.Done():
			return
		case <-e.wake:
		}
		for e.step(time.Now()) {
			select {
			case <-e.srv.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// admit starts to run g. A second run of the same id replaces the first one
// under that id, and both compute.
func (e *engine) admit(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(e.active) == 0 {
		e.last = now
	}
	e.byID[g.id] = g
	e.active = append(e.active, g)
	e.ledger.run(g.id)
	e.ledger.count(g.user, Counts{Started: 1})
	e.report(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step computes what the time since the last step allows. It reports whether
// requests are still running.
func (e *engine) step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := now.Sub(e.last).Seconds() / e.srv.faults.slowness()
	e.last = now
	e.decode(seconds)
	changed := e.prefill(seconds, now)
	if e.sweep() || changed {
		e.report(now)
	}
	return len(e.active) > 0
}

// prefill spends the budget on prompts in order of arrival. It reports whether
// one was completed.
func (e *engine) prefill(seconds float64, now time.Time) (completed bool) {
	budget := seconds * e.config.PrefillRate
	for _, g := range e.active {
		if g.prefilled {
			continue
		}
		if g.computed == 0 {
			g.cached = min(e.cache.match(g.blocks)*blockTokens, g.prompt)
		}
		work := float64(g.prompt-g.cached) - g.computed
		if work > budget {
			g.computed += budget
			return completed
		}
		budget -= work
		g.computed = float64(g.prompt - g.cached)
		g.prefilled = true
		e.cache.store(g.blocks, now)
		completed = true
	}
	return completed
}

func (e *engine) decode(seconds float64) {
	running := 0
	for _, g := range e.active {
		if g.prefilled {
			running++
		}
	}
	if running == 0 {
		return
	}
	tokens := seconds * min(e.config.RequestRate, e.config.DecodeRate/float64(running))
	for _, g := range e.active {
		if !g.prefilled {
			continue
		}
		before := int(g.generated)
		g.generated = min(g.generated+tokens, float64(g.maxTokens))
		if int(g.generated) > before {
			g.notify()
		}
	}
}

// sweep moves completed requests to the finished ones. It reports whether
// there were any.
func (e *engine) sweep() bool {
	kept := e.active[:0]
	for _, g := range e.active {
		if int(g.generated) < g.maxTokens {
			kept = append(kept, g)
			continue
		}
		g.done = true
		g.notify()
		e.ledger.count(g.user, Counts{Finished: 1, ComputedTokens: int(g.computed), CachedTokens: g.cached, GeneratedTokens: g.maxTokens})
		e.finished = append(e.finished, g)
	}
	changed := len(kept) != len(e.active)
	clear(e.active[len(kept):])
	e.active = kept
	for len(e.finished) > e.config.Retained {
		e.forget(e.finished[0])
		e.finished = e.finished[1:]
	}
	return changed
}

// forget removes g's id unless a later run has taken it.
func (e *engine) forget(g *generation) {
	if e.byID[g.id] == g {
		delete(e.byID, g.id)
	}
}

// cancel ends the run of id when it is active. It returns the state of the run
// before the call, or "" when the id is unknown.
func (e *engine) cancel(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.byID[id]
	if g == nil {
		return ""
	}
	if g.done {
		return stateDone
	}
	for i, a := range e.active {
		if a == g {
			e.active = append(e.active[:i], e.active[i+1:]...)
			break
		}
	}
	e.throwAway(g)
	e.report(time.Now())
	return stateRunning
}

func (e *engine) throwAway(g *generation) {
	g.cancelled = true
	g.notify()
	e.forget(g)
	e.ledger.count(g.user, Counts{
		Cancelled: 1, ComputedTokens: int(g.computed), ThrownAwayTokens: int(g.computed),
		CachedTokens: g.cached, GeneratedTokens: int(g.generated),
	})
}

// restart loses all requests and the cache.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.active {
		e.throwAway(g)
	}
	e.active, e.finished, e.byID = nil, nil, map[string]*generation{}
	next := e.cache.next + 1 // the gap tells readers that events are missing
	e.cache = newPrefixCache(e.config.CacheTokens, e.srv.faults.dropsEvent)
	e.cache.next = next
	e.report(time.Now())
}

// report records the load figures as of now.
func (e *engine) report(now time.Time) {
	f := loadFigures{Models: e.models, Time: now}
	for _, g := range e.active {
		if g.prefilled {
			f.Running++
		} else {
			f.Waiting++
		}
	}
	e.load = append(e.load, f)
	if len(e.load) > maxLoadHistory {
		e.load = e.load[len(e.load)-maxLoadHistory:]
	}
}

// laggingLoad returns the figures that were valid one lag ago.
func (e *engine) laggingLoad(now time.Time) loadFigures {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := now.Add(-e.lag(e.config.LoadLag))
	n := 0
	for n+1 < len(e.load) && !e.load[n+1].Time.After(limit) {
		n++
	}
	e.load = e.load[n:]
	f := e.load[0]
	if f.Time.Before(limit) {
		f.Time = limit
	}
	return f
}

// progress is a copy of what a reader of g needs.
type progress struct {
	tokens    int
	cached    int
	done      bool
	cancelled bool
	changed   <-chan struct{}
}

func (e *engine) progress(g *generation) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{tokens: int(g.generated), cached: g.cached, done: g.done, cancelled: g.cancelled, changed: g.changed}
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func newGeneration(id string, prompt []byte) *generation {
	return &generation{
		id:      id,
		seed:    xxhash.Sum64(prompt),
		blocks:  state.PromptBlockHashes(prompt),
		prompt:  (len(prompt) + state.BytesPerToken - 1) / state.BytesPerToken,
		created: time.Now().Unix(),
		changed: make(chan struct{}),
	}
}
