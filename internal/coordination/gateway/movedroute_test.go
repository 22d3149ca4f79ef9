package gateway

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// leadTo returns a configuration whose resumable route leads to the services, and whose other
// routes lead to "s".
func leadTo(version int64, services ...state.Service) *state.Configuration {
	resume := route("resume", "/resume/", state.StreamingRoute, true, 2)
	resume.Split = nil
	for _, name := range services {
		resume.Split = append(resume.Split, state.ServiceWeight{Service: name, Weight: 1})
	}
	return &state.Configuration{Version: version, Customers: testConfig.Customers, Routes: []state.Route{route("plain", "/plain/", state.IdempotentRoute, false, 2), resume}}
}

// Guards against a stream that a caller takes up and that goes on at another service than the one
// that began it, because its route leads to several services or has been moved: pieces of two
// services would be joined. Each service has one software version.
func TestStreamTakenUpGoesOnAtItsService(t *testing.T) {
	began := map[string]state.Service{"at s": "s", "at other": "other"}
	for _, c := range []struct {
		name    string
		configs []*state.Configuration // one after another
		after   time.Duration          // from the last of them to the request
		resumes string                 // the request that began the stream, which another entry knows if it is in began
		want    state.Service          // empty for none
	}{
		{"route has not moved", []*state.Configuration{leadTo(4, "s"), leadTo(5, "s")}, time.Second, "unknown", "s"},
		{"route has moved, unknown", []*state.Configuration{leadTo(4, "s"), leadTo(5, "other")}, time.Second, "unknown", ""},
		{"route has moved, not stated", []*state.Configuration{leadTo(4, "s"), leadTo(5, "other")}, time.Second, "", ""},
		{"route has moved, began before", []*state.Configuration{leadTo(4, "s"), leadTo(5, "other")}, time.Second, "at s", ""},
		{"route has moved, began after", []*state.Configuration{leadTo(4, "s"), leadTo(5, "other")}, time.Second, "at other", "other"},
		{"route has moved long ago", []*state.Configuration{leadTo(4, "s"), leadTo(5, "other")}, 2*origin.MaxTakeUpTime + time.Second, "unknown", "other"},
		{"route has moved and back", []*state.Configuration{leadTo(4, "s"), leadTo(5, "other"), leadTo(6, "s")}, time.Second, "unknown", ""},
		{"another route has moved", []*state.Configuration{leadTo(4, "s"), withPlainAt(5, "other")}, time.Second, "unknown", "s"},
		{"two services, unknown", []*state.Configuration{leadTo(4, "s", "other")}, 2 * origin.MaxTakeUpTime, "unknown", ""},
		{"two services, began at s", []*state.Configuration{leadTo(4, "s", "other")}, time.Second, "at s", "s"},
		{"two services, began at other", []*state.Configuration{leadTo(4, "s", "other")}, time.Second, "at other", "other"},
		{"one of two is left", []*state.Configuration{leadTo(4, "s", "other"), leadTo(5, "other")}, time.Second, "unknown", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{behaviours: []behaviour{respondWith(200, events[strings.Index(events, "id: 2"):])}}
					s := newSoftwareService(targets, seed)
					records := []state.TargetRecord{
						{ID: "t1", Service: "s", Address: "t1", Slots: 4, Software: "v1"}, {ID: "t2", Service: "other", Address: "t2", Slots: 4, Software: "v1"},
					}
					s.cfg.Origins.SetTargets(time.Now(), records)
					s.cfg.Scheduler.SetTargets(records)
					s.cfg.AskOrigin = func(_ context.Context, q origin.Question) (origin.Origin, error) {
						if at, ok := began[string(q.Request)]; ok {
							return origin.Origin{Service: at, Software: "v1"}, nil
						}
						if len(q.Candidates) == 1 { // as of an entry that does not know of the move yet
							return q.Candidates[0], nil
						}
						return origin.Origin{}, errors.New("unknown")
					}
					for _, config := range c.configs {
						s.SetConfiguration(config)
					}
					for end := time.Now().Add(c.after); time.Now().Before(end); time.Sleep(time.Second) {
						s.cfg.Origins.Connected(time.Now(), time.Now(), time.Now())
					}
					out := serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: state.RequestID(c.resumes)})
					if c.want == "" && (out.failure.Kind != NotRun || len(targets.sends) > 0) {
						t.Errorf("failure %v after %d sends, ended %t; want that it did not run", out.failure, len(targets.sends), out.ended)
					}
					if c.want != "" && (!out.ended || targets.sends[0].Target.Service != c.want) {
						t.Errorf("ended %t, failure %v, sends %v; want that it goes on at %s", out.ended, out.failure, targets.sends, c.want)
					}
				})
			}
		})
	}
}

// withPlainAt returns a configuration whose plain route leads to a service.
func withPlainAt(version int64, service state.Service) *state.Configuration {
	c := leadTo(version, "s")
	c.Routes[0].Split[0].Service = service
	return c
}
