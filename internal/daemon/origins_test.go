package daemon

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/emulator"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/platform"
)

// startStore starts an emulated store and returns it and a client of it.
func startStore(t *testing.T) (*emulator.Store, *platform.Store) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store, served := emulator.NewStore(), make(chan struct{})
	go func() {
		defer close(served)
		store.Serve(ln) // returns when ln is closed
	}()
	t.Cleanup(func() {
		ln.Close()
		<-served
	})
	return store, platform.NewStore(ln.Addr().String())
}

// Guards against an entry that starts after all others and cannot learn that a service
// had another software version lately, and against writes where there is only one.
func TestMixedServicesAreKeptInStore(t *testing.T) {
	now := time.Now()
	one := []state.TargetRecord{{ID: "a", Service: "s", Software: "v1"}}
	two := append(one, state.TargetRecord{ID: "b", Service: "s", Software: "v2"})
	emulated, store := startStore(t)
	c := controlWithList(now, one...)
	c.p.store, c.p.settings = store, &platform.Settings{Instance: "a", FirstStart: true}
	c.p.mesh, _, _ = openMesh(t)
	m := mixedServices{control: c}
	check := func(at time.Time, records []state.TargetRecord, want map[state.Service][]state.SoftwareVersion) {
		t.Helper()
		c.listReadAt = at
		c.p.origins.Connected(at, at, at)
		c.p.origins.SetTargets(at, records)
		m.update(t.Context(), at)
		got, err := store.MixedServices(t.Context())
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("error %v, in the store (-want +got):\n%s", err, diff)
		}
	}
	none := map[state.Service][]state.SoftwareVersion{}
	both := map[state.Service][]state.SoftwareVersion{"s": {"v1", "v2"}}
	check(now, one, none)
	emulated.LoseAppendResponses.Store(true)
	check(now.Add(500*time.Millisecond), two, both)
	if m.stored != nil {
		t.Errorf("%v count as stored although the write was not acknowledged", m.stored)
	}
	emulated.LoseAppendResponses.Store(false)
	check(now.Add(time.Second), two, both)
	check(now.Add(2*time.Second), one, both)

	starting := origin.New(now, false)
	for at := now; !at.After(now.Add(3 * time.Second)); at = at.Add(time.Second) {
		starting.Connected(at, at, at)
	}
	starting.SetTargets(now.Add(3*time.Second), one)
	c.p.origins, starting = starting, c.p.origins
	m.adopt(t.Context())
	c.p.origins, starting = starting, c.p.origins
	if !starting.Covered(now.Add(3 * time.Second)) {
		t.Error("the entry that has started does not know all versions from the store")
	}
	starting.SetRoutes(now.Add(3*time.Second), routeTo(1, "s"))
	if o, _, ok := starting.Find(now.Add(3*time.Second), "stream", streamPath); ok {
		t.Errorf("origin %v is known to an entry that has started after a version left", o)
	}

	end := now.Add(3*time.Second + origin.MaxTakeUpTime)
	for at := now.Add(3 * time.Second); at.Before(end); at = at.Add(time.Second) {
		c.p.origins.Connected(at, at, at)
	}
	check(end, one, none)
}

// Guards against an entry that starts just after a version has left or a route was moved, reads from the store
// that there was one origin, and takes the new one for that of a stream that began before.
func TestChangesOfOriginsAreWrittenAtOnce(t *testing.T) {
	now := time.Now()
	c := controlWithList(now, state.TargetRecord{ID: "a", Service: "s", Software: "v1"})
	due := func(what string, want bool) {
		t.Helper()
		select {
		case <-c.mixedDue:
			if !want {
				t.Errorf("%s: services with several origins are checked", what)
			}
		default:
			if want {
				t.Errorf("%s: services with several origins are not checked", what)
			}
		}
	}
	due("first list", true)
	c.publish(now)
	due("the same list", false)
	c.list.Put(state.TargetRecord{ID: "a", Service: "s", Software: "v2"})
	c.publish(now)
	due("another version", true)
	c.setConfiguration(&state.Configuration{Version: 1}, "store")
	due("a configuration", true)
	c.setConfiguration(&state.Configuration{Version: 1}, "store")
	due("the same configuration", false)
}

// streamPath is a path of the route of routeTo.
var streamPath = origin.Path{Host: "h", Path: "/x"}

// routeTo returns a configuration that leads the resumable route to services.
func routeTo(version int64, services ...state.Service) *state.Configuration {
	r := state.Route{Host: "h", Prefix: "/", Kind: state.StreamingRoute, Resumable: true}
	for _, name := range services {
		r.Split = append(r.Split, state.ServiceWeight{Service: name, Weight: 1})
	}
	return &state.Configuration{Version: version, Routes: []state.Route{r}}
}

// twoServices are targets of one version for the services s and other.
var twoServices = []state.TargetRecord{{ID: "a", Service: "s", Software: "v1"}, {ID: "b", Service: "other", Software: "v1"}}

// Guards against an entry that starts after a configuration has moved or split a route, and takes the service
// to which it leads now for the origin of a stream that it does not know, although the store has the mark of
// the services that share it; against refusing such streams long after the move; and against writes
// where routes lead to one service of one version each.
func TestSharedServicesAreKeptInStore(t *testing.T) {
	none := map[state.Service][]state.SoftwareVersion{}
	both := map[state.Service][]state.SoftwareVersion{"s": {"v1", "\x00other services"}, "other": {"v1", "\x00other services"}}
	withNew := map[state.Service][]state.SoftwareVersion{"s": {"v1", "\x00other services"}, "new": {"\x00other services"}}
	for name, c := range map[string]struct {
		configs []*state.Configuration
		want    map[state.Service][]state.SoftwareVersion
		origin  state.Service // of an unknown stream, to the entry that has started; empty for none
	}{
		"not moved":                        {[]*state.Configuration{routeTo(1, "s"), routeTo(2, "s")}, none, "s"},
		"moved":                            {[]*state.Configuration{routeTo(1, "s"), routeTo(2, "other")}, both, ""},
		"moved and back":                   {[]*state.Configuration{routeTo(1, "s"), routeTo(2, "other"), routeTo(3, "s")}, both, ""},
		"split":                            {[]*state.Configuration{routeTo(1, "s"), routeTo(2, "s", "other")}, both, ""},
		"one side of the split taken away": {[]*state.Configuration{routeTo(1, "s", "other"), routeTo(2, "other")}, both, ""},
		"a new service, and back":          {[]*state.Configuration{routeTo(1, "s"), routeTo(2, "new"), routeTo(3, "s")}, withNew, ""},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			emulated, store := startStore(t)
			c0 := controlWithList(now, twoServices...)
			c0.p.store, c0.p.settings, c0.listReadAt = store, &platform.Settings{Instance: "a"}, now
			c0.p.mesh, _, _ = openMesh(t)
			c0.p.origins.SetTargets(now, twoServices)
			m := mixedServices{control: c0}
			check := func(at time.Time, want map[state.Service][]state.SoftwareVersion) {
				t.Helper()
				c0.listReadAt = at
				c0.p.origins.Connected(at, at, at)
				m.update(t.Context(), at)
				got, err := store.MixedServices(t.Context())
				if diff := cmp.Diff(want, got); err != nil || diff != "" {
					t.Errorf("error %v, in the store (-want +got):\n%s", err, diff)
				}
			}
			check(now, none)
			for _, config := range c.configs {
				c0.p.origins.SetRoutes(now, config)
			}
			before := emulated.Calls(platform.MixedServiceTopic)
			check(now, c.want)
			if n := emulated.Calls(platform.MixedServiceTopic) - before - 1; n != len(c.want) { // check reads once
				t.Errorf("%d calls to the store for %d services", n, len(c.want))
			}

			starting := controlWithList(now)
			starting.p.store, starting.p.origins = store, origin.New(now, false)
			starting.p.origins.SetTargets(now, twoServices)
			starting.p.origins.SetRoutes(now, c.configs[len(c.configs)-1])
			adopting := mixedServices{control: starting}
			adopting.adopt(t.Context())
			o, _, ok := starting.p.origins.Find(time.Now(), "stream", streamPath)
			if ok != (c.origin != "") || o.Service != c.origin {
				t.Errorf("origin %v, known %t to the entry that has started; want %q", o, ok, c.origin)
			}

			if strings.Contains(name, "split") && c.configs[len(c.configs)-1].Routes[0].LeadsTo("s") {
				return // its services go on sharing the route
			}
			end := now.Add(2*origin.MaxTakeUpTime + time.Second)
			for at := now; at.Before(end); at = at.Add(time.Second) {
				c0.p.origins.Connected(at, at, at)
			}
			check(end, none)
		})
	}
}

// Guards against several entries that write the same records, and against an entry that
// overwrites them although it does not know all versions.
func TestOneEntryWritesMixedServices(t *testing.T) {
	now := time.Now()
	two := []state.TargetRecord{{ID: "a", Service: "s", Software: "v1"}, {ID: "b", Service: "s", Software: "v2"}}
	for name, prepare := range map[string]func(c *control, lower *mesh.Mesh, own *mesh.Mesh, heard <-chan mesh.Message){
		"has not read the list": func(c *control, _, _ *mesh.Mesh, _ <-chan mesh.Message) {
			c.listReadAt = now.Add(-time.Minute)
		},
		"has just started": func(c *control, _, _ *mesh.Mesh, _ <-chan mesh.Message) {
			c.p.origins = origin.New(now, false)
			c.p.origins.SetTargets(now, two)
		},
		"is not the first reader": func(_ *control, lower, _ *mesh.Mesh, heard <-chan mesh.Message) {
			m := &mesh.Message{Instance: "a", Incarnation: 1, Sequence: 1, ListHash: 7}
			if err := lower.Send(now, mesh.Reports{Near: m, Far: m, Newcomer: func() *mesh.Message { return m }}); err != nil {
				t.Fatal(err)
			}
			nextReport(t, heard)
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, store := startStore(t)
			c := controlWithList(now, two...)
			c.p.store, c.p.settings = store, &platform.Settings{Instance: "b"}
			own, address, heard := openMesh(t)
			lower, _, _ := openMesh(t)
			lower.AddAddress(address)
			c.p.mesh, c.listReadAt = own, now
			prepare(c, lower, own, heard)
			m := mixedServices{control: c}
			m.update(t.Context(), now)
			if got, err := store.MixedServices(t.Context()); err != nil || len(got) != 0 {
				t.Errorf("written %v, error %v; want nothing", got, err)
			}
		})
	}
}

// Guards against an entry that hears nobody, was suspended, or hears only old reports after that, and takes
// what it knows for all that there is; and against one that counts as cut off although all others have ended.
func TestOriginsCompleteAt(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	type check struct{ now, heardAt, listAt, want time.Duration } // after start; -1: never, none
	steady := func(from, to time.Duration) (checks []check) {
		for at := from; at <= to; at += 100 * time.Millisecond {
			checks = append(checks, check{at, at, 0, at})
		}
		return checks
	}
	for name, checks := range map[string][]check{
		"others are heard":            steady(0, 3*time.Second),
		"no other entry":              {{0, -1, 0, 0}, {time.Second, -1, 0, time.Second}},
		"no other entry, no list":     {{0, -1, -1, -1}, {time.Second, -1, -1, -1}, {2 * time.Second, -1, 0, -1}},
		"others fall silent":          append(steady(0, time.Second), check{1500 * time.Millisecond, time.Second, 1400 * time.Millisecond, time.Second}),
		"others had ended by a list":  append(steady(0, time.Second), check{1500 * time.Millisecond, time.Second, 0, time.Second}, check{1700 * time.Millisecond, time.Second, 1600 * time.Millisecond, 1700 * time.Millisecond}),
		"suspended, then old reports": append(steady(0, time.Second), check{2 * time.Second, 2 * time.Second, 0, -1}, check{2400 * time.Millisecond, 2400 * time.Millisecond, 0, -1}, check{2500 * time.Millisecond, 2500 * time.Millisecond, 0, 2500 * time.Millisecond}),
	} {
		t.Run(name, func(t *testing.T) {
			var r originRecency
			for _, c := range checks {
				at := func(d time.Duration) time.Time {
					if d < 0 {
						return time.Time{}
					}
					return after(d)
				}
				if got := r.completeAt(at(c.now), at(c.heardAt), at(c.listAt)); !got.Equal(at(c.want)) {
					t.Errorf("at %s: complete at %v, want %v", c.now, got, at(c.want))
				}
			}
		})
	}
}

// Guards against an entry that has heard of a newer list or configuration, does not have it yet, and takes the
// only origin that it knows for that of a stream.
func TestNothingIsInferredBehindReports(t *testing.T) {
	old := []state.TargetRecord{{ID: "a", Service: "s", Software: "v1"}}
	put := []state.TargetRecord{{ID: "b", Service: "s", Software: "v2"}}
	both := applyListChange(old, &mesh.ListChange{Put: put})
	for name, c := range map[string]struct {
		report mesh.Message
		want   bool
	}{
		"the same":              {mesh.Message{ListHash: hashTargets(old), ListAgeMillis: 1, ConfigurationVersion: 1}, true},
		"another list":          {mesh.Message{ListHash: hashTargets(both), ListAgeMillis: 1, ConfigurationVersion: 1}, false},
		"a newer configuration": {mesh.Message{ListHash: hashTargets(old), ListAgeMillis: 1, ConfigurationVersion: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c0 := controlWithList(now, old...)
			c0.listCurrentAt = now.Add(-time.Second)
			c0.publish(now)
			c0.p.origins.SetRoutes(now, &state.Configuration{Version: 1, Routes: []state.Route{
				{Host: "h", Prefix: "/", Kind: state.StreamingRoute, Resumable: true, Split: []state.ServiceWeight{{Service: "s", Weight: 1}}},
			}})
			c0.onListReport(&c.report)
			c0.onConfigurationReport(now, "b", c.report.ConfigurationVersion)
			if o, _, ok := c0.p.origins.Find(now, "stream", streamPath); ok != c.want {
				t.Errorf("origin %v, known %t; want %t", o, ok, c.want)
			}
			currentAt := now.Add(-time.Millisecond)
			c0.adoptList(now, currentAt, both, listPosition(&c.report))
			if _, question, ok := c0.p.origins.Find(now, "stream", streamPath); ok || len(question.Candidates) != 2 {
				t.Errorf("candidates %v, known %t with the new list; want two", question.Candidates, ok)
			}
		})
	}
}

// Guards against a message with origins only that counts as a report and clears the load
// of its sender, and against origins in it that are not learned. The process has nothing
// else that a report changes.
func TestToldOriginsAreNoReport(t *testing.T) {
	p := &gatewayProcess{origins: origin.New(time.Now(), false)}
	want := origin.Origin{Service: "s", Software: "v1"}
	p.handleReport(&mesh.Message{Instance: "b", Incarnation: 1, OriginsOnly: true, Origins: []origin.Notes{origin.NewNotes(want, "stream")}}, false)
	if got, ok := p.findOrigin(origin.Question{Request: "stream"}); !ok || got != want {
		t.Errorf("origin %v, known %t; want %v", got, ok, want)
	}
}
