package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/cassiaramp/cassiaramp/internal/coordination/admission"
	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const servicesPrefix = "/services/"

// Service runs requests. *entry.Service implements it.
type Service interface {
	Do(ctx context.Context, req *state.Request, prompt []uint64, sink entry.Sink) entry.Result
}

// Config configures a Server. All fields are required.
type Config struct {
	Service Service
	// Bundle returns the bundle in effect, nil for none.
	Bundle func() *state.Bundle
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
	// MaxBodyBytes bounds the bodies of all requests in progress together.
	MaxBodyBytes int64
	Log          *zap.Logger
}

// Server serves callers.
type Server struct {
	cfg       Config
	http      *fasthttp.Server
	customers customers
	bodies    *semaphore.Weighted
	listener  atomic.Pointer[listener]
	stopping  atomic.Bool // StopAccepting was called
}

// sink is an entry.Sink with the body that the handler waits for.
type sink interface {
	entry.Sink
	finish(entry.Result)
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, bodies: semaphore.NewWeighted(cfg.MaxBodyBytes)}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  writeProtocolError,
		Concurrency:                   cfg.MaxConnections + 1, // the listener keeps the limit
		ReadBufferSize:                maxHeader,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		MaxRequestBodySize:            maxBody,
		StreamRequestBody:             true, // a body is read only after its caller is known
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		CloseOnShutdown:               true,
		SecureErrorLogMessage:         true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        httpLogger{cfg.Log},
	}
	return s
}

// Serve accepts connections from l until Shutdown or StopAccepting.
func (s *Server) Serve(l net.Listener) error {
	bounded := newListener(l, s.cfg.MaxConnections)
	s.listener.Store(bounded)
	if s.stopping.Load() {
		bounded.Close()
	}
	return s.http.Serve(bounded)
}

// StopAccepting closes the listener, so that callers connect to another entry,
// and makes every response from now on tell the caller that its connection is
// closed. Otherwise a caller may send a request on a pooled connection at the
// moment when Shutdown closes it, and learn nothing about the request.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
	if l := s.listener.Load(); l != nil {
		l.Close()
	}
}

// Shutdown stops accepting connections and waits until those with a request in
// progress are done or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// httpLogger passes on what the HTTP library logs about connections.
type httpLogger struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) { l.log.Sugar().Debugf(format, args...) }

// writeProtocolError answers a request that could not be read.
func writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	f := invalid(http.StatusBadRequest, codeInvalidRequest, "request could not be read")
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		f = invalid(http.StatusRequestHeaderFieldsTooLarge, codeInvalidRequest, "headers are too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f = invalid(http.StatusRequestEntityTooLarge, state.ReasonTooLarge, "body is too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		f = invalid(http.StatusRequestTimeout, codeInvalidRequest, "request did not arrive in time")
	}
	f.write(ctx)
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	id := uuid.NewString()
	ctx.Response.Header.Set(headerRequestID, id)
	if f := s.serve(ctx, state.RequestID(id)); f != nil {
		s.cfg.Log.Info("request rejected", zap.String("request", id), zap.String("reason", string(f.code)), zap.Int("status", f.status), zap.String("detail", f.message))
		f.write(ctx)
		length := bodyLength(ctx)
		if c, ok := ctx.Conn().(*conn); ok && (length < 0 || length > maxDrained) {
			c.linger.Store(true)
			ctx.SetConnectionClose()
		}
	}
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// serve serves one request or returns why it is not passed to the service.
func (s *Server) serve(ctx *fasthttp.RequestCtx, id state.RequestID) *failure {
	now := time.Now()
	b := s.cfg.Bundle()
	if b == nil {
		return failureOf(entry.Result{Kind: entry.Refused, Reason: state.ReasonNoBundle})
	}
	customer, f := s.customers.find(b, string(ctx.Request.Header.Peek("Authorization")))
	if f != nil {
		return f
	}
	uri := string(ctx.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	if path == "/v1/models" {
		return listModels(ctx, b)
	}
	kind, f := route(path, string(ctx.Method()))
	if f != nil {
		return f
	}
	requestBody, release, f := s.readBody(ctx)
	if f != nil {
		return f
	}
	var c *call
	var service *state.ServicePolicy
	if kind == state.PlainCall {
		c, service, f = parsePlain(b, ctx, uri, requestBody)
	} else {
		c, service, f = parseModel(b, kind, path, requestBody)
	}
	if f == nil {
		c.request.ID = id
		f = c.applyHeaders(b, &ctx.Request.Header, customer, service, now)
	}
	if f != nil {
		release()
		return f
	}
	s.run(ctx, c, release)
	return nil
}

// route returns the kind of request that path names.
func route(path, method string) (state.Kind, *failure) {
	kind := state.PlainCall
	switch {
	case strings.HasPrefix(path, servicesPrefix):
		return kind, nil
	case path == "/v1/chat/completions":
		kind = state.ChatCompletion
	case path == "/v1/completions":
		kind = state.Completion
	default:
		return 0, invalid(http.StatusNotFound, codeNotFound, "no such path")
	}
	if method != http.MethodPost {
		return 0, invalid(http.StatusMethodNotAllowed, codeMethodNotAllowed, "want POST")
	}
	return kind, nil
}

// bodyLength returns the length of the body in bytes, or -1 for a chunked body,
// whose length is not known yet. fasthttp reports -2 for a request with neither
// Content-Length nor Transfer-Encoding, which has no body.
func bodyLength(ctx *fasthttp.RequestCtx) int {
	if n := ctx.Request.Header.ContentLength(); n >= -1 {
		return n
	}
	return 0
}

// readBody reads the body within the bounds. release must be called when the
// body is no longer used.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (data []byte, release func(), f *failure) {
	tooLarge := invalid(http.StatusRequestEntityTooLarge, state.ReasonTooLarge, "body is too large")
	length := bodyLength(ctx)
	if length > maxBody {
		return nil, nil, tooLarge
	}
	reserved := int64(length)
	if length < 0 {
		reserved = maxBody
	}
	if !s.bodies.TryAcquire(reserved) {
		return nil, nil, failureOf(entry.Result{Kind: entry.Refused, Reason: admission.ReasonOverloaded})
	}
	release = func() { s.bodies.Release(reserved) }
	if stream := ctx.RequestBodyStream(); stream != nil {
		var buffer bytes.Buffer
		buffer.Grow(max(0, length))
		if _, err := io.Copy(&buffer, io.LimitReader(stream, maxBody+1)); err != nil {
			release()
			return nil, nil, invalid(http.StatusBadRequest, codeInvalidRequest, "body could not be read")
		}
		data = buffer.Bytes()
	} else {
		data = bytes.Clone(ctx.PostBody())
	}
	if len(data) > maxBody {
		release()
		return nil, nil, tooLarge
	}
	return data, release, nil
}

// exchange is one request in progress as its handler sees it.
type exchange struct {
	ctx  *fasthttp.RequestCtx
	lost chan struct{} // closed when the caller has closed the connection
	done chan struct{} // closed when the request has ended
}

// run passes the request to the service and its response to the caller.
func (s *Server) run(ctx *fasthttp.RequestCtx, c *call, release func()) {
	e := &exchange{ctx: ctx, lost: make(chan struct{}), done: make(chan struct{})}
	switch {
	case c.request.Kind == state.PlainCall:
		out := &plainSink{body: newBody(maxHeld), started: make(chan struct{}), bodyless: c.request.Method == http.MethodHead}
		s.start(e, c, out, out.body, release)
		e.respondPlain(out)
	case c.stream:
		out := &eventSink{body: newBody(0), usage: c.usage}
		s.start(e, c, out, out.body, release)
		e.respondEvents(out)
	default:
		out := &wholeSink{body: newBody(0)}
		s.start(e, c, out, out.body, release)
		e.respondWhole(out)
	}
}

// start runs the request in the background. It outlives the handler when the
// response is streamed, and when the caller of a keyed request is gone.
func (s *Server) start(e *exchange, c *call, out sink, b *body, release func()) {
	caller, gone := context.WithCancel(context.Background())
	if watched, ok := e.ctx.Conn().(*conn); ok {
		watched.watchClose(func() {
			close(e.lost)
			gone()
			b.abort(io.ErrClosedPipe)
		})
	}
	go func() {
		defer gone()
		defer close(e.done)
		defer release()
		out.finish(s.cfg.Service.Do(caller, &c.request, c.blocks, out))
	}()
}

// abandon ends the handler of a caller that is gone.
func (e *exchange) abandon(b *body) {
	b.stream() // nothing is held back for the caller any more
	e.ctx.SetConnectionClose()
}

// respondEvents answers with server-sent events. It waits for the first event
// or the first keep-alive, so that an early refusal has a status of its own.
func (e *exchange) respondEvents(out *eventSink) {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	var r entry.Result
	select {
	case <-out.ready:
	case <-timer.C:
	case r = <-out.result:
	case <-e.lost:
		e.abandon(out.body)
		return
	}
	if r.Kind == 0 {
		held, ok := out.stream()
		if ok {
			if len(held) == 0 {
				held = keepAlive
			}
			setEventHeaders(e.ctx)
			go out.keepAlive(e.done)
			setStream(e.ctx, held, out.body)
			return
		}
		r = <-out.result
	}
	if r.Kind != entry.Complete {
		failureOf(r).write(e.ctx)
		return
	}
	setEventHeaders(e.ctx)
	e.ctx.SetBody(appendEvent(out.held, doneData))
}

func setEventHeaders(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
}

// setStream makes b, after what was held, the body of the response.
func setStream(ctx *fasthttp.RequestCtx, held []byte, b *body) {
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&streamReader{Reader: io.MultiReader(bytes.NewReader(held), b.reader), pipe: b.reader}, -1)
}

// respondWhole answers with the assembled response.
func (e *exchange) respondWhole(out *wholeSink) {
	var r entry.Result
	select {
	case r = <-out.result:
	case <-e.lost:
		e.abandon(out.body)
		return
	}
	if out.err != nil {
		f := failureOf(entry.Result{Kind: entry.Unknown, Err: out.err})
		if errors.Is(out.err, errTooLarge) {
			f.code = codeResponseTooLarge
		}
		f.write(e.ctx)
		return
	}
	if r.Kind != entry.Complete {
		failureOf(r).write(e.ctx)
		return
	}
	e.ctx.SetContentType("application/json")
	e.ctx.SetBody(out.response())
}

// respondPlain answers with a plain service's response, in one piece when it is
// short and ends soon.
func (e *exchange) respondPlain(out *plainSink) {
	var r entry.Result
	select {
	case <-out.ready:
	case r = <-out.result:
	case <-out.started:
		r = holdPlain(out)
	case <-e.lost:
		e.abandon(out.body)
		return
	}
	if r.Kind == 0 {
		held, ok := out.stream()
		if ok {
			out.writeHead(e.ctx)
			setStream(e.ctx, held, out.body)
			return
		}
		r = <-out.result
	}
	if r.Kind != entry.Complete {
		failureOf(r).write(e.ctx)
		return
	}
	out.writeHead(e.ctx)
	e.ctx.SetBody(out.held)
}

// holdPlain waits for a short response to end. It returns no result when the
// response must be streamed.
func holdPlain(out *plainSink) entry.Result {
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-out.ready:
	case <-timer.C:
		if out.bodyless {
			return <-out.result
		}
	case r := <-out.result:
		return r
	}
	return entry.Result{}
}

// model is one row of the list of models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels answers with the models that the bundle's services serve.
func listModels(ctx *fasthttp.RequestCtx, b *state.Bundle) *failure {
	if !ctx.IsGet() && !ctx.IsHead() {
		return invalid(http.StatusMethodNotAllowed, codeMethodNotAllowed, "want GET")
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, service := range b.Services {
		for _, name := range service.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: string(service.Name)})
		}
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(mustMarshal(list))
	return nil
}
