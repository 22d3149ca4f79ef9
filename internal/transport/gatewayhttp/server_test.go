package gatewayhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

// targetClientFunc is a gateway.TargetClient whose Send calls the function.
type targetClientFunc func(ctx context.Context, f *gateway.Forward) (gateway.Exchange, error)

func (f targetClientFunc) Refuses(context.Context, string) bool { return false }

func (f targetClientFunc) Closes(context.Context, string) bool { return false }

func (f targetClientFunc) IdleClosedAt(state.TargetID, string) time.Time { return time.Time{} }

func (f targetClientFunc) CheckRunning(context.Context, *state.TargetRecord, string) gateway.RunCheck {
	return gateway.RunCheck{Liveness: gateway.Running}
}

func (f targetClientFunc) Send(ctx context.Context, forward *gateway.Forward) (gateway.Exchange, error) {
	return f(ctx, forward)
}

// fakeExchange is a response with status 200 whose body is read from Reader.
type fakeExchange struct {
	io.Reader
	header  []state.HeaderField
	arrived time.Time // zero if it is not known
}

func (e *fakeExchange) Head() (*state.Response, error) {
	return &state.Response{Status: 200, HasSignature: true, Header: e.header}, nil
}
func (e *fakeExchange) Close(bool) {}

// StaysOpen implements gateway.ConnectionWatcher.
func (e *fakeExchange) StaysOpen(time.Duration) bool { return true }

// Received implements gateway.ConnectionWatcher.
func (e *fakeExchange) Received() (earliest, latest time.Time, known bool) {
	return e.arrived, e.arrived, !e.arrived.IsZero()
}

type noObserver struct{}

func (noObserver) TargetEjected(state.TargetID, state.Service, dispatch.Outcome, time.Duration) {}
func (noObserver) TargetReturned(state.TargetID, state.Service)                                 {}
func (noObserver) RateLimitChanged(*ratelimit.Change)                                           {}
func (noObserver) TargetLeaving(state.TargetID, state.Service)                                  {}
func (noObserver) TargetPaused(state.TargetID, state.Service, time.Duration)                    {}

// newGateway returns a gateway with one target, which send stands for.
func newGateway(send targetClientFunc) *gateway.Service { return newGatewayTo(send, "t") }

// newGatewayTo returns a gateway with one target at an address, to which client sends requests.
func newGatewayTo(client gateway.TargetClient, address string) *gateway.Service {
	scheduler := dispatch.New("a", 1, time.Now, noObserver{}, ratelimit.New(ratelimit.Config{Self: "self"}))
	scheduler.SetTargets([]state.TargetRecord{{ID: "t", Service: "s", Address: address, Slots: 4}})
	g := gateway.New(gateway.Config{
		Scheduler: scheduler, TargetClient: client, Quota: quota.New(quota.Config{Tolerance: quota.Tolerance{Window: time.Second}}),
		Quarantine: quarantine.New(quarantine.Config{}), Origins: origin.New(time.Now(), true), Refusals: refusal.NewLog(), RetryWindow: time.Second, RetrySlack: func() float64 { return 0 }, Memory: memory.New(memory.Limits{Responses: 1 << 20}), Log: zap.NewNop(), Counters: gateway.NewCounters(false),
	})
	route := func(prefix string, kind state.RouteKind) state.Route {
		return state.Route{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second, Objective: time.Second,
			MaxAttempts: 1, Split: []state.ServiceWeight{{Service: "s", Weight: 1}},
		}
	}
	g.SetConfiguration(&state.Configuration{
		Version: 1, Routes: []state.Route{route("/plain/", state.NonIdempotentRoute), route("/stream/", state.StreamingRoute)},
		Limits: state.CallerLimits{MaxBodyBytes: 100, MaxHeaderBytes: 2000},
	})
	return g
}

// startServer starts a server on loopback, in front of a gateway with one target that
// send stands for. It returns the server and its address.
func startServer(t *testing.T, send targetClientFunc) (*Server, string) {
	t.Helper()
	g := newGateway(send)
	address := netip.AddrPortFrom(conntest.Address(t), 8221).String()
	s := &Server{Gateway: g, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, address) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s, address
}

// dial connects to the server, and retries until it listens.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		c, err := net.Dial("tcp4", address)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return c
		}
		if t.Context().Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// roundTrip sends request and reads the response with its body.
func roundTrip(t *testing.T, c net.Conn, r *bufio.Reader, request string) (*http.Response, string, error) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// requestHead is the head of a request after its target, without the final empty line.
const requestHead = " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: r\r\n"

// respond answers with the body "whole".
func respond(context.Context, *gateway.Forward) (gateway.Exchange, error) {
	return &fakeExchange{Reader: strings.NewReader("whole")}, nil
}

// Guards against invalid requests that reach a target or get no response.
func TestRequestStatus(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"proper":           {"POST /plain/x" + requestHead + "Content-Length: 2\r\n\r\nab", 200},
		"chunked":          {"POST /plain/x" + requestHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200},
		"no identifier":    {"GET /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 400},
		"body too large":   {"POST /plain/x" + requestHead + "Content-Length: 200\r\n\r\n", 413},
		"chunks too large": {"POST /plain/x" + requestHead + "Transfer-Encoding: chunked\r\n\r\nc8\r\n" + strings.Repeat("a", 200) + "\r\n0\r\n\r\n", 413},
		"header too large": {"GET /plain/x" + requestHead + "X: " + strings.Repeat("a", 3000) + "\r\n\r\n", 431},
		"no route":         {"GET /none/x" + requestHead + "\r\n", 404},
		"bad chunk":        {"POST /plain/x" + requestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"not a request":    {"hello\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, respond)
			conn := dial(t, address)
			resp, _, err := roundTrip(t, conn, bufio.NewReader(conn), c.request)
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("response %v, error %v; want %d", resp, err, c.status)
			}
		})
	}
}

// Guards against request smuggling: a request inside a body must not be handled as a
// request of its own.
func TestBodyIsNotARequest(t *testing.T) {
	var bodies []string
	_, address := startServer(t, func(_ context.Context, f *gateway.Forward) (gateway.Exchange, error) {
		bodies = append(bodies, string(f.Call.Body))
		return respond(context.Background(), f)
	})
	conn := dial(t, address)
	inner := "GET /plain/y HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, _, err := roundTrip(t, conn, bufio.NewReader(conn), "POST /plain/x"+requestHead+"Content-Length: "+strconv.Itoa(len(inner))+"\r\n\r\n"+inner); err != nil {
		t.Fatal(err)
	}
	if len(bodies) != 1 || bodies[0] != inner {
		t.Errorf("forwarded bodies %q", bodies)
	}
}

// Guards against a stream that breaks off and looks complete to the caller.
func TestBrokenStreamHasNoEnd(t *testing.T) {
	_, address := startServer(t, func(context.Context, *gateway.Forward) (gateway.Exchange, error) {
		return &fakeExchange{Reader: io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2"), brokenReader{})}, nil
	})
	conn := dial(t, address)
	_, body, err := roundTrip(t, conn, bufio.NewReader(conn), "POST /stream/x"+requestHead+"Content-Length: 0\r\n\r\n")
	if err == nil || body != "id: 1\ndata: a\n\n" {
		t.Errorf("body %q, error %v; want the first event and an error", body, err)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// Guards against work that goes on after the caller has closed its connection.
func TestDisconnectOfCallerCancels(t *testing.T) {
	cancelled, sent := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, func(ctx context.Context, _ *gateway.Forward) (gateway.Exchange, error) {
		close(sent)
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	conn := dial(t, address)
	if _, err := io.WriteString(conn, "GET /plain/x"+requestHead+"\r\n"); err != nil {
		t.Fatal(err)
	}
	<-sent
	conn.Close()
	<-cancelled
}

// Guards against a request that is accepted while a planned stop ends, and is lost when
// the process exits.
func TestNoRequestIsAcceptedOnceAStopEnds(t *testing.T) {
	s, address := startServer(t, respond)
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	s.refuseAll.Store(true)
	s.endRequests(t.Context())
	resp, _, err := roundTrip(t, conn, reader, "GET /plain/x"+requestHead+"\r\n")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %v, error %v; want 503", resp, err)
	}
}
