package engine

import (
	"errors"
	"io"
	"mime"
)

// Errors of streams that were broken off, although their body ended without an error.
var (
	errEndsInsideEvent = errors.New("stream ended inside an event")
	errEndsWithTarget  = errors.New("response without length or chunks ended together with its target")
	errNoEvent         = errors.New("stream without length or chunks ended before its first event")
)

// noLengthOrChunks is what fasthttp returns as the Content-Length of a response that has
// neither a length nor chunks.
const noLengthOrChunks = -2

// wholeEventsReader reads a stream of server-sent events. It returns io.EOF only if the
// stream ended between two events. A body without length or chunks also ends when its
// sender crashes, so the end of the body alone does not prove that it is complete.
type wholeEventsReader struct {
	body               io.Reader
	endsWithConnection bool // the body has neither a length nor chunks
	lineBegun          bool // the last line has a byte other than CR, and no LF yet
	eventBegun         bool // lines came without the empty line that ends an event
	hasField           bool // one of these lines is no comment
	hasEvent           bool
}

// newPlainBodyReader returns a reader of the body of a plain service's response.
func newPlainBodyReader(call *httpCall, headRequest bool) io.Reader {
	header := &call.response.Header
	mediaType, _, err := mime.ParseMediaType(string(header.ContentType()))
	if headRequest || err != nil || mediaType != "text/event-stream" {
		return call.bodyReader()
	}
	return &wholeEventsReader{body: call.bodyReader(), endsWithConnection: header.ContentLength() == noLengthOrChunks}
}

// Read implements io.Reader.
func (r *wholeEventsReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	for _, c := range p[:n] {
		r.next(c)
	}
	switch {
	case !errors.Is(err, io.EOF):
		return n, err
	case r.lineBegun || r.eventBegun:
		return n, errEndsInsideEvent
	case r.endsWithConnection && !r.hasEvent:
		return n, errNoEvent
	default:
		return n, io.EOF
	}
}

// next takes the next byte of the stream.
func (r *wholeEventsReader) next(c byte) {
	switch {
	case c == '\r':
	case c != '\n':
		if !r.lineBegun {
			r.hasField = r.hasField || c != ':'
		}
		r.lineBegun = true
	case r.lineBegun:
		r.lineBegun, r.eventBegun = false, true
	default:
		r.hasEvent = r.hasEvent || r.hasField
		r.eventBegun, r.hasField = false, false
	}
}
