package engine

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a stream of a plain service that is broken off inside an event, or
// before the first one, and passes for complete because its body has neither a length
// nor chunks and ends without an error.
func TestPlainStreamEndingInsideEventIsUnknown(t *testing.T) {
	for _, c := range []struct {
		name, mediaType, body string
		complete              bool
	}{
		{"inside an event", "text/event-stream; charset=utf-8", "data: a\n\ndata: b", false},
		{"inside the empty line", "text/event-stream", "data: a\n\ndata: b\n", false},
		{"before the first event", "text/event-stream", "", false},
		{"after a comment", "text/event-stream", ": waiting\n\n", false},
		{"after the last event", "text/event-stream", "data: a\n\ndata: b\r\n\r\n", true},
		{"of a body that is no stream", "text/plain", "data: a\n\ndata: b", true},
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
			if got.String() != c.body || (err == nil) != c.complete || err != nil && !errors.As(err, &unknown) {
				t.Errorf("body %q, error %v; want %q, complete %t", got.String(), err, c.body, c.complete)
			}
		})
	}
}
