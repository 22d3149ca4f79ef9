package dispatch

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxPauseJitter is by how much a pause is lengthened at most, so that entries which were
	// told at one time do not all come back at one time.
	maxPauseJitter = 250 * time.Millisecond
	// leavingMemory is how long a target that has said that it leaves is remembered while it
	// is not listed.
	leavingMemory = 10 * time.Minute
)

// targetRun identifies one run of a target. Its successor at the same address, or a new run
// under the same identifier, has stated nothing yet.
type targetRun struct {
	id      state.TargetID
	address string
	started int64
}

func runOf(r *state.TargetRecord) targetRun { return targetRun{r.ID, r.Address, r.Started} }

// statement is what a run of a target has stated to this entry. The limit that it states for
// all entries together is in package ratelimit. A statement outlives the target's place in
// the list, which may be lost and come back.
type statement struct {
	// pausedUntil is until when the target wants no requests from this entry.
	pausedUntil time.Time
	// openLimit bounds the open requests of this entry that were granted since the pause; 0:
	// no bound. It grows with each of them that is served.
	openLimit int
	// leavingSince is when the target first said that it leaves; zero if it did not. It does
	// not come back.
	leavingSince time.Time
	// load is what the target stated last. Placement does not go by it: with many entries it
	// is older than what they report to each other.
	load state.StatedLoad
}

func (st *statement) leaving() bool { return !st.leavingSince.IsZero() }

// takes reports whether the target takes requests from this entry at all.
func (st *statement) takes(now time.Time) bool { return !st.leaving() && !now.Before(st.pausedUntil) }

// inEffect reports whether the statement would be missed if the target were listed again.
func (st *statement) inEffect(now time.Time) bool {
	return now.Before(st.pausedUntil) || st.leaving() && now.Sub(st.leavingSince) < leavingMemory
}

// pause begins a pause. One that ends before the present one changes nothing.
func (st *statement) pause(until time.Time) bool {
	if !until.After(st.pausedUntil) {
		return false
	}
	st.pausedUntil, st.openLimit = until, 1
	return true
}

// served records that a request granted since the pause was served. slots is the number of
// open requests from which on there is no bound.
func (st *statement) served(slots int) {
	if st.openLimit == 0 {
		return
	}
	if st.openLimit++; st.openLimit >= slots {
		st.openLimit = 0
	}
}

// statementOf returns the statement of a run of a target.
func (s *Scheduler) statementOf(r *state.TargetRecord) *statement {
	run := runOf(r)
	if s.statements[run] == nil {
		s.statements[run] = &statement{}
	}
	return s.statements[run]
}

// dropStatements drops the statements of runs that are not listed, unless they are in effect.
func (s *Scheduler) dropStatements(now time.Time) {
	for run, st := range s.statements {
		if t := s.targets[run.id]; (t == nil || t.stated != st) && !st.inEffect(now) {
			delete(s.statements, run)
		}
	}
}

// Observe records what a target states in the head of its response to the granted request.
// Only a signed response shows that the target states no limit any more.
func (s *Scheduler) Observe(g *Grant, stated state.Statement, signed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, st := s.now(), s.statementOf(&g.Target)
	if stated.Load.Stated {
		st.load = stated.Load
	}
	if stated.Leaving && !st.leaving() {
		st.leavingSince = now
		s.observer.TargetLeaving(g.Target.ID, g.Target.Service)
	}
	if stated.Pause > 0 {
		jitter := time.Duration(s.random.Float64() * float64(min(stated.Pause/10, maxPauseJitter)))
		if st.pause(now.Add(stated.Pause + jitter)) {
			s.observer.TargetPaused(g.Target.ID, g.Target.Service, stated.Pause)
		}
	}
	if s.targets[g.Target.ID] != g.target || stated.RateLimitErr != nil || !stated.RateLimit.Stated && !signed {
		return // the target has gone or restarted meanwhile, or its limit is not known
	}
	if c := s.limits.Observe(now, g.grantedAt, g.Target.ID, stated.RateLimit); c != nil {
		s.observer.RateLimitChanged(c)
	}
}

// Holds reports whether the granted request may still be sent, by what its target has stated
// since the grant. It is to be called just before the request is sent.
func (s *Scheduler) Holds(g *Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.target.stated.takes(s.now())
}

// mayTake reports whether a target takes a request now by what it has stated. first says
// that the request was not sent before.
func (s *Scheduler) mayTake(t *target, now time.Time, first bool) bool {
	st := t.stated
	return st.takes(now) && (st.openLimit == 0 || t.openSince(st.pausedUntil) < st.openLimit) && s.limits.Allows(now, t.record.ID, first)
}

// openSince returns the number of open requests of this entry that were granted at a time or
// later.
func (t *target) openSince(at time.Time) int {
	n := 0
	for g := range t.openGrants {
		if !g.grantedAt.Before(at) {
			n++
		}
	}
	return n
}

// pauseEnd returns when the first of the targets that r may be sent to takes requests again,
// and whether none of them does now.
func (s *Scheduler) pauseEnd(p *pool, r *Request, now time.Time) (end time.Time, allPaused bool) {
	for _, t := range s.targetsFor(p, r, now) {
		if !t.allows(r) {
			continue
		}
		if t.stated.takes(now) {
			return time.Time{}, false
		}
		if end.IsZero() || t.stated.pausedUntil.Before(end) {
			end = t.stated.pausedUntil
		}
	}
	return end, !end.IsZero()
}

// refusePaused refuses the waiting requests whose targets all pause for longer than the
// requests may wait, and says when the first of them takes requests again. A stream that
// has begun waits, because its caller cannot come back for the rest.
func (s *Scheduler) refusePaused(p *pool, now time.Time) {
	if !slices.ContainsFunc(p.allTargets, func(t *target) bool { return !t.stated.takes(now) }) {
		return
	}
	someTakes := slices.ContainsFunc(p.subset, func(t *target) bool { return !t.record.Draining && t.stated.takes(now) })
	for _, w := range slices.Clone(p.queue) {
		if someTakes && !w.request.AlreadyAdmitted {
			return // these come first in the queue; only they may have tried all that take requests
		}
		end, allPaused := s.pauseEnd(p, w.request, now)
		if !allPaused || end.Sub(now) <= s.waitLimit(w, now) || w.request.Resumed && end.Before(w.request.Deadline) {
			continue
		}
		p.queue.remove(w)
		w.refuse(&Refusal{Reason: ReasonPaused, RetryAfter: s.addJitter(end.Sub(now))})
	}
}
