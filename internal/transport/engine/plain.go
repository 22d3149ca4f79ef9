package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

// maxPlainChunkBytes is the largest piece of a plain service's response body in one
// chunk.
const maxPlainChunkBytes = 32 << 10

// unforwardedHeaders lists, in lower case, the header fields that concern one
// connection only (RFC 9110, section 7.6.1) or that the HTTP library sets itself.
var unforwardedHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true,
}

// overriddenHeaders lists, in lower case, the caller's header fields that are not
// sent to an engine. The client sets X-Request-Id and Content-Type. Accept-Encoding
// is left out, since a compressed stream could not be parsed.
var overriddenHeaders = map[string]bool{"x-request-id": true, "content-type": true, "accept-encoding": true}

// forwardHeaders adds the caller's header fields to r, except those in
// unforwardedHeaders and skip. A Host field replaces the target's address.
func forwardHeaders(r *fasthttp.Request, headers []state.Header, skip map[string]bool) {
	for _, h := range headers {
		switch name := strings.ToLower(h.Name); {
		case unforwardedHeaders[name] || skip[name]:
		case name == "host":
			r.Header.SetHost(h.Value)
		default:
			r.Header.Add(h.Name, h.Value)
		}
	}
}

// runPlain sends a call to a plain service and passes the response to emit.
func (c *Client) runPlain(ctx context.Context, req *state.Request, emit func(state.AttemptEvent)) error {
	call, err := c.send(ctx, c.cfg.FirstEventIdleTimeout, func(r *fasthttp.Request) {
		c.setRequestLine(r, req.Method, req.Path)
		forwardHeaders(r, req.Headers, nil)
		r.SetBodyRaw(req.Body)
	})
	if err == nil {
		defer call.close()
		err = c.forwardResponse(ctx, call, req.Method == fasthttp.MethodHead, emit)
	}
	switch {
	case err == nil || errors.Is(err, side.ErrNotSent):
		return err
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return unknownOutcome(err)
}

// forwardResponse passes the response to emit. headRequest says that the request is
// a HEAD request. The end of a response that has no body is known from its head. Reading a body that is
// shorter than its Content-Length, or a stream of events that was broken off, ends with an error other
// than io.EOF. A body without length or chunks is not complete if the target has ended with it. Targets of side processes have no identity
// that they could be asked for, so that one whose address still accepts connections counts as running.
func (c *Client) forwardResponse(ctx context.Context, call *httpCall, headRequest bool, emit func(state.AttemptEvent)) error {
	emit(responseHead(call, headRequest))
	mayHaveBody := !headRequest && state.StatusMayHaveBody(call.status())
	endsWithConnection := mayHaveBody && call.response.Header.ContentLength() == noLengthOrChunks
	body := newPlainBodyReader(call, mayHaveBody)
	var offset uint64
	received := 0
	buffer := make([]byte, maxPlainChunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			emit(&state.Chunk{Offset: offset, Data: bytes.Clone(buffer[:n])})
			offset++
			received += n
		}
		if errors.Is(err, io.EOF) && endsWithConnection && netconn.HasEnded(ctx, c.cfg.Address) {
			err = errEndsWithTarget
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("response body after %d bytes: %w", received, err)
		}
	}
}

// responseHead returns the status and the forwarded header fields. Content-Length is
// kept only for a HEAD request, whose response has no body.
func responseHead(call *httpCall, headRequest bool) *state.Head {
	h := &state.Head{Status: call.status()}
	for name, value := range call.response.Header.All() {
		lower := strings.ToLower(string(name))
		if unforwardedHeaders[lower] && !(headRequest && lower == "content-length") {
			continue
		}
		h.Headers = append(h.Headers, state.Header{Name: string(name), Value: string(value)})
	}
	return h
}
