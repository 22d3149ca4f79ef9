package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a route that is taken away and comes back at another service: its paths have moved, but no
// two configurations that follow each other both lead streams there, so that entries that start learn nothing
// of it and take the new service for the origin.
func TestRouteThatComesBackElsewhereIsShared(t *testing.T) {
	plain := streamRoute("/s/", "s")
	plain.Kind = state.IdempotentRoute
	for name, between := range map[string][]state.Route{
		"removed":                    nil,
		"plain responses in between": {plain},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := newLogOfTwo(), start
			for i, routes := range [][]state.Route{{streamRoute("/s/", "s")}, between, {streamRoute("/s/", "other")}} {
				now = now.Add(time.Second)
				l.Connected(now, now, now)
				l.SetRoutes(now, &state.Configuration{Version: int64(i + 1), Routes: routes})
			}
			if o, _, ok := l.Find(now, "stream", onlyPath); ok {
				t.Errorf("origin %v is known here", o)
			}
			mixed := l.Mixed(now)
			if mixed["s"] == nil || mixed["other"] == nil {
				t.Errorf("services whose streams others are told of: %q", mixed)
			}
			starting := New(now, false)
			starting.SetTargets(now, twoServices("v1", "v1"))
			starting.SetRoutes(now, leadTo(3, "other"))
			_, question, _ := starting.Find(now, "stream", onlyPath)
			if o, ok := l.Answer(now, question); ok {
				t.Errorf("an entry that has just started is told %v", o)
			}
			starting.AdoptMixed(now, mixed)
			if o, _, ok := starting.Find(now, "stream", onlyPath); ok {
				t.Errorf("origin %v is known to an entry that has just started", o)
			}
		})
	}
}

// Guards against an entry that starts just after a move, reads what was written before it, and takes the service
// to which the route leads now for the origin although another entry has told it of the move.
func TestStartingEntryReadsMarksOfBeforeMove(t *testing.T) {
	writer, now := newLogOfTwo(), start.Add(time.Second)
	writer.SetRoutes(start, leadTo(1, "s"))
	written := writer.Mixed(now) // the next write follows within a second
	writer.SetRoutes(now, leadTo(2, "other"))

	starting := New(now, false)
	starting.SetTargets(now, twoServices("v1", "v1"))
	starting.SetRoutes(now, leadTo(2, "other"))
	starting.LearnMixed(now, writer.ObservedMixed(now)) // reports reach an entry that starts before it has read them
	starting.AdoptMixed(now, written)
	if o, _, ok := starting.Find(now, "stream", onlyPath); ok {
		t.Errorf("origin %v is known of a stream that began before the move", o)
	}
}

// Guards against an entry that is cut off and goes on leading streams by an old configuration, while the others
// forget that configuration before these streams are taken up.
func TestStreamThatBeganByOldConfigurationElsewhere(t *testing.T) {
	const (
		cutOff   = 15 * time.Second // from the new configuration until the stream begins at the other entry
		takeUp   = 8 * time.Second  // from there until its caller takes it up
		interval = time.Second
	)
	l, now := newLogOfTwo(), start
	l.SetRoutes(now, leadTo(1, "s"))
	l.SetRoutes(now, leadTo(2, "other"))
	for end := start.Add(cutOff + takeUp); now.Before(end); {
		now = now.Add(interval)
		l.Connected(now, now, now)
	}
	if o, _, ok := l.Find(now, "elsewhere", onlyPath); ok {
		t.Errorf("origin %v is known of a stream that may have begun by version 1, %s before", o, takeUp)
	}
}

// Guards against streams that are refused because many configurations in a short time only add routes: every
// stream of the path began at the same service.
func TestManyAddedRoutesLeaveOriginsKnown(t *testing.T) {
	const configurations = 66
	l, now := newLogOfTwo(), start
	config := leadTo(1, "s")
	l.SetRoutes(now, config)
	for i := range configurations {
		now = now.Add(250 * time.Millisecond)
		l.Connected(now, now, now)
		config = &state.Configuration{Version: int64(i + 2), Routes: append(slices.Clone(config.Routes), streamRoute(fmt.Sprintf("/%d/", i), "other"))}
		l.SetRoutes(now, config)
	}
	if o, _, ok := l.Find(now, "stream", onlyPath); !ok || o.Service != "s" {
		t.Errorf("origin %v, known %t; want s", o, ok)
	}
}

// Guards against an answer from an entry whose configuration is newer than that of the entry that asks: the only
// service that the latter knows need not be the one at which streams of the path have begun since.
func TestOriginAskedByEntryWithOldConfiguration(t *testing.T) {
	l, now := newLogOfTwo(), start
	l.SetRoutes(now, leadTo(1, "s"))
	l.SetRoutes(now, leadTo(2, "other"))
	for range 2 * MaxTakeUpTime / time.Second {
		now = now.Add(time.Second)
		l.Connected(now, now, now)
	}
	if o, ok := l.Answer(now, Question{Request: "stream", Candidates: []Origin{{"s", "v1"}}, ConfigVersion: 1}); ok {
		t.Errorf("origin %v is told, although the route has led to another service for %s", o, 2*MaxTakeUpTime)
	}
}

// Guards against an older configuration that arrives late and lacks a more specific route of the current one:
// other entries have led the paths of that route by the less specific one.
func TestMissedConfigurationWithoutMoreSpecificRoute(t *testing.T) {
	for name, service := range map[string]state.Service{"less specific route is the same": "s", "less specific route leads elsewhere": "third"} {
		t.Run(name, func(t *testing.T) {
			l, now := newLogOfTwo(), start
			l.SetTargets(start, append(twoServices("v1", "v1"), state.TargetRecord{ID: "third", Service: "third", Software: "v1"}))
			both := []state.Route{streamRoute("/", "s"), streamRoute("/s/", "other")}
			for _, c := range []*state.Configuration{{Version: 1, Routes: both}, {Version: 3, Routes: both}, {Version: 2, Routes: []state.Route{streamRoute("/", service)}}} {
				now = now.Add(time.Second)
				l.Connected(now, now, now)
				l.SetRoutes(now, c)
			}
			if o, _, ok := l.Find(now, "stream", onlyPath); ok {
				t.Errorf("origin %v is known of a stream that may have begun at %s by version 2", o, service)
			}
			if mixed := l.Mixed(now); mixed[service] == nil || mixed["other"] == nil {
				t.Errorf("services whose streams others are told of: %q", mixed)
			}
		})
	}
}

// Guards against a reported configuration that is forgotten when an older one takes effect here, and that is
// itself never in effect here.
func TestUnseenConfigurationIsNewerThanNextOne(t *testing.T) {
	for name, reported := range map[string][]int64{"only newer": {6}, "newer first": {6, 4}, "in order": {4, 6}} {
		l := newLogOfTwo()
		l.SetRoutes(start, leadTo(2, "s"))
		for _, version := range reported {
			l.ConfigurationReported(start, version)
		}
		l.SetRoutes(start, leadTo(4, "s"))
		l.ConfigurationReported(start, 8)
		l.SetRoutes(start, leadTo(8, "s"))
		l.Connected(start, start, start)
		if o, _, ok := l.Find(start, "stream", onlyPath); ok {
			t.Errorf("%s: origin %v is known, although version 6 was in effect elsewhere", name, o)
		}
	}
}

// Guards against an entry that takes itself to know all routes after MaxTakeUpTime, although those of before its
// start, or that it no longer remembers, may have led streams for longer at an entry that is cut off.
func TestRoutesAreKnownAfterRouteTime(t *testing.T) {
	for name, l := range map[string]*Log{
		"started":                       New(start, false),
		"configuration never in effect": newLogOfTwo(),
		"dropped past routes":           newLogOfTwo(),
	} {
		t.Run(name, func(t *testing.T) {
			l.SetTargets(start, twoServices("v1", "v1"))
			switch name {
			case "configuration never in effect":
				l.SetRoutes(start, leadTo(1, "other"))
				l.ConfigurationReported(start, 2)
			case "dropped past routes":
				l.SetRoutes(start, leadTo(1, "s"))
				many := leadTo(2, "other")
				for i := range maxPastRoutes {
					many.Routes = append(many.Routes, streamRoute(fmt.Sprintf("/%d/", i), "s"))
				}
				l.SetRoutes(start, many)
			}
			l.SetRoutes(start, leadTo(3, "other"))
			now := start
			for now.Sub(start) < MaxTakeUpTime+3*time.Second {
				now = now.Add(time.Second)
				l.Connected(now, now, now)
			}
			if o, _, ok := l.Find(now, "stream", onlyPath); ok {
				t.Errorf("origin %v is known %s after routes that are remembered for %s", o, now.Sub(start), routeTime)
			}
		})
	}
}

// Guards against paths that move to another service and of which other entries are not told, because the route that
// they leave and the one that takes them are not changed in an order that two steps compare: an entry that starts
// takes the new service for the only origin.
func TestMovedPathsAreShared(t *testing.T) {
	plain := streamRoute("/s/", "s")
	plain.Kind = state.IdempotentRoute
	plainRoot := streamRoute("/", "s")
	plainRoot.Kind = state.IdempotentRoute
	for name, c := range map[string]struct {
		before, after []state.Route
		path          string
	}{
		"less specific route removed as the more specific is added":             {[]state.Route{streamRoute("/", "s")}, []state.Route{streamRoute("/s/", "other")}, "/s/x"},
		"less specific route has plain responses as more specific one is added": {[]state.Route{streamRoute("/", "s")}, []state.Route{plainRoot, streamRoute("/s/", "other")}, "/s/x"},
		"two added, plain responses between":                                    {[]state.Route{streamRoute("/", "s")}, []state.Route{streamRoute("/", "s"), plain, streamRoute("/s/t/", "other")}, "/s/t/x"},
		"removed with plain responses between":                                  {[]state.Route{streamRoute("/", "s"), plain, streamRoute("/s/t/", "other")}, []state.Route{streamRoute("/", "s")}, "/s/t/x"},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := newLogOfTwo(), start.Add(time.Second)
			l.SetRoutes(start, &state.Configuration{Version: 1, Routes: c.before})
			l.SetRoutes(now, &state.Configuration{Version: 2, Routes: c.after})
			l.Connected(now, now, now)
			path := Path{"h", c.path}
			if o, _, ok := l.Find(now, "stream", path); ok {
				t.Errorf("origin %v is known here", o)
			}
			if mixed := l.Mixed(now); mixed["s"] == nil || mixed["other"] == nil {
				t.Errorf("services whose streams others are told of: %q", mixed)
			}
			starting := New(now, false)
			starting.SetTargets(now, twoServices("v1", "v1"))
			starting.SetRoutes(now, &state.Configuration{Version: 2, Routes: c.after})
			starting.LearnMixed(now, l.ObservedMixed(now))
			_, question, _ := starting.Find(now, "stream", path)
			if o, ok := l.Answer(now, question); ok {
				t.Errorf("an entry that has just started is told %v", o)
			}
			starting.AdoptMixed(now, l.Mixed(now))
			if o, _, ok := starting.Find(now, "stream", path); ok {
				t.Errorf("origin %v is known to an entry that has just started", o)
			}
		})
	}
}

// Guards against an entry that reads the services with several origins, misses a configuration before it has
// the result, and counts as complete.
func TestMissedConfigurationWhileServicesAreRead(t *testing.T) {
	l, now := newLogOfTwo(), start.Add(time.Second)
	l.SetRoutes(start, leadTo(1, "s"))
	l.ConfigurationReported(now, 2)
	l.SetRoutes(now, leadTo(3, "s"))
	l.Connected(now, now, now)
	l.AdoptMixed(start, nil)
	if o, _, ok := l.Find(now, "stream", onlyPath); ok {
		t.Errorf("origin %v is known of a stream that may have begun by version 2", o)
	}
}

// Guards against the same older configuration being remembered again each time it is delivered.
func TestOlderConfigurationThatIsDeliveredAgain(t *testing.T) {
	l := newLogOfTwo()
	l.SetRoutes(start, leadTo(2, "s"))
	l.SetRoutes(start, leadTo(4, "s"))
	for range 100 {
		l.SetRoutes(start, leadTo(1, "other")) // of before the start: what other entries wrote tells of it
		l.SetRoutes(start, leadTo(3, "other"))
	}
	if len(l.routes.past) > 1 {
		t.Errorf("%d past routes of one older configuration with one route", len(l.routes.past))
	}
}

// Guards against a configuration of long ago that is delivered again and counts as one by which other entries
// have led streams until now: it has been in effect here.
func TestConfigurationOfLongAgoThatIsReadAgain(t *testing.T) {
	l, now := newLogOfTwo(), start
	l.SetRoutes(now, leadTo(1, "s"))
	l.SetRoutes(now, leadTo(2, "s", "other"))
	l.SetRoutes(now, leadTo(3, "other"))
	for now.Sub(start) < time.Hour {
		now = now.Add(time.Second)
		l.Connected(now, now, now)
	}
	l.SetRoutes(now, leadTo(2, "s", "other"))
	if o, _, ok := l.Find(now, "stream", onlyPath); !ok {
		t.Errorf("origin %v, known %t, of a path that has led to one service for %s", o, ok, now.Sub(start))
	}
	if l.Begin(now, "next", Origin{"other", "v1"}) {
		t.Errorf("told: %q", l.Mixed(now))
	}
}

// Guards against marks of a move that no entry writes: the one that writes has never had the configuration of the
// move in effect either, reads its own empty record, and then takes the only service that it knows for the origin.
func TestWriterThatNeverHadConfigurationOfMove(t *testing.T) {
	writer, other, now := newLogOfTwo(), newLogOfTwo(), start.Add(time.Second)
	for _, l := range []*Log{writer, other} {
		l.SetRoutes(start, leadTo(1, "s"))
	}
	other.SetRoutes(now, leadTo(2, "other"))
	writer.ConfigurationReported(now, 2)
	now = now.Add(100 * time.Millisecond)
	for _, l := range []*Log{writer, other} {
		l.SetRoutes(now, leadTo(3, "s"))
		l.Connected(now, now, now)
	}
	writer.AdoptMixed(now, nil) // nothing was written, as Mixed of the writer was empty
	if stored := writer.Mixed(now); stored["s"] == nil && other.Mixed(now)["s"] != nil {
		t.Errorf("the store is to hold %q; an entry that had version 2 knows %q", stored, other.Mixed(now))
	}
	if o, _, ok := writer.Find(now, "stream", onlyPath); ok {
		t.Errorf("origin %v is known of a stream that may have begun by version 2", o)
	}
}

// BenchmarkBeginWithManyRoutes measures the time for which the log is locked for each stream that begins.
func BenchmarkBeginWithManyRoutes(b *testing.B) {
	const routes = 3000 // of one host
	for _, configs := range []int{1, 20, 64} {
		b.Run(fmt.Sprintf("%d configurations", configs), func(b *testing.B) {
			l := newLogOfTwo()
			for v := range configs {
				config := leadTo(int64(v+1), "s")
				for i := range routes {
					config.Routes = append(config.Routes, streamRoute(fmt.Sprintf("/%d/", i), "s"))
				}
				config.Routes = append(config.Routes, streamRoute(fmt.Sprintf("/v%d/", v), "s"))
				l.SetRoutes(start, config)
			}
			for b.Loop() {
				l.Begin(start, "stream", Origin{"s", "v1"})
			}
		})
	}
}
