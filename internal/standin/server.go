package standin

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBodyBytes bounds request bodies; it is enough for a prompt of two million
// tokens.
const maxBodyBytes = 8 << 20

// server is the HTTP server of one stand-in, with fault injection.
type server struct {
	name    string
	ln      *listener
	faults  *faults
	ctx     context.Context
	latency time.Duration // of every call
	// lagDelaysCalls makes the fault "lag" delay every call; otherwise the handler
	// decides what lags.
	lagDelaysCalls bool
	// allMethodsHaveEffect makes the fault "lose_ack" apply to GET and HEAD too.
	allMethodsHaveEffect bool
	handler              fasthttp.RequestHandler
}

// serve starts to serve in a goroutine that ends when the listener is closed.
func (s *server) serve(wg *sync.WaitGroup) {
	hs := &fasthttp.Server{
		Name:                         "cassiaramp-standin",
		Handler:                      s.handle,
		MaxRequestBodySize:           maxBodyBytes,
		DisablePreParseMultipartForm: true,
		NoDefaultDate:                true,
		Logger:                       discardLogger{},
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		hs.Serve(s.ln) // ends with nil when the listener is closed
	}()
}

// discardLogger drops fasthttp's reports of broken connections, which faults
// cause on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// handle applies the faults around the handler of the stand-in.
func (s *server) handle(ctx *fasthttp.RequestCtx) {
	if s.faults.shouldFailCall() {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "injected_error", "error injected by the fault error_rate")
		return
	}
	delay := s.faults.scaled(s.latency)
	if s.lagDelaysCalls {
		delay += s.faults.currentLag()
	}
	s.sleep(delay)
	s.handler(ctx)
	hasEffect := s.allMethodsHaveEffect || !ctx.IsGet() && !ctx.IsHead()
	if hasEffect && ctx.Response.StatusCode() < fasthttp.StatusBadRequest && s.faults.shouldLoseAck() {
		closeWithoutResponse(ctx)
	}
}

// closeWithoutResponse discards the response and closes the connection.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// sleep waits for d, or until the Platform is closed.
func (s *server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

func (s *server) setFault(f *Fault) error {
	s.faults.apply(f)
	if f.Silent {
		s.ln.silenceConns()
	}
	if f.Restart {
		s.ln.closeConns()
	}
	if f.Down != nil {
		return s.ln.setDown(*f.Down)
	}
	return nil
}

func replyJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// replyError writes an error response as JSON.
func replyError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	replyJSON(ctx, status, errorBody{Error: errorDetail{Message: message, Type: "standin_error", Code: code}})
}

// replyRetryAfter writes an error response with status 429 and a Retry-After
// header in whole seconds, rounded up and at least 1.
func replyRetryAfter(ctx *fasthttp.RequestCtx, delay time.Duration, code, message string) {
	replyError(ctx, fasthttp.StatusTooManyRequests, code, message)
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(delay.Seconds())))))
}

func replyNotFound(ctx *fasthttp.RequestCtx) {
	replyError(ctx, fasthttp.StatusNotFound, "not_found", "no such path or method: "+string(ctx.Method())+" "+string(ctx.Path()))
}

// pathSegments splits the path: "/a/b" gives ["a", "b"].
func pathSegments(ctx *fasthttp.RequestCtx) []string {
	return strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
}

// queryUint returns the query argument key, or defaultValue if it is absent. It
// reports whether the argument is valid.
func queryUint(ctx *fasthttp.RequestCtx, key string, defaultValue uint64) (uint64, bool) {
	raw := ctx.QueryArgs().Peek(key)
	if raw == nil {
		return defaultValue, true
	}
	v, err := strconv.ParseUint(string(raw), 10, 64)
	return v, err == nil
}
