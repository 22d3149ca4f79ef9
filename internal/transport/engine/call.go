package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
)

// conn is a TCP connection with a limit on the time that a read may wait.
type conn struct {
	net.Conn
	silence atomic.Int64 // nanoseconds
	sent    atomic.Bool  // a byte of the request was written
}

// Read gives up after the silence limit.
func (c *conn) Read(p []byte) (int, error) {
	c.Conn.SetReadDeadline(time.Now().Add(time.Duration(c.silence.Load())))
	return c.Conn.Read(p)
}

// Write notes that the target may have received something.
func (c *conn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sent.Store(true)
	}
	return n, err
}

// SetReadDeadline and the other deadlines are left to Read and Write.
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) SetDeadline(time.Time) error      { return nil }

// call is one request and its response on a connection of its own.
type call struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	conn     *conn
	unwatch  func() bool
	once     sync.Once
}

// do sends one request, which prepare fills in, and returns when the header of
// the response has arrived. The error wraps side.ErrNotSent when no byte was
// sent. When ctx ends, the connection is closed.
func (c *Client) do(ctx context.Context, silence time.Duration, prepare func(*fasthttp.Request)) (*call, error) {
	k := &call{request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse()}
	k.response.Header.SetNoDefaultContentType(true)
	prepare(k.request)
	k.request.SetConnectionClose()
	// The client would send a request again when the connection ends before the
	// response, for GET and PUT by default, although the target may have run it.
	client := &fasthttp.HostClient{
		Addr:                          c.cfg.Address,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:            true,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		ReadBufferSize:                headerBuffer,
		Dial:                          func(address string) (net.Conn, error) { return k.dial(ctx, address, silence) },
	}
	if err := client.Do(k.request, k.response); err != nil {
		notSent := k.conn == nil || !k.conn.sent.Load()
		k.close()
		if notSent {
			return nil, fmt.Errorf("%w: %s: %w", side.ErrNotSent, c.cfg.Address, err)
		}
		return nil, fmt.Errorf("response of %s: %w", c.cfg.Address, err)
	}
	return k, nil
}

func (k *call) dial(ctx context.Context, address string, silence time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	tcp, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	k.conn = &conn{Conn: tcp}
	k.conn.silence.Store(int64(silence))
	k.unwatch = context.AfterFunc(ctx, func() { tcp.Close() })
	return k.conn, nil
}

func (k *call) status() int { return k.response.StatusCode() }

// body returns the response body as it arrives.
func (k *call) body() io.Reader {
	if r := k.response.BodyStream(); r != nil {
		return r
	}
	return eof{}
}

// text returns at most n bytes of the body.
func (k *call) text(n int64) (string, error) {
	b, err := io.ReadAll(io.LimitReader(k.body(), n))
	return string(b), err
}

// close ends the call and its connection.
func (k *call) close() {
	k.once.Do(func() {
		if k.unwatch != nil {
			k.unwatch()
		}
		if k.conn != nil {
			k.conn.Close()
		}
		k.response.CloseBodyStream()
		fasthttp.ReleaseRequest(k.request)
		fasthttp.ReleaseResponse(k.response)
	})
}

// eof is an empty body.
type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }
