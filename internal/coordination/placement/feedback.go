package placement

import (
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// event is a message to the owner.
type event interface{ apply(o *owner) }

type (
	membersEvent       struct{ members []state.Member }
	sessionOpenedEvent struct {
		target      state.TargetID
		incarnation state.Incarnation
		status      *state.Status // nil when unknown
		at          time.Time
	}
	statusEvent struct {
		target state.TargetID
		status *state.Status
		at     time.Time
	}
	figuresEvent struct {
		target  state.TargetID
		figures *state.LoadFigures
		at      time.Time
	}
	targetLeavingEvent struct {
		target state.TargetID
		at     time.Time
	}
	sessionLostEvent struct {
		target state.TargetID
		err    error
		at     time.Time
	}
	sessionClosedEvent    struct{ target state.TargetID }
	sessionRequestedEvent struct{ target state.TargetID }
	attemptSentEvent      struct {
		attempt state.AttemptID
		open    *openAttempt
	}
	attemptEndedEvent struct {
		target  state.TargetID
		attempt state.AttemptID
		outcome Outcome
		at      time.Time
	}
)

// SetMembers replaces the instance list. The entries in it are counted to
// estimate how many entries send to the same target.
func (p *Placer) SetMembers(members []state.Member) {
	p.mailbox.put(membersEvent{members: members}, false)
}

// SessionOpened records that a session to target is live. status may be nil.
func (p *Placer) SessionOpened(target state.TargetID, incarnation state.Incarnation, status *state.Status) {
	p.mailbox.put(sessionOpenedEvent{target: target, incarnation: incarnation, status: status, at: time.Now()}, false)
}

// StatusReceived records a load report of target.
func (p *Placer) StatusReceived(target state.TargetID, status *state.Status) {
	p.mailbox.put(statusEvent{target: target, status: status, at: time.Now()}, true)
}

// FiguresReceived records load figures of target that came with the end of an attempt.
func (p *Placer) FiguresReceived(target state.TargetID, figures *state.LoadFigures) {
	p.mailbox.put(figuresEvent{target: target, figures: figures, at: time.Now()}, true)
}

// TargetLeaving records that target accepts no new work. It takes effect before
// the call returns.
func (p *Placer) TargetLeaving(target state.TargetID) {
	now := time.Now()
	if t := p.snapshot.Load().targets[target]; t != nil {
		t.shared.markLeaving(now)
	}
	p.mailbox.put(targetLeavingEvent{target: target, at: now}, false)
}

// SessionClosed records that the session to target was closed because it was
// idle.
func (p *Placer) SessionClosed(target state.TargetID) {
	p.mailbox.put(sessionClosedEvent{target: target}, false)
}

// IsLeaving reports whether target is known to leave, from its side process or
// from the instance list.
func (p *Placer) IsLeaving(target state.TargetID) bool {
	t := p.snapshot.Load().targets[target]
	return t != nil && t.shared.isLeaving()
}

// SessionLost records that the session to target failed or could not be opened.
func (p *Placer) SessionLost(target state.TargetID, err error) {
	p.mailbox.put(sessionLostEvent{target: target, err: err, at: time.Now()}, false)
}

// AttemptSent records that an attempt is being dispatched. The next Place takes it into
// account. Every AttemptSent is followed by one AttemptEnded.
func (p *Placer) AttemptSent(target state.TargetID, attempt state.AttemptID, req *state.Request, blocks []uint64) {
	t := p.snapshot.Load().targets[target]
	if t == nil {
		return
	}
	now := time.Now()
	state.Assert(!t.shared.leavingLongerThan(now, leavingGracePeriod), state.LeavingIdle,
		fmt.Sprintf("attempt %s of request %s sent to leaving target %s", attempt, req.ID, target))
	indexed := min(p.prefixes.lookup(blocks)[target], len(blocks))
	open := &openAttempt{
		target: target, shared: t.shared, cost: estimateCost(req, t.expectedCachedBlocks(indexed)),
		sentAt: now, isProbe: t.shared.markProbeSent(), indexedBlocks: indexed, blocks: blocks,
	}
	t.shared.addCost(open.cost, 1)
	p.prefixes.add(target, blocks)
	p.mailbox.put(attemptSentEvent{attempt: attempt, open: open}, false)
}

// AttemptEnded records how an attempt ended.
func (p *Placer) AttemptEnded(target state.TargetID, attempt state.AttemptID, outcome Outcome) {
	now := time.Now()
	if outcome.Reason == state.ReasonLeaving {
		p.TargetLeaving(target)
	}
	p.mailbox.put(attemptEndedEvent{target: target, attempt: attempt, outcome: outcome, at: now}, false)
}
