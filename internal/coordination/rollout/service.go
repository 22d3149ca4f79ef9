package rollout

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// longestKept is the time after which an observed duration no longer counts for the start
	// of the hand-over. It is kept for up to twice as long.
	longestKept = 30 * time.Second
	// readInterval is the time between two reads of the orders. The time limit counts from the
	// write of an order, which is not known. Entries agree on the earliest limit that one of
	// them assumes; the first of n to read an order does so 1/(n+1) of the interval after it.
	readInterval = 900 * time.Millisecond
	// maxReadShare bounds the assumed delay to a part of the duration of the order.
	maxReadShare = 0.2
	// maxLimitCorrection bounds how much earlier than by its own observation an entry takes the
	// limit of an order to be: the clocks of the store's writers differ.
	maxLimitCorrection = 3 * time.Second
	// unusableAfter is the number of attempts in a row that found no old target, after which a
	// separated entry takes the old targets as stopped.
	unusableAfter = 3
)

// service is the state of a service. Its plan has Number 0 while there was no order.
type service struct {
	name      state.Service
	order     Order // the newest one read from the store
	plan      Plan
	limit     time.Time // of plan
	stored    Plan      // as known to be in the store
	newEra    *keyedtopic.Position
	startAt   time.Time // when plan was first known here
	phaseAt   time.Time // when the phase was learned
	bad       string    // why the new version is bad, or empty
	badAt     time.Time // when that was found or learned
	drained   bool      // see ServiceNote.Drained
	permits   permits
	evidence  *evidence
	peers     map[state.InstanceID]*servicePeer
	targets   targets
	open      map[state.SoftwareVersion]int // from Sent to Observe
	statedOld int                           // as of SetOpen
	openAt    time.Time
	// longest are the longest times of requests at targets in two periods of longestKept.
	longest      [2]time.Duration
	longestSince time.Time
	unreachable  int // attempts in a row that found no old target
}

func newService(name state.Service) *service {
	return &service{name: name, open: make(map[state.SoftwareVersion]int), peers: make(map[state.InstanceID]*servicePeer), evidence: newEvidence()}
}

// planAt returns the plan with the time left at now.
func (s *service) planAt(now time.Time) Plan {
	p := s.plan
	p.TimeLeft = s.limit.Sub(now)
	p.From = slices.Clone(p.From)
	return p
}

// end records that a request at a target has ended.
func (s *service) end(now time.Time, o Observation, isNew bool, exposureShare float64) {
	if s.open[o.Software]--; s.open[o.Software] <= 0 {
		delete(s.open, o.Software)
	}
	if o.Outcome == Unreachable {
		s.permits.unearn(isNew, exposureShare)
	}
	if isNew {
		return
	}
	switch o.Outcome {
	case Unreachable:
		s.unreachable++
		return
	case Answered, Failed, Refused:
		s.unreachable = 0
	}
	if now.Sub(s.longestSince) > longestKept {
		s.longest = [2]time.Duration{0, s.longest[0]}
		s.longestSince = now
	}
	s.longest[0] = max(s.longest[0], o.Took)
}

// oldOpen returns the number of requests in progress at old targets.
func (s *service) oldOpen() int {
	n := 0
	for version, count := range s.open {
		if version != s.plan.Order.To {
			n += count
		}
	}
	return n
}

// longestOld returns the longest time that a request of this entry took lately at an old
// target.
func (s *service) longestOld() time.Duration { return max(s.longest[0], s.longest[1]) }

// SetOrder takes the newest order of a service as read from the store. It may be called
// again with the same order.
func (l *Ledger) SetOrder(now time.Time, o Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touch(now)
	l.contactAt = now
	s := l.service(o.Service)
	if s.order.To != "" && s.order.Position.Era != o.Position.Era {
		s.newEra = &o.Position // what is read first after a change of era was in the copy
	}
	s.order = o
	if l.loaded {
		l.applyOrder(now, s)
	}
}

// applyOrder starts a roll-out if the order that was read is a new one.
func (l *Ledger) applyOrder(now time.Time, s *service) {
	o, p := s.order, &s.plan
	if o.To == "" || p.Number > 0 && !s.isNewer(o.Position) {
		return
	}
	if p.Number > 0 && o.To == p.Order.To && p.Phase != Reverted {
		p.Order.Position = o.Position // the same order again
		return
	}
	limit := now.Add(o.Duration - min(readInterval/time.Duration(2+l.otherEntries(now)), time.Duration(maxReadShare*float64(o.Duration))))
	l.adopt(now, s, Plan{Order: o, Number: p.Number + 1, Phase: Trial}, limit)
	l.log(s, "order seen", "", "")
}

// isNewer reports whether a record of an order was written after that of the plan.
func (s *service) isNewer(at keyedtopic.Position) bool {
	known := s.plan.Order.Position
	if s.newEra != nil && at.Era == s.newEra.Era && at.Era != known.Era {
		return at.Offset > s.newEra.Offset || at.Offset > known.Offset
	}
	return at.Offset > known.Offset
}

// adopt begins another order.
func (l *Ledger) adopt(now time.Time, s *service, p Plan, limit time.Time) {
	// A new order of the same version within the limit of the last one has no slack of its
	// own: its requests count for the bound of both.
	again := s.plan.Number > 0 && p.Order.To == s.plan.Order.To && now.Before(s.limit)
	s.permits = s.permits.next(p.Number, again, l.startCredit(now, p.Number))
	s.plan, s.limit = p, limit
	s.plan.From = s.targets.replaced(p.Order.To, p.From)
	s.startAt, s.phaseAt = now, now
	s.bad, s.drained, s.openAt = "", false, time.Time{}
	s.evidence = newEvidence()
	clear(s.peers)
	s.targets.choose(s.plan)
	l.unreported = max(l.unreported, 1)
}

// LearnPlan takes a plan from the store, a snapshot or a report, and reports whether it
// changed the one that is known. The higher number wins, then the later order, then the
// higher phase. A terminal phase does not change.
func (l *Ledger) LearnPlan(now time.Time, p Plan) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touch(now)
	return l.learnPlan(now, l.service(p.Order.Service), p, "")
}

// StoredPlan takes the plan that the store holds for a service, as LearnPlan does, and
// remembers that it is stored, so that Decide returns a plan if the store lacks one or has
// an earlier one. A zero Plan with only Order.Service set says that the store has none.
func (l *Ledger) StoredPlan(now time.Time, p Plan) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touch(now)
	l.contactAt = now
	s := l.service(p.Order.Service)
	s.stored = p
	return p.Number > 0 && l.learnPlan(now, s, p, "")
}

func (l *Ledger) learnPlan(now time.Time, s *service, p Plan, from state.InstanceID) (changed bool) {
	if p.Number == 0 || p.Phase < Trial || p.Phase > Reverted || p.Number < s.plan.Number {
		return false
	}
	limit := now.Add(p.TimeLeft)
	if p.Number > s.plan.Number || s.supersedes(p.Order) {
		l.adopt(now, s, p, limit)
		l.log(s, "plan learned", p.Reason, from)
		return true
	}
	if p.Order.To != s.plan.Order.To {
		return false
	}
	for _, v := range p.From {
		if !slices.Contains(s.plan.From, v) {
			s.plan.From = append(s.plan.From, v)
		}
	}
	if s.plan.Phase.Terminal() {
		return false
	}
	if p.Order.Position.Offset > s.plan.Order.Position.Offset {
		s.plan.Order.Position = p.Order.Position
	}
	if limit.Before(s.limit) && s.limit.Sub(limit) < maxLimitCorrection {
		s.limit = limit
	}
	if p.Phase <= s.plan.Phase {
		return false
	}
	s.setPhase(now, p)
	l.unreported = max(l.unreported, 1)
	l.log(s, "plan learned", p.Reason, from)
	return true
}

// supersedes reports whether an order with the number of the plan is a later one. Two
// entries can give the same number to two orders.
func (s *service) supersedes(o Order) bool {
	return o.To != s.plan.Order.To && !s.plan.Phase.Terminal() && o.Position.Offset > s.plan.Order.Position.Offset
}

func (s *service) setPhase(now time.Time, p Plan) {
	s.plan.Phase, s.plan.Reason, s.phaseAt = p.Phase, p.Reason, now
	s.plan.From = s.targets.replaced(s.plan.Order.To, s.plan.From)
	if p.Phase == Reverted {
		s.drained = false
	}
}

// findBad records that the new version is bad.
func (l *Ledger) findBad(now time.Time, s *service, reason string, from state.InstanceID) {
	if s.plan.Phase.Terminal() {
		return
	}
	s.bad, s.badAt = reason, now
	l.unreported = verdictReports
	l.log(s, "version found bad", reason, from)
}
