package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// changedConfig returns a configuration with the given resumable route, whose key belongs to a customer,
// or to none.
func changedConfig(customer state.Customer, resume *state.Route) *state.Configuration {
	c := &state.Configuration{Version: testConfig.Version + 1, Customers: []state.CustomerConfig{{Name: "other", Keys: []string{"another key"}, PlainCost: 1}}}
	if customer != "" {
		c.Customers = []state.CustomerConfig{{Name: customer, Keys: []string{"key"}, PlainCost: 1}}
	}
	if resume != nil {
		c.Routes = []state.Route{*resume}
	}
	return c
}

// resumeRoute returns the resumable route of testConfig with a change.
func resumeRoute(change func(r *state.Route)) *state.Route {
	r := route("resume", "/resume/", state.StreamingRoute, true, 2)
	change(&r)
	return &r
}

// changes are configurations that are published while a stream of the resumable route is in progress, or
// before its caller takes it up.
var changes = []struct {
	name   string
	config *state.Configuration
	// again says that a second attempt is allowed by both configurations. takenUp is the customer for whom
	// the caller's own resumption runs; empty if it must not run.
	again   bool
	takenUp state.Customer
}{
	{"nothing", changedConfig("c", resumeRoute(func(*state.Route) {})), true, "c"},
	{"key of another customer", changedConfig("d", resumeRoute(func(*state.Route) {})), true, "d"},
	{"key withdrawn", changedConfig("", resumeRoute(func(*state.Route) {})), true, ""},
	{"no longer resumable", changedConfig("c", resumeRoute(func(r *state.Route) { r.Resumable = false })), false, ""},
	{"one attempt", changedConfig("c", resumeRoute(func(r *state.Route) { r.MaxAttempts = 1 })), false, "c"},
	{"no stream, may be repeated", changedConfig("c", resumeRoute(func(r *state.Route) { r.Kind = state.IdempotentRoute })), true, "c"},
	{"no stream, may run once", changedConfig("c", resumeRoute(func(r *state.Route) { r.Kind = state.NonIdempotentRoute })), false, "c"},
	{"another service", changedConfig("c", resumeRoute(func(r *state.Route) { r.Split[0].Service = "other" })), true, ""},
	{"route dropped", changedConfig("c", nil), true, ""},
}

// listOther adds a target of another service to those of newService.
func listOther(s *Service) {
	records := []state.TargetRecord{{ID: "o1", Service: "other", Address: "o1", Slots: 4}}
	for _, id := range []state.TargetID{"t1", "t2", "t3"} {
		records = append(records, state.TargetRecord{ID: id, Service: "s", Address: string(id), Slots: 4})
	}
	s.cfg.Origins.SetTargets(time.Now(), records)
	s.cfg.Scheduler.SetTargets(records)
}

// Guards against a stream that goes on for another customer or at another service than it began, or
// although it may no longer, because the configuration changes between its first attempt and the second:
// while the first runs, once it has failed, or while its target is asked to abandon it.
func TestConfigurationChangesBetweenTwoAttempts(t *testing.T) {
	first, rest := strings.Join(runEvents("a", 1, 2, "\n"), ""), strings.Join(runEvents("b", 3, 4, "\n"), "")
	for _, c := range changes {
		for _, when := range []string{"while it runs", "when it has failed", "while its target is asked to abandon it"} {
			t.Run(c.name+", "+when, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{}
					s := newService(targets)
					listOther(s)
					publish := func() { s.SetConfiguration(c.config) }
					begin := func(ctx context.Context, f *Forward) (Exchange, error) {
						if when == "while it runs" {
							publish()
						}
						if when == "while its target is asked to abandon it" {
							x := &withdrawnExchange{ctx: ctx, pieces: []string{first, rest}, asked: make(chan struct{}), afterwards: 50 * time.Millisecond, end: context.Canceled}
							x.head = &state.Response{Status: 200, HasSignature: true}
							return &publishingExchange{x, publish}, nil
						}
						return truncated(first)(ctx, f)
					}
					if when == "when it has failed" {
						s.cfg.RetrySlack = func() float64 { publish(); return 5 } // the budget is asked then
					}
					targets.behaviours = []behaviour{begin, chunked(rest)}
					out := serve(t, s, state.Call{ID: "r"})
					sends := 1
					if c.again {
						sends = 2
					}
					if len(targets.sends) != sends || out.ended != c.again || !strings.HasPrefix(first+rest, out.body.String()) {
						t.Errorf("%d sends, ended %t with %q; want %d sends", len(targets.sends), out.ended, out.body.String(), sends)
					}
					for _, f := range targets.sends {
						if f.Customer != "c" || f.Target.Service != "s" {
							t.Errorf("sent for %s to %s, want for c to s", f.Customer, f.Target.Service)
						}
					}
				})
			})
		}
	}
}

// publishingExchange publishes a configuration when its target is asked to abandon the request.
type publishingExchange struct {
	*withdrawnExchange
	publish func()
}

func (x *publishingExchange) Withdraw() bool {
	x.publish()
	return x.withdrawnExchange.Withdraw()
}

// Guards against pieces of two runs where a stream may no longer be resumed, and against one that goes on
// at another service or for a customer who does not hold the key, because the configuration has changed
// when its caller takes it up.
func TestConfigurationChangesBeforeTheCallerTakesAStreamUp(t *testing.T) {
	first, rest := strings.Join(runEvents("a", 1, 2, "\n"), ""), strings.Join(runEvents("b", 3, 4, "\n"), "")
	for _, c := range changes {
		for _, resumes := range []state.RequestID{"first", ""} {
			if c.name == "another service" && resumes == "" {
				continue // a case of TestStreamTakenUpGoesOnAtItsService
			}
			t.Run(fmt.Sprintf("%s, names the request %t", c.name, resumes != ""), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{behaviours: []behaviour{truncated(first), truncated("")}}
					s := newService(targets)
					listOther(s)
					if out := serve(t, s, state.Call{ID: "first"}); out.body.String() != first || out.ended {
						t.Fatalf("first request ended %t with %q", out.ended, out.body.String())
					}
					s.SetConfiguration(c.config)
					targets.behaviours, targets.sends = []behaviour{chunked(rest)}, nil
					out := serve(t, s, state.Call{ID: "second", ResumeAfter: "2", ResumedRequest: resumes})
					if c.takenUp == "" {
						if len(targets.sends) > 0 || out.failure.Kind == 0 || out.failure.Kind == UnknownOutcome {
							t.Errorf("%d sends, failure %v, ended %t with %q; want that it did not run", len(targets.sends), out.failure, out.ended, out.body.String())
						}
						return
					}
					if len(targets.sends) != 1 || targets.sends[0].Customer != c.takenUp || targets.sends[0].Target.Service != "s" || !out.ended || out.body.String() != rest {
						t.Errorf("sends %+v, ended %t with %q; want the rest for %s from s", targets.sends, out.ended, out.body.String(), c.takenUp)
					}
				})
			})
		}
	}
}
