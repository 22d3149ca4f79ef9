package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// routeMoves are configurations that come while a stream of a route is in progress. The first one is in
// effect when it arrives.
var routeMoves = []struct {
	name     string
	from, to []state.Service
}{
	{"moved", []state.Service{"s"}, []state.Service{"other"}},
	{"split", []state.Service{"s"}, []state.Service{"s", "other"}},
	{"one side of the split taken away", []state.Service{"s", "other"}, []state.Service{"other"}},
	{"moved to a new service", []state.Service{"s"}, []state.Service{"new"}},
}

// listTwoServices lists three targets of one version for each of the services s and other.
func listTwoServices(s *Service) {
	var records []state.TargetRecord
	for i := range 6 {
		id := fmt.Sprintf("t%d", i)
		records = append(records, state.TargetRecord{ID: state.TargetID(id), Service: []state.Service{"s", "other"}[i%2], Address: id, Slots: 4, Software: "v1"})
	}
	s.cfg.Origins.SetTargets(time.Now(), records)
	s.cfg.Scheduler.SetTargets(records)
}

// before calls do and then behaves as b.
func before(do func(), b behaviour) behaviour {
	return func(ctx context.Context, f *Forward) (Exchange, error) {
		do()
		return b(ctx, f)
	}
}

// servicesOf returns the services that requests were sent to, each once.
func servicesOf(sends []Forward) (services []state.Service) {
	for _, f := range sends {
		services = append(services, f.Target.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// Guards against a stream that the entry itself sends once more, before its first event or behind one, and
// that goes on at the service to which its route has been moved meanwhile; and against a caller who then
// takes it up at another service than the one that wrote its events.
func TestRepeatedAttemptStaysAtItsService(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	for _, move := range routeMoves {
		for _, c := range []struct {
			name string
			next []behaviour // the route is moved during the first
			want string
		}{
			{"before the first event", []behaviour{connectionReset, truncated(first)}, first},
			{"inside the first event", []behaviour{truncated("id: 1\nda"), truncated(first)}, first},
			{"behind the first event", []behaviour{truncated(first), truncated("id: 2\ndata: b\n\n")}, first + "id: 2\ndata: b\n\n"},
		} {
			t.Run(move.name+", "+c.name, func(t *testing.T) {
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) {
						targets := &fakeTargetClient{}
						s := newSeededService(targets, uint64(seed))
						listTwoServices(s)
						s.SetConfiguration(leadTo(4, move.from...))
						var told []origin.Origin
						s.cfg.TellOrigin = func(o origin.Origin, _ ...state.RequestID) { told = append(told, o) }
						targets.behaviours = append([]behaviour{before(func() { s.SetConfiguration(leadTo(5, move.to...)) }, c.next[0])}, c.next[1:]...)
						out := serve(t, s, state.Call{ID: "first"})
						at := servicesOf(targets.sends)
						if len(targets.sends) != 2 || len(at) != 1 || out.body.String() != c.want {
							t.Fatalf("%d sends to %v, %q; want 2 to one service", len(targets.sends), at, out.body.String())
						}
						if slices.ContainsFunc(told, func(o origin.Origin) bool { return o != origin.Origin{Service: at[0], Software: "v1"} }) {
							t.Errorf("told %v of a stream of %s", told, at)
						}
						targets.behaviours, targets.sends = []behaviour{respondWith(200, rest)}, nil
						out = serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"})
						goesOn := slices.Contains(move.to, at[0])
						if out.ended != goesOn || goesOn && !slices.Equal(servicesOf(targets.sends), at) {
							t.Errorf("taken up: ended %t, sends to %v; want that it goes on at %s: %t", out.ended, servicesOf(targets.sends), at, goesOn)
						}
						if !goesOn && (out.failure.Kind != NotRun || out.failure.Reason != "origin_not_on_route" || len(targets.sends) > 0) {
							t.Errorf("failure %+v after %d sends; want that it did not run", out.failure, len(targets.sends))
						}
					})
				}
			})
		}
	}
}

// Guards against a hedge at the service to which the route of the stream has been moved since it arrived: the
// stream would count as one of the first service, and go on there.
func TestHedgeStaysAtItsService(t *testing.T) {
	first, rest := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for _, move := range routeMoves {
		if len(move.from) > 1 {
			continue // hedges are paid for at s
		}
		t.Run(move.name, func(t *testing.T) {
			var publish func()
			prepare := func(s *Service, _ func()) {
				version := s.Configuration().Version
				publish = func() { s.SetConfiguration(leadTo(version+1, move.to...)) }
				var records []state.TargetRecord
				for i, service := range []state.Service{"s", "s", "s", "other", "other", "new"} {
					id := fmt.Sprintf("t%d", i+1)
					records = append(records, state.TargetRecord{ID: state.TargetID(id), Service: service, Address: id, Slots: 4})
				}
				s.cfg.Origins.SetTargets(time.Now(), records)
				s.cfg.Scheduler.SetTargets(records)
				s.hedgeBudget("other").Earn(time.Now(), 2*time.Second)
			}
			out, targets, s := hedgedCall(t, "/resume/x", prepare, before(func() { publish() }, streamAfter(time.Second, first, rest)), streamAfter(50*time.Millisecond, first, rest))
			if !out.ended || len(targets.sends) != 2 || !slices.Equal(servicesOf(targets.sends), []state.Service{"s"}) {
				t.Errorf("ended %t, sends to %v; want two to s", out.ended, servicesOf(targets.sends))
			}
			if o, _, ok := s.cfg.Origins.Find(s.started, "r", resumePath); !ok || o.Service != "s" {
				t.Errorf("origin %v, known %t; want s", o, ok)
			}
		})
	}
}
