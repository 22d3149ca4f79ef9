package netconn

import (
	"net"
	"testing"
	"time"
)

// Guards against a close of an idle connection that seems to be later than it was, because the answer of the peer to a
// keepalive is taken for the segment that closed it: a target that shuts down, and finishes its streams for longer
// than a second, would seem to have begun just before they end.
func TestClosedByKeepsTheTimeOfTheClose(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := Dial(t.Context(), ln.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer.Close()
	closed := time.Now()
	for time.Since(closed) < 2500*time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		if at, ok := ClosedBy(c); !ok || at.Sub(closed) > 100*time.Millisecond {
			t.Fatalf("after %s: closed %t, by %s behind the close", time.Since(closed), ok, at.Sub(closed))
		}
	}
}
