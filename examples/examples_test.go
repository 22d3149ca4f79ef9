// Package examples checks the example settings and bundle templates.
package examples

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tailscale/hujson"

	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/settings"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

var deployments = []string{"tema", "pelletier"}

func readBundle(t *testing.T, user string) *state.Bundle {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(user, "bundle.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		t.Fatal(err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	b := new(state.Bundle)
	if err := dec.Decode(b); err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against an example that the program rejects or that names a plugin that does
// not exist.
func TestBundles(t *testing.T) {
	for _, user := range deployments {
		b := readBundle(t, user)
		if err := b.Validate(); err != nil {
			t.Errorf("%s: %v", user, err)
		}
		if len(b.Tiers) != 4 || len(b.Customers) != 5 || len(b.Services) != 2 || len(b.Placement) != 10 {
			t.Errorf("%s: %d tiers, %d customers, %d services, %d placements", user, len(b.Tiers), len(b.Customers), len(b.Services), len(b.Placement))
		}
		for _, name := range []string{placement.PolicyRoundRobin, placement.PolicyLeastOutstanding, placement.PolicyPrefixAffinity, placement.PolicyCost} {
			if err := placement.CheckPolicy(name, b.Policies[name]); err != nil {
				t.Errorf("%s: %v", user, err)
			}
		}
		for _, p := range b.Placement {
			for _, m := range p.Models {
				if _, ok := b.ServiceForModel(m.Name); !ok {
					t.Errorf("%s: placement of %s: no service serves %q", user, p.Target, m.Name)
				}
			}
		}
	}
}

// Guards against weights that contradict the main objective of each deployment:
// goodput by tier for tema, little wasted prefill for pelletier.
func TestWeights(t *testing.T) {
	wantHeaviest := map[string]string{"tema": "predicted-delay", "pelletier": "cached-prefix"}
	for _, user := range deployments {
		scorers := readBundle(t, user).Policies[placement.PolicyCost].Scorers
		heaviest := slices.MaxFunc(scorers, func(a, b state.WeightedScorer) int {
			if a.Weight < b.Weight {
				return -1
			}
			return 1
		})
		if heaviest.Name != wantHeaviest[user] {
			t.Errorf("%s: the heaviest scorer is %s, want %s", user, heaviest.Name, wantHeaviest[user])
		}
	}
}

// Guards against settings that do not load, or that are inconsistent with the bundle or
// with each other.
func TestSettings(t *testing.T) {
	for _, user := range deployments {
		entry, err := settings.Load(filepath.Join(user, "entry.jsonc"))
		if err != nil {
			t.Fatal(err)
		}
		side, err := settings.Load(filepath.Join(user, "side.jsonc"))
		if err != nil {
			t.Fatal(err)
		}
		if entry.Role != state.EntryRole || side.Role != state.SideRole {
			t.Errorf("%s: roles %q and %q", user, entry.Role, side.Role)
		}
		if diff := cmp.Diff(entry.Platform, side.Platform); diff != "" {
			t.Errorf("%s: platform differs: %s", user, diff)
		}
		b := readBundle(t, user)
		if diff := cmp.Diff(b.Signers.Keys, entry.BootstrapSigners.Keys); diff != "" || !cmp.Equal(entry.BootstrapSigners, side.BootstrapSigners) {
			t.Errorf("%s: signers differ: %s", user, diff)
		}
		if s, ok := b.ServiceByName(side.Target.Service); !ok || s.Kind != side.Target.Kind {
			t.Errorf("%s: the bundle has no service %s of kind %s", user, side.Target.Service, side.Target.Kind)
		}
		if !slices.ContainsFunc(b.Placement, func(p state.TargetPlacement) bool { return p.Target == side.Target.ID }) {
			t.Errorf("%s: the bundle does not place %s", user, side.Target.ID)
		}
	}
}
