package origin

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// TestMain fixes the random sequences of the tests. Flags on the command line override
// them.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "2000") // 100 do not find an entry that infers for 2 s after it was cut off
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// onlyPath is that of the streams of service s.
var onlyPath = Path{"h", "/s/x"}

// leadTo returns a configuration that leads onlyPath to the services.
func leadTo(version int64, services ...state.Service) *state.Configuration {
	r := state.Route{Host: "h", Prefix: "/s/", Kind: state.StreamingRoute, Resumable: true}
	for _, name := range services {
		r.Split = append(r.Split, state.ServiceWeight{Service: name, Weight: 1})
	}
	return &state.Configuration{Version: version, Routes: []state.Route{r}}
}

// newRoutedLog returns a log that has the routes of service s.
func newRoutedLog(now time.Time, allKnown bool) *Log {
	l := New(now, allKnown)
	l.SetRoutes(now, leadTo(1, "s"))
	return l
}

// targets lists one target of service s for each version.
func targets(versions ...state.SoftwareVersion) []state.TargetRecord {
	var records []state.TargetRecord
	for i, v := range versions {
		records = append(records, state.TargetRecord{ID: state.TargetID(fmt.Sprint("t", i)), Service: "s", Software: v})
	}
	return records
}

// newLog returns a log that knows all versions, with a list of them.
func newLog(versions ...state.SoftwareVersion) *Log {
	l := newRoutedLog(start, true)
	l.SetTargets(start, targets(versions...))
	return l
}

// Guards against a stream whose origin is not known here and that is placed by the
// versions that happen to be listed: it may have begun at another one.
func TestUnknownStream(t *testing.T) {
	v1 := Origin{"s", "v1"}
	for _, c := range []struct {
		name string
		log  func() *Log
		at   time.Duration // after start
		want Origin        // zero: not known
	}{
		{"one version", func() *Log { return newLog("v1", "v1") }, time.Second, v1},
		{"two versions", func() *Log { return newLog("v1", "v2") }, time.Second, Origin{}},
		{"no target", func() *Log { return newRoutedLog(start, true) }, time.Second, Origin{}},
		{"of another service", func() *Log {
			l := newRoutedLog(start, true)
			l.SetTargets(start, append(targets("v1"), state.TargetRecord{ID: "o", Service: "other", Software: "v9"}))
			return l
		}, time.Second, v1},
		{"a version left lately", func() *Log {
			l := newLog("v1", "v2")
			l.SetTargets(start, targets("v1"))
			return l
		}, time.Second, Origin{}},
		{"a version left long ago", func() *Log {
			l := newLog("v1", "v2")
			l.SetTargets(start, targets("v1"))
			return l
		}, MaxTakeUpTime + time.Second, v1},
		{"just started", func() *Log {
			l := newRoutedLog(start, false)
			l.SetTargets(start, targets("v1"))
			return l
		}, time.Second, Origin{}},
		{"started long ago", func() *Log {
			l := newRoutedLog(start, false)
			l.SetTargets(start, targets("v1"))
			return l
		}, routeTime + time.Second, v1},
		{"just started, but told that none was mixed", func() *Log {
			l := newRoutedLog(start, false)
			l.SetTargets(start, targets("v1"))
			l.AdoptMixed(start, nil)
			return l
		}, time.Second, v1},
		{"just started and told of another version", func() *Log {
			l := newRoutedLog(start, false)
			l.SetTargets(start, targets("v1"))
			l.AdoptMixed(start, map[state.Service][]state.SoftwareVersion{"s": {"v1", "v2"}})
			return l
		}, time.Second, Origin{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := c.log()
			for d := time.Duration(0); d <= c.at; d += time.Second {
				l.Connected(start.Add(d), start.Add(d), start.Add(d))
			}
			got, _, ok := l.Find(start.Add(c.at), "stream", onlyPath)
			if diff := cmp.Diff(c.want, got); diff != "" || ok != (c.want != Origin{}) {
				t.Errorf("known %t (-want +got):\n%s", ok, diff)
			}
		})
	}
}

// Guards against an entry that was cut off for a while, in which another version may have
// served, and that takes the version it knows for the only one.
func TestIsolationEndsKnowledge(t *testing.T) {
	l := newLog("v1")
	at := start.Add(maxIsolation + time.Second)
	if o, _, ok := l.Find(at, "stream", onlyPath); ok {
		t.Errorf("origin %v is known while nothing is heard", o)
	}
	l.Connected(at, at, at)
	if o, _, ok := l.Find(at, "stream", onlyPath); ok {
		t.Errorf("origin %v is known as soon as something is heard", o)
	}
	for range routeTime / time.Second {
		at = at.Add(time.Second)
		l.Connected(at, at, at)
	}
	if _, _, ok := l.Find(at, "stream", onlyPath); !ok {
		t.Error("the origin is not known again after the time for which routes are remembered")
	}
}

// Guards against an entry whose instance was suspended, which its steady clock does not
// show, and that takes the version it knows for the only one.
func TestSuspensionEndsKnowledge(t *testing.T) {
	l := newLog("v1")
	l.Connected(start.Add(100*time.Millisecond), start.Add(100*time.Millisecond), start.Add(100*time.Millisecond))
	if !l.Covered(start.Add(100 * time.Millisecond)) {
		t.Fatal("versions are not known although the log was connected all the time")
	}
	l.Connected(start.Add(200*time.Millisecond), start.Add(3*time.Second), start.Add(200*time.Millisecond))
	if l.Covered(start.Add(200 * time.Millisecond)) {
		t.Error("versions count as known after a suspension of 3 s")
	}
}

// Guards against reports that carry origins while every stream of a service began at the
// same version, and against a stream that began before the second version and is unknown
// to the others afterwards.
func TestReportsBeginWithSecondVersion(t *testing.T) {
	l := newLog("v1")
	l.Begin(start, "stream", Origin{"s", "v1"})
	if notes := l.Unreported(start, false); notes != nil || l.HasUnreported(start) {
		t.Errorf("%v are reported although there is one version", notes)
	}
	l.SetTargets(start, targets("v1", "v2"))
	other := newLog("v1", "v2")
	for _, far := range []bool{false, true} {
		for range reportsEach {
			if far == l.HasUnreported(start) {
				t.Errorf("far %t: report to the near entries due %t", far, !far)
			}
			notes := l.Unreported(start, far)
			if len(notes) != 1 || len(notes[0].Streams) != 1 {
				t.Fatalf("far %t: reported %v, want the stream", far, notes)
			}
			other.Learn(start, notes)
		}
		if notes := l.Unreported(start, far); notes != nil {
			t.Errorf("far %t: %v are reported once more", far, notes)
		}
	}
	if o, _, ok := other.Find(start, "stream", onlyPath); !ok || o != (Origin{"s", "v1"}) {
		t.Errorf("origin %v, known %t at the other entry; want v1", o, ok)
	}
	if _, _, ok := other.Find(start.Add(MaxTakeUpTime+time.Second), "stream", onlyPath); ok {
		t.Error("the origin is still known after the longest time for taking a stream up")
	}
}

// fleet is a set of entries that hear of lists, of configurations and of each other, unless they are cut off.
type fleet struct {
	now    time.Time
	listed []state.SoftwareVersion // of each service
	config *state.Configuration
	logs   []*Log
	cutOff []bool
	cutAt  []time.Time
	// behind are the entries that hear others again and have neither their list nor their configuration yet.
	behind []bool
}

// advance lets d pass.
func (f *fleet) advance(d time.Duration) {
	const step = 200 * time.Millisecond
	for ; d > 0; d -= step {
		f.now = f.now.Add(min(d, step))
		for i, l := range f.logs {
			if !f.cutOff[i] {
				l.Connected(f.now, f.now, f.now)
			}
			f.reportNewer(i)
		}
	}
}

// reportNewer lets an entry that is behind hear that others have a newer list and configuration.
func (f *fleet) reportNewer(i int) {
	if f.behind[i] {
		f.logs[i].NewerListReported(f.now)
		f.logs[i].ConfigurationReported(f.now, f.config.Version)
	}
}

// catchUp gives an entry the list and the configuration.
func (f *fleet) catchUp(i int) {
	f.behind[i] = false
	f.logs[i].SetTargets(f.now, f.targets())
	f.logs[i].ListCurrent(f.now)
	f.logs[i].SetRoutes(f.now, f.config)
}

// follows reports whether an entry has the list and the configuration.
func (f *fleet) follows(i int) bool { return !f.cutOff[i] && !f.behind[i] }

// list replaces the list of targets, before a stream begins by it.
func (f *fleet) list(versions []state.SoftwareVersion) {
	f.listed = versions
	for i, l := range f.logs {
		if f.follows(i) {
			l.SetTargets(f.now, f.targets())
		}
		f.reportNewer(i)
	}
}

// targets lists one target of each service for each version.
func (f *fleet) targets() []state.TargetRecord {
	records := targets(f.listed...)
	for _, r := range records {
		r.ID, r.Service = "other-"+r.ID, "other"
		records = append(records, r)
	}
	return records
}

// route leads the streams to other services, before one begins there.
func (f *fleet) route(services []state.Service) {
	f.config = leadTo(f.config.Version+1, services...)
	for i, l := range f.logs {
		if f.follows(i) {
			l.SetRoutes(f.now, f.config)
		}
		f.reportNewer(i)
	}
}

// restart starts an entry anew. It adopts what another entry has written to the store, if
// it reads that and the other one follows the list and the configuration.
func (f *fleet) restart(i int, readsStore bool) {
	other := f.logs[(i+1)%len(f.logs)]
	f.logs[i], f.cutOff[i] = New(f.now, false), false
	f.catchUp(i)
	if readsStore && f.follows((i+1)%len(f.logs)) && other.Covered(f.now) {
		f.logs[i].AdoptMixed(f.now, other.Mixed(f.now))
	}
}

// Guards against any order of starts, lists, configurations, cuts and lost reports after which an entry
// holds an origin for known that is not the stream's, by itself or by the answer of another one. What an entry
// that is cut off infers within maxUnconfirmed is not checked.
func TestKnownOriginIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 3
		f := fleet{now: start, listed: []state.SoftwareVersion{"v1"}, config: leadTo(1, "s"), cutOff: make([]bool, entries), cutAt: make([]time.Time, entries), behind: make([]bool, entries)}
		for range entries {
			l := New(start, true)
			l.SetTargets(start, f.targets())
			l.SetRoutes(start, f.config)
			f.logs = append(f.logs, l)
		}
		type begun struct {
			Origin
			at time.Time
		}
		streams := make(map[state.RequestID]begun)
		entry := rapid.IntRange(0, entries-1)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			i := entry.Draw(t, "entry")
			switch rapid.SampledFrom([]string{"list", "route", "begin", "report", "restart", "cut off", "rejoin"}).Draw(t, "action") {
			case "list":
				f.list(rapid.SliceOfNDistinct(rapid.SampledFrom([]state.SoftwareVersion{"v1", "v2", "v3"}), 1, 3, rapid.ID).Draw(t, "listed"))
			case "route":
				f.route(rapid.SliceOfNDistinct(rapid.SampledFrom([]state.Service{"s", "other"}), 1, 2, rapid.ID).Draw(t, "services"))
			case "begin":
				if !f.follows(i) {
					continue
				}
				service := rapid.SampledFrom(f.config.Routes[0].Split).Draw(t, "service").Service
				id, s := state.RequestID(fmt.Sprint(step)), begun{Origin{service, rapid.SampledFrom(f.listed).Draw(t, "version")}, f.now}
				streams[id] = s
				f.logs[i].Begin(f.now, id, s.Origin)
			case "report":
				to := entry.Draw(t, "to")
				notes := f.logs[i].Unreported(f.now, rapid.Bool().Draw(t, "far"))
				if !f.cutOff[i] && !f.cutOff[to] && rapid.Bool().Draw(t, "delivered") {
					f.logs[to].Learn(f.now, notes)
				}
			case "restart":
				f.restart(i, rapid.Bool().Draw(t, "reads the store"))
			case "cut off":
				if !f.cutOff[i] {
					f.cutOff[i], f.cutAt[i], f.behind[i] = true, f.now, false
				}
				f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "cut off for ms")) * time.Millisecond)
			case "rejoin":
				if f.cutOff[i] {
					f.cutOff[i], f.behind[i] = false, true
					f.reportNewer(i)
					f.logs[i].Connected(f.now, f.now, f.now)
				}
				if rapid.Bool().Draw(t, "catches up") {
					f.catchUp(i)
				}
			}
			for id, s := range streams {
				if f.now.Sub(s.at) > MaxTakeUpTime {
					delete(streams, id)
					continue
				}
				for i, l := range f.logs {
					if f.cutOff[i] && f.now.Sub(f.cutAt[i]) <= maxUnconfirmed {
						continue
					}
					o, question, ok := l.Find(f.now, id, onlyPath)
					if ok && rapid.Bool().Draw(t, "taken up") {
						l.Found(f.now, id, o)
					}
					if ok && o != s.Origin {
						t.Fatalf("entry %d holds %v for the origin of a stream that began at %v", i, o, s.Origin)
					}
					for j, other := range f.logs {
						if o, answered := other.Answer(f.now, question); !ok && !f.cutOff[i] && !f.cutOff[j] && answered && o != s.Origin {
							t.Fatalf("entry %d tells entry %d %v for the origin of a stream that began at %v", j, i, o, s.Origin)
						}
					}
				}
			}
		}
	})
}

// Guards against an entry that is killed before its next report, so that nobody knows
// where its youngest streams began, and against telling others where there is one version.
func TestOriginIsUrgentWhileSeveralVersionsServe(t *testing.T) {
	now := time.Now()
	one := []state.TargetRecord{{ID: "a", Service: "s", Software: "v1"}}
	two := append(slices.Clone(one), state.TargetRecord{ID: "b", Service: "s", Software: "v2"})
	l := newRoutedLog(now, true)
	for _, c := range []struct {
		name    string
		after   time.Duration
		targets []state.TargetRecord
		want    bool
	}{
		{"one version", 0, one, false},
		{"two versions", time.Second, two, true},
		{"the second has left", 2 * time.Second, one, true},
		{"the second left long ago", 3*time.Second + MaxTakeUpTime, one, false},
	} {
		at := now.Add(c.after)
		l.SetTargets(at, c.targets)
		if got := l.Begin(at, state.RequestID(c.name), Origin{"s", "v1"}); got != c.want {
			t.Errorf("%s: urgent %t, want %t", c.name, got, c.want)
		}
		if got := l.Begin(at, state.RequestID(c.name), Origin{"unlisted", "v1"}); got {
			t.Errorf("%s: the origin at a service without targets is urgent", c.name)
		}
	}
}

// Guards against notes under which the receiver does not find the streams.
func TestNotesOfRequests(t *testing.T) {
	now := time.Now()
	l := newRoutedLog(now, false)
	l.Learn(now, []Notes{NewNotes(Origin{"s", "v1"}, "a", "b")})
	for _, id := range []state.RequestID{"a", "b"} {
		if o, _, ok := l.Find(now, id, onlyPath); !ok || o != (Origin{"s", "v1"}) {
			t.Errorf("%s: origin %v, known %t", id, o, ok)
		}
	}
}

// Guards against an origin that stays as it was because the log is full: a stream that is told anew, or
// corrected, takes no more memory.
func TestOriginIsCorrectedInFullLog(t *testing.T) {
	now := start
	l := newLog("v1", "v2")
	l.Begin(now, "first", Origin{"s", "v1"})
	for i := range maxRemembered {
		l.Begin(now, state.RequestID(fmt.Sprint(i)), Origin{"s", "v2"})
	}
	l.Begin(now, "first", Origin{"s", "v2"})
	if o, _, ok := l.Find(now, "first", onlyPath); !ok || o.Software != "v2" {
		t.Errorf("found %v, %t after a correction; want v2", o, ok)
	}
}

// Guards against a stream that a full log has not remembered and that is taken up at a version that it need
// not have begun at.
func TestStreamBeyondFullLog(t *testing.T) {
	for name, c := range map[string]struct {
		versions []state.SoftwareVersion
		known    bool
	}{
		"one version":                {[]state.SoftwareVersion{"v1"}, true},
		"two versions":               {[]state.SoftwareVersion{"v1", "v2"}, false},
		"one version, two until now": {[]state.SoftwareVersion{"v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			l := newLog("v1")
			for i := range maxRemembered {
				l.Begin(now, state.RequestID(fmt.Sprint(i)), Origin{"s", "v1"})
			}
			l.Begin(now, "beyond", Origin{"s", "v1"})
			l.SetTargets(now, targets(c.versions...))
			if o, _, ok := l.Find(now, "beyond", onlyPath); ok != c.known || ok && o.Software != "v1" {
				t.Errorf("found %v, %t; want that it is known: %t", o, ok, c.known)
			}
		})
	}
}

// Guards against a stream whose origin is forgotten while its caller may take it up, and that goes on at the
// only version that still serves.
func TestOriginOfVersionThatHasLeftIsKeptForTakeUpTime(t *testing.T) {
	l := newLog("v1")
	l.Begin(start, "first", Origin{"s", "v1"})
	for after := time.Duration(0); after <= MaxTakeUpTime; after += 500 * time.Millisecond {
		now := start.Add(after)
		if after == 3*time.Second {
			l.SetTargets(now, targets("v2"))
		}
		l.Connected(now, now, now)
		l.Begin(now, state.RequestID(after.String()), Origin{"s", "v2"}) // removes expired origins
		if o, _, ok := l.Find(now, "first", onlyPath); !ok || o.Software != "v1" {
			t.Errorf("after %s: found %v, %t for a stream that began at v1", after, o, ok)
		}
	}
}

// Guards against an entry that is cut off for less than maxIsolation, in which another version begins to
// serve, and that takes the version it knows for the only one.
func TestVersionThatBeginsDuringShortIsolation(t *testing.T) {
	now := start
	l := newLog("v1")
	l.Connected(now, now, now)
	if _, _, ok := l.Find(now.Add(maxUnconfirmed), "elsewhere", onlyPath); !ok {
		t.Error("the origin is unknown between two reports of other entries")
	}
	// v2 begins to serve, and the stream begins there at another entry.
	if o, _, ok := l.Find(now.Add(maxIsolation-time.Millisecond), "elsewhere", onlyPath); ok {
		t.Errorf("found %v for a stream that may have begun at a version that is not known here", o)
	}
}

// Guards against an entry that knows of a configuration or list of targets that it does not have yet, and takes
// the only origin that it knows for that of a stream, by itself or for another one that asks it.
func TestNothingIsInferredFromOutdatedKnowledge(t *testing.T) {
	const at = 100 * time.Millisecond
	for _, c := range []struct {
		name     string
		learn    func(l *Log)
		inferred bool
	}{
		{"a newer configuration reported", func(l *Log) { l.ConfigurationReported(start, 2) }, false},
		{"the same configuration reported", func(l *Log) { l.ConfigurationReported(start, 1) }, true},
		{"the newer configuration taken", func(l *Log) {
			l.ConfigurationReported(start, 2)
			l.SetRoutes(start, leadTo(2, "s"))
		}, true},
		{"an older configuration reported last", func(l *Log) {
			l.ConfigurationReported(start, 2)
			l.ConfigurationReported(start, 1)
		}, false},
		{"a newer list reported", func(l *Log) { l.NewerListReported(start) }, false},
		{"a list that is older than the newer one taken", func(l *Log) {
			l.NewerListReported(start)
			l.ListCurrent(start.Add(-time.Millisecond))
		}, false},
		{"the newer list taken", func(l *Log) {
			l.NewerListReported(start)
			l.ListCurrent(start)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLog("v1")
			c.learn(l)
			l.Connected(start.Add(at), start.Add(at), start.Add(at))
			o, question, ok := l.Find(start.Add(at), "elsewhere", onlyPath)
			if ok != c.inferred {
				t.Errorf("found %v, %t; want %t", o, ok, c.inferred)
			}
			if o, ok := l.Answer(start.Add(at), question); ok != c.inferred {
				t.Errorf("answered %v, %t; want %t", o, ok, c.inferred)
			}
		})
	}
}

// Guards against a caller who is refused because its first attempt to take a stream up got no event, and by the
// next one the entry of the stream has ended or another version serves; and against reports of such streams in
// a fleet of one version.
func TestFoundOriginIsKept(t *testing.T) {
	want := Origin{"s", "v1"}
	l, other := newLog("v1"), newLog("v1", "v2")
	o, _, ok := l.Find(start, "stream", onlyPath)
	if !ok || o != want {
		t.Fatalf("found %v, %t with one version", o, ok)
	}
	l.Found(start, "stream", o)
	l.Found(start, "", o)
	if notes := l.Unreported(start, false); notes != nil {
		t.Errorf("%v are reported although there is one version", notes)
	}
	l.SetTargets(start, targets("v1", "v2"))
	if o, _, ok := l.Find(start, "stream", onlyPath); !ok || o != want {
		t.Errorf("found %v, %t after another version was listed", o, ok)
	}
	if o, _, ok := l.Find(start, "", onlyPath); ok {
		t.Errorf("found %v for a stream that is not named", o)
	}
	other.Learn(start, l.Unreported(start, false))
	if o, _, ok := other.Find(start, "stream", onlyPath); !ok || o != want {
		t.Errorf("found %v, %t at another entry after a report", o, ok)
	}
	l.Unreported(start, false)
	l.Found(start, "stream", o)
	if notes := l.Unreported(start, false); notes != nil {
		t.Errorf("%v are reported again for an origin that was known", notes)
	}
	l.Begin(start, "unsure", Origin{"s", Unsure})
	l.Found(start, "unsure", want)
	if o, _, ok := l.Find(start, "unsure", onlyPath); !ok || o.Software != Unsure {
		t.Errorf("found %v, %t for a stream of an unsure origin", o, ok)
	}
}
