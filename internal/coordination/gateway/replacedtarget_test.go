package gateway

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// targetBehaviours answers by the target of a request.
type targetBehaviours struct {
	runningTargets
	sends []state.TargetID
	of    func(*Forward) behaviour
}

func (b *targetBehaviours) Send(ctx context.Context, f *Forward) (Exchange, error) {
	b.sends = append(b.sends, f.Target.ID)
	return b.of(f)(ctx, f)
}

// Guards against a stream that goes on at a target whose process may have ended since its record was read:
// another process of another software version may have its identifier. Another target has shown no such
// sign.
func TestResumptionPrefersTargetsThatHaveNotEnded(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	for name, c := range map[string]struct {
		sign     behaviour // of the target that may have ended
		wait     time.Duration
		byCaller bool
		targets  int
	}{
		"broken off, resumed by the entry":  {truncated(""), 0, false, 4},
		"broken off, resumed by the caller": {truncated(""), 0, true, 4},
		"refused, resumed by the entry":     {connectionRefused, 400 * time.Millisecond, false, 4},
		"refused, resumed by the caller":    {connectionRefused, 400 * time.Millisecond, true, 4},
		// A target that breaks off a response may live on.
		"broken off, no other is left, by the entry": {truncated(""), 0, false, 2},
		"refused, no other is left, by the entry":    {connectionRefused, 400 * time.Millisecond, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			resumptions := 0
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					targets := &targetBehaviours{}
					s := newSoftwareService(targets, seed, slices.Repeat([]state.SoftwareVersion{"v1"}, c.targets)...)
					targets.of = func(*Forward) behaviour {
						if len(targets.sends) == 1 {
							return c.sign
						}
						return respondWith(200, events)
					}
					serve(t, s, state.Call{ID: "beside"})
					ended := targets.sends[0]
					targets.sends = nil
					targets.of = func(f *Forward) behaviour {
						if f.ResumeAfter == "" {
							return pausedThen(first, c.wait, func() io.Reader { return truncatedReader{} })
						}
						return respondWith(200, rest)
					}
					call := state.Call{ID: "first"}
					if c.byCaller {
						time.Sleep(c.wait)
						// Another entry has told where it began.
						s.cfg.Origins.Begin(time.Now(), "first", origin.Origin{Service: "s", Software: "v1"})
						call = state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"}
					}
					out := serve(t, s, call)
					if !out.ended {
						t.Fatalf("seed %d: sent to %q, failure %v; want that the stream is ended", seed, targets.sends, out.failure)
					}
					resumed := targets.sends[len(targets.sends)-1]
					if !c.byCaller && targets.sends[0] == ended {
						return // it began there
					}
					resumptions++
					if c.targets > 2 && resumed == ended {
						t.Errorf("seed %d: sent to %q, the last of which may have ended", seed, targets.sends)
					}
				})
			}
			if resumptions == 0 {
				t.Error("no stream was resumed that began elsewhere")
			}
		})
	}
}

// pausedReader reads a body, waits, does something and reads another body.
type pausedReader struct {
	io.Reader
	wait time.Duration
	then func() io.Reader
}

func (r *pausedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF && r.then != nil {
		time.Sleep(r.wait)
		r.Reader, r.then = r.then(), nil
		return r.Read(p)
	}
	return n, err
}

// pausedThen sends body, waits and goes on with what then returns.
func pausedThen(body string, wait time.Duration, then func() io.Reader) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: &pausedReader{strings.NewReader(body), wait, then}}, nil
	}
}

// replace lists the target with the given identifier as v2, two others of v1 and, if served is set, a
// further one of v2.
func replace(s *Service, id state.TargetID, served bool) {
	replaceStarted(s, id, served, time.UnixMilli(1))
}

// replaceStarted is replace with the start time of the process.
func replaceStarted(s *Service, id state.TargetID, served bool, started time.Time) {
	var records []state.TargetRecord
	for _, other := range []state.TargetID{"t0-v1", "t1-v1", "t2-v1"} {
		r := state.TargetRecord{ID: other, Service: "s", Address: string(other), Slots: 4, Software: "v1"}
		if other == id {
			r.Software, r.Started = "v2", started.UnixMilli()
		}
		records = append(records, r)
	}
	if served {
		records = append(records, state.TargetRecord{ID: "other-v2", Service: "s", Address: "other", Slots: 4, Software: "v2"})
	}
	s.cfg.Origins.SetTargets(time.Now(), records)
	s.cfg.Scheduler.SetTargets(records)
}

// Guards against a stream that goes on at one of two software versions although it may have begun at the
// other one: its target is listed with another version while it writes the stream.
func TestStreamOfUnsureOriginIsNotResumed(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	second := events[len(first):strings.Index(events, "id: 3")]
	rest := events[len(first):]
	for name, end := range map[string]func() io.Reader{
		"broken off": func() io.Reader { return truncatedReader{} },
		"broken off behind a further event": func() io.Reader {
			time.Sleep(100 * time.Millisecond)
			return io.MultiReader(strings.NewReader(second), truncatedReader{})
		},
		"silent": func() io.Reader {
			return &pausedReader{strings.NewReader(""), 1500 * time.Millisecond, func() io.Reader { return truncatedReader{} }}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					targets := &targetBehaviours{}
					s := newSoftwareService(targets, seed, "v1", "v1", "v1")
					targets.of = func(f *Forward) behaviour {
						if f.ResumeAfter != "" {
							return respondWith(200, rest)
						}
						return pausedThen(first, 100*time.Millisecond, func() io.Reader {
							replace(s, f.Target.ID, true)
							return end()
						})
					}
					out := serve(t, s, state.Call{ID: "first"})
					if len(targets.sends) > 1 || !out.aborted {
						t.Errorf("seed %d: sent to %q, aborted %t; want that the stream is broken off", seed, targets.sends, out.aborted)
					}
					targets.sends = nil
					out = serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"})
					if len(targets.sends) > 0 || out.failure.Kind != NotRun {
						t.Errorf("seed %d: taken up at %q, failure %v; want that it did not run", seed, targets.sends, out.failure)
					}
				})
			}
		})
	}
}
