package placement

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// tokenRates are the processing rates of a target in tokens per second.
type tokenRates struct {
	prefill float64
	decode  float64
}

// Rates in tokens per second that are assumed while no target of the service has
// reported measured rates.
const (
	assumedPrefillRate = 2000.0
	assumedDecodeRate  = 400.0
)

// maxPredictedDelay bounds predictions, so that sums do not overflow
// time.Duration.
const maxPredictedDelay = time.Hour

// estimateRates returns the token rates of t when it is saturated: those in its
// figures while they are at most loadLifetime old. From then on they approach
// the median of the service, which they reach at the age of ratesLifetime.
func (v *serviceView) estimateRates(t *target, now time.Time) tokenRates {
	if t.figures == nil {
		return v.medianRates
	}
	age := now.Sub(t.figuresReceived)
	weight := 1 - max(0, (age-loadLifetime).Seconds())/(ratesLifetime-loadLifetime).Seconds()
	return tokenRates{
		prefill: blendRates(t.figures.PrefillRate, v.medianRates.prefill, weight),
		decode:  blendRates(t.figures.DecodeRate, v.medianRates.decode, weight),
	}
}

// blendRates returns the geometric mean of measured and median, in which measured
// has the given weight of at most 1. It returns median when nothing has been
// measured or weight is not positive.
func blendRates(measured, median, weight float64) float64 {
	if measured <= 0 || weight <= 0 {
		return median
	}
	return median * math.Pow(measured/median, weight)
}

// predictDelays fills in the token rates, the delay and the time to the first
// token of c. The delay assumes that every entry that sends to the target has
// sent as much since the figures as this one.
func (s *evaluation) predictDelays(c *candidate) {
	req := s.query.Request
	c.rates = s.service.estimateRates(c.target, s.query.Now)
	prefill := float64(estimateCost(req, c.cachedBlocks).promptTokens) / c.rates.prefill
	queued, running, sent := s.backlogSeconds(c.target, c.rates)
	c.delay = secondsToDuration(queued + running + sent*s.service.sendersPerTarget + prefill)
	c.timeToFirstToken = secondsToDuration(s.secondsUntilStart(c.target, queued+sent, running) + prefill)
}

// backlogSeconds returns the work of t in seconds: what is queued, what is
// running, and what this entry has sent since the figures. Queued and sent work
// counts at the request's tier and higher ones, running work at all tiers. Plain
// calls have no tokens, so for them requests are counted instead.
func (s *evaluation) backlogSeconds(t *target, r tokenRates) (queued, running, sent float64) {
	tier := s.query.Request.Tier
	prompt, output := t.shared.tokensAhead(tier)
	sent = float64(prompt)/r.prefill + float64(output)/r.decode
	if t.currentLoad(s.query.Now) == nil {
		return 0, 0, sent
	}
	if s.query.Request.Kind == state.PlainCall {
		queued = float64(t.queuedAtOrAbove(tier)*plainCallTokens) / r.decode
		return queued, float64(t.figures.RunningCount*plainCallTokens) / r.decode, sent
	}
	tokens := 0
	for i := 0; i <= min(int(tier), state.MaxTiers-1); i++ {
		tokens += t.figures.QueuedTokens[i]
	}
	promptShare := s.service.promptShare
	secondsPerToken := promptShare/r.prefill + (1-promptShare)/r.decode
	return float64(tokens) * secondsPerToken, float64(t.figures.RunningTokens) / r.decode, sent
}

// secondsUntilStart predicts the seconds until the target starts the request. It
// returns 0 when the load is unknown or a slot is free. Otherwise the work ahead
// comes first, and a slot of the full window becomes free after about the running
// work divided by the window. ahead and running are in seconds.
func (s *evaluation) secondsUntilStart(t *target, ahead, running float64) float64 {
	if t.currentLoad(s.query.Now) == nil || s.hasFreeSlot(t) {
		return 0
	}
	return ahead + running/float64(max(1, t.figures.Window))
}

// hasFreeSlot reports whether the window of t has a slot left for the request's
// tier after the running requests, those queued at the same or a higher tier, and
// those that this entry has sent since the figures at any tier.
func (s *evaluation) hasFreeSlot(t *target) bool {
	tier := s.query.Request.Tier
	taken := t.figures.RunningCount + t.queuedAtOrAbove(tier) + int(t.shared.requests.Load())
	return taken < t.figures.Window-s.policies.reservedSlots(tier)
}

// secondsToDuration converts seconds to a duration of at most maxPredictedDelay.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxPredictedDelay.Seconds()) * float64(time.Second))
}
