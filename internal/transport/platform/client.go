// Package platform is the HTTP client of the platform's log service and
// instance list, and of the orders that targets accept.
//
// Nothing is ever sent twice by the client: fasthttp's retries are off, because
// a repeated append or order must be decided by the caller.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// CallTimeout is the time a call may take beyond the wait that it asks for.
const CallTimeout = 2 * time.Second

const (
	maxConns     = 64
	maxIdle      = 10 * time.Second
	maxBodyBytes = 32 << 20
)

// ErrUnreachable is wrapped by the error of a call that sent nothing.
var ErrUnreachable = errors.New("unreachable")

// endpoint is one HTTP server of the platform.
type endpoint struct {
	base   *url.URL
	client *fasthttp.HostClient
}

// response is what a call returned.
type response struct {
	status     int
	body       []byte
	etag       string
	retryAfter string
}

// newEndpoint parses the base URL, for example "http://10.0.0.5:7070". Its bytes
// are counted under the name.
func newEndpoint(name, base string) (*endpoint, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("platform URL: %w", err)
	}
	if u.Scheme != "http" || u.Port() == "" {
		return nil, fmt.Errorf("platform URL %q: want http://HOST:PORT", base)
	}
	u.Path = strings.TrimSuffix(u.Path, "/")
	count := newTraffic(name)
	return &endpoint{base: u, client: &fasthttp.HostClient{
		Addr:                      u.Host,
		DialTimeout:               count.dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       maxIdle,
		MaxResponseBodySize:       maxBodyBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}}, nil
}

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > CallTimeout {
		timeout = CallTimeout
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return conn, nil
}

// call sends one request and waits for the response until the timeout or the
// end of ctx. After a timeout the pooled connections are closed, so that the
// next call uses a new one: they may have gone silent as well.
func (e *endpoint) call(ctx context.Context, timeout time.Duration, method, path string, header [][2]string, body []byte) (*response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan struct{})
	var resp *response
	var err error
	go func() {
		defer close(done)
		resp, err = e.do(deadline, method, path, header, body)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			<-done // do has the same deadline
			break
		}
		return nil, fmt.Errorf("%s %s%s: %w", method, e.base.Host, path, ctx.Err())
	}
	if err != nil {
		return nil, fmt.Errorf("%s %s%s: %w", method, e.base.Host, path, err)
	}
	return resp, nil
}

func (e *endpoint) do(deadline time.Time, method, path string, header [][2]string, body []byte) (*response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(e.base.Scheme + "://" + e.base.Host + e.base.Path + path)
	for _, h := range header {
		req.Header.Set(h[0], h[1])
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	err := e.client.DoDeadline(req, resp, deadline)
	if err != nil {
		if isTimeout(err) {
			e.client.CloseIdleConnections()
		}
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		return nil, err
	}
	return &response{
		status:     resp.StatusCode(),
		body:       append([]byte(nil), resp.Body()...),
		etag:       string(resp.Header.Peek("ETag")),
		retryAfter: string(resp.Header.Peek("Retry-After")),
	}, nil
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &n) && n.Timeout()
}

// StatusError is an unexpected HTTP status.
type StatusError struct {
	Status int
	Detail string // start of the body
}

// Error returns the status and the detail.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

func statusError(r *response) *StatusError {
	const maxDetail = 200
	return &StatusError{Status: r.status, Detail: string(r.body[:min(maxDetail, len(r.body))])}
}
