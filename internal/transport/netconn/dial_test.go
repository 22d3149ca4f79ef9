package netconn

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against taking a peer for unreachable because this process was paused while it
// connected: the timeout has passed when it runs again, although the peer accepts at once.
func TestPauseWhileConnectingIsNotHeldAgainstThePeer(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const timeout = 50 * time.Millisecond
	pause := sync.OnceFunc(func() { time.Sleep(timeout + 2*longestDelay) })
	conn, err := dial(t.Context(), ln.Addr().String(), timeout, func(string, string, syscall.RawConn) error {
		pause()
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}
