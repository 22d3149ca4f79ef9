package engine

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a whole response without a body, of status 204 or 304, whose outcome counts as unknown
// because it states no length: its end is known from its head, also if its service ends right behind it.
func TestPlainResponseWithoutBodyIsWhole(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		for _, mediaType := range []string{"text/event-stream", "text/plain"} {
			for _, ends := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d %s, ends %t", status, mediaType, ends), func(t *testing.T) {
					listener, err := net.Listen("tcp4", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					defer listener.Close()
					go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						w.Header().Set("Content-Type", mediaType)
						if w.WriteHeader(status); ends {
							listener.Close()
						}
					}))
					client := New(Config{Address: listener.Addr().String(), PlainService: true, Log: zap.NewNop()})
					req := &state.Request{Kind: state.PlainCall, Method: http.MethodGet, Path: "/x"}
					if _, err := client.Run(t.Context(), testAttempt, req, func(state.AttemptEvent) {}); err != nil {
						t.Errorf("error %v, want a complete response", err)
					}
				})
			}
		}
	}
}
