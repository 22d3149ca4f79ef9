package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Connector is told which targets the entry should be able to reach. Its
// methods are called by the goroutine that runs the Placer and must not block.
type Connector interface {
	// SetAddress records the address of the side process of m.Target. keepOpen says
	// whether the session to it stays open when idle.
	SetAddress(m state.Member, keepOpen bool)
	// Connect asks for a session to target unless there is one.
	Connect(target state.TargetID)
	// Forget tells that target is no longer a member.
	Forget(target state.TargetID)
}

// Config configures a Placer.
type Config struct {
	Entry     state.InstanceID    // name of this entry
	Domain    state.FailureDomain // failure domain of this entry
	Seed      uint64              // seeds the random choices
	Connector Connector           // nil: no sessions are asked for
	Log       *zap.Logger         // nil: no log
}

// Placer chooses targets. It is safe for concurrent use. Apart from AttemptSent and
// TargetLeaving, feedback takes effect only while Run runs.
type Placer struct {
	cfg      Config
	salt     uint64 // hash of the entry name, so that entries with equal seeds draw differently
	mailbox  *mailbox
	snapshot atomic.Pointer[snapshot]
	policies atomic.Pointer[policySet]
	bundleMu sync.Mutex // serialises SetBundle
	prefixes *prefixIndex
	owner    *owner
}

// The types of the entry's port, which Placer implements.
type (
	// Query asks for the placement of one request.
	Query = entry.Query
	// Decision is the result of Place. Candidates are the targets that passed the
	// filters, best score first.
	Decision = entry.Decision
	// Candidate is a target that passed the filters of the policy.
	Candidate = entry.Candidate
	// Outcome says how an attempt ended.
	Outcome = entry.Outcome
)

var _ entry.Placer = (*Placer)(nil)

// New returns a Placer without targets and with the policy "cost".
func New(cfg Config) *Placer {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	p := &Placer{
		cfg:      cfg,
		salt:     xxhash.Sum64String(string(cfg.Entry)),
		mailbox:  newMailbox(),
		prefixes: newPrefixIndex(maxIndexedBlocks),
	}
	p.owner = newOwner(p)
	p.snapshot.Store(&snapshot{})
	p.policies.Store(initialPolicies())
	return p
}

// Run applies feedback to the state of the targets until ctx ends. It must be
// called only once.
func (p *Placer) Run(ctx context.Context) error {
	defer p.mailbox.close()
	return p.owner.run(ctx)
}

// Place chooses a target for the request. It returns false when no target
// passes the filters, or when all that do are ejected and being probed;
// Decision.Reason then says why.
func (p *Placer) Place(q Query) (Decision, bool) {
	s := p.evaluate(&q)
	d := Decision{Policy: s.policy.name}
	if len(s.candidates) == 0 {
		d.Reason = s.noCandidateReason()
		return d, false
	}
	chosen, reason := s.choose()
	if chosen == nil {
		d.Reason = "every candidate is being probed"
		return d, false
	}
	state.Assert(!chosen.target.shared.leavingLongerThan(q.Now, leavingGracePeriod), state.LeavingIdle,
		fmt.Sprintf("request %s placed on leaving target %s", q.Request.ID, chosen.target.id))
	d.Target = chosen.target.id
	d.Reason = reason
	d.Wait = chosen.timeToFirstToken
	d.Candidates = s.ranked()
	p.requestSessions(&q, s)
	return d, true
}

// evaluate collects and scores the candidates for a query.
func (p *Placer) evaluate(q *Query) *evaluation {
	policies := p.policies.Load()
	s := &evaluation{
		query:          q,
		policies:       policies,
		policy:         policies.forRequest(q.Request.ID),
		entryDomain:    p.cfg.Domain,
		random:         p.newRandom(q),
		rejectedCounts: make(map[string]int),
	}
	view := p.snapshot.Load()
	s.service, s.onDemandSessions = view.services[q.Request.Service], view.onDemandSessions
	if s.service == nil {
		return s
	}
	s.affinityTargets = affinityTargets(s.service.targets, q.Blocks)
	s.cachedBlocks = p.prefixes.lookup(q.Blocks)
	s.gatherCandidates()
	s.scoreCandidates()
	return s
}

// newRandom returns the source of random numbers for one query. It is seeded from
// the request id, so that a run is repeatable whatever the order of concurrent
// calls.
func (p *Placer) newRandom(q *Query) *rand.Rand {
	id := xxhash.Sum64String(string(q.Request.ID)) + uint64(len(q.Tried))
	return rand.New(rand.NewPCG(p.cfg.Seed^p.salt, id))
}

// requestSessions asks for sessions to the affinity targets outside the subset
// that have none, unless maxOnDemandSessions is reached.
func (p *Placer) requestSessions(q *Query, s *evaluation) {
	for _, t := range s.affinityTargets {
		if t.inSubset || t.connected || !s.isReachable(t) {
			continue
		}
		p.mailbox.put(sessionRequestedEvent{target: t.id}, true)
	}
}

// evaluation holds the candidates for one query and what is known about them.
type evaluation struct {
	query            *Query
	policies         *policySet
	policy           *policy
	service          *serviceView
	entryDomain      state.FailureDomain
	random           *rand.Rand
	affinityTargets  []*target              // targets selected by the prompt's first blocks
	onDemandSessions int                    // sessions to targets outside the subset
	cachedBlocks     map[state.TargetID]int // leading prompt blocks that the prefix index has for each target

	candidates       []*candidate
	rejectedCounts   map[string]int // targets rejected by each filter
	minOutstanding   int            // lowest number of outstanding requests of a candidate
	totalOutstanding int            // outstanding requests of all candidates
	totalDecodeRate  float64        // sum of the candidates' decode rates, tokens per second
}

// candidate is a target under evaluation for one query.
type candidate struct {
	target           *target
	cachedBlocks     int           // leading prompt blocks expected in the target's cache
	hasAffinity      bool          // selected by the prompt's first blocks
	needsProbe       bool          // ejected; may receive one request as a probe
	outstanding      int           // requests queued, running and sent since the figures
	delay            time.Duration // predicted time for all work ahead, including running work, and the prefill
	timeToFirstToken time.Duration // predicted
	rates            tokenRates
	score            float64
}

// gatherCandidates collects the targets that pass the filters, among those in the
// subset and the reachable affinity targets. Leaving targets are excluded
// whatever the policy says.
func (s *evaluation) gatherCandidates() {
	for _, t := range s.service.targets {
		hasAffinity := s.isReachable(t) && slices.Contains(s.affinityTargets, t)
		if !t.inSubset && !hasAffinity {
			continue
		}
		if t.shared.isLeaving() {
			s.rejectedCounts["leaving"]++
			continue
		}
		if name := s.rejectingFilter(t); name != "" {
			s.rejectedCounts[name]++
			continue
		}
		s.addCandidate(t, hasAffinity)
	}
}

// isReachable reports whether the entry keeps a session to t, has one, or may
// open another one on demand.
func (s *evaluation) isReachable(t *target) bool {
	return t.inSubset || t.connected || s.onDemandSessions < maxOnDemandSessions
}

// rejectingFilter returns the name of the first filter that rejects t, or "".
func (s *evaluation) rejectingFilter(t *target) string {
	for _, f := range s.policy.filters {
		if !f.accept(s, t) {
			return f.name
		}
	}
	return ""
}

func (s *evaluation) addCandidate(t *target, hasAffinity bool) {
	c := &candidate{target: t, hasAffinity: hasAffinity, needsProbe: t.ejected}
	c.cachedBlocks = t.expectedCachedBlocks(min(s.cachedBlocks[t.id], len(s.query.Blocks)))
	c.outstanding = t.outstanding(s.query.Now)
	s.predictDelays(c)
	if len(s.candidates) == 0 || c.outstanding < s.minOutstanding {
		s.minOutstanding = c.outstanding
	}
	s.totalOutstanding += c.outstanding
	s.totalDecodeRate += c.rates.decode
	s.candidates = append(s.candidates, c)
}

// scoreCandidates sets the score of each candidate to the weighted mean of the
// policy's scorers.
func (s *evaluation) scoreCandidates() {
	for _, c := range s.candidates {
		sum, weights := 0.0, 0.0
		for _, w := range s.policy.scorers {
			sum += w.weight * min(1, max(0, w.score(s, c)))
			weights += w.weight
		}
		if weights > 0 {
			c.score = sum / weights
		}
	}
}

// choose picks a candidate and says why. A target that is due for its probe gets
// the first idempotent request, because a probe may end with an unknown outcome;
// it gets another request only if no candidate is healthy. The result is nil if
// all candidates are ejected and none can be probed now.
func (s *evaluation) choose() (*candidate, string) {
	var healthy, ejected []*candidate
	for _, c := range s.candidates {
		if c.needsProbe {
			ejected = append(ejected, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if s.query.Request.Idempotent || len(healthy) == 0 {
		for _, c := range ejected {
			isDue := !s.query.Now.Before(c.target.backoffEnd)
			if isDue && c.target.shared.claimProbe(s.query.Now) {
				return c, "probe of an ejected target"
			}
		}
	}
	if len(healthy) == 0 {
		return nil, ""
	}
	return s.policy.picker(s, healthy), s.policy.pickerName
}

// ranked returns the candidates in descending order of their scores.
func (s *evaluation) ranked() []Candidate {
	out := make([]Candidate, 0, len(s.candidates))
	for _, c := range s.candidates {
		out = append(out, Candidate{Target: c.target.id, Score: c.score, Wait: c.timeToFirstToken})
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		switch {
		case a.Score > b.Score:
			return -1
		case a.Score < b.Score:
			return 1
		}
		return 0
	})
	return out
}

// noCandidateReason says why there is no candidate: the service has no targets,
// or how many targets each filter rejected.
func (s *evaluation) noCandidateReason() string {
	if s.service == nil {
		return fmt.Sprintf("no target known for service %q", s.query.Request.Service)
	}
	names := make([]string, 0, len(s.rejectedCounts))
	for name := range s.rejectedCounts {
		names = append(names, name)
	}
	slices.Sort(names)
	out := "no candidate"
	for _, name := range names {
		out += fmt.Sprintf(", rejected by %s: %d", name, s.rejectedCounts[name])
	}
	return out
}
