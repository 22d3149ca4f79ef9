package rollout

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// acknowledgeTime is the time from the planned end of the last request at an old target to
	// the limit: entries report to all others every second, a report may be lost, and the
	// leader writes the plan.
	acknowledgeTime = 2 * time.Second
	// maxAcknowledgeShare and maxHandoverShare bound acknowledgeTime and the hand-over before
	// it to parts of the duration of an order, so that a short order has a trial too.
	maxAcknowledgeShare = 0.25
	maxHandoverShare    = 0.4
	// completionMargin is the time from the write of the plan Completed, if nothing delays it,
	// to the limit. Until then the new targets are observed under the whole load.
	completionMargin   = 800 * time.Millisecond
	maxCompletionShare = 0.15
	// reopenMargin is the part of the time for the rollback that passes before a bad version
	// is found, by reports from the other entries.
	reopenMargin = 2 * time.Second
	// overrunPart is the part of the longest request so far by which requests may take longer
	// than predicted.
	overrunPart, maxOverrunShare = 0.35, 0.08
	// longestMargin is how much longer than the longest request so far another may take.
	longestMargin = 1.25
	minHandover   = 300 * time.Millisecond
	// noTargetsTime is how long a list without new targets is taken as a change in progress.
	noTargetsTime = 2 * time.Second
	// minUnreachable is the number of failed connections to new targets that shows, if no
	// new target has answered, that they do not work.
	minUnreachable = 3
)

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// endBy returns when the requests at the old targets are planned to have ended.
func (s *service) endBy() time.Time {
	overrun := min(share(s.longestAnywhere(), overrunPart), share(s.plan.Order.Duration, maxOverrunShare))
	planned := s.limit.Add(-min(acknowledgeTime, share(s.plan.Order.Duration, maxAcknowledgeShare)) - overrun)
	if s.plan.Phase == Handover && s.phaseAt.After(planned) {
		return s.phaseAt
	}
	return planned
}

// longestAnywhere returns the longest time that a request of any entry took lately at an old
// target.
func (s *service) longestAnywhere() time.Duration {
	longest := s.longestOld()
	for _, p := range s.peers {
		longest = max(longest, p.oldTime)
	}
	return longest
}

// handoverAt returns when the hand-over begins.
func (l *Ledger) handoverAt(s *service) time.Time {
	need := min(share(s.longestAnywhere(), longestMargin), l.maxRouteTimeout())
	need = min(max(need, minHandover), share(s.plan.Order.Duration, maxHandoverShare))
	return s.endBy().Add(-need)
}

func (l *Ledger) maxRouteTimeout() time.Duration {
	if l.cfg.MaxRouteTimeout == nil {
		return 0
	}
	return l.cfg.MaxRouteTimeout()
}

// advance applies what follows from the time and from the evidence.
func (l *Ledger) advance(now time.Time, s *service) {
	l.touch(now)
	if s.plan.Number == 0 || s.plan.Phase.Terminal() {
		return
	}
	if s.bad != "" {
		s.reopen(now, l.cfg.RollbackTime)
		return
	}
	if reason := s.evidence.judge(now); reason != "" {
		l.findBad(now, s, reason, "")
		return
	}
	if s.plan.Phase != Handover || s.drained || len(s.targets.fresh) == 0 {
		return
	}
	end := s.endBy()
	if now.Before(end) || s.openAt.Before(end) || s.statedOld > 0 || s.oldOpen() > 0 {
		return
	}
	s.drained = true
	l.unreported = max(l.unreported, 1)
	if l.otherEntries(now) <= fewEntries {
		l.unreported = verdictReports
	}
	l.log(s, "old targets drained", "", "")
}

// reopen lets requests go to the old targets again after a bad version was found. If this
// entry has reported that it sends nothing there, the leader may have written that the
// roll-out is completed, so the entry waits for the plan as long as the time for the
// rollback allows.
func (s *service) reopen(now time.Time, rollback time.Duration) {
	if s.drained && now.Sub(s.badAt) >= rollback-reopenMargin {
		s.drained = false
	}
}

// Decide returns the next plan of a service that the leader is to write, if any. The leader
// calls StoredPlan after the write has succeeded or after it has read another plan. The
// plan takes effect only then.
func (l *Ledger) Decide(now time.Time, name state.Service) (Plan, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil || !l.loaded || s.plan.Number == 0 {
		return Plan{}, false
	}
	l.advance(now, s)
	next := s.planAt(now)
	if s.stored.Number < s.plan.Number && !s.plan.Phase.Terminal() {
		return next, true // an order is announced before it is decided
	}
	if phase, reason := l.nextPhase(now, s); phase != s.plan.Phase {
		next.Phase, next.Reason = phase, reason
	}
	return next, s.isBehind(next)
}

// isBehind reports whether the store lacks what a plan says.
func (s *service) isBehind(p Plan) bool {
	return s.stored.Number < p.Number || s.stored.Number == p.Number &&
		(s.stored.Phase < p.Phase && !s.stored.Phase.Terminal() || s.stored.Order.Position.Offset < p.Order.Position.Offset)
}

// nextPhase returns the phase that the roll-out should be in, and why it is to be reverted.
func (l *Ledger) nextPhase(now time.Time, s *service) (Phase, string) {
	phase := s.plan.Phase
	switch {
	case phase.Terminal():
		return phase, s.plan.Reason
	case s.bad != "":
		return Reverted, s.bad
	case phase == Trial && now.Before(l.handoverAt(s)):
		return phase, ""
	case len(s.targets.fresh) == 0:
		if !s.targets.emptyAt.IsZero() && now.Sub(s.targets.emptyAt) >= noTargetsTime && !now.Before(s.limit) {
			return Reverted, "no targets of the version"
		}
		return phase, ""
	case phase == Trial && s.evidence.unusable():
		return Reverted, "no target of the version answers"
	case phase == Trial:
		return Handover, ""
	case !now.Before(s.limit.Add(-min(completionMargin, share(s.plan.Order.Duration, maxCompletionShare)))) && l.allDrained(now, s):
		return Completed, ""
	}
	return phase, ""
}

// allDrained reports whether no entry has a request in progress at an old target or will
// send one: all that are heard have said so, and one that has run long enough knows it of
// those that have fallen silent.
func (l *Ledger) allDrained(now time.Time, s *service) bool {
	if !s.drained || !l.silentSettled(now, s) {
		return false
	}
	allSettled := l.settled(now, s)
	var heard []state.InstanceID
	if l.cfg.Entries != nil {
		heard = l.cfg.Entries(now)
	}
	for _, id := range heard {
		if id == l.cfg.Self {
			continue
		}
		if !l.hasDrained(s, id) {
			return false
		}
		allSettled = allSettled || s.peers[id].settled
	}
	return allSettled
}

// hasDrained reports whether the running process of another entry has drained.
func (l *Ledger) hasDrained(s *service, id state.InstanceID) bool {
	p, sp := l.peers[id], s.peers[id]
	return p != nil && sp != nil && sp.incarnation == p.incarnation && sp.drained
}

// settled reports whether all entries that can have requests in progress at old targets
// are known here to have drained. For that, this entry must have run for the longest time
// limit of a route, so that it has heard of those that fell silent within that time.
func (l *Ledger) settled(now time.Time, s *service) bool {
	return s.drained && now.Sub(l.startedAt) > l.maxRouteTimeout() && l.silentSettled(now, s)
}

// silentSettled reports whether each entry that was heard has drained, or has been silent
// for so long that it has no requests in progress.
func (l *Ledger) silentSettled(now time.Time, s *service) bool {
	timeout := l.maxRouteTimeout()
	for id, p := range l.peers {
		if now.Sub(p.heardAt) <= timeout && !l.hasDrained(s, id) {
			return false
		}
	}
	return true
}
