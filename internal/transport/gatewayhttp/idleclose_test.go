package gatewayhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

// Guards against giving up a request without a body that was read just before the idle
// connections are closed: net/http takes the expired read deadline for a caller that left.
func TestRequestReadBeforeIdleCloseIsAnswered(t *testing.T) {
	s := &Server{Gateway: newGateway(respondUnlessCancelled), Log: zap.NewNop()}
	server := s.newHTTPServer()
	var closeOnRead atomic.Bool
	server.ConnState = func(c net.Conn, st http.ConnState) {
		if st == http.StateActive && closeOnRead.Load() {
			s.connections.closeIdle(time.Now(), 0)
		}
		s.connections.track(c, st)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- netconn.Serve(t.Context(), server, ln) }()
	t.Cleanup(func() {
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	conn := dial(t, ln.Addr().String())
	responses := bufio.NewReader(conn)
	for i := range 4 {
		if i > 0 {
			waitUntilIdle(t, s)
			closeOnRead.Store(true)
		}
		resp, body, err := roundTrip(t, conn, responses, "GET /plain/x"+requestHead+"\r\n")
		if err != nil || resp.StatusCode != http.StatusOK || body != "whole" {
			t.Fatalf("request %d: response %v, body %q, error %v; want a whole response", i, resp, body, err)
		}
	}
}

// respondUnlessCancelled responds a moment after the request is sent, unless that is
// cancelled before.
func respondUnlessCancelled(ctx context.Context, f *gateway.Forward) (gateway.Exchange, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(20 * time.Millisecond):
		return respond(ctx, f)
	}
}

// waitUntilIdle returns when the server has one idle connection.
func waitUntilIdle(t *testing.T, s *Server) {
	t.Helper()
	for {
		_, n := s.connections.count()
		if n == 1 {
			return
		}
		if t.Context().Err() != nil {
			t.Fatal("the connection does not become idle")
		}
		time.Sleep(time.Millisecond)
	}
}
