package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a stream of a plain service that is broken off inside an event, or
// before the first one, and passes for complete because its body has neither a length
// nor chunks and ends without an error.
func TestPlainStreamEndingInsideEventIsUnknown(t *testing.T) {
	for _, c := range []struct {
		name, mediaType, body, want string
		complete                    bool
	}{
		{"inside an event", "text/event-stream; charset=utf-8", "data: a\n\ndata: b", "data: a\n\n", false},
		{"inside the empty line", "text/event-stream", "data: a\n\ndata: b\n", "data: a\n\n", false},
		{"before the first event", "text/event-stream", "", "", false},
		{"after a comment", "text/event-stream", ": waiting\n\n", ": waiting\n\n", false},
		{"after the last event", "text/event-stream", "data: a\n\ndata: b\r\n\r\n", "data: a\n\ndata: b\r\n\r\n", true},
		{"before bytes of no request", "text/event-stream", "id: 1\n\nok\r\n\r\n", "id: 1\n\n", false},
		{"before another response", "text/event-stream", "id: 1\n\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "id: 1\n\n", true},
		{"of a body that is no stream", "text/plain", "data: a\n\ndata: b", "data: a\n\ndata: b", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.mediaType)
				w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				if _, err := io.WriteString(w, c.body); err != nil {
					t.Error(err)
				}
			}), true)
			var got strings.Builder
			_, err := client.Run(t.Context(), testAttempt, &state.Request{Kind: state.PlainCall, Method: "GET", Path: "/x"}, func(e state.AttemptEvent) {
				if chunk, ok := e.(*state.Chunk); ok {
					got.Write(chunk.Data)
				}
			})
			var unknown *side.UnknownOutcomeError
			if got.String() != c.want || (err == nil) != c.complete || err != nil && !errors.As(err, &unknown) {
				t.Errorf("body %q, error %v; want %q, complete %t", got.String(), err, c.want, c.complete)
			}
		})
	}
}

// Guards against a response of a plain service that passes for complete although the service has
// crashed in the middle of it: without a length or chunks, its body ends without an error then.
func TestPlainResponseEndingWithItsTargetIsUnknown(t *testing.T) {
	for _, mediaType := range []string{"text/event-stream", "text/plain"} {
		for _, crashes := range []bool{false, true} {
			err := runAtPlainService(t, http.MethodGet, func(w http.ResponseWriter, end func()) {
				w.Header().Set("Content-Type", mediaType)
				w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
				if io.WriteString(w, "data: a\n\n"); crashes {
					end()
				}
			})
			var unknown *side.UnknownOutcomeError
			if errors.As(err, &unknown) != crashes {
				t.Errorf("%s, crashes %t: error %v", mediaType, crashes, err)
			}
		}
	}
}

// Guards against a stream that never ends because the engine sends a comment or a part of an
// event now and then, and against cutting one whose events are slow but come.
func TestStalledStreamWithCommentsIsUnknown(t *testing.T) {
	for name, filler := range map[string]string{"comments": ": alive\n\n", "parts of an event": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					fmt.Fprint(w, "id: 0\ndata: a\n\n")
				}
				for r.Method != http.MethodDelete && r.Context().Err() == nil {
					fmt.Fprint(w, filler)
					w.(http.Flusher).Flush()
					time.Sleep(20 * time.Millisecond)
				}
			}), false)
			client.cfg.StallTimeout = 600 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := client.Run(ctx, testAttempt, &state.Request{Kind: state.Completion, Body: []byte("{}")}, func(state.AttemptEvent) {})
			var unknown *side.UnknownOutcomeError
			if !errors.As(err, &unknown) || unknown.Reason != state.ReasonTargetSilent {
				t.Errorf("got error %v, want an unknown outcome because the target is silent", err)
			}
		})
	}
	slow := startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i, data := range []string{"a", "b", "[DONE]"} {
			for range 20 { // longer than StreamIdleTimeout, but not without a byte
				fmt.Fprint(w, ": alive\n\n")
				w.(http.Flusher).Flush()
				time.Sleep(50 * time.Millisecond)
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		}
	}), false)
	if _, err := slow.Run(t.Context(), testAttempt, &state.Request{Kind: state.Completion, Body: []byte("{}")}, func(state.AttemptEvent) {}); err != nil {
		t.Errorf("slow stream: %v", err)
	}
}
