package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// chunked answers with a complete, signed response in chunks.
func chunked(body string) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: strings.NewReader(body)}, nil
	}
}

// Guards against a stream that its caller takes up and that repeats, lacks or joins pieces, or is
// passed on as complete before its last one.
func TestStreamTakenUpByItsCaller(t *testing.T) {
	second, third := strings.Index(events, "id: 2"), strings.Index(events, "id: 3")
	last := events[third:]
	for _, c := range []struct {
		name  string
		after string // Last-Event-Id of the caller
		next  []behaviour
		body  string
		ended bool // the caller takes the response for complete
	}{
		{"goes on", "2", []behaviour{chunked(last)}, last, true},
		{"target ignores the id", "2", []behaviour{chunked(events)}, last, true},
		{"breaks off before an event", "1", []behaviour{truncated(""), chunked(events[second:])}, events[second:], true},
		{"breaks off in an event", "1", []behaviour{truncated(events[second : third+4]), chunked(last)}, events[second:], true},
		{"second target ignores the id", "1", []behaviour{truncated(events[second:third]), chunked(events)}, events[second:], true},
		{"leading zeros, target ignores the id", "002", []behaviour{chunked(events)}, last, true},
		{"leading zeros, breaks off before an event", "002", []behaviour{truncated(""), chunked(events)}, last, true},
		{"id that was cut", "1", []behaviour{chunked(events[second:])}, events[second:], true},
		{"nothing is left", "3", []behaviour{chunked("")}, "", true},
		{"nothing is left, target ignores the id", "3", []behaviour{chunked(events)}, "", true},
		{"id beyond the last event", "9", []behaviour{chunked(events)}, "", false},
		{"target numbers events anew and ends below the id", "2", []behaviour{chunked(strings.Replace(last, "id: 3", "id: 1", 1))}, "", false},
		{"ends with its target before an event", "2", []behaviour{endingWithTarget(""), chunked(last)}, last, true},
		{"ends with its connection before an event", "2", []behaviour{endingWithConnection(""), chunked(last)}, last, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := &fakeTargetClient{behaviours: c.next}
				s := newSoftwareService(targets, 1, "v1", "v1", "v1")
				out := serve(t, s, state.Call{ID: "second", ResumeAfter: c.after, ResumedRequest: "first"})
				if out.body.String() != c.body || out.ended != c.ended || targets.sends[0].ResumeAfter != c.after {
					t.Errorf("ended %t, status %d, failure %v with %q after %q; want %q, complete %t", out.ended, out.status, out.failure, out.body.String(), targets.resumePoints(), c.body, c.ended)
				}
			})
		})
	}
}

// Guards against pieces of two requests in one response when a caller takes a stream up while the
// first request still runs.
func TestStreamTakenUpWhileItsFirstRequestRuns(t *testing.T) {
	second, third := strings.Index(events, "id: 2"), strings.Index(events, "id: 3")
	synctest.Test(t, func(t *testing.T) {
		slow := func(from int) behaviour {
			return func(ctx context.Context, _ *Forward) (Exchange, error) {
				pieces := []string{events[:second], events[second:third], events[third:]}[from:]
				return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: &pieceReader{ctx: ctx, pause: 400 * time.Millisecond, pieces: pieces}}, nil
			}
		}
		targets := &fakeTargetClient{behaviours: []behaviour{slow(0), slow(1)}}
		s := newSoftwareService(targets, 1, "v1", "v1", "v1")
		done := make(chan *recordingResponder)
		go func() { done <- serve(t, s, state.Call{ID: "first"}) }()
		time.Sleep(600 * time.Millisecond)
		out := serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"})
		first := <-done
		if !first.ended || first.body.String() != events || !out.ended || out.body.String() != events[second:] {
			t.Errorf("first: ended %t with %q; second: ended %t with %q", first.ended, first.body.String(), out.ended, out.body.String())
		}
	})
}

// Guards against refusing a caller that takes a stream up for the second time and names the request
// that went on with the stream rather than the one that brought its first event.
func TestStreamTakenUpTwice(t *testing.T) {
	second, third := strings.Index(events, "id: 2"), strings.Index(events, "id: 3")
	for _, resumes := range []state.RequestID{"first", "second"} {
		for seed := range seeds {
			synctest.Test(t, func(t *testing.T) {
				// Each request takes two tries, which break off and end it.
				targets := &fakeTargetClient{behaviours: []behaviour{truncated(events[:second]), truncated(""), truncated(events[second:third]), truncated(""), chunked(events[third:])}}
				s := newSoftwareService(targets, seed, "v1", "v2", "v1", "v2", "v1", "v2")
				serve(t, s, state.Call{ID: "first"})
				serve(t, s, state.Call{ID: "second", ResumeAfter: "1", ResumedRequest: "first"})
				out := serve(t, s, state.Call{ID: "third", ResumeAfter: "2", ResumedRequest: resumes})
				if !out.ended || out.body.String() != events[third:] {
					t.Errorf("resumes %s: ended %t, failure %v with %q; want the rest", resumes, out.ended, out.failure, out.body.String())
				}
				for _, f := range targets.sends {
					if f.Target.Software != targets.sends[0].Target.Software {
						t.Errorf("resumes %s: began at %s and goes on at %s", resumes, targets.sends[0].Target.ID, f.Target.ID)
					}
				}
			})
		}
	}
}
