package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener is a net.Listener whose socket can be closed and reopened on the same
// address, and whose open connections can be made silent. It is down while the
// socket is closed.
type listener struct {
	addr string

	mu           sync.Mutex
	stateChanged *sync.Cond   // signals that the socket was reopened or the listener closed
	ln           net.Listener // nil while down
	conns        map[*conn]struct{}
	closed       bool // by Close; setDown does not set it
}

func newListener(address string) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{addr: ln.Addr().String(), ln: ln, conns: map[*conn]struct{}{}}
	l.stateChanged = sync.NewCond(&l.mu)
	return l, nil
}

// Accept waits for a connection, and keeps waiting while the listener is down.
// It returns io.EOF after Close.
func (l *listener) Accept() (net.Conn, error) {
	for {
		ln := l.waitUp()
		if ln == nil {
			return nil, io.EOF
		}
		c, err := ln.Accept()
		if err != nil {
			l.markDown(ln)
			continue
		}
		if wrapped := l.register(ln, c); wrapped != nil {
			return wrapped, nil
		}
		c.Close()
	}
}

// markDown closes ln after its Accept failed. The listener is then down, so that
// Accept waits for setDown(false) or Close instead of retrying in a busy loop.
func (l *listener) markDown(ln net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == ln {
		ln.Close()
		l.ln = nil
	}
}

// waitUp waits until the listener is not down and returns its socket, or nil
// after Close.
func (l *listener) waitUp() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ln == nil && !l.closed {
		l.stateChanged.Wait()
	}
	if l.closed {
		return nil
	}
	return l.ln
}

// register tracks c, which ln accepted, as an open connection. It returns nil if
// the listener went down or was closed meanwhile.
func (l *listener) register(ln net.Listener, c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.ln != ln {
		return nil
	}
	wrapped := &conn{Conn: c, owner: l}
	l.conns[wrapped] = struct{}{}
	return wrapped
}

func (l *listener) unregister(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// setDown(true) closes the socket and all connections; setDown(false) opens the
// socket again.
func (l *listener) setDown(down bool) error {
	if down {
		l.mu.Lock()
		if l.ln != nil {
			l.ln.Close()
			l.ln = nil
		}
		l.mu.Unlock()
		l.closeConns()
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil || l.closed {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.ln = ln
	l.stateChanged.Broadcast()
	return nil
}

func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// silenceConns makes all open connections silent.
func (l *listener) silenceConns() {
	for _, c := range l.openConns() {
		c.silent.Store(true)
	}
}

// closeConns closes all connections, including silent ones.
func (l *listener) closeConns() {
	for _, c := range l.openConns() {
		c.closeNow()
	}
}

// Close closes the socket and all connections for good.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.stateChanged.Broadcast()
	l.mu.Unlock()
	l.closeConns()
	return nil
}

// Addr returns the address, also while the listener is down.
func (l *listener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", l.addr) // no error: addr is the text of a net.Addr
	return a
}

// conn is a connection that can be made silent. A silent connection discards
// what is written to it and what it receives, until the peer closes it.
type conn struct {
	net.Conn
	owner  *listener
	silent atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent connection stays open until its peer
// closes it, but at most for maxSilentLinger.
func (c *conn) Close() error {
	if c.silent.Load() {
		go c.closeAfterPeer()
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection at once, also a silent one.
func (c *conn) closeNow() error {
	c.owner.unregister(c)
	return c.Conn.Close()
}

// maxSilentLinger bounds how long a silent connection stays open after the server
// closes it. Until then the peer sees no close and must detect the silence itself.
const maxSilentLinger = time.Minute

// closeAfterPeer closes the connection when its peer does, or after
// maxSilentLinger.
func (c *conn) closeAfterPeer() {
	c.Conn.SetReadDeadline(time.Now().Add(maxSilentLinger))
	io.Copy(io.Discard, c.Conn)
	c.closeNow()
}
