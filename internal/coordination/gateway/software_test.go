package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// seeds is the number of seeds that each case runs with, because targets are picked at
// random.
const seeds = 20

// newSoftwareService returns a service with targets of the versions.
func newSoftwareService(targets TargetClient, seed int, versions ...state.SoftwareVersion) *Service {
	s := newSeededService(targets, uint64(seed))
	s.SetConfiguration(testConfig)
	newOrigins(s, true)
	setSoftware(s, "t", versions...)
	return s
}

// resumePath is that of the calls of serve.
var resumePath = origin.Path{Host: "h", Path: "/resume/x"}

// newOrigins gives the service a log of origins that has the routes of testConfig.
func newOrigins(s *Service, allKnown bool) {
	s.cfg.Origins = origin.New(time.Now(), allKnown)
	s.cfg.Origins.SetRoutes(time.Now(), testConfig)
}

// setSoftware lists one target for each version, with the given prefix of their names.
func setSoftware(s *Service, prefix string, versions ...state.SoftwareVersion) {
	var records []state.TargetRecord
	for i, v := range versions {
		id := fmt.Sprintf("%s%d-%s", prefix, i, v)
		records = append(records, state.TargetRecord{ID: state.TargetID(id), Service: "s", Address: id, Slots: 4, Software: v})
	}
	s.cfg.Origins.SetTargets(time.Now(), records)
	s.cfg.Scheduler.SetTargets(records)
}

// serve serves a call on the resumable route.
func serve(t *testing.T, s *Service, call state.Call) *recordingResponder {
	t.Helper()
	call.Host, call.Path, call.APIKey = "h", "/resume/x", "key"
	out := &recordingResponder{}
	s.Serve(t.Context(), &call, time.Now(), out)
	return out
}

// Guards against a stream that its target breaks off and that the entry sends on to a
// target of another software version. What two versions write does not fit together.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	for _, c := range []struct {
		name     string
		versions []state.SoftwareVersion
		goesOn   bool
	}{
		{"served by others", []state.SoftwareVersion{"v1", "v2", "v1", "v2", "v1", "v2"}, true},
		{"served by no other", []state.SoftwareVersion{"v1", "v2"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{behaviours: []behaviour{truncated(first), respondWith(200, rest)}}
					s := newSoftwareService(targets, seed, c.versions...)
					out := serve(t, s, state.Call{ID: "first"})
					for _, f := range targets.sends[1:] {
						if f.Target.Software != targets.sends[0].Target.Software {
							t.Errorf("began at %s and was sent on to %s", targets.sends[0].Target.ID, f.Target.ID)
						}
					}
					if out.ended != c.goesOn || out.aborted == c.goesOn {
						t.Errorf("ended %t, aborted %t with body %q; want complete %t", out.ended, out.aborted, out.body.String(), c.goesOn)
					}
				})
			}
		})
	}
}

// Guards against a stream that a caller takes up and that goes on at another software
// version than the one that began it, or at an unknown one.
func TestStreamTakenUpGoesOnAtItsSoftwareVersion(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	takeUp := state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"}
	for _, c := range []struct {
		name     string
		versions []state.SoftwareVersion // when the stream begins
		later    []state.SoftwareVersion // when it is taken up
		call     state.Call
		goesOn   bool
	}{
		{"served by others", []state.SoftwareVersion{"v1", "v2"}, []state.SoftwareVersion{"v1", "v2", "v1", "v2"}, takeUp, true},
		{"no longer served", []state.SoftwareVersion{"v1"}, []state.SoftwareVersion{"v2", "v2"}, takeUp, false},
		{"unknown, one of two", []state.SoftwareVersion{"v1", "v2"}, []state.SoftwareVersion{"v1", "v2"}, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "elsewhere"}, false},
		{"not stated, one of two", []state.SoftwareVersion{"v1", "v2"}, []state.SoftwareVersion{"v1", "v2"}, state.Call{ID: "second", ResumeAfter: "1"}, false},
		{"unknown, of one", []state.SoftwareVersion{"v1", "v1"}, []state.SoftwareVersion{"v1", "v1"}, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "elsewhere"}, true},
		{"not stated, of one", []state.SoftwareVersion{"v1", "v1"}, []state.SoftwareVersion{"v1", "v1"}, state.Call{ID: "second", ResumeAfter: "1"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{behaviours: []behaviour{truncated(first), truncated(""), respondWith(200, rest)}}
					s := newSoftwareService(targets, seed, c.versions...)
					serve(t, s, state.Call{ID: "first"})
					began := targets.sends[0].Target
					targets.sends, targets.behaviours = nil, []behaviour{respondWith(200, rest)}
					setSoftware(s, "later", c.later...)
					out := serve(t, s, c.call)
					if out.ended != c.goesOn || !c.goesOn && out.failure.Kind != NotRun {
						t.Errorf("ended %t, failure %v; want complete %t, or that it did not run", out.ended, out.failure, c.goesOn)
					}
					for _, f := range targets.sends {
						if f.Target.Software != began.Software {
							t.Errorf("began at %s and goes on at %s", began.ID, f.Target.ID)
						}
					}
				})
			}
		})
	}
}

// Guards against a caller that is refused although another entry knows where its stream
// began, and against a stream that goes on at another service than the one that began it.
func TestOriginKnownToAnotherEntry(t *testing.T) {
	for name, c := range map[string]struct {
		origin origin.Origin
		goesOn bool
	}{
		"at a version that serves":      {origin.Origin{Service: "s", Software: "v2"}, true},
		"at a version that has left":    {origin.Origin{Service: "s", Software: "v3"}, false},
		"at a service not on the route": {origin.Origin{Service: "other", Software: "v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					targets := &fakeTargetClient{behaviours: []behaviour{respondWith(200, events)}}
					s := newSoftwareService(targets, seed, "v1", "v2")
					s.cfg.AskOrigin = func(_ context.Context, q origin.Question) (origin.Origin, error) {
						if want := []origin.Origin{{Service: "s", Software: "v1"}, {Service: "s", Software: "v2"}}; q.Request != "first" || !slices.Equal(q.Candidates, want) {
							return origin.Origin{}, errors.New("unknown")
						}
						return c.origin, nil
					}
					out := serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"})
					if out.ended != c.goesOn || !c.goesOn && (out.failure.Kind != NotRun || len(targets.sends) > 0) {
						t.Errorf("ended %t, failure %v after %d sends; want complete %t, or that it did not run", out.ended, out.failure, len(targets.sends), c.goesOn)
					}
					if c.goesOn && targets.sends[0].Target.Software != c.origin.Software {
						t.Errorf("goes on at %s, want %s", targets.sends[0].Target.ID, c.origin.Software)
					}
				})
			}
		})
	}
}

// Guards against a caller that is refused at its second attempt to take a stream up, because the entry that knew
// where the stream began has ended since the first one, which got no event.
func TestOriginIsKeptBetweenAttemptsToTakeStreamUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := &fakeTargetClient{behaviours: []behaviour{respondWith(200, events)}}
		s := newSoftwareService(targets, 1, "v1", "v2")
		known := true
		s.cfg.AskOrigin = func(context.Context, origin.Question) (origin.Origin, error) {
			if !known {
				return origin.Origin{}, errors.New("unknown")
			}
			return origin.Origin{Service: "s", Software: "v3"}, nil
		}
		if out := serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"}); out.ended || out.failure.Kind != NotRun {
			t.Fatalf("ended %t, failure %v of a stream whose version has no target", out.ended, out.failure)
		}
		known = false
		setSoftware(s, "t", "v1", "v3")
		if out := serve(t, s, state.Call{ID: "third", ResumeAfter: "1", ResumedRequest: "first"}); !out.ended {
			t.Errorf("failure %v, want that it goes on", out.failure)
		}
	})
}

// Guards against refusing a stream that is taken up in the first moments of a process, which
// learns a little later that all targets have had one version.
func TestStreamTakenUpAtTheStartOfAProcess(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	for name, c := range map[string]struct {
		knownAfter time.Duration
		goesOn     bool
	}{
		"known soon":     {100 * time.Millisecond, true},
		"known too late": {maxOriginWait + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := &fakeTargetClient{behaviours: []behaviour{respondWith(200, events[len(first):])}}
				s := newSoftwareService(targets, 1, "v1", "v1")
				newOrigins(s, false)
				time.AfterFunc(c.knownAfter, func() {
					setSoftware(s, "t", "v1", "v1")
					s.cfg.Origins.AdoptMixed(time.Now(), nil)
				})
				began := time.Now()
				out := serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"})
				if out.ended != c.goesOn || !c.goesOn && out.failure.Kind != NotRun {
					t.Errorf("ended %t, failure %v; want that it goes on: %t", out.ended, out.failure, c.goesOn)
				}
				if waited := time.Since(began); waited > maxOriginWait+originCheckInterval {
					t.Errorf("the caller has waited %s", waited)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against a caller who has an event of a stream whose origin no other entry has been
// told yet, and against telling others where there is one version or nothing to resume.
func TestOriginIsToldBeforeTheFirstEvent(t *testing.T) {
	rest := events[strings.Index(events, "id: 2"):]
	for name, c := range map[string]struct {
		versions []state.SoftwareVersion
		call     state.Call
		body     string
		want     []state.RequestID
	}{
		"one version":  {[]state.SoftwareVersion{"v1", "v1"}, state.Call{ID: "first"}, events, nil},
		"two versions": {[]state.SoftwareVersion{"v1", "v2"}, state.Call{ID: "first"}, events, []state.RequestID{"first"}},
		"taken up":     {[]state.SoftwareVersion{"v1", "v2"}, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"}, rest, []state.RequestID{"second", "first"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := &fakeTargetClient{behaviours: []behaviour{respondWith(200, c.body)}}
				s := newSoftwareService(targets, 1, c.versions...)
				s.cfg.Origins.Begin(time.Now(), "first", origin.Origin{Service: "s", Software: "v1"})
				out := &recordingResponder{}
				var told []state.RequestID
				s.cfg.TellOrigin = func(o origin.Origin, ids ...state.RequestID) {
					if o.Software != targets.sends[0].Target.Software || o.Service != "s" || out.body.Len() > 0 {
						t.Errorf("%v is told after %d bytes of a stream of version %s", o, out.body.Len(), targets.sends[0].Target.Software)
					}
					told = append(told, ids...)
				}
				call := c.call
				call.Host, call.Path, call.APIKey = "h", "/resume/x", "key"
				s.Serve(t.Context(), &call, time.Now(), out)
				if !out.ended || !slices.Equal(told, c.want) {
					t.Errorf("ended %t, told of %v, want %v", out.ended, told, c.want)
				}
			})
		})
	}
}
