package gateway

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// stallFor answers with the events, the first at once and the others after a pause.
func stallFor(pause time.Duration) behaviour {
	first := events[:strings.Index(events, "id: 2")]
	return func(ctx context.Context, _ *Forward) (Exchange, error) {
		rest := &pieceReader{ctx: ctx, pause: pause, pieces: []string{events[len(first):]}}
		return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: &joined{strings.NewReader(first), rest}}, nil
	}
}

// joined reads its parts one after another.
type joined struct {
	first, rest interface{ Read([]byte) (int, error) }
}

func (j *joined) Read(p []byte) (int, error) {
	if n, err := j.first.Read(p); err == nil {
		return n, nil
	}
	return j.rest.Read(p)
}

// fillTargets takes all slots of the targets of s except one.
func fillTargets(t *testing.T, s *Service, except state.TargetID) (open []*dispatch.Grant) {
	for {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		g, err := s.cfg.Scheduler.Acquire(ctx, &dispatch.Request{Service: "s", Tried: []state.TargetID{except}, Arrived: time.Now(), Deadline: time.Now().Add(time.Hour), AlreadyAdmitted: true})
		cancel()
		if err != nil {
			return open
		}
		s.cfg.Scheduler.ResponseStarted(g)
		open = append(open, g)
	}
}

// serveStalled serves a stream whose target stalls for pause after the first event. prepare
// runs when the request has been sent.
func serveStalled(t *testing.T, pause time.Duration, call *state.Call, prepare func(t *testing.T, s *Service, target state.TargetID), next ...behaviour) (*recordingResponder, *fakeTargetClient) {
	t.Helper()
	out := &recordingResponder{}
	targets := &fakeTargetClient{}
	synctest.Test(t, func(t *testing.T) {
		var s *Service
		first := func(ctx context.Context, f *Forward) (Exchange, error) {
			prepare(t, s, f.Target.ID)
			return stallFor(pause)(ctx, f)
		}
		targets.behaviours = append([]behaviour{first}, next...)
		s = newService(targets)
		s.SetConfiguration(longRoute())
		s.Serve(t.Context(), call, time.Now(), out)
	})
	return out, targets
}

func resumableCall() *state.Call {
	return &state.Call{ID: "r", Host: "h", Path: "/resume/x", APIKey: "key"}
}

// longRoute returns a configuration whose route of streams has much time.
func longRoute() *state.Configuration {
	c := *testConfig
	c.Version++
	c.Routes = []state.Route{route("resume", "/resume/", state.StreamingRoute, true, 2)}
	c.Routes[0].Timeout = 10 * time.Second
	return &c
}

// Guards against giving up the response of a target that has stalled although the request
// cannot be sent to another one: the caller would lose what the target sends later.
func TestStalledResponseIsAwaitedWithoutAnotherTarget(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, s *Service, target state.TargetID){
		"no permission to repeat": func(_ *testing.T, s *Service, _ state.TargetID) { s.cfg.RetrySlack = func() float64 { return 0 } },
		"no free slot":            func(t *testing.T, s *Service, target state.TargetID) { fillTargets(t, s, target) },
		"no other target": func(_ *testing.T, s *Service, target state.TargetID) {
			s.cfg.Scheduler.SetTargets([]state.TargetRecord{{ID: target, Service: "s", Address: string(target), Slots: 4}})
		},
		"planned stop": func(_ *testing.T, s *Service, _ state.TargetID) { s.StopBy(time.Now().Add(1500 * time.Millisecond)) },
	} {
		t.Run(name, func(t *testing.T) {
			out, targets := serveStalled(t, 1700*time.Millisecond, resumableCall(), prepare, respondWith(200, ""))
			if !out.ended || out.body.String() != events || len(targets.sends) != 1 {
				t.Errorf("ended %t after %d sends with %q, want all events of the first target", out.ended, len(targets.sends), out.body.String())
			}
		})
	}
}

// learnDuration makes s predict that a request takes 600 ms.
func learnDuration(t *testing.T, s *Service) {
	for range 200 {
		g, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Microsecond)
		s.cfg.Scheduler.ResponseStarted(g)
		g.Events = 2
		time.Sleep(600 * time.Millisecond)
		s.cfg.Scheduler.Release(g, dispatch.Served)
	}
}

// Guards against a request that moves to another target with too little time left to end
// there: the target that has stalled may still answer, and the other one works in vain.
func TestStalledRequestStaysIfItEndsTooLateElsewhere(t *testing.T) {
	call := resumableCall()
	call.Timeout, call.HasTimeout = 1500*time.Millisecond, true
	out := &recordingResponder{}
	targets := &fakeTargetClient{behaviours: []behaviour{stallFor(1300 * time.Millisecond), respondWith(200, "")}}
	synctest.Test(t, func(t *testing.T) {
		s := newService(targets)
		learnDuration(t, s)
		s.Serve(t.Context(), call, time.Now(), out)
	})
	if !out.ended || out.body.String() != events || len(targets.sends) != 1 {
		t.Errorf("ended %t after %d sends with %q, want all events of the first target", out.ended, len(targets.sends), out.body.String())
	}
}

// Guards against a stream that is moved to another target of a service that has just become slow:
// it begins there with too little time left and is cut.
func TestStalledStreamStaysWithLessTimeThanItsTargetWasSilent(t *testing.T) {
	for limit, sends := range map[time.Duration]int{1900 * time.Millisecond: 1, 2100 * time.Millisecond: 2} {
		call := resumableCall()
		call.Timeout, call.HasTimeout = limit, true
		out := &recordingResponder{}
		targets := &fakeTargetClient{behaviours: []behaviour{silentTarget, respondWith(200, events)}}
		synctest.Test(t, func(t *testing.T) {
			s := newService(targets)
			s.SetConfiguration(longRoute())
			s.Serve(t.Context(), call, time.Now(), out)
		})
		if len(targets.sends) != sends {
			t.Errorf("%s: %d sends, want %d", limit, len(targets.sends), sends)
		}
	}
}

// Guards against a stalled request that stays at its target although a slot of another one
// becomes free.
func TestStalledRequestTakesSlotThatBecomesFree(t *testing.T) {
	rest := events[strings.Index(events, "id: 2"):]
	fillFor := func(t *testing.T, s *Service, target state.TargetID) {
		open := fillTargets(t, s, target)
		time.AfterFunc(1300*time.Millisecond, func() { s.cfg.Scheduler.Release(open[0], dispatch.Unused) })
	}
	out, targets := serveStalled(t, time.Hour, resumableCall(), fillFor, respondWith(200, rest))
	if !out.ended || out.body.String() != events || len(targets.sends) != 2 || targets.sends[1].ResumeAfter != "1" {
		t.Errorf("ended %t after %d sends with %q, want the rest of the events from another target", out.ended, len(targets.sends), out.body.String())
	}
}

// blockingResponder takes a time for each event.
type blockingResponder struct {
	recordingResponder
	takes time.Duration
}

func (r *blockingResponder) WriteEvent(b []byte) error {
	time.Sleep(r.takes)
	return r.recordingResponder.WriteEvent(b)
}

// Guards against taking the target for stalled while the caller does not read.
func TestSlowCallerIsNoStallOfTheTarget(t *testing.T) {
	out := &blockingResponder{takes: 1500 * time.Millisecond}
	targets := &fakeTargetClient{behaviours: []behaviour{stallFor(400 * time.Millisecond), respondWith(200, "")}}
	synctest.Test(t, func(t *testing.T) {
		s := newService(targets)
		s.SetConfiguration(longRoute())
		s.Serve(t.Context(), resumableCall(), time.Now(), out)
	})
	if !out.ended || out.body.String() != events || len(targets.sends) != 1 {
		t.Errorf("ended %t after %d sends with %q, want all events of the first target", out.ended, len(targets.sends), out.body.String())
	}
}

// answerAfter answers with a complete response after d.
func answerAfter(d time.Duration) behaviour {
	return func(ctx context.Context, f *Forward) (Exchange, error) {
		select {
		case <-ctx.Done():
			return &fakeExchange{headErr: ctx.Err()}, nil
		case <-time.After(d):
			return respondWith(200, "ok")(ctx, f)
		}
	}
}

// Guards against dropping an answer that a target sent by the time limit of the route and
// that arrives a moment after it, while the caller still waits.
func TestAnswerSentByTheTimeoutOfTheRouteIsPassedOn(t *testing.T) {
	for timeout, want := range map[time.Duration]int{5 * time.Second: 200, 2 * time.Second: 0} {
		out := &recordingResponder{}
		targets := &fakeTargetClient{behaviours: []behaviour{answerAfter(2030 * time.Millisecond)}}
		synctest.Test(t, func(t *testing.T) {
			call := &state.Call{ID: "r", Host: "h", Path: "/once/x", APIKey: "key", Timeout: timeout, HasTimeout: true}
			newService(targets).Serve(t.Context(), call, time.Now(), out)
		})
		if out.status != want || (want == 0) != (out.failure.Kind == TimedOut) {
			t.Errorf("caller waits %s: status %d, failure %v; want status %d", timeout, out.status, out.failure.Kind, want)
		}
	}
}

// Guards against a process that was paused and then ends attempts before it has read what
// arrived meanwhile.
func TestTimerThatIsLateWaitsForWhatHasArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fired atomic.Int64
		timer := newCatchUpTimer(time.Hour, func() { fired.Add(1) })
		defer timer.stop()
		timer.reset(time.Second)
		timer.mu.Lock()
		timer.due = timer.due.Add(-time.Second) // as if the process had not run for a second
		timer.mu.Unlock()
		time.Sleep(time.Second + catchUpTime/2)
		if n := fired.Load(); n != 0 {
			t.Errorf("the timer fired %d times before what had arrived could be read", n)
		}
		time.Sleep(catchUpTime)
		if n := fired.Load(); n != 1 {
			t.Errorf("the timer fired %d times, want once", n)
		}
	})
}

// Guards against "timed out" and a failure of the target for a request whose deadline passed
// before it was sent: it did not run, and its caller may repeat it.
func TestRequestNotSentByItsDeadlineDidNotRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		late  time.Duration // from the arrival to the placement
		first behaviour
		sends int
	}{
		{"connection not open in time", 0, notConnected, 1},
		{"paused before the placement", 2 * time.Second, silentTarget, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &recordingResponder{}
			targets := &fakeTargetClient{behaviours: []behaviour{c.first}}
			synctest.Test(t, func(t *testing.T) {
				s := newService(targets)
				s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/once/x", APIKey: "key"}, time.Now().Add(-c.late), out)
				if n := s.cfg.Counters.counts["attempt.silent"]; n > 0 {
					t.Errorf("the target is blamed for %d silent attempts", n)
				}
			})
			if out.failure.Kind != NotRun || len(targets.sends) != c.sends {
				t.Errorf("failure %v after %d sends, want not run after %d", out.failure.Kind, len(targets.sends), c.sends)
			}
		})
	}
}

// withdrawnExchange is a stream whose target stalls after the first event and is then asked to
// abandon the request.
type withdrawnExchange struct {
	fakeExchange
	ctx        context.Context
	pieces     []string      // what it sends
	afterwards time.Duration // from the withdrawal to the second piece, or to the end; 0: never
	end        error         // after the withdrawal, in place of the second piece
	reached    bool
	asked      chan struct{}
}

func (x *withdrawnExchange) Withdraw() bool { close(x.asked); return true }
func (x *withdrawnExchange) Reached() bool  { return x.reached }

func (x *withdrawnExchange) Read(p []byte) (int, error) {
	if len(x.pieces) == 2 {
		n := copy(p, x.pieces[0])
		x.pieces = x.pieces[1:]
		return n, nil
	}
	if len(x.pieces) == 0 {
		return 0, io.EOF
	}
	select {
	case <-x.ctx.Done():
		return 0, x.ctx.Err()
	case <-x.asked:
	}
	if x.afterwards == 0 {
		<-x.ctx.Done()
		return 0, x.ctx.Err()
	}
	time.Sleep(x.afterwards)
	if x.end != nil {
		return 0, x.end
	}
	n := copy(p, x.pieces[0])
	x.pieces = nil
	return n, nil
}

// Guards against a request that goes on at another target while the one before still works on
// it, and against a stream that is given up, or taken for whole, when a stalled target is asked
// to abandon it.
func TestStalledTargetIsAskedToAbandonTheRequest(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	for _, c := range []struct {
		name     string
		exchange withdrawnExchange
		endsWith bool // the response has neither length nor chunks
		length   bool // it has a length, which shows that it is whole
		sends    int
	}{
		{"abandons it", withdrawnExchange{afterwards: 50 * time.Millisecond, end: io.ErrUnexpectedEOF, reached: true}, false, false, 2},
		{"abandons it, response without length", withdrawnExchange{afterwards: 50 * time.Millisecond, end: io.EOF, reached: true}, true, false, 2},
		{"sends the rest at once", withdrawnExchange{afterwards: 50 * time.Millisecond, reached: true}, false, false, 2},
		{"sends the rest at once, with a length", withdrawnExchange{afterwards: 50 * time.Millisecond, reached: true}, false, true, 1},
		{"sends the rest later", withdrawnExchange{afterwards: 2 * time.Second, reached: true}, false, false, 2},
		{"abandons it later", withdrawnExchange{afterwards: 2 * time.Second, end: io.ErrUnexpectedEOF, reached: true}, false, false, 2},
		{"cannot be reached", withdrawnExchange{}, false, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &recordingResponder{}
			begin := func(ctx context.Context, _ *Forward) (Exchange, error) {
				x := &c.exchange
				x.head = &state.Response{Status: 200, HasSignature: true, EndsWithConnection: c.endsWith, HasLength: c.length}
				x.ctx, x.pieces, x.asked = ctx, []string{first, rest}, make(chan struct{})
				return x, nil
			}
			targets := &fakeTargetClient{behaviours: []behaviour{begin, respondWith(200, rest)}}
			synctest.Test(t, func(t *testing.T) {
				s := newService(targets)
				s.SetConfiguration(longRoute())
				s.Serve(t.Context(), resumableCall(), time.Now(), out)
				if n := s.cfg.Scheduler.Waiting("s"); n != 0 {
					t.Errorf("%d requests wait", n)
				}
			})
			if !out.ended || out.body.String() != events || len(targets.sends) != c.sends {
				t.Errorf("ended %t after %d sends with %q, want all events after %d", out.ended, len(targets.sends), out.body.String(), c.sends)
			}
		})
	}
}

// Guards against a stream that is cut because the permission to send it once more was given back
// when its target did not abandon it at once.
func TestWithdrawnRequestKeepsItsPermission(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	out := &recordingResponder{}
	x := &withdrawnExchange{afterwards: 900 * time.Millisecond, end: io.ErrUnexpectedEOF, reached: true}
	targets := &fakeTargetClient{}
	synctest.Test(t, func(t *testing.T) {
		var s *Service
		targets.behaviours = []behaviour{func(ctx context.Context, _ *Forward) (Exchange, error) {
			x.head = &state.Response{Status: 200, HasSignature: true}
			x.ctx, x.pieces, x.asked = ctx, []string{first, rest}, make(chan struct{})
			go func() { // others take what is given back
				<-x.asked
				time.Sleep(2 * withdrawTime)
				for s.retryBudget("s").Take(time.Now(), s.cfg.RetrySlack()) {
				}
			}()
			return x, nil
		}, respondWith(200, rest)}
		s = newService(targets)
		s.SetConfiguration(longRoute())
		s.Serve(t.Context(), resumableCall(), time.Now(), out)
	})
	if !out.ended || out.body.String() != events || len(targets.sends) != 2 {
		t.Errorf("ended %t after %d sends with %q, want all events after 2", out.ended, len(targets.sends), out.body.String())
	}
}

// slowReader takes a time to read a complete response.
type slowReader struct {
	recordingResponder
	takes time.Duration
}

func (r *slowReader) Respond(h *state.Response, body []byte) error {
	time.Sleep(r.takes)
	return r.recordingResponder.Respond(h, body)
}

// Guards against a slot of another target, and a permission to repeat, that are taken for a
// request whose complete response is being written to a slow caller.
func TestSlowCallerOfCompleteResponseTakesNoOtherTarget(t *testing.T) {
	out := &slowReader{takes: 3 * time.Second}
	targets := &fakeTargetClient{behaviours: []behaviour{answerAfter(100 * time.Millisecond)}}
	synctest.Test(t, func(t *testing.T) {
		s := newService(targets)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/plain/x", APIKey: "key"}, time.Now(), out)
		}()
		time.Sleep(time.Second)
		open := 0
		for _, n := range s.cfg.Scheduler.Report(false).Open {
			open += n
		}
		<-done
		if n := s.cfg.Counters.counts["repeated_send.s"]; open != 1 || n != 0 {
			t.Errorf("%d slots and %d permissions to repeat are taken for a response that is complete, want 1 and 0", open, n)
		}
	})
	if out.status != 200 || len(targets.sends) != 1 {
		t.Errorf("status %d after %d sends, want 200 after 1", out.status, len(targets.sends))
	}
}

// Guards against a search that begins just after progress, because the timer expired at the
// same time and its function ran later.
func TestTimerOfAnEarlierWaitBeginsNoSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(&fakeTargetClient{})
		r := &request{service: s, call: resumableCall(), log: s.cfg.Log, arrived: time.Now(), firstArrived: time.Now(), table: s.table.Load()}
		r.route = r.table.Route(r.call.Host, r.call.Path)
		r.preparePlacement()
		r.findKeys()
		g, err := s.cfg.Scheduler.Acquire(t.Context(), r.placement)
		if err != nil {
			t.Fatal(err)
		}
		defer s.cfg.Scheduler.Release(g, dispatch.Unused)
		a := r.newAttempt(t.Context(), t.Context(), g)
		defer a.cancel(nil)
		a.handOver.expect(time.Second)
		a.handOver.await()
		time.Sleep(999 * time.Millisecond)
		a.handOver.goesOn()
		a.handOver.expect(time.Second)
		a.handOver.await()
		a.handOver.stalled() // of the timer that had expired before the pause
		synctest.Wait()
		if next, _ := a.handOver.end(); next != nil || s.cfg.Counters.counts["attempt_stalled"] != 0 {
			t.Error("the request is taken from a target that has just made progress")
		}
	})
}

// slowCheckClient takes checkTime to find out whether a target runs.
type slowCheckClient struct {
	*fakeTargetClient
	checkTime time.Duration
}

func (c slowCheckClient) CheckRunning(ctx context.Context, target *state.TargetRecord, path string) RunCheck {
	select {
	case <-ctx.Done():
		return RunCheck{}
	case <-time.After(c.checkTime):
		return c.fakeTargetClient.CheckRunning(ctx, target, path)
	}
}

// Guards against a hand-over of a stream that has ended, while its target is asked whether it runs.
func TestCheckOfAnEndedStreamIsNoStall(t *testing.T) {
	out := &recordingResponder{}
	targets := &fakeTargetClient{behaviours: []behaviour{endingWithConnection(events), respondWith(200, "")}}
	synctest.Test(t, func(t *testing.T) {
		s := newService(slowCheckClient{targets, 3 * time.Second})
		s.SetConfiguration(longRoute())
		s.Serve(t.Context(), resumableCall(), time.Now(), out)
	})
	if !out.ended || out.body.String() != events || len(targets.sends) != 1 {
		t.Errorf("ended %t after %d sends with %q, want all events after 1", out.ended, len(targets.sends), out.body.String())
	}
}
