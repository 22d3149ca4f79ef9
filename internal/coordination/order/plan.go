package order

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// maxUnknownStagger bounds the delay of a process that does not know the bundle
// before the one in effect and so staggers over the whole placement. A mass
// restart then relies on the weight store's 429.
const maxUnknownStagger = 30 * time.Second

// change is one model that one target has to load.
type change struct {
	target state.TargetID
	model  state.ModelSpec
}

// changes lists the loads that lead from old to b in the order of b's
// placement. It is the same in every process that knows both bundles. A nil old
// lists every model.
func changes(old, b *state.Bundle) []change {
	var list []change
	for _, p := range b.Placement {
		before := placementOf(old, p.Target)
		for _, m := range p.Models {
			if before == nil || !slices.Contains(before.Models, m) {
				list = append(list, change{target: p.Target, model: m})
			}
		}
	}
	return list
}

func placementOf(b *state.Bundle, target state.TargetID) *state.TargetPlacement {
	if b == nil {
		return nil
	}
	for i := range b.Placement {
		if b.Placement[i].Target == target {
			return &b.Placement[i]
		}
	}
	return nil
}

// startTimes returns when target may load each model: the i-th load of the
// fleet starts i / rate after the bundle took effect. Models that are not
// listed, for example those lost by a restart of the target, may load at once.
func startTimes(old, b *state.Bundle, target state.TargetID, accepted time.Time) map[state.ModelSpec]time.Time {
	starts := make(map[state.ModelSpec]time.Time)
	rate := b.WeightStore.LoadsPerMinute
	if rate <= 0 {
		return starts
	}
	for i, c := range changes(old, b) {
		if c.target != target {
			continue
		}
		delay := time.Duration(float64(i) / rate * float64(time.Minute))
		if old == nil {
			delay = min(delay, maxUnknownStagger)
		}
		starts[c.model] = accepted.Add(delay)
	}
	return starts
}

// difference returns the order that leads from has to want, with only the loads
// that may start at now. empty tells that nothing is to be ordered now; settled
// that has equals want.
func difference(want *state.TargetPlacement, has Holding, starts map[state.ModelSpec]time.Time, now time.Time) (o Order, empty, settled bool) {
	o = Order{Adapters: want.Adapters, Role: want.Role}
	waiting := make(map[string]bool) // names whose wanted version is not due yet
	for _, m := range want.Models {
		switch {
		case holds(has, m):
		case now.Before(starts[m]):
			waiting[m.Name] = true
		default:
			o.Load = append(o.Load, m)
		}
	}
	for _, m := range has.Models {
		// An old version serves until the new one is loaded.
		if !wants(want, m) && !waiting[m.Name] {
			o.Unload = append(o.Unload, m)
		}
	}
	empty = len(o.Load) == 0 && len(o.Unload) == 0 &&
		(want.Role == "" || want.Role == has.Role) && sameSet(want.Adapters, has.Adapters)
	return o, empty, empty && len(waiting) == 0
}

func holds(has Holding, m state.ModelSpec) bool {
	return slices.ContainsFunc(has.Models, func(h state.ModelSpec) bool {
		return h.Name == m.Name && (h.Version == m.Version || h.Version == "")
	})
}

// wants reports whether p lists h, whose version may be unknown.
func wants(p *state.TargetPlacement, h state.ModelSpec) bool {
	return slices.ContainsFunc(p.Models, func(m state.ModelSpec) bool {
		return h.Name == m.Name && (h.Version == m.Version || h.Version == "")
	})
}

func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}
