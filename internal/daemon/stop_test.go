package daemon

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/entryhttp"
)

// stopTarget is the one target of a stoppedEntry. An attempt for model "queued" waits in
// its queue, one for model "large" is answered with largeResponse, and any other runs
// without an event. Its sessions end with the process, and no new one can be opened.
type stopTarget struct {
	entry.Placer // nil: tests use only the methods below
	ended        <-chan struct{}
	dispatched   chan struct{} // receives a value for each attempt
}

// largeResponse exceeds what the sockets of a connection take without a reader.
var largeResponse = `{"choices":[{"index":0,"text":"` + strings.Repeat("x", 12<<20) + `"}]}`

func (s *stopTarget) Place(q entry.Query) (entry.Decision, bool) {
	return entry.Decision{Target: "t"}, len(q.Tried) == 0
}
func (s *stopTarget) IsLeaving(state.TargetID) bool { return false }
func (s *stopTarget) AttemptSent(state.TargetID, state.AttemptID, *state.Request, []uint64) {
}
func (s *stopTarget) AttemptEnded(state.TargetID, state.AttemptID, entry.Outcome) {}
func (s *stopTarget) FiguresReceived(state.TargetID, *state.LoadFigures)          {}
func (s *stopTarget) TargetsWithRoom(entry.Query, state.Tier) []state.TargetID    { return nil }
func (s *stopTarget) CompareWaits(state.TargetID, entry.Query) (a, b time.Duration, ok bool) {
	return 0, 0, false
}

func (s *stopTarget) Reserve(context.Context, state.TargetID) (state.Reservation, error) {
	select {
	case <-s.ended:
		return state.Reservation{}, errors.New("no session")
	default:
		return state.Reservation{Target: "t"}, nil
	}
}

func (s *stopTarget) Dispatch(_ context.Context, _ state.Reservation, req *state.Request) (entry.AttemptStream, error) {
	a := &stopAttempt{target: s, events: make(chan state.AttemptEvent, 4)}
	switch req.Model {
	case "queued":
		a.queued = true
		a.events <- &state.Queued{}
	case "large":
		a.events <- &state.Chunk{Data: []byte(largeResponse)}
		a.events <- &state.Done{Chunks: 1}
	default:
		a.events <- &state.Started{}
	}
	s.dispatched <- struct{}{}
	return a, nil
}

func (s *stopTarget) Attach(context.Context, state.TargetID, *state.Attach) (entry.AttemptStream, error) {
	return nil, errors.New("no session")
}

func (s *stopTarget) Void(context.Context, state.TargetID, *state.Void) (state.AttemptState, error) {
	return state.AttemptState{}, errors.New("no session")
}

// stopAttempt is an attempt at a stopTarget.
type stopAttempt struct {
	target *stopTarget
	queued bool
	events chan state.AttemptEvent
}

func (a *stopAttempt) Next(ctx context.Context) (state.AttemptEvent, error) {
	select {
	case e := <-a.events:
		return e, nil
	case <-a.target.ended:
		return nil, entry.ErrSessionLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (a *stopAttempt) Withdraw() error {
	if a.queued {
		a.events <- &state.Refused{Reason: state.ReasonWithdrawn}
	}
	return nil
}
func (a *stopAttempt) Cancel() error { return nil }
func (a *stopAttempt) Ack() error    { return nil }
func (a *stopAttempt) Close()        {}

// stoppedEntry is the part of an entry process that serves callers, with one target.
type stoppedEntry struct {
	process *process
	target  *stopTarget
	address string
	stop    context.CancelFunc // begins the planned stop
	conns   *acceptedConns
}

// acceptedConns is a listener that can close what it has accepted, as the system does
// when a process ends.
type acceptedConns struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *acceptedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, c)
	}
	return c, err
}

func startStoppedEntry(t *testing.T, times stopTimes) *stoppedEntry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &stoppedEntry{address: ln.Addr().String(), conns: &acceptedConns{Listener: ln}, process: &process{log: zap.NewNop()}}
	p := e.process
	p.stopping, e.stop = context.WithCancel(t.Context())
	var running context.Context
	running, p.cancelRunning = context.WithCancel(context.Background())
	p.group, p.running = errgroup.WithContext(running)
	e.target = &stopTarget{ended: p.running.Done(), dispatched: make(chan struct{}, 100)}
	sum := sha256.Sum256([]byte("secret"))
	bundle := &state.Bundle{
		Tiers:     []state.TierPolicy{{Name: "normal", Timeout: state.Duration(time.Hour)}},
		Customers: []state.CustomerPolicy{{Name: "c", KeySHA256: []string{hex.EncodeToString(sum[:])}, RequestsPerSecond: 1000, Burst: 1000, Weight: 1, HighestTier: "normal"}},
		Services:  []state.ServicePolicy{{Name: "llm", Kind: state.EngineService, Models: []string{"queued", "running", "large"}, DefaultTier: "normal", MaxTokens: 50}},
		Retry:     state.RetryPolicy{Placements: 4, BackoffBase: state.Duration(time.Millisecond), BackoffMax: state.Duration(time.Millisecond)},
	}
	current := func() *state.Bundle { return bundle }
	service := entry.New(entry.Config{Peers: e.target, Placer: e.target, Bundle: current, MaxOpen: 100, Log: zap.NewNop()})
	server := entryhttp.New(entryhttp.Config{Service: service, Bundle: current, MaxConnections: 100, MaxBodyBytes: 64 << 20, Log: zap.NewNop()})
	p.serveCallers(e.conns, service, server, times)
	return e
}

// waitEnd waits until the process has ended, and then closes its connections.
func (e *stoppedEntry) waitEnd() error {
	err := e.process.group.Wait()
	e.conns.mu.Lock()
	defer e.conns.mu.Unlock()
	for _, c := range e.conns.conns {
		c.Close()
	}
	return err
}

// send sends a request for a completion on a connection of its own.
func (e *stoppedEntry) send(t *testing.T, body string, idempotent bool) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nCassiaramp-Idempotent: %t\r\nContent-Length: %d\r\n\r\n%s", idempotent, len(body), body)
	<-e.target.dispatched
	return c
}

// Guards against requests whose connections are closed without an answer when the time
// limit of a planned stop is reached, and against an answer other than "not run" for a
// request that its target still has in its queue.
func TestStopLimitAnswersOpenRequests(t *testing.T) {
	e := startStoppedEntry(t, stopTimes{limit: 50 * time.Millisecond, refusal: refusalPeriod, close: closeTimeout})
	type caller struct {
		name    string
		conn    net.Conn
		outcome string
	}
	var callers []caller
	for _, model := range []string{"queued", "running"} {
		outcome := map[string]string{"queued": "not-run", "running": "unknown"}[model]
		for _, stream := range []bool{false, true} {
			for _, idempotent := range []bool{false, true} {
				conn := e.send(t, fmt.Sprintf(`{"model":%q,"stream":%t}`, model, stream), idempotent)
				callers = append(callers, caller{fmt.Sprintf("%s, stream %t, idempotent %t", model, stream, idempotent), conn, outcome})
			}
		}
	}
	e.stop()
	if err := e.waitEnd(); err == nil {
		t.Error("the stop that reached its time limit reports no error")
	}
	for _, c := range callers {
		resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", c.name, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if got := resp.Header.Get("Cassiaramp-Outcome"); err != nil || got != c.outcome {
			t.Errorf("%s: status %d, outcome %q, body %s, error %v; want outcome %q", c.name, resp.StatusCode, got, body, err, c.outcome)
		}
	}
}

// Guards against a planned stop that cuts off a response whose caller reads slowly,
// because the request no longer counts as open while its response is being sent.
func TestStopSendsWholeResponses(t *testing.T) {
	e := startStoppedEntry(t, stopTimes{limit: time.Minute, refusal: 10 * time.Millisecond, close: 10 * time.Millisecond})
	conn := e.send(t, `{"model":"large"}`, true)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	e.stop()
	ended := make(chan struct{})
	var stopErr error
	go func() {
		defer close(ended)
		stopErr = e.waitEnd()
	}()
	select {
	case <-ended:
		t.Error("the process ended before its response was read")
	case <-time.After(time.Second): // far longer than the stop takes without the response
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) < 12<<20 {
		t.Errorf("read %d bytes of the response, error %v", len(body), err)
	}
	<-ended
	if stopErr != nil {
		t.Errorf("the stop failed: %v", stopErr)
	}
}

// Guards against a planned stop that closes a connection on which a request is still
// arriving. Its caller must learn that the request was not run.
func TestStopAnswersRequestThatArrivesSlowly(t *testing.T) {
	e := startStoppedEntry(t, stopTimes{limit: time.Minute, refusal: 10 * time.Millisecond, close: 10 * time.Millisecond})
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"model":"running"}`
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
	reader := bufio.NewReader(conn)
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("got %v, error %v, want status 100", resp, err)
	}
	e.stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.waitEnd()
	}()
	select {
	case <-ended:
		t.Error("the process ended before the request had arrived")
	case <-time.After(time.Second): // far longer than the stop takes without the request
	}
	io.WriteString(conn, body)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if got := resp.Header.Get("Cassiaramp-Outcome"); resp.StatusCode != http.StatusServiceUnavailable || got != "not-run" {
		t.Errorf("status %d, outcome %q, want 503 and not-run", resp.StatusCode, got)
	}
	<-ended
}
