// Package platformclient has the HTTP clients of the services around a deployment with
// side processes: the log service, the instance list, and the targets, which accept
// orders. The formats and protocols of the users' platform are in the top-level package
// platform.
//
// The clients send each request once. The retries of fasthttp are disabled, because
// whether to repeat an append or an order is a decision of the calling code.
package platformclient

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

// CallTimeout bounds a call to the platform, in addition to the time for which the call
// asks the server to wait for records. It also bounds dialling.
const CallTimeout = 2 * time.Second

const (
	maxConns        = 64
	maxIdleConnTime = 10 * time.Second
	maxBodyBytes    = 32 << 20 // of a response
)

// ErrUnreachable is wrapped by the error of a call that certainly sent nothing.
var ErrUnreachable = errors.New("unreachable")

// endpoint is one HTTP server of the platform, or a target that accepts orders.
type endpoint struct {
	base   *url.URL
	client *fasthttp.HostClient
}

// response is a copy of the used parts of an HTTP response.
type response struct {
	status     int
	body       []byte
	etag       string
	retryAfter string
}

// newEndpoint returns the endpoint at the URL base, for example
// "http://10.0.0.5:7070". The bytes of its calls are counted under name.
func newEndpoint(name, base string) (*endpoint, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("parse platform URL: %w", err)
	}
	if u.Scheme != "http" || u.Port() == "" {
		return nil, fmt.Errorf("platform URL %q: want http://HOST:PORT", base)
	}
	u.Path = strings.TrimSuffix(u.Path, "/")
	counters := newByteCounters(name)
	return &endpoint{base: u, client: &fasthttp.HostClient{
		Addr:                      u.Host,
		DialTimeout:               counters.dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       maxIdleConnTime,
		MaxResponseBodySize:       maxBodyBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}}, nil
}

// dial opens a connection within timeout, and within CallTimeout at most.
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

// call sends one request and waits for the response until timeout has passed or ctx
// ends. If ctx is cancelled, call returns at once, and the request may still be sent.
// After a timeout the idle connections of the pool are closed, so that the next call
// opens a new one: they may not respond either.
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
			<-done // do returns at the same deadline
			break
		}
		return nil, fmt.Errorf("%s %s%s: %w", method, e.base.Host, path, ctx.Err())
	}
	if err != nil {
		return nil, fmt.Errorf("%s %s%s: %w", method, e.base.Host, path, err)
	}
	return resp, nil
}

// do sends one request and returns the response that arrives before deadline.
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

// StatusError is the error for an unexpected HTTP status.
type StatusError struct {
	Status int
	Detail string // the first bytes of the body
}

// Error returns the status and the detail.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

func newStatusError(r *response) *StatusError {
	const maxDetail = 200
	return &StatusError{Status: r.status, Detail: string(r.body[:min(maxDetail, len(r.body))])}
}
