package front

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"github.com/cassiaramp/cassiaramp/internal/coordination/admission"
	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
)

// listener wraps accepted connections in conn and turns those away that exceed
// the limit.
type listener struct {
	net.Listener
	open      *semaphore.Weighted
	rejecting *semaphore.Weighted
	close     func() error
}

func newListener(l net.Listener, maxOpen int) *listener {
	return &listener{
		Listener: l, open: semaphore.NewWeighted(int64(maxOpen)), rejecting: semaphore.NewWeighted(maxRejecting),
		close: sync.OnceValue(l.Close),
	}
}

// Close implements net.Listener. It may be called more than once.
func (l *listener) Close() error { return l.close() }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.TryAcquire(1) {
			return &conn{Conn: c, release: sync.OnceFunc(func() { l.open.Release(1) })}, nil
		}
		if !l.rejecting.TryAcquire(1) {
			c.Close()
			continue
		}
		go func() {
			defer l.rejecting.Release(1)
			reject(c)
		}()
	}
}

// reject tells a caller that the connection cannot be served.
func reject(c net.Conn) {
	var ctx fasthttp.RequestCtx
	failureOf(entry.Result{Kind: entry.Refused, Reason: admission.ReasonOverloaded}).write(&ctx)
	ctx.SetConnectionClose()
	w := &conn{Conn: c}
	w.linger.Store(true)
	defer w.Close()
	out := bufio.NewWriter(w)
	if ctx.Response.Write(out) == nil {
		out.Flush()
	}
}

// conn closes on writes that make no progress and, while a request is served,
// notices that the caller has closed it.
type conn struct {
	net.Conn
	release func() // frees the connection's place; nil when it has none

	mu       sync.Mutex
	deadline time.Time // read deadline set by the server
	watch    *watch    // nil when no request is served
	ahead    []byte    // read by a watch, at most one byte
	readErr  error     // found by a watch

	linger atomic.Bool // a rejected request may still be arriving
}

// Close implements net.Conn. Closing while data is unread resets a connection,
// so that the caller may lose the response. After a rejected request the rest is
// therefore read and dropped for a while.
func (c *conn) Close() error {
	if c.release != nil {
		defer c.release()
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.linger.Load() && half.CloseWrite() == nil {
		c.endWatch()
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// watch reads ahead in the background.
type watch struct{ done chan struct{} }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// watchClose calls gone when the caller closes the connection before the server
// reads from it again.
func (c *conn) watchClose(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != nil || len(c.ahead) > 0 || c.readErr != nil {
		return
	}
	w := &watch{done: make(chan struct{})}
	c.watch = w
	c.Conn.SetReadDeadline(time.Time{})
	go c.readAhead(w, gone)
}

func (c *conn) readAhead(w *watch, gone func()) {
	defer close(w.done)
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	c.ahead = append(c.ahead, b[:n]...)
	aborted := c.watch != w
	if err != nil && !aborted {
		c.readErr = err
	}
	c.mu.Unlock()
	if err != nil && !aborted {
		gone()
	}
}

// Read implements net.Conn. It ends a watch first.
func (c *conn) Read(p []byte) (int, error) {
	c.endWatch()
	c.mu.Lock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.mu.Unlock()
		return n, nil
	}
	err := c.readErr
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// endWatch waits until no watch reads from the connection.
func (c *conn) endWatch() {
	c.mu.Lock()
	w := c.watch
	c.watch = nil
	if w != nil {
		// A deadline in the past ends the read in progress.
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if w == nil {
		return
	}
	<-w.done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Conn.SetReadDeadline(c.deadline)
}

// SetReadDeadline implements net.Conn. It takes effect when a watch has ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.watch != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn. Write deadlines are set by Write.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. Write deadlines are set by Write.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
