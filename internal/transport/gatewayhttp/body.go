package gatewayhttp

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// Each progressBytes of a request's body, or the rest of it, must arrive within
	// bodyTimeout. The rate of 410 bytes a second is what 3,000 callers have on an instance's
	// link of 10 Mbit/s, which is more than an entry has connections.
	progressBytes = 4 << 10
	bodyTimeout   = 10 * time.Second
	// minBodyTime is the least time in which a body may arrive, however little its caller
	// waits for the response.
	minBodyTime = time.Second
	// firstBodyBuffer is the first size of the buffer for a body.
	firstBodyBuffer = 4 << 10
	// bodyMemoryFactor is what a body takes from the account for each byte of its buffer: one
	// for the buffer, and one for its copy in the forwarded request, or for the smaller buffer
	// that it replaces and that is not collected yet.
	bodyMemoryFactor = 2
	// The body of a request that is answered before it is read is skipped if it has up to
	// skippedBytes and arrives within skipTime, so that the connection can be kept.
	skippedBytes = 64 << 10
	skipTime     = 100 * time.Millisecond
)

// errNoMemory means that the account does not cover a body.
var errNoMemory = errors.New("no memory left for the request body")

// hasBody reports whether a body follows the head of a request.
func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// callerWait returns how long the body of a call may take in all; 0 for no bound.
func callerWait(call *state.Call) time.Duration {
	if !call.HasTimeout {
		return 0
	}
	return max(call.Timeout, minBodyTime)
}

// bodyReader reads the body of one request.
type bodyReader struct {
	in       io.Reader
	control  *http.ResponseController
	held     *memory.Reservation
	length   int64     // of the body; -1 if it is not stated
	limit    int64     // of the body, 0 for none
	end      time.Time // by which the body must have arrived; zero for no bound
	deadline time.Time // for the next progressBytes
	next     int       // bytes received at which progress is recorded
}

// newBodyReader returns a reader of the body of r, which wait bounds unless it is 0.
func (s *Server) newBodyReader(w http.ResponseWriter, r *http.Request, control *http.ResponseController, limit int64, wait time.Duration) *bodyReader {
	b := &bodyReader{in: r.Body, control: control, length: r.ContentLength, limit: limit}
	if limit > 0 {
		b.in = http.MaxBytesReader(w, r.Body, limit)
	}
	if wait > 0 {
		b.end = time.Now().Add(wait)
	}
	b.held = s.Memory.Open(memory.Body, func() { s.expireReads(r) })
	return b
}

// expireReads ends the read of a request's body.
func (s *Server) expireReads(r *http.Request) {
	switch c := r.Context().Value(connKey{}).(type) {
	case *callerConn:
		c.expire()
	case net.Conn:
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	}
}

// read returns the body. Its memory is held until b.held is released.
func (b *bodyReader) read() ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := b.nextSize(cap(body))
			if !b.held.Grow(bodyMemoryFactor * grown) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		if err := b.extendDeadline(len(body)); err != nil {
			return nil, err
		}
		n, err := b.in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			err = nil
			if !b.held.Finish() {
				err = errNoMemory
			}
			return body, err
		}
		if err != nil {
			if b.held.Evicted() {
				err = errNoMemory
			}
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer after one of the given size. It grows with what has
// arrived, not to the length that the caller states.
func (b *bodyReader) nextSize(size int) int {
	grown := max(2*size, firstBodyBuffer)
	most := b.length
	if most < 0 && b.limit > 0 {
		most = b.limit + 1 // room to read the end of a body that has just the limit
	}
	if most > int64(size) && most < int64(grown) {
		return int(most)
	}
	return grown
}

// extendDeadline sets the deadline for the next read when received bytes have arrived.
func (b *bodyReader) extendDeadline(received int) error {
	if received >= b.next {
		b.next = received - received%progressBytes + progressBytes
		b.deadline = time.Now().Add(bodyTimeout)
		if !b.end.IsZero() && b.end.Before(b.deadline) {
			b.deadline = b.end
		}
		b.held.Progress()
	}
	if err := b.control.SetReadDeadline(b.deadline); err != nil {
		return err
	}
	if b.held.Evicted() { // it may have been before the deadline was set
		return errNoMemory
	}
	return nil
}

// receiveBody reads the body of the call of out, unless the head shows that the call cannot be
// served. It returns false if the request has been answered. release gives the memory back.
func (s *Server) receiveBody(r *http.Request, out *responder, limit int64) (release func(), ok bool) {
	release = func() {}
	early := &earlyResponder{out, r}
	if s.refuseUnserved(r, out, early) || s.Gateway.ServeHead(r.Context(), out.call, early) {
		return release, false
	}
	b := s.newBodyReader(out.w, r, out.control, limit, callerWait(out.call))
	body, err := b.read()
	if err == nil {
		err = out.control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		out.call.Body = body
		return b.held.Release, true
	}
	b.held.Release()
	if errors.Is(err, errNoMemory) {
		out.closeConnection = func() bool { return true }
		s.refuse(out, out.call, reasonMemory, memoryRetryAfter)
	} else {
		s.reject(out.w, r, bodyStatus(err), "reading the request body failed")
	}
	return release, false
}

// bodyStatus returns the status with which to reject a request whose body cannot be read.
func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// earlyResponder answers a request whose body has not been read. The connection is kept if
// the body is short and arrives at once.
type earlyResponder struct {
	*responder
	r *http.Request
}

// Fail implements gateway.Responder.
func (o *earlyResponder) Fail(f gateway.Failure) error {
	if !o.skipBody() {
		o.closeConnection = func() bool { return true }
	}
	return o.responder.Fail(f)
}

// skipBody reports whether the body was read to its end. A caller that awaits leave to send it
// is not asked to.
func (o *earlyResponder) skipBody() bool {
	if o.r.ContentLength > skippedBytes || o.r.Header.Get("Expect") != "" || o.control.SetReadDeadline(time.Now().Add(skipTime)) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, o.r.Body, skippedBytes+1)
	return errors.Is(err, io.EOF) && o.control.SetReadDeadline(time.Time{}) == nil
}
