package front

import (
	"slices"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// plainSink passes on the response of a plain service.
type plainSink struct {
	*body
	bodyless bool          // the response to HEAD has no body
	started  chan struct{} // closed when the head is known

	mu   sync.Mutex
	head *state.Head
}

// Head implements entry.Sink.
func (s *plainSink) Head(h *state.Head) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head == nil {
		close(s.started)
	}
	s.head = h
	return nil
}

// Chunk implements entry.Sink.
func (s *plainSink) Chunk(c *state.Chunk) error {
	if s.bodyless {
		return nil
	}
	_, err := s.Write(c.Data)
	return err
}

// Restart implements entry.Sink. The handler may send the head at any time.
func (s *plainSink) Restart() bool { return false }

// finish ends the body.
func (s *plainSink) finish(r entry.Result) {
	if s.end(r) {
		return
	}
	if r.Kind == entry.Complete {
		s.writer.Close()
		return
	}
	s.writer.CloseWithError(errIncomplete)
}

// writeHead makes the status and headers of the service those of the response.
func (s *plainSink) writeHead(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	head := s.head
	s.mu.Unlock()
	if head == nil {
		return
	}
	ctx.SetStatusCode(head.Status)
	named := connectionHeaders(head.Headers)
	for _, h := range head.Headers {
		if isHopByHop(h.Name, named) || hasPrefixFold(h.Name, headerPrefix) || strings.EqualFold(h.Name, "Content-Length") {
			continue
		}
		if strings.EqualFold(h.Name, "Content-Type") {
			ctx.SetContentType(h.Value)
			continue
		}
		ctx.Response.Header.Add(h.Name, h.Value)
	}
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
	"te", "trailer", "transfer-encoding", "upgrade",
}

// isHopByHop reports whether a header must not be passed on. named lists the
// headers that a Connection header names.
func isHopByHop(name string, named []string) bool {
	name = strings.ToLower(name)
	return slices.Contains(hopByHop, name) || slices.Contains(named, name)
}

// connectionHeaders returns the lower-case names that Connection headers list.
func connectionHeaders(headers []state.Header) []string {
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

func hasPrefixFold(s, prefix string) bool {
	return len(s) >= len(prefix) && strings.EqualFold(s[:len(prefix)], prefix)
}

// passedHeaders returns the request headers that a plain service receives. The
// bearer key is a credential of this system and is not among them.
func passedHeaders(h *fasthttp.RequestHeader) []state.Header {
	var all []state.Header
	for name, value := range h.All() {
		all = append(all, state.Header{Name: string(name), Value: string(value)})
	}
	named := connectionHeaders(all)
	return slices.DeleteFunc(all, func(x state.Header) bool {
		switch strings.ToLower(x.Name) {
		case "authorization", "host", "content-length", "expect":
			return true
		}
		return isHopByHop(x.Name, named) || hasPrefixFold(x.Name, headerPrefix)
	})
}
