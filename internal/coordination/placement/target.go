package placement

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// snapshot is the published state of all targets. It is immutable except for
// the counters in target.live.
type snapshot struct {
	services map[state.Service]*serviceView
	targets  map[state.TargetID]*target
	onDemand int // sessions to targets outside the subset
}

// serviceView is the published state of one service.
type serviceView struct {
	all []*target // ordered by name
	// typical are the median speeds of the targets with measured speeds. They
	// stand in for the speeds of the others.
	typical rates
	// promptShare is the share (0 to 1) of prompt tokens in the work sent by this
	// entry. Figures do not separate queued prompt from queued output tokens.
	promptShare float64
	// senders estimates how many entries send to each target of the service.
	senders float64
}

// target is the published state of one target.
type target struct {
	id         state.TargetID
	service    state.Service
	domain     state.FailureDomain
	figures    *state.Figures // nil when unknown
	received   time.Time      // arrival of figures by this process's clock
	subset     bool           // belongs to the subset that this entry keeps sessions to
	connected  bool           // has a live session
	ejected    bool           // may be probed from probeFrom on
	probeFrom  time.Time      // end of the current backoff
	cacheTrust float64        // share (0 to 1) of predicted cached tokens that the engine confirms
	live       *live
}

// live counts what this entry has sent to a target since its latest figures.
type live struct {
	prompt [state.MaxTiers]atomic.Int64 // prompt tokens expected to need a prefill, by tier
	output [state.MaxTiers]atomic.Int64 // expected output tokens, by tier
	count  atomic.Int64                 // requests
	// probe is 0 when no probe is under way, the time of the claim in Unix
	// nanoseconds from Place to Sent, and probeSent from Sent to Ended.
	probe atomic.Int64
	// leavingSince is the time in Unix nanoseconds at which the target was first
	// known to leave; 0 when it does not leave.
	leavingSince atomic.Int64
}

// probeSent marks a probe that was sent and has not ended.
const probeSent = math.MaxInt64

// probeClaimTimeout frees a probe that was placed but never sent, for example
// because no session could be opened within the peer handshake timeout of 2 s.
const probeClaimTimeout = 5 * time.Second

// leavingLimit is the time after which a leaving target must not receive new
// work (guarantee P5).
const leavingLimit = 3 * time.Second

// leave records that the target is leaving, unless that is known already.
func (l *live) leave(now time.Time) { l.leavingSince.CompareAndSwap(0, now.UnixNano()) }

// leaving reports whether the target is known to leave.
func (l *live) leaving() bool { return l.leavingSince.Load() != 0 }

// leftFor reports whether the target has been leaving for longer than limit.
func (l *live) leftFor(now time.Time, limit time.Duration) bool {
	since := l.leavingSince.Load()
	return since != 0 && now.UnixNano()-since > int64(limit)
}

// sendProbe marks a claimed probe as sent and reports whether there was one.
func (l *live) sendProbe() bool {
	old := l.probe.Load()
	return old != 0 && old != probeSent && l.probe.CompareAndSwap(old, probeSent)
}

// claimProbe reserves the single probe of an ejected target for the caller.
func (l *live) claimProbe(now time.Time) bool {
	old := l.probe.Load()
	if old == probeSent || now.UnixNano()-old < int64(probeClaimTimeout) {
		return false
	}
	return l.probe.CompareAndSwap(old, now.UnixNano())
}

// probeFree reports whether claimProbe would succeed.
func (l *live) probeFree(now time.Time) bool {
	old := l.probe.Load()
	return old != probeSent && now.UnixNano()-old >= int64(probeClaimTimeout)
}

// add counts work; sign is 1 or -1.
func (l *live) add(w work, sign int64) {
	tier := min(int(w.tier), state.MaxTiers-1)
	l.prompt[tier].Add(sign * w.prompt)
	l.output[tier].Add(sign * w.output)
	l.count.Add(sign)
}

// ahead sums what was sent at the same or a higher tier.
func (l *live) ahead(tier state.Tier) (prompt, output int64) {
	for i := 0; i <= min(int(tier), state.MaxTiers-1); i++ {
		prompt += l.prompt[i].Load()
		output += l.output[i].Load()
	}
	return prompt, output
}

// work is the expected cost of one request.
type work struct {
	tier   state.Tier
	prompt int64 // prompt tokens expected to need a prefill
	output int64 // expected output tokens
}

// Expected output of a request that names no bound.
const (
	defaultOutputTokens = 256
	// plainCallTokens stands for the cost of a plain call, which has no tokens.
	plainCallTokens = 16
)

// workOf estimates the cost of req on a target that has cached leading blocks
// of its prompt.
func workOf(req *state.Request, cached int) work {
	w := work{tier: req.Tier, prompt: int64(max(0, req.PromptTokens-cached*blockTokens)), output: int64(req.MaxTokens)}
	if req.MaxTokens > 0 {
		return w
	}
	w.output = defaultOutputTokens
	if req.Kind == state.PlainCall {
		w.output = plainCallTokens
	}
	return w
}

const (
	// loadLifetime is the age up to which figures describe the load. An idle
	// session brings none, so without this limit a target that was busy when its
	// last attempt ended would look busy for ever.
	loadLifetime = 5 * time.Second
	// speedLifetime is the age at which measured speeds count no longer. From
	// loadLifetime on they approach the typical speeds of the service, so that a
	// target that was slow gets one request and new figures before it gets many.
	speedLifetime = 30 * time.Second
)

// load returns the figures as far as they still describe the load, or nil.
func (t *target) load(now time.Time) *state.Figures {
	if t.figures == nil || now.Sub(t.received) > loadLifetime {
		return nil
	}
	return t.figures
}

// outstanding returns the number of requests queued, running and sent since.
func (t *target) outstanding(now time.Time) int {
	n := int(t.live.count.Load())
	if t.load(now) == nil {
		return n
	}
	return n + t.figures.RunningCount + t.queuedCount(state.MaxTiers-1)
}

// queuedCount returns the number of queued requests of tier or higher.
func (t *target) queuedCount(tier state.Tier) int {
	n := 0
	for i := 0; i <= min(int(tier), state.MaxTiers-1); i++ {
		n += t.figures.QueuedCount[i]
	}
	return n
}

// trusted scales a number of blocks found in the prefix index by the share that
// the engine has confirmed lately.
func (t *target) trusted(blocks int) int {
	return int(math.Round(float64(blocks) * t.cacheTrust))
}
