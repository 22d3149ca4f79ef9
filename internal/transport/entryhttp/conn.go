package entryhttp

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

// listener wraps accepted connections in conn and rejects those above the
// connection limit.
type listener struct {
	net.Listener
	openConns  *semaphore.Weighted
	rejections *semaphore.Weighted
	closeOnce  func() error
}

func newListener(l net.Listener, maxConns int) *listener {
	return &listener{
		Listener: l, openConns: semaphore.NewWeighted(int64(maxConns)), rejections: semaphore.NewWeighted(maxConcurrentRejections),
		closeOnce: sync.OnceValue(l.Close),
	}
}

// Close implements net.Listener. It may be called more than once.
func (l *listener) Close() error { return l.closeOnce() }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.TryAcquire(1) {
			return &conn{Conn: c, releaseSlot: sync.OnceFunc(func() { l.openConns.Release(1) })}, nil
		}
		if !l.rejections.TryAcquire(1) {
			c.Close()
			continue
		}
		go func() {
			defer l.rejections.Release(1)
			rejectConnection(c)
		}()
	}
}

// rejectConnection answers on a connection above the limit with an overload error
// and closes it.
func rejectConnection(c net.Conn) {
	var ctx fasthttp.RequestCtx
	failureForResult(entry.Result{Kind: entry.Refused, Reason: admission.ReasonOverloaded}).write(&ctx)
	ctx.SetConnectionClose()
	w := &conn{Conn: c}
	w.lingerOnClose.Store(true)
	defer w.Close()
	out := bufio.NewWriter(w)
	if ctx.Response.Write(out) == nil {
		out.Flush()
	}
}

// conn is a caller's connection. Its writes fail when the caller does not accept
// data within writeTimeout. While a request is served, conn detects that the
// caller has closed the connection.
type conn struct {
	net.Conn
	releaseSlot func() // frees the slot in listener.openConns; nil for a rejected connection

	mu          sync.Mutex
	deadline    time.Time   // read deadline set by fasthttp
	activeWatch *closeWatch // set while a request is served
	peeked      []byte      // at most one byte, read by a closeWatch and not yet returned by Read
	readErr     error       // from the read of a closeWatch

	lingerOnClose atomic.Bool // the rest of a rejected request may still be arriving
}

// Close implements net.Conn. Closing a TCP connection with unread data resets it,
// and the caller may lose the response. After a rejected request, Close therefore
// closes only the write side first, and reads and discards up to lingerBytes for
// up to lingerTime.
func (c *conn) Close() error {
	if c.releaseSlot != nil {
		defer c.releaseSlot()
	}
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.lingerOnClose.Load() && halfCloser.CloseWrite() == nil {
		c.endWatch()
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// closeWatch is a background read of one byte, which detects that the caller
// closes the connection.
type closeWatch struct{ done chan struct{} }

// Write implements net.Conn. Each piece of maxWriteBytes has a deadline of its
// own.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+maxWriteBytes)]
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

// watchClose calls onClose when the caller closes the connection before the server
// reads from it again.
func (c *conn) watchClose(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeWatch != nil || len(c.peeked) > 0 || c.readErr != nil {
		return
	}
	w := &closeWatch{done: make(chan struct{})}
	c.activeWatch = w
	c.Conn.SetReadDeadline(time.Time{})
	go c.readAhead(w, onClose)
}

// readAhead reads one byte for w. The byte, if there is one, belongs to the next
// request.
func (c *conn) readAhead(w *closeWatch, onClose func()) {
	defer close(w.done)
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	c.peeked = append(c.peeked, b[:n]...)
	stopped := c.activeWatch != w
	if err != nil && !stopped {
		c.readErr = err
	}
	c.mu.Unlock()
	if err != nil && !stopped {
		onClose()
	}
}

// Read implements net.Conn. It ends a closeWatch first and returns what that has
// read.
func (c *conn) Read(p []byte) (int, error) {
	c.endWatch()
	c.mu.Lock()
	if len(c.peeked) > 0 {
		n := copy(p, c.peeked)
		c.peeked = c.peeked[n:]
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

// endWatch stops the current closeWatch, if there is one, and waits until its read
// has returned.
func (c *conn) endWatch() {
	c.mu.Lock()
	w := c.activeWatch
	c.activeWatch = nil
	if w != nil {
		// A read deadline in the past ends the read in progress.
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

// SetReadDeadline implements net.Conn. During a closeWatch, the deadline is kept
// and set when the watch ends.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.activeWatch != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn. It sets only the read deadline; Write sets its
// own.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. It does nothing; Write sets its own
// deadlines.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
