package engine

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/emulator"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a response in chunks, or an empty one, that passes for complete although its service
// was told to end and has cancelled its handlers: the HTTP server of the service ends it properly.
func TestPlainResponseInChunksEndingWithItsTargetIsUnknown(t *testing.T) {
	for _, c := range []struct {
		name, method, body string
		status             int
		ends, unknown      bool
	}{
		{"ends", http.MethodGet, "data: a\n\n", http.StatusOK, true, true},
		{"ends before the first byte", http.MethodGet, "", http.StatusOK, true, true},
		{"runs", http.MethodGet, "data: a\n\n", http.StatusOK, false, false},
		{"ends behind a response to HEAD", http.MethodHead, "", http.StatusOK, true, false},
		{"ends behind status 204", http.MethodGet, "", http.StatusNoContent, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := runAtPlainService(t, c.method, func(w http.ResponseWriter, end func()) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(c.status)
				if c.body != "" {
					io.WriteString(w, c.body)
					http.NewResponseController(w).Flush() // in chunks
				}
				if c.ends {
					end()
				}
			})
			var unknown *side.UnknownOutcomeError
			if errors.As(err, &unknown) != c.unknown || !c.unknown && err != nil {
				t.Errorf("error %v, want unknown %t", err, c.unknown)
			}
		})
	}
}

// runAtPlainService runs a request at a plain service of its own, and returns its error. handle answers it, and
// may end the service, which accepts no connection then.
func runAtPlainService(t *testing.T, method string, handle func(w http.ResponseWriter, end func())) error {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handle(w, func() { listener.Close() })
	}))
	client := New(Config{Address: listener.Addr().String(), PlainService: true, Log: zap.NewNop()})
	req := &state.Request{Kind: state.PlainCall, Method: method, Path: "/x"}
	_, err = client.Run(t.Context(), testAttempt, req, func(state.AttemptEvent) {})
	return err
}

// Guards against a response without length or chunks that passes for complete although its service was killed
// inside it: a relay before the service goes on accepting connections.
func TestPlainResponseWithoutLengthBehindRelayIsUnknown(t *testing.T) {
	service, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer front.Close()
	relay := &emulator.Relay{}
	relay.SetTarget(service.Addr().String())
	go relay.Serve(front)
	go http.Serve(service, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncut")
		service.Close()
		conn.Close()
	}))
	client := New(Config{Address: front.Addr().String(), PlainService: true, Log: zap.NewNop()})
	req := &state.Request{Kind: state.PlainCall, Method: http.MethodGet, Path: "/x"}
	_, err = client.Run(t.Context(), testAttempt, req, func(state.AttemptEvent) {})
	var unknown *side.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Errorf("error %v, want that the outcome is unknown", err)
	}
}
