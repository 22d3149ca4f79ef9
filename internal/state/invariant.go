package state

import (
	"expvar"
	"sync/atomic"
)

// Invariant names a property that the program checks at run time.
type Invariant string

// The invariants. The names are the keys of the expvar map
// "invariant_violations".
const (
	DispatchOnce   Invariant = "dispatch_once"     // an attempt reaches its target at most once
	NotRunIsTrue   Invariant = "not_run_is_true"   // a request reported as not run never ran
	WholeAnswer    Invariant = "whole_answer"      // chunk offsets are contiguous and belong to the request
	TierOrder      Invariant = "tier_order"        // a higher tier is not shed before a lower one
	LeavingIdle    Invariant = "leaving_idle"      // a leaving target receives no new work
	BundleMonotone Invariant = "bundle_monotone"   // the version of the bundle in effect never decreases
	FencedOrder    Invariant = "fenced_order"      // only the latest registration gives orders to an engine
	BoundedState   Invariant = "bounded_state"     // queues, tables and budgets stay within their limits
	KeyedOnce      Invariant = "keyed_run_once"    // a claimed key has at most one live placement
	GracefulStop   Invariant = "graceful_shutdown" // a planned stop interrupts no running request
)

var violations = expvar.NewMap("invariant_violations")

// violationHandler receives each violation; without one, violations are only
// counted.
var violationHandler atomic.Pointer[func(Invariant, string)]

// SetViolationHandler sets the function that receives each violation, and returns
// the previous one, which may be nil. The daemon logs violations; tests panic.
func SetViolationHandler(f func(Invariant, string)) (previous func(Invariant, string)) {
	old := violationHandler.Swap(&f)
	if old == nil {
		return nil
	}
	return *old
}

// ReportViolation counts a violation of inv and passes detail to the handler.
func ReportViolation(inv Invariant, detail string) {
	violations.Add(string(inv), 1)
	if f := violationHandler.Load(); f != nil && *f != nil {
		(*f)(inv, detail)
	}
}

// Assert calls ReportViolation when ok is false. It returns ok.
func Assert(ok bool, inv Invariant, detail string) bool {
	if !ok {
		ReportViolation(inv, detail)
	}
	return ok
}
