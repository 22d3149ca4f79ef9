package dispatch

import (
	"slices"
	"time"
)

// demand is the number of requests that wait at the other entries for the slots of a service, and
// the number of free slots.
type demand struct{ waiting, free int }

// demandOf returns the demand for a service.
func (s *Scheduler) demandOf(p *pool) demand {
	var d demand
	for _, t := range p.subset {
		if n := t.record.Slots + s.policies.admission.QueuedRequests - t.outstanding(); n > 0 && !t.record.Draining {
			d.free += n
		}
	}
	for _, other := range s.peerReports {
		for _, n := range other.report.Waiting[p.name] {
			d.waiting += n
		}
	}
	return d
}

// overloaded reports whether more requests wait at all entries than slots are free.
func (s *Scheduler) overloaded(p *pool) bool {
	waiting := 0
	for _, w := range p.queue {
		if !w.request.HandOver {
			waiting++
		}
	}
	d := s.demandOf(p)
	return waiting+d.waiting > d.free
}

// refusesCut reports whether r is refused slots where it is certain to be cut off by its deadline.
func (s *Scheduler) refusesCut(p *pool, r *Request) bool {
	return p.overloaded && !r.AlreadyAdmitted && !r.ResponseBegun && !r.HandOver
}

// isCut reports whether r, if it is sent to t at now, is certain to be cut off by its deadline.
func (p *pool) isCut(t *target, r *Request, now time.Time) bool {
	return now.Add(p.cost.EarliestEnd(&t.cost, r.Work, t.load())).After(r.Deadline)
}

// refuseCut refuses the waiting requests that are certain to be cut off by their deadline at every
// target, unless slots are free for all that wait. A look at all targets is needed only for
// requests that end too late at a target of usual speed.
func (s *Scheduler) refuseCut(p *pool, now time.Time) {
	p.overloaded = s.policies.admission.LateWork && len(p.queue) > 0 && s.overloaded(p)
	if !p.overloaded {
		return
	}
	for _, w := range slices.Clone(p.queue) {
		r := w.request
		if !s.refusesCut(p, r) || !now.Add(r.typicalDuration).After(r.Deadline) {
			continue
		}
		if slices.ContainsFunc(s.targetsFor(p, r, now), func(t *target) bool { return t.allows(r) && !p.isCut(t, r, now) }) {
			continue
		}
		ahead := p.queue.position(w)
		predicted := s.predictWait(p, r, ahead, now)
		p.queue.remove(w)
		w.refuse(&Refusal{Reason: ReasonTooLate, RetryAfter: s.retryAfter(predicted), Ahead: ahead, PredictedWait: predicted, Limited: s.limitedTargets(p, now)})
	}
}
