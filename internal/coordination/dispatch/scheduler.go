package dispatch

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// costScale is the time that a unit of cost takes when an engine's slots are
	// full: about as many requests share the engine as it has slots.
	costScale = 6.0
	// Without other figures a slot is held for this long.
	assumedHold  = 300 * time.Millisecond
	holdBlend    = 0.1 // weight of one request in the moving averages of times
	assumedFirst = 100 * time.Millisecond
	// leastShare is the part of the slots that becomes free which a rank is taken to
	// get, however many requests of higher ranks arrive.
	leastShare = 0.1
	// leastRate is the arrival rate (per second) from which on slots are left to a
	// rank.
	leastRate       = 0.5
	maxQueue        = 2000 // requests waiting for one service
	noTargetRetry   = time.Second
	peerLifetime    = 1200 * time.Millisecond // shortest time for which another entry's report counts
	pumpInterval    = 20 * time.Millisecond
	assumedEntries  = 5 // entries assumed while none has reported
	overcommitSlots = 1 // slots beyond a target's own that an entry below its fair share may take
)

// Scheduler holds the targets and the waiting requests of all services. It is
// safe for concurrent use.
type Scheduler struct {
	domain state.FailureDomain
	now    func() time.Time

	mu       sync.Mutex
	random   *rand.Rand
	position Position
	services map[state.Service]*pool
	targets  map[state.TargetID]*target
	keys     map[Key]*target
	peers    map[state.InstanceID]*peer
	observe  Observer
	policies *Policies
	// candidates are the targets of the placement in progress.
	candidates []scored
}

// Observer is told of changes in what the scheduler believes. Its methods must
// not block.
type Observer interface {
	TargetEjected(id state.TargetID, service state.Service, cause Outcome, backoff time.Duration)
	TargetReturned(id state.TargetID, service state.Service)
}

// pool is one service.
type pool struct {
	name    state.Service
	all     []*target
	targets []*target // those that this entry uses
	wide    bool      // others than the near entries use them too
	queue   queue
	hold    time.Duration // moving average of the time a slot is held
	first   time.Duration // moving average of the time from a slot to the response
	rates   [maxRanks]arrivals
	serial  uint64
}

// peer is what another entry reports.
type peer struct {
	report  Report
	expires time.Time
}

// Report is what an entry tells the others.
type Report struct {
	Open map[Key]int // requests open at each target
	// Prefill is the work before the responses of those that have none yet, in
	// milliseconds, where it is reportedPrefill or more.
	Prefill map[Key]int
	Waiting map[state.Service][]int // requests waiting, by rank
	// Lifetime is how long the report counts; it counts for peerLifetime at least.
	Lifetime time.Duration
}

// New returns a scheduler without targets, for an entry in domain.
func New(domain state.FailureDomain, seed uint64, now func() time.Time, observe Observer) *Scheduler {
	return &Scheduler{
		domain: domain, now: now, random: rand.New(rand.NewPCG(seed, 0)), observe: observe,
		services: make(map[state.Service]*pool), targets: make(map[state.TargetID]*target),
		peers: make(map[state.InstanceID]*peer), policies: defaultPolicies(),
	}
}

// SetPolicies puts what a bundle says into effect for the placements that follow.
func (s *Scheduler) SetPolicies(p *Policies) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policies = p
	s.pump()
}

// SetTargets replaces the list of targets. What is known of a target is kept
// unless it has started again.
func (s *Scheduler) SetTargets(records []state.TargetRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[state.TargetID]*target, len(records))
	for _, p := range s.services {
		p.all = nil
	}
	for _, r := range records {
		t := s.targets[r.ID]
		if t == nil || t.record.Started != r.Started || t.record.Address != r.Address {
			t = newTarget(r)
		}
		t.record = r
		listed[r.ID] = t
		p := s.pool(r.Service)
		p.all = append(p.all, t)
	}
	s.targets = listed
	s.keys = make(map[Key]*target, len(listed))
	for _, t := range listed {
		s.keys[t.key()] = t
	}
	s.recount()
	s.choosePart()
}

// SetPosition sets the place of this entry among all entries.
func (s *Scheduler) SetPosition(p Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p != s.position {
		s.position = p
		s.choosePart()
	}
}

// choosePart sets which targets of each service this entry uses.
func (s *Scheduler) choosePart() {
	for _, p := range s.services {
		p.targets, p.wide = s.position.subset(p.all)
	}
	s.pump()
}

func (s *Scheduler) pool(name state.Service) *pool {
	p := s.services[name]
	if p == nil {
		p = &pool{name: name, hold: assumedHold, first: assumedFirst}
		s.services[name] = p
	}
	return p
}

// Acquire returns a slot of a target, after waiting for one if need be. Its
// error is a *Refusal or that of ctx.
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
	case <-w.done: // granted meanwhile
		if w.grant != nil {
			s.release(w.grant, Cancelled)
		}
	default:
		s.pool(r.Service).queue.remove(w)
	}
	return nil, ctx.Err()
}

// place grants a slot, queues the request or refuses it. The scheduler is
// locked.
func (s *Scheduler) place(r *Request) (*waiter, *Grant, *Refusal) {
	p := s.pool(r.Service)
	now := s.now()
	if !s.anyTarget(p, r) {
		return nil, nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: s.jitter(noTargetRetry)}
	}
	p.rates[min(max(0, r.Rank), maxRanks-1)].add(now)
	p.queue.demote(now, p.first)
	ahead := p.queue.ahead(r)
	if ahead == 0 {
		if g := s.choose(p, r, now); g != nil {
			return nil, g, nil
		}
	}
	predicted := s.predict(p, r, ahead, now)
	if !r.Again {
		if predicted > time.Duration(s.policies.admission.RefuseShare*float64(r.Objective)) || len(p.queue) >= maxQueue {
			return nil, nil, &Refusal{
				Reason: ReasonOverload, RetryAfter: s.retryAfter(predicted), Waiting: ahead, Predicted: predicted,
			}
		}
	}
	p.serial++
	w := &waiter{request: r, serial: p.serial, queued: now, done: make(chan struct{})}
	heap.Push(&p.queue, w)
	return w, nil, nil
}

// anyTarget reports whether a target of the service could ever take r.
func (s *Scheduler) anyTarget(p *pool, r *Request) bool {
	for _, t := range p.targets {
		if !t.record.Draining && !r.tried(t.record.ID) {
			return true
		}
	}
	return false
}

// predict returns the wait of a request that has ahead others before it. A slot
// held by this entry becomes free each hold/own, and requests of higher ranks that
// arrive meanwhile take their part of them.
func (s *Scheduler) predict(p *pool, r *Request, ahead int, now time.Time) time.Duration {
	own := 0
	for _, t := range p.targets {
		own += len(t.open)
	}
	perSecond := float64(max(1, own)) / p.hold.Seconds()
	higher := 0.0
	for rank := 0; rank < min(r.Rank, maxRanks); rank++ {
		higher += p.rates[rank].perSecond(now)
	}
	left := max(leastShare*perSecond, perSecond-higher)
	return time.Duration(float64(ahead+1) / left * float64(time.Second))
}

// retryAfter returns when a refused request may come back.
func (s *Scheduler) retryAfter(predicted time.Duration) time.Duration {
	return s.jitter(max(s.policies.admission.MinRetryAfter.Std(), 2*predicted))
}

func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.policies.admission.RetrySpread*s.random.Float64()))
}

// choose returns a slot of the target that is predicted to respond first, or nil
// when no slot is free. The scheduler is locked.
func (s *Scheduler) choose(p *pool, r *Request, now time.Time) *Grant {
	extra, allowed := s.fairness(p, r, now)
	if !allowed {
		return nil
	}
	reserve := p.reserve(r, now)
	c := choice{request: r, now: now, domain: s.domain}
	c.typical, c.usualFail = p.typical()
	chosen := s.policies.of(r.ID)
	s.candidates = s.candidates[:0]
	probe := -1
	for _, t := range p.targets {
		if !t.eligible(now, r) || t.used() >= t.limit(reserve)+s.policies.admission.QueuedRequests+extra {
			continue
		}
		if !t.ejectedUntil.IsZero() {
			if !r.Repeatable && now.Before(t.ejectedUntil.Add(probeWait)) {
				continue // a probe may fail, which a repeatable request survives
			}
			probe = len(s.candidates)
		}
		s.candidates = append(s.candidates, scored{target: t, score: chosen.score(t, &c)})
	}
	if len(s.candidates) == 0 {
		return nil
	}
	if probe < 0 {
		probe = chosen.pick(s.candidates, s.random.Float64)
	}
	best := s.candidates[probe].target
	g := &Grant{
		Target: best.record, target: best, request: r, sent: now, Used: best.used(), Slots: best.record.Slots,
		Candidates: len(s.candidates), Policy: chosen.name,
	}
	best.open[g] = struct{}{}
	return g
}

// reserve returns the steps by which a request of r's rank leaves slots to higher
// ranks: half the number of higher ranks that have been arriving.
func (p *pool) reserve(r *Request, now time.Time) int {
	higher := 0
	for rank := 0; rank < min(max(0, r.Rank), maxRanks); rank++ {
		if p.rates[rank].perSecond(now) > leastRate {
			higher++
		}
	}
	return (higher + 1) / 2
}

// typical returns the median slowness and the median failing share.
func (p *pool) typical() (slow, failing float64) {
	var slows, fails []float64
	for _, t := range p.targets {
		if t.slow > 0 {
			slows = append(slows, t.slow)
		}
		fails = append(fails, t.failing)
	}
	return median(slows, 1), median(fails, 0)
}

// Answered records that the target has begun to respond.
func (s *Scheduler) Answered(g *Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.headAt = s.now()
	p := s.pool(g.request.Service)
	p.first += time.Duration(holdBlend * float64(g.headAt.Sub(g.sent)-p.first))
}

// Release gives the slot back and says how the request ended.
func (s *Scheduler) Release(g *Grant, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(g, o)
}

func (s *Scheduler) release(g *Grant, o Outcome) {
	t := g.target
	if _, ok := t.open[g]; !ok {
		return
	}
	delete(t.open, g)
	now := s.now()
	p := s.pool(g.request.Service)
	if o == Served {
		p.hold += time.Duration(holdBlend * float64(now.Sub(g.sent)-p.hold))
	}
	ejected, returned := t.learn(now, g, o)
	if ejected {
		s.observe.TargetEjected(t.record.ID, t.record.Service, o, t.backoff)
	}
	if returned {
		s.observe.TargetReturned(t.record.ID, t.record.Service)
	}
	s.pumpService(p)
}

// Pump grants free slots to waiting requests. It is called at intervals, because
// slots also become free when other entries release them.
func (s *Scheduler) Pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.pump()
}

// PumpInterval is the time between calls of Pump.
const PumpInterval = pumpInterval

func (s *Scheduler) pump() {
	for _, p := range s.services {
		s.pumpService(p)
	}
}

func (s *Scheduler) pumpService(p *pool) {
	now := s.now()
	p.queue.demote(now, p.first)
	for len(p.queue) > 0 {
		w := p.queue[0]
		if !s.anyTarget(p, w.request) {
			heap.Pop(&p.queue)
			w.refuse(&Refusal{Reason: ReasonNoTarget, RetryAfter: s.jitter(noTargetRetry)})
			continue
		}
		g := s.choose(p, w.request, now)
		if g == nil {
			return
		}
		heap.Pop(&p.queue)
		g.Waited = now.Sub(w.queued)
		w.grant = g
		close(w.done)
	}
}

// Waiting returns the number of requests waiting for a service.
func (s *Scheduler) Waiting(service state.Service) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pool(service).queue)
}
