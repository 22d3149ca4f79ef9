package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request in the queue. done is closed once grant or refusal is set.
type waiter struct {
	request  *Request
	serial   uint64 // order of arrival at the service
	queuedAt time.Time
	// unreviewed says that the predicted wait is to be compared with the limit.
	unreviewed bool
	done       chan struct{}
	grant      *Grant
	refusal    *Refusal
}

func (w *waiter) result() (*Grant, error) {
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.grant, nil
}

// accept gives w the grant g.
func (w *waiter) accept(g *Grant, now time.Time) {
	g.Waited = now.Sub(w.queuedAt)
	w.grant = g
	close(w.done)
}

func (w *waiter) refuse(r *Refusal) {
	w.refusal = r
	close(w.done)
}

// queue holds the waiters in the order in which they are served, see compareWaiters.
type queue []*waiter

// compareWaiters orders by rank, see compareRanks, and within a rank by queueTime.
func compareWaiters(a, b *waiter) int {
	if c := compareRanks(a.request, b.request); c != 0 {
		return c
	}
	if c := a.request.queueTime().Compare(b.request.queueTime()); c != 0 {
		return c
	}
	return cmp.Compare(a.serial, b.serial)
}

// insert puts w in its place.
func (q *queue) insert(w *waiter) {
	i, _ := slices.BinarySearchFunc(*q, w, compareWaiters)
	*q = slices.Insert(*q, i, w)
}

// position returns how many waiters are before w.
func (q queue) position(w *waiter) int { return slices.Index(q, w) }

// remove removes w if it is waiting.
func (q *queue) remove(w *waiter) {
	if i := q.position(w); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// missedObjectivePenalty is the number of ranks by which a request is demoted once
// its objective is missed: the slot that it would take may let a request of the next
// rank meet its objective.
const missedObjectivePenalty = 1

// effectiveRank returns the rank by which r is queued.
func (r *Request) effectiveRank() int {
	if r.ObjectiveMissed {
		return r.Rank + missedObjectivePenalty
	}
	return r.Rank
}

// sizeWeight is the share of its predicted duration by which a request goes behind
// shorter ones that arrive later. When slots are short, more requests are on time if
// short ones go first.
const sizeWeight = 0.3

// queueTime orders requests of the same rank.
func (r *Request) queueTime() time.Time {
	return r.Arrived.Add(time.Duration(sizeWeight * float64(r.typicalDuration)))
}

// compareRanks returns -1 if a is served before b whatever their times are, 1 if b is
// served before a, or 0. Requests that were admitted before go first, then those with
// the lower effective rank, then those that can still meet their objective.
func compareRanks(a, b *Request) int {
	if c := compareBool(b.AlreadyAdmitted, a.AlreadyAdmitted); c != 0 {
		return c
	}
	if c := cmp.Compare(a.effectiveRank(), b.effectiveRank()); c != 0 {
		return c
	}
	return compareBool(a.ObjectiveMissed, b.ObjectiveMissed)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// median sorts v and returns its median, the upper one of two, or fallback if v is
// empty.
func median(v []float64, fallback float64) float64 {
	if len(v) == 0 {
		return fallback
	}
	slices.Sort(v)
	return v[len(v)/2]
}
