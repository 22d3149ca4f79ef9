package placement

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// snapshot is the published state of all targets. It is immutable except for
// target.shared.
type snapshot struct {
	services         map[state.Service]*serviceView
	targets          map[state.TargetID]*target
	onDemandSessions int // sessions to targets outside the subset
}

// serviceView is the published state of one service.
type serviceView struct {
	targets []*target // ordered by name
	// medianRates are the medians over the targets with measured rates. They stand
	// in for rates that are unknown or outdated.
	medianRates tokenRates
	// promptShare is the share (0 to 1) of prompt tokens in the work that this entry
	// sends to the service. It serves to divide the queued tokens in the figures,
	// which do not separate prompt tokens from output tokens.
	promptShare float64
	// sendersPerTarget estimates how many entries send to each target of the
	// service.
	sendersPerTarget float64
}

// target is the published state of one target.
type target struct {
	id              state.TargetID
	service         state.Service
	domain          state.FailureDomain
	figures         *state.LoadFigures // nil when unknown
	figuresReceived time.Time          // arrival of figures by this process's clock
	inSubset        bool               // belongs to the subset that this entry keeps sessions to
	connected       bool               // has a live session
	ejected         bool               // receives only probes, from backoffEnd on
	backoffEnd      time.Time          // end of the latest backoff
	cacheTrust      float64            // share (0 to 1) of predicted cached tokens that the engine confirms
	shared          *sharedState
}

// sharedState is the part of a target's state that is updated in place. All
// snapshots share it. The counters hold what this entry has sent to the target
// since its latest figures.
type sharedState struct {
	promptTokens [state.MaxTiers]atomic.Int64 // prompt tokens expected to need a prefill, by tier
	outputTokens [state.MaxTiers]atomic.Int64 // expected output tokens, by tier
	requests     atomic.Int64
	// probeState is 0 when no probe is under way, the time of the claim in Unix
	// nanoseconds between Place and AttemptSent, and probeInFlight between
	// AttemptSent and AttemptEnded.
	probeState atomic.Int64
	// leavingSince is the time in Unix nanoseconds at which the target was first
	// known to leave, or 0 when it is not leaving.
	leavingSince atomic.Int64
}

// probeInFlight is the probeState of a probe that was sent and has not ended.
const probeInFlight = math.MaxInt64

// probeClaimTimeout is the time after which a probe that was placed but never
// sent may be claimed again. An attempt is never sent if, for example, no session
// can be opened within the peer handshake timeout of 2 s.
const probeClaimTimeout = 5 * time.Second

// leavingGracePeriod is the time after which a target that is known to leave must
// not receive new work (guarantee P5: a leaving target receives no new work).
const leavingGracePeriod = 3 * time.Second

// markLeaving records that the target is leaving, unless that is known already.
func (l *sharedState) markLeaving(now time.Time) { l.leavingSince.CompareAndSwap(0, now.UnixNano()) }

// isLeaving reports whether the target is known to leave.
func (l *sharedState) isLeaving() bool { return l.leavingSince.Load() != 0 }

// leavingLongerThan reports whether the target has been leaving for longer than
// limit.
func (l *sharedState) leavingLongerThan(now time.Time, limit time.Duration) bool {
	since := l.leavingSince.Load()
	return since != 0 && now.UnixNano()-since > int64(limit)
}

// markProbeSent marks a claimed probe as sent. It reports whether there was one.
func (l *sharedState) markProbeSent() bool {
	old := l.probeState.Load()
	return old != 0 && old != probeInFlight && l.probeState.CompareAndSwap(old, probeInFlight)
}

// claimProbe claims the single probe of an ejected target for the caller. It
// reports whether it succeeded.
func (l *sharedState) claimProbe(now time.Time) bool {
	old := l.probeState.Load()
	if old == probeInFlight || now.UnixNano()-old < int64(probeClaimTimeout) {
		return false
	}
	return l.probeState.CompareAndSwap(old, now.UnixNano())
}

// canClaimProbe reports whether claimProbe would succeed.
func (l *sharedState) canClaimProbe(now time.Time) bool {
	old := l.probeState.Load()
	return old != probeInFlight && now.UnixNano()-old >= int64(probeClaimTimeout)
}

// addCost adds c to the counters if sign is 1 and subtracts it if sign is -1.
func (l *sharedState) addCost(c requestCost, sign int64) {
	tier := min(int(c.tier), state.MaxTiers-1)
	l.promptTokens[tier].Add(sign * c.promptTokens)
	l.outputTokens[tier].Add(sign * c.outputTokens)
	l.requests.Add(sign)
}

// tokensAhead returns the tokens that were sent at the same or a higher tier.
func (l *sharedState) tokensAhead(tier state.Tier) (prompt, output int64) {
	for i := 0; i <= min(int(tier), state.MaxTiers-1); i++ {
		prompt += l.promptTokens[i].Load()
		output += l.outputTokens[i].Load()
	}
	return prompt, output
}

// requestCost is the expected cost of one request.
type requestCost struct {
	tier         state.Tier
	promptTokens int64 // prompt tokens expected to need a prefill
	outputTokens int64 // expected output tokens
}

// Expected output tokens of a request that sets no limit.
const (
	defaultOutputTokens = 256
	// plainCallTokens represents the cost of a plain call, which has no tokens.
	plainCallTokens = 16
)

// estimateCost estimates the cost of req on a target that has the first
// cachedBlocks blocks of its prompt in the cache.
func estimateCost(req *state.Request, cachedBlocks int) requestCost {
	c := requestCost{tier: req.Tier, promptTokens: int64(max(0, req.PromptTokens-cachedBlocks*blockTokens)), outputTokens: int64(req.MaxTokens)}
	if req.MaxTokens > 0 {
		return c
	}
	c.outputTokens = defaultOutputTokens
	if req.Kind == state.PlainCall {
		c.outputTokens = plainCallTokens
	}
	return c
}

const (
	// loadLifetime is the age up to which figures describe the load. An idle session
	// brings no new figures, so without this limit a target that was busy when its
	// last attempt ended would look busy for ever.
	loadLifetime = 5 * time.Second
	// ratesLifetime is the age from which on measured rates no longer count. Between
	// loadLifetime and ratesLifetime they approach the median rates of the service,
	// so that a target that was slow first gets one request, and with it new
	// figures, before it gets many.
	ratesLifetime = 30 * time.Second
)

// currentLoad returns the figures if they still describe the load, or else nil.
func (t *target) currentLoad(now time.Time) *state.LoadFigures {
	if t.figures == nil || now.Sub(t.figuresReceived) > loadLifetime {
		return nil
	}
	return t.figures
}

// outstanding returns the number of requests that are queued or running according
// to the figures, or were sent since. Figures that no longer describe the load
// are left out.
func (t *target) outstanding(now time.Time) int {
	n := int(t.shared.requests.Load())
	if t.currentLoad(now) == nil {
		return n
	}
	return n + t.figures.RunningCount + t.queuedAtOrAbove(state.MaxTiers-1)
}

// queuedAtOrAbove returns the number of queued requests of the given tier and
// higher ones. The target must have figures.
func (t *target) queuedAtOrAbove(tier state.Tier) int {
	n := 0
	for i := 0; i <= min(int(tier), state.MaxTiers-1); i++ {
		n += t.figures.QueuedCount[i]
	}
	return n
}

// expectedCachedBlocks scales a number of blocks found in the prefix index by the
// share of its predictions that the engine has confirmed lately.
func (t *target) expectedCachedBlocks(indexed int) int {
	return int(math.Round(float64(indexed) * t.cacheTrust))
}
