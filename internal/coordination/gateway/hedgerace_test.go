package gateway

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// newHedgingService returns a service that hedges, and predicts that requests take 100 ms.
func newHedgingService(t *testing.T, targets TargetClient) *Service {
	s := newService(targets)
	config := longRoute()
	config.Routes = append(config.Routes, route("plain", "/plain/", state.IdempotentRoute, false, 2))
	config.Routes[1].Timeout = 10 * time.Second
	s.SetConfiguration(config)
	s.cfg.HedgingShare = func() float64 { return 0.2 }
	s.cfg.Scheduler.SetReport("other", dispatch.Report{Lifetime: time.Hour})
	for range 200 {
		g, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Objective: time.Second, Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		s.cfg.Scheduler.ResponseStarted(g)
		s.cfg.Scheduler.Release(g, dispatch.Served)
	}
	for range 60 {
		s.retryBudget("s").RecordRequest(time.Now())
	}
	s.hedgeBudget("s").Earn(time.Now(), 2*time.Second)
	return s
}

// streamAfter sends pieces after d, and the rest of them 20 ms apart.
func streamAfter(d time.Duration, pieces ...string) behaviour {
	return func(ctx context.Context, f *Forward) (Exchange, error) {
		select {
		case <-ctx.Done():
			return &fakeExchange{headErr: ctx.Err()}, nil
		case <-time.After(d):
		}
		return inPieces(20*time.Millisecond, false, pieces...)(ctx, f)
	}
}

// hedgedCall serves one call whose targets behave as given, in the order of the sends, and checks
// that nothing is left afterwards.
func hedgedCall(t *testing.T, path string, prepare func(s *Service, cancel func()), next ...behaviour) (*recordingResponder, *fakeTargetClient, *Service) {
	t.Helper()
	out, targets := &recordingResponder{}, &fakeTargetClient{behaviours: next}
	var s *Service
	synctest.Test(t, func(t *testing.T) {
		s = newHedgingService(t, targets)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if prepare != nil {
			prepare(s, cancel)
		}
		s.Serve(ctx, &state.Call{ID: "r", Host: "h", Path: path, APIKey: "key"}, time.Now(), out)
		synctest.Wait()
		if open := s.cfg.Scheduler.Report(false).Open; len(open) > 0 {
			t.Errorf("slots are held: %v", open)
		}
	})
	return out, targets, s
}

// Guards against a mixture of two responses, a response that is lost because both attempts end,
// and a slow one that is awaited although the other is complete, for all orders in which the
// attempts can end.
func TestFirstResponseOfTwoAttemptsIsPassedOn(t *testing.T) {
	first, rest := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for _, c := range []struct {
		name   string
		path   string
		next   []behaviour
		within time.Duration
	}{
		{"second is sooner", "/plain/x", []behaviour{answerAfter(time.Second), answerAfter(50 * time.Millisecond)}, 300 * time.Millisecond},
		{"first is sooner", "/plain/x", []behaviour{answerAfter(220 * time.Millisecond), answerAfter(time.Second)}, 230 * time.Millisecond},
		{"both at the same moment", "/plain/x", []behaviour{answerAfter(300 * time.Millisecond), answerAfter(100 * time.Millisecond)}, 310 * time.Millisecond},
		{"second fails", "/plain/x", []behaviour{answerAfter(400 * time.Millisecond), connectionReset}, 410 * time.Millisecond},
		{"second is refused", "/plain/x", []behaviour{answerAfter(400 * time.Millisecond), notRun(503), silentTarget}, 410 * time.Millisecond},
		{"second is not sent", "/plain/x", []behaviour{answerAfter(400 * time.Millisecond), connectionRefused, silentTarget}, 410 * time.Millisecond},
		{"first fails, then the second answers", "/plain/x", []behaviour{afterwards(250*time.Millisecond, connectionReset), answerAfter(300 * time.Millisecond)}, 600 * time.Millisecond},
		{"first fails with a status", "/plain/x", []behaviour{afterwards(250*time.Millisecond, respondWith(500, "no")), answerAfter(300 * time.Millisecond)}, 600 * time.Millisecond},
		{"stream of the second", "/resume/x", []behaviour{streamAfter(time.Second, first, rest), streamAfter(50*time.Millisecond, first, rest)}, 400 * time.Millisecond},
		{"streams at the same moment", "/resume/x", []behaviour{streamAfter(300*time.Millisecond, first, rest), streamAfter(100*time.Millisecond, first, rest)}, 400 * time.Millisecond},
		{"a comment is no response", "/resume/x", []behaviour{streamAfter(300*time.Millisecond, first, rest), inPieces(20*time.Millisecond, true, ": alive\n\n")}, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets, s := hedgedCall(t, c.path, nil, c.next...)
			took := s.requestTime(c.path)
			want := "ok"
			if strings.HasPrefix(c.path, "/resume") {
				want = first + rest
			}
			if out.status != 200 || !out.ended || out.body.String() != want || len(targets.sends) != len(c.next) {
				t.Errorf("status %d, ended %t after %d sends with %q, failure %+v; want %q after %d", out.status, out.ended, len(targets.sends), out.body.String(), out.failure, want, len(c.next))
			}
			if took > c.within {
				t.Errorf("answered after %s, want %s or less", took, c.within)
			}
			if a, b := targets.sends[0].Target.Address, targets.sends[1].Target.Address; a == b {
				t.Errorf("both attempts at %s", a)
			}
		})
	}
}

// requestTime returns how long the only request of a route took.
func (s *Service) requestTime(path string) time.Duration {
	h := s.cfg.Counters.latencies["whole."+strings.Trim(strings.TrimSuffix(path, "x"), "/")]
	if h == nil {
		return 0
	}
	return time.Duration(h.Max()) * time.Microsecond
}

// afterwards behaves as b after d.
func afterwards(d time.Duration, b behaviour) behaviour {
	return func(ctx context.Context, f *Forward) (Exchange, error) {
		time.Sleep(d)
		return b(ctx, f)
	}
}

// Guards against attempts that go on after their caller has left or a planned stop has ended, and
// against a wrong answer at the stop.
func TestHedgedRequestThatIsEnded(t *testing.T) {
	out, targets, _ := hedgedCall(t, "/plain/x", func(_ *Service, cancel func()) { time.AfterFunc(400*time.Millisecond, cancel) }, silentTarget, silentTarget)
	if !out.aborted || len(targets.sends) != 2 {
		t.Errorf("caller left: aborted %t after %d sends, want true after 2", out.aborted, len(targets.sends))
	}
	out, targets, _ = hedgedCall(t, "/plain/x", func(s *Service, _ func()) { time.AfterFunc(400*time.Millisecond, s.EndRequests) }, silentTarget, silentTarget)
	if out.failure.Kind != UnknownOutcome || len(targets.sends) != 2 {
		t.Errorf("planned stop: failure %+v after %d sends, want unknown after 2", out.failure, len(targets.sends))
	}
	out, targets, s := hedgedCall(t, "/plain/x", nil, silentTarget, silentTarget)
	if out.failure.Kind != TimedOut || len(targets.sends) != 2 {
		t.Errorf("deadline: failure %+v after %d sends, want timed out after 2", out.failure, len(targets.sends))
	}
	if n := s.cfg.Counters.counts["attempt.silent"]; n != 2 {
		t.Errorf("%d targets are rated as silent, want 2", n)
	}
}

// Guards against a slot, and work of the target, that outlast the loss by the time until the
// caller has read the response of the winner.
func TestSlotOfTheLoserIsReleasedAtOnce(t *testing.T) {
	var ended time.Duration
	targets := &fakeTargetClient{}
	synctest.Test(t, func(t *testing.T) {
		s := newHedgingService(t, targets)
		began := time.Now()
		silent := func(ctx context.Context, _ *Forward) (Exchange, error) {
			<-ctx.Done()
			ended = time.Since(began)
			return &fakeExchange{headErr: ctx.Err()}, nil
		}
		targets.behaviours = []behaviour{silent, answerAfter(50 * time.Millisecond)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/plain/x", APIKey: "key"}, began, &slowReader{takes: 3 * time.Second})
		}()
		time.Sleep(time.Second)
		open := 0
		for _, n := range s.cfg.Scheduler.Report(false).Open {
			open += n
		}
		if open != 1 || ended == 0 || ended > 300*time.Millisecond {
			t.Errorf("%d slots are held while the caller reads, and the loser ended after %s; want 1 and 300 ms or less", open, ended)
		}
		<-done
		if n := s.cfg.Counters.counts["attempt.silent"] + s.cfg.Counters.counts["attempt.broken"]; n != 0 {
			t.Error("the loser is rated")
		}
	})
}

// Guards against a second attempt that the configuration in effect does not allow, that a block
// or an accusation forbids, or that takes the permission which a real retry needs.
func TestNoHedgeWhereItIsNotAllowed(t *testing.T) {
	for name, prepare := range map[string]func(s *Service, cancel func()){
		"share 0": func(s *Service, _ func()) { s.cfg.HedgingShare = func() float64 { return 0 } },
		"configuration changed": func(s *Service, _ func()) {
			time.AfterFunc(50*time.Millisecond, func() {
				c := *s.Configuration()
				c.Version++
				c.Routes = []state.Route{route("plain", "/plain/", state.NonIdempotentRoute, false, 1)}
				s.SetConfiguration(&c)
			})
		},
		"accused": func(s *Service, _ func()) {
			keys := quarantine.ContentKeys("c", &state.Call{Host: "h", Path: "/plain/x", APIKey: "key"})
			s.cfg.Quarantine.RecordCrash(time.Now(), &quarantine.Crash{
				Request: quarantine.Request{Service: "s", Keys: keys, Customer: "c"}, Target: state.TargetRecord{ID: "t9", Service: "s", Address: "t9"}, SentAt: time.Now(), EndedAt: time.Now(),
			})
		},
		"half of the retry budget is used": func(s *Service, _ func()) {
			for s.retryBudget("s").TakeSpare(time.Now(), s.cfg.RetrySlack()) {
			}
		},
		"limit of extra work": func(s *Service, _ func()) { s.hedgeBudget("s").Settle(time.Now(), 0, time.Hour) },
		"version in a roll-out": func(s *Service, _ func()) {
			s.cfg.InRollout = func(state.Service, state.SoftwareVersion) bool { return true }
		},
		"reports of others are lost": func(s *Service, _ func()) { s.cfg.Scheduler.RemovePeer("other") },
		"one host": func(s *Service, _ func()) {
			s.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: "a", Service: "s", Address: "h:1", Slots: 4}, {ID: "b", Service: "s", Address: "h:2", Slots: 4}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			out, targets, _ := hedgedCall(t, "/plain/x", prepare, answerAfter(290*time.Millisecond), respondWith(200, "second"))
			if out.body.String() != "ok" || len(targets.sends) != 1 {
				t.Errorf("%d sends, body %q, failure %+v; want the response of the first", len(targets.sends), out.body.String(), out.failure)
			}
		})
	}
}

// Guards against dropping a resumed stream whose target was asked to abandon it before its first
// event and goes on with it.
func TestResumedStreamStaysAtTargetThatKeepsIt(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	out := &recordingResponder{}
	keeps := func(ctx context.Context, _ *Forward) (Exchange, error) {
		x := &withdrawnExchange{ctx: ctx, pieces: []string{rest}, asked: make(chan struct{}), afterwards: 2 * time.Second, reached: true}
		x.head = &state.Response{Status: 200, HasSignature: true}
		return x, nil
	}
	targets := &fakeTargetClient{behaviours: []behaviour{truncated(first), keeps, respondWith(200, "")}}
	synctest.Test(t, func(t *testing.T) {
		s := newService(targets)
		config := longRoute()
		config.Routes[0].MaxAttempts = 3
		s.SetConfiguration(config)
		s.Serve(t.Context(), resumableCall(), time.Now(), out)
	})
	if !out.ended || out.body.String() != events || !slices.Equal(targets.resumePoints(), []string{"", "1", "3"}) {
		t.Errorf("ended %t after sends from %q with %q, want all events, then a send after the last one", out.ended, targets.resumePoints(), out.body.String())
	}
}
