package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// closingBehind answers in chunks, or with a length of 0 if the body is empty, from a target that
// closes the connection then and of which no more is known than the given liveness.
func closingBehind(l Liveness, announced bool, body string) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		head := &state.Response{Status: 200, HasSignature: true, AnnouncesClose: announced, HasLength: body == ""}
		return &fakeExchange{head: head, Reader: strings.NewReader(body), closes: true, thenNotRunning: true, liveness: l}, nil
	}
}

// Guards against a stream in chunks that is passed on as complete although its target, which ends,
// has cancelled its handlers, and against whole streams that are broken off because their target
// closes connections.
func TestStreamInChunksEndingWithItsTargetIsIncomplete(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	checkStreams(t, []streamCase{
		{"target ends", "/stream/x", []behaviour{closingBehind(Ended, false, first)}, first, false, true, 0, []string{""}},
		{"target ends, as announced", "/stream/x", []behaviour{closingBehind(Ended, true, first)}, first, false, true, 0, []string{""}},
		{"target ends, may be resumed", "/resume/x", []behaviour{closingBehind(Ended, false, first), respondWith(200, rest)}, events, true, false, 0, []string{"", "1"}},
		{"target ends, was whole", "/resume/x", []behaviour{closingBehind(Ended, false, events), respondWith(200, "")}, events, true, false, 0, []string{"", "3"}},
		{"target cannot be asked", "/stream/x", []behaviour{closingBehind(Unproved, false, first)}, first, false, true, 0, []string{""}},
		{"target cannot be asked, close was announced", "/stream/x", []behaviour{closingBehind(Unproved, true, events)}, events, true, false, 0, []string{""}},
		{"target runs", "/stream/x", []behaviour{closingBehind(Running, false, events)}, events, true, false, 0, []string{""}},
		{"target runs, close was announced", "/stream/x", []behaviour{closingBehind(Running, true, events)}, events, true, false, 0, []string{""}},
	})
}

// Guards against an empty response that is passed on as complete although the target, which ends,
// has cancelled the handler before it wrote anything: HTTP servers then state a length of 0.
func TestEmptyResponseEndingWithItsTargetIsIncomplete(t *testing.T) {
	checkStreams(t, []streamCase{
		{"may not be resumed", "/stream/x", []behaviour{closingBehind(Ended, false, "")}, "", false, false, UnknownOutcome, []string{""}},
		{"may be resumed", "/resume/x", []behaviour{closingBehind(Ended, false, ""), respondWith(200, events)}, events, true, false, 0, []string{"", ""}},
		{"plain", "/once/x", []behaviour{closingBehind(Ended, false, "")}, "", false, false, UnknownOutcome, []string{""}},
		{"target runs", "/once/x", []behaviour{closingBehind(Running, false, "")}, "", true, false, 0, []string{""}},
	})
}

// Guards against a stream that is taken for whole because another one seems to go on, although that
// has ended too or its data had arrived before.
func TestStreamsOfTargetThatAcceptsNoConnections(t *testing.T) {
	grant := &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}
	a, b := &attempt{grant: grant}, &attempt{grant: grant}
	elsewhere := &attempt{grant: &dispatch.Grant{Target: state.TargetRecord{ID: "u"}}}
	end := time.Now()
	early, late := &fakeExchange{receivedAt: end.Add(cancelTime - time.Millisecond)}, &fakeExchange{receivedAt: end.Add(cancelTime + time.Millisecond)}
	for _, c := range []struct {
		name     string
		play     func(l *streamLog)
		survives bool
	}{
		{"data long after the end", func(l *streamLog) { l.begin(b, late) }, true},
		{"data soon after the end", func(l *streamLog) { l.begin(b, early) }, false},
		{"time not known", func(l *streamLog) { l.begin(b, &fakeExchange{}) }, false},
		{"other stream has ended too", func(l *streamLog) { l.begin(b, late); l.ended(b) }, false},
		{"other stream is forgotten", func(l *streamLog) { l.begin(b, late); l.leave(b) }, false},
		{"stream of another target", func(l *streamLog) { l.begin(elsewhere, late) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &streamLog{}
			l.begin(a, late)
			c.play(l)
			if survives := l.otherSurvives(a, end); survives != c.survives {
				t.Errorf("survives %t, want %t", survives, c.survives)
			}
		})
	}
}

// Guards against a cut stream that is believed, and against a whole one that is broken off, at a
// target that refuses connections: it may be shutting down and finishing its streams.
func TestStreamOfTargetThatRefusesConnections(t *testing.T) {
	arrived := time.Now()
	before, just := arrived.Add(-2*cancelTime), arrived.Add(-cancelTime/2)
	for _, c := range []struct {
		name         string
		resumable    bool
		doubt        endDoubt
		idleClosedAt time.Time
		refusesSince time.Time
		known        bool
		complete     bool
	}{
		{"idle connections closed long before", false, unannouncedClose, before, time.Time{}, true, true},
		{"idle connections closed at the same moment", false, unannouncedClose, just, time.Time{}, true, false},
		{"seen to refuse long before", false, unannouncedClose, time.Time{}, before, true, true},
		{"seen to refuse at the same moment", false, unannouncedClose, time.Time{}, just, true, false},
		{"not seen to refuse before", false, unannouncedClose, time.Time{}, time.Time{}, true, false},
		{"time of the end not known", false, unannouncedClose, before, before, false, false},
		{"without length or chunks", false, connectionEnd, before, before, true, false},
		{"may be resumed", true, unannouncedClose, before, before, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newService(&fakeTargetClient{})
			r := &request{service: s, table: s.table.Load(), route: &state.Route{Kind: state.StreamingRoute, Resumable: c.resumable, MaxAttempts: 3}}
			a := &attempt{request: r, ctx: t.Context(), grant: &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}}
			a.race = newRace(a)
			s.streams.begin(a, &fakeExchange{})
			if !c.refusesSince.IsZero() {
				s.streams.refuses("t", c.refusesSince)
			}
			complete, because := a.judgeEnd(c.doubt, RunCheck{Liveness: Ended, Refused: true, IdleClosedAt: c.idleClosedAt}, arrived, c.known)
			if complete != c.complete {
				t.Errorf("complete %t because %q, want %t", complete, because, c.complete)
			}
		})
	}
}

// Guards against streams of which no connection shows that their target has cancelled all handlers
// at the same moment.
func TestStreamsEndingTogetherAreDoubted(t *testing.T) {
	s := newService(&fakeTargetClient{})
	grant, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	r := &request{service: s, table: s.table.Load(), route: &state.Route{Kind: state.StreamingRoute}}
	a, b, c := &attempt{request: r, grant: grant}, &attempt{request: r, grant: grant}, &attempt{request: r, grant: grant}
	end := time.Now()
	ex, other := &fakeExchange{receivedAt: end}, &fakeExchange{receivedAt: end.Add(endTogetherTime)}
	s.streams.begin(a, ex)
	s.streams.begin(b, other)
	if d := a.doubtEnd(&state.Response{}, ex, end); d != noDoubt {
		t.Errorf("doubt %s while the other stream goes on, want none", d)
	}
	s.streams.ended(b)
	if d := a.doubtEnd(&state.Response{}, ex, end); d != endedTogether {
		t.Errorf("doubt %s after the other stream has ended, want %s", d, endedTogether)
	}
	s.streams.begin(c, ex)
	if d := a.doubtEnd(&state.Response{}, ex, end); d != noDoubt {
		t.Errorf("doubt %s while a third stream goes on, want none", d)
	}
	s.streams.leave(c)
	other.receivedAt = end.Add(endTogetherTime + 1)
	if d := a.doubtEnd(&state.Response{}, ex, end); d != noDoubt {
		t.Errorf("doubt %s although the other stream has ended later, want none", d)
	}
}

// Guards against a cut stream that is believed because its target, which cancels its handlers, still
// answers, and against whole streams that are broken off because their target begins to leave.
func TestStreamOfTargetThatLeaves(t *testing.T) {
	for _, c := range []struct {
		name      string
		resumable bool
		doubt     endDoubt
		together  bool // another stream has ended at the same moment
		survives  bool // another stream goes on
		complete  bool
	}{
		{"announced close", false, announcedClose, false, false, true},
		{"announced close, ended together", false, announcedClose, true, false, false},
		{"announced close, may be resumed", true, announcedClose, false, false, false},
		{"unannounced close", false, unannouncedClose, false, false, false},
		{"unannounced close, another stream goes on", false, unannouncedClose, false, true, true},
		{"unannounced close, another stream goes on, may be resumed", true, unannouncedClose, false, true, false},
		{"ended together", false, endedTogether, true, false, false},
		{"without length or chunks", false, connectionEnd, false, false, false},
		{"without length or chunks, another stream goes on", false, connectionEnd, false, true, true},
		{"resumption without an event", false, emptyResumption, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arrived := time.Now()
				s := newService(&fakeTargetClient{})
				r := &request{service: s, table: s.table.Load(), route: &state.Route{Kind: state.StreamingRoute, Resumable: c.resumable, MaxAttempts: 3}}
				a, b := &attempt{request: r, ctx: t.Context(), grant: &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}}, &attempt{grant: &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}}
				a.race = newRace(a)
				s.streams.begin(a, &fakeExchange{})
				if c.together {
					s.streams.begin(b, &fakeExchange{receivedAt: arrived})
					s.streams.ended(b)
				}
				if c.survives {
					s.streams.begin(b, &fakeExchange{receivedAt: arrived.Add(2 * cancelTime)})
				}
				if complete, because := a.judgeEnd(c.doubt, RunCheck{Liveness: Leaving}, arrived, true); complete != c.complete {
					t.Errorf("complete %t because %q, want %t", complete, because, c.complete)
				}
			})
		})
	}
}

// Guards against whole streams that are broken off at a target whose record had said that it leaves, or
// that is full, although it answers; and against a resumption that such an answer takes for whole.
func TestStreamOfTargetThatAnswersAsTheSameIncarnation(t *testing.T) {
	for _, c := range []struct {
		doubt    endDoubt
		complete bool
	}{{announcedClose, true}, {endedTogether, true}, {unannouncedClose, true}, {connectionEnd, true}, {emptyResumption, false}} {
		s := newService(&fakeTargetClient{})
		r := &request{service: s, table: s.table.Load(), route: &state.Route{Kind: state.StreamingRoute}}
		a := &attempt{request: r, ctx: t.Context(), grant: &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}}
		a.race = newRace(a)
		if complete, because := a.judgeEnd(c.doubt, RunCheck{SameIncarnation: true}, time.Now(), true); complete != c.complete {
			t.Errorf("%s: complete %t because %q, want %t", c.doubt, complete, because, c.complete)
		}
	}
}

// Guards against whole streams that are broken off because their target, which drains, fails its health
// checks, and against cut ones that are believed because it has only begun to.
func TestHealthCheckOfDrainingTarget(t *testing.T) {
	for _, draining := range []bool{true, false} {
		out := &recordingResponder{}
		synctest.Test(t, func(t *testing.T) {
			client := &fakeTargetClient{}
			s := newService(client)
			client.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
				record := f.Target
				record.Draining = draining
				s.cfg.Scheduler.SetTargets([]state.TargetRecord{record})
				return closingBehind(Leaving, false, events)(ctx, f)
			}}
			s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/stream/x", APIKey: "key"}, time.Now(), out)
		})
		if out.ended != draining || out.aborted == draining {
			t.Errorf("draining %t: ended %t, aborted %t", draining, out.ended, out.aborted)
		}
	}
}

// Guards against a cut stream that is believed because its connection stays open while its target, which
// has cancelled its handlers, lingers; and against checks of streams that cannot go on elsewhere or
// beside which another stream of the target goes on.
func TestEndOfStreamIsConfirmed(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	staysOpen := func(l Liveness, body string) behaviour {
		return func(ctx context.Context, f *Forward) (Exchange, error) {
			ex, err := inChunks(body)(ctx, f)
			ex.(*fakeExchange).thenNotRunning, ex.(*fakeExchange).liveness = true, l
			return ex, err
		}
	}
	for _, c := range []struct {
		name, path string
		liveness   Liveness
		health     bool // the service has health checks
		other      bool // another stream of the targets goes on
		goesOn     bool // at another target
		checks     int64
	}{
		{"healthy", "/resume/x", Running, true, false, false, 1},
		{"leaves", "/resume/x", Leaving, true, false, true, 1},
		{"has ended", "/resume/x", Ended, true, false, true, 1},
		{"cannot be asked", "/resume/x", Unproved, true, false, false, 1},
		{"another stream goes on", "/resume/x", Leaving, true, true, false, 0},
		{"no health checks", "/resume/x", Leaving, false, false, false, 0},
		{"may not be resumed", "/stream/x", Leaving, true, false, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: []behaviour{staysOpen(c.liveness, first), respondWith(200, rest)}}
			synctest.Test(t, func(t *testing.T) {
				s := newService(targets)
				config := *testConfig
				config.Version++
				if c.health {
					config.HealthPaths = map[state.Service]string{"s": "/health"}
				}
				s.SetConfiguration(&config)
				if c.other {
					for _, id := range []state.TargetID{"t1", "t2", "t3"} {
						s.streams.begin(&attempt{grant: &dispatch.Grant{Target: state.TargetRecord{ID: id}}}, &fakeExchange{})
					}
				}
				s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: c.path, APIKey: "key"}, time.Now(), out)
			})
			want := first
			if c.goesOn {
				want = events
			}
			if n := targets.healthChecks.Load(); !out.ended || out.body.String() != want || n != c.checks {
				t.Errorf("ended %t, body %q, %d checks; want body %q, %d checks", out.ended, out.body.String(), n, want, c.checks)
			}
		})
	}
}

// Guards against the time of an end that is taken from a connection which another request uses.
func TestEndOfStreamIsKeptWhenItsConnectionIsGivenBack(t *testing.T) {
	grant := &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}
	a, b := &attempt{grant: grant}, &attempt{grant: grant}
	end := time.Now()
	ex := &fakeExchange{receivedAt: end}
	l := &streamLog{}
	l.begin(a, &fakeExchange{receivedAt: end})
	l.begin(b, ex)
	l.ended(b)
	l.keepEnd(b, end)
	ex.receivedAt = end.Add(time.Second)
	if !l.endedTogether(a, end) {
		t.Error("the end is not known while the attempt goes on")
	}
	l.leave(b)
	if !l.endedTogether(a, end) {
		t.Error("the end is not known afterwards")
	}
}
