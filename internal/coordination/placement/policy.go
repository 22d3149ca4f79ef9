package placement

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Names of the built-in policies.
const (
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
	PolicyPrefixAffinity   = "prefix-affinity"
	PolicyCost             = "cost"
)

// BuiltInPolicies returns the built-in policies by name, in the form used in a
// bundle.
func BuiltInPolicies() map[string]state.PlacementPolicy {
	filters := []string{"serves-model", "ready", "not-tried"}
	return map[string]state.PlacementPolicy{
		PolicyRoundRobin: {Filters: filters, Picker: "round-robin"},
		PolicyLeastOutstanding: {
			Filters: filters, Picker: "power-of-two",
			Scorers: []state.WeightedScorer{{Name: "outstanding-requests", Weight: 1}},
		},
		PolicyPrefixAffinity: {
			Filters: filters, Picker: "weighted-near-best",
			Scorers: []state.WeightedScorer{{Name: "cached-prefix", Weight: 3}, {Name: "outstanding-requests", Weight: 1}},
		},
		PolicyCost: {
			Filters: filters, Picker: "weighted-near-best",
			Scorers: []state.WeightedScorer{{Name: "predicted-delay", Weight: 1}},
		},
	}
}

// policy is a state.PlacementPolicy with its plugins resolved.
type policy struct {
	name       string
	filters    []namedFilter
	scorers    []weightedScorer
	picker     picker
	pickerName string
	turns      atomic.Uint64 // turns that the round-robin picker has taken
}

type namedFilter struct {
	name   string
	accept filter
}

type weightedScorer struct {
	score  scorer
	weight float64
}

// policySet holds the parts of a bundle that concern placement. It is immutable
// once it is in effect, except for policy.turns.
type policySet struct {
	policies       map[string]*policy
	split          []splitRange
	placedModels   map[state.TargetID][]string // models that the bundle places on each engine
	reservedByTier []int                       // window slots that each tier leaves to higher tiers
}

// splitRange is the range of request hashes, mapped to 0 to 1, that one policy
// serves. It begins at the end of the previous one.
type splitRange struct {
	policy *policy
	end    float64
}

// initialPolicies returns the policies in effect before the first bundle: the
// policy "cost" for all requests.
func initialPolicies() *policySet {
	p, err := buildPolicy(PolicyCost, BuiltInPolicies()[PolicyCost])
	if err != nil {
		panic(err) // a built-in policy names a plugin that is not registered
	}
	return &policySet{policies: map[string]*policy{PolicyCost: p}, split: []splitRange{{policy: p, end: 1}}}
}

// CheckPolicy returns an error that says why the policy cannot be built, or nil.
func CheckPolicy(name string, spec state.PlacementPolicy) error {
	_, err := buildPolicy(name, spec)
	return err
}

// buildPolicy resolves the plugins of a policy. The error lists all its faults.
func buildPolicy(name string, spec state.PlacementPolicy) (*policy, error) {
	p := &policy{name: name, pickerName: spec.Picker}
	var errs []error
	for _, n := range spec.Filters {
		f, ok := filters[n]
		if !ok {
			errs = append(errs, fmt.Errorf("unknown filter %q", n))
		}
		p.filters = append(p.filters, namedFilter{name: n, accept: f})
	}
	for _, w := range spec.Scorers {
		f, ok := scorers[w.Name]
		if !ok {
			errs = append(errs, fmt.Errorf("unknown scorer %q", w.Name))
		}
		if !(w.Weight > 0) || math.IsInf(w.Weight, 1) {
			errs = append(errs, fmt.Errorf("scorer %q: weight %g, want a finite number greater than 0", w.Name, w.Weight))
		}
		p.scorers = append(p.scorers, weightedScorer{score: f, weight: w.Weight})
	}
	var ok bool
	if p.picker, ok = pickers[spec.Picker]; !ok {
		errs = append(errs, fmt.Errorf("unknown picker %q", spec.Picker))
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("policy %q: %w", name, errors.Join(errs...))
	}
	return p, nil
}

// SetBundle puts the policies of b into effect. If a policy is invalid, the
// earlier one of that name stays in effect; if the split has no usable policy,
// the earlier split does. The error names every invalid policy and such a split.
func (p *Placer) SetBundle(b *state.Bundle) error {
	p.bundleMu.Lock()
	defer p.bundleMu.Unlock()
	old := p.policies.Load()
	set := &policySet{policies: make(map[string]*policy), placedModels: make(map[state.TargetID][]string)}
	errs := set.buildPolicies(b, old)
	if err := set.setSplit(b.Split); err != nil {
		errs = append(errs, err)
		set.split = old.split
	}
	for _, t := range b.Placement {
		for _, m := range t.Models {
			set.placedModels[t.Target] = append(set.placedModels[t.Target], m.Name)
		}
	}
	for _, t := range b.Tiers {
		set.reservedByTier = append(set.reservedByTier, t.Reserve)
	}
	p.policies.Store(set)
	return errors.Join(errs...)
}

// buildPolicies fills in the policies of b. An invalid policy is replaced by the
// one of that name in old, if there is one. It returns an error for each invalid
// policy.
func (s *policySet) buildPolicies(b *state.Bundle, old *policySet) []error {
	var errs []error
	for name, spec := range b.Policies {
		built, err := buildPolicy(name, spec)
		if err != nil {
			errs = append(errs, err)
			built = old.policies[name]
		}
		if built != nil {
			s.policies[name] = built
		}
	}
	return errs
}

// setSplit divides the range of request hashes between the usable policies of the
// split, in proportion to their shares.
func (s *policySet) setSplit(split []state.PolicyShare) error {
	total := 0.0
	for _, share := range split {
		if s.policies[share.Policy] != nil && share.Share > 0 {
			total += share.Share
		}
	}
	if !(total > 0) || math.IsInf(total, 1) {
		return errors.New("split: no usable policy, the earlier split stays in effect")
	}
	sum := 0.0
	for _, share := range split {
		built := s.policies[share.Policy]
		if built == nil || share.Share <= 0 {
			continue
		}
		sum += share.Share
		s.split = append(s.split, splitRange{policy: built, end: sum / total})
	}
	s.split[len(s.split)-1].end = 1
	return nil
}

// forRequest returns the policy of a request. It depends only on the bundle and
// the request id, so all entries with the same bundle agree on it.
func (s *policySet) forRequest(id state.RequestID) *policy {
	position := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
	i := slices.IndexFunc(s.split, func(r splitRange) bool { return position < r.end })
	return s.split[max(0, i)].policy
}

// reservedSlots returns the number of window slots that tier leaves to higher
// tiers.
func (s *policySet) reservedSlots(tier state.Tier) int {
	if int(tier) >= len(s.reservedByTier) {
		return 0
	}
	return s.reservedByTier[tier]
}
