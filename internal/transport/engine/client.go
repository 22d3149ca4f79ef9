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
	// Plain says that the target is a plain service. Only calls of kind
	// state.PlainCall are sent to it, and nothing is resumed, cancelled or
	// listed.
	Plain bool
	Log   *zap.Logger

	// Zero values stand for the constants of the same names.
	FirstByteSilence time.Duration
	StreamSilence    time.Duration
	ResumeLimit      time.Duration
	PollInterval     time.Duration
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct{ cfg Config }

var _ side.Runner = (*Client)(nil)

// ErrUnsupported is returned for operations that plain services do not have.
var ErrUnsupported = errors.New("not supported by plain services")

// errUnknownID tells that the engine does not know a request id.
var errUnknownID = errors.New("engine does not know the request id")

// New returns a client of the target.
func New(cfg Config) *Client {
	setDefault(&cfg.FirstByteSilence, FirstByteSilence)
	setDefault(&cfg.StreamSilence, StreamSilence)
	setDefault(&cfg.ResumeLimit, ResumeLimit)
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
	body, err := streamed(req.Body)
	if err != nil {
		return state.Usage{}, &side.TargetError{Status: fasthttp.StatusBadRequest, Detail: err.Error()}
	}
	s := &stream{client: c, id: id, emit: emit}
	k, err := c.do(ctx, c.cfg.FirstByteSilence, func(r *fasthttp.Request) {
		c.address(r, fasthttp.MethodPost, enginePath(req.Kind))
		setHeaders(r, req.Headers, setByClient)
		r.Header.SetContentType("application/json")
		r.Header.Set("X-Request-Id", id.String())
		r.SetBody(body)
	})
	switch {
	case errors.Is(err, side.ErrNotSent):
		return state.Usage{}, err
	case err == nil:
		err = s.follow(k, true)
	}
	return s.complete(ctx, err)
}

// Resume implements side.Runner.
func (c *Client) Resume(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	s := &stream{client: c, id: id, emit: emit, next: from, patient: true}
	return s.complete(ctx, errInterrupted)
}

// Cancel implements side.Runner.
func (c *Client) Cancel(ctx context.Context, id state.AttemptID) error {
	if c.cfg.Plain {
		return fmt.Errorf("cancel %s: %w", id, ErrUnsupported)
	}
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	k, err := c.do(ctx, shortTimeout, func(r *fasthttp.Request) { c.address(r, fasthttp.MethodDelete, requestPath(id)) })
	if err != nil {
		return fmt.Errorf("cancel %s: %w", id, err)
	}
	defer k.close()
	if k.status()/100 != 2 {
		return fmt.Errorf("cancel %s: status %d", id, k.status())
	}
	return nil
}

// Running implements side.Runner.
func (c *Client) Running(ctx context.Context) ([]side.Live, error) {
	if c.cfg.Plain {
		return nil, nil
	}
	var list struct {
		Requests []struct {
			ID     string `json:"id"`
			State  string `json:"state"`
			Events uint64 `json:"events"`
		} `json:"requests"`
	}
	if err := c.get(ctx, "/v1/requests", &list); err != nil {
		return nil, err
	}
	var live []side.Live
	for _, r := range list.Requests {
		id, err := state.ParseAttemptID(r.ID)
		if err != nil {
			c.cfg.Log.Warn("engine runs a request of another sender", zap.String("id", r.ID))
			continue
		}
		l := side.Live{Attempt: id, Done: r.State == "done", Chunks: r.Events}
		if l.Done && l.Chunks > 0 {
			l.Chunks-- // the last event ends the stream and is no chunk
		}
		live = append(live, l)
	}
	return live, nil
}

// get reads a short JSON answer.
func (c *Client) get(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	k, err := c.do(ctx, shortTimeout, func(r *fasthttp.Request) { c.address(r, fasthttp.MethodGet, path) })
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	defer k.close()
	text, err := k.text(maxAnswer)
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	if k.status() != fasthttp.StatusOK {
		return fmt.Errorf("get %s: status %d", path, k.status())
	}
	if err := json.Unmarshal([]byte(text), answer); err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	return nil
}

// address sets method, path and host. The path is sent as it is.
func (c *Client) address(r *fasthttp.Request, method, path string) {
	r.URI().DisablePathNormalizing = true
	r.Header.DisableNormalizing()
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetMethod(method)
	r.SetRequestURI(path)
	r.Header.SetHost(c.cfg.Address)
}

func enginePath(k state.Kind) string {
	if k == state.ChatCompletion {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func requestPath(id state.AttemptID) string { return "/v1/requests/" + url.PathEscape(id.String()) }

// streamed returns the body of an engine request with streaming and the usage
// report turned on.
func streamed(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	if fields == nil {
		return nil, errors.New("request body: want an object")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// refusal returns the error for a response that is not a stream.
func refusal(k *call) error {
	status := k.status()
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return &side.NotAdmittedError{Status: status, RetryAfter: retryAfter(k)}
	}
	// A body that is cut off still leaves the status known.
	detail, _ := k.text(maxDetail)
	return &side.TargetError{Status: status, Detail: detail}
}

func retryAfter(k *call) time.Duration {
	n, err := strconv.Atoi(string(k.response.Header.Peek("Retry-After")))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
