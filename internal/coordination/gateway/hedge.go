package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/retry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// A hedge that was not sent is considered again after a share of the time that the request has
// waited, hedgeInterval at least: slots become free within about this time, and each look costs
// one at all targets.
const (
	hedgeInterval      = 40 * time.Millisecond
	hedgeIntervalShare = 0.25
)

// hedge is a second attempt beside one that has no response.
type hedge struct {
	first, second *attempt
	sentAt        time.Time
	rest          time.Duration // predicted for the first attempt
	cost          time.Duration // predicted slot time, taken from the budget
}

// hedgingShare returns the extra work that hedges may do, as a share of the slot time of served
// requests; 0 for no hedges.
func (s *Service) hedgingShare() float64 {
	if s.cfg.HedgingShare == nil {
		return 0
	}
	return s.cfg.HedgingShare()
}

// hedgeBudget returns the budget of extra work for a service.
func (s *Service) hedgeBudget(service state.Service) *retry.SlotTimeBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.hedgeBudgets[service]
	if b == nil {
		b = &retry.SlotTimeBudget{}
		s.hedgeBudgets[service] = b
	}
	return b
}

// earnHedging records the slot time of a request that was served.
func (r *request) earnHedging(a *attempt) {
	share := r.service.hedgingShare()
	if share <= 0 {
		return
	}
	now := time.Now()
	allowed := time.Duration(share * float64(now.Sub(a.sentAt)))
	r.service.hedgeBudget(r.targetService).Earn(now, allowed)
	r.service.cfg.Counters.add("hedge_allowed_us."+string(r.targetService), allowed.Microseconds())
}

// hedges reports whether the request may be hedged at all: a request that may run once more, by
// the configuration at its arrival and by the one in effect, and a stream only as a whole.
func (r *request) hedges() bool {
	return r.service.hedgingShare() > 0 && !r.streamBegun && r.lastEventID == "" && r.possibleRuns+1 < r.maxRuns()
}

// tryHedge sends the request to a second target beside the present one if that is worth it, and
// says whether it did. The caller must hold h.mu.
func (h *handOver) tryHedge() bool {
	a, now := h.attempt, time.Now()
	if h.hedgeAt.IsZero() || now.Before(h.hedgeAt) {
		return false
	}
	h.hedgeAt = now.Add(max(hedgeInterval, time.Duration(hedgeIntervalShare*float64(now.Sub(a.sentAt)))))
	r := a.request
	if !a.race.alone() || !r.mayHedge() {
		return false
	}
	offer, reason := r.service.cfg.Scheduler.Hedge(a.grant, r.handOverPlacement(a), r.sharedSoftware(a.grant))
	if offer != nil {
		if reason = r.takeHedge(offer); reason == "" {
			return h.startHedge(offer)
		}
		r.service.cfg.Scheduler.Release(offer.Grant, dispatch.Unused)
	}
	r.service.cfg.Counters.Add("hedge_not_sent." + reason)
	return false
}

// mayHedge reports whether the request may be sent to a second target now, apart from whether
// one has a slot for it.
func (r *request) mayHedge() bool {
	now := time.Now()
	return r.service.hedgingShare() > 0 && r.mayMoveOn() && !r.service.cfg.Quarantine.Accused(r.quarantined(r.keys)) &&
		r.service.retryBudget(r.targetService).Spare(now, r.service.cfg.RetrySlack()) && r.service.hedgeBudget(r.targetService).Left(now) > 0
}

// sharedSoftware returns the software version of a target if that is in a roll-out, so that a
// fault of the version may be why the target is slow; otherwise nil.
func (r *request) sharedSoftware(g *dispatch.Grant) *state.SoftwareVersion {
	if in := r.service.cfg.InRollout; in != nil && in(g.Target.Service, g.Target.Software) {
		return &g.Target.Software
	}
	return nil
}

// takeHedge takes the permission for a hedge and its predicted slot time, or returns what it
// lacks.
func (r *request) takeHedge(offer *dispatch.Hedge) (lacks string) {
	now := time.Now()
	budget, slots := r.service.retryBudget(r.targetService), r.service.hedgeBudget(r.targetService)
	if !slots.Take(now, offer.Response, offer.Urgent) {
		return "limit"
	}
	if !budget.TakeSpare(now, r.service.cfg.RetrySlack()) {
		slots.Settle(now, offer.Response, 0)
		return "retry_budget"
	}
	if r.checkQuarantine(true) != nil {
		budget.Return()
		slots.Settle(now, offer.Response, 0)
		return "quarantine"
	}
	r.service.cfg.Counters.Add("repeated_send." + string(r.targetService))
	return ""
}

// startHedge sends the request to the target of an offer. The caller must hold h.mu.
func (h *handOver) startHedge(offer *dispatch.Hedge) bool {
	first, r := h.attempt, h.attempt.request
	hd := &hedge{first: first, second: r.newHedge(h, offer.Grant), sentAt: time.Now(), rest: offer.Rest, cost: offer.Response}
	if !first.race.join(hd.second, hd) {
		r.service.cfg.Scheduler.Release(offer.Grant, dispatch.Unused)
		r.service.retryBudget(r.targetService).Return()
		r.service.hedgeBudget(r.targetService).Settle(time.Now(), offer.Response, 0)
		hd.second.cancel(nil)
		return false
	}
	r.placements++
	// The hedge takes the place of a hand-over, for which its target must be silent as long.
	h.left = time.Since(h.since) + h.limit
	r.service.cfg.Counters.Add("hedge_sent." + string(r.targetService))
	r.log.Info("hedge sent", zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name), zap.String("service", string(r.targetService)),
		zap.String("first", string(first.grant.Target.ID)), zap.Duration("waited", time.Since(first.sentAt)), zap.Duration("predicted", first.grant.Predicted),
		zap.Duration("rest", offer.Rest), zap.String("target", string(offer.Grant.Target.ID)), zap.String("domain", string(offer.Grant.Target.Domain)),
		zap.Duration("response", offer.Response), zap.Bool("urgent", offer.Urgent), zap.Int("used", offer.Grant.Used), zap.Int("slots", offer.Grant.Slots),
		zap.Duration("budget", r.service.hedgeBudget(r.targetService).Left(time.Now())))
	return true
}

// newHedge returns an attempt at the target of a grant beside the one of h. The caller must hold
// h.mu.
func (r *request) newHedge(h *handOver, g *dispatch.Grant) *attempt {
	a := r.newAttempt(h.attempt.parent, h.ctx, g)
	a.race, a.isHedge, a.permission = h.attempt.race, true, true
	return a
}

// settle records the end of the time in which both attempts ran. winner is nil if one of them
// has failed and the other one goes on.
func (hd *hedge) settle(winner *attempt) {
	r, now := hd.first.request, time.Now()
	took := now.Sub(hd.sentAt)
	r.service.hedgeBudget(r.targetService).Settle(now, hd.cost, took)
	service, counters := string(r.targetService), r.service.cfg.Counters
	counters.add("hedge_extra_us."+service, took.Microseconds())
	won, saved := "none", time.Duration(0)
	switch winner {
	case hd.first:
		won = "first"
	case hd.second:
		won, saved = "second", max(0, hd.rest-took)
		counters.Add("hedge_won." + service)
		counters.add("hedge_saved_us."+service, saved.Microseconds())
	}
	r.log.Info("hedge ended", zap.String("request", string(r.call.ID)), zap.String("service", service), zap.String("winner", won),
		zap.String("first", string(hd.first.grant.Target.ID)), zap.String("target", string(hd.second.grant.Target.ID)),
		zap.Duration("saved", saved), zap.Duration("cost", took), zap.Duration("predicted_cost", hd.cost),
		zap.Duration("budget", r.service.hedgeBudget(r.targetService).Left(now)))
}

// recordBeside records an attempt that ended while another one goes on or has won.
func (r *request) recordBeside(a *attempt, end *attemptEnd) {
	if end.ran {
		r.countPromptTokens(a.grant, false)
	}
	if end.lost {
		return // the end of the hedge is logged
	}
	r.service.cfg.Counters.Add("attempt." + end.outcome.String())
	r.log.Info("attempt beside another failed", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.Bool("hedge", a.isHedge), zap.String("outcome", end.outcome.String()), zap.Duration("took", time.Since(a.sentAt)), zap.NamedError("cause", end.err))
}

// stop ends the wait and the search for another target.
func (h *handOver) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pause()
}

// takeWatch begins to watch the progress of an attempt that is left alone by the failure of
// another one.
func (h *handOver) takeWatch(hedgeDelay time.Duration) {
	r := h.attempt.request
	if h.attempt.race.runs() >= r.maxRuns() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit, h.left = r.stallLimit(), r.stallLimit()
	h.hedgeAt = h.attempt.sentAt.Add(hedgeDelay)
	if h.awaiting {
		h.startTimer(h.untilNextCheck())
	}
}

// untilNextCheck returns the time until a hedge is considered or the target has stalled. The
// caller must hold h.mu.
func (h *handOver) untilNextCheck() time.Duration {
	d := h.left - time.Since(h.since)
	if !h.hedgeAt.IsZero() {
		d = min(d, time.Until(h.hedgeAt))
	}
	return max(0, d)
}

// add adds n to the named counter.
func (c *Counters) add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += n
}
