package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against the end of a response that is taken for later than it was because the entry read it
// late, so that a whole stream is broken off, and against one that is taken for earlier than it was,
// so that an end that the target made at its time limit counts as that of a whole stream.
func TestArrivalOfEndThatIsReadLate(t *testing.T) {
	const pause = 200 * time.Millisecond
	const chunk, end = "2\r\nok\r\n", "0\r\n\r\n"
	const chunked = responseStart + "a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		pieces []string // pause after each
		known  bool
	}{
		"read late":                     {[]string{chunked + chunk + end, ""}, true},
		"end comes late":                {[]string{chunked + chunk, end}, true},
		"end comes late, is read later": {[]string{chunked + chunk, end, ""}, true},
		"other bytes behind the end":    {[]string{chunked + chunk + end, "late", ""}, true},
		"without length or chunks":      {[]string{responseStart + "a\r\nConnection: close\r\n\r\nok"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written := make(chan time.Time, len(c.pieces)) // when the writing of each piece began
			address, _ := startTarget(t, func(conn net.Conn, r *bufio.Reader) {
				discardRequest(r)
				for _, piece := range c.pieces {
					written <- time.Now()
					respond(t, conn, piece)
					time.Sleep(pause)
				}
				close(written)
			})
			ex, err := begin(t.Context(), New(), state.TargetRecord{ID: "t", Address: address}, "a", nil)
			if err != nil {
				t.Fatal(err)
			}
			defer ex.Close(false)
			if _, err := ex.Head(); err != nil {
				t.Fatal(err)
			}
			var sent []time.Time
			for at := range written {
				sent = append(sent, at)
			}
			if body, err := io.ReadAll(ex); err != nil || string(body) != "ok" {
				t.Fatalf("body %q, error %v", body, err)
			}
			_, at, known := ex.(gateway.ConnectionWatcher).Received()
			if known != c.known {
				t.Fatalf("known %t, want %t", known, c.known)
			}
			if !known {
				return
			}
			last := 0
			for i, piece := range c.pieces {
				if piece != "" {
					last = i
				}
			}
			if late := at.Sub(sent[last]); late < 0 || last+1 < len(c.pieces) && at.After(sent[last+1]) {
				t.Errorf("arrived %s after the last bytes were sent, want 0 to %s", late, pause)
			}
		})
	}
}
