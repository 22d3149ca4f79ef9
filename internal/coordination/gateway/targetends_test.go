package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// closingBehind answers in chunks, or with a length of 0 if the body is empty, from a target that
// closes the connection then and of which no more is known than the given liveness.
func closingBehind(l Liveness, announced bool, body string) behaviour {
	return func(context.Context, *Forward) (Exchange, error) {
		head := &state.Response{Status: 200, HasSignature: true, AnnouncesClose: announced, HasLength: body == ""}
		return &fakeExchange{head: head, Reader: strings.NewReader(body), closes: true, thenNotRunning: true, liveness: l}, nil
	}
}

// Guards against a stream in chunks that is passed on as complete although its target, which ends,
// has cancelled its handlers, and against whole streams that are broken off because their target
// closes connections.
func TestStreamInChunksEndingWithItsTargetIsIncomplete(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	checkStreams(t, []streamCase{
		{"target ends", "/stream/x", []behaviour{closingBehind(Ended, false, first)}, first, false, true, 0, []string{""}},
		{"target ends, as announced", "/stream/x", []behaviour{closingBehind(Ended, true, first)}, first, false, true, 0, []string{""}},
		{"target ends, may be resumed", "/resume/x", []behaviour{closingBehind(Ended, false, first), respondWith(200, rest)}, events, true, false, 0, []string{"", "1"}},
		{"target ends, was whole", "/resume/x", []behaviour{closingBehind(Ended, false, events), respondWith(200, "")}, events, true, false, 0, []string{"", "3"}},
		{"target cannot be asked", "/stream/x", []behaviour{closingBehind(Unproved, false, first)}, first, false, true, 0, []string{""}},
		{"target cannot be asked, close was announced", "/stream/x", []behaviour{closingBehind(Unproved, true, events)}, events, true, false, 0, []string{""}},
		{"target runs", "/stream/x", []behaviour{closingBehind(Running, false, events)}, events, true, false, 0, []string{""}},
		{"target runs, close was announced", "/stream/x", []behaviour{closingBehind(Running, true, events)}, events, true, false, 0, []string{""}},
	})
}

// Guards against an empty response that is passed on as complete although the target, which ends,
// has cancelled the handler before it wrote anything: HTTP servers then state a length of 0.
func TestEmptyResponseEndingWithItsTargetIsIncomplete(t *testing.T) {
	checkStreams(t, []streamCase{
		{"may not be resumed", "/stream/x", []behaviour{closingBehind(Ended, false, "")}, "", false, false, UnknownOutcome, []string{""}},
		{"may be resumed", "/resume/x", []behaviour{closingBehind(Ended, false, ""), respondWith(200, events)}, events, true, false, 0, []string{"", ""}},
		{"plain", "/once/x", []behaviour{closingBehind(Ended, false, "")}, "", false, false, UnknownOutcome, []string{""}},
		{"target runs", "/once/x", []behaviour{closingBehind(Running, false, "")}, "", true, false, 0, []string{""}},
	})
}

// Guards against a stream that is taken for whole because another one seems to go on, or seems to
// have gone on, although its events were only read late.
func TestStreamsOfTargetThatAcceptsNoConnections(t *testing.T) {
	grant := &dispatch.Grant{Target: state.TargetRecord{ID: "t"}}
	a, b := &attempt{grant: grant}, &attempt{grant: grant}
	elsewhere := &attempt{grant: &dispatch.Grant{Target: state.TargetRecord{ID: "u"}}}
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	const long = time.Second // of waiting for an event
	for _, c := range []struct {
		name                string
		play                func(l *streamLog)
		survives, continued bool
	}{
		{"other stream gets an event after the end", func(l *streamLog) { l.event(b, at(150*time.Millisecond), long) }, true, false},
		{"event before the end", func(l *streamLog) { l.event(b, at(50*time.Millisecond), long) }, false, false},
		{"event that had arrived before", func(l *streamLog) { l.event(b, at(150*time.Millisecond), 0) }, false, false},
		{"other stream has ended too", func(l *streamLog) { l.event(b, at(150*time.Millisecond), long); l.ended(b) }, false, false},
		{"other stream is forgotten", func(l *streamLog) { l.event(b, at(150*time.Millisecond), long); l.leave(b) }, false, false},
		{"stream of another target", func(l *streamLog) { l.event(elsewhere, at(150*time.Millisecond), long) }, false, false},
		{"refused before the last event", func(l *streamLog) { l.refuses("t", at(0)); l.event(a, at(90*time.Millisecond), long) }, false, true},
		{"refused just before the last event", func(l *streamLog) { l.refuses("t", at(80*time.Millisecond)); l.event(a, at(90*time.Millisecond), long) }, false, false},
		{"refused after the last event", func(l *streamLog) { l.refuses("t", at(95*time.Millisecond)); l.event(a, at(90*time.Millisecond), long) }, false, false},
		{"last event had arrived before", func(l *streamLog) { l.refuses("t", at(0)); l.event(a, at(90*time.Millisecond), 0) }, false, false},
		{"refused first", func(l *streamLog) {
			l.refuses("t", at(0))
			l.refuses("t", at(95*time.Millisecond))
			l.event(a, at(90*time.Millisecond), long)
		}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &streamLog{}
			l.event(a, at(0), 0)
			c.play(l)
			_, _, survives := l.others(a, at(100*time.Millisecond))
			if continued := l.continuedRefusing(a); survives != c.survives || continued != c.continued {
				t.Errorf("survives %t, went on while refusing %t; want %t, %t", survives, continued, c.survives, c.continued)
			}
		})
	}
}

// Guards against streams of which no connection shows that their target has cancelled all handlers
// at the same moment.
func TestStreamsEndingTogetherAreDoubted(t *testing.T) {
	s := newService(&fakeTargetClient{})
	grant, err := s.cfg.Scheduler.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	r := &request{service: s}
	a, b := &attempt{request: r, grant: grant}, &attempt{request: r, grant: grant}
	s.streams.event(a, time.Now(), 0)
	s.streams.event(b, time.Now(), 0)
	ex := &fakeExchange{}
	if d := a.doubtEnd(&state.Response{}, ex); d != noDoubt {
		t.Errorf("doubt %s while the other stream goes on, want none", d)
	}
	s.streams.ended(b)
	if d := a.doubtEnd(&state.Response{}, ex); d != endedTogether {
		t.Errorf("doubt %s after the other stream has ended, want %s", d, endedTogether)
	}
}
