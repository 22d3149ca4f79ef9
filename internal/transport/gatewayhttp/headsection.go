package gatewayhttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// headerSlackBytes is what a header section may have beyond the operator's limit before it
	// is refused while it is read. handle applies the limit itself, which does not count
	// white space and the protocol version.
	headerSlackBytes = 4 << 10
	// A header section of up to freeHeaderBytes with up to freeHeaderFields is part of what
	// each connection is taken to need. Others take from the account for each byte and field
	// what net/http and the forwarded request hold for it: a field of five bytes takes an
	// element of a map, two slices and two strings, and is copied for the target. The number
	// of fields is bounded by this and by the bytes only.
	freeHeaderBytes    = 4 << 10
	freeHeaderFields   = 64
	memoryPerHeadByte  = 3
	memoryPerHeadField = 256
	// headRefusalTime bounds the writing of the answer to a header section that is refused.
	headRefusalTime = time.Second
	// memoryRetryAfter goes with refusals for lack of memory: other entries may have some.
	memoryRetryAfter = 500 * time.Millisecond
	reasonMemory     = "memory"
)

// errHeadRefused ends a connection whose header section was answered while it was read.
// net/http writes nothing on errors of reads.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("header section refused")}

// callerConn is a caller's connection. It limits the header sections of requests while they
// are read: net/http reads and parses one whole, as long as it has fewer than maxHeaderBytes.
type callerConn struct {
	net.Conn
	server *Server
	held   *memory.Reservation // for the request in progress

	mu      sync.Mutex
	inHead  bool      // a header section is awaited or being read
	started time.Time // when the first byte of it arrived; zero before
	head    headScanner
}

// newCallerConn returns c, of which a header section is awaited.
func (s *Server) newCallerConn(c net.Conn) *callerConn {
	conn := &callerConn{Conn: c, server: s, inHead: true}
	conn.held = s.Memory.Open(memory.Head, conn.expire)
	return conn
}

// expire ends the reads of the connection. It takes no lock.
func (c *callerConn) expire() {
	if err := c.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.server.Log.Debug("connection not ended", zap.Error(err))
	}
}

// awaitHead says that the request in progress has ended.
func (c *callerConn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Release()
	c.held, c.inHead, c.started, c.head = c.server.Memory.Open(memory.Head, c.expire), true, time.Time{}, headScanner{}
}

// Read implements net.Conn. net/http reads single bytes while a request is in progress, to
// learn that the caller has left; they are not counted.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || len(p) == 1 {
		return n, err
	}
	if status, reason := c.countHead(p[:n]); status != 0 {
		c.refuseHead(status, reason)
		return 0, errHeadRefused
	}
	return n, err
}

// countHead counts a part of the header section that is being read, if one is, and returns the
// status with which to refuse it, or 0.
func (c *callerConn) countHead(b []byte) (status int, reason string) {
	limits := c.server.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return 0, ""
	}
	if c.started.IsZero() {
		c.started = time.Now()
		if err := c.setHeadDeadline(limits, time.Now().Add(headerTimeout)); err != nil {
			return http.StatusInternalServerError, err.Error()
		}
	}
	c.head.scan(b)
	maxBytes := maxHeaderBytes
	if limits.MaxHeaderBytes > 0 {
		maxBytes = min(maxBytes, limits.MaxHeaderBytes+headerSlackBytes)
	}
	switch {
	case c.head.bytes > maxBytes:
		return http.StatusRequestHeaderFieldsTooLarge, "header too large"
	case !c.held.Grow(c.head.memory()):
		return http.StatusServiceUnavailable, reasonMemory
	}
	if c.head.ended {
		c.inHead = false
		if !c.held.Finish() {
			return http.StatusServiceUnavailable, reasonMemory
		}
	}
	return 0, ""
}

// setHeadDeadline sets the read deadline t, or the end of the operator's time for the header
// section if that is earlier. c.mu is held.
func (c *callerConn) setHeadDeadline(limits state.CallerLimits, t time.Time) error {
	if limits.HeaderTimeout > 0 {
		if end := c.started.Add(limits.HeaderTimeout); end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn. net/http lifts the deadline when it has read a header
// section.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		c.inHead = false
	}
	if c.inHead && !c.started.IsZero() {
		return c.setHeadDeadline(c.server.limits(), t)
	}
	return c.Conn.SetReadDeadline(t)
}

// refuseHead answers a request whose header section is not read to its end.
func (c *callerConn) refuseHead(status int, reason string) {
	c.server.Log.Info("request rejected", zap.Stringer("caller", c.RemoteAddr()), zap.Int("status", status), zap.String("reason", reason))
	header := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	if status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(header, memoryRetryAfter)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	err := errors.Join(header.Write(&b), c.SetWriteDeadline(time.Now().Add(headRefusalTime)))
	if err == nil {
		_, err = io.WriteString(c.Conn, b.String()+"\r\n")
	}
	if err != nil {
		c.server.Log.Info("write to caller failed", zap.Stringer("caller", c.RemoteAddr()), zap.Error(err))
	}
}

// SetLinger is that of the connection, if it has one.
func (c *callerConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// CloseWrite is that of the connection, if it has one.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// callerListener returns the connections of a listener as callerConns.
type callerListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.server.newCallerConn(c), nil
}

// headScanner counts the bytes and lines of a header section.
type headScanner struct {
	bytes, lines int
	inLine       bool // the line has a character other than a carriage return
	ended        bool // by an empty line after others
}

// scan counts the next part. What follows the end of the section is ignored.
func (h *headScanner) scan(b []byte) {
	for i, ch := range b {
		switch {
		case ch == '\n' && h.inLine:
			h.lines++
			h.inLine = false
		case ch == '\n' && h.lines > 0:
			h.bytes += i + 1
			h.ended = true
			return
		case ch != '\n' && ch != '\r':
			h.inLine = true
		}
	}
	h.bytes += len(b)
}

// memory returns what the section takes from the account.
func (h *headScanner) memory() int {
	if h.bytes <= freeHeaderBytes && h.lines <= freeHeaderFields {
		return 0
	}
	return memoryPerHeadByte*h.bytes + memoryPerHeadField*h.lines
}
