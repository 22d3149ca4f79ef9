package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
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

// endsNow answers as closingBehind does, with an end that arrives when the request is answered.
func endsNow(l Liveness, announced bool, body string) behaviour {
	return func(ctx context.Context, f *Forward) (Exchange, error) {
		ex, err := closingBehind(l, announced, body)(ctx, f)
		ex.(*fakeExchange).receivedAt = time.Now()
		return ex, err
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
		{"target ends, nothing shows that it was whole", "/resume/x", []behaviour{closingBehind(Ended, false, events), respondWith(200, "")}, events, true, false, 0, []string{"", "3"}},
		{"target cannot be asked", "/stream/x", []behaviour{closingBehind(Unproved, false, first)}, first, false, true, 0, []string{""}},
		{"target cannot be asked, close was announced", "/stream/x", []behaviour{closingBehind(Unproved, true, events)}, events, true, false, 0, []string{""}},
		{"target runs", "/stream/x", []behaviour{closingBehind(Running, false, events)}, events, true, false, 0, []string{""}},
		{"target runs, close was announced", "/stream/x", []behaviour{closingBehind(Running, true, events)}, events, true, false, 0, []string{""}},
	})
}

// Guards against responses whose target had announced the close, and has ended behind a relay, that are passed on as
// complete, and against whole ones that are broken off although their target answers, keeps an idle connection open
// or is silent. A full target, to which the entry has no idle connection and whose relay closes new ones, looks like
// one that has ended (docs/design/target-ends.md, Limits).
func TestAnnouncedCloseBehindRelay(t *testing.T) {
	for _, c := range []struct {
		name     string
		check    RunCheck
		complete bool
	}{
		{"closes new connections", RunCheck{Liveness: Ended}, false},
		{"closes new connections, keeps an idle one", RunCheck{Liveness: Running}, true},
		{"is full and answers", RunCheck{SameIncarnation: true}, true},
		{"is silent", RunCheck{TimedOut: true}, true},
	} {
		for route, answer := range map[string]behaviour{"/once/x": endsNow(Unproved, true, events), "/stream/x": closingBehind(Unproved, true, events)} {
			t.Run(c.name+", "+route, func(t *testing.T) {
				out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: []behaviour{answer}}
				synctest.Test(t, func(t *testing.T) {
					svc := newService(goneTarget{targets, c.check})
					svc.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: route, APIKey: "key"}, time.Now(), out)
				})
				failure := FailureKind(0)
				if !c.complete && route == "/once/x" {
					failure = UnknownOutcome
				}
				if out.ended != c.complete || out.failure.Kind != failure || out.aborted != (!c.complete && route == "/stream/x") {
					t.Errorf("complete %t, broken off %t, failure %v; want complete %t, failure %v", out.ended, out.aborted, out.failure.Kind, c.complete, failure)
				}
			})
		}
	}
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

// judgeEnd judges the end of a response to an attempt.
func judgeEnd(a *attempt, doubt endDoubt, check RunCheck, arrivedAt time.Time, known bool) targetend.Judgement {
	c := &endCheck{attempt: a, arrivedAt: arrivedAt, timeKnown: known, doubt: doubt, run: check}
	c.judge()
	return c.judgement
}

// Guards against a stream that is taken for whole because another one seems to go on, although that
// has ended too or its data had arrived before.
func TestStreamsOfTargetThatAcceptsNoConnections(t *testing.T) {
	const early, late = targetend.CancelTime - time.Millisecond, targetend.CancelTime + time.Millisecond
	data := func(at time.Time) func() (time.Time, bool) { return func() (time.Time, bool) { return at, true } }
	unknown := func() (time.Time, bool) { return time.Time{}, false }
	for _, c := range []struct {
		name     string
		play     func(l *targetend.Log, end time.Time)
		survives bool
	}{
		{"data long after the end", func(l *targetend.Log, end time.Time) { l.Begin("t", end, data(end.Add(late))) }, true},
		{"data soon after the end", func(l *targetend.Log, end time.Time) { l.Begin("t", end, data(end.Add(early))) }, false},
		{"time not known", func(l *targetend.Log, end time.Time) { l.Begin("t", end, unknown) }, false},
		{"other stream has ended too", func(l *targetend.Log, end time.Time) { l.Begin("t", end, data(end.Add(late))).End(end.Add(late)) }, false},
		{"other stream is forgotten", func(l *targetend.Log, end time.Time) { l.Begin("t", end, data(end.Add(late))).Leave() }, false},
		{"stream of another target", func(l *targetend.Log, end time.Time) { l.Begin("u", end, data(end.Add(late))) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newService(&fakeTargetClient{})
				r := &request{service: s, table: s.table.Load(), route: &state.Route{Kind: state.StreamingRoute}}
				a := &attempt{request: r, ctx: t.Context(), grant: &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}}
				a.race = newRace(a)
				end := time.Now()
				a.logged = s.targets.Begin("t", end, data(end.Add(late)))
				c.play(&s.targets, end)
				j := judgeEnd(a, unannouncedClose, RunCheck{Liveness: Ended, Refused: true}, end, true)
				if whole := j.Verdict == targetend.Whole; whole != c.survives {
					t.Errorf("%s because %s, want whole %t", j.Verdict, j.Reason, c.survives)
				}
			})
		})
	}
}

// Guards against a cut stream that is believed, and against a whole one that is broken off, at a
// target that refuses connections: it may be shutting down and finishing its streams.
func TestStreamOfTargetThatRefusesConnections(t *testing.T) {
	arrived := time.Now()
	before, just := arrived.Add(-2*targetend.CancelTime), arrived.Add(-targetend.CancelTime/2)
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
		{"may be resumed, seen to refuse long before", true, unannouncedClose, time.Time{}, before, true, true},
		{"may be resumed, seen to refuse at the same moment", true, unannouncedClose, time.Time{}, just, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newService(&fakeTargetClient{})
			r := &request{service: s, table: s.table.Load(), route: &state.Route{Kind: state.StreamingRoute, Resumable: c.resumable, MaxAttempts: 3}}
			a := &attempt{request: r, ctx: t.Context(), grant: &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}}
			a.race = newRace(a)
			a.logged = s.targets.Begin("t", arrived, func() (time.Time, bool) { return time.Time{}, false })
			if !c.refusesSince.IsZero() {
				s.targets.Refuses("t", c.refusesSince)
			}
			j := judgeEnd(a, c.doubt, RunCheck{Liveness: Ended, Refused: true, IdleClosedAt: c.idleClosedAt}, arrived, c.known)
			if complete := j.Verdict == targetend.Whole; complete != c.complete {
				t.Errorf("complete %t because %q, want %t", complete, j.Reason, c.complete)
			}
		})
	}
}

// Guards against a stream that ends before its first event and is passed on as complete although it may
// run elsewhere, because its target, which is shutting down, finishes others.
func TestEmptyStreamOfTargetThatRefusesConnectionsRunsElsewhere(t *testing.T) {
	out := &recordingResponder{}
	targets := &fakeTargetClient{}
	synctest.Test(t, func(t *testing.T) {
		targets.idleClosedAt = time.Now()
		targets.behaviours = []behaviour{func(context.Context, *Forward) (Exchange, error) {
			time.Sleep(2 * targetend.CancelTime)
			return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: strings.NewReader(""), closes: true, thenNotRunning: true, liveness: Ended, receivedAt: time.Now()}, nil
		}, respondWith(200, events)}
		newService(targets).Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/resume/x", APIKey: "key"}, time.Now(), out)
	})
	if len(targets.sends) != 2 || !out.ended || out.body.String() != events {
		t.Errorf("ended %t after %d sends with %q; want all events after 2", out.ended, len(targets.sends), out.body.String())
	}
}

// Guards against streams of which no connection shows that their target has cancelled all handlers
// at the same moment.
func TestStreamsEndingTogetherAreDoubted(t *testing.T) {
	const together = 25 * time.Millisecond
	for _, c := range []struct {
		name        string
		otherEnd    time.Duration // after the end; negative: it goes on
		thirdGoesOn bool
		doubt       endDoubt
	}{
		{"other stream goes on", -1, false, noDoubt},
		{"other stream has ended", together, false, endedTogether},
		{"other stream has ended, a third one goes on", together, true, noDoubt},
		{"other stream has ended later", together + 1, false, noDoubt},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newService(&fakeTargetClient{})
			grant, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
			if err != nil {
				t.Fatal(err)
			}
			end := time.Now()
			ex := &fakeExchange{receivedAt: end}
			begin := func() *targetend.Stream {
				return s.targets.Begin(grant.Target.ID, end, func() (time.Time, bool) { return end, true })
			}
			a := &attempt{request: &request{service: s, table: s.table.Load(), route: &state.Route{Kind: state.StreamingRoute}}, grant: grant, logged: begin()}
			if other := begin(); c.otherEnd >= 0 {
				other.End(end.Add(c.otherEnd))
			}
			if c.thirdGoesOn {
				begin()
			}
			check := &endCheck{attempt: a, exchange: ex, arrivedAt: end, timeKnown: true}
			if check.findDoubt(&state.Response{}); check.doubt != c.doubt {
				t.Errorf("doubt %s, want %s", check.doubt, c.doubt)
			}
		})
	}
}

// Guards against a whole stream that is sent to another target because it may be resumed: the protocol
// does not say what a target that is asked to go on behind the last event does, and it may make one
// more event. Its own target had begun to shut down long before the end, and finished it.
func TestWholeStreamThatMayBeResumedIsNotSentOn(t *testing.T) {
	const oneMore = "id: 4\ndata: x\n\n"
	for name, refusing := range map[string]time.Duration{"target finishes its streams": 2 * targetend.CancelTime, "target has just begun to refuse": targetend.CancelTime / 2} {
		t.Run(name, func(t *testing.T) {
			whole := refusing > targetend.CancelTime
			out := &recordingResponder{}
			targets := &fakeTargetClient{}
			synctest.Test(t, func(t *testing.T) {
				targets.idleClosedAt = time.Now()
				targets.behaviours = []behaviour{func(context.Context, *Forward) (Exchange, error) {
					head := &state.Response{Status: 200, HasSignature: true}
					time.Sleep(refusing)
					return &fakeExchange{head: head, Reader: strings.NewReader(events), closes: true, thenNotRunning: true, liveness: Ended, receivedAt: time.Now()}, nil
				}, respondWith(200, oneMore)}
				newService(targets).Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/resume/x", APIKey: "key"}, time.Now(), out)
			})
			if sentOn := len(targets.sends) > 1; sentOn == whole || !out.ended || whole && out.body.String() != events {
				t.Errorf("sent on %t, ended %t with %q; want sent on %t", sentOn, out.ended, out.body.String(), !whole)
			}
		})
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
		{"unannounced close, another stream goes on, may be resumed", true, unannouncedClose, false, true, true},
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
				grant, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: arrived, Deadline: arrived.Add(time.Hour)})
				if err != nil {
					t.Fatal(err)
				}
				id := grant.Target.ID
				a := &attempt{request: r, ctx: t.Context(), grant: grant}
				a.race = newRace(a)
				data := func(at time.Time) func() (time.Time, bool) { return func() (time.Time, bool) { return at, true } }
				a.logged = s.targets.Begin(id, arrived, data(arrived))
				if c.together {
					s.targets.Begin(id, arrived, data(arrived)).End(arrived)
				}
				if c.survives {
					s.targets.Begin(id, arrived, data(arrived.Add(2*targetend.CancelTime)))
				}
				if j := judgeEnd(a, c.doubt, RunCheck{Liveness: Leaving}, arrived, true); (j.Verdict == targetend.Whole) != c.complete {
					t.Errorf("%s because %q, want complete %t", j.Verdict, j.Reason, c.complete)
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
		if j := judgeEnd(a, c.doubt, RunCheck{SameIncarnation: true}, time.Now(), true); (j.Verdict == targetend.Whole) != c.complete {
			t.Errorf("%s: %s because %q, want complete %t", c.doubt, j.Verdict, j.Reason, c.complete)
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
						s.targets.Begin(id, time.Now(), func() (time.Time, bool) { return time.Time{}, false })
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
	var l targetend.Log
	end := time.Now()
	received := end
	l.Begin("t", end, func() (time.Time, bool) { return received, true }).End(end)
	received = end.Add(time.Second)
	if j := targetend.Judge(targetend.End{At: end}, l.Seen("t", nil)); j.Together != 1 {
		t.Errorf("%d streams ended together with it, want 1", j.Together)
	}
}

// Guards against a whole stream that is broken off, or sent on, because another one of its target ended at
// the same moment by chance and the target leaves, as it had announced when the stream began.
func TestStreamOfTargetThatAnnouncedItsCloseIsWhole(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			out, targets := &recordingResponder{}, &fakeTargetClient{}
			synctest.Test(t, func(t *testing.T) {
				s := newService(targets)
				targets.behaviours = []behaviour{func(ctx context.Context, f *Forward) (Exchange, error) {
					s.targets.Ended(f.Target.ID, time.Now())
					return closingBehind(Leaving, true, events)(ctx, f)
				}, respondWith(200, "id: 4\ndata: x\n\n")}
				s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: path, APIKey: "key"}, time.Now(), out)
			})
			if !out.ended || out.body.String() != events || len(targets.sends) != 1 {
				t.Errorf("ended %t with %q after %d sends; want all events after 1", out.ended, out.body.String(), len(targets.sends))
			}
		})
	}
}
