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

// request is one call of a caller. Calls with the same op are the same
// operation and carry the same key.
type request struct {
	op         string
	entry      int
	tier       state.Tier
	idempotent bool
	keyed      bool
	stream     bool          // the caller receives chunks at once
	timeout    time.Duration // until the deadline
	patience   time.Duration // until the caller disconnects; 0 for never
}

// event is something that happens during a case.
type event struct {
	after   time.Duration // since the event before
	kind    string
	i       int // which process, link or engine
	d       time.Duration
	request request
}

// faults are the kinds of event other than requests.
var faults = map[string]func(w *world, ev event){
	"kill entry": func(w *world, ev event) {
		i := ev.i % len(w.entries)
		w.killEntry(i)
		time.AfterFunc(ev.d, func() { w.startEntry(i) })
	},
	"kill side": func(w *world, ev event) {
		slot := ev.i % len(w.sides)
		w.killSide(slot, w.side(slot), false)
		time.AfterFunc(ev.d, func() { w.startSide(slot) })
	},
	"stop entry": func(w *world, ev event) { w.stopEntry(ev.i%len(w.entries), ev.d) },
	"pause entry": func(w *world, ev event) {
		if e := w.entry(ev.i % len(w.entries)); e != nil {
			e.pause(ev.d)
		}
	},
	"pause side": func(w *world, ev event) {
		if p := w.side(ev.i % len(w.sides)); p != nil {
			p.pause(ev.d)
		}
	},
	"leave":  func(w *world, ev event) { w.leave(ev.i%len(w.sides), ev.d) },
	"bundle": func(w *world, ev event) { w.publish(ev.i) },
	"list leaving": func(w *world, ev event) {
		w.list(ev, func(m []state.Member, slot int) []state.Member { m[slot].Leaving = true; return m })
	},
	"list gap": func(w *world, ev event) {
		w.list(ev, func(m []state.Member, slot int) []state.Member { return slices.Delete(m, slot, slot+1) })
	},
	"cut session": onSession(func(s *session, _ event) {
		s.fail(errConnection)
	}),
	"silent session": onSession(func(s *session, _ event) { s.lostUp.Store(true); s.lostDown.Store(true) }),
	"late session": onSession(func(s *session, ev event) {
		s.lateUp.Store(int64(ev.d))
		s.lostDown.Store(true)
	}),
	"link cut":   onLink(func(l *link, ev event) { l.cut = time.Now().Add(ev.d) }),
	"link delay": onLink(func(l *link, ev event) { l.delay = ev.d / 20 }),
	"slow engine": onEngine(func(e *engine, ev event) {
		e.gap = ev.d / 8
	}),
	"silent engine":  onEngine(func(e *engine, ev event) { e.silent = time.Now().Add(ev.d) }),
	"engine breaks":  onEngine(func(e *engine, _ event) { e.breaks++ }),
	"engine fails":   onEngine(func(e *engine, _ event) { e.fails++ }),
	"engine denies":  onEngine(func(e *engine, ev event) { e.denies += 1 + ev.i%4 }),
	"engine restart": func(w *world, ev event) { w.engines[ev.i%len(w.engines)].restart() },
	"engine down": func(w *world, ev event) {
		e := w.engines[ev.i%len(w.engines)]
		e.set(func() { e.down = true })
		time.AfterFunc(ev.d, func() { e.set(func() { e.down = false }) })
	},
	"log down":          func(w *world, ev event) { logFault(&w.log, ev) },
	"log delay":         func(w *world, ev event) { logFault(&w.log, ev) },
	"log loses acks":    func(w *world, ev event) { logFault(&w.log, ev) },
	"log drops appends": func(w *world, ev event) { logFault(&w.log, ev) },
}

func onLink(f func(l *link, ev event)) func(w *world, ev event) {
	return func(w *world, ev event) {
		e := w.entry(ev.i % len(w.entries))
		if e == nil {
			return
		}
		l := e.links[targetName(ev.i/len(w.entries)%len(w.sides))]
		l.mu.Lock()
		defer l.mu.Unlock()
		f(l, ev)
	}
}

func onSession(f func(s *session, ev event)) func(w *world, ev event) {
	return func(w *world, ev event) {
		var s *session
		onLink(func(l *link, _ event) { s = l.current })(w, ev)
		if s != nil {
			f(s, ev)
		}
	}
}

func onEngine(f func(e *engine, ev event)) func(w *world, ev event) {
	return func(w *world, ev event) {
		e := w.engines[ev.i%len(w.engines)]
		e.set(func() { f(e, ev) })
	}
}

// kinds lists the kinds of event, the frequent ones more than once. The first is
// what a failing case shrinks to.
var kinds = func() []string {
	list := []string{"request", "late session", "late session", "link delay", "kill side", "burst", "burst"}
	for range 12 {
		list = append(list, "request", "retry")
	}
	return append(list, sortedKeys(faults)...)
}()

// pick draws an element of a list. The factor spreads the small numbers that
// rapid prefers; the first element is what a failing case shrinks to.
func pick[T any](rt *rapid.T, list []T) T {
	n := rapid.Uint32().Draw(rt, "pick")
	return list[(n*2654435769>>8)%uint32(len(list))]
}

// burstSize is the number of requests of one burst. It exceeds what the windows
// of four targets and most of their queues hold.
const burstSize = 14

var (
	gaps      = []time.Duration{0, 0, 0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}
	durations = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 12 * time.Second}
	timeouts  = []time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second, 20 * time.Second}
)

const maxTimeout = 20 * time.Second

// drawRequests draws a case of the property about requests.
func drawRequests(rt *rapid.T) func(g *ghost) {
	entries := rapid.IntRange(2, 3).Draw(rt, "entries")
	sides := rapid.IntRange(3, 4).Draw(rt, "sides")
	shape := rapid.IntRange(0, 11).Draw(rt, "shape")
	var events []event
	var sent []request
	for n := range rapid.IntRange(1, 80).Draw(rt, "events") {
		ev := event{
			kind:  pick(rt, kinds),
			after: rapid.SampledFrom(gaps).Draw(rt, "after"),
			i:     rapid.IntRange(0, 11).Draw(rt, "i"),
		}
		switch {
		case ev.kind == "retry" && len(sent) > 0:
			ev.request = sent[max(0, len(sent)-1-rapid.IntRange(0, 3).Draw(rt, "earlier"))]
			ev.request.entry = ev.i % entries
		case ev.kind == "retry", ev.kind == "request", ev.kind == "burst":
			ev.request = drawRequest(rt, fmt.Sprint("op-", n), ev.i%entries)
			if ev.request.keyed && ev.kind != "burst" {
				sent = append(sent, ev.request)
			}
		default:
			ev.d = rapid.SampledFrom(durations).Draw(rt, "duration")
		}
		events = append(events, ev)
	}
	return func(g *ghost) { runRequests(g, newWorld(g, entries, sides, shape), events) }
}

func drawRequest(rt *rapid.T, op string, entry int) request {
	r := request{
		op: op, entry: entry,
		tier:    state.Tier(rapid.IntRange(0, 2).Draw(rt, "tier")),
		stream:  rapid.Bool().Draw(rt, "stream"),
		timeout: rapid.SampledFrom(timeouts).Draw(rt, "timeout"),
	}
	switch rapid.IntRange(0, 3).Draw(rt, "class") {
	case 0:
		r.idempotent = true
	case 1: // non-idempotent without a key
	default:
		r.keyed = true
	}
	if rapid.IntRange(0, 7).Draw(rt, "leaves") == 0 {
		r.patience = rapid.SampledFrom(durations).Draw(rt, "patience")
	}
	return r
}

func runRequests(g *ghost, w *world, events []event) {
	time.Sleep(time.Second) // sessions are opened and the log is read
	for n, ev := range events {
		time.Sleep(ev.after)
		fault, ok := faults[ev.kind]
		switch {
		case ok:
			fault(w, ev)
		case ev.kind == "burst":
			for k := range burstSize {
				r := ev.request
				r.op += fmt.Sprint("-", k)
				r.tier = state.Tier((ev.i + k*k) % 3)
				w.request(state.RequestID(fmt.Sprintf("r%d-%s", n, r.op)), r)
			}
		default:
			w.request(state.RequestID(fmt.Sprintf("r%d-%s", n, ev.request.op)), ev.request)
		}
		count("event: "+ev.kind, 1)
	}
	time.Sleep(maxTimeout + endGrace + time.Second)
	for id := range g.stillOpen() {
		g.fail("request %s has not ended", id)
	}
	w.end()
	time.Sleep(2 * time.Minute) // what is still there then blocks for ever, which synctest reports
}

// end kills everything.
func (w *world) end() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	for i := range w.entries {
		w.killEntry(i)
	}
	for slot := range w.sides {
		w.killSide(slot, w.side(slot), false)
	}
	for _, e := range w.engines {
		e.restart()
	}
}

// request makes a call and checks how it ends.
func (w *world) request(id state.RequestID, r request) {
	e := w.entry(r.entry)
	if e == nil {
		count("outcome: entry down", 1)
		return
	}
	req := &state.Request{
		ID: id, Kind: state.Completion, Service: "svc", Model: "m", Customer: []state.Customer{"c", "d"}[len(r.op)%2], Weight: 1,
		Tier: r.tier, Idempotent: r.idempotent, Deadline: time.Now().Add(r.timeout),
		PromptTokens: 100, MaxTokens: 16, Method: "POST", Path: "/v1/completions", Body: []byte(r.op),
	}
	if r.keyed {
		req.ClaimKey = r.op
	}
	ctx, cancel := context.WithCancel(context.Background())
	if r.patience > 0 {
		time.AfterFunc(r.patience, cancel)
	}
	w.ghost.begun(id, req.Deadline)
	go func() {
		defer cancel()
		out := &sink{ghost: w.ghost, request: id, op: r.op, stream: r.stream}
		result := e.service.Do(ctx, req, nil, out)
		w.ghost.ended(id)
		if e.ctx.Err() != nil {
			count("outcome: entry killed", 1)
			return
		}
		w.check(id, result, out)
	}()
}

func (w *world) check(id state.RequestID, result entry.Result, out *sink) {
	name := map[entry.ResultKind]string{
		entry.Complete: "complete", entry.Refused: "not run", entry.Unknown: "unknown", entry.TimedOut: "timed out",
		entry.Failed: "failed", entry.Expired: "expired", entry.Cancelled: "cancelled",
	}[result.Kind]
	count("outcome: "+name, 1)
	switch result.Kind {
	case entry.Complete:
		if out.next != chunks(out.op) {
			w.ghost.fail("request %s is complete with %d of %d chunks", id, out.next, chunks(out.op))
		}
	case entry.Refused:
		count("not run: "+string(result.Reason), 1)
		w.ghost.refused(id, out.op, result.Reason)
		if out.next > 0 {
			w.ghost.fail("request %s was reported as not run after %d chunks", id, out.next)
		}
	}
}

// sink is a caller that checks each chunk.
type sink struct {
	ghost   *ghost
	request state.RequestID
	op      string
	stream  bool
	next    uint64
}

func (s *sink) Head(*state.Head) error { return nil }

func (s *sink) Chunk(c *state.Chunk) error {
	if want := content(s.op, s.next); string(c.Data) != want {
		s.ghost.fail("request %s received %q, want %q", s.request, c.Data, want)
	}
	s.next++
	return nil
}

func (s *sink) Restart() bool {
	if s.stream && s.next > 0 {
		return false
	}
	s.next = 0
	return true
}
