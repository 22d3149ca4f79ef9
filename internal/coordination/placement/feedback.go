package placement

import (
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// event is a message to the owner.
type event interface{ apply(o *owner) }

type (
	membersEvent struct{ members []state.Member }
	openedEvent  struct {
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
		figures *state.Figures
		at      time.Time
	}
	leavingEvent struct {
		target state.TargetID
		at     time.Time
	}
	lostEvent struct {
		target state.TargetID
		err    error
		at     time.Time
	}
	closedEvent struct{ target state.TargetID }
	wantEvent   struct{ target state.TargetID }
	sentEvent   struct {
		attempt state.AttemptID
		open    *openAttempt
	}
	endedEvent struct {
		target  state.TargetID
		attempt state.AttemptID
		outcome Outcome
		at      time.Time
	}
)

// SetMembers replaces the instance list. Entries in it are counted to estimate
// how many others send to the same targets.
func (p *Placer) SetMembers(members []state.Member) {
	p.mailbox.put(membersEvent{members: members}, false)
}

// SessionOpened tells that a session to target is live. status may be nil.
func (p *Placer) SessionOpened(target state.TargetID, incarnation state.Incarnation, status *state.Status) {
	p.mailbox.put(openedEvent{target: target, incarnation: incarnation, status: status, at: time.Now()}, false)
}

// Status records a load report of target.
func (p *Placer) Status(target state.TargetID, status *state.Status) {
	p.mailbox.put(statusEvent{target: target, status: status, at: time.Now()}, true)
}

// Figures records load figures that came with the end of an attempt.
func (p *Placer) Figures(target state.TargetID, figures *state.Figures) {
	p.mailbox.put(figuresEvent{target: target, figures: figures, at: time.Now()}, true)
}

// Leaving tells that target accepts no new work. It takes effect before the
// call returns.
func (p *Placer) Leaving(target state.TargetID) {
	now := time.Now()
	if t := p.snapshot.Load().targets[target]; t != nil {
		t.live.leave(now)
	}
	p.mailbox.put(leavingEvent{target: target, at: now}, false)
}

// SessionClosed tells that the session to target was closed because it was idle.
func (p *Placer) SessionClosed(target state.TargetID) {
	p.mailbox.put(closedEvent{target: target}, false)
}

// IsLeaving reports whether target is known to leave, by its own word or by the
// instance list.
func (p *Placer) IsLeaving(target state.TargetID) bool {
	t := p.snapshot.Load().targets[target]
	return t != nil && t.live.leaving()
}

// SessionLost tells that the session to target failed or could not be opened.
func (p *Placer) SessionLost(target state.TargetID, err error) {
	p.mailbox.put(lostEvent{target: target, err: err, at: time.Now()}, false)
}

// Sent tells that an attempt is being dispatched. The next Place takes it into
// account. Every Sent is followed by one Ended.
func (p *Placer) Sent(target state.TargetID, attempt state.AttemptID, req *state.Request, blocks []uint64) {
	t := p.snapshot.Load().targets[target]
	if t == nil {
		return
	}
	now := time.Now()
	state.Assert(!t.live.leftFor(now, leavingLimit), state.LeavingIdle,
		fmt.Sprintf("attempt %s of request %s sent to leaving target %s", attempt, req.ID, target))
	found := min(p.prefixes.lookup(blocks)[target], len(blocks))
	open := &openAttempt{
		target: target, live: t.live, work: workOf(req, t.trusted(found)),
		sent: now, probe: t.live.sendProbe(), cached: found, blocks: blocks,
	}
	t.live.add(open.work, 1)
	p.prefixes.add(target, blocks)
	p.mailbox.put(sentEvent{attempt: attempt, open: open}, false)
}

// Ended tells how an attempt ended.
func (p *Placer) Ended(target state.TargetID, attempt state.AttemptID, outcome Outcome) {
	now := time.Now()
	if outcome.Reason == state.ReasonLeaving {
		p.Leaving(target)
	}
	p.mailbox.put(endedEvent{target: target, attempt: attempt, outcome: outcome, at: now}, false)
}
