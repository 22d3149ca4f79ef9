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
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
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
	// maxResponses bounds the response heads that are read for one request: interim
	// responses, late responses to earlier requests, and its own response.
	maxResponses = 4
	// maxHeadBytes bounds the heads that are read for one request, and maxSkippedBytes the
	// body of a late response to an earlier one.
	maxHeadBytes    = 64 << 10
	maxSkippedBytes = 1 << 20
	readBufferSize  = 4 << 10 // bytes
)

// Client sends requests to targets and pools the idle connections to them. It is
// safe for concurrent use.
type Client struct {
	mu          sync.Mutex
	idle        map[string][]*connection // by address, least recently used first
	openedCount int64
	connect     func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
}

// New returns a Client without connections.
func New() *Client {
	return &Client{idle: make(map[string][]*connection), connect: netconn.Dial}
}

var (
	_ gateway.TargetClient = (*Client)(nil)
	_ gateway.Withdrawer   = (*exchange)(nil)
)

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
	reused    bool      // an earlier request was sent on it
	// namesRequests says that the target has named a request in a response on it.
	namesRequests bool
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
	e := &exchange{client: c, conn: conn, method: f.Call.Method, requestID: f.Call.ID, written: make(chan struct{})}
	e.stop = context.AfterFunc(ctx, conn.abandon)
	if err := e.write(b); err != nil {
		e.stop()
		conn.Close()
		return nil, fmt.Errorf("%w: write to %s: %w", gateway.ErrNotSent, f.Target.Address, err)
	}
	return e, nil
}

// write writes the request. The error says that the connection took none of it. Targets may
// answer before they have read a long body, and even close the connection then. So an error
// after the first byte does not end the exchange, and what is left after firstWriteBytes is
// written while the response is read.
func (e *exchange) write(request []byte) error {
	first := min(len(request), firstWriteBytes)
	n, err := e.conn.Write(request[:first])
	err = markShortage(err)
	e.sentAt = time.Now()
	switch {
	case err != nil && n == 0:
		return err
	case err != nil || first == len(request):
		e.writeEnded(err)
	default:
		go func() {
			_, err := e.conn.Write(request[first:])
			e.writeEnded(markShortage(err))
		}()
	}
	return nil
}

func (e *exchange) writeEnded(err error) {
	e.writeErr = err
	close(e.written)
}

// endWriting ends the writing of the request, if it goes on, and returns why the request was not
// written to its end, or nil if it was.
func (e *exchange) endWriting() error {
	select {
	case <-e.written:
		return e.writeErr
	default:
	}
	// What the connection has taken counts as written, so the result does not depend on when
	// the writing goroutine runs.
	if err := e.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-e.written
	if e.writeErr != nil {
		return e.writeErr
	}
	return e.conn.SetWriteDeadline(time.Time{})
}

// withdrawer is a connection that tells whether its peer has received what was sent.
type withdrawer interface {
	CloseWrite() error
	Delivered() (delivered, known bool)
}

// Withdraw implements gateway.Withdrawer. It closes the sending side of the connection, which a
// target takes for the close of the connection.
func (e *exchange) Withdraw() bool {
	select {
	case <-e.written:
	default:
		return false // the target may wait for the rest of the request
	}
	w, ok := e.conn.Conn.(withdrawer)
	if !ok {
		return false
	}
	if _, known := w.Delivered(); !known {
		return false
	}
	e.withdrawn.Store(true)
	return w.CloseWrite() == nil
}

// Reached implements gateway.Withdrawer.
func (e *exchange) Reached() bool {
	w, ok := e.conn.Conn.(withdrawer)
	if !ok {
		return false
	}
	delivered, _ := w.Delivered()
	return delivered
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
	if conn.SetReadDeadline(time.Now().Add(closeWait)) == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || conn.SetReadDeadline(time.Time{}) != nil {
		conn.Close()
		return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	}
	c.pushIdle(conn)
	return false
}

// popIdle removes the most recently used idle connection to address from the pool
// and returns it, nil when there is none.
func (c *Client) popIdle(address string) *connection {
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

// exchange is one request in progress. It implements gateway.Exchange.
type exchange struct {
	client    *Client
	conn      *connection
	sentAt    time.Time
	stop      func() bool // cancels the closing of conn at the end of the context; false if it was closed
	method    string
	requestID state.RequestID
	written   chan struct{}   // closed when the request is written, or its writing has failed
	writeErr  error           // why the writing failed; set before written is closed
	resp      *http.Response  // nil until Head has returned it
	head      *state.Response // decoded from resp
	withdrawn atomic.Bool     // the sending side of the connection is closed
	closeOnce sync.Once
}

// Head implements gateway.Exchange.
func (e *exchange) Head() (*state.Response, error) {
	req := &http.Request{Method: e.method}
	e.conn.limit.left, e.conn.limit.unlimited = maxHeadBytes, false
	for range maxResponses {
		resp, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			e.closeSilent()
			if werr := e.endWriting(); werr != nil {
				return nil, fmt.Errorf("read response of %s: %w; write: %w", e.conn.address, err, werr)
			}
			return nil, fmt.Errorf("read response of %s: %w", e.conn.address, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response
		}
		head := platform.DecodeResponse(resp)
		own, err := e.belongs(head)
		if err != nil {
			return nil, err
		}
		if own {
			e.resp, e.head = resp, head
			e.conn.limit.unlimited = true // the caller bounds what it reads of the body
			return head, nil
		}
		// This is a late response to an earlier request on the connection, or one to none.
		e.conn.limit.left += maxSkippedBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("skip late response of %s to another request: %w", e.conn.address, err)
		}
	}
	return nil, fmt.Errorf("read response of %s: %w", e.conn.address, errNoMatchingResponse)
}

// belongs reports whether a response belongs to the request. One that names no request may
// belong to none: targets send such on connections that are idle or new, for example because
// they are full. It is taken only if no response on the connection named its request and it
// does not say that a request did not run, of which it is no proof.
func (e *exchange) belongs(head *state.Response) (bool, error) {
	switch {
	case head.RequestID == e.requestID:
		e.conn.namesRequests = true
		return true, nil
	case head.RequestID != "" || e.conn.namesRequests:
		return false, nil
	case head.NotRun:
		return false, fmt.Errorf("%w: status %d of %s", errUnnamedRejection, head.Status, e.conn.address)
	}
	return true, nil
}

// errUnnamedRejection is returned for a response that says that a request did not run, but not
// which.
var errUnnamedRejection = errors.New("rejection names no request")

// closeSilent closes the idle connections to the target if the request was sent on a reused
// connection and got no response for silentTime: if that connection has gone silent for
// good, the idle ones may have as well.
func (e *exchange) closeSilent() {
	if e.conn.reused && time.Since(e.sentAt) >= silentTime {
		e.client.CloseIdle(e.conn.address)
	}
}

// errNoMatchingResponse is returned when none of the first maxResponses responses
// belongs to the request.
var errNoMatchingResponse = errors.New("no response to this request among those read")

// Read implements gateway.Exchange. A response that ends with its connection is complete only
// if the request was written to its end: of a reset, only one of reading and writing learns,
// and the other finds the connection closed.
func (e *exchange) Read(p []byte) (int, error) {
	n, err := e.resp.Body.Read(p)
	if errors.Is(err, io.EOF) && e.head.EndsWithConnection {
		if werr := e.endWriting(); werr != nil {
			err = fmt.Errorf("%w; write: %w", io.ErrUnexpectedEOF, werr)
		}
	}
	return n, err
}

// identified reports whether the response names the request. If not, the connection is not
// reused: a late second copy of the response could not be told from that to the next
// request.
func (e *exchange) identified() bool { return e.head.RequestID == e.requestID }

// keepsConnection reports whether the connection may carry further requests. It may not
// while the target waits for the rest of the request, of which it would take them for a part,
// or after a misdirected request: the same request may be sent to the target that now has the
// address, where a late copy of the response would say that it did not run.
func (e *exchange) keepsConnection() bool {
	return e.endWriting() == nil && !e.withdrawn.Load() && !e.resp.Close && !e.head.EndsWithConnection && !e.head.Misdirected && e.conn.reader.Buffered() == 0 && e.identified()
}

// Close implements gateway.Exchange.
func (e *exchange) Close(bodyRead bool) {
	e.closeOnce.Do(func() {
		if !e.stop() || !bodyRead || e.resp == nil {
			e.conn.abandon()
			return
		}
		if !e.keepsConnection() {
			e.conn.Close()
			return
		}
		idle := platform.KeepAlive(e.resp) - idleMargin
		if platform.KeepAlive(e.resp) == 0 {
			idle = defaultIdleTimeout
		}
		if idle <= 0 {
			e.conn.Close()
			return
		}
		e.conn.expiresAt = time.Now().Add(idle)
		e.client.pushIdle(e.conn)
	})
}
