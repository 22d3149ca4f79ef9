package netconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// lingerInterval is the time between checks whether the peer of a connection that is closed
	// has received what was written. Where that is not known, it counts as received after one.
	lingerInterval = 500 * time.Millisecond
	// maxLinger bounds the time for which a closed connection waits for its peer.
	maxLinger = 30 * time.Second
)

// listener accepts connections whose peers are watched and whose close delivers what was
// written.
type listener struct {
	net.Listener
	lingering *atomic.Int64 // connections that are closed and whose peers have not closed them
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if watched, ok := newConn(c).(*conn); ok {
		return &servedConn{conn: watched, lingering: l.lingering}, nil
	}
	return c, nil
}

// servedConn is a server's connection. If it is closed before the peer has received what was
// written, it sends the rest and the end, and discards input until then. If it were closed with
// unread input, or if input arrived afterwards, the kernel would reset it and discard what the
// peer has not received yet. What has been received can still be read there after a reset.
type servedConn struct {
	*conn
	lingering *atomic.Int64
	closed    atomic.Bool // Close was called
	abrupt    atomic.Bool // the peer has closed the connection, or it is to be reset
}

// SetLinger is that of net.TCPConn. The next Close does not wait for the peer.
func (c *servedConn) SetLinger(seconds int) error {
	c.abrupt.Store(true)
	return c.conn.SetLinger(seconds)
}

// Read implements net.Conn.
func (c *servedConn) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if err == io.EOF {
		c.abrupt.Store(true)
	}
	return n, err
}

// Close implements net.Conn. It does not wait for the peer.
func (c *servedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.abrupt.Load() || c.isDelivered() || c.CloseWrite() != nil { // CloseWrite fails if the peer has reset the connection
		return c.conn.Close()
	}
	c.lingering.Add(1)
	go c.discardInput()
	return nil
}

// discardInput reads until the peer closes the connection or has received all that was written.
func (c *servedConn) discardInput() {
	defer c.lingering.Add(-1)
	defer c.conn.Close()
	for end := time.Now().Add(maxLinger); time.Now().Before(end); {
		if c.SetReadDeadline(time.Now().Add(lingerInterval)) != nil {
			return
		}
		if !errors.Is(c.discard(), os.ErrDeadlineExceeded) || !infoAvailable() || c.isDelivered() {
			return
		}
	}
}

// discard reads until it fails.
func (c *servedConn) discard() error {
	for b := make([]byte, 512); ; {
		if _, err := c.conn.Read(b); err != nil {
			return err
		}
	}
}

func (c *servedConn) isDelivered() bool {
	delivered, _ := c.Delivered()
	return delivered
}
