package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// shareFraction is the part of the permitted share that is used. The rest covers requests
	// that do not reach the service although they were sent.
	shareFraction = 0.9
	// After enoughAnswers of the new version, only laterFraction of the permits are used. The
	// others are left for the hand-over, in which a version that is bad only under the whole
	// load is exposed to it until that is seen.
	enoughAnswers = 400
	laterFraction = 0.65
	// contactTime is the time without the store and without other entries after which an entry
	// no longer tries the new version. It is well below the 4 s after which an entry counts as
	// not in contact.
	contactTime = 2500 * time.Millisecond
	// roundingReserve is 3.5 times the largest standard deviation of a permit that is used with
	// a probability. The sum over n entries deviates by sqrt(n) times as much.
	roundingReserve = 1.75
	// rareReserve is the part of a permit that is kept for routes that have had few.
	rareReserve = 0.5
	// rareShare is the part of an even share of the permits below which a route has had few.
	rareShare = 0.5
)

// permits are the requests that this entry may send to the new version of an order.
type permits struct {
	number uint64
	credit float64 // permits that are earned and neither held nor used
	held   int     // taken by Choose, neither sent nor returned
	due    float64 // requests to the new version at the pace of now, less those given
	given  map[string]int
	total  int
}

// startCredit returns the credit at the start of an order: this entry's part of the slack,
// and a random part of a permit, so that many entries with few requests each use what they
// earn together: an entry that earns 0.3 permits uses one with probability 0.3. The sum of
// that is right on average; roundingReserve of the slack covers its deviation.
func (l *Ledger) startCredit(now time.Time, number uint64) float64 {
	entries := float64(1 + l.otherEntries(now))
	random := rand.New(rand.NewPCG(xxhash.Sum64String(string(l.cfg.Self)), uint64(l.cfg.Incarnation)+number)).Float64()
	slack := 0.0
	if l.cfg.ExposureSlack != nil {
		slack = l.cfg.ExposureSlack()
	}
	return max(0, slack-roundingReserve/math.Sqrt(entries)) + random
}

// otherEntries returns the number of the other entries that have been heard recently.
func (l *Ledger) otherEntries(now time.Time) int {
	if l.cfg.Entries == nil {
		return 0
	}
	return len(l.cfg.Entries(now))
}

// next returns the permits of another order. The credit of the last one goes on if both
// are of the same version within one limit.
func (p permits) next(number uint64, again bool, slack float64) permits {
	n := permits{number: number, credit: slack, given: make(map[string]int), due: 1}
	if again {
		n.credit = p.credit + float64(p.held)
	}
	return n
}

// earn adds what a request sent to the service earns.
func (p *permits) earn(share float64) { p.credit += shareFraction * share }

// unearn corrects for a request that did not reach its target.
func (p *permits) unearn(isNew bool, share float64) {
	if isNew {
		p.credit++
	}
	p.credit -= shareFraction * share
}

// take takes a permit for a request of a route, at a pace of requests to the new version.
func (p *permits) take(route string, pace float64) bool {
	rare, anyRare := p.isRare(route)
	p.due = min(2, p.due+pace)
	need := 1.0
	if anyRare && !rare {
		need += rareReserve
	}
	if p.credit < need || p.due < 1 && !rare {
		return false
	}
	p.credit--
	p.due = max(-1, p.due-1)
	p.held++
	p.given[route]++
	p.total++
	return true
}

// isRare reports whether a route has had few permits, and whether any has.
func (p *permits) isRare(route string) (rare, anyRare bool) {
	if _, known := p.given[route]; !known && len(p.given) < maxRoutes {
		p.given[route] = 0
	}
	least := rareShare * float64(p.total) / float64(len(p.given))
	for r, n := range p.given {
		if float64(n) < least {
			anyRare = true
			rare = rare || r == route
		}
	}
	return rare, anyRare
}

// Choose says which targets may serve a request of a route now. It takes a permit if only
// the new version may, in the phase Trial. It must be called again before each attempt. A
// choice with a permit is a preference: if no trial target has a free slot, the caller
// returns the permit and goes on with Choice.WithoutPermit.
func (l *Ledger) Choose(now time.Time, name state.Service, route string) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touch(now)
	s := l.services[name]
	if s == nil {
		return Choice{}
	}
	l.advance(now, s)
	if s.plan.Number == 0 {
		return l.withoutPlan(s)
	}
	to := s.plan.Order.To
	old := Choice{Kind: Except, Excluded: []state.SoftwareVersion{to}}
	switch {
	case s.plan.Phase == Completed:
		return s.afterCompletion()
	case (s.bad != "" || s.plan.Phase == Reverted) && !s.drained:
		if s.onlyNewListed() && s.plan.Phase == Reverted && now.After(s.limit) {
			return Choice{}
		}
		return old
	case s.plan.Phase == Trial:
		return l.chooseInTrial(now, s, route, old)
	case len(s.targets.fresh) == 0 && !s.drained:
		return old
	case s.drained || !now.Before(s.endBy()):
		return Choice{Kind: Only, Version: to}
	default:
		if c := l.chooseInTrial(now, s, route, old); c.HasPermit() {
			return c
		}
		return Choice{Kind: UntilEnd, Version: to, EndBy: s.endBy()}
	}
}

// withoutPlan returns the choice for a service of which no plan is known. Before all plans
// were read, one may exist that says which version is new.
func (l *Ledger) withoutPlan(s *service) Choice {
	if len(s.targets.versions) > 1 && (!l.loaded || s.order.To != "") {
		return Choice{Kind: Only, Version: s.targets.mostFrequent()}
	}
	return Choice{}
}

// afterCompletion excludes the versions that were replaced as long as their targets are
// listed beside the new ones.
func (s *service) afterCompletion() Choice {
	if len(s.targets.fresh) == 0 {
		return Choice{}
	}
	return Choice{Kind: Except, Excluded: s.plan.From}
}

func (l *Ledger) chooseInTrial(now time.Time, s *service, route string, old Choice) Choice {
	if now.Sub(l.contactAt) > contactTime {
		if s.unreachable >= unusableAfter && len(s.targets.fresh) > 0 {
			return Choice{Kind: Only, Version: s.plan.Order.To}
		}
		return old
	}
	elapsed := s.plan.Order.Duration - s.limit.Sub(now)
	share := shareFraction * l.cfg.ExposureShare
	if s.evidence.answered >= enoughAnswers {
		share *= laterFraction
	}
	trial := s.targets.trial(elapsed, s.plan.Order.Duration, share)
	if len(trial) == 0 || !s.permits.take(route, s.targets.pace(elapsed, share, s.permits.credit, len(trial))) {
		return old
	}
	return Choice{Kind: Only, Version: s.plan.Order.To, TrialTargets: trial, number: s.plan.Number}
}

// Resume says whether a request that only targets of the given version can serve, because
// they have begun its stream, may be sent now. It takes a permit if one is needed.
func (l *Ledger) Resume(now time.Time, name state.Service, route string, version state.SoftwareVersion) (Choice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	c := Choice{Kind: Only, Version: version}
	if s == nil || s.plan.Number == 0 {
		return c, true
	}
	l.advance(now, s)
	if version != s.plan.Order.To {
		return c, !s.drained && s.plan.Phase != Completed
	}
	switch {
	case s.plan.Phase == Completed:
		return c, true
	case (s.bad != "" || s.plan.Phase == Reverted) && !s.drained:
		return c, false
	case s.plan.Phase == Handover:
		return c, true
	}
	if s.permits.credit < 1 {
		return c, false
	}
	s.permits.credit--
	s.permits.held++
	c.number = s.plan.Number
	return c, true
}

// ReturnPermit gives back the permit of a choice, if it has one, because the request was not
// sent to the new version. A permit that was used must not be returned.
func (l *Ledger) ReturnPermit(now time.Time, name state.Service, c Choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil || c.number == 0 || c.number != s.permits.number || s.permits.held == 0 {
		return
	}
	s.permits.held--
	s.permits.credit++
	s.permits.due = min(2, s.permits.due+1)
}
