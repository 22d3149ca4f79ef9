package emulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger counts how often each request ran, over all targets.
type Ledger struct {
	mu      sync.Mutex
	runs    map[string]int
	details map[string][]*Run // at targets with a profile
	// A ledger of another process writes each change to out, and numbers runs from firstRun on.
	out      *json.Encoder
	firstRun int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int), details: make(map[string][]*Run)}
}

func (l *Ledger) recordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// Runs returns how often the request id ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Target is one target: an engine if EventsPerStream is above 0, else a plain
// service.
type Target struct {
	ID      string
	Service string
	// Slots is the number of slots in the target's record. The target rejects
	// requests while 4 times as many are running.
	Slots           int
	EventsPerStream int
	WorkTime        time.Duration // for a plain response, or for one event
	Software        string        // version of the software, part of each event
	Label           string        // part of each event in place of Software; empty for Software
	Ledger          *Ledger
	// LoseResponse makes the target run requests and close the connection without
	// a response. TruncateResponse makes it close the connection in the middle of
	// a response. ExtraResponse makes a plain service send a second response after
	// the first. FailRequests makes the target run requests and respond with
	// status 500.
	LoseResponse, TruncateResponse, ExtraResponse, FailRequests atomic.Bool
	// RateLimit is the limit that responses state, in requests a second; 0: none.
	RateLimit atomic.Int64
	// PauseMs makes the target turn requests away and ask for a pause of so many
	// milliseconds; 0: none. Leaving makes it say in its responses that it leaves.
	PauseMs atomic.Int64
	Leaving atomic.Bool
	// EndlessHead and EndlessBody make the target run requests and send bytes that are no
	// response, until the connection is closed: in place of the head or of the body.
	EndlessHead, EndlessBody atomic.Bool
	// SlowMs makes each request take up to so many milliseconds longer before its response.
	SlowMs atomic.Int64
	// CrashUnder returns what the target calls before it breaks off the response to a request
	// with the given header and body, or nil if it answers. It is set before requests come;
	// nil for none.
	CrashUnder func(header http.Header, body []byte) (crash func())
	// OnRun is called for each request that runs, and returns whether the target responds with
	// status 500 to it and how much longer the response takes to start; nil for none.
	OnRun atomic.Pointer[func() (fails bool, delay time.Duration)]

	// Profile is set before requests come; nil for the simple target.
	Profile *Profile
	// SlowFactor makes the work of a target with a profile take so many times as long; 0 and
	// 1: as usual. LosePerMille of its runs end with a reset in place of an answer.
	SlowFactor, LosePerMille atomic.Int64
	// SilentUntil is when a target with a profile goes on with its work, in Unix nanoseconds.
	SilentUntil atomic.Int64
	// Closing is set before the server of a target with a profile is closed. Its connections are
	// reset then, unless Killed is set: the kernel ends those of a process that is killed without
	// a reset if the process has read all that came.
	Closing, Killed atomic.Bool
	process         bool // it has a process of its own; see ServeProcess
	// lingers answers all requests while that process is ending; nil before.
	lingers atomic.Pointer[http.HandlerFunc]

	slots slotQueue

	arrivalsMu sync.Mutex
	arrivals   []Arrival // while a limit, a pause or leaving is stated

	running atomic.Int64
	streams atomic.Int64 // streams begun so far
}

// Running returns the number of requests in progress.
func (t *Target) Running() int64 { return t.running.Load() }

// Arrival is a request that a target got, and what it stated in the response.
type Arrival struct {
	At      time.Time
	ID      string
	Pause   time.Duration
	Leaving bool
}

// Arrivals returns the requests that the target got while it stated something, and forgets
// them.
func (t *Target) Arrivals() []Arrival {
	t.arrivalsMu.Lock()
	defer t.arrivalsMu.Unlock()
	taken := t.arrivals
	t.arrivals = nil
	return taken
}

// state writes what the target states of itself to the header of a response, and records the
// request if it states anything. It reports whether the request is turned away.
func (t *Target) state(header http.Header, id string) (turnedAway bool) {
	limit, pause, leaving := t.RateLimit.Load(), time.Duration(t.PauseMs.Load())*time.Millisecond, t.Leaving.Load()
	if limit > 0 {
		header.Set("Server-Limit", strconv.FormatInt(limit, 10))
	}
	if pause > 0 {
		header.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	}
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if limit > 0 || pause > 0 || leaving {
		t.arrivalsMu.Lock()
		defer t.arrivalsMu.Unlock()
		t.arrivals = append(t.arrivals, Arrival{At: time.Now(), ID: id, Pause: pause, Leaving: leaving})
	}
	return pause > 0
}

// Record returns the value of the target's record in the store.
func (t *Target) Record(address, state string, startedAt time.Time) ([]byte, error) {
	return json.Marshal(map[string]any{
		"Service": t.Service, "Address": address, "Zone": "a", "Version": t.Software, "Slots": t.Slots, "State": state, "born": startedAt.UnixMilli(),
	})
}

// Serve serves requests on ln until it is closed.
func (t *Target) Serve(ln net.Listener) error { return http.Serve(ln, http.HandlerFunc(t.handle)) }

// PlainBody returns the response body of a plain service for a request id.
func PlainBody(id string) string { return "response to " + id }

// StreamEvent returns event n, from 1, of the stream that a target of the given software
// version sends for a request id.
func StreamEvent(id string, n int, software string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, id, n, software)
}

// RunEvent is StreamEvent for a target with a profile, whose events also have the number of the
// run that wrote them, at both ends so that parts of two runs differ from an event of one.
func RunEvent(id string, n int, software string, run int) string {
	return StreamEvent(fmt.Sprintf("%s run %d", id, run), n, fmt.Sprintf("%s run %d", software, run))
}

func (t *Target) handle(w http.ResponseWriter, r *http.Request) {
	if lingers := t.lingers.Load(); lingers != nil {
		lingers.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	header := w.Header()
	if r.Method == http.MethodGet && r.URL.Path == reportPath && t.EventsPerStream > 0 {
		t.serveReport(w)
		return
	}
	header.Set("Request-Id", id)
	header.Set("Instance-Id", t.ID)
	health := isHealthCheck(r)
	if expected := r.Header.Get("Expect-Instance"); expected != t.ID && !(health && expected == "") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if health {
		t.serveHealth(w, r)
		return
	}
	if t.Profile != nil {
		t.serveWithProfile(w, r, id)
		return
	}
	turnedAway := t.state(header, id)
	defer t.running.Add(-1)
	if t.running.Add(1) > int64(4*t.Slots) || turnedAway {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.Ledger.recordRun(id)
	fails := t.FailRequests.Load()
	if onRun := t.OnRun.Load(); onRun != nil {
		bad, delay := (*onRun)()
		fails = fails || bad
		time.Sleep(delay)
	}
	if t.LoseResponse.Load() {
		time.Sleep(t.WorkTime)
		panic(http.ErrAbortHandler)
	}
	header.Set("Response-Signature", "signed by "+t.ID)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if t.EndlessHead.Load() || t.EndlessBody.Load() {
		t.sendWithoutEnd(w, id)
		return
	}
	t.crashUnder(r)
	if slow := t.SlowMs.Load(); slow > 0 {
		time.Sleep(time.Duration(rand.Int64N(slow)) * time.Millisecond)
	}
	if t.EventsPerStream == 0 {
		t.servePlain(w, id)
		return
	}
	t.serveStream(w, r, id)
}

// crashUnder crashes the target if the request does so.
func (t *Target) crashUnder(r *http.Request) {
	if t.CrashUnder == nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if crash := t.CrashUnder(r.Header, body); crash != nil {
		time.Sleep(t.WorkTime)
		crash()
		panic(http.ErrAbortHandler)
	}
}

// sendWithoutEnd sends bytes that are no response until the connection is closed.
func (t *Target) sendWithoutEnd(w http.ResponseWriter, id string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	noise := strings.Repeat("X-Noise: 0123456789abcdef\r\n", 256)
	start := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: signed by " + t.ID + "\r\n"
	if t.EndlessBody.Load() {
		start += "\r\n"
	}
	_, err = buffer.WriteString(start)
	for err == nil {
		_, err = buffer.WriteString(noise)
	}
}

func (t *Target) servePlain(w http.ResponseWriter, id string) {
	time.Sleep(t.WorkTime)
	body := PlainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if t.TruncateResponse.Load() {
		// Close the connection after the truncated body. The bytes of a further
		// response on it would be read as the rest of the body, and the client
		// could not detect the truncation.
		fmt.Fprint(w, body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, body) // an error means that the client closed the connection
	if t.ExtraResponse.Load() {
		t.sendExtraResponse(w)
	}
}

// sendExtraResponse sends a second response, for which there was no request, and
// closes the connection.
func (t *Target) sendExtraResponse(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	conn, buffer, err := control.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: nobody\r\nContent-Length: 5\r\n\r\nextra")
	buffer.Flush()
}

// serveStream sends the events after the Last-Event-Id of the request, or all
// events without one. Every other stream has neither a length nor chunks and ends with
// its connection.
func (t *Target) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	if t.streams.Add(1)%2 == 0 {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then sends no chunks
	}
	from := 0
	if lastEventID := r.Header.Get("Last-Event-Id"); lastEventID != "" {
		var err error
		if from, err = strconv.Atoi(lastEventID); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	control := http.NewResponseController(w)
	for n := from + 1; n <= t.EventsPerStream; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(t.WorkTime):
		}
		event := StreamEvent(id, n, cmp.Or(t.Label, t.Software))
		if t.TruncateResponse.Load() && n == t.EventsPerStream/2+1 {
			fmt.Fprint(w, event[:len(event)/2])
			control.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, event)
		if control.Flush() != nil {
			return
		}
	}
}
