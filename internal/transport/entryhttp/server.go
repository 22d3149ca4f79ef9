package entryhttp

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
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

const servicesPrefix = "/services/"

// Service runs requests. *entry.Service implements it. promptBlocks are the hashes
// from state.PromptBlockHashes, nil for a plain call.
type Service interface {
	Do(ctx context.Context, req *state.Request, promptBlocks []uint64, sink entry.Sink) entry.Result
}

// Config configures a Server. All fields are required.
type Config struct {
	Service Service
	// Bundle returns the bundle in effect, nil for none.
	Bundle func() *state.Bundle
	// MaxConnections bounds the open connections from callers.
	MaxConnections int
	// MaxBodyBytes bounds the total size of the bodies of all requests in progress.
	MaxBodyBytes int64
	Log          *zap.Logger
}

// Server serves callers.
type Server struct {
	cfg           Config
	http          *fasthttp.Server
	authenticator authenticator
	bodyBytes     *semaphore.Weighted
	listener      atomic.Pointer[listener]
	stopping      atomic.Bool // StopAccepting was called
}

// responseSink is an entry.Sink for one way of responding. finish is called with the
// result of the request after the last chunk.
type responseSink interface {
	entry.Sink
	finish(entry.Result)
}

// New returns a server. Serve starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, bodyBytes: semaphore.NewWeighted(cfg.MaxBodyBytes)}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  writeProtocolError,
		Concurrency:                   cfg.MaxConnections + 1, // the listener enforces the limit and sends a response above it
		ReadBufferSize:                maxHeaderBytes,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		MaxRequestBodySize:            maxBodyBytes,
		StreamRequestBody:             true, // a body is read only after the caller is authenticated
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		CloseOnShutdown:               true,
		SecureErrorLogMessage:         true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        httpLogger{cfg.Log},
	}
	return s
}

// Serve accepts connections from l until Shutdown or StopAccepting is called.
func (s *Server) Serve(l net.Listener) error {
	bounded := newListener(netconn.DeliverBeforeClose(netconn.RetryAccept(l, s.cfg.Log.With(zap.String("listener", "callers")))), s.cfg.MaxConnections)
	s.listener.Store(bounded)
	if s.stopping.Load() {
		bounded.Close()
	}
	return s.http.Serve(bounded)
}

// StopAccepting closes the listener, so that callers connect to another entry,
// and sets "Connection: close" on every response from now on. Otherwise a caller
// may send a request on a pooled connection while Shutdown closes it, and would
// not learn whether the request ran.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
	if l := s.listener.Load(); l != nil {
		l.Close()
	}
}

// Shutdown stops accepting connections, closes idle ones and waits until those with
// a request in progress are done or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// httpLogger writes what fasthttp logs about connections at level debug.
type httpLogger struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) { l.log.Sugar().Debugf(format, args...) }

// writeProtocolError answers a request that could not be read.
func writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	f := invalidRequest(http.StatusBadRequest, codeInvalidRequest, "request could not be read")
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		f = invalidRequest(http.StatusRequestHeaderFieldsTooLarge, codeInvalidRequest, "headers are too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f = invalidRequest(http.StatusRequestEntityTooLarge, state.ReasonTooLarge, "body is too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		f = invalidRequest(http.StatusRequestTimeout, codeInvalidRequest, "request did not arrive in time")
	}
	f.write(ctx)
}

// handle serves one request and logs it if it is rejected. After a rejected request
// whose body is large or of unknown length, the connection is closed.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	id := uuid.NewString()
	ctx.Response.Header.Set(headerRequestID, id)
	if f := s.serve(ctx, state.RequestID(id)); f != nil {
		s.cfg.Log.Info("request rejected", zap.String("request", id), zap.String("reason", string(f.code)), zap.Int("status", f.status), zap.String("detail", f.message))
		f.write(ctx)
		length := bodyLength(ctx)
		if c, ok := ctx.Conn().(*conn); ok && (length < 0 || length > maxDrainedBytes) {
			c.lingerOnClose.Store(true)
			ctx.SetConnectionClose()
		}
	}
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// serve authenticates, parses and runs one request. It returns a failure for a
// request that is not passed to the service.
func (s *Server) serve(ctx *fasthttp.RequestCtx, id state.RequestID) *failure {
	now := time.Now()
	b := s.cfg.Bundle()
	if b == nil {
		return failureForResult(entry.Result{Kind: entry.Refused, Reason: state.ReasonNoBundle})
	}
	customer, f := s.authenticator.authenticate(b, string(ctx.Request.Header.Peek("Authorization")))
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
	requestBody, releaseBody, f := s.readBody(ctx)
	if f != nil {
		return f
	}
	var parsed *parsedRequest
	var service *state.ServicePolicy
	if kind == state.PlainCall {
		parsed, service, f = parsePlainRequest(b, ctx, uri, requestBody)
	} else {
		parsed, service, f = parseModelRequest(b, kind, path, requestBody)
	}
	if f == nil {
		parsed.request.ID = id
		f = parsed.applyHeaders(b, &ctx.Request.Header, customer, service, now)
	}
	if f != nil {
		releaseBody()
		return f
	}
	s.run(ctx, parsed, releaseBody)
	return nil
}

// route returns the kind of request for a path and checks the method.
func route(path, method string) (state.RequestKind, *failure) {
	kind := state.PlainCall
	switch {
	case strings.HasPrefix(path, servicesPrefix):
		return kind, nil
	case path == "/v1/chat/completions":
		kind = state.ChatCompletion
	case path == "/v1/completions":
		kind = state.Completion
	default:
		return 0, invalidRequest(http.StatusNotFound, codeNotFound, "no such path")
	}
	if method != http.MethodPost {
		return 0, invalidRequest(http.StatusMethodNotAllowed, codeMethodNotAllowed, "want POST")
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

// readBody reads the body and reserves memory for it, up to MaxBodyBytes for all
// requests. A body of unknown length reserves maxBodyBytes. releaseBody must be
// called when the body is no longer used.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (data []byte, releaseBody func(), f *failure) {
	tooLarge := invalidRequest(http.StatusRequestEntityTooLarge, state.ReasonTooLarge, "body is too large")
	length := bodyLength(ctx)
	if length > maxBodyBytes {
		return nil, nil, tooLarge
	}
	reserved := int64(length)
	if length < 0 {
		reserved = maxBodyBytes
	}
	if !s.bodyBytes.TryAcquire(reserved) {
		return nil, nil, failureForResult(entry.Result{Kind: entry.Refused, Reason: admission.ReasonOverloaded})
	}
	releaseBody = func() { s.bodyBytes.Release(reserved) }
	if stream := ctx.RequestBodyStream(); stream != nil {
		var buffer bytes.Buffer
		buffer.Grow(max(0, length))
		if _, err := io.Copy(&buffer, io.LimitReader(stream, maxBodyBytes+1)); err != nil {
			releaseBody()
			return nil, nil, invalidRequest(http.StatusBadRequest, codeInvalidRequest, "body could not be read")
		}
		data = buffer.Bytes()
	} else {
		data = bytes.Clone(ctx.PostBody())
	}
	if len(data) > maxBodyBytes {
		releaseBody()
		return nil, nil, tooLarge
	}
	return data, releaseBody, nil
}

// exchange is the HTTP handler's state of one request in progress.
type exchange struct {
	ctx        *fasthttp.RequestCtx
	callerGone chan struct{} // closed when the caller has closed the connection
	done       chan struct{} // closed when the request has ended
}

// run passes the request to the service and the response to the caller.
func (s *Server) run(ctx *fasthttp.RequestCtx, parsed *parsedRequest, releaseBody func()) {
	e := &exchange{ctx: ctx, callerGone: make(chan struct{}), done: make(chan struct{})}
	switch {
	case parsed.request.Kind == state.PlainCall:
		out := &plainSink{responseBody: newResponseBody(maxPlainBufferBytes), headReceived: make(chan struct{}), noBody: parsed.request.Method == http.MethodHead}
		s.startRequest(e, parsed, out, out.responseBody, releaseBody)
		e.respondPlain(out)
	case parsed.stream:
		out := &eventSink{responseBody: newResponseBody(0), includeUsage: parsed.includeUsage}
		s.startRequest(e, parsed, out, out.responseBody, releaseBody)
		e.respondEvents(out)
	default:
		out := &assemblingSink{responseBody: newResponseBody(0)}
		s.startRequest(e, parsed, out, out.responseBody, releaseBody)
		e.respondAssembled(out)
	}
}

// startRequest runs the request in the background. The request outlives the handler
// when the response is streamed, and when it has an idempotency key and its caller
// is gone.
func (s *Server) startRequest(e *exchange, parsed *parsedRequest, out responseSink, b *responseBody, releaseBody func()) {
	callerCtx, cancelCaller := context.WithCancel(context.Background())
	if callerConn, ok := e.ctx.Conn().(*conn); ok {
		callerConn.watchClose(func() {
			close(e.callerGone)
			cancelCaller()
			b.failWrites(io.ErrClosedPipe)
		})
	}
	go func() {
		defer cancelCaller()
		defer close(e.done)
		defer releaseBody()
		out.finish(s.cfg.Service.Do(callerCtx, &parsed.request, parsed.promptBlocks, out))
	}()
}

// abandon ends the handler of a caller that is gone. Streaming mode unblocks a
// pending write; later writes fail. The connection is closed before fasthttp writes an
// empty response, which a caller that has closed only its sending side would receive.
func (e *exchange) abandon(b *responseBody) {
	b.startStreaming()
	e.ctx.Conn().Close() // fails only on a connection that is closed already
}

// respondEvents answers with server-sent events. The status is sent with the first
// event or keep-alive comment, so that a request that fails earlier gets an error
// status.
func (e *exchange) respondEvents(out *eventSink) {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	var r entry.Result
	select {
	case <-out.overflow:
	case <-timer.C:
	case r = <-out.result:
	case <-e.callerGone:
		e.abandon(out.responseBody)
		return
	}
	if r.Kind == 0 {
		buffered, ok := out.startStreaming()
		if ok {
			if len(buffered) == 0 {
				buffered = keepAliveComment
			}
			setEventHeaders(e.ctx)
			go out.sendKeepAlives(e.done)
			setBodyStream(e.ctx, buffered, out.responseBody)
			return
		}
		r = <-out.result
	}
	if r.Kind != entry.Complete {
		failureForResult(r).write(e.ctx)
		return
	}
	setEventHeaders(e.ctx)
	e.ctx.SetBody(appendEvent(out.buffered, doneData))
}

func setEventHeaders(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
}

// setBodyStream makes the buffered data, followed by the stream of b, the body of
// the response.
func setBodyStream(ctx *fasthttp.RequestCtx, buffered []byte, b *responseBody) {
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&streamReader{Reader: io.MultiReader(bytes.NewReader(buffered), b.reader), pipe: b.reader}, -1)
}

// respondAssembled answers with the response that out has assembled from chunks.
func (e *exchange) respondAssembled(out *assemblingSink) {
	var r entry.Result
	select {
	case r = <-out.result:
	case <-e.callerGone:
		e.abandon(out.responseBody)
		return
	}
	if out.err != nil {
		f := failureForResult(entry.Result{Kind: entry.Unknown, Err: out.err})
		if errors.Is(out.err, errResponseTooLarge) {
			f.code = codeResponseTooLarge
		}
		f.write(e.ctx)
		return
	}
	if r.Kind != entry.Complete {
		failureForResult(r).write(e.ctx)
		return
	}
	e.ctx.SetContentType("application/json")
	e.ctx.SetBody(out.response())
}

// respondPlain answers with a plain service's response. A response that is short
// and ends soon is sent with its length, so that a failure can still change the
// status; others are streamed.
func (e *exchange) respondPlain(out *plainSink) {
	var r entry.Result
	select {
	case <-out.overflow:
	case r = <-out.result:
	case <-out.headReceived:
		r = awaitShortResponse(out)
	case <-e.callerGone:
		e.abandon(out.responseBody)
		return
	}
	if r.Kind == 0 {
		buffered, ok := out.startStreaming()
		if ok {
			out.writeHead(e.ctx)
			setBodyStream(e.ctx, buffered, out.responseBody)
			return
		}
		r = <-out.result
	}
	if r.Kind != entry.Complete {
		failureForResult(r).write(e.ctx)
		return
	}
	out.writeHead(e.ctx)
	e.ctx.SetBody(out.buffered)
}

// awaitShortResponse waits up to plainBufferTime for the response to end. It returns
// a zero result when the response must be streamed. A response without a body is
// not streamed, so its end is awaited without a limit.
func awaitShortResponse(out *plainSink) entry.Result {
	timer := time.NewTimer(plainBufferTime)
	defer timer.Stop()
	select {
	case <-out.overflow:
	case <-timer.C:
		if out.noBody {
			return <-out.result
		}
	case r := <-out.result:
		return r
	}
	return entry.Result{}
}

// modelEntry is one element of the list of models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels answers with the models of all services in the bundle.
func listModels(ctx *fasthttp.RequestCtx, b *state.Bundle) *failure {
	if !ctx.IsGet() && !ctx.IsHead() {
		return invalidRequest(http.StatusMethodNotAllowed, codeMethodNotAllowed, "want GET")
	}
	list := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{Object: "list", Data: []modelEntry{}}
	for _, service := range b.Services {
		for _, name := range service.Models {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: string(service.Name)})
		}
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(mustMarshal(list))
	return nil
}
