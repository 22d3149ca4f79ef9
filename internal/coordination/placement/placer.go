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
	// SetAddress records where the side process beside m.Target is reached. keep
	// says whether the session is held open when idle.
	SetAddress(m state.Member, keep bool)
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

// Placer chooses targets. It is safe for concurrent use. Run must run for
// feedback to take effect.
type Placer struct {
	cfg      Config
	salt     uint64 // hash of the entry name, so that entries with equal seeds draw differently
	mailbox  *mailbox
	snapshot atomic.Pointer[snapshot]
	policies atomic.Pointer[policySet]
	setting  sync.Mutex // serialises SetBundle
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

// Run owns the tracked state until ctx ends. It is called once.
func (p *Placer) Run(ctx context.Context) error {
	defer p.mailbox.close()
	return p.owner.run(ctx)
}

// Place chooses a target for the request. It returns false when no target
// passes the filters; Decision.Reason then says why.
func (p *Placer) Place(q Query) (Decision, bool) {
	s := p.evaluate(&q)
	d := Decision{Policy: s.policy.name}
	if len(s.candidates) == 0 {
		d.Reason = s.rejections()
		return d, false
	}
	chosen, reason := s.choose()
	if chosen == nil {
		d.Reason = "every candidate is being probed"
		return d, false
	}
	state.Assert(!chosen.target.live.leftFor(q.Now, leavingLimit), state.LeavingIdle,
		fmt.Sprintf("request %s placed on leaving target %s", q.Request.ID, chosen.target.id))
	d.Target = chosen.target.id
	d.Reason = reason
	d.Wait = chosen.wait
	d.Candidates = s.ranked()
	p.wantSession(&q, s)
	return d, true
}

// evaluate gathers and scores the candidates for a query.
func (p *Placer) evaluate(q *Query) *evaluation {
	set := p.policies.Load()
	s := &evaluation{
		query:    q,
		set:      set,
		policy:   set.forRequest(q.Request.ID),
		domain:   p.cfg.Domain,
		random:   p.random(q),
		rejected: make(map[string]int),
	}
	view := p.snapshot.Load()
	s.service, s.onDemand = view.services[q.Request.Service], view.onDemand
	if s.service == nil {
		return s
	}
	s.affinity = affinityTargets(s.service.all, q.Blocks)
	s.cached = p.prefixes.lookup(q.Blocks)
	s.gather()
	s.score()
	return s
}

// random returns the source of random numbers for one query. Deriving it from
// the request id makes a run repeatable whatever the order of concurrent calls.
func (p *Placer) random(q *Query) *rand.Rand {
	id := xxhash.Sum64String(string(q.Request.ID)) + uint64(len(q.Tried))
	return rand.New(rand.NewPCG(p.cfg.Seed^p.salt, id))
}

// wantSession asks for sessions to the targets that the prompt's first blocks
// select and that the entry holds no session to.
func (p *Placer) wantSession(q *Query, s *evaluation) {
	for _, t := range s.affinity {
		if t.subset || t.connected || !s.reachable(t) {
			continue
		}
		p.mailbox.put(wantEvent{target: t.id}, true)
	}
}

// evaluation holds the candidates for one query and what is known about them.
type evaluation struct {
	query    *Query
	set      *policySet
	policy   *policy
	service  *serviceView
	domain   state.FailureDomain
	random   *rand.Rand
	affinity []*target              // targets selected by the prompt's first blocks
	onDemand int                    // sessions to targets outside the subset
	cached   map[state.TargetID]int // leading prompt blocks expected in each target's cache

	candidates []*candidate
	rejected   map[string]int // targets rejected by each filter
	fewest     int            // lowest number of outstanding requests
	total      int            // sum of outstanding requests
	speed      float64        // sum of decode speeds
}

// candidate is a target under evaluation for one query.
type candidate struct {
	target      *target
	cached      int           // leading prompt blocks expected in the target's cache
	affinity    bool          // selected by the prompt's first blocks
	probing     bool          // ejected earlier; may receive one request
	outstanding int           // requests queued, running and sent since the figures
	delay       time.Duration // predicted delay including running work
	wait        time.Duration // predicted time to the first token
	rates       rates
	score       float64
}

// gather fills in the candidates that pass the filters. Leaving targets are
// left out whatever the policy says.
func (s *evaluation) gather() {
	for _, t := range s.service.all {
		affinity := s.reachable(t) && slices.Contains(s.affinity, t)
		if !t.subset && !affinity {
			continue
		}
		if t.live.leaving() {
			s.rejected["leaving"]++
			continue
		}
		if name := s.rejectedBy(t); name != "" {
			s.rejected[name]++
			continue
		}
		s.add(t, affinity)
	}
}

// reachable reports whether there is a session to t or may be one.
func (s *evaluation) reachable(t *target) bool {
	return t.subset || t.connected || s.onDemand < maxOnDemand
}

func (s *evaluation) rejectedBy(t *target) string {
	for _, f := range s.policy.filters {
		if !f.accept(s, t) {
			return f.name
		}
	}
	return ""
}

func (s *evaluation) add(t *target, affinity bool) {
	c := &candidate{target: t, affinity: affinity, probing: t.ejected}
	c.cached = t.trusted(min(s.cached[t.id], len(s.query.Blocks)))
	c.outstanding = t.outstanding(s.query.Now)
	s.predict(c)
	if len(s.candidates) == 0 || c.outstanding < s.fewest {
		s.fewest = c.outstanding
	}
	s.total += c.outstanding
	s.speed += c.rates.decode
	s.candidates = append(s.candidates, c)
}

// score fills in the weighted mean of the policy's scorers.
func (s *evaluation) score() {
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

// choose picks a candidate. A target that is due for its probe gets the first
// idempotent request, because a probe may end with an unknown outcome.
func (s *evaluation) choose() (*candidate, string) {
	var sound, probing []*candidate
	for _, c := range s.candidates {
		if c.probing {
			probing = append(probing, c)
		} else {
			sound = append(sound, c)
		}
	}
	if s.query.Request.Idempotent || len(sound) == 0 {
		for _, c := range probing {
			due := !s.query.Now.Before(c.target.probeFrom)
			if due && c.target.live.claimProbe(s.query.Now) {
				return c, "probe of an ejected target"
			}
		}
	}
	if len(sound) == 0 {
		return nil, ""
	}
	return s.policy.picker(s, sound), s.policy.pickerName
}

// ranked returns the candidates in the order of their scores.
func (s *evaluation) ranked() []Candidate {
	out := make([]Candidate, 0, len(s.candidates))
	for _, c := range s.candidates {
		out = append(out, Candidate{Target: c.target.id, Score: c.score, Wait: c.wait})
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

// rejections says how many targets each filter rejected.
func (s *evaluation) rejections() string {
	if s.service == nil {
		return fmt.Sprintf("no target known for service %q", s.query.Request.Service)
	}
	names := make([]string, 0, len(s.rejected))
	for name := range s.rejected {
		names = append(names, name)
	}
	slices.Sort(names)
	out := "no candidate"
	for _, name := range names {
		out += fmt.Sprintf(" %s=%d", name, s.rejected[name])
	}
	return out
}
