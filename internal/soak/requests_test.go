package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// request is one call of a caller. Calls with the same op are retries of one
// operation; they carry op as their key if hasKey is set.
type request struct {
	op              string
	entry           int
	tier            state.Tier
	idempotent      bool
	hasKey          bool
	streaming       bool          // the caller receives each chunk at once, so a response cannot restart after the first
	timeout         time.Duration // time until the deadline
	disconnectAfter time.Duration // time until the caller disconnects; 0 for never
}

// event is a request or a fault at one point of a case.
type event struct {
	delay    time.Duration // since the previous event
	kind     string
	index    int           // selects a process, link or engine, and a variant of the fault
	duration time.Duration // of the fault, or the scale of a delay
	request  request
}

// faultInjectors injects faults, by the kind of their event.
var faultInjectors = map[string]func(w *world, ev event){
	"kill entry": func(w *world, ev event) {
		i := ev.index % len(w.entries)
		w.killEntry(i)
		time.AfterFunc(ev.duration, func() { w.startEntry(i) })
	},
	"kill side": func(w *world, ev event) {
		slot := ev.index % len(w.sides)
		w.killSide(slot, w.sideAt(slot), false)
		time.AfterFunc(ev.duration, func() { w.startSide(slot) })
	},
	"stop entry": func(w *world, ev event) { w.stopEntry(ev.index%len(w.entries), ev.duration) },
	"pause entry": func(w *world, ev event) {
		if e := w.entryAt(ev.index % len(w.entries)); e != nil {
			e.pause(ev.duration)
		}
	},
	"pause side": func(w *world, ev event) {
		if p := w.sideAt(ev.index % len(w.sides)); p != nil {
			p.pause(ev.duration)
		}
	},
	"leave":  func(w *world, ev event) { w.stopSide(ev.index%len(w.sides), ev.duration) },
	"bundle": func(w *world, ev event) { w.publishBundle(ev.index) },
	"list leaving": func(w *world, ev event) {
		w.changeMembers(ev, func(m []state.Member, slot int) []state.Member { m[slot].Leaving = true; return m })
	},
	"list gap": func(w *world, ev event) {
		w.changeMembers(ev, func(m []state.Member, slot int) []state.Member { return slices.Delete(m, slot, slot+1) })
	},
	"cut session": sessionFault(func(s *session, _ event) {
		s.fail(errConnectionClosed)
	}),
	"silent session": sessionFault(func(s *session, _ event) { s.toSideLost.Store(true); s.toEntryLost.Store(true) }),
	"late session": sessionFault(func(s *session, ev event) {
		s.toSideDelay.Store(int64(ev.duration))
		s.toEntryLost.Store(true)
	}),
	"link cut":   linkFault(func(l *link, ev event) { l.cutUntil = time.Now().Add(ev.duration) }),
	"link delay": linkFault(func(l *link, ev event) { l.oneWayDelay = ev.duration / 20 }),
	"slow engine": engineFault(func(e *engine, ev event) {
		e.chunkGap = ev.duration / 8
	}),
	"silent engine":  engineFault(func(e *engine, ev event) { e.silentUntil = time.Now().Add(ev.duration) }),
	"engine breaks":  engineFault(func(e *engine, _ event) { e.breakNext++ }),
	"engine fails":   engineFault(func(e *engine, _ event) { e.failNext++ }),
	"engine denies":  engineFault(func(e *engine, ev event) { e.rejectNext += 1 + ev.index%4 }),
	"engine restart": func(w *world, ev event) { w.engines[ev.index%len(w.engines)].restart() },
	"engine down": func(w *world, ev event) {
		e := w.engines[ev.index%len(w.engines)]
		e.update(func() { e.down = true })
		time.AfterFunc(ev.duration, func() { e.update(func() { e.down = false }) })
	},
	"log down":          func(w *world, ev event) { injectLogFault(&w.log, ev) },
	"log delay":         func(w *world, ev event) { injectLogFault(&w.log, ev) },
	"log loses acks":    func(w *world, ev event) { injectLogFault(&w.log, ev) },
	"log drops appends": func(w *world, ev event) { injectLogFault(&w.log, ev) },
}

// linkFault applies f to the link that the event selects, with its mutex held.
func linkFault(f func(l *link, ev event)) func(w *world, ev event) {
	return func(w *world, ev event) {
		e := w.entryAt(ev.index % len(w.entries))
		if e == nil {
			return
		}
		l := e.links[targetName(ev.index/len(w.entries)%len(w.sides))]
		l.mu.Lock()
		defer l.mu.Unlock()
		f(l, ev)
	}
}

// sessionFault applies f to the current session of the link that the event selects.
func sessionFault(f func(s *session, ev event)) func(w *world, ev event) {
	return func(w *world, ev event) {
		var s *session
		linkFault(func(l *link, _ event) { s = l.currentSession })(w, ev)
		if s != nil {
			f(s, ev)
		}
	}
}

// engineFault applies f to the engine that the event selects, with its mutex held.
func engineFault(f func(e *engine, ev event)) func(w *world, ev event) {
	return func(w *world, ev event) {
		e := w.engines[ev.index%len(w.engines)]
		e.update(func() { f(e, ev) })
	}
}

// eventKinds lists the kinds of event to draw from, frequent ones more than once.
// Failing cases shrink towards the first.
var eventKinds = func() []string {
	list := []string{"request", "late session", "late session", "link delay", "kill side", "burst", "burst"}
	for range 12 {
		list = append(list, "request", "retry")
	}
	return append(list, sortedKeys(faultInjectors)...)
}()

// pickUniform draws an element of a list with about equal probabilities. rapid
// prefers small numbers, so the number drawn is hashed by a multiplication. 0 gives
// the first element, towards which failing cases shrink.
func pickUniform[T any](rt *rapid.T, list []T) T {
	n := rapid.Uint32().Draw(rt, "pick")
	return list[(n*2654435769>>8)%uint32(len(list))]
}

// burstSize is the number of requests in one burst: more than the windows of four
// targets and most sizes of their queues can hold together.
const burstSize = 14

var (
	eventDelays     = []time.Duration{0, 0, 0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}
	durations       = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 12 * time.Second}
	requestTimeouts = []time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second, 20 * time.Second}
)

// maxRequestTimeout is the longest of requestTimeouts.
const maxRequestTimeout = 20 * time.Second

// drawRequests draws a case of the property about requests.
func drawRequests(rt *rapid.T) func(g *ghost) {
	entries := rapid.IntRange(2, 3).Draw(rt, "entries")
	sides := rapid.IntRange(3, 4).Draw(rt, "sides")
	variant := rapid.IntRange(0, 11).Draw(rt, "shape")
	var events []event
	var keyedRequests []request
	for n := range rapid.IntRange(1, 80).Draw(rt, "events") {
		ev := event{
			kind:  pickUniform(rt, eventKinds),
			delay: rapid.SampledFrom(eventDelays).Draw(rt, "after"),
			index: rapid.IntRange(0, 11).Draw(rt, "i"),
		}
		switch {
		case ev.kind == "retry" && len(keyedRequests) > 0:
			ev.request = keyedRequests[max(0, len(keyedRequests)-1-rapid.IntRange(0, 3).Draw(rt, "earlier"))]
			ev.request.entry = ev.index % entries
		case ev.kind == "retry", ev.kind == "request", ev.kind == "burst":
			ev.request = drawRequest(rt, fmt.Sprint("op-", n), ev.index%entries)
			if ev.request.hasKey && ev.kind != "burst" {
				keyedRequests = append(keyedRequests, ev.request)
			}
		default:
			ev.duration = rapid.SampledFrom(durations).Draw(rt, "duration")
		}
		events = append(events, ev)
	}
	return func(g *ghost) { runRequests(g, newWorld(g, entries, sides, variant), events) }
}

func drawRequest(rt *rapid.T, op string, entry int) request {
	r := request{
		op: op, entry: entry,
		tier:      state.Tier(rapid.IntRange(0, 2).Draw(rt, "tier")),
		streaming: rapid.Bool().Draw(rt, "stream"),
		timeout:   rapid.SampledFrom(requestTimeouts).Draw(rt, "timeout"),
	}
	switch rapid.IntRange(0, 3).Draw(rt, "class") {
	case 0:
		r.idempotent = true
	case 1: // non-idempotent without a key
	default:
		r.hasKey = true
	}
	if rapid.IntRange(0, 7).Draw(rt, "leaves") == 0 {
		r.disconnectAfter = rapid.SampledFrom(durations).Draw(rt, "patience")
	}
	return r
}

func runRequests(g *ghost, w *world, events []event) {
	time.Sleep(time.Second) // until sessions are open and the log has been read
	for n, ev := range events {
		time.Sleep(ev.delay)
		inject, ok := faultInjectors[ev.kind]
		switch {
		case ok:
			inject(w, ev)
		case ev.kind == "burst":
			for k := range burstSize {
				r := ev.request
				r.op += fmt.Sprint("-", k)
				r.tier = state.Tier((ev.index + k*k) % 3)
				w.sendRequest(state.RequestID(fmt.Sprintf("r%d-%s", n, r.op)), r)
			}
		default:
			w.sendRequest(state.RequestID(fmt.Sprintf("r%d-%s", n, ev.request.op)), ev.request)
		}
		count("event: "+ev.kind, 1)
	}
	time.Sleep(maxRequestTimeout + endGrace + time.Second)
	for id := range g.openRequests() {
		g.fail("request %s has not ended", id)
	}
	w.killAll()
	time.Sleep(2 * time.Minute) // goroutines that have not ended by then are blocked for ever, which synctest reports
}

// killAll kills all processes for good and aborts all jobs.
func (w *world) killAll() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	for i := range w.entries {
		w.killEntry(i)
	}
	for slot := range w.sides {
		w.killSide(slot, w.sideAt(slot), false)
	}
	for _, e := range w.engines {
		e.restart()
	}
}

// sendRequest makes a call to its entry and checks its result in the background.
func (w *world) sendRequest(id state.RequestID, r request) {
	e := w.entryAt(r.entry)
	if e == nil {
		count("outcome: entry down", 1)
		return
	}
	req := &state.Request{
		ID: id, Kind: state.Completion, Service: "svc", Model: "m", Customer: []state.Customer{"c", "d"}[len(r.op)%2], Weight: 1,
		Tier: r.tier, Idempotent: r.idempotent, Deadline: time.Now().Add(r.timeout),
		PromptTokens: 100, MaxTokens: 16, Method: "POST", Path: "/v1/completions", Body: []byte(r.op),
	}
	if r.hasKey {
		req.ClaimKey = r.op
	}
	ctx, cancel := context.WithCancel(context.Background())
	if r.disconnectAfter > 0 {
		time.AfterFunc(r.disconnectAfter, cancel)
	}
	w.ghost.requestStarted(id, req.Deadline)
	go func() {
		defer cancel()
		out := &responseSink{ghost: w.ghost, request: id, op: r.op, streaming: r.streaming}
		result := e.service.Do(ctx, req, nil, out)
		w.ghost.requestEnded(id)
		if e.ctx.Err() != nil {
			count("outcome: entry killed", 1)
			return
		}
		w.checkResult(id, result, out)
	}()
}

// checkResult compares the result of a call with the chunks that the caller
// received and with the ghost state.
func (w *world) checkResult(id state.RequestID, result entry.Result, out *responseSink) {
	name := map[entry.ResultKind]string{
		entry.Complete: "complete", entry.Refused: "not run", entry.Unknown: "unknown", entry.TimedOut: "timed out",
		entry.Failed: "failed", entry.Expired: "expired", entry.Cancelled: "cancelled",
	}[result.Kind]
	count("outcome: "+name, 1)
	switch result.Kind {
	case entry.Complete:
		if out.nextChunk != chunkCount(out.op) {
			w.ghost.fail("request %s was reported as complete with %d of %d chunks", id, out.nextChunk, chunkCount(out.op))
		}
	case entry.Refused:
		count("not run: "+string(result.Reason), 1)
		w.ghost.requestReportedNotRun(id, out.op, result.Reason)
		if out.nextChunk > 0 {
			w.ghost.fail("request %s was reported as not run after %d chunks", id, out.nextChunk)
		}
	}
}

// responseSink is the caller's end of a response. It checks the content of each
// chunk.
type responseSink struct {
	ghost     *ghost
	request   state.RequestID
	op        string
	streaming bool
	nextChunk uint64 // offset
}

func (s *responseSink) Head(*state.Head) error { return nil }

func (s *responseSink) Chunk(c *state.Chunk) error {
	if want := chunkContent(s.op, s.nextChunk); string(c.Data) != want {
		s.ghost.fail("request %s received %q, want %q", s.request, c.Data, want)
	}
	s.nextChunk++
	return nil
}

func (s *responseSink) Restart() bool {
	if s.streaming && s.nextChunk > 0 {
		return false
	}
	s.nextChunk = 0
	return true
}
