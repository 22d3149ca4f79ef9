package origin

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/routing"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// maxPastRoutes bounds the configurations whose routes are remembered. Only those count that change where
// streams are led.
const maxPastRoutes = 64

// Path is what the configuration leads a request by.
type Path struct{ Host, Path string }

// routeHistory holds where the configurations of the last MaxTakeUpTime led streams.
type routeHistory struct {
	version int64          // of the configuration that is in force
	current *routing.Table // nil before the first configuration
	past    []pastRoutes   // the oldest first
}

// pastRoutes are those of a configuration that was replaced at until.
type pastRoutes struct {
	table *routing.Table
	until time.Time
}

// SetRoutes takes a new configuration. It is called before requests are led by it.
func (l *Log) SetRoutes(now time.Time, c *state.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.routes
	h.version = c.Version
	routes := streamRoutes(c)
	if h.current != nil && slices.EqualFunc(h.current.Config.Routes, routes, leadAlike) {
		return
	}
	old := h.current
	h.current = routing.New(&state.Configuration{Routes: routes})
	if old != nil {
		h.past = append(h.past, pastRoutes{old, now})
		if len(h.past) > maxPastRoutes {
			l.coveredSince = h.past[0].until // a stream may have begun by routes that are not known any more
			h.past = slices.Delete(h.past, 0, 1)
		}
	}
	l.markShared(now, old)
}

// markShared records which services share routes of streams, and between which ones such routes have been
// moved. old is the table that has been replaced; nil for none.
func (l *Log) markShared(now time.Time, old *routing.Table) {
	for _, s := range l.services {
		if s.shared {
			s.shared, s.sharedAt = false, now
		}
	}
	for i := range l.routes.current.Config.Routes {
		if services := servicesOf(&l.routes.current.Config.Routes[i]); len(services) > 1 {
			for _, name := range services {
				l.service(name).shared = true
			}
		}
	}
	if old == nil {
		return
	}
	for _, name := range append(movedServices(old, l.routes.current), movedServices(l.routes.current, old)...) {
		l.service(name).sharedAt = now
	}
}

// movedServices returns the services of routes of a whose paths b leads to other services. It has to be
// called for both directions: a route that is added or removed changes where paths of another one lead.
func movedServices(a, b *routing.Table) (moved []state.Service) {
	type key struct{ host, prefix string }
	same := make(map[key]*state.Route, len(b.Config.Routes))
	for i := range b.Config.Routes {
		r := &b.Config.Routes[i]
		same[key{r.Host, r.Prefix}] = r
	}
	for i := range a.Config.Routes {
		r := &a.Config.Routes[i]
		other := same[key{r.Host, r.Prefix}]
		if other == nil {
			other = b.Route(r.Host, r.Prefix)
		}
		if other == nil {
			continue
		}
		if from, to := servicesOf(r), servicesOf(other); len(from) > 0 && len(to) > 0 && !slices.Equal(from, to) {
			moved = append(append(moved, from...), to...)
		}
	}
	return moved
}

// services returns the services at which a stream of the path that is taken up now may have begun.
func (h *routeHistory) services(now time.Time, path Path) (services []state.Service) {
	h.past = slices.DeleteFunc(h.past, func(p pastRoutes) bool { return now.Sub(p.until) > MaxTakeUpTime })
	if h.current == nil {
		return nil
	}
	if r := h.current.Route(path.Host, path.Path); r != nil {
		services = append(services, servicesOf(r)...)
	}
	for _, p := range h.past {
		if r := p.table.Route(path.Host, path.Path); r != nil {
			services = append(services, servicesOf(r)...)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// streamRoutes returns the routes of a configuration as far as they say where streams are led. Other routes
// are kept without services, because they take paths from less specific ones.
func streamRoutes(c *state.Configuration) []state.Route {
	routes := make([]state.Route, 0, len(c.Routes))
	for _, r := range c.Routes {
		lead := state.Route{Host: r.Host, Prefix: r.Prefix}
		if r.Kind == state.StreamingRoute {
			lead.Split = r.Split
		}
		routes = append(routes, lead)
	}
	return routes
}

// leadAlike reports whether two routes lead the same paths to the same services.
func leadAlike(a, b state.Route) bool {
	return a.Host == b.Host && a.Prefix == b.Prefix && slices.Equal(servicesOf(&a), servicesOf(&b))
}

// servicesOf returns the services of a route in order.
func servicesOf(r *state.Route) (services []state.Service) {
	for _, w := range r.Split {
		services = append(services, w.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}
