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

// maxBody bounds request bodies: a prompt of two million tokens.
const maxBody = 8 << 20

// server is one part: an HTTP server with faults.
type server struct {
	name    string
	ln      *listener
	faults  *faults
	ctx     context.Context
	latency time.Duration // of every call
	// lagIsDelay makes the fault "lag" delay every call.
	lagIsDelay bool
	// allEffects makes "lose_ack" apply to all methods.
	allEffects bool
	handler    fasthttp.RequestHandler
}

func (s *server) run(wg *sync.WaitGroup) {
	hs := &fasthttp.Server{
		Name:                         "cassiaramp-standin",
		Handler:                      s.handle,
		MaxRequestBodySize:           maxBody,
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

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	if s.faults.fails() {
		fail(ctx, fasthttp.StatusServiceUnavailable, "injected_error", "error injected by the fault error_rate")
		return
	}
	delay := s.faults.scaled(s.latency)
	if s.lagIsDelay {
		delay += s.faults.currentLag()
	}
	s.pause(delay)
	s.handler(ctx)
	effect := s.allEffects || !ctx.IsGet() && !ctx.IsHead()
	if effect && ctx.Response.StatusCode() < fasthttp.StatusBadRequest && s.faults.losesAck() {
		hangUp(ctx)
	}
}

// hangUp closes the connection without a response.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// pause waits for d, or less when the process is stopped.
func (s *server) pause(d time.Duration) {
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
	s.faults.set(f)
	if f.Silent {
		s.ln.silence()
	}
	if f.Restart {
		s.ln.closeConns()
	}
	if f.Down != nil {
		return s.ln.setDown(*f.Down)
	}
	return nil
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
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

func fail(ctx *fasthttp.RequestCtx, status int, code, message string) {
	reply(ctx, status, errorBody{Error: errorDetail{Message: message, Type: "standin_error", Code: code}})
}

// failLater is fail with a Retry-After header in whole seconds, rounded up.
func failLater(ctx *fasthttp.RequestCtx, after time.Duration, code, message string) {
	fail(ctx, fasthttp.StatusTooManyRequests, code, message)
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds())))))
}

func notFound(ctx *fasthttp.RequestCtx) {
	fail(ctx, fasthttp.StatusNotFound, "not_found", "no such path or method: "+string(ctx.Method())+" "+string(ctx.Path()))
}

// segments splits the path: "/a/b" is ["a", "b"].
func segments(ctx *fasthttp.RequestCtx) []string {
	return strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
}

// queryUint returns the query argument, or def when it is absent. It reports
// whether the argument is valid.
func queryUint(ctx *fasthttp.RequestCtx, key string, def uint64) (uint64, bool) {
	raw := ctx.QueryArgs().Peek(key)
	if raw == nil {
		return def, true
	}
	v, err := strconv.ParseUint(string(raw), 10, 64)
	return v, err == nil
}
