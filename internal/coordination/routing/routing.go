// Package routing finds the route, the customer and the service of a request in the
// operator's configuration.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Table is an index of one configuration by host, key and customer name. It is
// immutable.
type Table struct {
	Config          *state.Configuration
	routesByHost    map[string][]*state.Route // by host in lower case; longest prefix first
	customersByKey  map[string]*state.CustomerConfig
	customersByName map[state.Customer]*state.CustomerConfig
}

// New returns an index of a configuration, which must not be changed afterwards.
func New(c *state.Configuration) *Table {
	t := &Table{
		Config: c, routesByHost: make(map[string][]*state.Route),
		customersByKey: make(map[string]*state.CustomerConfig), customersByName: make(map[state.Customer]*state.CustomerConfig),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *state.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		t.customersByName[customer.Name] = customer
		for _, key := range customer.Keys {
			t.customersByKey[key] = customer
		}
	}
	return t
}

// Route returns the route of the host that has the longest matching prefix of path, or
// nil. The port in host, if any, is ignored.
func (t *Table) Route(host, path string) *state.Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests on route r must carry a customer's key.
func (t *Table) RequiresKey(r *state.Route) bool { return len(t.Config.Customers) > 0 && !r.Anonymous }

// CustomerByKey returns the customer that holds key, or nil.
func (t *Table) CustomerByKey(key string) *state.CustomerConfig {
	if key == "" {
		return nil
	}
	return t.customersByKey[key]
}

// CustomerByName returns the customer of that name, or nil.
func (t *Table) CustomerByName(name state.Customer) *state.CustomerConfig {
	return t.customersByName[name]
}

// ChooseService chooses a service of the route in proportion to its weight. random is
// uniform in [0, 1). It returns "" for a route without services.
func ChooseService(r *state.Route, random float64) state.Service {
	if len(r.Split) == 0 {
		return ""
	}
	total := 0.0
	for _, candidate := range r.Split {
		total += candidate.Weight
	}
	remaining := random * total
	for _, candidate := range r.Split {
		if remaining -= candidate.Weight; remaining < 0 {
			return candidate.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
