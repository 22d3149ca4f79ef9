package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Names of the built-in policies.
const (
	// PolicyPredictedDelay prefers targets that are predicted to respond early.
	PolicyPredictedDelay = "predicted-delay"
	// PolicyLeastOutstanding prefers targets with few outstanding requests per slot.
	PolicyLeastOutstanding = "least-outstanding"
)

// BuiltInPolicies returns the built-in policies by name, in the form used in a
// bundle. They have no filters, because ineligible targets are always excluded.
func BuiltInPolicies() map[string]state.PlacementPolicy {
	common := []state.WeightedScorer{{Name: "failing-share", Weight: 1}, {Name: "failure-domain", Weight: 1}}
	return map[string]state.PlacementPolicy{
		PolicyPredictedDelay: {
			Picker:  "jittered-best",
			Scorers: append([]state.WeightedScorer{{Name: "predicted-delay", Weight: 1}, {Name: "long-request", Weight: 1}}, common...),
		},
		PolicyLeastOutstanding: {
			Picker:  "power-of-two",
			Scorers: append([]state.WeightedScorer{{Name: "outstanding-requests", Weight: 1}}, common...),
		},
	}
}

// DefaultAdmission returns the admission policy in effect before the first bundle.
// Its shares and times follow from the traffic of the users' sites
// (docs/decisions/0008).
func DefaultAdmission() state.AdmissionPolicy {
	return state.AdmissionPolicy{
		RefuseShare: 2, QueuedRequests: 1, MinRetryAfter: state.Duration(400 * time.Millisecond), RetrySpread: 0.6, LateWork: true,
	}
}

// scoringInput holds what scorers know about a placement besides the target.
type scoringInput struct {
	request *Request
	now     time.Time
	domain  state.FailureDomain
	cost    *costmodel.Service
	// medianFailing is the median of the failing share over the targets of the service
	// that this entry uses.
	medianFailing float64
}

// scorer returns a factor above 0 of a target's score. Targets with lower scores are
// preferred.
type scorer func(t *target, c *scoringInput) float64

// scorers has the scorers by the names used in a bundle.
var scorers = map[string]scorer{
	"predicted-delay":      scorePredictedDelay,
	"outstanding-requests": scoreOutstandingRequests,
	"failing-share":        scoreFailingShare,
	"failure-domain":       scoreFailureDomain,
	"long-request":         scoreLongRequest,
}

// candidate is a target that may take the request, with its score.
type candidate struct {
	target *target
	fit    fit
	score  float64
}

// randomFloat returns a random number in [0, 1).
type randomFloat func() float64

// picker returns the index of the candidate to use. There is at least one.
type picker func(candidates []candidate, draw randomFloat) int

// pickers has the pickers by the names used in a bundle.
var pickers = map[string]picker{
	"jittered-best": pickJitteredBest,
	"power-of-two":  pickPowerOfTwo,
}

// policy is a state.PlacementPolicy with its scorers and picker resolved.
type policy struct {
	name    string
	scorers []weightedScorer
	pick    picker
}

type weightedScorer struct {
	score  scorer
	weight float64
}

// score returns the product of the scorers' factors, each raised to the power of its
// weight.
func (p *policy) score(t *target, c *scoringInput) float64 {
	product := 1.0
	for _, s := range p.scorers {
		factor := s.score(t, c)
		if s.weight != 1 {
			factor = math.Pow(factor, s.weight)
		}
		product *= factor
	}
	return product
}

// buildPolicy resolves the names in spec. Its error names everything that is invalid.
func buildPolicy(name string, spec state.PlacementPolicy) (*policy, error) {
	p := &policy{name: name, pick: pickers[spec.Picker]}
	var errs []error
	if p.pick == nil {
		errs = append(errs, fmt.Errorf("unknown picker %q", spec.Picker))
	}
	if len(spec.Filters) > 0 {
		errs = append(errs, errors.New("filters are not supported: ineligible targets are always excluded"))
	}
	for _, s := range spec.Scorers {
		score := scorers[s.Name]
		if score == nil {
			errs = append(errs, fmt.Errorf("unknown scorer %q", s.Name))
		}
		if !(s.Weight > 0) || math.IsInf(s.Weight, 1) {
			errs = append(errs, fmt.Errorf("scorer %q: weight %g, want a finite number above 0", s.Name, s.Weight))
		}
		p.scorers = append(p.scorers, weightedScorer{score: score, weight: s.Weight})
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("policy %q: %w", name, errors.Join(errs...))
	}
	return p, nil
}

// Policies holds the admission policy and the placement policies of a bundle. It is
// immutable.
type Policies struct {
	admission state.AdmissionPolicy
	shares    []policyShare
}

// policyShare is the share of the requests that a policy places.
type policyShare struct {
	policy     *policy
	cumulative float64 // share of this policy and those before it, 0 to 1
}

// NewPolicies resolves the policies of a bundle. Its error names everything that is
// invalid.
func NewPolicies(admission state.AdmissionPolicy, specs map[string]state.PlacementPolicy, split []state.PolicyShare) (*Policies, error) {
	built := make(map[string]*policy, len(specs))
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(specs)) {
		p, err := buildPolicy(name, specs[name])
		errs = append(errs, err)
		built[name] = p
	}
	total := 0.0
	for _, s := range split {
		total += s.Share
		if built[s.Policy] == nil {
			errs = append(errs, fmt.Errorf("split: policy %q is undefined or invalid", s.Policy))
		}
	}
	if len(split) == 0 || !(total > 0) {
		errs = append(errs, errors.New("split: the shares must add up to more than 0"))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	p := &Policies{admission: admission}
	sum := 0.0
	for _, s := range split {
		sum += s.Share
		p.shares = append(p.shares, policyShare{policy: built[s.Policy], cumulative: sum / total})
	}
	return p, nil
}

// defaultPolicies returns the policies in effect before the first bundle.
func defaultPolicies() *Policies {
	p, err := NewPolicies(DefaultAdmission(), BuiltInPolicies(), []state.PolicyShare{{Policy: PolicyPredictedDelay, Share: 1}})
	if err != nil {
		panic(err) // BuiltInPolicies names a scorer or picker that does not exist
	}
	return p
}

// forRequest returns the policy for a request. It depends on a hash of the request's
// ID only, so that all entries use the same.
func (p *Policies) forRequest(id state.RequestID) *policy {
	if len(p.shares) > 1 {
		fraction := float64(xxhash.Sum64String(string(id))) / math.MaxUint64
		for _, s := range p.shares[:len(p.shares)-1] {
			if fraction < s.cumulative {
				return s.policy
			}
		}
	}
	return p.shares[len(p.shares)-1].policy
}
