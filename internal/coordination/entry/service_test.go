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
	queued  = &state.Queued{Ahead: 1}
	started = &state.Started{}
	lost    = ErrSessionLost
	broken  = &state.Failed{Reason: state.ReasonTargetSilent, Unknown: true}
	never   = step{after: time.Hour, event: &state.Progress{}}
)

const anyCalls = "any"

// scenario is one request. Each names the failure that it guards against.
type scenario struct {
	guards string
	setup  func(h *harness)
	kind   Kind
	reason state.Reason
	calls  string // calls to the peers, comma separated; anyCalls for any
	got    string // what the sink has, space separated
	within time.Duration
	check  func(t *testing.T, h *harness, r Result)
}

func script1(h *harness, target state.TargetID, list ...any) {
	h.peers.dispatch[target] = append(h.peers.dispatch[target], events(list...))
}

func attach1(h *harness, target state.TargetID, list ...any) {
	h.peers.attach[target] = append(h.peers.attach[target], events(list...))
}

var scenarios = []scenario{
	{guards: "a response that is not passed on or acknowledged", setup: func(h *harness) {
		script1(h, "a", queued, started, &state.Head{Status: 200}, chunk(0), chunk(1), done(2))
	}, kind: Complete, calls: "dispatch a,ack a", got: "head 200 c0 c1"},
	{guards: "a chunk passed on twice or after a gap", setup: func(h *harness) {
		script1(h, "a", started, chunk(0), chunk(0), chunk(2))
		attach1(h, "a", in(state.AttemptRunning), chunk(1), chunk(2), done(3))
	}, kind: Complete, calls: "dispatch a,attach a 1,ack a", got: "c0 c1 c2"},
	{guards: "endless attaching to a response that lacks a chunk", setup: func(h *harness) {
		h.req.Idempotent = false
		script1(h, "a", started, chunk(0), done(3))
		for range maxGaps + 1 {
			attach1(h, "a", in(state.AttemptDone), done(3))
		}
	}, kind: Unknown, reason: state.ReasonStreamBroken, calls: "dispatch a,attach a 1,attach a 1,attach a 1", got: "c0"},
	{guards: "a token repeated or dropped when a session is lost mid-stream", setup: func(h *harness) {
		script1(h, "a", started, chunk(0), chunk(1), lost)
		attach1(h, "a", in(state.AttemptRunning), chunk(1), chunk(2), lost)
		attach1(h, "a", in(state.AttemptDone), chunk(3), done(4))
	}, kind: Complete, calls: "dispatch a,attach a 2,attach a 3,ack a", got: "c0 c1 c2 c3"},
	{guards: "a dispatch with an open fate that is repeated", setup: func(h *harness) {
		h.req.Idempotent = false
		h.peers.dispatch["a"] = []script{{open: errors.New("write failed")}}
		attach1(h, "a", in(state.AttemptRunning), chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,attach a 0,ack a", got: "c0"},
	{guards: "a claim that is not voided when its dispatch was not sent", setup: func(h *harness) {
		h.keyed()
		h.peers.dispatch["a"] = []script{{open: ErrNotSent}}
		h.peers.void["a"] = state.AttemptNotRun
		script1(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch a,void a,dispatch b,ack b"},
	{guards: "a target that cannot be reached", setup: func(h *harness) {
		h.peers.reserve["a"] = errors.New("refused")
		script1(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch b,ack b"},
	{guards: "an unseen attempt that is given up or placed twice", setup: func(h *harness) {
		script1(h, "a", lost)
		attach1(h, "a", in(state.AttemptUnseen))
		script1(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,attach a 0,dispatch b,ack b", got: "c0"},
	{guards: "a second placement of a key without a receipt for the first", setup: func(h *harness) {
		h.keyed()
		script1(h, "a", lost)
		attach1(h, "a", in(state.AttemptUnseen))
		h.peers.void["a"] = state.AttemptVoided
		script1(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,attach a 0,void a,dispatch b,ack b", got: "c0",
		check: func(t *testing.T, h *harness, _ Result) {
			if c := h.claims.asked; len(c) != 2 || c[1].Placement != 2 || c[1].Receipt != state.AttemptVoided {
				t.Errorf("claims %+v, want a second placement with receipt", c)
			}
		}},
	{guards: "a dispatch after the target gave no receipt", setup: func(h *harness) {
		h.keyed()
		script1(h, "a", lost)
		attach1(h, "a", in(state.AttemptUnseen))
	}, kind: Refused, reason: ReasonUnseen, calls: "dispatch a,attach a 0,void a"},
	{guards: "a refusal that is not tried elsewhere", setup: func(h *harness) {
		script1(h, "a", refuse(state.ReasonQueueFull))
		script1(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch a,dispatch b,ack b", check: func(t *testing.T, h *harness, _ Result) {
		if h.placer.figures != 1 || !h.placer.ends[0].NotRun || !h.placer.ends[1].Complete {
			t.Errorf("placer got %d figures and %+v", h.placer.figures, h.placer.ends)
		}
	}},
	{guards: "a refusal that is held back or lacks a retry-after time", setup: func(h *harness) {
		script1(h, "a", refuse(state.ReasonQueueFull))
		script1(h, "b", refuse(state.ReasonLeaving))
	}, kind: Refused, reason: state.ReasonQueueFull, calls: "dispatch a,dispatch b", within: 10 * time.Millisecond,
		check: func(t *testing.T, _ *harness, r Result) {
			if r.RetryAfter != 3*time.Second || !strings.Contains(r.Err.Error(), "dispatch {peer: a}") {
				t.Errorf("retry after %s, error %v", r.RetryAfter, r.Err)
			}
		}},
	{guards: "a wait for targets that do not exist", setup: func(h *harness) { h.placer.targets = nil },
		kind: Refused, reason: ReasonNoTarget, within: 10 * time.Millisecond},
	{guards: "a target that is given up because its session had to be replaced", setup: func(h *harness) {
		h.placer.targets = []state.TargetID{"a"}
		script1(h, "a", refuse(state.ReasonFenced))
		script1(h, "a", started, done(0))
	}, kind: Complete, calls: "dispatch a,dispatch a,ack a"},
	{guards: "a higher tier shed while a candidate holds a lower one (P4)", setup: func(h *harness) {
		h.placer.targets = []state.TargetID{"a", "b", "c", "d", "e", "f"}
		h.placer.lower = []state.TargetID{"f"}
		for _, t := range []state.TargetID{"a", "b", "c", "d"} {
			script1(h, t, refuse(state.ReasonQueueFull))
		}
		script1(h, "f", started, done(0))
	}, kind: Complete, calls: "dispatch a,dispatch b,dispatch c,dispatch d,dispatch f,ack f"},
	{guards: "unbounded placements", setup: func(h *harness) {
		h.placer.targets = []state.TargetID{"a", "b", "c", "d", "e", "f"}
		for _, t := range h.placer.targets {
			script1(h, t, refuse(state.ReasonQueueFull))
		}
	}, kind: Refused, reason: state.ReasonQueueFull, calls: "dispatch a,dispatch b,dispatch c,dispatch d"},
	{guards: "a dispatch without a claim while the log is unavailable", setup: func(h *harness) {
		h.keyed()
		h.claims.results = []*state.ClaimResult{nil}
	}, kind: Refused, reason: ReasonClaimUnavailable, within: claimTimeout},
	{guards: "a second run by the loser of a claim", setup: func(h *harness) {
		h.keyed()
		h.claims.results = []*state.ClaimResult{{Holder: h.holder("x")}}
		attach1(h, "x", in(state.AttemptRunning), chunk(0), done(1))
	}, kind: Complete, calls: "attach x 0", got: "c0"},
	{guards: "a second run when the key is known before placement", setup: func(h *harness) {
		h.keyed()
		h.claims.earlier["k"] = h.holder("x")
		attach1(h, "x", in(state.AttemptDone), chunk(0), done(1))
	}, kind: Complete, calls: "attach x 0", got: "c0"},
	{guards: "a key that stays blocked when its holder failed before the dispatch", setup: func(h *harness) {
		h.keyed()
		h.claims.results = []*state.ClaimResult{{Holder: h.holder("x")}, {Won: true}}
		attach1(h, "x", in(state.AttemptUnseen))
		attach1(h, "x", in(state.AttemptUnseen))
		h.peers.void["x"] = state.AttemptVoided
		script1(h, "a", started, done(0))
	}, kind: Complete, calls: "attach x 0,attach x 0,void x,dispatch a,ack a", check: func(t *testing.T, h *harness, _ Result) {
		if c := h.claims.asked[1]; c.Placement != 2 || c.Receipt != state.AttemptVoided {
			t.Errorf("takeover claim %+v, want placement 2 with receipt", c)
		}
	}},
	{guards: "a takeover although the target cannot void", setup: func(h *harness) {
		h.keyed()
		h.claims.results = []*state.ClaimResult{{Holder: h.holder("x")}}
		attach1(h, "x", in(state.AttemptUnseen))
		attach1(h, "x", in(state.AttemptUnseen))
		h.peers.void["x"] = state.AttemptUnknown
	}, kind: Unknown, reason: ReasonOutcomeUnknown, calls: "attach x 0,attach x 0,void x"},
	{guards: "a response to another request with the same key", setup: func(h *harness) {
		h.keyed()
		other := h.holder("x")
		other.Fingerprint++
		h.claims.results = []*state.ClaimResult{{Holder: other}}
	}, kind: Refused, reason: ReasonKeyReused},
	{guards: "a rerun of a request whose response has expired", setup: func(h *harness) {
		h.keyed()
		h.claims.earlier["k"] = h.holder("x")
		attach1(h, "x", in(state.AttemptExpired))
	}, kind: Expired, reason: ReasonResponseExpired, calls: "attach x 0"},
	{guards: "a retry of non-idempotent work that may have run", setup: func(h *harness) {
		h.req.Idempotent = false
		h.service.budget.Earn(5, 5)
		script1(h, "a", started, broken)
	}, kind: Unknown, reason: state.ReasonTargetSilent, calls: "dispatch a,ack a"},
	{guards: "partly run work that is reported as a plain failure", setup: func(h *harness) {
		h.req.Idempotent = false
		script1(h, "a", started, &state.Failed{Reason: state.ReasonCancelled})
	}, kind: Unknown, reason: state.ReasonCancelled, calls: "dispatch a,ack a"},
	{guards: "an attempt whose fate the restarted side process cannot tell", setup: func(h *harness) {
		h.req.Idempotent = false
		script1(h, "a", lost)
		attach1(h, "a", in(state.AttemptUnknown))
	}, kind: Unknown, reason: state.ReasonSideRestarted, calls: "dispatch a,attach a 0"},
	{guards: "an unreachable target that is asked for ever", setup: func(h *harness) {
		h.req.Idempotent = false
		script1(h, "a", started, lost)
	}, kind: Unknown, reason: ReasonTargetUnreachable, calls: anyCalls, within: attachTimeout + attachBackoffMax, check: func(t *testing.T, h *harness, _ Result) {
		if n := len(h.peers.calls); n < 10 || n > 40 {
			t.Errorf("%d calls, want the attach to be repeated with backoff", n)
		}
	}},
	{guards: "idempotent work that is not retried before output", setup: func(h *harness) {
		h.service.budget.Earn(1, 5)
		script1(h, "a", started, broken)
		script1(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,ack a,dispatch b,ack b", got: "c0"},
	{guards: "an idempotent request held at an unreachable target", setup: func(h *harness) {
		h.service.budget.Earn(1, 5)
		script1(h, "a", started, lost)
		script1(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: anyCalls, got: "c0", within: retryAttachTimeout + attachBackoffMax},
	{guards: "retries beyond the budget", setup: func(h *harness) {
		script1(h, "a", started, broken)
	}, kind: Unknown, reason: state.ReasonTargetSilent, calls: "dispatch a,ack a"},
	{guards: "a stream spliced from two attempts", setup: func(h *harness) {
		h.service.budget.Earn(5, 5)
		script1(h, "a", started, chunk(0), broken)
	}, kind: Unknown, reason: state.ReasonTargetSilent, calls: "dispatch a,ack a", got: "c0"},
	{guards: "a whole response with chunks of two attempts", setup: func(h *harness) {
		h.sink.whole = true
		h.service.budget.Earn(5, 5)
		script1(h, "a", started, chunk(0), chunk(1), broken)
		script1(h, "b", started, chunk(0), done(1))
	}, kind: Complete, calls: "dispatch a,ack a,dispatch b,ack b", got: "c0"},
	{guards: "a retry reported as not run although the first attempt may have run", setup: func(h *harness) {
		h.service.budget.Earn(5, 5)
		script1(h, "a", started, broken)
		script1(h, "b", refuse(state.ReasonQueueFull))
	}, kind: Unknown, reason: state.ReasonQueueFull, calls: "dispatch a,ack a,dispatch b"},
	{guards: "a target's own error that is hidden or retried", setup: func(h *harness) {
		script1(h, "a", started, &state.Failed{Reason: state.ReasonTargetError, Status: 400, Detail: "bad"})
	}, kind: Failed, reason: state.ReasonTargetError, calls: "dispatch a,ack a", check: func(t *testing.T, _ *harness, r Result) {
		if r.Status != 400 || r.Body != "bad" {
			t.Errorf("got %d %q", r.Status, r.Body)
		}
	}},
	{guards: "a queued request that is reported as unknown at its deadline", setup: func(h *harness) {
		s := events(queued, never)
		s.withdrawn = events(refuse(state.ReasonWithdrawn)).steps
		h.peers.dispatch["a"] = []script{s}
	}, kind: Refused, reason: state.ReasonTimeout, calls: "dispatch a,withdraw a", within: time.Minute},
	{guards: "not run reported without the target's word", setup: func(h *harness) {
		h.req.Idempotent = false
		script1(h, "a", queued, never)
	}, kind: Unknown, reason: state.ReasonTimeout, calls: "dispatch a,withdraw a,cancel a", within: time.Minute + confirmTimeout},
	{guards: "a non-idempotent request reported as timed out", setup: func(h *harness) {
		h.req.Idempotent = false
		script1(h, "a", started, never)
	}, kind: Unknown, reason: state.ReasonTimeout, calls: "dispatch a,cancel a", within: time.Minute},
	{guards: "a running request that is not cancelled at its deadline", setup: func(h *harness) {
		script1(h, "a", started, never)
	}, kind: TimedOut, reason: state.ReasonTimeout, calls: "dispatch a,cancel a", within: time.Minute},
	{guards: "a dispatch to a target that began to leave while the session was opened", setup: func(h *harness) {
		h.placer.leaving = "a"
		script1(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch b,ack b"},
	{guards: "a keyed request that is cut off at its deadline, so that a retry cannot collect it", setup: func(h *harness) {
		h.keyed()
		script1(h, "a", started, never)
	}, kind: Unknown, reason: state.ReasonTimeout, calls: "dispatch a", within: time.Minute},
	{guards: "work queued behind a slow target", setup: func(h *harness) {
		s := events(queued, never)
		s.withdrawn = events(refuse(state.ReasonWithdrawn)).steps
		h.peers.dispatch["a"] = []script{s}
		h.placer.waits = [2]time.Duration{200 * time.Millisecond, 401 * time.Millisecond}
		script1(h, "b", started, done(0))
	}, kind: Complete, calls: "dispatch a,withdraw a,dispatch b,ack b", within: time.Second},
	{guards: "a second run when a withdrawal comes too late", setup: func(h *harness) {
		s := events(queued, never)
		s.withdrawn = events(started, chunk(0), done(1)).steps
		h.peers.dispatch["a"] = []script{s}
		h.placer.waits = [2]time.Duration{0, time.Second}
	}, kind: Complete, calls: "dispatch a,withdraw a,ack a", got: "c0"},
	{guards: "a withdrawal that gains too little", setup: func(h *harness) {
		script1(h, "a", queued, step{after: time.Second, event: started}, done(0))
		h.placer.waits = [2]time.Duration{200 * time.Millisecond, 400 * time.Millisecond}
	}, kind: Complete, calls: "dispatch a,ack a"},
	{guards: "a withdrawal from a wait that is less than twice the alternative", setup: func(h *harness) {
		script1(h, "a", queued, step{after: time.Second, event: started}, done(0))
		h.placer.waits = [2]time.Duration{300 * time.Millisecond, 550 * time.Millisecond}
	}, kind: Complete, calls: "dispatch a,ack a"},
	{guards: "work for a caller that is gone", setup: func(h *harness) {
		h.sink.failing = errors.New("closed")
		script1(h, "a", started, chunk(0), never)
	}, kind: Cancelled, reason: ReasonCallerGone, calls: "dispatch a,cancel a", got: "c0"},
	{guards: "a keyed request that is cancelled with its caller", setup: func(h *harness) {
		h.keyed()
		h.sink.failing = errors.New("closed")
		script1(h, "a", started, chunk(0), chunk(1), done(2))
	}, kind: Complete, calls: "dispatch a", got: "c0"},
	{guards: "a customer above its limit", setup: func(h *harness) {
		h.bundle.Customers[0].RequestsPerSecond = 0.001
		h.bundle.Customers[0].Burst = 1
		h.service.admission.Admit(time.Now(), h.bundle, "c", 0)
	}, kind: Refused, reason: admission.ReasonCustomerLimit, within: 10 * time.Millisecond},
	{guards: "a request after the stop was announced", setup: func(h *harness) { h.service.StopAccepting() },
		kind: Refused, reason: ReasonStopping, within: 10 * time.Millisecond},
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(strings.ReplaceAll(s.guards, " ", "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				s.setup(h)
				begin := time.Now()
				r := h.do(t.Context())
				if r.Kind != s.kind || r.Reason != s.reason {
					t.Errorf("got kind %d, reason %q, error %v, want kind %d, reason %q", r.Kind, r.Reason, r.Err, s.kind, s.reason)
				}
				if calls := strings.Join(h.peers.calls, ","); calls != s.calls && s.calls != anyCalls {
					t.Errorf("calls %q, want %q", calls, s.calls)
				}
				if diff := cmp.Diff(s.got, strings.Join(h.sink.got, " ")); diff != "" {
					t.Errorf("sink (-want +got):\n%s", diff)
				}
				if took := time.Since(begin); s.within > 0 && took > s.within {
					t.Errorf("took %s, want at most %s", took, s.within)
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

// Guards against an unkeyed attempt that outlives its caller in the queue, and
// against a keyed one that does not.
func TestCallerDisconnects(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness()
			if keyed {
				h.keyed()
			}
			script1(h, "a", queued, step{after: 10 * time.Second, event: started}, done(0))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			r := h.do(ctx)
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

// Guards against a higher tier that is refused at the bound of open requests
// while a lower one is queued, and against a displaced request that is retried
// or misreported.
func TestHigherTierDisplacesQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		s := events(queued, never)
		s.withdrawn = events(refuse(state.ReasonWithdrawn)).steps
		h.peers.dispatch["a"] = []script{s, s, events(started, done(0))}
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
		script1(h, "a", started, step{after: 5 * time.Second, event: done(0)})
		result := make(chan Result, 1)
		go func() { result <- h.do(t.Context()) }()
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
		script1(h, "a", started, &state.Done{Usage: usage})
		script1(h, "a", started, &state.Done{Usage: usage})
		script1(h, "a", started, &state.Failed{Reason: state.ReasonTargetError, Usage: usage})
		for range 3 {
			h.do(t.Context())
		}
		// The first computes the blocks, the second has two blocks of 64 tokens
		// known but only 28 tokens cached, the third is of no use at all.
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
