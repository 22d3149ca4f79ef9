package standin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// stepInterval is the time between two steps of the simulation. It is far
	// below the 38 ms between tokens that callers expect.
	stepInterval = 4 * time.Millisecond
	// defaultRetainedRequests is the number of finished requests that are kept
	// so that a client can resume their streams.
	defaultRetainedRequests = 1024
	// maxLoadReports bounds the load reports kept to serve GET /load with a lag.
	maxLoadReports = 4096
)

// engine simulates a model engine with continuous batching: prompts are
// prefilled one after the other in order of arrival, and all requests past
// their prefill decode concurrently and share the decode rate.
type engine struct {
	config         EngineConfig
	srv            *server
	ledger         *ledger
	weightStoreURL string // base URL of the weight store; empty for none

	mu           sync.Mutex
	wake         chan struct{}          // tells simulate that a request was admitted
	active       []*generation          // in order of arrival
	byID         map[string]*generation // latest run of each request id
	finished     []*generation          // oldest first; kept for resuming
	cache        *prefixCache
	loadHistory  []loadReport      // oldest first, never empty
	lastStep     time.Time         // when step last ran
	highestFence uint64            // highest fencing token seen
	models       []state.ModelSpec // loaded models
	adapters     []string
	role         string
}

// generation is one run of a request. The engine's mutex guards the field
// changed and those below it; the others do not change once the run is admitted.
type generation struct {
	id           string
	user         string
	model        string
	isChat       bool
	includeUsage bool     // whether the stream contains a chunk with the usage
	textSeed     uint64   // hash of the prompt; determines the generated text
	promptBlocks []uint64 // hashes
	promptTokens int
	maxTokens    int
	created      int64 // Unix time in seconds

	changed         chan struct{} // closed and replaced on progress
	prefilled       bool
	cachedTokens    int     // prompt tokens found in the prefix cache
	prefilledTokens float64 // prompt tokens prefilled so far
	generatedTokens float64 // so far
	done            bool    // all tokens are generated
	cancelled       bool
}

// loadReport is the response of GET /load: the number of decoding and of waiting
// requests and the loaded models at a point in time.
type loadReport struct {
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	Models  []state.ModelSpec `json:"models"`
	Time    time.Time         `json:"time"`
}

func newEngine(c EngineConfig, srv *server, weightStoreURL string) *engine {
	if c.Retained == 0 {
		c.Retained = defaultRetainedRequests
	}
	e := &engine{
		config: c, srv: srv, ledger: newLedger(c.Name, "engine"), weightStoreURL: weightStoreURL,
		wake: make(chan struct{}, 1), byID: map[string]*generation{}, models: c.Models, role: "mixed",
	}
	srv.faults.lag = -1 // no fault: the lags in the settings apply
	srv.faults.eventLossShare = c.CacheGap
	e.cache = newPrefixCache(c.CacheTokens, srv.faults.shouldDropEvent)
	srv.handler = e.handle
	e.recordLoad(time.Now())
	return e
}

// effectiveLag returns the lag that a fault has set, or else the configured one.
func (e *engine) effectiveLag(configured state.Duration) time.Duration {
	if faultLag := e.srv.faults.currentLag(); faultLag >= 0 {
		return faultLag
	}
	return configured.Std()
}

// simulate runs the simulation until the engine's server stops. It sleeps while
// no request is active.
func (e *engine) simulate() {
	ticker := time.NewTicker(stepInterval)
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

// admit starts the run g. If the id already has a run, the id then refers to g;
// the earlier run continues as well.
func (e *engine) admit(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(e.active) == 0 {
		e.lastStep = now
	}
	e.byID[g.id] = g
	e.active = append(e.active, g)
	e.ledger.countRun(g.id)
	e.ledger.addCounts(g.user, Counts{Started: 1})
	e.recordLoad(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step advances all active requests by the time since the last step. It reports
// whether any request is still active.
func (e *engine) step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := now.Sub(e.lastStep).Seconds() / e.srv.faults.slowdownFactor()
	e.lastStep = now
	e.decode(seconds)
	promptCompleted := e.prefill(seconds, now)
	if e.retireCompleted() || promptCompleted {
		e.recordLoad(now)
	}
	return len(e.active) > 0
}

// prefill computes as many prompt tokens as the prefill rate allows in the given
// time, in order of arrival. It reports whether a prompt was completed.
func (e *engine) prefill(seconds float64, now time.Time) (completed bool) {
	tokenBudget := seconds * e.config.PrefillRate
	for _, g := range e.active {
		if g.prefilled {
			continue
		}
		if g.prefilledTokens == 0 {
			g.cachedTokens = min(e.cache.matchPrefix(g.promptBlocks)*blockTokens, g.promptTokens)
		}
		remaining := float64(g.promptTokens-g.cachedTokens) - g.prefilledTokens
		if remaining > tokenBudget {
			g.prefilledTokens += tokenBudget
			return completed
		}
		tokenBudget -= remaining
		g.prefilledTokens = float64(g.promptTokens - g.cachedTokens)
		g.prefilled = true
		e.cache.store(g.promptBlocks, now)
		completed = true
	}
	return completed
}

// decode generates tokens for all requests past their prefill. They share the
// decode rate equally, and each is bounded by the request rate.
func (e *engine) decode(seconds float64) {
	decoding := 0
	for _, g := range e.active {
		if g.prefilled {
			decoding++
		}
	}
	if decoding == 0 {
		return
	}
	tokensPerRequest := seconds * min(e.config.RequestRate, e.config.DecodeRate/float64(decoding))
	for _, g := range e.active {
		if !g.prefilled {
			continue
		}
		before := int(g.generatedTokens)
		g.generatedTokens = min(g.generatedTokens+tokensPerRequest, float64(g.maxTokens))
		if int(g.generatedTokens) > before {
			g.notify()
		}
	}
}

// retireCompleted moves completed requests from active to finished, and releases
// the oldest finished ones above the number to retain. It reports whether any
// request was completed.
func (e *engine) retireCompleted() bool {
	stillActive := e.active[:0]
	for _, g := range e.active {
		if int(g.generatedTokens) < g.maxTokens {
			stillActive = append(stillActive, g)
			continue
		}
		g.done = true
		g.notify()
		e.ledger.addCounts(g.user, Counts{Finished: 1, ComputedTokens: int(g.prefilledTokens), CachedTokens: g.cachedTokens, GeneratedTokens: g.maxTokens})
		e.finished = append(e.finished, g)
	}
	changed := len(stillActive) != len(e.active)
	clear(e.active[len(stillActive):])
	e.active = stillActive
	for len(e.finished) > e.config.Retained {
		e.releaseID(e.finished[0])
		e.finished = e.finished[1:]
	}
	return changed
}

// releaseID removes g from byID unless a later run has taken its id.
func (e *engine) releaseID(g *generation) {
	if e.byID[g.id] == g {
		delete(e.byID, g.id)
	}
}

// cancel aborts the run of id if it is active. It returns the state of the run
// before the call, or "" if the id is unknown.
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
	e.abort(g)
	e.recordLoad(time.Now())
	return stateRunning
}

// abort marks g as cancelled and counts the tokens computed for it as thrown
// away. The caller removes g from active.
func (e *engine) abort(g *generation) {
	g.cancelled = true
	g.notify()
	e.releaseID(g)
	e.ledger.addCounts(g.user, Counts{
		Cancelled: 1, ComputedTokens: int(g.prefilledTokens), ThrownAwayTokens: int(g.prefilledTokens),
		CachedTokens: g.cachedTokens, GeneratedTokens: int(g.generatedTokens),
	})
}

// restart simulates a restart of the engine, which loses all requests and the
// prefix cache.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.active {
		e.abort(g)
	}
	e.active, e.finished, e.byID = nil, nil, map[string]*generation{}
	next := e.cache.nextSeq + 1 // readers detect the restart by the gap
	e.cache = newPrefixCache(e.config.CacheTokens, e.srv.faults.shouldDropEvent)
	e.cache.nextSeq = next
	e.recordLoad(time.Now())
}

// recordLoad appends a load report to the history.
func (e *engine) recordLoad(now time.Time) {
	f := loadReport{Models: e.models, Time: now}
	for _, g := range e.active {
		if g.prefilled {
			f.Running++
		} else {
			f.Waiting++
		}
	}
	e.loadHistory = append(e.loadHistory, f)
	if len(e.loadHistory) > maxLoadReports {
		e.loadHistory = e.loadHistory[len(e.loadHistory)-maxLoadReports:]
	}
}

// laggedLoad returns the load report that was valid one lag ago, and drops those
// before it.
func (e *engine) laggedLoad(now time.Time) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := now.Add(-e.effectiveLag(e.config.LoadLag))
	n := 0
	for n+1 < len(e.loadHistory) && !e.loadHistory[n+1].Time.After(cutoff) {
		n++
	}
	e.loadHistory = e.loadHistory[n:]
	f := e.loadHistory[0]
	if f.Time.Before(cutoff) {
		f.Time = cutoff
	}
	return f
}

// progress is a snapshot of the state of a generation.
type progress struct {
	generatedTokens int
	cachedTokens    int
	done            bool
	cancelled       bool
	changed         <-chan struct{} // closed on further progress
}

func (e *engine) progressOf(g *generation) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{generatedTokens: int(g.generatedTokens), cachedTokens: g.cachedTokens, done: g.done, cancelled: g.cancelled, changed: g.changed}
}

// notify wakes the readers that wait for progress of g.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func newGeneration(id string, prompt []byte) *generation {
	return &generation{
		id:           id,
		textSeed:     xxhash.Sum64(prompt),
		promptBlocks: state.PromptBlockHashes(prompt),
		promptTokens: (len(prompt) + state.BytesPerToken - 1) / state.BytesPerToken,
		created:      time.Now().Unix(),
		changed:      make(chan struct{}),
	}
}
