package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

// A read that its deadline ends later than by longestDelay was held up by this process, which
// did not run. What has arrived meanwhile is then read for catchUpTime.
const (
	longestDelay = 100 * time.Millisecond
	catchUpTime  = 100 * time.Millisecond
)

// conn is a TCP connection that sets its own deadline for each read and write.
type conn struct {
	net.Conn
	idleTimeout atomic.Int64 // longest wait of a read, in nanoseconds
	// stallsAt is when reads end even if bytes arrive; nil for never.
	stallsAt atomic.Pointer[time.Time]
	sent     atomic.Bool           // at least one byte of the request was written
	writeErr atomic.Pointer[error] // of a write after the first byte; nil for none
	status   netconn.StatusReader  // of the only response
}

// Read implements net.Conn. It fails when no byte arrives within the idle timeout, after
// stallsAt, and from a status on that HTTP does not know. After a write that failed, an end
// does not show that a response is complete: the kernel reports a reset once, to the write.
func (c *conn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(time.Duration(c.idleTimeout.Load()))
	if stall := c.stallsAt.Load(); stall != nil && stall.Before(deadline) {
		deadline = *stall
	}
	c.Conn.SetReadDeadline(deadline)
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(deadline) > longestDelay {
		c.Conn.SetReadDeadline(time.Now().Add(catchUpTime))
		n, err = c.Conn.Read(p)
	}
	if serr := c.status.Read(p[:n]); serr != nil {
		return 0, serr
	}
	if werr := c.writeErr.Load(); werr != nil && err != nil {
		return n, fmt.Errorf("request not written: %w; read: %v", *werr, err)
	}
	return n, err
}

// Write implements net.Conn. It records that the target may have received a part of
// the request. An error after that is returned by the next failing Read: the target may have
// responded before it closed the connection, and the HTTP library reads no response after an
// error of Write.
func (c *conn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sent.Store(true)
	}
	if err != nil && c.sent.Load() {
		c.writeErr.CompareAndSwap(nil, &err)
		return len(p), nil
	}
	return n, err
}

// setProgress sets the longest time without a byte, and the time from now after which the
// stream counts as stalled although bytes arrive.
func (c *conn) setProgress(idle, stall time.Duration) {
	c.idleTimeout.Store(int64(idle))
	stallsAt := time.Now().Add(stall)
	c.stallsAt.Store(&stallsAt)
}

// The deadlines of the HTTP library are ignored, since Read and Write set their own.
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) SetDeadline(time.Time) error      { return nil }

// httpCall is one request and its response on a connection of its own.
type httpCall struct {
	request          *fasthttp.Request
	response         *fasthttp.Response
	conn             *conn
	stopContextWatch func() bool
	closeOnce        sync.Once
}

// send sends one request, which prepare fills in, and returns when the header of
// the response has arrived. The error wraps side.ErrNotSent when no byte was
// sent. The connection is closed when ctx ends. The returned call must be closed.
func (c *Client) send(ctx context.Context, idleTimeout time.Duration, prepare func(*fasthttp.Request)) (*httpCall, error) {
	call := &httpCall{request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse()}
	call.response.Header.SetNoDefaultContentType(true)
	prepare(call.request)
	call.request.SetConnectionClose()
	// By default, HostClient repeats a request, such as GET or PUT, when the
	// connection ends before the response, although the target may have run it.
	client := &fasthttp.HostClient{
		Addr:                          c.cfg.Address,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:            true,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		ReadBufferSize:                maxHeaderBytes,
		Dial:                          func(address string) (net.Conn, error) { return call.dial(ctx, address, idleTimeout) },
	}
	if err := client.Do(call.request, call.response); err != nil {
		notSent := call.conn == nil || !call.conn.sent.Load()
		call.close()
		if notSent {
			return nil, fmt.Errorf("%w: %s: %w", side.ErrNotSent, c.cfg.Address, err)
		}
		return nil, fmt.Errorf("response of %s: %w", c.cfg.Address, err)
	}
	return call, nil
}

// dial connects to the target. The connection is closed when ctx ends.
func (call *httpCall) dial(ctx context.Context, address string, idleTimeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	tcp, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	call.conn = &conn{Conn: tcp}
	call.conn.idleTimeout.Store(int64(idleTimeout))
	call.stopContextWatch = context.AfterFunc(ctx, func() { tcp.Close() })
	return call.conn, nil
}

func (call *httpCall) status() int { return call.response.StatusCode() }

// bodyReader returns a reader of the response body as it arrives.
func (call *httpCall) bodyReader() io.Reader {
	if r := call.response.BodyStream(); r != nil {
		return r
	}
	return emptyBody{}
}

// readText reads the body and returns at most its first n bytes.
func (call *httpCall) readText(n int64) (string, error) {
	b, err := io.ReadAll(io.LimitReader(call.bodyReader(), n))
	return string(b), err
}

// close closes the connection and releases the buffers of the call. It may be called
// more than once.
func (call *httpCall) close() {
	call.closeOnce.Do(func() {
		if call.stopContextWatch != nil {
			call.stopContextWatch()
		}
		if call.conn != nil {
			call.conn.Close()
		}
		call.response.CloseBodyStream()
		fasthttp.ReleaseRequest(call.request)
		fasthttp.ReleaseResponse(call.response)
	})
}

// emptyBody is a reader of an empty response body.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
