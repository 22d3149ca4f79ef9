package faultsoak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	routesFlag    = flag.String("faultsoak.routes", "", "services of a deployment's routes of streams, drawn by the seed if not given: fixed, one; moved, to another service and back; split, between both in changing shares; any, all of it")
	recordLagFlag = flag.Duration("faultsoak.recordlag", 0, "longest time after which the record of a target that replaces another reaches the store; drawn by the seed if not given")
	noResumesFlag = flag.Bool("faultsoak.noresumes", false, "no caller that resumes a stream names the request that began it; if not given, the seed draws how many callers do not")
	relayFlag     = flag.Bool("faultsoak.relay", false, "targets that are processes of their own are behind relays that outlive them, accept connections for ended targets and never reset one; drawn by the seed if not given")
)

const (
	routesFixed = "fixed"
	routesMoved = "moved"
	routesSplit = "split"
	routesAny   = "any"
)

// fleet is what a run does not change of a deployment's targets, routes and callers.
type fleet struct {
	versions  string
	routes    string
	recordLag time.Duration
	unnamed   float64 // share of the callers that do not name the request whose stream they resume
	relays    bool
}

// plainFleet is the fleet of runs that are about something else, and of seeds noted before issue 75.
var plainFleet = fleet{versions: versionsOne, routes: routesFixed}

// fleetOf draws the fleet of a seed, by numbers of its own: the plan of a seed does not depend on it.
func fleetOf(seed uint64) fleet {
	r := rand.New(rand.NewPCG(seed, fleetStream))
	return fleet{
		versions:  versionsForms[r.IntN(len(versionsForms))],
		routes:    []string{routesFixed, routesMoved, routesSplit, routesAny, routesAny}[r.IntN(5)],
		recordLag: []time.Duration{0, 0, time.Second, 3 * time.Second}[r.IntN(4)],
		unnamed:   []float64{0, 0.25, 0.25, 1}[r.IntN(4)],
		relays:    r.IntN(3) == 0,
	}
}

// fleetStream gives seed 1, the only one that CI runs, a fleet with several services and versions, late
// records, relays and callers of both kinds.
const fleetStream = 279

// routingStream tells the draws of routes from those of the plan.
const routingStream = 0x726f757465

// withFlags returns the fleet with what the flags of the test say.
func (f fleet) withFlags() fleet {
	flag.Visit(func(given *flag.Flag) {
		switch given.Name {
		case "faultsoak.versions":
			f.versions = *versionsFlag
		case "faultsoak.routes":
			f.routes = *routesFlag
		case "faultsoak.recordlag":
			f.recordLag = *recordLagFlag
		case "faultsoak.noresumes":
			f.unnamed = 0
			if *noResumesFlag {
				f.unnamed = 1
			}
		case "faultsoak.relay":
			f.relays = *relayFlag
		}
	})
	return f
}

// check ends the test if the fleet has an unknown form, as a run of it would show nothing.
func (f fleet) check(t *testing.T) {
	if !slices.Contains(versionsForms, f.versions) || !slices.Contains([]string{routesFixed, routesMoved, routesSplit, routesAny}, f.routes) {
		t.Fatalf("unknown form in -faultsoak.versions=%s or -faultsoak.routes=%s", f.versions, f.routes)
	}
}

func (f fleet) String() string {
	return fmt.Sprintf("versions %s, routes %s, records up to %v late, callers that do not name their request %g, relays %t", f.versions, f.routes, f.recordLag, f.unnamed, f.relays)
}

// services returns the number of services that streams may have.
func (f fleet) services() int {
	if f.routes == routesFixed {
		return 1
	}
	return 2
}

// servicesOfRoute are the shares of the two services that a route of streams leads to.
type servicesOfRoute struct{ first, moved float64 }

var onlyFirst, onlyMoved = servicesOfRoute{first: 1}, servicesOfRoute{moved: 1}

// routeStreams draws the services of a route of streams anew: others than now, if the fleet has them.
func (d *deploymentRun) routeStreams(k *requestKind) {
	split := servicesOfRoute{1, []float64{0.25, 1, 4}[d.routing.IntN(3)]}
	var forms []servicesOfRoute
	switch d.fleet.routes {
	case routesMoved:
		forms = []servicesOfRoute{onlyFirst, onlyMoved}
	case routesSplit:
		forms = []servicesOfRoute{split}
	case routesAny:
		forms = []servicesOfRoute{onlyFirst, onlyMoved, split}
	default:
		forms = []servicesOfRoute{onlyFirst}
	}
	before := d.streamRoutes[k]
	if len(forms) > 1 {
		forms = slices.DeleteFunc(forms, func(s servicesOfRoute) bool { return s == before })
	}
	d.streamRoutes[k] = forms[d.routing.IntN(len(forms))]
}

// traffic returns the services of a route as a configuration states them.
func (d *deploymentRun) traffic(k *requestKind) []any {
	name, shares := d.plainService, onlyFirst
	if k.kind == "streaming" {
		name, shares = d.engineService, d.streamRoutes[k]
	} else if d.moved[k] {
		shares = onlyMoved
	}
	return []any{
		map[string]any{"Service": name, "Weight": shares.first},
		map[string]any{"Service": name + movedSuffix, "Weight": shares.moved},
	}
}

const (
	// Up to maxRouteChanges configurations that change the services of routes of streams come in a series.
	minRouteGap, maxRouteGap = 300 * time.Millisecond, 1500 * time.Millisecond
	maxRouteChanges          = 4
	// Between two series is a time in which no cut is beside a configuration: the judge compares both.
	minRoutePause, maxRoutePause = configTime + 2*time.Second, configTime + 5*time.Second
)

// planRoutes adds the changes of routes of streams to a plan.
func (d *deploymentRun) planRoutes(add func(at time.Duration, do func())) {
	if d.fleet.services() == 1 {
		return
	}
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(d.routing.Int64N(int64(high-low)))
	}
	streams := slices.DeleteFunc(slices.Clone(d.kinds), func(k *requestKind) bool { return k.kind != "streaming" })
	for at := time.Duration(0); at < *dayFlag; at += between(minRoutePause, maxRoutePause) {
		for range 1 + d.routing.IntN(maxRouteChanges) {
			add(at, func() {
				d.routeStreams(streams[d.routing.IntN(len(streams))])
				d.writeConfiguration()
			})
			at += between(minRouteGap, maxRouteGap)
		}
	}
}

// Guards against a property of the fleet that no seed changes, and against a run of CI, which has seed 1
// only, whose fleet is uniform.
func TestFleetsOfSeeds(t *testing.T) {
	seen := make(map[string]bool)
	for seed := range uint64(40) {
		f := fleetOf(seed)
		f.check(t)
		for _, property := range []any{f.versions, f.routes, f.recordLag, f.unnamed, f.relays} {
			seen[fmt.Sprintf("%T %v", property, property)] = true
		}
	}
	if want := len(versionsForms) + 4 + 3 + 3 + 2; len(seen) != want {
		t.Errorf("%d forms in 40 seeds, want %d: %v", len(seen), want, seen)
	}
	want := fleet{versions: versionsTwo, routes: routesAny, recordLag: time.Second, unnamed: 0.25, relays: true}
	if got := fleetOf(1); got != want {
		t.Errorf("fleet of CI: %v, want %v", got, want)
	}
}
