package rollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Config has what a Ledger needs to know of its entry.
type Config struct {
	Self        state.InstanceID
	Incarnation state.Incarnation
	// ExposureShare is the part of the requests of a service that may be sent to a version
	// that turns out to be bad.
	ExposureShare float64
	// ExposureSlack returns this entry's part of the requests beyond ExposureShare. It must be
	// 0 for an entry that was restarted, and the parts of all entries must not exceed the
	// slack of the platform.
	ExposureSlack func() float64
	// RollbackTime is the time within which sending to a bad version must end.
	RollbackTime time.Duration
	// Entries returns the other entries that have been heard recently and do not leave.
	Entries func(now time.Time) []state.InstanceID
	// MaxRouteTimeout returns the longest time limit of a route.
	MaxRouteTimeout func() time.Duration
	// Log is called for each decision that changes what the ledger believes, if it is set. It
	// must not call the ledger.
	Log func(Event)
}

// Event is a decision of the ledger, to be logged.
type Event struct {
	Service state.Service
	Number  uint64
	Phase   Phase
	Message string // "order seen", "plan learned", "version found bad", "old targets drained"
	Reason  string
	// From is the entry that an event was learned from, or empty.
	From state.InstanceID
}

// Ledger holds the roll-outs of all services as one entry sees them. It is safe for
// concurrent use.
type Ledger struct {
	cfg        Config
	mu         sync.Mutex
	loaded     bool
	startedAt  time.Time // of the first call with a time
	contactAt  time.Time // when the store or another entry was last heard
	sequence   uint64
	unreported int // reports that are still to be sent at once
	services   map[state.Service]*service
	peers      map[state.InstanceID]*peer
}

// New returns a ledger without orders. Until Loaded is called, orders and plans are only
// collected, and of a service with several versions only the most frequent one is used.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, services: make(map[state.Service]*service), peers: make(map[state.InstanceID]*peer)}
}

// Loaded records that all orders and plans have been read once from the store or from the
// snapshot of another entry, so that a service without a plan has none.
func (l *Ledger) Loaded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loaded {
		return
	}
	l.loaded = true
	l.touch(now)
	for _, s := range l.services {
		l.applyOrder(now, s)
	}
}

// touch remembers the first time that is passed in.
func (l *Ledger) touch(now time.Time) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
}

func (l *Ledger) service(name state.Service) *service {
	s := l.services[name]
	if s == nil {
		s = newService(name)
		l.services[name] = s
	}
	return s
}

func (l *Ledger) serviceNames() []state.Service { return slices.Sorted(maps.Keys(l.services)) }

func (l *Ledger) log(s *service, message, reason string, from state.InstanceID) {
	if l.cfg.Log != nil {
		l.cfg.Log(Event{Service: s.name, Number: s.plan.Number, Phase: s.plan.Phase, Message: message, Reason: reason, From: from})
	}
}

// SetTargets takes the list of targets.
func (l *Ledger) SetTargets(now time.Time, records []state.TargetRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touch(now)
	listed := make(map[state.Service][]state.TargetRecord)
	for _, r := range records {
		listed[r.Service] = append(listed[r.Service], r)
	}
	for name := range listed {
		l.service(name)
	}
	for name, s := range l.services {
		s.setTargets(now, listed[name])
	}
}

// StoreReached records that the store has answered this entry. An entry that has reached
// neither the store nor another entry lately uses only the old version during the trial.
func (l *Ledger) StoreReached(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touch(now)
	l.contactAt = now
}

// Plans returns the plans of all services, for snapshots.
func (l *Ledger) Plans(now time.Time) []Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	var plans []Plan
	for _, name := range l.serviceNames() {
		if s := l.services[name]; s.plan.Number > 0 {
			plans = append(plans, s.planAt(now))
		}
	}
	return plans
}

// Services returns the services that have an order or a plan.
func (l *Ledger) Services() []state.Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(l.serviceNames(), func(name state.Service) bool {
		s := l.services[name]
		return s.plan.Number == 0 && s.order.To == ""
	})
}

// SetOpen takes the numbers of requests of this entry in progress, streams included, by
// service and version. Requests that were sent are counted from Sent to Observe in any
// case; SetOpen adds those between two attempts of a stream.
func (l *Ledger) SetOpen(now time.Time, open map[state.Service]map[state.SoftwareVersion]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touch(now)
	for name, s := range l.services {
		s.openAt, s.statedOld = now, 0
		for version, count := range open[name] {
			if version != s.plan.Order.To {
				s.statedOld += count
			}
		}
		l.advance(now, s)
	}
}

// Sent is called immediately before a connection is taken or opened to send a request to a
// target of a version. If it returns false, the request must not be sent; Choose is to be
// called again. Otherwise, Observe must be called once when the request ends, also if the
// target was unreachable. Permits are earned by first attempts
// only, because the platform counts the requests of callers; first reports whether this is
// the first attempt of the caller's request that is sent.
func (l *Ledger) Sent(now time.Time, name state.Service, software state.SoftwareVersion, first bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil {
		s = l.service(name)
	}
	l.advance(now, s)
	isNew := s.plan.Number > 0 && software == s.plan.Order.To
	if isNew && !s.takeHeld() || !isNew && s.drained {
		return false
	}
	if first && s.plan.Number > 0 && !s.plan.Phase.Terminal() {
		s.permits.earn(l.cfg.ExposureShare)
	}
	s.open[software]++
	return true
}

// takeHeld uses a permit that Choose has given. It reports whether a request may be sent
// to the new version.
func (s *service) takeHeld() bool {
	switch {
	case s.plan.Phase == Completed:
		return true
	case (s.bad != "" || s.plan.Phase == Reverted) && !s.drained:
		return s.plan.Phase == Reverted && s.onlyNewListed()
	case s.plan.Phase == Trial && s.permits.held == 0:
		return false
	case s.permits.held > 0:
		s.permits.held--
	default:
		s.permits.credit-- // during the hand-over, without a permit
	}
	return true
}

// Observe records the end of a request at a target.
func (l *Ledger) Observe(now time.Time, o Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(o.Service)
	isNew := s.plan.Number > 0 && o.Software == s.plan.Order.To
	if o.Outcome != Begun && o.Outcome != Overdue {
		s.end(now, o, isNew, l.cfg.ExposureShare)
	}
	if s.plan.Number == 0 || s.plan.Phase.Terminal() || s.bad != "" {
		return
	}
	s.evidence.observe(now, o, isNew)
	l.advance(now, s)
}

// OverdueRatio returns how many times the predicted time (see Observation.Ratio) a request
// at a target takes at least if it counts as slow.
func (l *Ledger) OverdueRatio(name state.Service, target state.TargetID, route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil || s.plan.Number == 0 {
		return math.Exp2(unknownSlow)
	}
	return s.evidence.overdueRatio(hash32(route), hash32(string(target)))
}
