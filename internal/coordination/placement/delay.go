package placement

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// rates are speeds in tokens per second.
type rates struct {
	prefill float64
	decode  float64
}

// Speeds assumed before any target of the service has measured its own.
const (
	assumedPrefillRate = 2000.0
	assumedDecodeRate  = 400.0
)

// maxDelay bounds predictions, so that sums stay within time.Duration.
const maxDelay = time.Hour

// ratesOf returns the speeds of t when it is saturated.
func (v *serviceView) ratesOf(t *target, now time.Time) rates {
	if t.figures == nil {
		return v.typical
	}
	age := now.Sub(t.received)
	known := 1 - max(0, (age-loadLifetime).Seconds())/(speedLifetime-loadLifetime).Seconds()
	return rates{
		prefill: blend(t.figures.PrefillRate, v.typical.prefill, known),
		decode:  blend(t.figures.DecodeRate, v.typical.decode, known),
	}
}

// blend returns the geometric mean of measured and typical, weighted by the
// share (up to 1) to which the measurement is still known.
func blend(measured, typical, known float64) float64 {
	if measured <= 0 || known <= 0 {
		return typical
	}
	return typical * math.Pow(measured/typical, known)
}

// predict fills in the speeds, the delay and the wait of c.
func (s *evaluation) predict(c *candidate) {
	req := s.query.Request
	c.rates = s.service.ratesOf(c.target, s.query.Now)
	prefill := float64(workOf(req, c.cached).prompt) / c.rates.prefill
	queued, running, sent := s.backlog(c.target, c.rates)
	c.delay = seconds(queued + running + sent*s.service.senders + prefill)
	c.wait = seconds(s.startWait(c.target, queued+sent, running) + prefill)
}

// backlog returns the seconds of work queued at the same or a higher tier,
// running, and sent since the figures. Plain calls have no tokens and are
// counted instead.
func (s *evaluation) backlog(t *target, r rates) (queued, running, sent float64) {
	tier := s.query.Request.Tier
	prompt, output := t.live.ahead(tier)
	sent = float64(prompt)/r.prefill + float64(output)/r.decode
	if t.load(s.query.Now) == nil {
		return 0, 0, sent
	}
	if s.query.Request.Kind == state.PlainCall {
		queued = float64(t.queuedCount(tier)*plainCallTokens) / r.decode
		return queued, float64(t.figures.RunningCount*plainCallTokens) / r.decode, sent
	}
	tokens := 0
	for i := 0; i <= min(int(tier), state.MaxTiers-1); i++ {
		tokens += t.figures.QueuedTokens[i]
	}
	share := s.service.promptShare
	perToken := share/r.prefill + (1-share)/r.decode
	return float64(tokens) * perToken, float64(t.figures.RunningTokens) / r.decode, sent
}

// startWait returns the seconds until the target would start the request. A
// slot of a full window becomes free after about the running work divided by
// the window.
func (s *evaluation) startWait(t *target, ahead, running float64) float64 {
	if t.load(s.query.Now) == nil || s.freeSlot(t) {
		return 0
	}
	return ahead + running/float64(max(1, t.figures.Window))
}

// freeSlot reports whether the window of t has a slot for the request's tier
// after everything that is ahead of it.
func (s *evaluation) freeSlot(t *target) bool {
	tier := s.query.Request.Tier
	taken := t.figures.RunningCount + t.queuedCount(tier) + int(t.live.count.Load())
	return taken < t.figures.Window-s.set.reserve(tier)
}

// seconds converts to a duration of at most maxDelay.
func seconds(v float64) time.Duration {
	return time.Duration(min(v, maxDelay.Seconds()) * float64(time.Second))
}
