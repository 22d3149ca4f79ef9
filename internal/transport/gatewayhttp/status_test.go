package gatewayhttp

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against an answer whose status HTTP does not know (it knows 100 to 599) that reaches the caller
// as an answer of the target, or counts as another outcome than bytes that are no answer: the caller gets
// a 502, after as many sends.
func TestAnswerWithUnknownStatusIsNone(t *testing.T) {
	sends := map[string]int64{} // by route
	for route, path := range rawPaths {
		sends[route] = expectNoAnswer(t, route, path, "no answer\r\n\r\n")
	}
	for _, status := range []string{"000", "099", "600", "999", "2000", "-12", "+12", "-00", "20", "2x0", "abc", ""} {
		t.Run("status "+status, func(t *testing.T) {
			t.Parallel()
			for route, path := range rawPaths {
				answer := "HTTP/1.1 " + status + " OK\r\nRequest-Id: r\r\nResponse-Signature: s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n"
				if n := expectNoAnswer(t, route, path, answer); n != sends[route] {
					t.Errorf("%s: the target received %d requests, want %d", route, n, sends[route])
				}
			}
		})
	}
}

// expectNoAnswer sends a request to a server whose target sends text and keeps its connection open. It
// reports a response other than 502 as an error, and returns how many requests the target received.
func expectNoAnswer(t *testing.T, route, path, text string) int64 {
	t.Helper()
	var received atomic.Int64
	target := rawTarget{answer: text, readsBody: true, end: keepOpen, received: &received}
	resp, body, err := upload(t, startRawServer(t, target), path, "HTTP/1.1", 10)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%s: response %+v with body %q, error %v; want 502", route, resp, body, err)
	}
	return received.Load()
}
