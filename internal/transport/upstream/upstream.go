// Package upstream is the HTTP client of entries that send requests directly to
// targets. It uses pooled HTTP/1.1 connections, each of which carries one request at a
// time. Side processes use package engine.
//
// The package never retries a request. Its errors tell whether the request may have
// reached the target.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// dialTimeout bounds the opening of a connection. Targets are at most a few
	// milliseconds away. The timeout does not wait for the retransmission of a lost
	// SYN, which TCP sends after 1 s.
	dialTimeout = 400 * time.Millisecond
	// firstWriteBytes is how much of a request is written before Send returns. The send buffer
	// of a connection without unread data takes it at once.
	firstWriteBytes = 16 << 10
	// silentTime is the time without a response after which a failed request on a reused
	// connection closes the idle ones. Targets respond sooner unless they are overloaded.
	silentTime = 500 * time.Millisecond
	// idleMargin is how long before the target's own idle timeout an idle connection
	// is given up. Otherwise the target could close it while a request is being sent.
	idleMargin = time.Second
	// defaultIdleTimeout is how long an idle connection is kept when the target does
	// not state its own idle timeout.
	defaultIdleTimeout = 10 * time.Second
	// maxResponses bounds the responses that are read for one request: late ones to earlier
	// requests, and its own. Interim ones do not count.
	maxResponses = 4
	// maxHeadBytes bounds the heads that are read for one request, and maxSkippedBytes the
	// body of a late response to an earlier one.
	maxHeadBytes    = 64 << 10
	maxSkippedBytes = 1 << 20
	readBufferSize  = 4 << 10 // bytes
	// maxNamingTargets bounds each of the two generations of targets that are known to name requests
	// in their responses.
	maxNamingTargets = 1 << 12
)

// Client sends requests to targets and pools the idle connections to them. It is
// safe for concurrent use.
type Client struct {
	mu          sync.Mutex
	idle        map[string][]*connection // by address, least recently used first
	openedCount int64
	probes      map[probeKey]*probes
	// naming holds the targets that have named a request in a response.
	naming  traffic.RecentCache[state.TargetID, struct{}]
	named   map[state.Service]bool // services of which a target has named itself to a probe
	connect func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
}

// New returns a Client without connections.
func New() *Client {
	return &Client{
		idle: make(map[string][]*connection), probes: make(map[probeKey]*probes), named: make(map[state.Service]bool), connect: netconn.Dial,
		naming: traffic.RecentCache[state.TargetID, struct{}]{GenerationLimit: maxNamingTargets},
	}
}

var (
	_ gateway.TargetClient      = (*Client)(nil)
	_ gateway.Withdrawer        = (*exchange)(nil)
	_ gateway.ConnectionWatcher = (*exchange)(nil)
)

// recordNaming records that a target has named a request in a response.
func (c *Client) recordNaming(target state.TargetID) {
	if _, known := c.naming.Get(target); !known {
		c.naming.Set(target, struct{}{})
	}
}

// namesRequests reports whether a target is known to name requests in its responses.
func (c *Client) namesRequests(target state.TargetID) bool {
	_, known := c.naming.Get(target)
	return known
}

// ConnectionsOpened returns the number of connections opened so far, to all targets.
func (c *Client) ConnectionsOpened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openedCount
}

// connection is a connection to a target, in use by one exchange or idle.
type connection struct {
	net.Conn
	address   string
	limit     *limitedReader // of reader
	reader    *bufio.Reader
	expiresAt time.Time // end of its idle time; it is not reused from then on
	// idleUntil is until when the target certainly keeps it open, unless it ends; zero if the target has
	// not stated its idle timeout.
	idleUntil time.Time
	reused    bool // an earlier request was sent on it
	// namesRequests says that the target has named a request in a response on it.
	namesRequests bool
	// probed says that a probe was answered on it. The answer names no request, and a late copy of
	// it must not be taken for the response to one.
	probed bool
	// namedSinceProbe says that a response on it has named its request since then.
	namedSinceProbe bool
	// answered says that a response was read on it. A server that shuts down leaves other
	// connections open for a while.
	answered bool
	// target is that of the last request sent on it. Another one may have its address later.
	target state.TargetID
	// retired says that it carries no further request. mu of the client guards it.
	retired bool
}

func newConnection(conn net.Conn, address string) *connection {
	limit := &limitedReader{in: conn}
	return &connection{Conn: conn, address: address, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize)}
}

// abandon closes the connection of a request that is given up. What the target has not received
// of the request is discarded. Otherwise it would be delivered when the target reads again, or
// its link is back, and the target would run a request that nobody waits for.
func (c *connection) abandon() {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		socket.SetLinger(0) // fails only on a connection that is closed already
	}
	c.Close()
}

// limitedReader fails after a number of bytes, unless it is unlimited.
type limitedReader struct {
	in        io.Reader
	left      int
	unlimited bool
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.unlimited {
		return r.in.Read(p)
	}
	if r.left <= 0 {
		return 0, errTooLarge
	}
	n, err := r.in.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// errTooLarge is returned when a target sends more than any answer takes.
var errTooLarge = errors.New("response head, or late response, is too large")

// Send sends a request once. The error wraps gateway.ErrNotSent when the target
// certainly did not receive any of it. When ctx ends, the connection is closed, upon
// which targets abandon the request, and what is left of the request is discarded.
func (c *Client) Send(ctx context.Context, f *gateway.Forward) (gateway.Exchange, error) {
	conn, err := c.acquire(ctx, f.Target.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", gateway.ErrNotSent, err)
	}
	b := platform.AppendForwardedRequest(make([]byte, 0, 1024+len(f.Call.Body)), &platform.ForwardedRequest{
		Call: f.Call, Target: f.Target.ID, Customer: f.Customer, TimeLeft: f.TimeLeft, ResumeAfter: f.ResumeAfter,
	})
	if now := time.Now(); now.After(f.SendBy) || now.Round(0).After(f.SendBy.Round(0)) {
		// The second comparison goes by the time of day, which includes the time for which
		// the machine was suspended.
		conn.Close()
		return nil, fmt.Errorf("%w: send to %s", gateway.ErrGrantExpired, f.Target.Address)
	}
	if !f.Holds() {
		conn.Close()
		return nil, fmt.Errorf("%w: send to %s", gateway.ErrGrantWithdrawn, f.Target.Address)
	}
	e := &exchange{client: c, conn: conn, target: f.Target.ID, method: f.Call.Method, requestID: f.Call.ID, written: make(chan struct{})}
	conn.target = f.Target.ID
	e.stop = context.AfterFunc(ctx, conn.abandon)
	if err := e.write(b); err != nil {
		e.stop()
		conn.Close()
		return nil, fmt.Errorf("%w: write to %s: %w", gateway.ErrNotSent, f.Target.Address, err)
	}
	return e, nil
}

// acquire returns a reusable idle connection or opens a new one. It closes the idle
// connections that cannot be reused.
func (c *Client) acquire(ctx context.Context, address string) (*connection, error) {
	for {
		conn := c.popIdle(address)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.expiresAt) && conn.reusable() {
			conn.reused = true
			return conn, nil
		}
		conn.Close()
	}
	return c.dial(ctx, address)
}

// dial opens a connection. If there is no descriptor for it, an idle one makes room.
func (c *Client) dial(ctx context.Context, address string) (*connection, error) {
	raw, err := c.connect(ctx, address, dialTimeout)
	if netconn.IsShortage(err) && c.closeOneIdle() {
		raw, err = c.connect(ctx, address, dialTimeout)
	}
	if err != nil {
		return nil, markShortage(err)
	}
	c.mu.Lock()
	c.openedCount++
	c.mu.Unlock()
	return newConnection(raw, address), nil
}

// markShortage wraps gateway.ErrShortage in err if that is an error of this entry's own system
// and not of the way to the target.
func markShortage(err error) error {
	if netconn.IsShortage(err) {
		return fmt.Errorf("%w: %w", gateway.ErrShortage, err)
	}
	return err
}

// Refuses implements gateway.TargetClient. A connection that it opens goes to the pool.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.expiresAt = time.Now().Add(defaultIdleTimeout)
	c.pushIdle(conn)
	return false
}

// closeWait is how long a connection is watched for its closing by an address that accepts
// connections for a target that has ended.
const closeWait = 50 * time.Millisecond

// Closes implements gateway.TargetClient. It watches the connection that Refuses has opened
// if no request uses it meanwhile.
func (c *Client) Closes(ctx context.Context, address string) bool {
	conn, err := c.acquire(ctx, address)
	if err != nil {
		// A connection may be accepted and reset before the call that opens it returns.
		return errors.Is(err, syscall.ECONNRESET)
	}
	return c.endsWithin(conn, closeWait)
}

// endsWithin reports whether the target ends an idle connection within the given time. Otherwise
// the connection goes to the pool.
func (c *Client) endsWithin(conn *connection, wait time.Duration) bool {
	ended, idle := netconn.EndsWithin(conn, wait)
	if !idle {
		conn.Close()
		return ended
	}
	if conn.expiresAt.IsZero() {
		conn.expiresAt = time.Now().Add(defaultIdleTimeout)
	}
	c.pushIdle(conn)
	return false
}

// popIdle removes the most recently used idle connection to address from the pool
// and returns it, nil when there is none.
func (c *Client) popIdle(address string) *connection {
	return c.popSuitable(address, func(*connection) bool { return true })
}

// pushIdle returns conn to the pool.
func (c *Client) pushIdle(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.address] = append(c.idle[conn.address], conn)
}

// closeOneIdle closes an idle connection, that which expires first of those that are least
// recently used at their addresses. It reports whether there was one.
func (c *Client) closeOneIdle() bool {
	c.mu.Lock()
	var first *connection
	for _, list := range c.idle {
		if len(list) > 0 && (first == nil || list[0].expiresAt.Before(first.expiresAt)) {
			first = list[0]
		}
	}
	if first != nil {
		c.idle[first.address] = c.idle[first.address][1:]
	}
	c.mu.Unlock()
	if first == nil {
		return false
	}
	first.Close()
	return true
}

// RetireIdle lets the idle connections to address carry no further request. They stay open as long as
// they would otherwise, because their close by the target shows when it begins to shut down.
func (c *Client) RetireIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[address] {
		conn.retired = true
	}
}

// CloseIdle closes the idle connections to address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range list {
		conn.Close()
	}
}

// CloseExpired closes the connections whose idle time is over at now.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var expired []*connection
	for address, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expiresAt) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

// reusable reports whether a request can be sent on the idle connection: the target
// has neither closed it nor sent bytes, which would belong to no request.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(rerr, syscall.EAGAIN)
		return true // done: do not wait for data
	})
	return err == nil && reusable
}
