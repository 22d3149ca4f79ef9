package state

import (
	"expvar"
	"sync/atomic"
)

// Invariant names a promise that the program asserts at run time.
type Invariant string

// The invariants. The names are the keys of the expvar map
// "invariant_violations".
const (
	DispatchOnce   Invariant = "dispatch_once"     // an attempt reaches its target at most once
	NotRunIsTrue   Invariant = "not_run_is_true"   // a request reported as not run never ran
	WholeAnswer    Invariant = "whole_answer"      // stream offsets are contiguous and belong to the request
	TierOrder      Invariant = "tier_order"        // a higher tier is not shed before a lower one
	LeavingIdle    Invariant = "leaving_idle"      // a leaving target receives no new work
	BundleMonotone Invariant = "bundle_monotone"   // the bundle in force never reverts
	FencedOrder    Invariant = "fenced_order"      // only the latest registration gives orders
	BoundedState   Invariant = "bounded_state"     // queues, tables and budgets keep their bounds
	KeyedOnce      Invariant = "keyed_run_once"    // a claimed key has at most one live placement
	GracefulStop   Invariant = "graceful_shutdown" // a planned stop cuts off no running request
)

var violations = expvar.NewMap("invariant_violations")

// violationHandler receives each violation; nil means count only.
var violationHandler atomic.Pointer[func(Invariant, string)]

// SetViolationHandler sets the function that receives each violation. The daemon logs
// it; tests panic. It returns the earlier function, which may be nil.
func SetViolationHandler(f func(Invariant, string)) (previous func(Invariant, string)) {
	old := violationHandler.Swap(&f)
	if old == nil {
		return nil
	}
	return *old
}

// ReportViolation counts a violation of inv and hands the detail to the reporter.
func ReportViolation(inv Invariant, detail string) {
	violations.Add(string(inv), 1)
	if f := violationHandler.Load(); f != nil && *f != nil {
		(*f)(inv, detail)
	}
}

// Assert calls Violated when ok is false. It returns ok.
func Assert(ok bool, inv Invariant, detail string) bool {
	if !ok {
		ReportViolation(inv, detail)
	}
	return ok
}
