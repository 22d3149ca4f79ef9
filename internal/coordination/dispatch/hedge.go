package dispatch

import (
	"strings"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// hedgeQuantile is the share of requests that have their response before a hedge is
	// considered.
	hedgeQuantile = 0.95
	// The delay until a hedge is considered is between these multiples of the predicted time. With
	// a third of the targets slow, more than a share of 1-hedgeQuantile of the requests is, and
	// the quantile would put off the hedges that they need: with an upper limit of 4, half of the
	// hedges came too late to win.
	minHedgeRatio, maxHedgeRatio = 1.25, 2.0
	// initialHedgeRatio holds before the first response.
	initialHedgeRatio = maxHedgeRatio
	// minHedgeDelay is below what a caller notices.
	minHedgeDelay = 10 * time.Millisecond
	// A hedge must be predicted to gain minHedgeGain and hedgeGainShare of its own predicted
	// time, which covers the error of the prediction.
	minHedgeGain   = 10 * time.Millisecond
	hedgeGainShare = 0.25
	// maxHedgeLoad is the share of the slots of a service that are in use from which on there are
	// no hedges: reports of other entries lag, and targets serve more slowly.
	maxHedgeLoad = 0.8
	// sameDomainPenalty is the factor on the predicted time at a target in the failure domain of
	// the first one, which may share its fault.
	sameDomainPenalty = 1.2
	// lateWeight is the weight of one response in the moving average of late ones, and lateMemory
	// how long a response tells how a target is.
	lateWeight = 0.3
	lateMemory = 2 * time.Second
	// A target that has answered nobody since a request was sent there that another one answered
	// first gets no requests for as long as it has been silent, up to maxOutrunPause. Without
	// that, the slots that hedges free would draw the next requests to it.
	maxOutrunPause = minSilentTime
)

// Reasons for which no hedge is sent, as they appear in counters.
const (
	HedgeQueue     = "queue"        // requests wait here or at other entries
	HedgeSaturated = "saturated"    // few slots are free
	HedgeCutOff    = "cut_off"      // the load of other entries is not known
	HedgeAllLate   = "targets_late" // the other targets are late too
	HedgeNoSlot    = "no_idle_slot" // no target that may take it has an idle slot
	HedgeNoGain    = "no_gain"      // no target is predicted to respond sooner
	hedgeAllowed   = ""
)

// Hedge is a slot for a second attempt of a request that is still at another target.
type Hedge struct {
	Grant *Grant
	// Rest is the predicted time until the first attempt has a response, and Response until the
	// second has.
	Rest, Response time.Duration
	// Urgent says that the response is predicted to be late without the hedge and on time with
	// it.
	Urgent bool
}

// targetPace is what is known of how a target responds, relative to the predictions.
type targetPace struct {
	startedAt time.Time // when a response last started
	lateShare float64   // moving average of the share of late responses
}

// HedgeDelay returns the time after a grant from which on a hedge is considered: what the given
// share of requests takes, by the prediction for this one. So a request that is slow because it
// is large, or its target, is not hedged for that.
func (s *Scheduler) HedgeDelay(g *Grant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(g.request.Service).hedgeDelay(g)
}

func (p *pool) hedgeDelay(g *Grant) time.Duration {
	return max(minHedgeDelay, time.Duration(p.hedgeRatio*float64(g.Predicted)))
}

// recordPace records how long the response of a granted request took, or that it was ended
// without one.
func (p *pool) recordPace(g *Grant, took time.Duration, responded bool) {
	if g.request.Resumed || g.Predicted <= 0 {
		return
	}
	ratio := float64(took) / float64(g.Predicted)
	if !responded && ratio < p.hedgeRatio {
		return // ended early, which tells nothing
	}
	late := 0.0
	if ratio > p.hedgeRatio {
		late = 1
	}
	if responded {
		pace := &g.target.pace
		pace.startedAt = g.grantedAt.Add(took)
		pace.lateShare += lateWeight * (late - pace.lateShare)
	}
	p.ratios.Observe(ratio, responded)
	p.hedgeRatio = min(max(p.ratios.Quantile(hedgeQuantile), minHedgeRatio), maxHedgeRatio)
}

// Outrun records that another target has answered the granted request first. It is to be called
// before Release.
func (s *Scheduler) Outrun(g *Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !g.respondedAt.IsZero() {
		return
	}
	now := s.now()
	silent := now.Sub(g.grantedAt)
	p := s.pool(g.request.Service)
	p.recordPace(g, silent, false)
	if silent > g.Predicted && !g.request.Resumed {
		// The response takes at least this long. Without it, a target that has become slow would
		// look as before, because the responses that show it are the ones that hedges end.
		p.cost.ObserveResponse(&g.target.cost, g.request.Work, g.load, silent)
	}
	if t := g.target; silent > p.hedgeDelay(g) && t.pace.startedAt.Before(g.grantedAt) {
		if until := now.Add(min(silent, maxOutrunPause)); until.After(t.pausedUntil) {
			t.pausedUntil = until
		}
	}
}

// Hedge grants a slot for a second attempt of r, which has had no response from the target of
// first, or returns why not. It takes idle slots only and never waits.
func (s *Scheduler) Hedge(first *Grant, r *Request, shared *state.SoftwareVersion) (*Hedge, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, p := s.now(), s.pool(r.Service)
	if reason := s.hedgeObstacle(p, first, r, now); reason != hedgeAllowed {
		return nil, reason
	}
	t, response, candidates := s.hedgeTarget(p, first, r, shared, now)
	if t == nil {
		return nil, HedgeNoSlot
	}
	rest := p.ratios.Rest(first.Predicted, now.Sub(first.grantedAt))
	if response+max(minHedgeGain, time.Duration(hedgeGainShare*float64(response))) >= rest {
		return nil, HedgeNoGain
	}
	due := r.Arrived.Add(r.Objective)
	return &Hedge{
		Grant: s.grant(p, r, t, now, candidates), Rest: rest, Response: response,
		Urgent: now.Add(rest).After(due) && !now.Add(response).After(due),
	}, hedgeAllowed
}

// hedgeObstacle returns why the service takes no hedges at the moment, or hedgeAllowed.
func (s *Scheduler) hedgeObstacle(p *pool, first *Grant, r *Request, now time.Time) string {
	if len(p.queue) > 0 {
		return HedgeQueue
	}
	if others := s.position.Count - 1; len(s.peerReports) == 0 || 2*len(s.peerReports) < others {
		return HedgeCutOff
	}
	for _, other := range s.peerReports {
		for _, n := range other.report.Waiting[p.name] {
			if n > 0 {
				return HedgeQueue
			}
		}
	}
	used, slots := 0, 0
	for _, t := range p.subset {
		if !t.record.Draining {
			used, slots = used+t.outstanding(), slots+t.record.Slots
		}
	}
	if _, allowed := s.fairShare(p, r, now); !allowed || float64(used) >= maxHedgeLoad*float64(slots) {
		return HedgeSaturated
	}
	if p.othersLate(first.target, now) {
		return HedgeAllLate
	}
	return hedgeAllowed
}

// othersLate reports whether half or more of the targets apart from one are late, as far as this
// entry knows. What slows them all is not mended by more work.
func (p *pool) othersLate(except *target, now time.Time) bool {
	known, late := 0, 0
	for _, t := range p.subset {
		if t == except {
			continue
		}
		isLate := t.isLate(p, now)
		if isLate || now.Sub(t.pace.startedAt) < lateMemory {
			known++
		}
		if isLate {
			late++
		}
	}
	return late > 0 && 2*late >= known
}

// isLate reports whether the last responses of the target were late, or it has answered nobody
// since a request was sent there that should have its response.
func (t *target) isLate(p *pool, now time.Time) bool {
	if now.Sub(t.pace.startedAt) < lateMemory && t.pace.lateShare > 0.5 {
		return true
	}
	return t.hasOverdue(p, now) && t.unansweredSince(now)
}

// hasOverdue reports whether an open request of this entry has waited for its response for
// longer than the delay until a hedge.
func (t *target) hasOverdue(p *pool, now time.Time) bool {
	for g := range t.openGrants {
		if g.respondedAt.IsZero() && now.Sub(g.grantedAt) > p.hedgeDelay(g) {
			return true
		}
	}
	return false
}

// unansweredSince reports whether no response has started at the target since its oldest open
// request without one was sent.
func (t *target) unansweredSince(now time.Time) bool {
	oldest := now
	for g := range t.openGrants {
		if g.respondedAt.IsZero() && g.grantedAt.Before(oldest) {
			oldest = g.grantedAt
		}
	}
	return t.pace.startedAt.Before(oldest)
}

// hedgeTarget returns the target with an idle slot that is predicted to respond first, with the
// predicted time, among those that do not share the cause for which the first one is slow. shared
// is a software version that they must not have, nil if any may serve.
func (s *Scheduler) hedgeTarget(p *pool, first *Grant, r *Request, shared *state.SoftwareVersion, now time.Time) (best *target, response time.Duration, candidates int) {
	reserved := p.reservedSlots(r, now)
	median := max(1, p.ratios.Quantile(0.5))
	host, bestScore := hostOf(first.Target.Address), 0.0
	for _, t := range s.targetsFor(p, r, now) {
		if hostOf(t.record.Address) == host || shared != nil && t.record.Software == *shared || !s.hedgesAt(p, t, r, reserved, now) {
			continue
		}
		candidates++
		predicted := median * float64(p.cost.Response(&t.cost, r.Work, t.load()))
		score := predicted
		if t.record.Domain == first.Target.Domain {
			score *= sameDomainPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore, response = t, score, time.Duration(predicted)
		}
	}
	return best, response, candidates
}

// hedgesAt reports whether a target may take a hedge of r: it has an idle slot, is sound, takes
// requests and is not late, and r ends there in time.
func (s *Scheduler) hedgesAt(p *pool, t *target, r *Request, reserved int, now time.Time) bool {
	return t.eligible(now, r) && s.mayTake(t, now, false) && s.endsBeforeStop(p, t, r, now) && p.takesOver(t, r, now) &&
		t.outstanding() < t.requestLimit(reserved) && !t.isLate(p, now) && !t.hasOverdue(p, now)
}

// hostOf returns the host of an address.
func hostOf(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[:i]
	}
	return address
}
