package gatewayhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

// testCaller is one connection of a caller.
type testCaller struct {
	net.Conn
	in *bufio.Reader
}

// boundedServer is a server in virtual time with a bound of connections.
type boundedServer struct {
	*Server
	t       *testing.T
	ln      *conntest.Listener
	release chan struct{} // closed to let the targets answer requests for /plain/slow
	sent    atomic.Int64  // requests sent to targets
}

// startBounded starts a server on the listener that wrap returns.
func startBounded(t *testing.T, bound int, wrap func(*boundedServer) net.Listener) *boundedServer {
	s := &boundedServer{t: t, ln: conntest.NewListener(), release: make(chan struct{})}
	s.Server = &Server{Log: zap.NewNop(), MaxConnections: bound, Gateway: newGateway(func(ctx context.Context, f *gateway.Forward) (gateway.Exchange, error) {
		s.sent.Add(1)
		if f.Call.Path == "/plain/slow" {
			select {
			case <-s.release:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return respond(ctx, f)
	})}
	ended := make(chan error, 1)
	ln := wrap(s)
	go func() { ended <- s.serve(t.Context(), ln) }()
	t.Cleanup(func() {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

func unwrapped(s *boundedServer) net.Listener { return s.ln }

// tryDial returns a new connection, or nil if the server does not accept it.
func (s *boundedServer) tryDial() *testCaller {
	dialed := make(chan net.Conn, 1)
	go func() { dialed <- s.ln.Dial() }()
	time.Sleep(2 * roomCheckInterval)
	synctest.Wait()
	select {
	case c := <-dialed:
		s.t.Cleanup(func() { c.Close() })
		return &testCaller{Conn: c, in: bufio.NewReader(c)}
	default:
		go func() { // lets the dial end
			(<-dialed).Close()
		}()
		return nil
	}
}

func (s *boundedServer) dial() *testCaller {
	s.t.Helper()
	c := s.tryDial()
	if c == nil {
		s.t.Fatal("the connection is not accepted")
	}
	return c
}

// get sends a request and returns the response, nil if the connection ends without one.
func (c *testCaller) get(path string) *http.Response {
	if _, err := io.WriteString(c, "GET "+path+requestHead+"\r\n"); err != nil {
		return nil
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil
	}
	return resp
}

// start sends a request in the background, and returns where its response arrives.
func (c *testCaller) start(path string) <-chan *http.Response {
	got := make(chan *http.Response, 1)
	go func() { got <- c.get(path) }()
	synctest.Wait()
	return got
}

// isClosed reports whether the server has closed the connection.
func (c *testCaller) isClosed() bool {
	err := c.SetReadDeadline(time.Now().Add(time.Millisecond))
	if err == nil {
		_, err = c.in.Peek(1)
	}
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// wantStatus checks the status of a response and lets the server finish the request.
func wantStatus(t *testing.T, what string, resp *http.Response, status int) {
	t.Helper()
	synctest.Wait()
	if resp == nil || resp.StatusCode != status {
		t.Errorf("%s: response %v, want status %d", what, resp, status)
	}
}

// Guards against idle connections of callers that take all descriptors, so that new callers
// connect and are not read, and against closing a connection that is in use.
func TestLongestIdleConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 5 // an idle connection is closed when the bound is reached
		s := startBounded(t, bound, unwrapped)
		busy := s.dial()
		answer := busy.start("/plain/slow")
		var idle []*testCaller
		for range bound - 2 {
			c := s.dial()
			wantStatus(t, "first request", c.get("/plain/x"), http.StatusOK)
			idle = append(idle, c)
			time.Sleep(100 * time.Millisecond)
		}
		wantStatus(t, "second request of the first caller", idle[0].get("/plain/x"), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
		for range 2 {
			wantStatus(t, "request on a connection at the bound", s.dial().get("/plain/x"), http.StatusOK)
		}
		for i, closed := range []bool{false, true, true} {
			if idle[i].isClosed() != closed {
				t.Errorf("connection %d is closed: %t, want %t", i, !closed, closed)
			}
		}
		close(s.release)
		wantStatus(t, "request in progress", <-answer, http.StatusOK)
	})
}

// Guards against many callers that stay connected after one request each.
func TestIdleConnectionsStayWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 16
		s := startBounded(t, bound, unwrapped)
		for range 10 * bound {
			wantStatus(t, "request", s.dial().get("/plain/x"), http.StatusOK)
			if open, _ := s.connections.count(); open > bound {
				t.Fatalf("%d connections, want up to %d", open, bound)
			}
		}
	})
}

// Guards against connections that are accepted above the bound and not read, and against
// running their requests.
func TestCallersAboveTheBoundAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startBounded(t, 2, unwrapped)
		answers := []<-chan *http.Response{s.dial().start("/plain/slow"), s.dial().start("/plain/slow")}
		for range 3 {
			c := s.dial()
			resp := c.get("/plain/x")
			wantStatus(t, "request above the bound", resp, http.StatusServiceUnavailable)
			if resp != nil && (resp.Header.Get("Retry-After") == "" || !resp.Close) {
				t.Errorf("header %v, want Retry-After and that the connection is closed", resp.Header)
			}
		}
		if n := s.sent.Load(); n != 2 {
			t.Errorf("%d requests were sent, want 2", n)
		}
		close(s.release)
		for _, a := range answers {
			wantStatus(t, "request in progress", <-a, http.StatusOK)
		}
		wantStatus(t, "request when there is room again", s.dial().get("/plain/x"), http.StatusOK)
	})
}

// Guards against a caller that connects above the bound, sends nothing and takes a descriptor
// from others, and against a listener that accepts no more when there is room again.
func TestConnectionsBeyondTheRefusedOnesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startBounded(t, 2, unwrapped)
		answers := []<-chan *http.Response{s.dial().start("/plain/slow"), s.dial().start("/plain/slow")}
		silent := s.dial()
		if s.tryDial() != nil {
			t.Error("a connection is accepted that can neither be served nor refused")
		}
		close(s.release)
		for _, a := range answers {
			wantStatus(t, "request in progress", <-a, http.StatusOK)
		}
		wantStatus(t, "request when there is room again", s.dial().get("/plain/x"), http.StatusOK)
		wantStatus(t, "request of the caller that was silent", silent.get("/plain/x"), http.StatusOK)
	})
}

// shortListener has descriptors for three connections once short is set.
type shortListener struct {
	*conntest.Listener
	connections *connections
	short       atomic.Bool
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (net.Conn, error) {
	if open, _ := l.connections.count(); l.short.Load() && open > 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against idle connections that are kept although there are no descriptors left, because
// the limit is lower than the bound says or others use them.
func TestLackOfDescriptorsClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var short *shortListener
		s := startBounded(t, 0, func(s *boundedServer) net.Listener {
			short = &shortListener{Listener: s.ln, connections: &s.connections}
			return short
		})
		busy, idle := s.dial(), s.dial()
		answer := busy.start("/plain/slow")
		wantStatus(t, "first request", idle.get("/plain/x"), http.StatusOK)
		short.short.Store(true)
		for range 3 {
			wantStatus(t, "request on a new connection", s.dial().get("/plain/x"), http.StatusOK)
		}
		if !idle.isClosed() {
			t.Error("the idle connection is open")
		}
		close(s.release)
		wantStatus(t, "request in progress", <-answer, http.StatusOK)
	})
}
