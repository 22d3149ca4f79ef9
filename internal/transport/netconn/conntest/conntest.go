// Package conntest has a listener of connections in memory, for tests in virtual time, and
// loopback addresses for tests that run programs with fixed ports.
package conntest

import (
	"net"
	"sync"
)

// Listener accepts connections that Dial makes.
type Listener struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the caller's end of a new connection once the other end is accepted.
func (l *Listener) Dial() net.Conn {
	callers, servers := net.Pipe()
	l.accepted <- servers
	return callers
}

// Closed is closed when the listener is.
func (l *Listener) Closed() <-chan struct{} { return l.closed }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
