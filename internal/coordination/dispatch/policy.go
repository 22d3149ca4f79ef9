package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Names of the policies shipped.
const (
	// PredictedDelay chooses the target that is predicted to respond first.
	PredictedDelay = "predicted-delay"
	// LeastOutstanding chooses the target with the fewest requests for its slots.
	LeastOutstanding = "least-outstanding"
)

// Shipped returns the policies shipped, in the form used in a bundle. Targets that
// must not be chosen never are, so there are no filters to name.
func Shipped() map[string]state.PlacementPolicy {
	common := []state.WeightedScorer{{Name: "failing-share", Weight: 1}, {Name: "failure-domain", Weight: 1}}
	return map[string]state.PlacementPolicy{
		PredictedDelay: {
			Picker:  "jittered-best",
			Scorers: append([]state.WeightedScorer{{Name: "predicted-delay", Weight: 1}, {Name: "long-request", Weight: 1}}, common...),
		},
		LeastOutstanding: {
			Picker:  "power-of-two",
			Scorers: append([]state.WeightedScorer{{Name: "outstanding-requests", Weight: 1}}, common...),
		},
	}
}

// DefaultAdmission is in effect before the first bundle. The shares and times are
// from measured days of the users' sites (docs/decisions/0008).
func DefaultAdmission() state.AdmissionPolicy {
	return state.AdmissionPolicy{
		RefuseShare: 0.6, QueuedRequests: 1, MinRetryAfter: state.Duration(400 * time.Millisecond), RetrySpread: 0.6,
	}
}

// choice is what scorers know of a placement besides the target.
type choice struct {
	request *Request
	now     time.Time
	domain  state.FailureDomain
	// typical and usualFail are the median slowness and failing share of the
	// service's targets.
	typical, usualFail float64
}

// scorer returns a factor above 0; targets with a lower product of factors are
// preferred.
type scorer func(t *target, c *choice) float64

// scorers by the names used in a bundle.
var scorers = map[string]scorer{
	"predicted-delay":      scorePredictedDelay,
	"outstanding-requests": scoreOutstandingRequests,
	"failing-share":        scoreFailingShare,
	"failure-domain":       scoreFailureDomain,
	"long-request":         scoreLongRequest,
}

// scored is a target that may take the request.
type scored struct {
	target *target
	score  float64
}

// random returns a number from 0 up to but not including 1.
type random func() float64

// picker returns the index of the candidate chosen.
type picker func(candidates []scored, draw random) int

// pickers by the names used in a bundle.
var pickers = map[string]picker{
	"jittered-best": pickJitteredBest,
	"power-of-two":  pickPowerOfTwo,
}

// policy is a built state.PlacementPolicy.
type policy struct {
	name    string
	scorers []weighted
	pick    picker
}

type weighted struct {
	score  scorer
	weight float64
}

// score returns the product of the factors, each to the power of its weight.
func (p *policy) score(t *target, c *choice) float64 {
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

func buildPolicy(name string, spec state.PlacementPolicy) (*policy, error) {
	p := &policy{name: name, pick: pickers[spec.Picker]}
	var errs []error
	if p.pick == nil {
		errs = append(errs, fmt.Errorf("unknown picker %q", spec.Picker))
	}
	if len(spec.Filters) > 0 {
		errs = append(errs, errors.New("filters cannot be named: targets that must not be chosen never are"))
	}
	for _, s := range spec.Scorers {
		score := scorers[s.Name]
		if score == nil {
			errs = append(errs, fmt.Errorf("unknown scorer %q", s.Name))
		}
		if !(s.Weight > 0) || math.IsInf(s.Weight, 1) {
			errs = append(errs, fmt.Errorf("scorer %q: weight %g, want more than 0", s.Name, s.Weight))
		}
		p.scorers = append(p.scorers, weighted{score: score, weight: s.Weight})
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("policy %q: %w", name, errors.Join(errs...))
	}
	return p, nil
}

// Policies is what a bundle says about placement. It is immutable.
type Policies struct {
	admission state.AdmissionPolicy
	shares    []policyShare
}

// policyShare is one policy's part of the requests.
type policyShare struct {
	policy *policy
	upTo   float64 // end of the part, 0 to 1
}

// NewPolicies builds what a bundle says. Its error names every reason for which a
// policy cannot be built.
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
			errs = append(errs, fmt.Errorf("split: policy %q cannot be used", s.Policy))
		}
	}
	if len(split) == 0 || !(total > 0) {
		errs = append(errs, errors.New("split: want shares above 0"))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	p := &Policies{admission: admission}
	sum := 0.0
	for _, s := range split {
		sum += s.Share
		p.shares = append(p.shares, policyShare{policy: built[s.Policy], upTo: sum / total})
	}
	return p, nil
}

// defaultPolicies is in effect before the first bundle.
func defaultPolicies() *Policies {
	p, err := NewPolicies(DefaultAdmission(), Shipped(), []state.PolicyShare{{Policy: PredictedDelay, Share: 1}})
	if err != nil {
		panic(err) // Shipped names a plugin that is not registered
	}
	return p
}

// of returns the policy of a request, by a hash of its id, so that all entries
// choose the same.
func (p *Policies) of(id state.RequestID) *policy {
	if len(p.shares) > 1 {
		at := float64(xxhash.Sum64String(string(id))) / math.MaxUint64
		for _, s := range p.shares[:len(p.shares)-1] {
			if at < s.upTo {
				return s.policy
			}
		}
	}
	return p.shares[len(p.shares)-1].policy
}
