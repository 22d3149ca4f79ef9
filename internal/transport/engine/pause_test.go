package engine

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// pausedConn is a connection whose reader does not run from its first read until pause is over.
// A byte arrives meanwhile.
type pausedConn struct {
	net.Conn
	pause    time.Duration
	deadline time.Time
	reads    int
}

func (c *pausedConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		time.Sleep(c.pause)
	}
	if !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, "x"), nil
}

// Guards against dropping a response that arrived while the side process did not run: when it
// runs again, the deadline of the read has passed.
func TestResponseThatArrivesDuringAPauseIsRead(t *testing.T) {
	for pause, want := range map[time.Duration]int{10 * time.Second: 1, time.Second: 0} {
		synctest.Test(t, func(t *testing.T) {
			c := &conn{Conn: &pausedConn{pause: pause}}
			c.idleTimeout.Store(int64(time.Second))
			if n, err := c.Read(make([]byte, 1)); n != want {
				t.Errorf("a pause of %s: %d bytes, error %v; want %d", pause, n, err, want)
			}
		})
	}
}
