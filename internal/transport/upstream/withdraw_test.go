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

// Guards against a target that is not told that a request is withdrawn, against losing the
// response of one that goes on, and against a further request on the connection.
func TestWithdrawnRequest(t *testing.T) {
	for name, goesOn := range map[string]bool{"abandoned": false, "answered": true} {
		t.Run(name, func(t *testing.T) {
			told := make(chan struct{})
			address, opened := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				for discardRequest(r) {
					if _, err := r.ReadByte(); err == io.EOF {
						close(told)
						if !goesOn {
							return
						}
						respond(t, c, response("a", "ok"))
					}
				}
			})
			client := New()
			ex, err := begin(t.Context(), client, state.TargetRecord{ID: "t", Address: address}, "a", nil)
			if err != nil {
				t.Fatal(err)
			}
			w := ex.(gateway.Withdrawer)
			if !w.Withdraw() {
				t.Skip("there is no TCP_INFO")
			}
			<-told
			for !w.Reached() { // until the end of the test
				time.Sleep(time.Millisecond)
			}
			head, err := ex.Head()
			if goesOn != (err == nil) {
				t.Fatalf("response %+v, error %v; want a response: %t", head, err, goesOn)
			}
			if goesOn {
				body, err := io.ReadAll(ex)
				if err != nil || string(body) != "ok" {
					t.Errorf("body %q, error %v", body, err)
				}
			}
			ex.Close(goesOn)
			if n := len(client.idle[address]); n != 0 || opened.Load() != 1 {
				t.Errorf("%d of %d connections are kept, want none of 1", n, opened.Load())
			}
		})
	}
}
