package netconn

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Limits of the close of a connection whose peer has not received all that was written.
const (
	// maxDeliveryTime bounds how long the close waits.
	maxDeliveryTime = 30 * time.Second
	// Between checks, it waits for minDeliveryCheck first, and twice as long each time after.
	minDeliveryCheck = time.Millisecond
	maxDeliveryCheck = 50 * time.Millisecond
)

// delivering is the number of connections that were closed and whose peers have not received all
// that was written.
var delivering atomic.Int64

// Delivering returns the number of connections of servers that were closed and whose callers have
// not received all that was written. The exit of the process may discard what they have not.
func Delivering() int64 { return delivering.Load() }

// DeliverBeforeClose returns a listener whose connections are closed once their peers have
// received what was written; see servedConn.
func DeliverBeforeClose(ln net.Listener) net.Listener { return listener{ln} }

// listener accepts connections whose peers are watched and whose close delivers what was
// written.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if watched, ok := newConn(c).(*conn); ok {
		return &servedConn{conn: watched}, nil
	}
	return c, nil
}

// servedConn is a server's connection. If it were closed with unread input, or if input arrived
// afterwards, the kernel would reset it and discard what the peer has not received yet. Its close
// therefore waits until the peer has acknowledged all that was written, where TCP_INFO says so.
//
// Input that arrives meanwhile is not read: a request that crosses the close is answered with a
// reset, by which callers tell that it was not read and may be repeated.
type servedConn struct {
	*conn
	closed atomic.Bool // Close was called
	abrupt atomic.Bool // the peer sends nothing more
	reset  atomic.Bool // Close resets the connection
}

// SetLinger is that of net.TCPConn. A Close that resets the connection does not wait for the peer.
func (c *servedConn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return c.conn.SetLinger(seconds)
}

// Read implements net.Conn.
func (c *servedConn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.conn.Read(p)
	if err == io.EOF {
		c.abrupt.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *servedConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.conn.Write(p)
}

// Close implements net.Conn. It returns without waiting for the peer.
func (c *servedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	// The deadline ends reads and writes in progress.
	if c.abrupt.Load() || c.reset.Load() || !c.undelivered() || c.SetDeadline(time.Unix(1, 0)) != nil {
		return c.conn.Close()
	}
	delivering.Add(1)
	go c.closeWhenDelivered()
	return nil
}

// closeWhenDelivered closes the connection once the peer has received all that was written.
func (c *servedConn) closeWhenDelivered() {
	defer delivering.Add(-1)
	defer c.conn.Close()
	wait := minDeliveryCheck
	for end := time.Now().Add(maxDeliveryTime); c.undelivered() && time.Now().Before(end); {
		time.Sleep(wait)
		wait = min(2*wait, maxDeliveryCheck)
	}
}

// undelivered reports whether the peer is known not to have acknowledged all that was written.
func (c *servedConn) undelivered() bool {
	delivered, known := c.Delivered()
	return known && !delivered
}
