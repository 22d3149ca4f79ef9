package gatewayhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/transport/upstream"
)

// startClosingTarget runs a target that answers one request with a stream that has
// neither a length nor chunks, sends text as its body and closes the connection.
func startClosingTarget(t *testing.T, text string) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+text)
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}()
	return ln.Addr().String()
}

// Guards against the whole path from a target's connection to the caller's turning the
// end of a crashed target's connection into the regular end of a stream.
func TestStreamOfCrashedTargetHasNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		sent, want string
		complete   bool
	}{
		"inside an event":       {"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", false},
		"after the last event":  {"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", true},
		"inside the first one":  {"id: 1\nda", "", false},
		"before the first one":  {"", "", false},
		"inside the empty line": {"id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r", "id: 1\ndata: a\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			target, client := startClosingTarget(t, c.sent), upstream.New()
			_, address := startServer(t, func(ctx context.Context, f *gateway.Forward) (gateway.Exchange, error) {
				f.Target.Address = target
				return client.Send(ctx, f)
			})
			conn := dial(t, address)
			resp, body, err := roundTrip(t, conn, bufio.NewReader(conn), "POST /stream/x"+requestHead+"Content-Length: 0\r\n\r\n")
			complete := err == nil && resp.StatusCode == http.StatusOK
			if complete != c.complete || body != c.want {
				t.Errorf("response %v with body %q, error %v; want complete %t with body %q", resp, body, err, c.complete, c.want)
			}
		})
	}
}
