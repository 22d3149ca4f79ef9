package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/platform"
)

// exchange is one request in progress. It implements gateway.Exchange.
type exchange struct {
	client    *Client
	conn      *connection
	sentAt    time.Time
	stop      func() bool // cancels the closing of conn at the end of the context; false if it was closed
	target    state.TargetID
	method    string
	requestID state.RequestID
	written   chan struct{}   // closed when the request is written, or its writing has failed
	writeErr  error           // why the writing failed; set before written is closed
	resp      *http.Response  // nil until Head has returned it
	head      *state.Response // decoded from resp
	withdrawn atomic.Bool     // the sending side of the connection is closed
	closeOnce sync.Once
	unusable  bool // StaysOpen has found the connection closed, or something on it
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

// Head implements gateway.Exchange.
func (e *exchange) Head() (*state.Response, error) {
	req := &http.Request{Method: e.method}
	e.conn.limit.left, e.conn.limit.unlimited = maxHeadBytes, false
	for range maxResponses {
		resp, err := e.conn.readFinalResponse(req)
		if err != nil {
			e.closeSilent()
			if werr := e.endWriting(); werr != nil {
				return nil, fmt.Errorf("read response of %s: %w; write: %w", e.conn.address, err, werr)
			}
			return nil, fmt.Errorf("read response of %s: %w", e.conn.address, err)
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

// readFinalResponse reads a response. It skips interim ones, which only the limit of bytes bounds: a target
// may send one whenever it has nothing else to send.
func (c *connection) readFinalResponse(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if err := netconn.CheckVersion(resp.ProtoMajor); err != nil {
			return nil, err
		}
		if netconn.IsInterim(resp.StatusCode) {
			continue
		}
		if err := netconn.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// belongs reports whether a response belongs to the request. One that names no request may
// belong to none: targets send such on connections that are idle or new, for example because
// they are full. It is taken only if no response on the connection named its request, it is not a
// success of a target that names requests, and it does not say that a request did not run, of
// which it is no proof.
func (e *exchange) belongs(head *state.Response) (bool, error) {
	switch {
	case head.RequestID == e.requestID:
		e.conn.namesRequests, e.conn.namedSinceProbe = true, true
		e.client.recordNaming(e.target)
		return true, nil
	case head.RequestID != "" || e.conn.namesRequests:
		return false, nil
	case isSuccess(head.Status) && e.client.namesRequests(e.target):
		return false, nil
	case e.conn.probed && !head.HasSignature:
		return false, nil // may be a late copy of the answer to the probe, which is not signed
	case head.NotRun:
		return false, fmt.Errorf("%w: status %d of %s", errUnnamedRejection, head.Status, e.conn.address)
	}
	return true, nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

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

// StaysOpen implements gateway.ConnectionWatcher. What is read behind the response belongs to no
// request.
func (e *exchange) StaysOpen(wait time.Duration) bool {
	if e.conn.reader.Buffered() > 0 {
		return false
	}
	_, idle := netconn.EndsWithin(e.conn, wait)
	e.unusable = !idle
	return idle
}

// Received implements gateway.ConnectionWatcher.
func (e *exchange) Received() (earliest, latest time.Time, known bool) {
	if e.head == nil || e.head.EndsWithConnection {
		return time.Time{}, time.Time{}, false
	}
	return netconn.Received(e.conn.Conn)
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
	return !e.unusable && e.endWriting() == nil && !e.withdrawn.Load() && !e.resp.Close && !e.head.EndsWithConnection && !e.head.Misdirected && e.conn.reader.Buffered() == 0 && e.identified()
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
		e.client.keep(e.conn, e.resp)
	})
}

// keep returns a connection to the pool for the idle time that the last response on it states.
func (c *Client) keep(conn *connection, last *http.Response) {
	now, stated := time.Now(), platform.KeepAlive(last)
	idle := stated - idleMargin
	conn.idleUntil = now.Add(idle)
	if stated == 0 {
		idle, conn.idleUntil = defaultIdleTimeout, time.Time{}
	}
	if idle <= 0 {
		conn.Close()
		return
	}
	conn.expiresAt, conn.answered = now.Add(idle), true
	c.pushIdle(conn)
}
