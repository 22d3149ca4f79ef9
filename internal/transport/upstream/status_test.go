package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a response that is skipped as an interim one although HTTP has no such status, or has
// switched to a protocol that nobody asked for: the request would wait for its time-out, or what follows,
// which may be the body of that response, would be passed on as the answer.
func TestOnlyInterimResponsesAreSkipped(t *testing.T) {
	for status, interim := range map[string]bool{
		"100": true, "102": true, "103": true, "199": true,
		"000": false, "001": false, "099": false, "+12": false, "-00": false, "101": false,
	} {
		t.Run(status, func(t *testing.T) {
			address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				if discardRequest(r) {
					respond(t, c, "HTTP/1.1 "+status+" X\r\n\r\n"+response("a", "ok"))
				}
			})
			_, body, err := send(t, New(), address, "a")
			if skipped := err == nil && body == "ok"; skipped != interim {
				t.Errorf("body %q, error %v; want that the response is skipped: %t", body, err, interim)
			}
		})
	}
}

// Guards against a health check or probe that passes, or identifies a target, by a response whose status
// HTTP does not know, or by what follows it.
func TestUnknownStatusIsNoHealth(t *testing.T) {
	const named = " X\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, path := range []string{"/health", ""} {
			t.Run(strings.TrimPrefix(path, "/")+" "+status, func(t *testing.T) {
				t.Parallel()
				address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
					for {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						respond(t, c, "HTTP/1.1 "+status+named+healthy("i-1"))
					}
				})
				check := New().CheckRunning(t.Context(), &state.TargetRecord{ID: "i-1", Address: address}, path)
				if check.Liveness != gateway.Unproved || check.SameIncarnation {
					t.Errorf("check %+v, want that nothing is proved", check)
				}
			})
		}
	}
}
