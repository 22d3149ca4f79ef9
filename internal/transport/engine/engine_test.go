package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

var testAttempt = state.AttemptID{Entry: "entry/1", Incarnation: 0xab, Session: 3, Seq: 4}

// fakeEngine serves one stream of tokens and records the requests it receives.
type fakeEngine struct {
	mu       sync.Mutex
	tokens   int
	posts    int
	resumes  []string
	deletes  int
	received map[string]any
	// afterEvent is called after each event with the number of events sent on the
	// connection. opening says that the connection carries the request rather than a
	// resumption. The connection ends when afterEvent returns true.
	afterEvent func(opening bool, sent int) (end bool)
	// skippedEvent is an event that the opening connection leaves out; 0 for none.
	skippedEvent int
	// repeatedEvents is the number of events that a resumption repeats.
	repeatedEvents int
	// forgetsRequest makes the engine answer 404 to a resumption.
	forgetsRequest bool
}

func (m *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost:
		m.mu.Lock()
		m.posts++
		json.NewDecoder(r.Body).Decode(&m.received)
		m.mu.Unlock()
		if r.Header.Get("X-Request-Id") != testAttempt.String() {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.stream(w, r, true, 0)
	case r.Method == http.MethodDelete:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.deletes++
	default:
		m.mu.Lock()
		m.resumes = append(m.resumes, r.URL.EscapedPath()+"?"+r.URL.RawQuery)
		m.mu.Unlock()
		if m.forgetsRequest {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		from, _ := strconv.Atoi(r.FormValue("from"))
		m.stream(w, r, false, max(0, from-m.repeatedEvents))
	}
}

func (m *fakeEngine) stream(w http.ResponseWriter, r *http.Request, opening bool, from int) {
	for i := from; i <= m.tokens+1; i++ {
		if opening && i == m.skippedEvent && i > 0 {
			continue
		}
		data := fmt.Sprintf(`{"text":"token %d"}`, i)
		switch i {
		case m.tokens:
			data = `{"usage":{"prompt_tokens":9,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":5}}}`
		case m.tokens + 1:
			data = "[DONE]"
		}
		fmt.Fprintf(w, ": keep-alive\n\nid: %d\ndata: %s\n\n", i, data)
		w.(http.Flusher).Flush()
		if m.afterEvent != nil && m.afterEvent(opening, i-from+1) {
			return
		}
	}
}

// startTarget serves h and returns a client for it.
func startTarget(t *testing.T, h http.Handler, plain bool) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return newTestClient(server.Listener.Addr(), plain)
}

// newTestClient returns a client whose timeouts are shorter than the defaults, but
// long enough for a loaded test machine.
func newTestClient(address net.Addr, plain bool) *Client {
	return New(Config{
		Address: address.String(), PlainService: plain, Log: zap.NewNop(),
		FirstEventIdleTimeout: 2 * time.Second, StreamIdleTimeout: 500 * time.Millisecond, ResumeTimeout: 1500 * time.Millisecond,
	})
}

// runCompletion runs a completion and returns the chunks. It reports offsets that are
// not contiguous from 0 as errors.
func runCompletion(t *testing.T, c *Client) ([]string, state.Usage, error) {
	t.Helper()
	var chunks []string
	usage, err := c.Run(t.Context(), testAttempt, &state.Request{Kind: state.Completion, Body: []byte(`{"model":"m","stream":false}`)},
		func(e state.AttemptEvent) {
			chunk := e.(*state.Chunk)
			if chunk.Offset != uint64(len(chunks)) {
				t.Errorf("chunk %d follows %d chunks", chunk.Offset, len(chunks))
			}
			chunks = append(chunks, string(chunk.Data))
		})
	return chunks, usage, err
}

// wantChunks returns the chunks of a fakeEngine with n tokens.
func wantChunks(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf(`{"text":"token %d"}`, i))
	}
	return append(out, `{"usage":{"prompt_tokens":9,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":5}}}`)
}

// Guards against a client that sends a request again after the target closed the
// connection without a response: the request may have run.
func TestRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	for _, plain := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		requests := make(chan string, 100)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				buffer := make([]byte, 4096)
				n, _ := conn.Read(buffer)
				requests <- strings.SplitN(string(buffer[:n]), " ", 2)[0]
				conn.Close()
			}
		}()
		req := &state.Request{Kind: state.Completion, Body: []byte(`{}`)}
		if plain {
			// The HTTP library repeats PUT by default.
			req = &state.Request{Kind: state.PlainCall, Method: "PUT", Path: "/crane"}
		}
		_, err = newTestClient(listener.Addr(), plain).Run(t.Context(), testAttempt, req, func(state.AttemptEvent) {})
		var unknown *side.UnknownOutcomeError
		if !errors.As(err, &unknown) || errors.Is(err, side.ErrNotSent) {
			t.Errorf("plain %v: error %v, want an unknown outcome", plain, err)
		}
		count := map[string]int{}
		for len(requests) > 0 {
			count[<-requests]++
		}
		if count["POST"]+count["PUT"] != 1 {
			t.Errorf("plain %v: requests %v, want one POST or PUT", plain, count)
		}
	}
}

// Guards against lost or repeated tokens when the engine stops sending or closes the
// connection in mid-stream, several times.
func TestInterruptedStreamIsResumed(t *testing.T) {
	t.Parallel()
	const n = 20
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) }) // ends the silent handlers
	engines := map[string]*fakeEngine{
		"undisturbed": {},
		"silent":      {afterEvent: func(_ bool, sent int) bool { return sent == 12 && waitUntilClosed(silent) }},
		"closed":      {afterEvent: func(_ bool, sent int) bool { return sent == 3 }},
		"in usage":    {afterEvent: func(opening bool, sent int) bool { return opening && sent == n+1 }},
		"overlap":     {afterEvent: func(_ bool, sent int) bool { return sent == 5 }, repeatedEvents: 2},
		"gap":         {skippedEvent: 4},
	}
	for name, engine := range engines {
		t.Run(name, func(t *testing.T) {
			engine.tokens = n
			server := httptest.NewServer(engine)
			// Silent handlers end only after the test, so the server is not closed,
			// which would wait for them.
			t.Cleanup(server.CloseClientConnections)
			chunks, usage, err := runCompletion(t, newTestClient(server.Listener.Addr(), false))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(wantChunks(n), chunks); diff != "" {
				t.Error(diff)
			}
			if want := (state.Usage{PromptTokens: 9, CachedTokens: 5, GeneratedTokens: 8}); usage != want {
				t.Errorf("usage %+v, want %+v", usage, want)
			}
			if engine.posts != 1 || (len(engine.resumes) > 0) != (name != "undisturbed") {
				t.Errorf("%d posts, resumed by %q", engine.posts, engine.resumes)
			}
			if engine.received["stream"] != true || engine.received["model"] != "m" {
				t.Errorf("engine received %v", engine.received)
			}
		})
	}
}

// waitUntilClosed waits until c is closed and returns true.
func waitUntilClosed(c chan struct{}) bool {
	<-c
	return true
}

// Guards against a wrong resumption path when an instance name contains a slash.
func TestResumePathIsEscaped(t *testing.T) {
	engine := &fakeEngine{tokens: 3}
	c := startTarget(t, engine, false)
	first := uint64(2)
	_, err := c.Resume(t.Context(), testAttempt, first, func(e state.AttemptEvent) {
		if got := e.(*state.Chunk).Offset; got != first {
			t.Errorf("chunk %d, want %d", got, first)
		}
		first++
	})
	if err != nil || first != 4 {
		t.Fatalf("resumed up to chunk %d: %v", first, err)
	}
	if diff := cmp.Diff([]string{"/v1/requests/entry%2F1:ab:3:4/events?from=2"}, engine.resumes); diff != "" {
		t.Error(diff)
	}
}

// Guards against reporting a request as not run when the engine received it and then
// forgot it or stopped.
func TestLostStreamIsUnknown(t *testing.T) {
	t.Parallel()
	engine := &fakeEngine{tokens: 20, forgetsRequest: true, afterEvent: func(_ bool, sent int) bool { return sent == 5 }}
	c := startTarget(t, engine, false)
	_, _, err := runCompletion(t, c)
	var unknown *side.UnknownOutcomeError
	if !errors.As(err, &unknown) || unknown.Reason != state.ReasonStreamBroken {
		t.Errorf("error %v, want an unknown outcome", err)
	}
	if engine.deletes != 1 {
		t.Errorf("cancelled %d times, want once", engine.deletes)
	}

	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	_, _, err = runCompletion(t, newTestClient(server.Listener.Addr(), false))
	if !errors.As(err, &unknown) || errors.Is(err, side.ErrNotSent) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// Guards against a call that never ends, or ends with another outcome than unknown,
// when the target accepts the connection and never answers.
func TestSilentEngineIsUnknown(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() // connections wait in the backlog and are never read
	for _, plain := range []bool{false, true} {
		kind := state.Completion
		if plain {
			kind = state.PlainCall
		}
		req := &state.Request{Kind: kind, Method: "GET", Path: "/", Body: []byte(`{}`)}
		_, err = newTestClient(listener.Addr(), plain).Run(t.Context(), testAttempt, req, func(state.AttemptEvent) {})
		var unknown *side.UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.Reason != state.ReasonTargetSilent {
			t.Errorf("plain %v: error %v, want target_silent", plain, err)
		}
	}
}

// Guards against reporting a request as run that the engine did not admit, and as
// not run one that the engine reported as failed.
func TestStatusBeforeTheStream(t *testing.T) {
	status := 0
	c := startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(status)
		io.WriteString(w, "detail")
	}), false)
	for _, status = range []int{429, 503} {
		_, _, err := runCompletion(t, c)
		var denied *side.NotAdmittedError
		if !errors.As(err, &denied) || denied.Status != status || denied.RetryAfter != 3*time.Second {
			t.Errorf("status %d: error %v", status, err)
		}
	}
	for _, status = range []int{400, 404, 500, 502} {
		_, _, err := runCompletion(t, c)
		var reported *side.TargetError
		if !errors.As(err, &reported) || *reported != (side.TargetError{Status: status, Detail: "detail"}) {
			t.Errorf("status %d: error %v", status, err)
		}
	}
}

// Guards against an unknown outcome when the target could not be connected to.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	address := net.TCPAddrFromAddrPort(conntest.ClosedPort(t, conntest.Address(t), 0))
	if _, _, err := runCompletion(t, newTestClient(address, false)); !errors.Is(err, side.ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// Guards against a run that continues after its context has ended.
func TestContextEndsRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c := newTestClient(listener.Addr(), false)
	c.cfg.FirstEventIdleTimeout = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		conn, _ := listener.Accept()
		conn.Read(make([]byte, 1))
		cancel()
	}()
	_, err = c.Run(ctx, testAttempt, &state.Request{Kind: state.Completion, Body: []byte(`{}`)}, func(state.AttemptEvent) {})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

// Guards against changes to the request or response of a plain service, and
// against a cut-off body that is taken for a complete one.
func TestPlainCall(t *testing.T) {
	body := strings.Repeat("0123456789", 20000)
	c := startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("short"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		got, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", fmt.Sprint(r.Method, " ", r.URL.EscapedPath(), "?", r.URL.RawQuery, " ", r.Header["X-Crane"], " ", string(got)))
		w.WriteHeader(http.StatusTeapot)
		io.WriteString(w, body)
	}), true)
	req := &state.Request{
		Kind: state.PlainCall, Method: "PATCH", Path: "/a%2Fb//c?x=1&x=2", Body: []byte("in"),
		Headers: []state.Header{{Name: "X-Crane", Value: "7"}, {Name: "X-Crane", Value: "8"}, {Name: "Connection", Value: "keep-alive"}},
	}
	var head *state.Head
	var got strings.Builder
	_, err := c.Run(t.Context(), testAttempt, req, func(e state.AttemptEvent) {
		switch e := e.(type) {
		case *state.Head:
			head = e
		case *state.Chunk:
			got.Write(e.Data)
		}
	})
	if err != nil || got.String() != body {
		t.Fatalf("received %d bytes: %v", got.Len(), err)
	}
	seen := ""
	for _, h := range head.Headers {
		if h.Name == "X-Seen" {
			seen = h.Value
		}
	}
	if want := "PATCH /a%2Fb//c?x=1&x=2 [7 8] in"; head.Status != http.StatusTeapot || seen != want {
		t.Errorf("status %d, service saw %q, want %q", head.Status, seen, want)
	}
	_, err = c.Run(t.Context(), testAttempt, &state.Request{Kind: state.PlainCall, Method: "GET", Path: "/cut"}, func(state.AttemptEvent) {})
	var unknown *side.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Errorf("cut-off body: error %v, want an unknown outcome", err)
	}
}

// observer collects the reports of Watch.
type observer struct {
	loads  chan side.Load
	stored chan []uint64
}

func (o *observer) LoadReported(l side.Load)              { o.loads <- l }
func (o *observer) CacheChanged(stored, evicted []uint64) { o.stored <- append(stored, evicted...) }

// Guards against a poller that stops at a gap or repeats cache events, and against
// listing requests whose ids are not attempt ids.
func TestReports(t *testing.T) {
	c := startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/load":
			io.WriteString(w, `{"running":2,"waiting":1,"models":[{"name":"m","version":"1"}],"time":"2026-01-02T03:04:05Z"}`)
		case "/cache/events":
			switch r.FormValue("from") {
			case "0":
				io.WriteString(w, `{"next":6,"events":[{"seq":0,"type":"stored","blocks":["18446744073709551615"]},{"seq":5,"type":"evicted","blocks":["1"]}]}`)
			case "6":
				io.WriteString(w, `{"next":7,"events":[{"seq":6,"type":"stored","blocks":["2","3"]}]}`)
			default:
				io.WriteString(w, `{"next":7,"events":[]}`)
			}
		case "/v1/requests":
			io.WriteString(w, `{"requests":[{"id":"e:1:2:3","state":"running","events":4},{"id":"e:1:2:4","state":"done","events":5},{"id":"other","state":"running","events":1}]}`)
		}
	}), false)
	gaps := missedCacheEvents.Value()
	o := &observer{loads: make(chan side.Load, 100), stored: make(chan []uint64, 100)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Watch(ctx, o)
	}()
	if diff := cmp.Diff([]state.ModelSpec{{Name: "m", Version: "1"}}, (<-o.loads).Models); diff != "" {
		t.Error(diff)
	}
	got := [][]uint64{<-o.stored, <-o.stored}
	cancel()
	<-done
	if diff := cmp.Diff([][]uint64{{1<<64 - 1, 1}, {2, 3}}, got); diff != "" {
		t.Error(diff)
	}
	if n := missedCacheEvents.Value() - gaps; n != 4 {
		t.Errorf("counted %d missing cache events, want 4", n)
	}
	live, err := c.ListAttempts(t.Context())
	want := []side.TargetAttempt{
		{Attempt: state.AttemptID{Entry: "e", Incarnation: 1, Session: 2, Seq: 3}, Chunks: 4},
		{Attempt: state.AttemptID{Entry: "e", Incarnation: 1, Session: 2, Seq: 4}, Chunks: 4, Done: true},
	}
	if diff := cmp.Diff(want, live); err != nil || diff != "" {
		t.Error(err, diff)
	}
}
