package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
)

// fit says how well a target suits a request at the moment. Lower is better.
type fit uint8

const (
	// fitsObjective: the response is predicted to start within the objective and to end
	// by the deadline.
	fitsObjective fit = iota
	// fitsDeadline: it is predicted to end by the deadline only.
	fitsDeadline
	// fitsNeither: it is predicted to end after the deadline.
	fitsNeither
)

// fitOf returns how well t suits r if r is sent at now.
func (p *pool) fitOf(t *target, r *Request, now time.Time) fit {
	load := t.load()
	if now.Add(p.cost.Duration(&t.cost, r.Work, load)).After(r.Deadline) {
		return fitsNeither
	}
	if now.Add(p.cost.Response(&t.cost, r.Work, load)).After(r.Arrived.Add(r.Objective)) {
		return fitsDeadline
	}
	return fitsObjective
}

// tryGrant grants a slot of the target that the request's policy picks, or returns
// nil if r may take no slot now. It picks among the targets that suit r best. If one
// without a free slot suits r better than all with one, r waits for it, unless these
// suit it at least as well as enough: a slot of a slow target is better left to a
// request that can be on time there. An ejected target that is due for a probe is
// preferred to what the policy picks, unless r requires a software version. The caller
// must hold s.mu.
func (s *Scheduler) tryGrant(p *pool, r *Request, now time.Time, enough fit) *Grant {
	overcommit, allowed := s.fairShare(p, r, now)
	if !allowed {
		return nil
	}
	reservedSlots := p.reservedSlots(r, now)
	first := reservedSlots == 0 || r.AlreadyAdmitted
	contended := s.contentionOf(p)
	refusesCut := s.refusesCut(p, r)
	s.candidates = s.candidates[:0]
	bestFit, bestFree := fitsNeither, fitsNeither
	var probe *target
	for _, t := range s.targetsFor(p, r, now) {
		if !t.eligible(now, r) || !s.mayTake(t, now, first) || !s.endsBeforeStop(p, t, r, now) || !p.endsBeforeCompletion(t, r, now) || r.HandOver && !p.takesOver(t, r, now) {
			continue
		}
		if !t.ejectedUntil.IsZero() {
			if !r.Repeatable && now.Before(t.ejectedUntil.Add(repeatableProbeWait)) {
				continue // a probe may fail, and only a repeatable request can be sent again
			}
			if r.RequiredSoftware == nil {
				return s.grant(p, r, t, now, 1)
			}
			if probe == nil {
				probe = t
			}
			continue
		}
		f := p.fitOf(t, r, now)
		bestFit = min(bestFit, f)
		free := t.requestLimit(reservedSlots) + s.policies.admission.QueuedRequests + overcommit - t.outstanding()
		if free > 0 && (r.AlreadyAdmitted || contended.mayTake(t, free, now)) && !(refusesCut && f == fitsNeither && p.isCut(t, r, now)) {
			s.candidates = append(s.candidates, candidate{target: t, fit: f})
			bestFree = min(bestFree, f)
		}
	}
	waits := len(s.candidates) == 0 || bestFree > max(bestFit, enough)
	if probe != nil && (waits || bestFree == fitsNeither) {
		return s.grant(p, r, probe, now, 1)
	}
	if waits {
		return nil
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.fit != bestFree })
	s.preferUnbroken(r, now)
	policy := s.policies.forRequest(r.ID)
	c := scoringInput{request: r, now: now, domain: s.domain, cost: p.cost, medianFailing: p.medianFailingShare()}
	for i := range s.candidates {
		s.candidates[i].score = policy.score(s.candidates[i].target, &c)
	}
	picked := policy.pick(s.candidates, s.random.Float64)
	return s.grant(p, r, s.candidates[picked].target, now, len(s.candidates))
}

// preferUnbroken drops the candidates whose processes may have ended since their records were
// read, unless none remains, if r requires a software version: the next process may have
// another one. A target that breaks off a response may also live on, without a newer record,
// so that none is excluded or waited for.
func (s *Scheduler) preferUnbroken(r *Request, now time.Time) {
	mayHaveEnded := func(c candidate) bool { return c.target.mayHaveEnded(now) }
	if r.RequiredSoftware != nil && slices.ContainsFunc(s.candidates, func(c candidate) bool { return !mayHaveEnded(c) }) {
		s.candidates = slices.DeleteFunc(s.candidates, mayHaveEnded)
	}
}

// grant grants a slot of t, picked among the given number of candidates.
func (s *Scheduler) grant(p *pool, r *Request, t *target, now time.Time, candidates int) *Grant {
	g := &Grant{
		Target: t.record, target: t, request: r, grantedAt: now, Used: t.outstanding(), Slots: t.record.Slots,
		Candidates: candidates, Policy: s.policies.forRequest(r.ID).name, load: t.load(), ExpiresAt: now.Add(ratelimit.MaxSendDelay), RateLimit: s.limits.Limit(t.record.ID),
	}
	g.Predicted = p.cost.Response(&t.cost, r.Work, g.load)
	g.duration = p.cost.Duration(&t.cost, r.Work, g.load)
	g.predictedEnd = p.cost.End(&t.cost, r.Work, g.load)
	g.calibrationKey = p.calibrationKey(t, r, g.load)
	g.RecordAge, g.MayHaveEnded = now.Sub(t.listedAt), t.mayHaveEnded(now)
	if g.MayHaveEnded {
		g.SinceEnd = now.Sub(t.lastBreakAt)
	}
	s.limits.Take(now, t.record.ID)
	t.openGrants[g], p.openGrants[g] = struct{}{}, struct{}{}
	t.takeReleased()
	return g
}

// reservedSlots returns how many slots of each target a request of r's rank leaves
// to higher ranks: half the number of higher ranks with recent arrivals, rounded up.
func (p *pool) reservedSlots(r *Request, now time.Time) int {
	higherRanks := 0
	for rank := range min(max(0, r.Rank), maxRanks) {
		if p.arrivalRates[rank].perSecond(now) > minReserveRate {
			higherRanks++
		}
	}
	return (higherRanks + 1) / 2
}

// medianFailingShare returns the median of the failing share over the targets that
// this entry uses.
func (p *pool) medianFailingShare() float64 {
	var shares []float64
	for _, t := range p.subset {
		shares = append(shares, t.failingShare)
	}
	return median(shares, 0)
}

// ResponseStarted records that the target has started to respond: with the first event
// of a stream, or with a complete response.
func (s *Scheduler) ResponseStarted(g *Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !g.respondedAt.IsZero() {
		return
	}
	g.respondedAt = s.now()
	took := g.respondedAt.Sub(g.grantedAt)
	p := s.pool(g.request.Service)
	p.recordPace(g, took, true)
	if !g.request.Resumed {
		s.calibration.observeStart(g, took)
		p.cost.ObserveResponse(&g.target.cost, g.request.Work, g.load, took)
	}
}

// Serves reports whether the target of a grant is still expected to serve requests: it is
// listed, has not been started again and does not leave.
func (s *Scheduler) Serves(g *Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.listed(g)
	return t != nil && !t.record.Draining && !t.stated.leaving()
}

// listed returns the target of a grant if it is listed and has not been started again, or nil. It may have been
// missing for a while, as after its entry has expired while the store was unavailable.
func (s *Scheduler) listed(g *Grant) *target {
	if t := s.targets[g.Target.ID]; t != nil && runOf(&t.record) == runOf(&g.target.record) {
		return t
	}
	return nil
}

// LeavesSince returns since when the target of a grant is known to leave: by the list of targets or by
// its own responses. It is zero if the target still serves.
func (s *Scheduler) LeavesSince(g *Grant) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := cmp.Or(s.listed(g), g.target)
	listed, stated := t.leavesSince, t.stated.leavingSince
	if listed.IsZero() || !stated.IsZero() && stated.Before(listed) {
		return stated
	}
	return listed
}

// notifyRateLimits notifies the observer of changes.
func (s *Scheduler) notifyRateLimits(changes []*ratelimit.Change) {
	for _, c := range changes {
		s.observer.RateLimitChanged(c)
	}
}

// Release returns the slot and records how the request ended. Releasing a grant
// again has no effect.
func (s *Scheduler) Release(g *Grant, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(g, o)
}

// Ended returns the slot of a grant whose target has ended the response, while it is checked whether
// the response is whole. Release records the outcome.
func (s *Scheduler) Ended(g *Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); s.returnSlot(g, now) {
		g.endedAt = now
		s.serveQueue(s.pool(g.request.Service))
	}
}

// returnSlot returns the slot of a grant and reports whether it was held.
func (s *Scheduler) returnSlot(g *Grant, now time.Time) bool {
	t := g.target
	if _, ok := t.openGrants[g]; !ok {
		return false
	}
	delete(t.openGrants, g)
	delete(s.pool(g.request.Service).openGrants, g)
	t.released = append(t.released, now)
	return true
}

func (s *Scheduler) release(g *Grant, o Outcome) {
	t, now := g.target, s.now()
	ended := now
	switch {
	case s.returnSlot(g, now):
	case g.endedAt.IsZero():
		return // released before
	default:
		ended, g.endedAt = g.endedAt, time.Time{}
	}
	p := s.pool(g.request.Service)
	s.calibration.observeEnd(g, o, ended)
	if o == Served {
		t.stated.served(t.record.Slots)
		hold := ended.Sub(g.grantedAt)
		p.holdTime += time.Duration(timeAverageWeight * float64(hold-p.holdTime))
		if !g.request.Resumed {
			p.cost.ObservePrediction(g.duration, hold)
			p.cost.ObserveEnd(&t.cost, g.request.Work, g.Events, ended.Sub(g.respondedAt), hold)
		}
	}
	if o == Unreachable || o == Unused {
		s.limits.Return(now, t.record.ID)
	}
	if s.versions != nil && g.versions.HasPermit() && !g.Counted {
		s.versions.ReturnPermit(now, g.request.Service, g.versions)
	}
	ejected, returned := t.recordOutcome(now, g, o)
	if ejected {
		s.observer.TargetEjected(t.record.ID, t.record.Service, o, t.backoff)
	}
	if returned {
		s.observer.TargetReturned(t.record.ID, t.record.Service)
	}
	s.serveQueue(p)
}

// GrantFreeSlots drops expired reports and grants free slots to waiting requests. It
// must be called at intervals, because slots also become free when other entries
// release them.
func (s *Scheduler) GrantFreeSlots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireReports()
	s.notifyRateLimits(s.limits.Update(s.now()))
	s.grantFreeSlots()
}

// GrantInterval is the base of the interval between calls of GrantFreeSlots; callers
// may use a small multiple of it.
const GrantInterval = grantInterval

// grantFreeSlots grants free slots to the waiting requests of all services. The
// caller must hold s.mu.
func (s *Scheduler) grantFreeSlots() {
	for _, p := range s.services {
		s.serveQueue(p)
	}
}

// maxPassedOver bounds the waiting requests that are passed over, because no free slot
// suits them, when free slots are granted. It holds for those with HandOver apart from the
// others: they do not hold these up, and a service that has stalled may have hundreds, of which
// each costs a look at all targets and at the queue.
const maxPassedOver = 16

// serveQueue grants free slots to the waiting requests of one service and refuses those
// that would wait for too long.
func (s *Scheduler) serveQueue(p *pool) {
	now := s.now()
	p.markLate(now)
	s.refuseStopping(p, now)
	s.refuseCut(p, now)
	p.refuseLateHandOvers(now)
	s.grantFreeSlotsOf(p, now)
	s.refuseBlocked(p, now)
	s.refusePaused(p, now)
	s.refuseHopeless(p, now)
}

// grantFreeSlotsOf grants slots to the waiting requests of one service in the order of
// the queue. A request that no free slot suits is passed over. Those with HandOver are tried
// in turns.
func (s *Scheduler) grantFreeSlotsOf(p *pool, now time.Time) {
	passedOver, handOvers := 0, 0
	for i := 0; i < len(p.queue) && passedOver < maxPassedOver && p.hasRoom(s.policies.admission.QueuedRequests+overcommitSlots); {
		w := p.queue[i]
		if w.request.HandOver {
			if handOvers++; handOvers <= p.handOverTurn || handOvers > p.handOverTurn+maxPassedOver {
				i++
				continue
			}
		}
		if !s.hasTargetByVersion(p, w.request, now) {
			p.queue = slices.Delete(p.queue, i, i+1)
			w.refuse(&Refusal{Reason: ReasonNoTarget, RetryAfter: s.addJitter(noTargetRetryAfter)})
			continue
		}
		g := s.grantByVersion(p, w.request, now, fitsObjective)
		if g == nil {
			if !w.request.HandOver { // it has a target and does not hold up others
				passedOver++
			}
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		w.accept(g, now)
	}
	if p.handOverTurn += maxPassedOver; p.handOverTurn >= handOvers {
		p.handOverTurn = 0
	}
}

// hasRoom reports whether some target has fewer open requests than its slots and the
// given number more.
func (p *pool) hasRoom(more int) bool {
	for _, t := range p.subset {
		if t.outstanding() < t.record.Slots+more {
			return true
		}
	}
	return false
}
