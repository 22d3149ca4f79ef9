package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// VersionJudge learns how requests end at the software versions of targets. *rollout.Ledger
// implements it.
type VersionJudge interface {
	Observe(now time.Time, o rollout.Observation)
	OverdueRatio(service state.Service, target state.TargetID, route string) float64
}

// watchOverdue tells what judges versions if the response takes so long to start that it counts
// as slow, which need not wait for its end then. stop ends the watch.
func (a *attempt) watchOverdue() (stop func()) {
	r := a.request
	if r.service.cfg.Rollouts == nil {
		return func() {}
	}
	usual := r.service.cfg.Scheduler.UsualResponse(a.grant)
	if usual == 0 {
		return func() {}
	}
	ratio := r.service.cfg.Rollouts.OverdueRatio(r.targetService, a.grant.Target.ID, r.route.Name)
	a.overdueTimer = time.AfterFunc(time.Duration(ratio*float64(usual)), func() {
		a.overdue.Store(true)
		reached, slowness := r.service.cfg.Scheduler.RelativeTime(a.grant)
		a.judge(rollout.Overdue, max(reached, ratio), slowness)
	})
	return func() { a.overdueTimer.Stop() }
}

// relativeTime returns what Scheduler.RelativeTime does, for a complete response and for one
// that the caller did not wait for. It is 0 if nothing judges versions.
func (r *request) relativeTime(g *dispatch.Grant, o dispatch.Outcome) (ratio, slowness float64) {
	if r.service.cfg.Rollouts == nil {
		return 0, 0
	}
	ratio, slowness = r.service.cfg.Scheduler.RelativeTime(g)
	if o != dispatch.Served && (o != dispatch.Cancelled || g.Events > 0) {
		ratio = 0
	}
	return ratio, slowness
}

// observeVersion passes the end of the attempt to what judges versions. suspected says that
// the request is known to crash targets.
func (a *attempt) observeVersion(o dispatch.Outcome, err error, suspected bool, ratio, slowness float64) {
	r := a.request
	if r.service.cfg.Rollouts == nil || !a.grant.Counted {
		return
	}
	a.judge(versionOutcome(o, err, suspected), ratio, slowness)
}

// observeBegun passes the time until the first event of a stream to what judges versions, which
// need not wait for the end of the stream then.
func (a *attempt) observeBegun() {
	if a.request.service.cfg.Rollouts == nil || !a.grant.Counted {
		return
	}
	if a.overdueTimer != nil {
		a.overdueTimer.Stop()
	}
	ratio, slowness := a.request.service.cfg.Scheduler.RelativeTime(a.grant)
	a.judge(rollout.Begun, ratio, slowness)
}

func (a *attempt) judge(o rollout.Outcome, ratio, slowness float64) {
	r, now := a.request, time.Now()
	r.service.cfg.Counters.Add(fmt.Sprintf("version.%s.%s.%s", r.targetService, a.grant.Target.Software, outcomeNames[o]))
	r.service.cfg.Rollouts.Observe(now, rollout.Observation{
		Service: r.targetService, Target: a.grant.Target.ID, Software: a.grant.Target.Software, Route: r.route.Name,
		Outcome: o, Took: now.Sub(a.sentAt), OverdueBefore: o != rollout.Overdue && a.overdue.Load(), Ratio: ratio, Slowness: slowness,
	})
}

// outcomeNames are the names of outcomes in the metrics.
var outcomeNames = map[rollout.Outcome]string{
	rollout.Answered: "answered", rollout.Failed: "failed", rollout.Refused: "refused", rollout.Lost: "lost", rollout.TimedOut: "timed_out",
	rollout.Unreachable: "unreachable", rollout.Ignored: "ignored", rollout.Begun: "begun", rollout.Overdue: "overdue",
}

// versionOutcome says what the end of an attempt tells of the software version of its target.
func versionOutcome(o dispatch.Outcome, err error, suspected bool) rollout.Outcome {
	switch o {
	case dispatch.Served:
		return rollout.Answered
	case dispatch.Failed:
		return rollout.Failed
	case dispatch.Rejected:
		return rollout.Refused
	case dispatch.Unreachable:
		return rollout.Unreachable
	case dispatch.Silent:
		return rollout.TimedOut
	case dispatch.Broken:
		switch {
		case suspected, errors.Is(err, errNoMemory):
			return rollout.Ignored
		case isEndOfConnection(err):
			return rollout.Lost
		default:
			return rollout.Failed
		}
	default: // the caller left, the entry stops, or the target is another one
		return rollout.Ignored
	}
}
