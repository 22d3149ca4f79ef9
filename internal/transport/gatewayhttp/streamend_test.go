package gatewayhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
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

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, whose
// responses have no chunks and end with the connection.
func TestBrokenStreamResetsConnectionWithoutChunks(t *testing.T) {
	for name, c := range map[string]struct {
		body     io.Reader
		complete bool
	}{
		"broken": {io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), brokenReader{}), false},
		"whole":  {strings.NewReader("id: 1\ndata: a\n\n"), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, func(context.Context, *gateway.Forward) (gateway.Exchange, error) {
				return &fakeExchange{Reader: c.body}, nil
			})
			conn := dial(t, address)
			request := "POST /stream/x HTTP/1.0\r\nHost: 127.0.0.1\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n"
			resp, body, err := roundTrip(t, conn, bufio.NewReader(conn), request)
			if complete := err == nil; complete != c.complete || body != "id: 1\ndata: a\n\n" {
				t.Errorf("response %v with body %q, error %v; want the event and complete %t", resp, body, err, c.complete)
			}
		})
	}
}
