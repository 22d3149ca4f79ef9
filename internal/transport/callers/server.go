// Package callers serves the callers of an entry on the users' platform.
//
// It is built on net/http rather than fasthttp, because a caller that leaves
// while its request waits must be noticed, and because a stream is cut short in a
// way that the caller can tell.
package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// headerTimeout bounds the arrival of a request's head. The server needs it
	// before the operator's own limit is known.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the arrival of a request's body.
	bodyTimeout = 10 * time.Second
	// writeTimeout ends a connection whose caller reads nothing.
	writeTimeout = 10 * time.Second
	maxHeader    = 64 << 10 // bytes, before the operator's limit is known
	// idleSlack keeps idle connections longer than the operator's limit, so that
	// no request crosses the close.
	idleSlack     = 1.2
	sweepInterval = time.Second
	// closeAfterStop is when idle connections are closed after a planned stop
	// began. The platform needs two questions, a second apart, to send new
	// connections elsewhere, and sends them here all the same while no other entry
	// of the failure domain is ready. From then on only requests are taken that
	// will be finished when the grace period ends.
	closeAfterStop = 2700 * time.Millisecond
	// quietTime without a request ends a planned stop: a request that crossed the
	// close of its connection may still arrive.
	quietTime = 200 * time.Millisecond
	// stoppingRetry is when a caller may come back, to another entry.
	stoppingRetry = 50 * time.Millisecond
)

// Server serves callers.
type Server struct {
	Gateway *gateway.Service
	Log     *zap.Logger

	stopping atomic.Bool // responses close their connections
	closing  atomic.Bool // only short requests are taken
	refusing atomic.Bool // no request is taken
	stopsAt  atomic.Pointer[time.Time]
	open     atomic.Int64
	mu       sync.Mutex
	idle     map[net.Conn]time.Time // since when
}

// Serve serves on address until ctx ends.
func (s *Server) Serve(ctx context.Context, address string) error {
	config := netconn.ListenConfig()
	ln, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	s.idle = make(map[net.Conn]time.Time)
	server := &http.Server{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ConnState: s.connState, DisableGeneralOptionsHandler: true, ErrorLog: zap.NewStdLog(s.Log),
	}
	// Without an own value the read timeout would end idle connections.
	server.IdleTimeout = 10 * time.Minute
	go s.sweep(ctx)
	return netconn.Serve(ctx, server, ln)
}

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// Stop begins a planned stop: responses close their connections from now on, and
// idle connections are closed once the platform sends no new ones. It returns
// when no request is in progress or ctx ends.
func (s *Server) Stop(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		s.stopsAt.Store(&end)
	}
	s.stopping.Store(true)
	began := time.Now()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	quietSince := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if now.Sub(began) < closeAfterStop {
				continue
			}
			s.closing.Store(true)
			s.closeIdle(now, 0)
			if s.open.Load() > 0 {
				quietSince = time.Time{}
				continue
			}
			if quietSince.IsZero() {
				quietSince = now
			}
			if now.Sub(quietSince) > quietTime {
				s.finish(ctx)
				return
			}
		}
	}
}

// finish refuses all further requests and waits for one that was taken just before.
// A request that is counted as open before the refusal began is waited for; one
// that is counted later is refused.
func (s *Server) finish(ctx context.Context) {
	s.refusing.Store(true)
	for s.open.Load() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

func (s *Server) connState(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateIdle {
		s.idle[c] = time.Now()
	} else {
		delete(s.idle, c)
	}
}

func (s *Server) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if c := s.Gateway.Configuration(); c != nil && c.Limits.IdleTimeout > 0 {
				s.closeIdle(now, time.Duration(idleSlack*float64(c.Limits.IdleTimeout)))
			}
		}
	}
}

// closeIdle ends connections that have been idle for limit. A read deadline in
// the past makes the server close them unless a request was just read: closing
// them here could cut a request that is already being passed on.
func (s *Server) closeIdle(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) < limit {
			continue
		}
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			s.Log.Debug("idle connection not closed", zap.Error(err))
		}
	}
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	control := http.NewResponseController(w)
	limits := state.CallerLimits{}
	if c := s.Gateway.Configuration(); c != nil {
		limits = c.Limits
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		s.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return
	}
	body, status := readBody(w, r, control, limits)
	if status != 0 {
		s.reject(w, r, status, "body not read")
		return
	}
	arrived := time.Now()
	call, err := platform.DecodeCall(r, body)
	if err != nil {
		s.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	out := &responder{w: w, control: control, call: call, closing: s.stopping.Load}
	if s.refusing.Load() || s.closing.Load() && !s.finishes(call, arrived) {
		s.Log.Info("request refused", zap.String("request", string(call.ID)), zap.String("reason", "stopping"))
		if err := out.Fail(gateway.Failure{Kind: gateway.NotRun, Reason: "stopping", RetryAfter: stoppingRetry}); err != nil {
			s.Log.Info("write to caller failed", zap.String("request", string(call.ID)), zap.Error(err))
		}
		return
	}
	s.Gateway.Serve(r.Context(), call, arrived, out)
	if out.aborted {
		panic(http.ErrAbortHandler) // closes the connection without the end of the response
	}
}

// The longest time that a request takes: at an engine that is several times slower
// than most, with its slots full.
const (
	stopFixed     = 800 * time.Millisecond
	stopPerPrompt = 40 * time.Microsecond // for each prompt token
	stopPerOutput = 15 * time.Millisecond // for each output token
)

// finishes reports whether a request will be finished before a planned stop ends.
func (s *Server) finishes(call *state.Call, arrived time.Time) bool {
	end := s.stopsAt.Load()
	if end == nil {
		return false
	}
	longest := stopFixed + time.Duration(call.PromptTokens)*stopPerPrompt + time.Duration(call.MaxOutputTokens)*stopPerOutput
	return arrived.Add(longest).Before(*end)
}

// reject answers a request that is not proper and closes the connection, on
// which more of it may follow.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	s.Log.Info("request rejected", zap.String("caller", r.RemoteAddr), zap.Int("status", status), zap.String("reason", reason))
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// readBody returns the body, or the status to answer with.
func readBody(w http.ResponseWriter, r *http.Request, control *http.ResponseController, limits state.CallerLimits) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if limits.MaxBodyBytes > 0 {
		if r.ContentLength > limits.MaxBodyBytes {
			return nil, http.StatusRequestEntityTooLarge
		}
		r.Body = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, http.StatusInternalServerError
	}
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, http.StatusInternalServerError
	}
	return body, 0
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// responder implements gateway.Responder.
type responder struct {
	w       http.ResponseWriter
	control *http.ResponseController
	call    *state.Call
	closing func() bool
	aborted bool
}

var _ gateway.Responder = (*responder)(nil)

func (o *responder) head(r *state.Response) {
	h := o.w.Header()
	for _, f := range r.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	o.common(h)
}

func (o *responder) common(h http.Header) {
	if o.closing() {
		h.Set("Connection", "close")
	}
}

func (o *responder) deadline() error { return o.control.SetWriteDeadline(time.Now().Add(writeTimeout)) }

// Respond implements gateway.Responder.
func (o *responder) Respond(r *state.Response, body []byte) error {
	o.head(r)
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if err := o.deadline(); err != nil {
		return err
	}
	o.w.WriteHeader(r.Status)
	if len(body) > 0 {
		if _, err := o.w.Write(body); err != nil {
			return err
		}
	}
	return o.control.Flush()
}

// BeginStream implements gateway.Responder.
func (o *responder) BeginStream(r *state.Response) error {
	o.head(r)
	o.w.WriteHeader(r.Status)
	return nil
}

// WriteEvent implements gateway.Responder.
func (o *responder) WriteEvent(b []byte) error {
	if err := o.deadline(); err != nil {
		return err
	}
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return o.control.Flush()
}

// EndStream implements gateway.Responder. The server writes the end of the response
// when the handler returns.
func (o *responder) EndStream() error { return o.deadline() }

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
	o.common(h)
	if err := o.deadline(); err != nil {
		return err
	}
	o.w.WriteHeader(platform.FailureStatus(f.Kind))
	return o.control.Flush()
}
