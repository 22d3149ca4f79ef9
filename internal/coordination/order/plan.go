package order

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// maxFullStagger bounds the start delay of loads in a process that does not know the
// bundle before the one in effect and therefore staggers the loads of the whole
// placement. If many processes restart at once, the rate of loads is limited by the
// weight store's 429 responses instead.
const maxFullStagger = 30 * time.Second

// modelLoad is the load of one model by one target.
type modelLoad struct {
	target state.TargetID
	model  state.ModelSpec
}

// listLoads returns the loads that the change from old to b requires, in the order of
// b's placement. The list is the same in every process that knows both bundles. If old
// is nil, it has every model of b.
func listLoads(old, b *state.Bundle) []modelLoad {
	var list []modelLoad
	for _, p := range b.Placement {
		before := placementFor(old, p.Target)
		for _, m := range p.Models {
			if before == nil || !slices.Contains(before.Models, m) {
				list = append(list, modelLoad{target: p.Target, model: m})
			}
		}
	}
	return list
}

// placementFor returns the placement of target in b, or nil if there is none or b is
// nil.
func placementFor(b *state.Bundle, target state.TargetID) *state.TargetPlacement {
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

// loadStartTimes returns when target may start to load each model. The loads of all
// targets are staggered: load number i of the list, counted from 0, starts i / rate
// after accepted. Models without a start time, for example those that the target lost
// when it restarted, may be loaded at once.
func loadStartTimes(old, b *state.Bundle, target state.TargetID, accepted time.Time) map[state.ModelSpec]time.Time {
	starts := make(map[state.ModelSpec]time.Time)
	rate := b.WeightStore.LoadsPerMinute
	if rate <= 0 {
		return starts
	}
	for i, c := range listLoads(old, b) {
		if c.target != target {
			continue
		}
		delay := time.Duration(float64(i) / rate * float64(time.Minute))
		if old == nil {
			delay = min(delay, maxFullStagger)
		}
		starts[c.model] = accepted.Add(delay)
	}
	return starts
}

// nextOrder returns the order that brings the target from the observed to the desired
// state, with only the loads that may start at now. empty means that there is nothing
// to order now, and converged that the observed state equals the desired state.
func nextOrder(desired *state.TargetPlacement, observed ObservedState, loadStarts map[state.ModelSpec]time.Time, now time.Time) (o Order, empty, converged bool) {
	o = Order{Adapters: desired.Adapters, Role: desired.Role}
	waiting := make(map[string]bool) // names of models whose new version may not be loaded yet
	for _, m := range desired.Models {
		switch {
		case hasModel(observed, m):
		case now.Before(loadStarts[m]):
			waiting[m.Name] = true
		default:
			o.Load = append(o.Load, m)
		}
	}
	for _, m := range observed.Models {
		// An old version stays until the new one may be loaded.
		if !wantsModel(desired, m) && !waiting[m.Name] {
			o.Unload = append(o.Unload, m)
		}
	}
	empty = len(o.Load) == 0 && len(o.Unload) == 0 &&
		(desired.Role == "" || desired.Role == observed.Role) && sameSet(desired.Adapters, observed.Adapters)
	return o, empty, empty && len(waiting) == 0
}

// hasModel reports whether the target has loaded m, or a version of it that it does
// not report.
func hasModel(observed ObservedState, m state.ModelSpec) bool {
	return slices.ContainsFunc(observed.Models, func(h state.ModelSpec) bool {
		return h.Name == m.Name && (h.Version == m.Version || h.Version == "")
	})
}

// wantsModel reports whether p lists the observed model. An unknown version counts as
// any.
func wantsModel(p *state.TargetPlacement, observed state.ModelSpec) bool {
	return slices.ContainsFunc(p.Models, func(m state.ModelSpec) bool {
		return observed.Name == m.Name && (observed.Version == m.Version || observed.Version == "")
	})
}

// sameSet reports whether a and b have the same elements, regardless of order and
// repetition.
func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}
