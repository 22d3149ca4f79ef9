// Package gatewayhttp is the HTTP server in front of package gateway, for callers on
// the users' platform. The server for callers of a deployment with side processes is
// package entryhttp.
//
// It is built on net/http rather than fasthttp, for two reasons: it must notice that a
// caller disconnects while its request waits, and it must be able to end an incomplete
// stream such that the caller can tell.
package gatewayhttp

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 5 * time.Second
	// writeTimeout bounds the writing of each maxWriteBytes of a response. It ends connections
	// whose callers do not read, and not those of callers that read slowly.
	writeTimeout  = 10 * time.Second
	maxWriteBytes = 64 << 10
	// maxHeaderBytes bounds the head that the server reads. The operator's limit is
	// checked after the head was read.
	maxHeaderBytes = 64 << 10
	// Idle connections are closed after the operator's limit times idleTimeoutFactor, so
	// that a request sent within the limit does not cross the close of its connection.
	idleTimeoutFactor = 1.2
	// idleCheckInterval is the time between searches for idle connections to close.
	idleCheckInterval = time.Second
	// idleCloseDelay is the time from the start of a planned stop until idle connections
	// are closed, at most maxIdleCloseShare of the time that the stop may take. The platform
	// probes readiness every second and needs two probes to send new connections to other
	// entries. While no other entry of the failure domain is ready, it keeps sending them
	// here. After the delay, only requests that end before the stop does are sent.
	idleCloseDelay    = 2700 * time.Millisecond
	maxIdleCloseShare = 0.5
	// answerTime is the time that a planned stop leaves for the answers to requests that it
	// ends.
	answerTime = 200 * time.Millisecond
	// quietPeriod is the time without a request in progress, or a response that its caller has
	// not received, after which a planned stop ends. A request that crossed the close of its
	// connection may still arrive in it.
	quietPeriod = 200 * time.Millisecond
	// stopCheckInterval is the time between checks whether a planned stop may end.
	stopCheckInterval = 20 * time.Millisecond
)

// Server accepts HTTP requests of callers and passes them to the gateway.
type Server struct {
	Gateway *gateway.Service
	Log     *zap.Logger
	// MaxConnections bounds the connections of callers; 0 for no bound.
	MaxConnections int
	// Memory covers what is read of requests; nil for no bound.
	Memory *memory.Account

	stopping     atomic.Bool // responses close their connections
	refuseAll    atomic.Bool // no request is accepted
	openRequests atomic.Int64
	connections  connections
}

// Serve serves on address until ctx ends.
func (s *Server) Serve(ctx context.Context, address string) error {
	config := netconn.ListenConfig()
	ln, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	go s.closeExpiredIdle(ctx)
	return s.serve(ctx, ln)
}

// serve serves on ln until ctx ends.
func (s *Server) serve(ctx context.Context, ln net.Listener) error {
	server := s.newHTTPServer()
	accepted := netconn.RetryAccept(newBoundedListener(ln, &s.connections), s.Log.With(zap.String("listener", "callers")))
	return netconn.Serve(ctx, server, &callerListener{netconn.DeliverBeforeClose(accepted), s})
}

// newHTTPServer returns the HTTP server of s.
func (s *Server) newHTTPServer() *http.Server {
	s.connections.init(s.MaxConnections, s.Log)
	if s.Memory == nil {
		s.Memory = memory.New(memory.Limits{})
	}
	return &http.Server{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		// IdleTimeout bounds idle connections when the operator sets no limit.
		IdleTimeout: 10 * time.Minute,
		ConnState:   s.trackConn, DisableGeneralOptionsHandler: true, ErrorLog: zap.NewStdLog(s.Log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// trackConn is the ConnState hook of the server.
func (s *Server) trackConn(c net.Conn, st http.ConnState) {
	if conn, ok := c.(*callerConn); ok && (st == http.StateIdle || st == http.StateClosed) {
		conn.awaitHead()
	}
	s.connections.track(c, st)
}

// limits returns the operator's limits.
func (s *Server) limits() state.CallerLimits {
	if c := s.Gateway.Configuration(); c != nil {
		return c.Limits
	}
	return state.CallerLimits{}
}

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// ConnectionCounts are the numbers of callers' connections, for the expvar
// "caller_connections".
type ConnectionCounts struct {
	Open  int `json:"open"`
	Idle  int `json:"idle"`
	Bound int `json:"bound"` // 0 for none
}

// Connections returns the numbers of callers' connections.
func (s *Server) Connections() ConnectionCounts {
	open, idle := s.connections.count()
	return ConnectionCounts{Open: open, Idle: idle, Bound: s.MaxConnections}
}

// Stop performs a planned stop: responses close their connections from now on. After
// idleCloseDelay, idle connections are closed, and requests that will not end answerTime
// before the deadline of ctx are refused. Stop returns when no request has been in progress
// for quietPeriod, or answerTime before the deadline, when it ends those that still are.
// Without a deadline, Stop waits for all that were sent.
func (s *Server) Stop(ctx context.Context) {
	began := time.Now()
	end, closeIdleFrom := began, began.Add(idleCloseDelay)
	if deadline, limited := ctx.Deadline(); limited {
		end = deadline.Add(-answerTime)
		closeIdleFrom = began.Add(min(idleCloseDelay, time.Duration(maxIdleCloseShare*float64(end.Sub(began)))))
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	s.stopping.Store(true)
	s.awaitQuiet(ctx, closeIdleFrom, end)
	s.refuseAll.Store(true)
	s.endRequests(ctx)
}

// awaitQuiet waits until no request has been in progress for quietPeriod, or until ctx ends.
// From closeIdleFrom on it closes idle connections, and requests are sent only if they end
// by end.
func (s *Server) awaitQuiet(ctx context.Context, closeIdleFrom, end time.Time) {
	tick := time.NewTicker(stopCheckInterval)
	defer tick.Stop()
	stopBySet, quietSince := false, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if now.Before(closeIdleFrom) {
				continue
			}
			if !stopBySet {
				s.Gateway.StopBy(end)
				stopBySet = true
			}
			s.connections.closeIdle(now, 0)
			if s.openRequests.Load() > 0 || netconn.Delivering() > 0 {
				quietSince = time.Time{}
				continue
			}
			if quietSince.IsZero() {
				quietSince = now
			}
			if now.Sub(quietSince) > quietPeriod {
				return
			}
		}
	}
}

// endRequests waits for the requests that were accepted before refuseAll was set. If ctx ends
// before, it ends them and leaves answerTime for their answers. handle counts a request in
// openRequests before it checks refuseAll, so each request is either refused or waited for.
func (s *Server) endRequests(ctx context.Context) {
	for s.openRequests.Load() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	open := s.openRequests.Load()
	if open == 0 {
		return
	}
	s.Log.Warn("planned stop ends requests", zap.Int64("open", open))
	s.Gateway.EndRequests()
	for end := time.Now().Add(answerTime); s.openRequests.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// closeExpiredIdle closes connections that have been idle for longer than the operator
// allows, until ctx ends.
func (s *Server) closeExpiredIdle(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if c := s.Gateway.Configuration(); c != nil && c.Limits.IdleTimeout > 0 {
				s.connections.closeIdle(now, time.Duration(idleTimeoutFactor*float64(c.Limits.IdleTimeout)))
			}
		}
	}
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	limits := s.limits()
	call := s.decodeHead(w, r, limits)
	if call == nil {
		return
	}
	out := &responder{w: w, control: http.NewResponseController(w), call: call, conn: connWithoutChunks(r), closeConnection: s.stopping.Load}
	if hasBody(r) {
		release, ok := s.receiveBody(r, out, limits.MaxBodyBytes)
		defer release()
		if !ok {
			return
		}
	}
	arrived := time.Now()
	if s.refuseUnserved(r, out, out) {
		return
	}
	s.Gateway.Serve(r.Context(), call, arrived, out)
	if out.aborted {
		panic(http.ErrAbortHandler) // closes the connection without ending the response
	}
}

// decodeHead returns the call of a request whose body has not been read. If the request is
// not valid, it rejects it and returns nil.
func (s *Server) decodeHead(w http.ResponseWriter, r *http.Request, limits state.CallerLimits) *state.Call {
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		s.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return nil
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes {
		s.reject(w, r, http.StatusRequestEntityTooLarge, "body too large")
		return nil
	}
	call, err := platform.DecodeCall(r, nil)
	if err != nil {
		s.reject(w, r, http.StatusBadRequest, err.Error())
		return nil
	}
	return call
}

// refuseUnserved refuses a request that is not passed to the gateway because a planned stop
// ends or there are too many connections. It reports whether it did. answer is out, or answers
// by means of it.
func (s *Server) refuseUnserved(r *http.Request, out *responder, answer gateway.Responder) bool {
	if s.refuseAll.Load() {
		s.refuse(answer, out.call, dispatch.ReasonStopping, dispatch.StoppingRetryAfter)
		return true
	}
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && s.connections.isAboveBound(conn) {
		out.closeConnection = func() bool { return true }
		s.refuse(answer, out.call, reasonConnections, connectionsRetryAfter)
		return true
	}
	return false
}

// refuse answers a request that is not passed to the gateway.
func (s *Server) refuse(out gateway.Responder, call *state.Call, reason string, retryAfter time.Duration) {
	s.Log.Info("request refused", zap.String("request", string(call.ID)), zap.String("reason", reason))
	if err := out.Fail(gateway.Failure{Kind: gateway.NotRun, Reason: reason, RetryAfter: retryAfter}); err != nil {
		s.Log.Info("write to caller failed", zap.String("request", string(call.ID)), zap.Error(err))
	}
}

// connKey is the key under which the context of a request holds its connection.
type connKey struct{}

// lingerer is a connection of which SetLinger says how it is closed, as that of net.TCPConn does.
type lingerer interface{ SetLinger(seconds int) error }

// connWithoutChunks returns the connection of a request whose response cannot have chunks, and
// nil for any other request.
func connWithoutChunks(r *http.Request) lingerer {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	c, _ := r.Context().Value(connKey{}).(lingerer)
	return c
}

// reject answers an invalid request with status and closes the connection, because the
// unread rest of the request may follow on it.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	s.Log.Info("request rejected", zap.String("caller", r.RemoteAddr), zap.Int("status", status), zap.String("reason", reason))
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// headerBytes returns the size of the method, URI, host and header fields in bytes. Each
// field counts 4 bytes for separators.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// responder implements gateway.Responder for one request.
type responder struct {
	w               http.ResponseWriter
	control         *http.ResponseController
	call            *state.Call
	conn            lingerer    // from connWithoutChunks
	closeConnection func() bool // the response must close the connection
	aborted         bool        // Abort was called
}

var _ gateway.Responder = (*responder)(nil)

// setHeader sets the header fields of a response.
func (o *responder) setHeader(r *state.Response) {
	h := o.w.Header()
	for _, f := range r.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	o.setConnectionClose(h)
}

// setConnectionClose announces that the connection is closed after the response, if it
// is to be.
func (o *responder) setConnectionClose(h http.Header) {
	if o.closeConnection() {
		h.Set("Connection", "close")
	}
}

// extendWriteDeadline sets the write deadline to writeTimeout from now.
func (o *responder) extendWriteDeadline() error {
	return o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// Respond implements gateway.Responder.
func (o *responder) Respond(r *state.Response, body []byte) error {
	o.setHeader(r)
	if state.StatusMayHaveBody(r.Status) {
		o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if err := o.extendWriteDeadline(); err != nil {
		return err
	}
	o.w.WriteHeader(r.Status)
	return o.write(body)
}

// write writes b and flushes it. Each piece has a deadline of its own.
func (o *responder) write(b []byte) error {
	for piece := range slices.Chunk(b, maxWriteBytes) {
		if err := o.extendWriteDeadline(); err != nil {
			return err
		}
		if _, err := o.w.Write(piece); err != nil {
			return err
		}
	}
	return o.control.Flush()
}

// BeginStream implements gateway.Responder. A stream without chunks ends with its connection, so
// that only a reset tells the caller that it is incomplete. Until EndStream, each close of the
// connection resets it, also that by the kernel when the process is killed.
func (o *responder) BeginStream(r *state.Response) error {
	if o.conn != nil {
		if err := o.conn.SetLinger(0); err != nil {
			return err
		}
	}
	o.setHeader(r)
	o.w.WriteHeader(r.Status)
	return nil
}

// WriteEvent implements gateway.Responder.
func (o *responder) WriteEvent(b []byte) error { return o.write(b) }

// EndStream implements gateway.Responder. net/http writes the end of the response when
// the handler returns.
func (o *responder) EndStream() error {
	if o.conn != nil {
		if err := o.conn.SetLinger(-1); err != nil {
			return err
		}
	}
	return o.extendWriteDeadline()
}

// Abort implements gateway.Responder.
func (o *responder) Abort() { o.aborted = true }

// Fail implements gateway.Responder.
func (o *responder) Fail(f gateway.Failure) error {
	h := o.w.Header()
	platform.SetRequestID(h, o.call.ID)
	if f.RetryAfter > 0 {
		platform.SetRetryAfter(h, f.RetryAfter)
	}
	h.Set("Content-Length", "0")
	o.setConnectionClose(h)
	if err := o.extendWriteDeadline(); err != nil {
		return err
	}
	o.w.WriteHeader(platform.FailureStatus(f.Kind))
	return o.control.Flush()
}
