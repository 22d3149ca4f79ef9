package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Config configures a Client.
type Config struct {
	Address string // IP address and TCP port
	// PlainService says that the target is a plain service rather than an engine.
	// Only requests of kind state.PlainCall are sent to it, and requests are not
	// resumed, cancelled or listed.
	PlainService bool
	Log          *zap.Logger

	// A zero value of these fields means the constant of the same name (pollInterval
	// for PollInterval).
	FirstEventIdleTimeout time.Duration
	StreamIdleTimeout     time.Duration
	StallTimeout          time.Duration
	ResumeTimeout         time.Duration
	PollInterval          time.Duration
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct{ cfg Config }

var _ side.Runner = (*Client)(nil)

// ErrUnsupported is returned for operations that plain services do not support.
var ErrUnsupported = errors.New("not supported by plain services")

// errUnknownID is returned when the engine answers a resumption with status 404.
var errUnknownID = errors.New("engine does not know the request id")

// New returns a client for the target.
func New(cfg Config) *Client {
	setDefault(&cfg.FirstEventIdleTimeout, FirstEventIdleTimeout)
	setDefault(&cfg.StreamIdleTimeout, StreamIdleTimeout)
	setDefault(&cfg.StallTimeout, StallTimeout)
	setDefault(&cfg.ResumeTimeout, ResumeTimeout)
	setDefault(&cfg.PollInterval, pollInterval)
	return &Client{cfg: cfg}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run implements side.Runner.
func (c *Client) Run(ctx context.Context, id state.AttemptID, req *state.Request, emit func(state.AttemptEvent)) (state.Usage, error) {
	if req.Kind == state.PlainCall {
		return state.Usage{}, c.runPlain(ctx, req, emit)
	}
	body, err := enableStreaming(req.Body)
	if err != nil {
		return state.Usage{}, &side.TargetError{Status: fasthttp.StatusBadRequest, Detail: err.Error()}
	}
	s := &stream{client: c, id: id, emit: emit}
	call, err := c.send(ctx, c.cfg.FirstEventIdleTimeout, func(r *fasthttp.Request) {
		c.setRequestLine(r, fasthttp.MethodPost, enginePath(req.Kind))
		forwardHeaders(r, req.Headers, overriddenHeaders)
		r.Header.SetContentType("application/json")
		r.Header.Set("X-Request-Id", id.String())
		r.SetBody(body)
	})
	switch {
	case errors.Is(err, side.ErrNotSent):
		return state.Usage{}, err
	case err == nil:
		err = s.readStream(call, true)
	}
	return s.resumeUntilComplete(ctx, err)
}

// Resume implements side.Runner.
func (c *Client) Resume(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	s := &stream{client: c, id: id, emit: emit, nextOffset: from, openedElsewhere: true}
	return s.resumeUntilComplete(ctx, errNotConnected)
}

// Cancel implements side.Runner.
func (c *Client) Cancel(ctx context.Context, id state.AttemptID) error {
	if c.cfg.PlainService {
		return fmt.Errorf("cancel %s: %w", id, ErrUnsupported)
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	call, err := c.send(ctx, shortCallTimeout, func(r *fasthttp.Request) { c.setRequestLine(r, fasthttp.MethodDelete, requestPath(id)) })
	if err != nil {
		return fmt.Errorf("cancel %s: %w", id, err)
	}
	defer call.close()
	if call.status()/100 != 2 {
		return fmt.Errorf("cancel %s: status %d", id, call.status())
	}
	return nil
}

// ListAttempts implements side.Runner.
func (c *Client) ListAttempts(ctx context.Context) ([]side.TargetAttempt, error) {
	if c.cfg.PlainService {
		return nil, nil
	}
	var list struct {
		Requests []struct {
			ID     string `json:"id"`
			State  string `json:"state"`
			Events uint64 `json:"events"`
		} `json:"requests"`
	}
	if err := c.getJSON(ctx, "/v1/requests", &list); err != nil {
		return nil, err
	}
	var attempts []side.TargetAttempt
	for _, r := range list.Requests {
		id, err := state.ParseAttemptID(r.ID)
		if err != nil {
			c.cfg.Log.Warn("engine lists a request whose id is not an attempt id", zap.String("id", r.ID))
			continue
		}
		l := side.TargetAttempt{Attempt: id, Done: r.State == "done", Chunks: r.Events}
		if l.Done && l.Chunks > 0 {
			l.Chunks-- // the last event, [DONE], is not a chunk
		}
		attempts = append(attempts, l)
	}
	return attempts, nil
}

// getJSON requests path and decodes the JSON body into response.
func (c *Client) getJSON(ctx context.Context, path string, response any) error {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	call, err := c.send(ctx, shortCallTimeout, func(r *fasthttp.Request) { c.setRequestLine(r, fasthttp.MethodGet, path) })
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	defer call.close()
	text, err := call.readText(maxShortResponseBytes)
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	if call.status() != fasthttp.StatusOK {
		return fmt.Errorf("get %s: status %d", path, call.status())
	}
	if err := json.Unmarshal([]byte(text), response); err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	return nil
}

// setRequestLine sets method, path and Host header. The path is sent unchanged.
func (c *Client) setRequestLine(r *fasthttp.Request, method, path string) {
	r.URI().DisablePathNormalizing = true
	r.Header.DisableNormalizing()
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetMethod(method)
	r.SetRequestURI(path)
	r.Header.SetHost(c.cfg.Address)
}

// enginePath returns the path of the engine's interface for requests of kind k.
func enginePath(k state.RequestKind) string {
	if k == state.ChatCompletion {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// requestPath returns the path under which an engine manages the request id.
func requestPath(id state.AttemptID) string { return "/v1/requests/" + url.PathEscape(id.String()) }

// enableStreaming returns the body of an engine request with streaming and the
// usage chunk turned on.
func enableStreaming(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	if fields == nil {
		return nil, errors.New("request body: JSON null, want an object")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// requestStatusError returns the error for a response to a request whose status is
// not 200.
func requestStatusError(call *httpCall) error {
	status := call.status()
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return &side.NotAdmittedError{Status: status, RetryAfter: retryAfter(call)}
	}
	// The error of reading is ignored: the status is known even if the body is cut
	// off.
	detail, _ := call.readText(maxDetailBytes)
	return &side.TargetError{Status: status, Detail: detail}
}

// retryAfter returns the time from the Retry-After header, 0 if the header is absent
// or not a number of seconds.
func retryAfter(call *httpCall) time.Duration {
	n, err := strconv.Atoi(string(call.response.Header.Peek("Retry-After")))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
