package loadcmd

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/standin"
)

const (
	// idleConnTimeout is how long an unused connection is kept. It is short, so that a
	// request is not written to a connection that the entry has just closed.
	idleConnTimeout = 2 * time.Second
	// maxRetries bounds how often a request is sent again after a failed connection,
	// and retryPause is the time before each retry. See sendWithRetries for the
	// conditions.
	maxRetries = 2
	retryPause = 200 * time.Millisecond
	// maxPlainBodyBytes bounds what is read of the response to a plain call and of an
	// error response.
	maxPlainBodyBytes = 8 << 20
	// noLengthOrChunks is what fasthttp returns as the Content-Length of a response that has
	// neither a length nor chunks.
	noLengthOrChunks = -2
)

// outcome classifies how sending a request ended.
type outcome string

// Two outcomes leave open whether the request ran: with outcomeUnknown the entry
// says so, with outcomeBroken it says nothing.
const (
	outcomeComplete outcome = "complete" // a complete response
	outcomeRefused  outcome = "refused"  // reported as not run
	outcomeUnknown  outcome = "unknown"  // reported as unknown whether the request ran
	outcomeFailed   outcome = "failed"   // any other explicit error
	outcomeBroken   outcome = "broken"   // the connection broke or timed out
	outcomeCut      outcome = "cut"      // the response ended without an error, but is incomplete or wrong
)

// sendResult is the result of sending a request once.
type sendResult struct {
	outcome     outcome
	detail      string // reason of an outcome other than outcomeComplete
	code        string // error code of the response, if any
	status      int
	notSent     bool // no connection could be made
	timedOut    bool // no complete response within the timeout plus responseGrace
	policy      string
	elapsed     time.Duration
	firstToken  time.Duration   // time from sending to the first token
	tokenGaps   []time.Duration // times between successive tokens
	content     []byte          // generated text, or the body of a plain call
	fromStandin bool            // the target is a stand-in
	// expectedText returns the first n tokens of the response that a stand-in gives;
	// nil when the response is not known.
	expectedText func(n int) string
}

// exchange is one request with the results of all its sendings, including retries
// and the duplicate through another entry.
type exchange struct {
	spec    *requestSpec
	results []*sendResult
}

// reportedNotRun reports whether every response says that the request has not run.
func (e *exchange) reportedNotRun() bool {
	for _, r := range e.results {
		if r.outcome != outcomeRefused {
			return false
		}
	}
	return len(e.results) > 0
}

// decidingResult returns the result that decides the outcome of the request: the
// fastest complete one, or the last one if none is complete.
func (e *exchange) decidingResult() *sendResult {
	out := e.results[len(e.results)-1]
	for _, r := range e.results {
		if r.outcome == outcomeComplete && (out.outcome != outcomeComplete || r.elapsed < out.elapsed) {
			out = r
		}
	}
	return out
}

// sender sends requests over HTTP. Its HTTP client does not retry.
type sender struct {
	cmd    *Command
	client *fasthttp.Client
	// standinText returns the first n tokens that a stand-in generates for a prompt;
	// nil unless the targets are stand-ins.
	standinText func(prompt []byte, n int) string
}

// newSender returns a sender for the entries of c.
func newSender(c *Command) *sender {
	s := &sender{cmd: c, client: &fasthttp.Client{
		Name:                      "cassiarampctl",
		StreamResponseBody:        true,
		MaxConnsPerHost:           c.MaxOpen * (maxRetries + 2),
		MaxIdleConnDuration:       idleConnTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:    true,
	}}
	if c.Ledger != "" {
		s.standinText = standin.ExpectedText
	}
	return s
}

// perform sends the request with retries and, if the spec has a duplicateDelay, also
// through the next entry. It waits for all responses.
func (s *sender) perform(sp *requestSpec) *exchange {
	e := &exchange{spec: sp}
	if sp.duplicateDelay == 0 {
		e.results = s.sendWithRetries(sp, sp.entry)
		return e
	}
	var second []*sendResult
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(sp.duplicateDelay)
		second = s.sendWithRetries(sp, sp.entry+1)
	})
	e.results = s.sendWithRetries(sp, sp.entry)
	group.Wait()
	e.results = append(e.results, second...)
	return e
}

// sendWithRetries sends the request to the given entry, and on a broken connection
// again to the next one after retryPause. It does so only if the request cannot run
// twice: it has an idempotency key, or no connection was made. A request that timed
// out is not sent again.
func (s *sender) sendWithRetries(sp *requestSpec, entry int) []*sendResult {
	var out []*sendResult
	for try := range maxRetries + 1 {
		if try > 0 {
			time.Sleep(retryPause)
		}
		r := s.sendOnce(sp, s.cmd.Entry[(entry+try)%len(s.cmd.Entry)])
		out = append(out, r)
		if r.outcome != outcomeBroken || r.timedOut || !(sp.hasKey || r.notSent) {
			break
		}
	}
	return out
}

// sendOnce sends the request to entry and reads the response to its end.
func (s *sender) sendOnce(sp *requestSpec, entry string) *sendResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r := &sendResult{fromStandin: s.standinText != nil, expectedText: s.expectedText(sp)}
	if err := s.fillRequest(req, sp, entry); err != nil {
		r.outcome, r.detail = outcomeBroken, err.Error()
		return r
	}
	started := time.Now()
	err := s.client.DoTimeout(req, resp, sp.timeout+responseGrace)
	if err == nil {
		defer resp.CloseBodyStream()
		r.readResponse(sp, resp, started)
	} else {
		r.setConnectionError(err)
	}
	r.elapsed = time.Since(started)
	r.timedOut = r.outcome == outcomeBroken && r.elapsed >= sp.timeout+responseGrace
	return r
}

// expectedText returns a function that gives the first n tokens of the response of a
// stand-in, or nil when the response is not known.
func (s *sender) expectedText(sp *requestSpec) func(n int) string {
	if s.standinText == nil || sp.kind == plainRequest {
		return nil
	}
	prompt := sp.enginePrompt()
	return func(n int) string { return s.standinText(prompt, n) }
}

// fillRequest sets the URL, headers and body of req.
func (s *sender) fillRequest(req *fasthttp.Request, sp *requestSpec, entry string) error {
	method, path, content, err := sp.request(s.cmd)
	if err != nil {
		return err
	}
	req.SetRequestURI(strings.TrimRight(entry, "/") + path)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.Header.Set("Cassiaramp-Timeout", sp.timeout.String())
	req.Header.Set("Cassiaramp-Idempotent", fmt.Sprint(sp.idempotent))
	req.Header.Set(standin.LoadIDHeader, sp.id)
	if sp.tier != "" {
		req.Header.Set("Cassiaramp-Tier", sp.tier)
	}
	if sp.hasKey {
		req.Header.Set("Idempotency-Key", sp.id)
	}
	if sp.customer >= 0 {
		req.Header.Set("Authorization", "Bearer "+s.cmd.CustomerKey[sp.customer])
	}
	req.SetBody(content)
	return nil
}

// setConnectionError records that no response headers were received.
func (r *sendResult) setConnectionError(err error) {
	r.outcome, r.detail = outcomeBroken, err.Error()
	var op *net.OpError
	r.notSent = (errors.As(err, &op) && op.Op == "dial") || errors.Is(err, fasthttp.ErrDialTimeout)
}

// readResponse reads and verifies the response.
func (r *sendResult) readResponse(sp *requestSpec, resp *fasthttp.Response, started time.Time) {
	r.status = resp.StatusCode()
	r.policy = string(resp.Header.Peek("Cassiaramp-Policy"))
	stream := resp.BodyStream()
	if stream == nil {
		stream = bytes.NewReader(resp.Body())
	}
	switch {
	case resp.Header.Peek("Cassiaramp-Outcome") != nil || r.status >= 400:
		r.readError(resp, stream)
	case sp.kind == plainRequest:
		r.readPlain(resp, stream, sp)
	case sp.streamed:
		r.readStream(stream, started)
	default:
		r.readUnstreamed(stream)
	}
}

// readError reads an error response and sets the outcome that it reports.
func (r *sendResult) readError(resp *fasthttp.Response, stream io.Reader) {
	content, err := io.ReadAll(io.LimitReader(stream, maxPlainBodyBytes))
	if err != nil {
		r.outcome, r.detail = outcomeBroken, err.Error()
		return
	}
	r.code = parseErrorCode(content)
	r.detail = fmt.Sprintf("status %d, code %q", r.status, r.code)
	r.outcome = parseOutcome(string(resp.Header.Peek("Cassiaramp-Outcome")))
}

// readPlain reads the response of a plain call. A stand-in's response contains the
// id of the request. After the headers, an entry can report a failure only by
// breaking off the body, so a broken body counts as an explicit error. Entries answer with a
// length or in chunks; without them, the end of the connection does not show that the body is
// complete.
func (r *sendResult) readPlain(resp *fasthttp.Response, stream io.Reader, sp *requestSpec) {
	content, err := io.ReadAll(io.LimitReader(stream, maxPlainBodyBytes+1))
	switch {
	case err != nil:
		r.outcome, r.detail = outcomeFailed, err.Error()
	case len(content) > maxPlainBodyBytes:
		r.outcome, r.detail = outcomeFailed, fmt.Sprintf("the response exceeds %d bytes", maxPlainBodyBytes)
	case resp.Header.ContentLength() == noLengthOrChunks && r.status != fasthttp.StatusNoContent:
		r.outcome, r.detail = outcomeCut, "the response has neither a length nor chunks"
	case r.fromStandin && !bytes.Contains(content, []byte(sp.id)):
		r.outcome, r.detail = outcomeCut, "the response does not contain the id of the request"
	default:
		r.outcome, r.content = outcomeComplete, content
	}
}
