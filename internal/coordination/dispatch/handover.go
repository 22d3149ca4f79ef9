package dispatch

import (
	"slices"
	"time"
)

// takesOver reports whether t is a sound target at which r, which is still at another one,
// ends before its deadline even if it takes longer than predicted: a response that has begun
// there would be lost at the deadline.
func (p *pool) takesOver(t *target, r *Request, now time.Time) bool {
	return t.ejectedUntil.IsZero() && r.leavesTimeFor(longestFactor*p.cost.End(&t.cost, r.Work, t.load()), now)
}

// leavesTimeFor reports whether r, which is still at another target, may take d from now on.
func (r *Request) leavesTimeFor(d time.Duration, now time.Time) bool {
	return !now.Add(max(d, r.HandOverTime)).After(r.Deadline)
}

// refuseLateHandOvers refuses the waiting requests that are still at another target and no
// longer end in time elsewhere, so that they do not hold up those behind them. They are
// among the admitted requests at the head of the queue.
func (p *pool) refuseLateHandOvers(now time.Time) {
	for i := 0; i < len(p.queue) && p.queue[i].request.AlreadyAdmitted; {
		w := p.queue[i]
		if r := w.request; !r.HandOver || r.leavesTimeFor(longestFactor*r.typicalDuration, now) {
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		w.refuse(&Refusal{Reason: ReasonLateHandOver})
	}
}
