package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// waiter is a request in the queue. done is closed once grant or refusal is set.
type waiter struct {
	request  *Request
	serial   uint64 // order of arrival at the service
	queuedAt time.Time
	index    int // in the heap
	done     chan struct{}
	grant    *Grant
	refusal  *Refusal
}

func (w *waiter) result() (*Grant, error) {
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.grant, nil
}

func (w *waiter) refuse(r *Refusal) {
	w.refusal = r
	close(w.done)
}

// queue is a heap of waiters, ordered by precedes.
type queue []*waiter

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return precedes(q[i].request, q[i].serial, q[j].request, q[j].serial)
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return w
}

func (q *queue) remove(w *waiter) {
	if w.index < len(*q) && (*q)[w.index] == w {
		heap.Remove(q, w.index)
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

// precedes reports whether a is served before b. Requests that were admitted before
// go first, then those with the lower effective rank, then those that can still meet
// their objective, then those that arrived first.
func precedes(a *Request, aSerial uint64, b *Request, bSerial uint64) bool {
	if a.AlreadyAdmitted != b.AlreadyAdmitted {
		return a.AlreadyAdmitted
	}
	if a.effectiveRank() != b.effectiveRank() {
		return a.effectiveRank() < b.effectiveRank()
	}
	if a.ObjectiveMissed != b.ObjectiveMissed {
		return b.ObjectiveMissed
	}
	return aSerial < bSerial
}

// demoteLate marks the waiting requests that would miss their objective even if they
// got a slot now, when responses start responseDelay after the grant, and reorders
// the queue.
func (q *queue) demoteLate(now time.Time, responseDelay time.Duration) {
	changed := false
	for _, w := range *q {
		if r := w.request; !r.ObjectiveMissed && now.Add(responseDelay).After(r.Arrived.Add(r.Objective)) {
			r.ObjectiveMissed, changed = true, true
		}
	}
	if changed {
		heap.Init(q)
	}
}

// requestsAhead returns how many waiting requests would be served before r if r were
// queued now.
func (q queue) requestsAhead(r *Request) int {
	n := 0
	for _, w := range q {
		if precedes(w.request, w.serial, r, ^uint64(0)) {
			n++
		}
	}
	return n
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
