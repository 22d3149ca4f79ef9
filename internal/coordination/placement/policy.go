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

// Names of the policies shipped.
const (
	RoundRobin       = "round-robin"
	LeastOutstanding = "least-outstanding"
	PrefixAffinity   = "prefix-affinity"
	Cost             = "cost"
)

// Shipped returns the policies shipped, by name, in the form used in a bundle.
func Shipped() map[string]state.PlacementPolicy {
	filters := []string{"serves-model", "ready", "not-tried"}
	return map[string]state.PlacementPolicy{
		RoundRobin: {Filters: filters, Picker: "round-robin"},
		LeastOutstanding: {
			Filters: filters, Picker: "power-of-two",
			Scorers: []state.WeightedScorer{{Name: "outstanding-requests", Weight: 1}},
		},
		PrefixAffinity: {
			Filters: filters, Picker: "weighted-near-best",
			Scorers: []state.WeightedScorer{{Name: "cached-prefix", Weight: 3}, {Name: "outstanding-requests", Weight: 1}},
		},
		Cost: {
			Filters: filters, Picker: "weighted-near-best",
			Scorers: []state.WeightedScorer{{Name: "predicted-delay", Weight: 1}},
		},
	}
}

// policy is a built state.PlacementPolicy.
type policy struct {
	name       string
	filters    []namedFilter
	scorers    []weightedScorer
	picker     picker
	pickerName string
	turn       atomic.Uint64 // position of the round-robin picker
}

type namedFilter struct {
	name   string
	accept filter
}

type weightedScorer struct {
	score  scorer
	weight float64
}

// policySet holds what a bundle says about placement. It is immutable.
type policySet struct {
	policies map[string]*policy
	split    []share
	models   map[state.TargetID][]string // models that the bundle places on each engine
	reserves []int                       // window slots that each tier leaves to higher tiers
}

// share is one policy's part of the hash range.
type share struct {
	policy *policy
	upTo   float64 // end of the part, 0 to 1
}

// initialPolicies is in effect before the first bundle.
func initialPolicies() *policySet {
	p, err := build(Cost, Shipped()[Cost])
	if err != nil {
		panic(err) // Shipped names a plugin that is not registered
	}
	return &policySet{policies: map[string]*policy{Cost: p}, split: []share{{policy: p, upTo: 1}}}
}

// CheckPolicy reports why a policy cannot be built, or nil.
func CheckPolicy(name string, spec state.PlacementPolicy) error {
	_, err := build(name, spec)
	return err
}

func build(name string, spec state.PlacementPolicy) (*policy, error) {
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
			errs = append(errs, fmt.Errorf("scorer %q: weight %g, want more than 0", w.Name, w.Weight))
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

// SetBundle puts the policies of b into effect. An invalid policy leaves the
// earlier one of that name in effect, and a split without any usable policy
// leaves the earlier split in effect; the error names both.
func (p *Placer) SetBundle(b *state.Bundle) error {
	p.setting.Lock()
	defer p.setting.Unlock()
	old := p.policies.Load()
	set := &policySet{policies: make(map[string]*policy), models: make(map[state.TargetID][]string)}
	errs := set.build(b, old)
	if err := set.share(b.Split); err != nil {
		errs = append(errs, err)
		set.split = old.split
	}
	for _, t := range b.Placement {
		for _, m := range t.Models {
			set.models[t.Target] = append(set.models[t.Target], m.Name)
		}
	}
	for _, t := range b.Tiers {
		set.reserves = append(set.reserves, t.Reserve)
	}
	p.policies.Store(set)
	return errors.Join(errs...)
}

// build fills in the policies of b, using those of old for invalid ones.
func (s *policySet) build(b *state.Bundle, old *policySet) []error {
	var errs []error
	for name, spec := range b.Policies {
		built, err := build(name, spec)
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

// share divides the hash range between the policies that were built.
func (s *policySet) share(split []state.PolicyShare) error {
	total := 0.0
	for _, part := range split {
		if s.policies[part.Policy] != nil && part.Share > 0 {
			total += part.Share
		}
	}
	if !(total > 0) || math.IsInf(total, 1) {
		return errors.New("split: no usable policy, the earlier split stays in effect")
	}
	sum := 0.0
	for _, part := range split {
		built := s.policies[part.Policy]
		if built == nil || part.Share <= 0 {
			continue
		}
		sum += part.Share
		s.split = append(s.split, share{policy: built, upTo: sum / total})
	}
	s.split[len(s.split)-1].upTo = 1
	return nil
}

// forRequest returns the policy of a request. All entries with the same bundle
// agree on it.
func (s *policySet) forRequest(id state.RequestID) *policy {
	at := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
	i := slices.IndexFunc(s.split, func(part share) bool { return at < part.upTo })
	return s.split[max(0, i)].policy
}

// reserve returns the window slots that tier leaves to higher tiers.
func (s *policySet) reserve(tier state.Tier) int {
	if int(tier) >= len(s.reserves) {
		return 0
	}
	return s.reserves[tier]
}
