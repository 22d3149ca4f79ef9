package platformclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
)

// Guards against a response of the platform that is believed although its status is none of HTTP: fasthttp
// returns 200 for 000. An append would count as done, and a page of the log as read.
func TestUnknownStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			service := new(logtest.Log)
			l := newLogClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				answer := httptest.NewRecorder()
				service.Handler().ServeHTTP(answer, r)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, answer.Body.Len(), answer.Body)
			}))
			if offset, err := l.Append(t.Context(), "s", logstream.Entry{ID: "a"}); err == nil {
				t.Errorf("an append counts as done, at offset %d", offset)
			}
			if page, err := l.Read(t.Context(), "s", 0, 1, 0); err == nil {
				t.Errorf("page %+v is believed", page)
			}
		})
	}
}

// Guards against a status that is checked for the first response of a connection only.
func TestUnknownStatusOnKeptConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var answered atomic.Int64
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if answered.Add(1) == 1 {
			io.WriteString(w, "first")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		io.WriteString(conn, "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}")
	}))
	e, err := newEndpoint("test", "http://"+ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	call := func() (*response, error) {
		return e.call(context.WithoutCancel(t.Context()), CallTimeout, http.MethodGet, "/", nil, nil)
	}
	if resp, err := call(); err != nil || string(resp.body) != "first" {
		t.Fatalf("response %+v, error %v", resp, err)
	}
	if resp, err := call(); err == nil {
		t.Errorf("response %+v is believed", resp)
	}
}
