package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Profile makes a target work as the users' pages describe their engines: requests wait in
// order of arrival for a slot, steps take longer the more requests run, and connections are
// limited and closed when idle. A target without a profile is simpler.
type Profile struct {
	Queue           int     // waiting requests beyond which the target rejects
	Speed           float64 // steps and prompts are so many times as fast
	FirstEvent      time.Duration
	Step            time.Duration // for an event while the request runs alone
	StepPerSlot     time.Duration // longer for each other request that runs
	PromptTokenTime time.Duration // prompts are read one after the other
	PromptSlows     float64       // a step takes so many times as long while a prompt is read
	IdleTimeout     time.Duration // after which an idle connection is closed, stated in Keep-Alive
	MaxConnections  int           // new ones beyond it are reset
	// CloseShare is the share of responses with Connection: close, LateShare that of responses
	// after which the connection carries an extra one, before the next or behind a stream without
	// length or chunks, StrayShare that of streams without length or chunks behind which come
	// other bytes that belong to no request, AbruptShare that of
	// responses soon after which the connection is closed though they did not say so.
	CloseShare, LateShare, StrayShare, AbruptShare float64
	// SpoiledShare of the streams go on with bytes that are no response, and are then closed.
	SpoiledShare float64
	// PreemptShare of the streams make no progress for up to PreemptTime.
	PreemptShare float64
	PreemptTime  time.Duration
	// RepeatShare of the resumed streams begin with the event after which they are to go on.
	RepeatShare float64
	// Beyond is the answer to a request that resumes a stream behind its last event.
	Beyond string
	// RunsOn says that the target goes on with a request whose connection was closed.
	RunsOn bool
	// UnframedShare of the streams have neither a length nor chunks and end with their connection.
	UnframedShare float64
	// EndsProperly says that a stream in chunks, whose caller has left or whose time limit is over,
	// ends with the last chunk, as HTTP servers write it when a handler returns.
	EndsProperly bool
	// NoticesCloseLate says that the target notices such a close only when it is not silent.
	NoticesCloseLate bool
}

// Answers to a request that resumes a stream behind its last event.
const (
	BeyondNone   = "none"   // an empty stream
	BeyondMore   = "more"   // one further event
	BeyondRepeat = "repeat" // the last event
	BeyondRefuse = "refuse" // status 400
	BeyondAnew   = "anew"   // all events
)

// Headers of requests that say how long a target with a profile works. Entries pass them on.
const (
	HeaderEvents    = "Emulated-Events"     // of the stream
	HeaderWorkMs    = "Emulated-Work-Ms"    // of a plain request
	HeaderFailShare = "Emulated-Fail-Share" // of the runs of a plain request that end with status 500
)

// Outcomes of a run or of a rejected request.
const (
	RunCompleted = "completed"
	RunFailed    = "failed"       // status 500
	RunRefused   = "refused"      // status 400, which does not state that the request has not run
	RunTimedOut  = "time limit"   // status 504, or the stream was broken off
	RunDropped   = "caller left"  // the connection was closed
	RunBrokenOff = "broken off"   // by the target
	RunSpoiled   = "spoiled"      // bytes that are no response came in place of the rest
	RunLost      = "answer reset" // the request ran, and the connection was reset instead of an answer
	Rejected     = "rejected"     // not run
)

// Run is a request at a target.
type Run struct {
	Target   string
	Service  string    // of the target
	Software string    // of the target
	Number   int       // tells the runs of the request apart
	After    int       // Last-Event-Id of the request
	From, To time.Time // To is zero while the request runs
	Outcome  string
	Events   int // written, including those that a resumed stream left out
	RunsOn   bool
}

// begin records that a request runs at a target.
func (l *Ledger) begin(id string, t *Target, after int) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	run := &Run{Target: t.ID, Service: t.Service, Software: t.Software, Number: l.firstRun + l.runs[id], After: after, From: time.Now(), RunsOn: t.Profile.RunsOn}
	l.details[id] = append(l.details[id], run)
	l.write(id, run)
	return run
}

// end records the end of a run.
func (l *Ledger) end(id string, run *Run, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.To, run.Outcome = time.Now(), outcome
	l.write(id, run)
}

// event records the last event that a run wrote.
func (l *Ledger) event(id string, run *Run, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Events = n
	l.write(id, run)
}

// reject records a request that did not run, and why.
func (l *Ledger) reject(id string, t *Target, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	run := &Run{Target: t.ID, Service: t.Service, Software: t.Software, From: now, To: now, Outcome: Rejected + ": " + reason}
	l.details[id] = append(l.details[id], run)
	l.write(id, run)
}

// Details returns what the targets with a profile saw of a request, in order of arrival.
func (l *Ledger) Details(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Run
	for _, run := range l.details[id] {
		runs = append(runs, *run)
	}
	slices.SortStableFunc(runs, func(a, b Run) int { return a.From.Compare(b.From) })
	return runs
}

// engineConn is a connection to a target with a profile.
type engineConn struct {
	net.Conn
	target *Target
	late   string      // extra response to send before the next one; empty for none
	abrupt atomic.Bool // closed by the target though no response said so
	active atomic.Bool // a request is at work
	closed func()
}

type engineConnKey struct{}

func (c *engineConn) Close() error {
	c.closed()
	if c.target.Closing.Load() && !c.target.Killed.Load() {
		resetConn(c.Conn)
	}
	return c.Conn.Close()
}

// limitedListener resets connections beyond the target's limit.
type limitedListener struct {
	net.Listener
	target *Target

	mu   sync.Mutex
	open int
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		ok := l.open < l.target.Profile.MaxConnections
		if ok {
			l.open++
		}
		l.mu.Unlock()
		if !ok {
			resetConn(c)
			continue
		}
		return &engineConn{Conn: c, target: l.target, closed: sync.OnceFunc(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.open--
		})}, nil
	}
}

// NewServer returns a server for the target on ln. Closing it breaks off all requests.
func (t *Target) NewServer() *http.Server {
	s := &http.Server{Handler: http.HandlerFunc(t.handle)}
	if t.Profile != nil {
		s.IdleTimeout = t.Profile.IdleTimeout
		s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			if _, ok := c.(*engineConn); !ok { // accepted by the server itself
				c = &engineConn{Conn: c, target: t, closed: func() {}}
			}
			return context.WithValue(ctx, engineConnKey{}, c)
		}
	}
	return s
}

// ServeLimited serves requests on ln with the server, with the profile's limit of connections.
func (t *Target) ServeLimited(s *http.Server, ln net.Listener) error {
	return s.Serve(&limitedListener{Listener: ln, target: t})
}

// connOf returns the connection of a request to a target with a profile.
func connOf(r *http.Request) *engineConn {
	conn, ok := r.Context().Value(engineConnKey{}).(*engineConn)
	if !ok {
		panic("connection of a target with a profile has another type")
	}
	return conn
}

// sendLate sends the extra response, if there is one.
func (c *engineConn) sendLate() {
	io.WriteString(c, c.late) // an error shows when the response is written
	c.late = ""
}

// serveWithProfile serves a request that names this target.
func (t *Target) serveWithProfile(w http.ResponseWriter, r *http.Request, id string) {
	p, header := t.Profile, w.Header()
	conn := connOf(r)
	// The server sees that the connection was closed only after it has read the body.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.sendLate()
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(p.IdleTimeout.Seconds())))
	if rand.Float64() < p.CloseShare || t.Leaving.Load() {
		header.Set("Connection", "close")
	}
	err := t.slots.enter(r.Context(), t.Slots, p.Queue, deadline)
	t.stateLoad(header)
	switch {
	case errors.Is(err, errQueueFull), errors.Is(err, errTimeInQueue):
		t.Ledger.reject(id, t, err.Error())
		conn.after(id, "503 Service Unavailable\r\nNot-Executed: 1", nil)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		t.Ledger.reject(id, t, "caller left while queued")
		panic(http.ErrAbortHandler)
	}
	defer t.slots.leave()
	conn.active.Store(true)
	defer conn.active.Store(false)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent
	run := t.Ledger.begin(id, t, from)
	outcome := RunBrokenOff
	defer func() { t.Ledger.end(id, run, outcome) }()
	ctx := r.Context()
	if p.RunsOn {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	header.Set("Response-Signature", "signed by "+t.ID)
	if t.EventsPerStream == 0 {
		outcome = t.runPlain(ctx, w, r, id)
	} else {
		outcome = t.runStream(ctx, w, r, id, run)
	}
	if outcome == RunDropped && (t.Closing.Load() || conn.abrupt.Load()) {
		outcome = RunBrokenOff
	}
	switch {
	case outcome == RunLost:
		resetConn(conn.Conn)
		panic(http.ErrAbortHandler)
	case p.EndsProperly && (outcome == RunDropped || outcome == RunTimedOut) && run.Events > 0 && header.Get("Transfer-Encoding") != "identity":
	case outcome == RunBrokenOff && t.process && t.EventsPerStream > 0:
		// The server ends the response as it does whenever a handler returns.
	case outcome == RunSpoiled:
		conn.writePieces(noise())
		conn.Close()
		panic(http.ErrAbortHandler)
	case outcome == RunDropped, outcome == RunBrokenOff, outcome == RunTimedOut && run.Events > 0:
		// A close would look like the end of a stream without a length.
		resetConn(conn.Conn)
		panic(http.ErrAbortHandler)
	case outcome == RunCompleted:
		var unframed *Run
		if header.Get("Transfer-Encoding") == "identity" {
			unframed = run
		}
		conn.after(id, "200 OK\r\nResponse-Signature: late", unframed)
	}
}

// after lets a share of the connections go wrong after the response to a request. unframed is
// the run of a stream of which nothing but the end of the connection marks the end, nil for
// other responses.
func (c *engineConn) after(id, head string, unframed *Run) {
	p := c.target.Profile
	switch v := rand.Float64(); {
	case v < p.LateShare:
		c.late = fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nlate", head, id)
		if unframed != nil {
			io.WriteString(c, c.late) // an error shows to the client too
		}
	case unframed != nil && rand.Float64() < p.StrayShare:
		c.writePieces(strayBytes(id, c.target.Software, unframed))
	case v < p.LateShare+p.AbruptShare:
		time.AfterFunc(time.Duration(rand.Int64N(int64(maxAbruptDelay))), func() {
			if c.abrupt.Store(true); c.active.Load() {
				resetConn(c.Conn) // a close would look like the end of a stream without a length
			}
			c.Close()
		})
	}
}

// maxAbruptDelay is the longest time from a response to the close that it did not announce.
const maxAbruptDelay = 30 * time.Millisecond

func (t *Target) stateLoad(header http.Header) {
	running, waiting, _ := t.slots.load()
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, t.Slots))
}

// slowed returns the time that work takes at present.
func (t *Target) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) / t.Profile.Speed * float64(max(1, t.SlowFactor.Load())))
}

// work waits for d, and longer while the target is silent, and reports the outcome if the
// context ends first.
func (t *Target) work(ctx context.Context, d time.Duration) (outcome string, ended bool) {
	noticed := ctx.Done()
	if t.Profile.NoticesCloseLate && time.Now().UnixNano() < t.SilentUntil.Load() {
		noticed = nil
	}
	select {
	case <-time.After(d):
		if silent := time.Until(time.Unix(0, t.SilentUntil.Load())); silent > 0 {
			return t.work(ctx, silent)
		}
		if t.Closing.Load() { // a process that has ended does not run on
			return RunBrokenOff, true
		}
		return "", false
	case <-noticed:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return RunTimedOut, true
		}
		return RunDropped, true
	}
}

// losesAnswer reports whether the target resets the connection instead of answering.
func (t *Target) losesAnswer() bool { return rand.Int64N(1000) < t.LosePerMille.Load() }

// SizedBody returns the body with which a target with a profile answers a plain request:
// PlainBody several times, as the ID says.
func SizedBody(id string) string {
	lines := 20
	for _, c := range []byte(id) {
		lines = (lines*31 + int(c)) % 60
	}
	return strings.Repeat(PlainBody(id)+"\n", 1+lines)
}

// runPlain runs a plain request and returns its outcome.
func (t *Target) runPlain(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) string {
	ms, _ := strconv.ParseFloat(r.Header.Get(HeaderWorkMs), 64) // 0 if absent
	outcome, ended := t.work(ctx, t.slowed(time.Duration(ms*float64(time.Millisecond))))
	failShare, _ := strconv.ParseFloat(r.Header.Get(HeaderFailShare), 64) // 0 if absent
	switch {
	case ended && outcome == RunTimedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
		return outcome
	case ended:
		return outcome
	case t.losesAnswer():
		return RunLost
	case rand.Float64() < failShare:
		w.WriteHeader(http.StatusInternalServerError)
		return RunFailed
	}
	body := SizedBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprint(w, body) // an error means that the client closed the connection
	return RunCompleted
}

// runStream runs a request for a stream and returns its outcome.
func (t *Target) runStream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, run *Run) string {
	p := t.Profile
	events, _ := strconv.Atoi(r.Header.Get(HeaderEvents)) // 0 if absent
	from := run.After
	beyond := ""
	if from > 0 && from >= events {
		beyond = p.Beyond
	}
	if beyond == BeyondRefuse {
		w.WriteHeader(http.StatusBadRequest)
		return RunRefused
	}
	tokens, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",") // of the prompt
	prompt, _ := strconv.Atoi(tokens)                             // 0 if absent
	w.Header().Set("Content-Type", "text/event-stream")
	if rand.Float64() < p.UnframedShare {
		w.Header().Set("Transfer-Encoding", "identity") // ends with its connection
	}
	if outcome, ended := t.work(ctx, t.slowed(p.FirstEvent)+t.slots.readPrompt(t.slowed(time.Duration(prompt)*p.PromptTokenTime))); ended {
		if outcome == RunTimedOut {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return outcome
	}
	control := http.NewResponseController(w)
	preempted := 0 // event before which the stream pauses
	if rand.Float64() < p.PreemptShare {
		preempted = from + 2 + rand.IntN(max(1, events-from))
	}
	lost := 0 // event in which the connection is reset
	if t.losesAnswer() {
		lost = from + 1 + rand.IntN(max(1, events-from))
	}
	spoiled := 0 // event in place of which other bytes come
	if rand.Float64() < p.SpoiledShare {
		spoiled = from + 1 + rand.IntN(max(1, events-from))
	}
	first := from + 1
	if from > 0 && rand.Float64() < p.RepeatShare {
		first = from
	}
	switch beyond {
	case BeyondMore:
		first, events = from+1, from+1
	case BeyondRepeat:
		first, events = from, from
	case BeyondAnew:
		first = 1
	}
	for n := first; n <= events; n++ {
		if n > first {
			running, _, reading := t.slots.load()
			step := t.slowed(p.Step + time.Duration(running)*p.StepPerSlot)
			if reading {
				step = time.Duration(float64(step) * p.PromptSlows)
			}
			if n == preempted {
				step += time.Duration(rand.Int64N(int64(p.PreemptTime)))
			}
			if outcome, ended := t.work(ctx, step); ended {
				return outcome
			}
		}
		event := RunEvent(id, n, t.Software, run.Number)
		if n == lost {
			fmt.Fprint(w, event[:rand.IntN(len(event))])
			control.Flush() // an error means that the client closed the connection
			return RunLost
		}
		if n == spoiled {
			return RunSpoiled
		}
		fmt.Fprint(w, event)
		t.Ledger.event(id, run, n)
		if control.Flush() != nil && !p.RunsOn {
			return RunDropped
		}
	}
	return RunCompleted
}
