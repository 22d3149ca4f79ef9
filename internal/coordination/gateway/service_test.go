package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// behaviour is how a target handles one send.
type behaviour func(ctx context.Context, f *Forward) (Exchange, error)

// runningTargets are targets that accept connections.
type runningTargets struct{}

func (runningTargets) Refuses(context.Context, string) bool          { return false }
func (runningTargets) Closes(context.Context, string) bool           { return false }
func (runningTargets) IdleClosedAt(state.TargetID, string) time.Time { return time.Time{} }
func (runningTargets) CheckRunning(context.Context, *state.TargetRecord, string) RunCheck {
	return RunCheck{Liveness: Running}
}

// fakeTargetClient handles each send by the next behaviour.
type fakeTargetClient struct {
	runningTargets
	mu         sync.Mutex
	behaviours []behaviour
	sends      []Forward
	liveness   map[state.TargetID]Liveness // of targets that do not run
	// idleClosedAt is when such targets closed their idle connections; zero if they had none.
	idleClosedAt time.Time
	healthChecks atomic.Int64
}

func (f *fakeTargetClient) Send(ctx context.Context, fw *Forward) (Exchange, error) {
	f.mu.Lock()
	f.sends = append(f.sends, *fw)
	if len(f.behaviours) == 0 {
		f.mu.Unlock()
		return nil, errors.New("unexpected send")
	}
	b := f.behaviours[0]
	f.behaviours = f.behaviours[1:]
	f.mu.Unlock()
	ex, err := b(ctx, fw)
	if fake, ok := ex.(*fakeExchange); ok && fake.thenNotRunning {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.liveness = map[state.TargetID]Liveness{fw.Target.ID: fake.liveness}
	}
	return ex, err
}

func (f *fakeTargetClient) CheckRunning(_ context.Context, target *state.TargetRecord, _ string) RunCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.liveness[target.ID]; ok {
		return RunCheck{Liveness: l, Refused: l == Ended, IdleClosedAt: f.idleClosedAt}
	}
	return RunCheck{Liveness: Running}
}

func (f *fakeTargetClient) CheckHealth(ctx context.Context, target *state.TargetRecord, healthPath string) RunCheck {
	f.healthChecks.Add(1)
	return f.CheckRunning(ctx, target, healthPath)
}

// resumePoints returns the event after which each send resumed.
func (f *fakeTargetClient) resumePoints() []string {
	var points []string
	for _, send := range f.sends {
		points = append(points, send.ResumeAfter)
	}
	return points
}

type fakeExchange struct {
	head    *state.Response
	headErr error
	// thenNotRunning says that the target does not run any more when the body ends, and
	// liveness what is known of it then.
	thenNotRunning bool
	liveness       Liveness
	closes         bool      // the connection behind the body
	receivedAt     time.Time // of the last data; zero if it is not known
	io.Reader
}

func (e *fakeExchange) StaysOpen(time.Duration) bool { return !e.closes }

func (e *fakeExchange) Received() (earliest, latest time.Time, known bool) {
	return e.receivedAt, e.receivedAt, !e.receivedAt.IsZero()
}

func (e *fakeExchange) Head() (*state.Response, error) { return e.head, e.headErr }
func (e *fakeExchange) Close(bool)                     {}

// truncatedReader fails as a body that ends early.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// respondWith answers with a complete, signed response.
func respondWith(status int, body string) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		return &fakeExchange{head: &state.Response{Status: status, HasSignature: true, HasLength: true}, Reader: strings.NewReader(body)}, nil
	}
}

// unsigned answers without the target's signature.
func unsigned(status int) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		return &fakeExchange{head: &state.Response{Status: status}, Reader: strings.NewReader("x")}, nil
	}
}

// notRun answers that the request did not run.
func notRun(status int) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		return &fakeExchange{head: &state.Response{Status: status, NotRun: true}, Reader: strings.NewReader("")}, nil
	}
}

// truncated answers with a signed response whose body ends early after body.
func truncated(body string) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: io.MultiReader(strings.NewReader(body), truncatedReader{})}, nil
	}
}

// connectionReset fails after the request was sent.
func connectionReset(context.Context, *Forward) (Exchange, error) {
	return &fakeExchange{headErr: errors.New("connection reset")}, nil
}

// connectionRefused fails before the request was sent.
func connectionRefused(context.Context, *Forward) (Exchange, error) {
	return nil, fmt.Errorf("%w: connection refused", ErrNotSent)
}

// silentTarget does not answer before the request is cancelled.
func silentTarget(ctx context.Context, _ *Forward) (Exchange, error) {
	<-ctx.Done()
	return &fakeExchange{headErr: ctx.Err()}, nil
}

// recordingResponder records what the caller receives.
type recordingResponder struct {
	status  int
	body    bytes.Buffer
	failure Failure
	ended   bool
	aborted bool
}

func (r *recordingResponder) Respond(h *state.Response, body []byte) error {
	r.status, r.ended = h.Status, true
	r.body.Write(body)
	return nil
}
func (r *recordingResponder) BeginStream(h *state.Response) error { r.status = h.Status; return nil }
func (r *recordingResponder) WriteEvent(b []byte) error           { r.body.Write(b); return nil }
func (r *recordingResponder) EndStream() error                    { r.ended = true; return nil }
func (r *recordingResponder) Abort()                              { r.aborted = true }
func (r *recordingResponder) Fail(f Failure) error                { r.failure = f; return nil }

type noObserver struct{}

func (noObserver) TargetEjected(state.TargetID, state.Service, dispatch.Outcome, time.Duration) {}
func (noObserver) TargetReturned(state.TargetID, state.Service)                                 {}
func (noObserver) TargetLeaving(state.TargetID, state.Service)                                  {}
func (noObserver) TargetPaused(state.TargetID, state.Service, time.Duration)                    {}
func (noObserver) RateLimitChanged(*ratelimit.Change)                                           {}

var testConfig = &state.Configuration{
	Version: 3,
	Routes: []state.Route{
		route("plain", "/plain/", state.IdempotentRoute, false, 2),
		route("once", "/once/", state.NonIdempotentRoute, false, 1),
		route("stream", "/stream/", state.StreamingRoute, false, 1),
		route("resume", "/resume/", state.StreamingRoute, true, 2),
	},
	Customers: []state.CustomerConfig{{Name: "c", Keys: []string{"key"}, PlainCost: 1}},
}

func route(name, prefix string, kind state.RouteKind, resumable bool, attempts int) state.Route {
	return state.Route{
		Name: name, Host: "h", Prefix: prefix, Kind: kind, Resumable: resumable, MaxAttempts: attempts,
		Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, Gap: 250 * time.Millisecond,
		Split: []state.ServiceWeight{{Service: "s", Weight: 1}},
	}
}

// serveCall serves one call with three targets and the given behaviours for the sends
// in their order.
func serveCall(t *testing.T, path string, next ...behaviour) (*recordingResponder, *fakeTargetClient) {
	t.Helper()
	out := &recordingResponder{}
	targets := &fakeTargetClient{behaviours: next}
	synctest.Test(t, func(t *testing.T) {
		s := newService(targets)
		s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: path, APIKey: "key"}, time.Now(), out)
	})
	return out, targets
}

func newUnconfiguredService(targets TargetClient) *Service { return newSeededService(targets, 1) }

// newSeededService returns a service without a configuration, whose choice of targets
// depends on seed.
func newSeededService(targets TargetClient, seed uint64) *Service {
	scheduler := dispatch.New("a", seed, time.Now, noObserver{}, ratelimit.New(ratelimit.Config{Self: "self"}))
	var records []state.TargetRecord
	for _, id := range []state.TargetID{"t1", "t2", "t3"} {
		records = append(records, state.TargetRecord{ID: id, Service: "s", Address: string(id), Slots: 4})
	}
	scheduler.SetTargets(records)
	origins := origin.New(time.Now(), true)
	origins.SetTargets(time.Now(), records)
	askOrigin := func(context.Context, origin.Question) (origin.Origin, error) {
		return origin.Origin{}, errors.New("no other entry to ask")
	}
	return New(Config{
		Scheduler: scheduler, TargetClient: targets, Quota: quota.New(quota.Config{Tolerance: quota.Tolerance{Window: time.Second}}),
		Refusals: refusal.NewLog(), Quarantine: newQuarantine("self"), Origins: origins, AskOrigin: askOrigin, TellOrigin: func(origin.Origin, ...state.RequestID) {}, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: func() float64 { return 5 }, Memory: memory.New(memory.Limits{Responses: 8 << 20}), Log: zap.NewNop(), Counters: NewCounters(false),
	})
}

// newQuarantine returns an empty quarantine of an entry without others.
func newQuarantine(self state.InstanceID) *quarantine.Ledger {
	return quarantine.New(quarantine.Config{Self: self, Others: func(time.Time) []state.InstanceID { return nil }})
}

// newService returns a service with testConfig in effect.
func newService(targets TargetClient) *Service {
	s := newUnconfiguredService(targets)
	s.SetConfiguration(testConfig)
	return s
}

// Guards against sending a request again that may run only once and may have run, and
// against answering it with "not run".
func TestRequestThatMayRunOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		next  []behaviour
		sends int
		want  FailureKind // 0: the response of the last target
	}{
		{"served", []behaviour{respondWith(200, "ok")}, 1, 0},
		{"reset after sending", []behaviour{connectionReset, respondWith(200, "ok")}, 1, UnknownOutcome},
		{"truncated response", []behaviour{truncated("par"), respondWith(200, "ok")}, 1, UnknownOutcome},
		{"silent until time is up", []behaviour{silentTarget}, 1, TimedOut},
		{"connection refused", []behaviour{connectionRefused, respondWith(200, "ok")}, 2, 0},
		{"not run", []behaviour{notRun(503), respondWith(200, "ok")}, 2, 0},
		{"misdirected", []behaviour{notRun(421), respondWith(200, "ok")}, 2, 0},
		{"refused everywhere", []behaviour{connectionRefused, connectionRefused, connectionRefused}, 3, NotRun},
		{"error response of the target", []behaviour{respondWith(500, "no")}, 1, 0},
		{"503 without the proof that it did not run", []behaviour{unsigned(503)}, 1, UnknownOutcome},
		{"success without the target's proof", []behaviour{unsigned(200)}, 1, UnknownOutcome},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets := serveCall(t, "/once/x", c.next...)
			if len(targets.sends) != c.sends {
				t.Errorf("%d sends, want %d", len(targets.sends), c.sends)
			}
			if out.failure.Kind != c.want {
				t.Errorf("failure %+v, want kind %v", out.failure, c.want)
			}
			if c.want == 0 && !out.ended {
				t.Error("no complete response")
			}
		})
	}
}

// Guards against giving up a request that another target can serve, and against more
// sends than the route allows.
func TestRepeatableRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		next   []behaviour
		sends  int
		status int
	}{
		{"reset", []behaviour{connectionReset, respondWith(200, "ok")}, 2, 200},
		{"failure of the first target", []behaviour{respondWith(500, "no"), respondWith(200, "ok")}, 2, 200},
		{"silent first target", []behaviour{silentTarget, respondWith(200, "ok")}, 2, 200},
		{"failure after the last attempt is passed on", []behaviour{respondWith(500, "no"), respondWith(500, "no"), respondWith(200, "ok")}, 2, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets := serveCall(t, "/plain/x", c.next...)
			if len(targets.sends) != c.sends || out.status != c.status {
				t.Errorf("%d sends, status %d; want %d, %d", len(targets.sends), out.status, c.sends, c.status)
			}
			if len(targets.sends) == 2 && targets.sends[0].Target.ID == targets.sends[1].Target.ID {
				t.Error("the same target was tried twice")
			}
		})
	}
}

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// streamCase is a stream to one caller, what targets do in their order, and what the
// caller and the targets then see.
type streamCase struct {
	name    string
	path    string
	next    []behaviour
	want    string
	ended   bool
	aborted bool
	failure FailureKind
	resume  []string
}

func checkStreams(t *testing.T, cases []streamCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, targets := serveCall(t, c.path, c.next...)
			if diff := cmp.Diff(c.want, out.body.String()); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if out.ended != c.ended || out.aborted != c.aborted || out.failure.Kind != c.failure {
				t.Errorf("ended %t, aborted %t, failure %v; want %t, %t, %v", out.ended, out.aborted, out.failure.Kind, c.ended, c.aborted, c.failure)
			}
			if diff := cmp.Diff(c.resume, targets.resumePoints()); diff != "" {
				t.Errorf("resumed after (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against missing or repeated events in a stream, and against an interrupted
// stream that looks complete to the caller.
func TestStreams(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	checkStreams(t, []streamCase{
		{"whole", "/stream/x", []behaviour{respondWith(200, events)}, events, true, false, 0, []string{""}},
		{"broken inside an event", "/stream/x", []behaviour{truncated(first + "id: 2\nda"), respondWith(200, events)}, first, false, true, 0, []string{""}},
		{"resumed", "/resume/x", []behaviour{truncated(first + "id: 2\nda"), respondWith(200, rest)}, events, true, false, 0, []string{"", "1"}},
		{"resumed once only", "/resume/x", []behaviour{truncated(first), truncated(""), respondWith(200, rest)}, first, false, true, 0, []string{"", "1"}},
		{"resumed with an event that the caller has", "/resume/x", []behaviour{truncated(first), respondWith(200, events)}, events, true, false, 0, []string{"", "1"}},
		{"resumed with only events that the caller has", "/resume/x", []behaviour{truncated(events), respondWith(200, rest)}, events, true, false, 0, []string{"", "3"}},
		{"resumed with only events before the last one that the caller has", "/resume/x", []behaviour{truncated(events), respondWith(200, first)}, events, false, true, 0, []string{"", "3"}},
		{"event comes twice", "/stream/x", []behaviour{respondWith(200, first+first+rest)}, events, true, false, 0, []string{""}},
		{"ids go back", "/stream/x", []behaviour{respondWith(200, events+rest+"id: 4\ndata: d\n\n")}, events + "id: 4\ndata: d\n\n", true, false, 0, []string{""}},
		{"ids are no numbers", "/stream/x", []behaviour{respondWith(200, "id: b\n\nid: a\n\nid: b\n\n")}, "id: b\n\nid: a\n\nid: b\n\n", true, false, 0, []string{""}},
		{"broken before the first event", "/resume/x", []behaviour{truncated("id: 1\nda"), respondWith(200, events)}, events, true, false, 0, []string{"", ""}},
	})
}

// Guards against a request that continues, or is sent to another target, after its
// caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := &fakeTargetClient{behaviours: []behaviour{silentTarget, respondWith(200, "ok")}}
		s := newService(targets)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		out := &recordingResponder{}
		began := time.Now()
		s.Serve(ctx, &state.Call{ID: "r", Host: "h", Path: "/plain/x", APIKey: "key"}, began, out)
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("the request went on for %s after its caller had left", took-50*time.Millisecond)
		}
		if len(targets.sends) != 1 || !out.aborted {
			t.Errorf("%d sends, aborted %t; want 1, true", len(targets.sends), out.aborted)
		}
	})
}

// Guards against the wrong kind of failure for a request that is not admitted.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name string
		call state.Call
		want FailureKind
	}{
		{"no route", state.Call{Host: "h", Path: "/none/", APIKey: "key"}, UnknownRoute},
		{"other host", state.Call{Host: "g", Path: "/plain/x", APIKey: "key"}, UnknownRoute},
		{"unknown key", state.Call{Host: "h", Path: "/plain/x", APIKey: "other"}, UnknownKey},
		{"no key", state.Call{Host: "h", Path: "/plain/x"}, UnknownKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &recordingResponder{}
			targets := &fakeTargetClient{}
			newService(targets).Serve(t.Context(), &c.call, time.Now(), out)
			if out.failure.Kind != c.want || len(targets.sends) != 0 {
				t.Errorf("failure %+v after %d sends, want %v", out.failure, len(targets.sends), c.want)
			}
		})
	}
}

// All entries restart while the store is away. Guards against refusing requests in the
// moment before the first configuration, and against telling callers to come back before
// the store is likely to answer: they return once only.
func TestRequestsBeforeFirstConfiguration(t *testing.T) {
	call := func() *state.Call {
		return &state.Call{Host: "h", Path: "/plain/x", APIKey: "key", HasTimeout: true, Timeout: 10 * time.Second}
	}
	t.Run("is soon known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newUnconfiguredService(&fakeTargetClient{behaviours: []behaviour{respondWith(200, "ok")}})
			time.AfterFunc(time.Second, func() { s.SetConfiguration(testConfig) })
			out := &recordingResponder{}
			s.Serve(t.Context(), call(), time.Now(), out)
			if out.status != 200 {
				t.Errorf("status %d, failure %+v, want the response after the configuration is known", out.status, out.failure)
			}
		})
	})
	t.Run("is not known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newUnconfiguredService(&fakeTargetClient{})
			time.Sleep(time.Second)
			began, out := time.Now(), &recordingResponder{}
			s.Serve(t.Context(), call(), began, out)
			if out.failure.Kind != NotRun || out.failure.RetryAfter < time.Second {
				t.Errorf("failure %+v, want not run and a retry-after time of at least the time since the start", out.failure)
			}
			if waited := time.Since(began); waited > 2*time.Second {
				t.Errorf("the refusal took %s of the caller's 10 s", waited)
			}
		})
	})
}

// Guards against replacing the configuration by an older one that arrives late.
func TestConfigurationNeverReverts(t *testing.T) {
	s := newService(&fakeTargetClient{})
	if s.SetConfiguration(&state.Configuration{Version: 2}) {
		t.Error("an older configuration took effect")
	}
	if !s.SetConfiguration(&state.Configuration{Version: 7}) {
		t.Error("a newer configuration did not take effect")
	}
	if got := s.Configuration().Version; got != 7 {
		t.Errorf("version %d in effect, want 7", got)
	}
}

// Guards against giving up a request, or leaving out its target, because the process was
// paused between the grant and the send.
func TestExpiredGrantIsReplaced(t *testing.T) {
	expired := func(context.Context, *Forward) (Exchange, error) { return nil, ErrGrantExpired }
	for _, path := range []string{"/plain/x", "/once/x"} {
		out, targets := serveCall(t, path, expired, expired, respondWith(200, "ok"))
		if out.body.String() != "ok" || len(targets.sends) != 3 {
			t.Errorf("%s: %d sends, body %q, failure %+v; want the response to the third send", path, len(targets.sends), out.body.String(), out.failure)
		}
		for _, send := range targets.sends {
			if send.SendBy.IsZero() {
				t.Errorf("%s: a send without the time at which its grant expires", path)
			}
		}
	}
}
