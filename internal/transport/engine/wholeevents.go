package engine

import (
	"errors"
	"io"
	"mime"

	"github.com/cassiaramp/cassiaramp/internal/coordination/eventstream"
)

// Errors of streams that were broken off, although their body ended without an error.
var (
	errEndsInsideEvent = errors.New("stream ended inside an event")
	errEndsWithTarget  = errors.New("response without length or chunks ended together with its target")
	errNoEvent         = errors.New("stream without length or chunks ended before its first event")
)

const (
	// noLengthOrChunks is what fasthttp returns as the Content-Length of a response that has
	// neither a length nor chunks.
	noLengthOrChunks = -2
	// maxUnframedEventBytes bounds one event of such a response, which is held until it is whole.
	maxUnframedEventBytes = 4 << 20
)

// newPlainBodyReader returns a reader of the body of a plain service's response.
func newPlainBodyReader(call *httpCall, mayHaveBody bool) io.Reader {
	header := &call.response.Header
	mediaType, _, err := mime.ParseMediaType(string(header.ContentType()))
	switch {
	case !mayHaveBody || err != nil || mediaType != "text/event-stream":
		return call.bodyReader()
	case header.ContentLength() == noLengthOrChunks:
		return &unframedReader{in: eventstream.UnframedReader{Reader: eventstream.NewReader(call.bodyReader(), maxUnframedEventBytes, nil)}}
	}
	return &wholeEventsReader{body: call.bodyReader()}
}

// unframedReader reads a stream of server-sent events that has neither a length nor chunks, and
// returns whole events only. Such a body also ends when its sender crashes, so the end of the body
// alone does not prove that it is complete.
type unframedReader struct {
	in       eventstream.UnframedReader
	rest     []byte // of the last event
	hasEvent bool
}

// Read implements io.Reader.
func (r *unframedReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		ev, err := r.in.Next()
		if errors.Is(err, io.EOF) && !r.hasEvent {
			err = errNoEvent
		}
		if err != nil {
			return 0, err
		}
		for range ev.Fields() {
			r.hasEvent = true
		}
		r.rest = ev
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// wholeEventsReader reads a stream of server-sent events. It returns io.EOF only if the
// stream ended between two events.
type wholeEventsReader struct {
	body       io.Reader
	lineBegun  bool // the last line has a byte other than CR, and no LF yet
	eventBegun bool // lines came without the empty line that ends an event
}

// Read implements io.Reader.
func (r *wholeEventsReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	for _, c := range p[:n] {
		r.next(c)
	}
	if errors.Is(err, io.EOF) && (r.lineBegun || r.eventBegun) {
		return n, errEndsInsideEvent
	}
	return n, err
}

// next takes the next byte of the stream.
func (r *wholeEventsReader) next(c byte) {
	switch {
	case c == '\r':
	case c != '\n':
		r.lineBegun = true
	case r.lineBegun:
		r.lineBegun, r.eventBegun = false, true
	default:
		r.eventBegun = false
	}
}
