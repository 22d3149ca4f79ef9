package gateway

import "github.com/cassiaramp/cassiaramp/internal/state"

// maxRuns returns how often the request may run at most. A repeated run must be allowed by the
// configuration under which the request was admitted and by the one in effect now: callers and
// the operator may judge the request by either.
func (r *request) maxRuns() int {
	n := maxRunsOf(r.route)
	if t := r.service.table.Load(); t != r.table {
		if now := t.Route(r.call.Host, r.call.Path); now != nil {
			n = min(n, maxRunsOf(now))
		}
	}
	return n
}

// maxRunsOf returns how often a request of the route may run at most.
func maxRunsOf(route *state.Route) int {
	if !route.Repeatable() {
		return 1
	}
	return max(1, route.MaxAttempts)
}
