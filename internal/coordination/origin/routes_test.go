package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// twoServices lists one target for each of the services s and other.
func twoServices(s, other state.SoftwareVersion) []state.TargetRecord {
	return append(targets(s), state.TargetRecord{ID: "o", Service: "other", Software: other})
}

// newLogOfTwo returns a log that knows all origins, with targets of v1 at s and other, and no routes.
func newLogOfTwo() *Log {
	l := New(start, true)
	l.SetTargets(start, twoServices("v1", "v1"))
	return l
}

// streamRoute returns a route of streams on host h.
func streamRoute(prefix string, services ...state.Service) state.Route {
	r := leadTo(0, services...).Routes[0]
	r.Prefix = prefix
	return r
}

// onHost returns the route on another host.
func onHost(host string, r state.Route) state.Route {
	r.Host = host
	return r
}

// Guards against a stream whose origin is not known here and that goes on at the service to which its route
// leads now, although it may have begun at another one, and against one that is refused although it cannot.
func TestUnknownStreamOfMovedRoute(t *testing.T) {
	s, other, none := Origin{"s", "v1"}, Origin{"other", "v1"}, Origin{}
	plain := streamRoute("/s/", "other")
	plain.Kind = state.IdempotentRoute
	once := streamRoute("/s/", "s")
	once.Resumable = false
	configs := func(routes ...[]state.Route) []*state.Configuration {
		var all []*state.Configuration
		for i, r := range routes {
			all = append(all, &state.Configuration{Version: int64(i + 1), Routes: r})
		}
		return all
	}
	for _, c := range []struct {
		name    string
		configs []*state.Configuration // a second apart
		at      time.Duration          // after the last one
		want    Origin
	}{
		{"not moved", configs([]state.Route{streamRoute("/s/", "s")}), time.Second, s},
		{"other parts of the configuration changed", configs([]state.Route{streamRoute("/s/", "s")}, []state.Route{streamRoute("/s/", "s"), streamRoute("/t/", "other")}), time.Second, s},
		{"moved", configs([]state.Route{streamRoute("/s/", "s")}, []state.Route{streamRoute("/s/", "other")}), time.Second, none},
		{"moved long ago", configs([]state.Route{streamRoute("/s/", "s")}, []state.Route{streamRoute("/s/", "other")}), routeTime + time.Second, other},
		{"moved longer ago than a stream lasts, which an entry that is cut off need not know", configs([]state.Route{streamRoute("/s/", "s")}, []state.Route{streamRoute("/s/", "other")}), MaxTakeUpTime + time.Second, none},
		{"moved and back", configs([]state.Route{streamRoute("/s/", "s")}, []state.Route{streamRoute("/s/", "other")}, []state.Route{streamRoute("/s/", "s")}), time.Second, none},
		{"split", configs([]state.Route{streamRoute("/s/", "s", "other")}), 2 * MaxTakeUpTime, none},
		{"one side of a split taken away", configs([]state.Route{streamRoute("/s/", "s", "other")}, []state.Route{streamRoute("/s/", "s")}), time.Second, none},
		{"one side taken away long ago", configs([]state.Route{streamRoute("/s/", "s", "other")}, []state.Route{streamRoute("/s/", "s")}), routeTime + time.Second, s},
		{"split between a service and a new one without targets", configs([]state.Route{streamRoute("/s/", "s", "new")}), time.Second, s},
		{"another route of the service moved", configs([]state.Route{streamRoute("/s/", "s"), streamRoute("/t/", "s")}, []state.Route{streamRoute("/s/", "s"), streamRoute("/t/", "other")}), time.Second, s},
		{"another route of the service split", configs([]state.Route{streamRoute("/s/", "s"), streamRoute("/t/", "s", "other")}), time.Second, s},
		{"more specific route added", configs([]state.Route{streamRoute("/", "s")}, []state.Route{streamRoute("/", "s"), streamRoute("/s/", "other")}), time.Second, none},
		{"more specific route removed", configs([]state.Route{streamRoute("/", "s"), streamRoute("/s/", "other")}, []state.Route{streamRoute("/", "s")}), time.Second, none},
		{"less specific route moved", configs([]state.Route{streamRoute("/", "other"), streamRoute("/s/", "s")}, []state.Route{streamRoute("/", "s"), streamRoute("/s/", "s")}), time.Second, s},
		{"less specific route moved before a more specific one was added", configs([]state.Route{streamRoute("/", "other")}, []state.Route{streamRoute("/", "s")}, []state.Route{streamRoute("/", "s"), streamRoute("/s/", "s")}), time.Second, none},
		{"less specific route moved while the more specific one was away", configs([]state.Route{streamRoute("/", "s"), streamRoute("/s/", "s")}, []state.Route{streamRoute("/", "other")}, []state.Route{streamRoute("/", "s"), streamRoute("/s/", "s")}), time.Second, none},
		{"two routes of the same paths", configs([]state.Route{streamRoute("/s/", "s"), streamRoute("/s/", "other")}), time.Second, s},
		{"was a route of plain responses", configs([]state.Route{plain}, []state.Route{streamRoute("/s/", "s")}), time.Second, s},
		{"was a route of streams that may not be resumed", configs([]state.Route{once}, []state.Route{streamRoute("/s/", "other")}), time.Second, none},
		{"another host moved", configs([]state.Route{streamRoute("/s/", "s"), {Host: "other", Prefix: "/s/", Kind: state.StreamingRoute}}, []state.Route{streamRoute("/s/", "s")}), time.Second, s},
		{"moved just before the longest time", configs([]state.Route{streamRoute("/s/", "s")}, []state.Route{streamRoute("/s/", "other")}), routeTime, none},
		{"path was one of a more specific route of plain responses", configs([]state.Route{streamRoute("/", "other"), plain}, []state.Route{streamRoute("/", "other"), streamRoute("/s/", "s")}), time.Second, s},
		{"route got another prefix", configs([]state.Route{streamRoute("/s/", "s"), streamRoute("/", "other")}, []state.Route{streamRoute("/t/", "s"), streamRoute("/", "other")}), time.Second, none},
		{"routes got each other's hosts", configs([]state.Route{streamRoute("/s/", "s"), onHost("g", streamRoute("/s/", "other"))}, []state.Route{onHost("g", streamRoute("/s/", "s")), streamRoute("/s/", "other")}), time.Second, none},
		{"host is written in another way", configs([]state.Route{streamRoute("/s/", "s")}, []state.Route{onHost("H", streamRoute("/s/", "other"))}), time.Second, none},
		{"no configuration", nil, time.Second, none},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, now := newLogOfTwo(), start
			for _, config := range c.configs {
				now = now.Add(time.Second)
				l.Connected(now, now, now)
				l.SetRoutes(now, config)
			}
			for end := now.Add(c.at); now.Before(end); {
				now = now.Add(time.Second)
				l.Connected(now, now, now)
			}
			got, _, ok := l.Find(now, "stream", onlyPath)
			if diff := cmp.Diff(c.want, got); diff != "" || ok != (c.want != none) {
				t.Errorf("known %t (-want +got):\n%s", ok, diff)
			}
		})
	}
}

// Guards against more routes than are remembered, after which a stream of the first ones goes on at the service
// of the last.
func TestUnknownStreamOfManyRemovedRoutes(t *testing.T) {
	l, now := newLogOfTwo(), start
	l.SetRoutes(now, leadTo(1, "other"))
	many := leadTo(2, "s")
	for i := range maxPastRoutes {
		many.Routes = append(many.Routes, streamRoute(fmt.Sprintf("/%d/", i), "s"))
	}
	for i, c := range []*state.Configuration{many, leadTo(3, "s")} {
		now = now.Add(time.Millisecond)
		l.SetRoutes(now, c)
		l.Connected(now, now, now)
		if o, _, ok := l.Find(now, "stream", onlyPath); ok {
			t.Errorf("configuration %d: origin %v is known of a stream that may have begun by the first one", i+2, o)
		}
	}
	if len(l.routes.past) > maxPastRoutes {
		t.Errorf("%d past routes are kept", len(l.routes.past))
	}
}

// Guards against an entry that has just started, does not know of a move, and takes the service to which the
// route leads now for the origin, by itself or because another entry says so that does not know of it either.
func TestOriginAskedByStartingEntry(t *testing.T) {
	now := start.Add(time.Second)
	moved := func(configs ...*state.Configuration) *Log {
		l := newLogOfTwo()
		for _, c := range configs {
			l.SetRoutes(start, c)
		}
		l.Connected(now, now, now)
		return l
	}
	for _, c := range []struct {
		name  string
		other *Log // the entry that is asked, and whose result of Mixed the starting one adopts
		want  bool
	}{
		{"not moved", moved(leadTo(2, "other")), true},
		{"moved", moved(leadTo(1, "s"), leadTo(2, "other")), false},
		{"the other entry does not know of the move yet", moved(leadTo(1, "s")), false},
		{"split lately", moved(leadTo(1, "s", "other"), leadTo(2, "other")), false},
		{"moved long ago", func() *Log {
			l := newLogOfTwo()
			l.SetRoutes(start.Add(-routeTime), leadTo(1, "s"))
			l.SetRoutes(start.Add(-routeTime), leadTo(2, "other"))
			l.Connected(now, now, now)
			return l
		}(), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			starting := New(now, false)
			starting.SetTargets(now, twoServices("v1", "v1"))
			starting.SetRoutes(now, leadTo(2, "other"))
			o, question, ok := starting.Find(now, "stream", onlyPath)
			if ok {
				t.Errorf("origin %v is known to an entry that has just started", o)
			}
			if o, ok := c.other.Answer(now, question); ok != c.want || ok && o != (Origin{"other", "v1"}) {
				t.Errorf("the other entry says %v, known %t; want %t", o, ok, c.want)
			}
			if c.other.routes.version < 2 {
				return // Mixed is of the time before the move
			}
			starting.AdoptMixed(now, c.other.Mixed(now))
			if o, _, ok := starting.Find(now, "stream", onlyPath); ok != c.want {
				t.Errorf("origin %v, known %t with what the other entry has written; want %t", o, ok, c.want)
			}
		})
	}
}

// Guards against a stream that began before its route was moved and of which other entries do not learn:
// they would refuse to take it up once this entry has ended.
func TestReportsBeginWithMoveOfRoute(t *testing.T) {
	l := newLogOfTwo()
	l.SetRoutes(start, leadTo(1, "s"))
	began := Origin{"s", "v1"}
	if l.Begin(start, "stream", began) {
		t.Error("an origin is urgent while every stream began at the same service")
	}
	if notes := l.Unreported(start, false); notes != nil {
		t.Fatalf("reports carry %v while every stream began at the same service", notes)
	}
	l.SetRoutes(start, leadTo(2, "other"))
	if !l.Begin(start, "later", Origin{"other", "v1"}) {
		t.Error("an origin is not urgent after a move")
	}
	peer := newLogOfTwo()
	peer.SetRoutes(start, leadTo(2, "other"))
	peer.Learn(start, l.Unreported(start, false))
	for id, want := range map[state.RequestID]Origin{"stream": began, "later": {"other", "v1"}} {
		if got, _, ok := peer.Find(start, id, onlyPath); !ok || got != want {
			t.Errorf("another entry knows of %s: %t, %v; want %v", id, ok, got, want)
		}
	}
}

// Guards against origins that are told of streams of routes that lead to one service of one version, because
// routes of other requests are moved or split.
func TestNothingIsToldOfRoutesWithOneOrigin(t *testing.T) {
	l := newLogOfTwo()
	plain := streamRoute("/p/", "s", "other")
	plain.Kind = state.IdempotentRoute
	movedPlain := plain
	movedPlain.Split = plain.Split[1:]
	for i, r := range []state.Route{plain, movedPlain} {
		l.SetRoutes(start, &state.Configuration{Version: int64(i + 1), Routes: []state.Route{streamRoute("/s/", "s"), r}})
		id := state.RequestID(fmt.Sprint(i))
		if l.Begin(start, id, Origin{"s", "v1"}) || len(l.Mixed(start)) > 0 || l.HasUnreported(start) {
			t.Errorf("configuration %d: %v is told", i+1, l.Mixed(start))
		}
	}
}

// Guards against a route that is added or removed, which moves paths of a less specific one, and of which
// entries that start are not told.
func TestRouteThatIsAddedOrRemovedIsShared(t *testing.T) {
	whole, part := streamRoute("/", "s"), streamRoute("/s/", "other")
	for name, routes := range map[string][2][]state.Route{
		"added":   {{whole}, {whole, part}},
		"removed": {{whole, part}, {whole}},
	} {
		l := newLogOfTwo()
		for i, r := range routes {
			l.SetRoutes(start, &state.Configuration{Version: int64(i + 1), Routes: r})
		}
		if mixed := l.Mixed(start); mixed["s"] == nil || mixed["other"] == nil {
			t.Errorf("%s: %q", name, mixed)
		}
	}
}

// Guards against marks of shared routes that stay for ever.
func TestSharedServicesAreForgotten(t *testing.T) {
	l := newLogOfTwo()
	l.SetRoutes(start, leadTo(1, "s", "other"))
	both := []state.Service{"other", "s"}
	check := func(after time.Duration, want []state.Service) {
		t.Helper()
		var got []state.Service
		for name := range l.Mixed(start.Add(after)) {
			got = append(got, name)
		}
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("after %s (-want +got):\n%s", after, diff)
		}
	}
	check(2*routeTime, both)
	l.SetRoutes(start.Add(2*routeTime), leadTo(2, "s"))
	check(3*routeTime, both)
	check(3*routeTime+time.Second, nil)
}

// Guards against services of a split route that is removed and of which entries that start are not told: streams
// of the path may have begun at either when the route comes back.
func TestRemovedSplitRouteIsShared(t *testing.T) {
	l := newLogOfTwo()
	l.SetRoutes(start, leadTo(1, "s", "other"))
	l.SetRoutes(start.Add(time.Minute), &state.Configuration{Version: 2})
	if mixed := l.Mixed(start.Add(time.Minute + routeTime)); mixed["s"] == nil || mixed["other"] == nil {
		t.Errorf("services whose streams others are told of: %q", mixed)
	}
}

// Guards against an entry that forgets what it has read of a move while streams of before the move may be taken
// up, and against streams of it that it does not tell others of at once: they do not know that it has not seen
// the move.
func TestAdoptedMarkHoldsForTakeUpTime(t *testing.T) {
	l, now := New(start, false), start
	l.SetTargets(now, twoServices("v1", "v1"))
	l.SetRoutes(now, leadTo(2, "other"))
	l.AdoptMixed(now, map[state.Service][]state.SoftwareVersion{"s": {"v1", otherServices}, "other": {"v1", otherServices}})
	for ; now.Sub(start) <= routeTime+time.Second; now = now.Add(time.Second) {
		l.Connected(now, now, now)
		want := now.Sub(start) <= routeTime
		if o, _, ok := l.Find(now, "elsewhere", onlyPath); ok == want {
			t.Errorf("%s after the start: origin %v, known %t", now.Sub(start), o, ok)
		}
		if urgent := l.Begin(now, state.RequestID(now.String()), Origin{"other", "v1"}); urgent != want {
			t.Errorf("%s after the start: urgent %t, want %t", now.Sub(start), urgent, want)
		}
	}
}

// Guards against a service to which a split route is moved as a whole and of which entries that start are not told:
// they would take it for the only origin.
func TestServiceThatGetsSplitRouteIsShared(t *testing.T) {
	l := newLogOfTwo()
	l.SetTargets(start, append(twoServices("v1", "v1"), state.TargetRecord{ID: "third", Service: "third", Software: "v1"}))
	l.SetRoutes(start, leadTo(1, "s", "other"))
	l.SetRoutes(start, leadTo(2, "third"))
	if mixed := l.Mixed(start); mixed["third"] == nil {
		t.Errorf("services whose streams others are told of: %q", mixed)
	}
}

// Guards against an entry that has never had a configuration which moved a route, because it got the next one,
// which moves it back, from another entry.
func TestUnknownStreamOfConfigurationThatWasNeverInEffectHere(t *testing.T) {
	for _, missed := range []bool{true, false} {
		l := newLogOfTwo()
		l.SetRoutes(start, leadTo(2, "s"))
		if missed {
			l.ConfigurationReported(start, 4)
		}
		l.ConfigurationReported(start, 6)
		l.SetRoutes(start, leadTo(6, "s"))
		l.Connected(start, start, start)
		if o, _, ok := l.Find(start, "stream", onlyPath); ok == missed {
			t.Errorf("another configuration was in effect elsewhere: %t; origin %v, known %t", missed, o, ok)
		}
		l.AdoptMixed(start, nil)
		if o, _, ok := l.Find(start, "stream", onlyPath); !ok || o.Service != "s" {
			t.Errorf("origin %v, known %t after the services with several origins were read", o, ok)
		}
	}
}
