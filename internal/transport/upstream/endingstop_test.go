package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
)

// Guards against a cancelled stream that is passed on as complete because the planned stop of the
// entry ends while the connection behind the stream is watched, or its target is asked.
func TestEndOfStopDoesNotProveStreams(t *testing.T) {
	for _, c := range []struct {
		name, header string
	}{
		{"while the connection is watched", ""},
		{"before the target is asked", "Connection: close\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkCutStream(t, c.header, func(g *gateway.Service, ln net.Listener, conn net.Conn) {
				ln.Close()
				io.WriteString(conn, lastChunk)
				time.Sleep(8 * time.Millisecond)
				g.EndRequests()
				time.Sleep(4 * time.Millisecond)
			})
		})
	}
}

// Guards against a cancelled stream that is passed on as complete because its target had announced
// that it closes the connection, and its address accepts connections that nobody serves: those who
// do not answer at all are not full.
func TestSilentAddressDoesNotProveStreams(t *testing.T) {
	checkCutStream(t, "Connection: close\r\n", func(_ *gateway.Service, _ net.Listener, conn net.Conn) {
		io.WriteString(conn, lastChunk)
	})
}
