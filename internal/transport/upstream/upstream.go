// Package upstream sends requests straight to targets over pooled HTTP/1.1
// connections, one request at a time on each.
//
// Nothing is ever sent twice by this package. An error says whether the request
// may have reached the target.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// dialTimeout bounds the opening of a connection. Targets are at most a few
	// milliseconds away; a lost opening packet is sent again after 1 s.
	dialTimeout  = 400 * time.Millisecond
	writeTimeout = 2 * time.Second
	// idleMargin closes an idle connection before the target does, which could
	// cross a request that is being sent.
	idleMargin = time.Second
	// idleUnstated is how long a connection is kept idle when the target does not
	// say how long it keeps it.
	idleUnstated = 10 * time.Second
	// maxForeign bounds the late responses to earlier requests that are skipped.
	maxForeign = 4
	readBuffer = 4 << 10 // bytes
)

// Client holds the connections to all targets. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	idle   map[string][]*connection // by address, oldest first
	opened int64
}

// New returns a client without connections.
func New() *Client { return &Client{idle: make(map[string][]*connection)} }

var _ gateway.TargetClient = (*Client)(nil)

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time // the target may close it from then on
}

// Send sends a request. The error wraps gateway.ErrNotSent when the target
// certainly did not get it. The end of ctx closes the connection, upon which
// targets drop the request.
func (c *Client) Send(ctx context.Context, f *gateway.Forward) (gateway.Exchange, error) {
	conn, err := c.take(ctx, f.Target.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", gateway.ErrNotSent, err)
	}
	b := platform.AppendForwardedRequest(make([]byte, 0, 1024+len(f.Call.Body)), &platform.ForwardedRequest{
		Call: f.Call, Target: f.Target.ID, Customer: f.Customer, Remaining: f.TimeLeft, ResumeAfter: f.ResumeAfter,
	})
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		stop()
		conn.Close()
		return nil, fmt.Errorf("%w: write to %s: %w", gateway.ErrNotSent, f.Target.Address, err)
	}
	n, err := conn.Write(b)
	if err != nil {
		stop()
		conn.Close()
		if n == 0 {
			return nil, fmt.Errorf("%w: write to %s: %w", gateway.ErrNotSent, f.Target.Address, err)
		}
		return nil, fmt.Errorf("write to %s: %w", f.Target.Address, err)
	}
	return &exchange{client: c, conn: conn, stop: stop, method: f.Call.Method, request: f.Call.ID}, nil
}

// take returns an idle connection that is still open, or a new one.
func (c *Client) take(ctx context.Context, address string) (*connection, error) {
	for {
		conn := c.pop(address)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.expires) && conn.quiet() {
			return conn, nil
		}
		conn.Close()
	}
	raw, err := netconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return &connection{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// pop takes the connection that was used last.
func (c *Client) pop(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return conn
}

func (c *Client) put(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.address] = append(c.idle[conn.address], conn)
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range list {
		conn.Close()
	}
}

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	var old []*connection
	for address, list := range c.idle {
		keep := list[:0]
		for _, conn := range list {
			if now.Before(conn.expires) {
				keep = append(keep, conn)
			} else {
				old = append(old, conn)
			}
		}
		if len(keep) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = keep
		}
	}
	c.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}

// quiet reports whether the target neither closed the connection nor sent bytes
// that belong to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true // never wait
	})
	return err == nil && quiet
}

// exchange is one request in progress.
type exchange struct {
	client  *Client
	conn    *connection
	stop    func() bool
	method  string
	request state.RequestID
	resp    *http.Response
	once    sync.Once
}

// Head implements gateway.Exchange.
func (e *exchange) Head() (*state.Response, error) {
	req := &http.Request{Method: e.method}
	for range maxForeign {
		resp, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			return nil, fmt.Errorf("response of %s: %w", e.conn.address, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response
		}
		head := platform.DecodeResponse(resp)
		if head.RequestID == e.request || head.RequestID == "" {
			e.resp = resp
			return head, nil
		}
		// A late response to an earlier request on this connection.
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("foreign response of %s: %w", e.conn.address, err)
		}
	}
	return nil, fmt.Errorf("response of %s: %w", e.conn.address, errForeign)
}

var errForeign = errors.New("responses to other requests only")

// Read implements gateway.Exchange.
func (e *exchange) Read(p []byte) (int, error) { return e.resp.Body.Read(p) }

// Close implements gateway.Exchange.
func (e *exchange) Close(whole bool) {
	e.once.Do(func() {
		if !e.stop() || !whole || e.resp == nil || e.resp.Close || e.resp.ContentLength < 0 && len(e.resp.TransferEncoding) == 0 ||
			e.conn.reader.Buffered() > 0 {
			e.conn.Close()
			return
		}
		idle := platform.KeepAlive(e.resp) - idleMargin
		if platform.KeepAlive(e.resp) == 0 {
			idle = idleUnstated
		}
		if idle <= 0 {
			e.conn.Close()
			return
		}
		e.conn.expires = time.Now().Add(idle)
		e.client.put(e.conn)
	})
}
