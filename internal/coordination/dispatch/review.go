package dispatch

import (
	"slices"
	"time"
)

const (
	// minRankShare is the share of the freed slots that a request is predicted to get,
	// however many requests that precede it arrive.
	minRankShare = 0.1
	// minHoldTime bounds the rate at which one slot is predicted to be freed.
	minHoldTime = 20 * time.Millisecond
	// minFreedPerSecond keeps the predicted wait finite when all targets state limits of
	// which this entry has no part.
	minFreedPerSecond = 0.01
	// lateWaitShare is the share of its objective that a request which has just missed
	// it may be predicted to wait. Its caller is better told to come back after a burst.
	lateWaitShare = 0.5
	// returnWaitShare is the share of the time left that a request which is late from
	// the start may be predicted to wait. Its caller has no other attempt.
	returnWaitShare = 0.15
)

// markLate marks the waiting requests that would miss their objective even if they got
// a slot now, and reorders the queue.
func (p *pool) markLate(now time.Time) {
	changed := false
	for _, w := range p.queue {
		if r := w.request; !r.ObjectiveMissed && r.late(now) {
			r.ObjectiveMissed, w.unreviewed, changed = true, true, true
		}
	}
	if changed {
		slices.SortFunc(p.queue, compareWaiters)
	}
}

// late reports whether r would miss its objective if it got a slot at the given time.
func (r *Request) late(at time.Time) bool {
	return at.Add(r.typicalResponse).After(r.Arrived.Add(r.Objective))
}

// refuseHopeless refuses waiting requests that would wait for too long. A request is
// reviewed when it is queued, when it misses its objective, and when its caller is about
// to leave. One that only waits for a target that suits it better than the free ones
// takes one of these instead.
func (s *Scheduler) refuseHopeless(p *pool, now time.Time) {
	for _, w := range slices.Clone(p.queue) {
		callerLeaves := w.request.callerLeaves(now)
		if w.request.AlreadyAdmitted || !w.unreviewed && !callerLeaves {
			continue
		}
		w.unreviewed = false
		ahead := p.queue.position(w)
		predicted := s.predictWait(p, w.request, ahead, now)
		if !callerLeaves && predicted <= s.waitLimit(w, now) && len(p.queue) <= maxQueueLength {
			continue
		}
		if g := s.grantByVersion(p, w.request, now, fitsNeither); g != nil {
			p.queue.remove(w)
			w.accept(g, now)
			continue
		}
		p.queue.remove(w)
		w.refuse(&Refusal{Reason: ReasonOverload, RetryAfter: s.retryAfter(predicted), Ahead: ahead, PredictedWait: predicted, Limited: s.limitedTargets(p, now)})
	}
}

// callerLeaves reports whether the caller will have left before a response can start.
func (r *Request) callerLeaves(now time.Time) bool {
	return !r.CallerLeaves.IsZero() && now.Add(r.typicalResponse).After(r.CallerLeaves)
}

// waitLimit returns the longest wait from now on that w may be predicted to have. While
// its objective can be met, and just after it was missed, the limit is a share of the
// objective. A request that was late when it was queued, because it returns after a
// refusal or because of its size, may wait for a share of the time that is left.
func (s *Scheduler) waitLimit(w *waiter, now time.Time) time.Duration {
	r, a := w.request, &s.policies.admission
	switch {
	case !r.ObjectiveMissed:
		return time.Duration(a.RefuseShare * float64(r.Objective))
	case r.late(w.queuedAt):
		limit := time.Duration(returnWaitShare * float64(r.Deadline.Sub(now)))
		if !r.CallerLeaves.IsZero() {
			limit = min(limit, r.CallerLeaves.Sub(now)-r.typicalResponse)
		}
		return limit
	default:
		return time.Duration(lateWaitShare * float64(r.Objective))
	}
}

// predictWait returns the predicted wait of r when ahead waiting requests are served
// before it. Each open request of this entry frees its slot after its predicted
// duration, and requests that arrive in the meantime and precede r take some of the
// freed slots.
func (s *Scheduler) predictWait(p *pool, r *Request, ahead int, now time.Time) time.Duration {
	freedPerSecond := s.freedPerSecond(p, now)
	precedingPerSecond := 0.0
	for rank := range min(r.precedingRanks(), maxRanks) {
		precedingPerSecond += p.arrivalRates[rank].perSecond(now)
	}
	availablePerSecond := max(minRankShare*freedPerSecond, freedPerSecond-precedingPerSecond)
	return time.Duration(float64(ahead+1) / availablePerSecond * float64(time.Second))
}

// freedPerSecond returns the predicted number of requests a second that this entry can send
// to the targets of a service. A target that states a limit takes no more than this entry's
// part of it, however many of its slots are free.
func (s *Scheduler) freedPerSecond(p *pool, now time.Time) float64 {
	sum, unlimited := minFreedPerSecond, false
	for _, t := range p.subset {
		if rate, limited := s.limits.Limited(now, t.record.ID); limited {
			sum += rate
			continue
		}
		unlimited = true
		for g := range t.openGrants {
			sum += 1 / max(minHoldTime, g.duration).Seconds()
		}
	}
	if unlimited {
		sum += 1 / p.holdTime.Seconds()
	}
	return sum
}

// limitedTargets returns how many targets of the service that this entry uses state a limit.
func (s *Scheduler) limitedTargets(p *pool, now time.Time) int {
	n := 0
	for _, t := range p.subset {
		if _, limited := s.limits.Limited(now, t.record.ID); limited {
			n++
		}
	}
	return n
}

// precedingRanks returns the number of ranks of which a request that arrives later
// precedes r, if it can still meet its objective.
func (r *Request) precedingRanks() int {
	if r.ObjectiveMissed {
		return max(0, r.effectiveRank()+1)
	}
	return max(0, r.Rank)
}

// retryAfter returns the time after which a refused request with this predicted
// wait may be retried.
func (s *Scheduler) retryAfter(predicted time.Duration) time.Duration {
	return s.addJitter(max(s.policies.admission.MinRetryAfter.Std(), 2*predicted))
}

// addJitter lengthens d by a random share of it, up to RetrySpread.
func (s *Scheduler) addJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.policies.admission.RetrySpread*s.random.Float64()))
}
