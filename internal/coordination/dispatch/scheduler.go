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
	// fullLoadFactor is how many times Request.Cost a request takes when all slots of
	// an engine are in use, because the requests in the slots share the engine.
	fullLoadFactor = 6.0
	// initialHoldTime and initialResponseDelay start the moving averages of a service.
	initialHoldTime      = 300 * time.Millisecond
	timeAverageWeight    = 0.1 // weight of one request in these moving averages
	initialResponseDelay = 100 * time.Millisecond
	// minRankShare is the share of the freed slots that a rank is predicted to get,
	// however many requests of higher ranks arrive.
	minRankShare = 0.1
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

	mu           sync.Mutex
	random       *rand.Rand
	position     Position
	services     map[state.Service]*pool
	targets      map[state.TargetID]*target
	targetsByKey map[TargetKey]*target
	peerReports  map[state.InstanceID]*peerReport
	observer     Observer
	policies     *Policies
	// candidates is the scratch slice of tryGrant, reused between calls.
	candidates []candidate
}

// Observer is notified when targets are ejected and when they are in use again. Its
// methods are called with the scheduler locked, so they must not block or call the
// scheduler.
type Observer interface {
	TargetEjected(id state.TargetID, service state.Service, cause Outcome, backoff time.Duration)
	TargetReturned(id state.TargetID, service state.Service)
}

// pool holds the targets, the queue and the moving averages of one service.
type pool struct {
	name             state.Service
	allTargets       []*target
	subset           []*target // targets that this entry uses
	sharedBeyondNear bool      // entries other than the near ones use targets of the subset too
	queue            queue
	holdTime         time.Duration // moving average of the time from grant to release of served requests
	responseDelay    time.Duration // moving average of the time from grant to the start of the response
	arrivalRates     [maxRanks]arrivalRate
	serial           uint64 // serial of the request queued last
}

// peerReport is the latest report of another entry.
type peerReport struct {
	report  Report
	expires time.Time
}

// Report is the load that an entry reports to the others.
type Report struct {
	Open map[TargetKey]int // open requests of the entry at each target
	// Prefill is the prefill work of the open requests that have no response yet, in
	// milliseconds, for targets where it is at least minReportedPrefillMillis.
	Prefill map[TargetKey]int
	Waiting map[state.Service][]int // number of waiting requests, indexed by rank
	// Lifetime is how long the report counts, unless a newer one replaces it; it
	// counts for minReportLifetime at least.
	Lifetime time.Duration
}

// New returns a scheduler without targets, for an entry in domain. seed initializes
// the random choices, and now returns the current time.
func New(domain state.FailureDomain, seed uint64, now func() time.Time, observer Observer) *Scheduler {
	return &Scheduler{
		domain: domain, now: now, random: rand.New(rand.NewPCG(seed, 0)), observer: observer,
		services: make(map[state.Service]*pool), targets: make(map[state.TargetID]*target),
		peerReports: make(map[state.InstanceID]*peerReport), policies: defaultPolicies(),
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
	listed := make(map[state.TargetID]*target, len(records))
	for _, p := range s.services {
		p.allTargets = nil
	}
	for _, r := range records {
		t := s.targets[r.ID]
		if t == nil || t.record.Started != r.Started || t.record.Address != r.Address {
			t = newTarget(r)
		}
		t.record = r
		listed[r.ID] = t
		p := s.pool(r.Service)
		p.allTargets = append(p.allTargets, t)
	}
	s.targets = listed
	s.targetsByKey = make(map[TargetKey]*target, len(listed))
	for _, t := range listed {
		s.targetsByKey[t.key()] = t
	}
	s.recountReports()
	s.updateSubsets()
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
	s.grantFreeSlots()
}

// pool returns the pool of a service and creates it if needed.
func (s *Scheduler) pool(name state.Service) *pool {
	p := s.services[name]
	if p == nil {
		p = &pool{name: name, holdTime: initialHoldTime, responseDelay: initialResponseDelay}
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
			s.release(w.grant, Cancelled)
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
	if !s.hasTargetFor(p, r) {
		return nil, nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: s.addJitter(noTargetRetryAfter)}
	}
	p.arrivalRates[min(max(0, r.Rank), maxRanks-1)].record(now)
	p.queue.demoteLate(now, p.responseDelay)
	requestsAhead := p.queue.requestsAhead(r)
	if requestsAhead == 0 {
		if g := s.tryGrant(p, r, now); g != nil {
			return nil, g, nil
		}
	}
	predicted := s.predictWait(p, r, requestsAhead, now)
	if !r.AlreadyAdmitted {
		if predicted > time.Duration(s.policies.admission.RefuseShare*float64(r.Objective)) || len(p.queue) >= maxQueueLength {
			return nil, nil, &Refusal{
				Reason: ReasonOverload, RetryAfter: s.retryAfter(predicted), Ahead: requestsAhead, PredictedWait: predicted,
			}
		}
	}
	p.serial++
	w := &waiter{request: r, serial: p.serial, queuedAt: now, done: make(chan struct{})}
	heap.Push(&p.queue, w)
	return w, nil, nil
}

// hasTargetFor reports whether some target of the service may take r, now or later.
func (s *Scheduler) hasTargetFor(p *pool, r *Request) bool {
	for _, t := range p.subset {
		if !t.record.Draining && !r.tried(t.record.ID) {
			return true
		}
	}
	return false
}

// predictWait returns the predicted wait of r when ahead waiting requests are served
// before it. Each open request of this entry frees its slot after holdTime on average, and
// requests of higher ranks that arrive in the meantime take some of the freed slots.
func (s *Scheduler) predictWait(p *pool, r *Request, ahead int, now time.Time) time.Duration {
	own := 0
	for _, t := range p.subset {
		own += len(t.openGrants)
	}
	freedPerSecond := float64(max(1, own)) / p.holdTime.Seconds()
	higherPerSecond := 0.0
	for rank := 0; rank < min(r.Rank, maxRanks); rank++ {
		higherPerSecond += p.arrivalRates[rank].perSecond(now)
	}
	availablePerSecond := max(minRankShare*freedPerSecond, freedPerSecond-higherPerSecond)
	return time.Duration(float64(ahead+1) / availablePerSecond * float64(time.Second))
}

// retryAfter returns the time after which a refused request with this predicted
// wait may be retried.
func (s *Scheduler) retryAfter(predicted time.Duration) time.Duration {
	return s.addJitter(max(s.policies.admission.MinRetryAfter.Std(), 2*predicted))
}

// addJitter lengthens d by a random share of it, up to RetrySpread.
func (s *Scheduler) addJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.policies.admission.RetrySpread*s.random.Float64()))
}

// tryGrant grants a slot of the target that the request's policy picks, or returns
// nil if r may take no slot now. An ejected target that is due for a probe is
// preferred to what the policy picks. The caller must hold s.mu.
func (s *Scheduler) tryGrant(p *pool, r *Request, now time.Time) *Grant {
	overcommit, allowed := s.fairShare(p, r, now)
	if !allowed {
		return nil
	}
	reservedSlots := p.reservedSlots(r, now)
	c := scoringInput{request: r, now: now, domain: s.domain}
	c.medianSlowness, c.medianFailing = p.medianSlownessAndFailing()
	policy := s.policies.forRequest(r.ID)
	s.candidates = s.candidates[:0]
	picked := -1 // index of the chosen candidate
	for _, t := range p.subset {
		if !t.eligible(now, r) || t.outstanding() >= t.requestLimit(reservedSlots)+s.policies.admission.QueuedRequests+overcommit {
			continue
		}
		if !t.ejectedUntil.IsZero() {
			if !r.Repeatable && now.Before(t.ejectedUntil.Add(repeatableProbeWait)) {
				continue // a probe may fail, and only a repeatable request can be sent again
			}
			picked = len(s.candidates)
		}
		s.candidates = append(s.candidates, candidate{target: t, score: policy.score(t, &c)})
	}
	if len(s.candidates) == 0 {
		return nil
	}
	if picked < 0 {
		picked = policy.pick(s.candidates, s.random.Float64)
	}
	chosen := s.candidates[picked].target
	g := &Grant{
		Target: chosen.record, target: chosen, request: r, grantedAt: now, Used: chosen.outstanding(), Slots: chosen.record.Slots,
		Candidates: len(s.candidates), Policy: policy.name,
	}
	chosen.openGrants[g] = struct{}{}
	return g
}

// reservedSlots returns how many slots of each target a request of r's rank leaves
// to higher ranks: half the number of higher ranks with recent arrivals, rounded up.
func (p *pool) reservedSlots(r *Request, now time.Time) int {
	higherRanks := 0
	for rank := 0; rank < min(max(0, r.Rank), maxRanks); rank++ {
		if p.arrivalRates[rank].perSecond(now) > minReserveRate {
			higherRanks++
		}
	}
	return (higherRanks + 1) / 2
}

// medianSlownessAndFailing returns the medians of the measured slowness and of the
// failing share over the targets that this entry uses. The slowness is 1 if none is
// measured.
func (p *pool) medianSlownessAndFailing() (measuredSlowness, failingShare float64) {
	var slownesses, failingShares []float64
	for _, t := range p.subset {
		if t.measuredSlowness > 0 {
			slownesses = append(slownesses, t.measuredSlowness)
		}
		failingShares = append(failingShares, t.failingShare)
	}
	return median(slownesses, 1), median(failingShares, 0)
}

// ResponseStarted records that the target has started to respond.
func (s *Scheduler) ResponseStarted(g *Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.respondedAt = s.now()
	p := s.pool(g.request.Service)
	p.responseDelay += time.Duration(timeAverageWeight * float64(g.respondedAt.Sub(g.grantedAt)-p.responseDelay))
}

// Release returns the slot and records how the request ended. Releasing a grant
// again has no effect.
func (s *Scheduler) Release(g *Grant, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(g, o)
}

func (s *Scheduler) release(g *Grant, o Outcome) {
	t := g.target
	if _, ok := t.openGrants[g]; !ok {
		return
	}
	delete(t.openGrants, g)
	now := s.now()
	p := s.pool(g.request.Service)
	if o == Served {
		p.holdTime += time.Duration(timeAverageWeight * float64(now.Sub(g.grantedAt)-p.holdTime))
	}
	ejected, returned := t.recordOutcome(now, g, o)
	if ejected {
		s.observer.TargetEjected(t.record.ID, t.record.Service, o, t.backoff)
	}
	if returned {
		s.observer.TargetReturned(t.record.ID, t.record.Service)
	}
	s.grantFreeSlotsOf(p)
}

// GrantFreeSlots drops expired reports and grants free slots to waiting requests. It
// must be called at intervals, because slots also become free when other entries
// release them.
func (s *Scheduler) GrantFreeSlots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireReports()
	s.grantFreeSlots()
}

// GrantInterval is the base of the interval between calls of GrantFreeSlots; callers
// may use a small multiple of it.
const GrantInterval = grantInterval

// grantFreeSlots grants free slots to the waiting requests of all services. The
// caller must hold s.mu.
func (s *Scheduler) grantFreeSlots() {
	for _, p := range s.services {
		s.grantFreeSlotsOf(p)
	}
}

// grantFreeSlotsOf grants slots to the waiting requests of one service, in the order
// of the queue, until one gets none.
func (s *Scheduler) grantFreeSlotsOf(p *pool) {
	now := s.now()
	p.queue.demoteLate(now, p.responseDelay)
	for len(p.queue) > 0 {
		w := p.queue[0]
		if !s.hasTargetFor(p, w.request) {
			heap.Pop(&p.queue)
			w.refuse(&Refusal{Reason: ReasonNoTarget, RetryAfter: s.addJitter(noTargetRetryAfter)})
			continue
		}
		g := s.tryGrant(p, w.request, now)
		if g == nil {
			return
		}
		heap.Pop(&p.queue)
		g.Waited = now.Sub(w.queuedAt)
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
