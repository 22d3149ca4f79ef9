package dispatch

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Versions restricts requests to software versions while one is rolled out. Its methods are
// called with the scheduler locked, so they must not block or call the scheduler.
// *rollout.Ledger implements it.
type Versions interface {
	Choose(now time.Time, service state.Service, route string) rollout.Choice
	Resume(now time.Time, service state.Service, route string, version state.SoftwareVersion) (rollout.Choice, bool)
	ReturnPermit(now time.Time, service state.Service, c rollout.Choice)
	Sent(now time.Time, service state.Service, software state.SoftwareVersion, first bool) bool
	SetOpen(now time.Time, open map[state.Service]map[state.SoftwareVersion]int)
}

// SetVersions sets what restricts requests to software versions. It must be called before the
// first request. Without it, versions make no difference.
func (s *Scheduler) SetVersions(v Versions) { s.versions = v }

// maxResumeWait is how long a stream waits for a permit of the only version that can continue
// it. Its caller is told then that the stream does not go on, rather than at its deadline.
const maxResumeWait = 300 * time.Millisecond

// chooseVersions asks which versions may serve r at now. It keeps the answer in r, and takes a
// permit with it if r may be the first attempt at a version in its trial. The caller must give
// r a slot or call declinePermit before the scheduler is unlocked.
func (s *Scheduler) chooseVersions(r *Request, now time.Time) {
	if s.versions == nil {
		return
	}
	if r.RequiredSoftware != nil {
		c, ok := s.versions.Resume(now, r.Service, r.Route, *r.RequiredSoftware)
		c.TrialTargets = nil // the stream may go on at any target of its version
		r.versions, r.versionsBlocked = c, !ok
		return
	}
	r.versions = s.versions.Choose(now, r.Service, r.Route)
	if !r.versions.HasPermit() {
		s.pool(r.Service).withoutPermit = r.versions
	}
	if len(r.Tried) > 0 || r.HandOver {
		s.declinePermit(r, now)
	}
}

// declinePermit returns the permit of r, if it has one, and restricts r to the other versions.
// A request that was sent before is not tried on the new version: an attempt that fails there
// would use up the attempts of its caller. Nor does a request wait for a target of a trial.
func (s *Scheduler) declinePermit(r *Request, now time.Time) (declined bool) {
	if s.versions == nil || !r.versions.HasPermit() {
		return false
	}
	c := r.versions
	s.versions.ReturnPermit(now, r.Service, c)
	if r.RequiredSoftware != nil {
		r.versions = rollout.Choice{} // only its version can continue the stream
		return true
	}
	r.versions = c.WithoutPermit()
	if last := s.pool(r.Service).withoutPermit; last.Kind == rollout.UntilEnd && last.Version == c.Version {
		r.versions = last // the hand-over has begun
	}
	return true
}

// hasTargetByVersion is hasTargetFor for a request that a roll-out may restrict. What it allows
// may have changed since r was looked at last.
func (s *Scheduler) hasTargetByVersion(p *pool, r *Request, now time.Time) bool {
	if s.hasTargetFor(p, r, now) {
		return true
	}
	if s.versions == nil {
		return false
	}
	s.chooseVersions(r, now)
	s.declinePermit(r, now)
	return s.hasTargetFor(p, r, now)
}

// grantByVersion is tryGrant for a request that a roll-out may restrict. A request with a
// permit that finds no free slot of the trial is placed at the other versions at once. During
// the hand-over, a target of an old version is preferred as long as the request ends there in
// time, so that the exposure to the new version does not grow before it must.
func (s *Scheduler) grantByVersion(p *pool, r *Request, now time.Time, enough fit) *Grant {
	s.chooseVersions(r, now)
	if r.versionsBlocked {
		return nil
	}
	if r.versions.Kind == rollout.UntilEnd {
		r.oldOnly = true
		g := s.tryGrant(p, r, now, enough)
		r.oldOnly = false
		if g != nil {
			return g
		}
	}
	if g := s.tryGrant(p, r, now, enough); g != nil {
		g.versions = r.versions
		return g
	}
	if s.declinePermit(r, now) && r.RequiredSoftware == nil {
		return s.tryGrant(p, r, now, enough)
	}
	return nil
}

// allowsVersion reports whether the roll-out allows r at a target, now or later.
func (r *Request) allowsVersion(t *state.TargetRecord) bool {
	if r.versions.Kind == rollout.UntilEnd {
		return !r.oldOnly || t.Software != r.versions.Version
	}
	return r.versions.Allows(t.ID, t.Software, time.Time{})
}

// endsBeforeCompletion reports whether the roll-out allows r at t if it is sent there at now:
// at a target that is given up, r must end before the planned completion.
func (p *pool) endsBeforeCompletion(t *target, r *Request, now time.Time) bool {
	if r.versions.Kind != rollout.UntilEnd {
		return true
	}
	return r.versions.Allows(t.record.ID, t.record.Software, p.longestEnd(t, r, now))
}

// refuseBlocked refuses the waiting requests that continue a stream of a version that takes no
// requests.
func (s *Scheduler) refuseBlocked(p *pool, now time.Time) {
	if s.versions == nil {
		return
	}
	for _, w := range slices.Clone(p.queue) {
		if w.request.versionsBlocked && now.Sub(w.queuedAt) > maxResumeWait {
			p.queue.remove(w)
			w.refuse(&Refusal{Reason: ReasonVersion, RetryAfter: s.addJitter(noTargetRetryAfter)})
		}
	}
}

// Sending reports whether the state of roll-outs allows the granted request to be sent now. It
// is to be called just before a connection is opened for it; the request counts as sent to the
// version of its target from then on. first says that it was not sent before.
func (s *Scheduler) Sending(g *Grant, first bool) bool {
	if s.versions == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Counted = s.versions.Sent(s.now(), g.request.Service, g.Target.Software, first)
	return g.Counted
}

// ReportOpen passes the numbers of requests in progress, by service and version, to what
// restricts versions. No request is granted a target meanwhile, so that a service without
// requests at a version stays so unless Choose allows one.
func (s *Scheduler) ReportOpen() {
	if s.versions == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions.SetOpen(s.now(), s.openByVersion())
}

// OpenByVersion returns the numbers of requests in progress by service and version.
func (s *Scheduler) OpenByVersion() map[state.Service]map[state.SoftwareVersion]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openByVersion()
}

func (s *Scheduler) openByVersion() map[state.Service]map[state.SoftwareVersion]int {
	open := make(map[state.Service]map[state.SoftwareVersion]int)
	for _, p := range s.services {
		for g := range p.openGrants {
			if open[p.name] == nil {
				open[p.name] = make(map[state.SoftwareVersion]int)
			}
			open[p.name][g.Target.Software]++
		}
	}
	return open
}

// RelativeTime returns the time that a granted request has taken, divided by the time that it
// is predicted to take so far at a target of usual speed under the load that it met, and how
// many times as long as usual the target was known to take. It is to be called before Release.
// ratio is 0 if the time tells nothing.
func (s *Scheduler) RelativeTime(g *Grant) (ratio, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(g.request.Service)
	slowness = p.cost.Slowness(&g.target.cost)
	if g.request.Resumed {
		return 0, slowness
	}
	usual := max(p.cost.Usual(g.request.Work, g.load, g.Events), time.Millisecond)
	return float64(s.now().Sub(g.grantedAt)) / float64(usual), slowness
}

// UsualResponse returns the time that the response to a granted request is predicted to take to
// start at a target of usual speed, or 0 if there is no prediction.
func (s *Scheduler) UsualResponse(g *Grant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.request.Resumed {
		return 0
	}
	return max(s.pool(g.request.Service).cost.Usual(g.request.Work, g.load, 0), time.Millisecond)
}
