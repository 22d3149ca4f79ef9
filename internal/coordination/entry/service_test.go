package entry

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/admission"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

var (
	queued       = &state.Queued{Ahead: 1}
	started      = &state.Started{}
	sessionLost  = ErrSessionLost
	targetSilent = &state.Failed{Reason: state.ReasonTargetSilent, OutcomeUnknown: true}
	noEvent      = step{delay: time.Hour, event: &state.Progress{}}
)

// anyCalls stands for any calls to the peers.
const anyCalls = "any"

// scenario is a test of one request and names the failure that it guards against.
type scenario struct {
	guards      string
	setup       func(h *harness)
	kind        ResultKind
	reason      state.Reason
	calls       string // expected calls to the peers, comma separated; or anyCalls
	output      string // what the sink has received, space separated
	maxDuration time.Duration
	check       func(t *testing.T, h *harness, r Result)
}

// onDispatch adds a script for a Dispatch to target.
func onDispatch(h *harness, target state.TargetID, list ...any) {
	h.peers.dispatch[target] = append(h.peers.dispatch[target], newScript(list...))
}

// onAttach adds a script for an Attach at target.
func onAttach(h *harness, target state.TargetID, list ...any) {
	h.peers.attach[target] = append(h.peers.attach[target], newScript(list...))
}

var scenarios = []scenario{
	{guards: "a response that is not passed on or acknowledged", setup: func(h *harness) {
		onDispatch(h, "a", queued, started, &state.Head{Status: 200}, chunk(0), chunk(1), done(2))
	}, kind: Complete, calls: "dispatch a,ack a", output: "head 200 c0 c1"},
	{guards: "a chunk passed on twice or after a gap", setup: func(h *harness) {
		onDispatch(h, "a", started, chunk(0), chunk(0), chunk(2))
		onAttach(h, "a", attemptState(state.AttemptRunning), chunk(1), chunk(2), done(3))
	}, kind: Complete, calls: "dispatch a,attach a 1,ack a", output: "c0 c1 c2"},
	{guards: "endless attaching to a response that lacks a chunk", setup: func(h *harness) {
		h.req.Idempotent = false
		onDispatch(h, "a", started, chunk(0), done(3))
		for range maxIncompleteStreams + 1 {
			onAttach(h, "a", attemptState(state.AttemptDone), done(3))
		}
	}, kind: Unknown, reason: state.ReasonStreamBroken, calls: "dispatch a,attach a 1,attach a 1,attach a 1", output: "c0"},
	{guards: "a token repeated or dropped when a session is lost mid-stream", setup: func(h *harness) {
		onDispatch(h, "a", started, chunk(0), chunk(1), sessionLost)
		onAttach(h, "a", attemptState(state.AttemptRunning), chunk(1), chunk(2), sessionLost)
		onAttach(h, "a", attemptState(state.AttemptDone), chunk(3), done(4))
	}, kind: Complete, calls: "dispatch a,attach a 2,attach a 3,ack a", output: "c0 c1 c2 c3"},
	{guards: "a second dispatch after a failed write whose effect is unknown", setup: func(h *harness) {
		h.req.Idempotent = false
		h.peers.dispatch["a"] = []script{{openErr: errors.New("write failed")}}
		onAttach(h, "a", attemptState(state.AttemptRunning), chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,attach a 0,ack a", output: "c0"},
	{guards: "a claim that is not voided when its dispatch was not sent", setup: func(h *harness) {
		h.useKey()
		h.peers.dispatch["a"] = []script{{openErr: ErrNotSent}}
		h.peers.void["a"] = state.AttemptNotRun
		onDispatch(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch a,void a,dispatch b,ack b"},
	{guards: "a request that fails because one target cannot be reached", setup: func(h *harness) {
		h.peers.reserve["a"] = errors.New("refused")
		onDispatch(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch b,ack b"},
	{guards: "a request that fails, or runs twice, when its attempt did not arrive", setup: func(h *harness) {
		onDispatch(h, "a", sessionLost)
		onAttach(h, "a", attemptState(state.AttemptUnseen))
		onDispatch(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,attach a 0,dispatch b,ack b", output: "c0"},
	{guards: "a second placement of a key without a receipt for the first", setup: func(h *harness) {
		h.useKey()
		onDispatch(h, "a", sessionLost)
		onAttach(h, "a", attemptState(state.AttemptUnseen))
		h.peers.void["a"] = state.AttemptVoided
		onDispatch(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,attach a 0,void a,dispatch b,ack b", output: "c0",
		check: func(t *testing.T, h *harness, _ Result) {
			if c := h.claims.requested; len(c) != 2 || c[1].Placement != 2 || c[1].Receipt != state.AttemptVoided {
				t.Errorf("claims %+v, want a second placement with receipt", c)
			}
		}},
	{guards: "a second placement of a key when the target gave no receipt", setup: func(h *harness) {
		h.useKey()
		onDispatch(h, "a", sessionLost)
		onAttach(h, "a", attemptState(state.AttemptUnseen))
	}, kind: Refused, reason: ReasonUnseen, calls: "dispatch a,attach a 0,void a"},
	{guards: "a refused request that is not tried at another target", setup: func(h *harness) {
		onDispatch(h, "a", refusal(state.ReasonQueueFull))
		onDispatch(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch a,dispatch b,ack b", check: func(t *testing.T, h *harness, _ Result) {
		if h.placer.figuresReceived != 1 || !h.placer.outcomes[0].NotRun || !h.placer.outcomes[1].Complete {
			t.Errorf("placer got %d figures and %+v", h.placer.figuresReceived, h.placer.outcomes)
		}
	}},
	{guards: "a refusal that is delayed or lacks a retry-after time", setup: func(h *harness) {
		onDispatch(h, "a", refusal(state.ReasonQueueFull))
		onDispatch(h, "b", refusal(state.ReasonLeaving))
	}, kind: Refused, reason: state.ReasonQueueFull, calls: "dispatch a,dispatch b", maxDuration: 10 * time.Millisecond,
		check: func(t *testing.T, _ *harness, r Result) {
			if r.RetryAfter != 3*time.Second || !strings.Contains(r.Err.Error(), "dispatch {peer: a}") {
				t.Errorf("retry after %s, error %v", r.RetryAfter, r.Err)
			}
		}},
	{guards: "a request that waits although there are no targets", setup: func(h *harness) { h.placer.targets = nil },
		kind: Refused, reason: ReasonNoTarget, maxDuration: 10 * time.Millisecond},
	{guards: "a target that is not asked again after its session was replaced", setup: func(h *harness) {
		h.placer.targets = []state.TargetID{"a"}
		onDispatch(h, "a", refusal(state.ReasonFenced))
		onDispatch(h, "a", started, done(0))
	}, kind: Complete, calls: "dispatch a,dispatch a,ack a"},
	{guards: "a higher tier refused for load while a candidate has a lower tier queued", setup: func(h *harness) {
		h.placer.targets = []state.TargetID{"a", "b", "c", "d", "e", "f"}
		h.placer.withRoom = []state.TargetID{"f"}
		for _, t := range []state.TargetID{"a", "b", "c", "d"} {
			onDispatch(h, t, refusal(state.ReasonQueueFull))
		}
		onDispatch(h, "f", started, done(0))
	}, kind: Complete, calls: "dispatch a,dispatch b,dispatch c,dispatch d,dispatch f,ack f"},
	{guards: "unbounded placements", setup: func(h *harness) {
		h.placer.targets = []state.TargetID{"a", "b", "c", "d", "e", "f"}
		for _, t := range h.placer.targets {
			onDispatch(h, t, refusal(state.ReasonQueueFull))
		}
	}, kind: Refused, reason: state.ReasonQueueFull, calls: "dispatch a,dispatch b,dispatch c,dispatch d"},
	{guards: "a dispatch without a claim while the log is unavailable", setup: func(h *harness) {
		h.useKey()
		h.claims.results = []*state.ClaimResult{nil}
	}, kind: Refused, reason: ReasonClaimUnavailable, maxDuration: claimTimeout},
	{guards: "a second run by an entry that lost the claim", setup: func(h *harness) {
		h.useKey()
		h.claims.results = []*state.ClaimResult{{Holder: h.foreignClaim("x")}}
		onAttach(h, "x", attemptState(state.AttemptRunning), chunk(0), done(1))
	}, kind: Complete, calls: "attach x 0", output: "c0"},
	{guards: "a second run when the key is already claimed before placement", setup: func(h *harness) {
		h.useKey()
		h.claims.existing["k"] = h.foreignClaim("x")
		onAttach(h, "x", attemptState(state.AttemptDone), chunk(0), done(1))
	}, kind: Complete, calls: "attach x 0", output: "c0"},
	{guards: "a key that stays claimed when the entry that claimed it failed before the dispatch", setup: func(h *harness) {
		h.useKey()
		h.claims.results = []*state.ClaimResult{{Holder: h.foreignClaim("x")}, {Won: true}}
		onAttach(h, "x", attemptState(state.AttemptUnseen))
		onAttach(h, "x", attemptState(state.AttemptUnseen))
		h.peers.void["x"] = state.AttemptVoided
		onDispatch(h, "a", started, done(0))
	}, kind: Complete, calls: "attach x 0,attach x 0,void x,dispatch a,ack a", check: func(t *testing.T, h *harness, _ Result) {
		if c := h.claims.requested[1]; c.Placement != 2 || c.Receipt != state.AttemptVoided {
			t.Errorf("takeover claim %+v, want placement 2 with receipt", c)
		}
	}},
	{guards: "a takeover of a key although the target could not void the attempt", setup: func(h *harness) {
		h.useKey()
		h.claims.results = []*state.ClaimResult{{Holder: h.foreignClaim("x")}}
		onAttach(h, "x", attemptState(state.AttemptUnseen))
		onAttach(h, "x", attemptState(state.AttemptUnseen))
		h.peers.void["x"] = state.AttemptUnknown
	}, kind: Unknown, reason: ReasonOutcomeUnknown, calls: "attach x 0,attach x 0,void x"},
	{guards: "a response to another request with the same key", setup: func(h *harness) {
		h.useKey()
		other := h.foreignClaim("x")
		other.Fingerprint++
		h.claims.results = []*state.ClaimResult{{Holder: other}}
	}, kind: Refused, reason: ReasonKeyReused},
	{guards: "a rerun of a request whose response has expired", setup: func(h *harness) {
		h.useKey()
		h.claims.existing["k"] = h.foreignClaim("x")
		onAttach(h, "x", attemptState(state.AttemptExpired))
	}, kind: Expired, reason: ReasonResponseExpired, calls: "attach x 0"},
	{guards: "a retry of non-idempotent work that may have run", setup: func(h *harness) {
		h.req.Idempotent = false
		h.service.budget.Earn(5, 5)
		onDispatch(h, "a", started, targetSilent)
	}, kind: Unknown, reason: state.ReasonTargetSilent, calls: "dispatch a,ack a"},
	{guards: "partly run work that is reported as a plain failure", setup: func(h *harness) {
		h.req.Idempotent = false
		onDispatch(h, "a", started, &state.Failed{Reason: state.ReasonCancelled})
	}, kind: Unknown, reason: state.ReasonCancelled, calls: "dispatch a,ack a"},
	{guards: "a wrong result for an attempt that a restarted side process does not know", setup: func(h *harness) {
		h.req.Idempotent = false
		onDispatch(h, "a", sessionLost)
		onAttach(h, "a", attemptState(state.AttemptUnknown))
	}, kind: Unknown, reason: state.ReasonSideRestarted, calls: "dispatch a,attach a 0"},
	{guards: "endless attaching to an unreachable target", setup: func(h *harness) {
		h.req.Idempotent = false
		onDispatch(h, "a", started, sessionLost)
	}, kind: Unknown, reason: ReasonTargetUnreachable, calls: anyCalls, maxDuration: attachTimeout + attachBackoffMax, check: func(t *testing.T, h *harness, _ Result) {
		if n := len(h.peers.calls); n < 10 || n > 40 {
			t.Errorf("%d calls, want the attach to be repeated with backoff", n)
		}
	}},
	{guards: "idempotent work that is not retried before output", setup: func(h *harness) {
		h.service.budget.Earn(1, 5)
		onDispatch(h, "a", started, targetSilent)
		onDispatch(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,ack a,dispatch b,ack b", output: "c0"},
	{guards: "an idempotent request that waits too long for an unreachable target", setup: func(h *harness) {
		h.service.budget.Earn(1, 5)
		onDispatch(h, "a", started, sessionLost)
		onDispatch(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: anyCalls, output: "c0", maxDuration: retryableAttachTimeout + attachBackoffMax},
	{guards: "retries beyond the budget", setup: func(h *harness) {
		onDispatch(h, "a", started, targetSilent)
	}, kind: Unknown, reason: state.ReasonTargetSilent, calls: "dispatch a,ack a"},
	{guards: "a streamed response made of the chunks of two attempts", setup: func(h *harness) {
		h.service.budget.Earn(5, 5)
		onDispatch(h, "a", started, chunk(0), targetSilent)
	}, kind: Unknown, reason: state.ReasonTargetSilent, calls: "dispatch a,ack a", output: "c0"},
	{guards: "a buffered response made of the chunks of two attempts", setup: func(h *harness) {
		h.sink.buffered = true
		h.service.budget.Earn(5, 5)
		onDispatch(h, "a", started, chunk(0), chunk(1), targetSilent)
		onDispatch(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,ack a,dispatch b,ack b", output: "c0"},
	{guards: "a retry reported as not run although the first attempt may have run", setup: func(h *harness) {
		h.service.budget.Earn(5, 5)
		onDispatch(h, "a", started, targetSilent)
		onDispatch(h, "b", refusal(state.ReasonQueueFull))
	}, kind: Unknown, reason: state.ReasonQueueFull, calls: "dispatch a,ack a,dispatch b"},
	{guards: "a target's own error that is hidden or retried", setup: func(h *harness) {
		onDispatch(h, "a", started, &state.Failed{Reason: state.ReasonTargetError, Status: 400, Detail: "bad"})
	}, kind: Failed, reason: state.ReasonTargetError, calls: "dispatch a,ack a", check: func(t *testing.T, _ *harness, r Result) {
		if r.Status != 400 || r.Body != "bad" {
			t.Errorf("got %d %q", r.Status, r.Body)
		}
	}},
	{guards: "a queued request that is reported as unknown at its deadline", setup: func(h *harness) {
		s := newScript(queued, noEvent)
		s.withdrawn = newScript(refusal(state.ReasonWithdrawn)).steps
		h.peers.dispatch["a"] = []script{s}
	}, kind: Refused, reason: state.ReasonTimeout, calls: "dispatch a,withdraw a", maxDuration: time.Minute},
	{guards: "a request reported as not run although the target did not confirm it", setup: func(h *harness) {
		h.req.Idempotent = false
		onDispatch(h, "a", queued, noEvent)
	}, kind: Unknown, reason: state.ReasonTimeout, calls: "dispatch a,withdraw a,cancel a", maxDuration: time.Minute + confirmTimeout},
	{guards: "a non-idempotent request reported as timed out", setup: func(h *harness) {
		h.req.Idempotent = false
		onDispatch(h, "a", started, noEvent)
	}, kind: Unknown, reason: state.ReasonTimeout, calls: "dispatch a,cancel a", maxDuration: time.Minute},
	{guards: "a running request that is not cancelled at its deadline", setup: func(h *harness) {
		onDispatch(h, "a", started, noEvent)
	}, kind: TimedOut, reason: state.ReasonTimeout, calls: "dispatch a,cancel a", maxDuration: time.Minute},
	{guards: "a dispatch to a target that began to leave while the session was opened", setup: func(h *harness) {
		h.placer.leavesAfterPlace = "a"
		onDispatch(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch b,ack b"},
	{guards: "a request with a key that is cancelled at its deadline, so that a retry cannot collect the response", setup: func(h *harness) {
		h.useKey()
		onDispatch(h, "a", started, noEvent)
	}, kind: Unknown, reason: state.ReasonTimeout, calls: "dispatch a", maxDuration: time.Minute},
	{guards: "a request that stays queued at a slow target", setup: func(h *harness) {
		s := newScript(queued, noEvent)
		s.withdrawn = newScript(refusal(state.ReasonWithdrawn)).steps
		h.peers.dispatch["a"] = []script{s}
		h.placer.waits = [2]time.Duration{200 * time.Millisecond, 401 * time.Millisecond}
		onDispatch(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch a,withdraw a,dispatch b,ack b", maxDuration: time.Second},
	{guards: "a second run when a withdrawal comes too late", setup: func(h *harness) {
		s := newScript(queued, noEvent)
		s.withdrawn = newScript(started, chunk(0), done(1)).steps
		h.peers.dispatch["a"] = []script{s}
		h.placer.waits = [2]time.Duration{0, time.Second}
	}, kind: Complete, calls: "dispatch a,withdraw a,ack a", output: "c0"},
	{guards: "a withdrawal that gains no more than the margin", setup: func(h *harness) {
		onDispatch(h, "a", queued, step{delay: time.Second, event: started}, done(0))
		h.placer.waits = [2]time.Duration{200 * time.Millisecond, 400 * time.Millisecond}
	}, kind: Complete, calls: "dispatch a,ack a"},
	{guards: "a withdrawal from a wait that is less than twice the alternative", setup: func(h *harness) {
		onDispatch(h, "a", queued, step{delay: time.Second, event: started}, done(0))
		h.placer.waits = [2]time.Duration{300 * time.Millisecond, 550 * time.Millisecond}
	}, kind: Complete, calls: "dispatch a,ack a"},
	{guards: "work that goes on after its caller is gone", setup: func(h *harness) {
		h.sink.err = errors.New("closed")
		onDispatch(h, "a", started, chunk(0), noEvent)
	}, kind: Cancelled, reason: ReasonCallerGone, calls: "dispatch a,cancel a", output: "c0"},
	{guards: "a request with a key that is cancelled when its caller is gone", setup: func(h *harness) {
		h.useKey()
		h.sink.err = errors.New("closed")
		onDispatch(h, "a", started, chunk(0), chunk(1), done(2))
	}, kind: Complete, calls: "dispatch a", output: "c0"},
	{guards: "a request beyond the customer's limit that is accepted", setup: func(h *harness) {
		h.bundle.Customers[0].RequestsPerSecond = 0.001
		h.bundle.Customers[0].Burst = 1
		h.service.admission.Admit(time.Now(), h.bundle, "c", 0)
	}, kind: Refused, reason: admission.ReasonCustomerLimit, maxDuration: 10 * time.Millisecond},
	{guards: "a request that is accepted after StopAccepting", setup: func(h *harness) { h.service.StopAccepting() },
		kind: Refused, reason: ReasonStopping, maxDuration: 10 * time.Millisecond},
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(strings.ReplaceAll(s.guards, " ", "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				s.setup(h)
				begin := time.Now()
				r := h.run(t.Context())
				if r.Kind != s.kind || r.Reason != s.reason {
					t.Errorf("got kind %d, reason %q, error %v, want kind %d, reason %q", r.Kind, r.Reason, r.Err, s.kind, s.reason)
				}
				if calls := strings.Join(h.peers.calls, ","); calls != s.calls && s.calls != anyCalls {
					t.Errorf("calls %q, want %q", calls, s.calls)
				}
				if diff := cmp.Diff(s.output, strings.Join(h.sink.received, " ")); diff != "" {
					t.Errorf("sink (-want +got):\n%s", diff)
				}
				if took := time.Since(begin); s.maxDuration > 0 && took > s.maxDuration {
					t.Errorf("took %s, want at most %s", took, s.maxDuration)
				}
				if n := len(h.placer.open); n != 0 {
					t.Errorf("%d attempts are not reported as ended", n)
				}
				if s.check != nil {
					s.check(t, h, r)
				}
			})
		})
	}
}

// Guards against a queued attempt without a key that is not cancelled when its caller
// is gone, and against one with a key that is cancelled then.
func TestCallerDisconnects(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness()
			if keyed {
				h.useKey()
			}
			onDispatch(h, "a", queued, step{delay: 10 * time.Second, event: started}, done(0))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			r := h.run(ctx)
			want, calls := Cancelled, "dispatch a,cancel a"
			if keyed {
				want, calls = Complete, "dispatch a,ack a"
			}
			if got := strings.Join(h.peers.calls, ","); r.Kind != want || got != calls {
				t.Errorf("keyed %t: kind %d, calls %q, want kind %d, calls %q", keyed, r.Kind, got, want, calls)
			}
		})
	}
}

// Guards against a request of a higher tier that is refused at the bound on open
// requests while one of a lower tier is queued, and against a displaced request that
// is retried or not reported as displaced.
func TestHigherTierDisplacesQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		s := newScript(queued, noEvent)
		s.withdrawn = newScript(refusal(state.ReasonWithdrawn)).steps
		h.peers.dispatch["a"] = []script{s, s, newScript(started, done(0))}
		results := make(chan Result, 2)
		for range 2 {
			req := *h.req
			go func() { results <- h.service.Do(t.Context(), &req, nil, &fakeSink{}) }()
		}
		synctest.Wait()
		high := *h.req
		high.Tier = 0
		if r := h.service.Do(t.Context(), &high, nil, &fakeSink{}); r.Kind != Complete {
			t.Fatalf("the higher tier ended with kind %d, reason %q", r.Kind, r.Reason)
		}
		if r := <-results; r.Kind != Refused || r.Reason != state.ReasonDisplaced || r.RetryAfter <= 0 {
			t.Errorf("displaced request ended with %+v", r)
		}
		if r := <-results; r.Reason != state.ReasonTimeout {
			t.Errorf("the other request ended with reason %q before its deadline", r.Reason)
		}
	})
}

// Guards against a planned stop that ends before the open requests do.
func TestDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		onDispatch(h, "a", started, step{delay: 5 * time.Second, event: done(0)})
		result := make(chan Result, 1)
		go func() { result <- h.run(t.Context()) }()
		synctest.Wait()
		h.service.StopAccepting()
		h.service.StopAccepting()
		select {
		case <-h.service.Drained():
			t.Fatal("drained with an open request")
		default:
		}
		if r := <-result; r.Kind != Complete {
			t.Fatalf("open request ended with kind %d", r.Kind)
		}
		<-h.service.Drained()
	})
}

// Guards against a request that stays open when the time limit of a planned stop is
// reached, one that is reported as not run although it may have run, and a keyed attempt
// that is cancelled then, so that no retry with the key collects its response.
func TestEndRequests(t *testing.T) {
	for _, s := range []scenario{
		{guards: "a queued attempt whose withdrawal is confirmed", setup: func(h *harness) {
			h.peers.dispatch["a"] = []script{{steps: []step{{event: queued}, noEvent}, withdrawn: []step{{event: refusal(state.ReasonWithdrawn)}}}}
		}, kind: Refused, calls: "dispatch a,withdraw a"},
		{guards: "an attempt that starts before its withdrawal", setup: func(h *harness) {
			h.peers.dispatch["a"] = []script{{steps: []step{{event: queued}, noEvent}, withdrawn: []step{{event: started}, noEvent}}}
		}, kind: Unknown, calls: "dispatch a,withdraw a,cancel a"},
		{guards: "a running attempt", setup: func(h *harness) { onDispatch(h, "a", started, noEvent) },
			kind: Unknown, calls: "dispatch a,cancel a"},
		{guards: "a running attempt with a key", setup: func(h *harness) { h.useKey(); onDispatch(h, "a", started, noEvent) },
			kind: Unknown, calls: "dispatch a"},
		{guards: "an attempt of another entry", setup: func(h *harness) {
			h.useKey()
			h.claims.existing["k"] = h.foreignClaim("a")
			onAttach(h, "a", attemptState(state.AttemptQueued), noEvent)
		}, kind: Unknown, calls: "attach a 0"},
		{guards: "a queued attempt after one that may have run", setup: func(h *harness) {
			onDispatch(h, "a", started, targetSilent)
			h.peers.dispatch["b"] = []script{{steps: []step{{event: queued}, noEvent}, withdrawn: []step{{event: refusal(state.ReasonWithdrawn)}}}}
			h.placer.targets = []state.TargetID{"a", "b"}
			h.service.budget.Earn(1, 1)
		}, kind: Unknown, calls: "dispatch a,ack a,dispatch b,withdraw b"},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness()
			s.setup(h)
			result := make(chan Result, 1)
			go func() { result <- h.run(t.Context()) }()
			time.Sleep(10 * time.Second)
			h.service.StopAccepting()
			h.service.EndRequests()
			r := <-result
			<-h.service.Drained()
			if r.Kind != s.kind || r.Reason != ReasonStopping {
				t.Errorf("%s: kind %d, reason %q, want kind %d", s.guards, r.Kind, r.Reason, s.kind)
			}
			if diff := cmp.Diff(s.calls, strings.Join(h.peers.calls, ",")); diff != "" {
				t.Errorf("%s: calls (-want +got):\n%s", s.guards, diff)
			}
		})
	}
}

// Guards against counters that miss discarded or recomputed prompt tokens.
func TestCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.bundle.Tiers[1].Name = "counted"
		names := []string{"wasted_prefill_tokens", "prompt_tokens", "goodput", "requests"}
		var before []int64
		for _, name := range names {
			before = append(before, counter(name))
		}
		usage := state.Usage{PromptTokens: 150, CachedTokens: 28}
		onDispatch(h, "a", started, &state.Done{Usage: usage})
		onDispatch(h, "a", started, &state.Done{Usage: usage})
		onDispatch(h, "a", started, &state.Failed{Reason: state.ReasonTargetError, Usage: usage})
		for range 3 {
			h.run(t.Context())
		}
		// The first attempt computes the blocks and wastes nothing. The second finds
		// only 28 tokens cached of the two blocks of 64 tokens computed before. The
		// third fails, so that all of its tokens that were not cached are wasted.
		for i, want := range []int64{2*64 - 28 + 150 - 28, 450, 2, 3} {
			if got := counter(names[i]) - before[i]; got != want {
				t.Errorf("%s grew by %d, want %d", names[i], got, want)
			}
		}
	})
}

func counter(name string) int64 {
	if v, ok := expvar.Get(name).(*expvar.Map).Get("p/counted").(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
