// Package ratelimit knows the limits that targets state in their responses: how many
// requests a second a target takes from all entries together, for as long as its
// responses say so.
package ratelimit

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Ledger holds the limits that targets have stated. It is not safe for concurrent use.
type Ledger struct {
	targets map[state.TargetID]*target
}

// target is what is known of the limit of one target.
type target struct {
	limit state.RateLimit
	// observedAt orders what is known: a stated limit counts from the arrival of its
	// response, and a response without one from when its request was sent. So a response
	// that was under way when the target began to state a limit does not end it.
	observedAt time.Time
}

// New returns a ledger without limits.
func New() *Ledger { return &Ledger{targets: make(map[state.TargetID]*target)} }

// Change is a change of what is known of a target's limit.
type Change struct {
	Target   state.TargetID
	From, To state.RateLimit
	Age      time.Duration // since the observation
}

// Observe records what a response that arrived at now, to a request that was sent at
// sentAt, states about the target's limit. It returns nil if nothing changed.
func (l *Ledger) Observe(now, sentAt time.Time, id state.TargetID, limit state.RateLimit) *Change {
	at := sentAt
	if limit.Stated {
		at = now
	}
	return l.learn(now, at, id, limit)
}

// learn records an observation unless a later one is known.
func (l *Ledger) learn(now, at time.Time, id state.TargetID, limit state.RateLimit) *Change {
	t := l.targets[id]
	if t == nil {
		if !limit.Stated {
			return nil
		}
		t = &target{}
		l.targets[id] = t
	}
	if !at.After(t.observedAt) {
		return nil
	}
	before := t.limit
	t.limit, t.observedAt = limit, at
	if before == limit {
		return nil
	}
	return &Change{Target: id, From: before, To: limit, Age: now.Sub(at)}
}

// Limit returns the limit of a target that is known to be in force.
func (l *Ledger) Limit(id state.TargetID) state.RateLimit {
	if t := l.targets[id]; t != nil {
		return t.limit
	}
	return state.RateLimit{}
}

// Retain forgets the targets for which keep returns false.
func (l *Ledger) Retain(keep func(state.TargetID) bool) {
	for id := range l.targets {
		if !keep(id) {
			delete(l.targets, id)
		}
	}
}
