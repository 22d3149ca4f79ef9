package entryhttp

import (
	"slices"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// plainSink forwards the response of a plain service.
type plainSink struct {
	*responseBody
	noBody       bool          // the request is HEAD, whose response has no body
	headReceived chan struct{} // closed when head is set

	mu   sync.Mutex
	head *state.Head
}

// Head implements entry.Sink.
func (s *plainSink) Head(h *state.Head) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head == nil {
		close(s.headReceived)
	}
	s.head = h
	return nil
}

// Chunk implements entry.Sink.
func (s *plainSink) Chunk(c *state.Chunk) error {
	if s.noBody {
		return nil
	}
	_, err := s.Write(c.Data)
	return err
}

// Restart implements entry.Sink. It always returns false, because the handler may
// send the head at any time.
func (s *plainSink) Restart() bool { return false }

// finish passes the result to the handler or ends the stream.
func (s *plainSink) finish(r entry.Result) {
	if s.deliverResult(r) {
		return
	}
	if r.Kind == entry.Complete {
		s.writer.Close()
		return
	}
	s.writer.CloseWithError(errIncomplete)
}

// writeHead sets the status and headers of the service's response on the response
// of ctx.
func (s *plainSink) writeHead(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	head := s.head
	s.mu.Unlock()
	if head == nil {
		return
	}
	ctx.SetStatusCode(head.Status)
	options := connectionOptions(head.Headers)
	for _, h := range head.Headers {
		if isHopByHop(h.Name, options) || hasPrefixFold(h.Name, headerPrefix) || strings.EqualFold(h.Name, "Content-Length") {
			continue
		}
		if strings.EqualFold(h.Name, "Content-Type") {
			ctx.SetContentType(h.Value)
			continue
		}
		ctx.Response.Header.Add(h.Name, h.Value)
	}
}

// hopByHopHeaders lists, in lower case, the headers that concern one connection
// only.
var hopByHopHeaders = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
	"te", "trailer", "transfer-encoding", "upgrade",
}

// isHopByHop reports whether a header must not be forwarded. options are the names
// from connectionOptions.
func isHopByHop(name string, options []string) bool {
	name = strings.ToLower(name)
	return slices.Contains(hopByHopHeaders, name) || slices.Contains(options, name)
}

// connectionOptions returns the names that the Connection headers list, in lower
// case.
func connectionOptions(headers []state.Header) []string {
	var names []string
	for _, h := range headers {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(h.Value, ",") {
			names = append(names, strings.ToLower(strings.TrimSpace(name)))
		}
	}
	return names
}

// hasPrefixFold reports whether s begins with prefix, ignoring case.
func hasPrefixFold(s, prefix string) bool {
	return len(s) >= len(prefix) && strings.EqualFold(s[:len(prefix)], prefix)
}

// forwardedHeaders returns the request headers that a plain service receives. The
// Authorization header is not among them, since its bearer key is a credential of
// this system.
func forwardedHeaders(h *fasthttp.RequestHeader) []state.Header {
	var all []state.Header
	for name, value := range h.All() {
		all = append(all, state.Header{Name: string(name), Value: string(value)})
	}
	options := connectionOptions(all)
	return slices.DeleteFunc(all, func(x state.Header) bool {
		switch strings.ToLower(x.Name) {
		case "authorization", "host", "content-length", "expect":
			return true
		}
		return isHopByHop(x.Name, options) || hasPrefixFold(x.Name, headerPrefix)
	})
}
