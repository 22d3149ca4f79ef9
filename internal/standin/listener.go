package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener is a net.Listener that can be closed and reopened on the same
// address, and whose open connections can be made silent.
type listener struct {
	addr string

	mu     sync.Mutex
	up     *sync.Cond
	ln     net.Listener // nil while down
	conns  map[*conn]struct{}
	closed bool
}

func listen(address string) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{addr: ln.Addr().String(), ln: ln, conns: map[*conn]struct{}{}}
	l.up = sync.NewCond(&l.mu)
	return l, nil
}

// Accept waits for a connection, also while the part is down. It returns
// io.EOF after Close.
func (l *listener) Accept() (net.Conn, error) {
	for {
		ln := l.waitUp()
		if ln == nil {
			return nil, io.EOF
		}
		c, err := ln.Accept()
		if err != nil {
			l.drop(ln)
			continue
		}
		if wrapped := l.add(ln, c); wrapped != nil {
			return wrapped, nil
		}
		c.Close()
	}
}

// drop forgets ln after a failed Accept, so that Accept does not spin.
func (l *listener) drop(ln net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == ln {
		ln.Close()
		l.ln = nil
	}
}

func (l *listener) waitUp() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ln == nil && !l.closed {
		l.up.Wait()
	}
	if l.closed {
		return nil
	}
	return l.ln
}

// add registers c, or returns nil when the part went down meanwhile.
func (l *listener) add(ln net.Listener, c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.ln != ln {
		return nil
	}
	wrapped := &conn{Conn: c, owner: l}
	l.conns[wrapped] = struct{}{}
	return wrapped
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// setDown closes the socket and all connections, or opens the socket again.
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
	l.up.Broadcast()
	return nil
}

func (l *listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

func (l *listener) silence() {
	for _, c := range l.open() {
		c.silent.Store(true)
	}
}

// closeConns closes all connections, also silent ones.
func (l *listener) closeConns() {
	for _, c := range l.open() {
		c.shut()
	}
}

// Close closes the socket and all connections.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.up.Broadcast()
	l.mu.Unlock()
	l.closeConns()
	return nil
}

// Addr returns the address, also while the part is down.
func (l *listener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", l.addr) // addr came from a net.Addr
	return a
}

// conn is a connection that can be made silent. It then discards what is
// written, and discards what it receives until the peer closes it.
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

// Close closes the connection. A silent one stays open until its peer closes it.
func (c *conn) Close() error {
	if c.silent.Load() {
		go c.linger()
		return nil
	}
	return c.shut()
}

func (c *conn) shut() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// silentLinger bounds how long a silent connection stays open after the server
// is done with it. The peer must detect the silence itself and not see a close.
const silentLinger = time.Minute

func (c *conn) linger() {
	c.Conn.SetReadDeadline(time.Now().Add(silentLinger))
	io.Copy(io.Discard, c.Conn)
	c.shut()
}
