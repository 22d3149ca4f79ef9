package dispatch

import (
	"math"
	"slices"
	"time"
)

// StoppingRetryAfter is the time after which a caller whose request was refused during a
// planned stop may retry, at another entry.
const StoppingRetryAfter = 50 * time.Millisecond

// The longest time that a request is assumed to take at a target, while nothing longer is
// known of the service: at an engine that is several times slower than most and has all its
// slots in use.
const (
	maxFixedTime          = 800 * time.Millisecond
	maxTimePerPromptToken = 40 * time.Microsecond
	maxTimePerOutputToken = 15 * time.Millisecond
)

// longestFactor is how many times as long as predicted a request may take.
const longestFactor = 2

// StopBy begins the end of a planned stop. From now on, a request is sent only if its
// response ends by end even if it takes long or, if it arrives from now on, even if it takes
// until its deadline. Requests that cannot, the waiting ones included, are refused with
// ReasonStopping, except those whose response has begun.
func (s *Scheduler) StopBy(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopBy, s.stopBegan = end, s.now()
	s.grantFreeSlots()
}

// longestDuration returns the longest time that r is expected to take at a target of usual
// speed without other requests.
func (p *pool) longestDuration(r *Request) time.Duration {
	_, predicted := p.cost.Typical(r.LargestWork)
	return longest(r, predicted)
}

// longest returns the longest time that r is expected to take at a target for which
// predicted is the time with the largest output.
func longest(r *Request, predicted time.Duration) time.Duration {
	w := r.LargestWork
	assumed := float64(maxFixedTime) + w.PromptTokens*float64(maxTimePerPromptToken) + w.OutputTokens*float64(maxTimePerOutputToken)
	return max(time.Duration(min(assumed, math.MaxInt64/2)), longestFactor*predicted)
}

// endsBeforeStop reports whether r, if it is sent to t at now, ends before the planned stop.
func (s *Scheduler) endsBeforeStop(p *pool, t *target, r *Request, now time.Time) bool {
	if s.stopBy.IsZero() || r.ResponseBegun && !r.HandOver {
		return true
	}
	return s.endsByItsDeadline(r) && !p.longestEnd(t, r, now).After(s.stopBy)
}

// endsByItsDeadline reports whether r has arrived before the planned stop began to end, or has its
// deadline before the end. How long a request takes can only be estimated, and one that arrives so
// late may as well be served by another entry.
func (s *Scheduler) endsByItsDeadline(r *Request) bool {
	return !r.ReadAt.After(s.stopBegan) || !r.Deadline.After(s.stopBy)
}

// longestEnd returns when r is expected to end at the latest if it is sent to t at now.
func (p *pool) longestEnd(t *target, r *Request, now time.Time) time.Time {
	return now.Add(longest(r, p.cost.End(&t.cost, r.LargestWork, t.load())))
}

// refuseStopping refuses the waiting requests that no longer end before the planned stop,
// wherever they are sent.
func (s *Scheduler) refuseStopping(p *pool, now time.Time) {
	if s.stopBy.IsZero() {
		return
	}
	for _, w := range slices.Clone(p.queue) {
		r := w.request
		if r.ResponseBegun && !r.HandOver || s.endsByItsDeadline(r) && !now.Add(p.longestDuration(r)).After(s.stopBy) {
			continue
		}
		p.queue.remove(w)
		w.refuse(&Refusal{Reason: ReasonStopping, RetryAfter: s.addJitter(StoppingRetryAfter)})
	}
}
