package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/coordination/hedging"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// initialHoldTime starts the moving average of a service.
	initialHoldTime   = 300 * time.Millisecond
	timeAverageWeight = 0.1 // weight of one request in this moving average
	// minReserveRate is the arrival rate (per second) of a rank above which lower
	// ranks leave slots to it.
	minReserveRate     = 0.5
	maxQueueLength     = 2000                    // requests waiting for one service
	noTargetRetryAfter = time.Second             // retry time of requests without a target, before jitter
	minReportLifetime  = 1200 * time.Millisecond // shortest time for which another entry's report counts
	grantInterval      = 20 * time.Millisecond
	assumedEntries     = 5 // entries, this one included, assumed while no other reports
	overcommitSlots    = 1 // requests beyond a target's limit that an entry below its fair share may send
)

// Scheduler assigns requests to targets and queues those that find no free slot,
// for all services of one entry. It is safe for concurrent use.
type Scheduler struct {
	domain state.FailureDomain
	now    func() time.Time

	mu            sync.Mutex
	random        *rand.Rand
	position      Position
	services      map[state.Service]*pool
	targets       map[state.TargetID]*target
	targetsByKey  map[TargetKey]*target
	peerReports   map[state.InstanceID]*peerReport
	startingPeers int       // see SetStartingPeers
	stopBy        time.Time // see StopBy; zero before
	stopBegan     time.Time // when StopBy was called
	observer      Observer
	policies      *Policies
	limits        *ratelimit.Ledger // limits that targets state
	statements    map[targetRun]*statement
	calibration   calibration
	versions      Versions // nil: none
	// candidates is the scratch slice of tryGrant, reused between calls.
	candidates []candidate
}

// Observer is notified when targets are ejected, when they are in use again, when the limit
// that a target states changes, when a target says that it leaves, and when it asks this
// entry for a pause. Its methods are called with the scheduler locked, so they must not block
// or call the scheduler.
type Observer interface {
	TargetEjected(id state.TargetID, service state.Service, cause Outcome, backoff time.Duration)
	TargetReturned(id state.TargetID, service state.Service)
	RateLimitChanged(c *ratelimit.Change)
	TargetLeaving(id state.TargetID, service state.Service)
	TargetPaused(id state.TargetID, service state.Service, pause time.Duration)
}

// pool holds the targets, the queue and the moving averages of one service.
type pool struct {
	name             state.Service
	allTargets       []*target
	openGrants       map[*Grant]struct{} // of all targets, also of those that are no longer listed
	subset           []*target           // targets that this entry uses
	sharedBeyondNear bool                // entries other than the near ones use targets of the subset too
	queue            queue
	cost             *costmodel.Service
	ratios           hedging.Ratios
	hedgeRatio       float64        // ratio of the time until a hedge is considered to the predicted one
	holdTime         time.Duration  // moving average of the time from grant to release of served requests
	withoutPermit    rollout.Choice // the last one
	arrivalRates     [maxRanks]arrivalRate
	serial           uint64 // serial of the request queued last
	overloaded       bool   // with LateWork, as of the last look at the queue
	// handOverTurn is the number of waiting requests with HandOver that are left out when free
	// slots are granted next, because they were tried last.
	handOverTurn int
}

// peerReport is the latest report of another entry.
type peerReport struct {
	report  Report
	expires time.Time
}

// Report is the load that an entry reports to the others.
type Report struct {
	Open map[TargetKey]int // open requests of the entry at each target
	// Pending is the number of prompt tokens of the open requests that have no response
	// yet, at targets that have any.
	Pending map[TargetKey]int
	Waiting map[state.Service][]int // number of waiting requests, indexed by rank
	// Limits is what the entry knows of the limits that targets state, and its part of them.
	Limits map[state.TargetID]ratelimit.Note
	// Lifetime is how long the report counts, unless a newer one replaces it; it
	// counts for minReportLifetime at least.
	Lifetime time.Duration
}

// New returns a scheduler without targets, for an entry in domain. seed initializes
// the random choices, and now returns the current time. The scheduler owns limits.
func New(domain state.FailureDomain, seed uint64, now func() time.Time, observer Observer, limits *ratelimit.Ledger) *Scheduler {
	return &Scheduler{
		domain: domain, now: now, random: rand.New(rand.NewPCG(seed, 0)), observer: observer,
		services: make(map[state.Service]*pool), targets: make(map[state.TargetID]*target),
		peerReports: make(map[state.InstanceID]*peerReport), policies: defaultPolicies(), limits: limits, statements: make(map[targetRun]*statement), calibration: make(calibration),
	}
}

// SetPolicies sets the policies for later placements, including those of requests
// that are waiting.
func (s *Scheduler) SetPolicies(p *Policies) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policies = p
	s.grantFreeSlots()
}

// SetTargets replaces the list of targets. The state of a target that stays in the
// list is kept unless it has restarted or changed its address.
func (s *Scheduler) SetTargets(records []state.TargetRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	listed := make(map[state.TargetID]*target, len(records))
	for _, p := range s.services {
		p.allTargets = nil
	}
	for _, r := range records {
		t := s.targets[r.ID]
		if t == nil || t.record.Started != r.Started || t.record.Address != r.Address {
			t = newTarget(r, s.statementOf(&r))
		}
		if t.listedAt.IsZero() || t.record != r {
			t.listedAt = now
		}
		if t.record.Software != r.Software {
			t.lastBreakAt = time.Time{}
		}
		t.record = r
		t.setLeaves(now, r.Draining)
		listed[r.ID] = t
		p := s.pool(r.Service)
		p.allTargets = append(p.allTargets, t)
	}
	for id, t := range s.targets {
		if listed[id] != t {
			t.setLeaves(now, true)
			s.limits.Forget(id)
		}
	}
	s.targets = listed
	s.markRelisted()
	s.targetsByKey = make(map[TargetKey]*target, len(listed))
	for _, t := range listed {
		s.targetsByKey[t.key()] = t
	}
	s.dropStatements(now)
	s.recountReports()
	s.updateSubsets()
}

// markRelisted marks the open grants whose targets are listed with another software version than that by
// which they were chosen.
func (s *Scheduler) markRelisted() {
	for _, p := range s.services {
		for g := range p.openGrants {
			before := g.Target.Software
			if t := s.targets[g.Target.ID]; t != nil && before != "" && t.record.Software != "" && t.record.Software != before {
				g.relisted.Store(true)
			}
		}
	}
}

// SetPosition sets the position of this entry among all entries.
func (s *Scheduler) SetPosition(p Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p != s.position {
		s.position = p
		s.updateSubsets()
	}
}

// updateSubsets recomputes which targets of each service this entry uses.
func (s *Scheduler) updateSubsets() {
	for _, p := range s.services {
		p.subset, p.sharedBeyondNear = s.position.chooseSubset(p.allTargets)
	}
	uses := make(map[state.TargetID]bool, len(s.targets))
	for id := range s.targets {
		uses[id] = false
	}
	for _, p := range s.services {
		for _, t := range p.subset {
			uses[t.record.ID] = true
		}
	}
	s.limits.SetTargets(uses)
	s.grantFreeSlots()
}

// pool returns the pool of a service and creates it if needed.
func (s *Scheduler) pool(name state.Service) *pool {
	p := s.services[name]
	if p == nil {
		p = &pool{name: name, openGrants: make(map[*Grant]struct{}), cost: costmodel.NewService(), holdTime: initialHoldTime, hedgeRatio: initialHedgeRatio}
		s.services[name] = p
	}
	return p
}

// Acquire grants a slot of a target, waiting for one if none is free. The error is
// a *Refusal or that of ctx.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	s.mu.Lock()
	w, grant, refusal := s.place(r)
	s.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	if grant != nil {
		return grant, nil
	}
	select {
	case <-w.done:
		return w.result()
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.done: // granted or refused meanwhile
		if w.grant != nil {
			s.release(w.grant, Unused) // it was not sent
		}
	default:
		s.pool(r.Service).queue.remove(w)
	}
	return nil, ctx.Err()
}

// place grants a slot, queues the request or refuses it; exactly one of the results
// is not nil. The caller must hold s.mu.
func (s *Scheduler) place(r *Request) (*waiter, *Grant, *Refusal) {
	p := s.pool(r.Service)
	now := s.now()
	if !s.hasTargetByVersion(p, r, now) {
		return nil, nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: s.addJitter(noTargetRetryAfter)}
	}
	if !r.HandOver {
		p.arrivalRates[min(max(0, r.Rank), maxRanks-1)].record(now)
	}
	p.serial++
	r.typicalResponse, r.typicalDuration = p.cost.Typical(r.Work)
	w := &waiter{request: r, serial: p.serial, queuedAt: now, unreviewed: true, done: make(chan struct{})}
	p.queue.insert(w)
	s.serveQueue(p)
	if w.grant != nil || w.refusal != nil {
		return nil, w.grant, w.refusal
	}
	return w, nil, nil
}

// hasTargetFor reports whether some target of the service may take r, now or later.
func (s *Scheduler) hasTargetFor(p *pool, r *Request, now time.Time) bool {
	return slices.ContainsFunc(s.targetsFor(p, r, now), func(t *target) bool { return t.allows(r) })
}

// targetsFor returns the targets among which r is placed: those that this entry uses or, if
// less than half of them take requests, or only some can continue the stream, all of the
// service.
func (s *Scheduler) targetsFor(p *pool, r *Request, now time.Time) []*target {
	if r.RequiredSoftware != nil || len(r.versions.TrialTargets) > 0 {
		return p.allTargets
	}
	if len(p.subset) == len(p.allTargets) {
		return p.subset
	}
	usable, of := 0, 0
	for _, t := range p.subset {
		if !r.allowsVersion(&t.record) {
			continue
		}
		of++
		if !t.record.Draining && t.ejectedUntil.IsZero() && t.stated.takes(now) {
			usable++
		}
	}
	if of == 0 || 2*usable < of {
		return p.allTargets
	}
	return p.subset
}

// Waiting returns the number of requests waiting for a service.
func (s *Scheduler) Waiting(service state.Service) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pool(service).queue)
}
