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
	// idleConnection is how long an unused connection is kept. It is short, so
	// that a request is not written to a connection that the entry just closed.
	idleConnection = 2 * time.Second
	// retries is how often a keyed request is sent again after a broken
	// connection, and retryPause the time before.
	retries    = 2
	retryPause = 200 * time.Millisecond
	// maxPlainBody bounds the response of a plain call.
	maxPlainBody = 8 << 20
)

// outcome is how one response ended.
type outcome string

// The outcomes. Only broken leaves open whether the request ran without the
// entry having said so.
const (
	whole   outcome = "complete"
	refused outcome = "refused" // reported as not run
	unknown outcome = "unknown" // reported as unknown
	failed  outcome = "failed"  // any other explicit error
	broken  outcome = "broken"  // the connection broke or timed out
	cut     outcome = "cut"     // the response ended in order, but is not whole
)

// reply is what was received for one sending of a request.
type reply struct {
	outcome outcome
	detail  string // for outcomes other than whole
	code    string // error code, if any
	status  int
	notSent bool // the connection was refused
	expired bool // no end within timeout and grace
	policy  string
	took    time.Duration
	first   time.Duration   // time to the first token
	gaps    []time.Duration // between tokens
	content []byte          // generated text or body
	standin bool            // the target is a stand-in
	// expected returns the first n tokens of the response; nil when not known.
	expected func(n int) string
}

// exchange is one request with all its replies.
type exchange struct {
	spec    *spec
	replies []*reply
}

// allNotRun reports whether every reply says that the request has not run.
func (e *exchange) allNotRun() bool {
	for _, r := range e.replies {
		if r.outcome != refused {
			return false
		}
	}
	return len(e.replies) > 0
}

// best returns the reply that counts: the fastest whole one, else the last.
func (e *exchange) best() *reply {
	out := e.replies[len(e.replies)-1]
	for _, r := range e.replies {
		if r.outcome == whole && (out.outcome != whole || r.took < out.took) {
			out = r
		}
	}
	return out
}

// sender sends requests over HTTP without retries of its own.
type sender struct {
	cmd    *Command
	client *fasthttp.Client
	// generated returns the first n tokens that targets generate for a prompt;
	// nil unless the targets are stand-ins.
	generated func(prompt []byte, n int) string
}

// newSender returns a sender for the entries of c.
func newSender(c *Command) *sender {
	s := &sender{cmd: c, client: &fasthttp.Client{
		Name:                      "cassiarampctl",
		StreamResponseBody:        true,
		MaxConnsPerHost:           c.MaxOpen * (retries + 2),
		MaxIdleConnDuration:       idleConnection,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:    true,
	}}
	if c.Ledger != "" {
		s.generated = standin.ExpectedText
	}
	return s
}

// exchange sends the request, a second time through another entry when the spec
// says so, and again when nothing was sent or a keyed request's connection
// broke.
func (s *sender) exchange(sp *spec) *exchange {
	e := &exchange{spec: sp}
	if sp.second == 0 {
		e.replies = s.persist(sp, sp.entry)
		return e
	}
	var second []*reply
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(sp.second)
		second = s.persist(sp, sp.entry+1)
	})
	e.replies = s.persist(sp, sp.entry)
	group.Wait()
	e.replies = append(e.replies, second...)
	return e
}

func (s *sender) persist(sp *spec, entry int) []*reply {
	var out []*reply
	for try := range retries + 1 {
		if try > 0 {
			time.Sleep(retryPause)
		}
		r := s.send(sp, s.cmd.Entry[(entry+try)%len(s.cmd.Entry)])
		out = append(out, r)
		if r.outcome != broken || r.expired || !(sp.keyed || r.notSent) {
			break
		}
	}
	return out
}

// send sends the request once and reads the response to its end.
func (s *sender) send(sp *spec, entry string) *reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r := &reply{standin: s.generated != nil, expected: s.expected(sp)}
	if err := s.fill(req, sp, entry); err != nil {
		r.outcome, r.detail = broken, err.Error()
		return r
	}
	started := time.Now()
	err := s.client.DoTimeout(req, resp, sp.timeout+grace)
	if err == nil {
		defer resp.CloseBodyStream()
		r.read(sp, resp, started)
	} else {
		r.fail(err)
	}
	r.took = time.Since(started)
	r.expired = r.outcome == broken && r.took >= sp.timeout+grace
	return r
}

// expected returns the response that a stand-in gives to the request.
func (s *sender) expected(sp *spec) func(n int) string {
	if s.generated == nil || sp.form == plain {
		return nil
	}
	prompt := sp.prompt()
	return func(n int) string { return s.generated(prompt, n) }
}

func (s *sender) fill(req *fasthttp.Request, sp *spec, entry string) error {
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
	if sp.keyed {
		req.Header.Set("Idempotency-Key", sp.id)
	}
	if sp.customer >= 0 {
		req.Header.Set("Authorization", "Bearer "+s.cmd.CustomerKey[sp.customer])
	}
	req.SetBody(content)
	return nil
}

// fail records that no response head was received.
func (r *reply) fail(err error) {
	r.outcome, r.detail = broken, err.Error()
	var op *net.OpError
	r.notSent = (errors.As(err, &op) && op.Op == "dial") || errors.Is(err, fasthttp.ErrDialTimeout)
}

// read reads and verifies the response.
func (r *reply) read(sp *spec, resp *fasthttp.Response, started time.Time) {
	r.status = resp.StatusCode()
	r.policy = string(resp.Header.Peek("Cassiaramp-Policy"))
	stream := resp.BodyStream()
	if stream == nil {
		stream = bytes.NewReader(resp.Body())
	}
	switch {
	case resp.Header.Peek("Cassiaramp-Outcome") != nil || r.status >= 400:
		r.readError(resp, stream)
	case sp.form == plain:
		r.readPlain(stream, sp)
	case sp.streamed:
		r.readStream(stream, started)
	default:
		r.readWhole(stream)
	}
}

func (r *reply) readError(resp *fasthttp.Response, stream io.Reader) {
	content, err := io.ReadAll(io.LimitReader(stream, maxPlainBody))
	if err != nil {
		r.outcome, r.detail = broken, err.Error()
		return
	}
	r.code = errorCode(content)
	r.detail = fmt.Sprintf("status %d, code %q", r.status, r.code)
	r.outcome = outcomeOf(string(resp.Header.Peek("Cassiaramp-Outcome")))
}

// readPlain reads the response of a plain call. A stand-in's response contains
// the id of the request. A body that is broken off is the only way to report a
// failure after the head, so it counts as an explicit error.
func (r *reply) readPlain(stream io.Reader, sp *spec) {
	content, err := io.ReadAll(io.LimitReader(stream, maxPlainBody))
	switch {
	case err != nil:
		r.outcome, r.detail = failed, err.Error()
	case r.standin && !bytes.Contains(content, []byte(sp.id)):
		r.outcome, r.detail = cut, "the response is not the one to this request"
	default:
		r.outcome, r.content = whole, content
	}
}
