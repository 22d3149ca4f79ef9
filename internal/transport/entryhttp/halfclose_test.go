package entryhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a response that looks complete, with an empty body or a part of one, to a caller
// that has closed only its sending side, upon which the entry gives the request up.
func TestHalfClosedCallerGetsNoCompleteResponse(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		chunks     []string // sent before the caller closes its sending side
	}{
		"assembled":    {chatPath, `{"model":"m"}`, nil},
		"stream":       {chatPath, `{"model":"m","stream":true}`, nil},
		"begun stream": {chatPath, `{"model":"m","stream":true}`, []string{`{"choices":[]}`}},
		"plain":        {"/services/app/", "", nil},
		"begun plain":  {"/services/app/", "", []string{strings.Repeat("p", maxPlainBufferBytes+1)}},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				begun := make(chan struct{})
				address := serveOnLoopback(t, serviceFunc(func(ctx context.Context, r *state.Request, sink entry.Sink) entry.Result {
					if len(c.chunks) > 0 {
						sink.Head(&state.Head{Status: http.StatusOK})
					}
					respondWith(completeResult, c.chunks...)(ctx, r, sink)
					close(begun)
					<-ctx.Done()
					return entry.Result{Kind: entry.Cancelled}
				}))
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", c.path, version, len(c.body), c.body)
				<-begun
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if b, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode < http.StatusBadRequest {
					t.Errorf("status %d with %d bytes, which looks complete", resp.StatusCode, len(b))
				}
			})
		}
	}
}
