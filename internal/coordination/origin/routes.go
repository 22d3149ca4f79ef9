package origin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// routeTime is how long routes are remembered after they were changed: an entry that is cut off goes on
	// leading streams by them for a while, and callers take these up within MaxTakeUpTime.
	routeTime = 2 * MaxTakeUpTime
	// maxPastRoutes bounds the routes that are remembered to a few megabytes.
	maxPastRoutes = 1 << 14
	// maxConfigurations bounds the versions of configurations that are remembered.
	maxConfigurations = 1 << 12
)

// Path is what the configuration leads a request by.
type Path struct{ Host, Path string }

// routeHistory holds where the configurations of the last routeTime led streams.
type routeHistory struct {
	version int64
	// current are the routes of the configuration by host in lower case; longest prefix first.
	current map[string][]*leadingRoute
	byKey   map[routeKey]*leadingRoute // the same; nil before the first configuration
	past    []pastRoute                // in the order in which they were changed or removed
	// first is the version of the first configuration, and had are the versions since then that have been
	// taken into account. Those before the first are a part of what is known from other entries.
	first int64
	had   map[int64]bool
}

// routeKey identifies a route.
type routeKey struct{ host, prefix string }

// leadingRoute is a route of the current configuration.
type leadingRoute struct {
	routeKey
	services []state.Service // to which it leads streams, in order; empty if its requests are no streams
	// since is the time since when it leads to these services, and takesPathsSince that since when it takes
	// its paths from less specific routes. Both are zero if it was in the first configuration.
	since, takesPathsSince time.Time
}

// pastRoute is a route of streams that no longer leads to its services, or never did here.
type pastRoute struct {
	routeKey
	services     []state.Service
	since, until time.Time
}

// takes reports whether the route takes requests of a path, or of all paths of another prefix, unless there
// is a more specific route.
func (k routeKey) takes(other routeKey) bool {
	return k.host == other.host && strings.HasPrefix(other.prefix, k.prefix)
}

// SetRoutes takes a configuration. It is called before requests are led by it. One that is older than the
// current one has been in effect at other entries.
func (l *Log) SetRoutes(now time.Time, c *state.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.routes
	h.past = slices.DeleteFunc(h.past, func(p pastRoute) bool { return now.Sub(p.until) > routeTime })
	var changed []*leadingRoute
	var past []pastRoute
	switch {
	case h.byKey == nil:
		h.first, h.had = c.Version, make(map[int64]bool)
		h.replace(now, c)
	case c.Version > h.version:
		if l.skipsReported(c.Version) {
			l.coveredSince = now // streams may have begun by a configuration that has never been in effect here
		}
		changed, past = h.replace(now, c)
	case c.Version < h.first || h.had[c.Version]:
		return
	default:
		past = h.missedRoutes(now, c)
	}
	h.remember(c.Version)
	l.markShared(now, changed, past)
	h.past = append(h.past, past...)
	if excess := len(h.past) - maxPastRoutes; excess > 0 {
		l.coveredSince = now // a stream may have begun by routes that are not known any more
		h.past = slices.Delete(h.past, 0, excess)
	}
}

// remember records that a configuration has been taken into account.
func (h *routeHistory) remember(version int64) {
	if len(h.had) >= maxConfigurations {
		clear(h.had)
		h.first = version // those before cannot be told from ones that were missed
	}
	h.had[version] = true
}

// replace replaces the current routes. It returns the routes that are new or lead to other services than
// before, and those of before.
func (h *routeHistory) replace(now time.Time, c *state.Configuration) (changed []*leadingRoute, past []pastRoute) {
	old := h.byKey
	h.version = c.Version
	h.current, h.byKey = make(map[string][]*leadingRoute), make(map[routeKey]*leadingRoute, len(c.Routes))
	for i := range c.Routes {
		r := newLeadingRoute(&c.Routes[i])
		if h.byKey[r.routeKey] != nil {
			continue // the first of two takes the requests
		}
		h.current[r.host], h.byKey[r.routeKey] = append(h.current[r.host], r), r
		before := old[r.routeKey]
		switch {
		case old == nil:
			continue
		case before == nil:
			r.since, r.takesPathsSince = now, now
		case slices.Equal(before.services, r.services):
			r.since, r.takesPathsSince = before.since, before.takesPathsSince
			continue
		default:
			r.since, r.takesPathsSince = now, before.takesPathsSince
		}
		changed = append(changed, r)
	}
	for _, routes := range h.current {
		slices.SortStableFunc(routes, func(a, b *leadingRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for key, before := range old {
		if r := h.byKey[key]; len(before.services) > 0 && (r == nil || !slices.Equal(before.services, r.services)) {
			past = append(past, pastRoute{key, before.services, before.since, now})
		}
	}
	return changed, past
}

// missedRoutes returns the routes of a configuration that has never been in effect here, as far as they lead
// paths to other services than the current ones. Other entries may have led streams by them until now. Where
// the current configuration has a more specific route, the result has one of the same paths.
func (h *routeHistory) missedRoutes(now time.Time, c *state.Configuration) (past []pastRoute) {
	missed := routeHistory{}
	missed.replace(now, c)
	add := func(key routeKey, led, leads *leadingRoute) {
		if led != nil && len(led.services) > 0 && (leads == nil || !slices.Equal(led.services, leads.services)) {
			// When it took effect elsewhere is not known.
			past = append(past, pastRoute{key, led.services, now.Add(-routeTime), now})
		}
	}
	for key, led := range missed.byKey {
		add(key, led, h.match(key))
	}
	for key, leads := range h.byKey {
		if missed.byKey[key] == nil {
			add(key, missed.match(key), leads)
		}
	}
	return past
}

// newLeadingRoute returns a route of a configuration.
func newLeadingRoute(r *state.Route) *leadingRoute {
	lead := &leadingRoute{routeKey: routeKey{strings.ToLower(r.Host), r.Prefix}}
	if r.Kind != state.StreamingRoute {
		return lead
	}
	for _, w := range r.Split {
		lead.services = append(lead.services, w.Service)
	}
	slices.Sort(lead.services)
	lead.services = slices.Compact(lead.services)
	return lead
}

// markShared records which services share routes of streams, and between which ones paths of such routes have
// been moved by the changed routes, or from the past ones.
func (l *Log) markShared(now time.Time, changed []*leadingRoute, past []pastRoute) {
	h := &l.routes
	for _, s := range l.services {
		if s.shared {
			s.shared, s.sharedAt = false, now
		}
	}
	for _, r := range h.byKey {
		if len(r.services) > 1 {
			for _, name := range r.services {
				l.service(name).shared = true
			}
		}
	}
	mark := func(from, to []state.Service) {
		if len(from) == 0 || len(to) == 0 || slices.Equal(from, to) {
			return
		}
		for _, name := range slices.Concat(from, to) {
			l.service(name).sharedAt = now
		}
	}
	for _, p := range past {
		for _, r := range h.current[p.host] {
			if r.takes(p.routeKey) || p.takes(r.routeKey) && r.takesPathsSince.After(p.since) {
				mark(p.services, r.services)
			}
		}
	}
	for _, r := range changed {
		for _, less := range h.current[r.host] {
			if len(less.prefix) < len(r.prefix) && less.takes(r.routeKey) && r.takesPathsSince.Equal(now) {
				mark(less.services, r.services)
			}
		}
		for _, p := range h.past { // of earlier changes: a route may have been away in between
			if p.takes(r.routeKey) || r.takes(p.routeKey) {
				mark(p.services, r.services)
			}
		}
	}
}

// match returns the current route that takes requests of a prefix, or nil.
func (h *routeHistory) match(k routeKey) *leadingRoute {
	if r := h.byKey[k]; r != nil {
		return r
	}
	for _, r := range h.current[k.host] {
		if r.takes(k) {
			return r
		}
	}
	return nil
}

// services returns the services at which a stream of the path that is taken up now may have begun.
func (h *routeHistory) services(now time.Time, path Path) (services []state.Service) {
	host, _, _ := strings.Cut(path.Host, ":")
	key, oldest := routeKey{strings.ToLower(host), path.Path}, now.Add(-routeTime)
	var matches []*leadingRoute // those that have taken requests of the path, the most specific first
	for _, r := range h.current[key.host] {
		if !r.takes(key) {
			continue
		}
		matches = append(matches, r)
		services = append(services, r.services...)
		if !r.takesPathsSince.After(oldest) {
			break
		}
	}
	for _, p := range h.past {
		if !p.takes(key) || p.until.Before(oldest) {
			continue
		}
		hidden := func(r *leadingRoute) bool {
			return len(r.prefix) > len(p.prefix) && (!r.takesPathsSince.After(p.since) || !r.takesPathsSince.After(oldest))
		}
		if !slices.ContainsFunc(matches, hidden) {
			services = append(services, p.services...)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}
