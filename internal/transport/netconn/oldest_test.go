package netconn

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// Guards against clients that stay connected and keep others out, and against connections that
// are closed although there is room.
func TestOldestConnectionIsClosed(t *testing.T) {
	o := &OldestCloser{Max: 2}
	var peers []net.Conn
	open := func() net.Conn {
		c, peer := net.Pipe()
		t.Cleanup(func() { c.Close() })
		peers = append(peers, peer)
		o.Track(c, http.StateNew)
		return c
	}
	isClosed := func(i int) bool {
		err := peers[i].SetReadDeadline(time.Now()) // fails if the other end is closed
		if err == nil {
			_, err = peers[i].Read(make([]byte, 1))
		}
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	first, second := open(), open()
	o.Track(first, http.StateActive)
	o.Track(second, http.StateActive)
	o.Track(second, http.StateIdle)
	third := open() // closes the second one, which has been served
	if isClosed(0) || !isClosed(1) || isClosed(2) {
		t.Error("another connection than the idle one is closed")
	}
	o.Track(second, http.StateClosed)
	o.Track(third, http.StateClosed)
	open()
	if isClosed(0) || isClosed(3) {
		t.Error("a connection is closed although there is room")
	}
	open()
	if !isClosed(0) || isClosed(3) {
		t.Error("another connection than the oldest one is closed")
	}
}
