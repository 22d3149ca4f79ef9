package faultsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// attempt is one request of a caller as the caller saw it. Further attempts have further IDs.
type attempt struct {
	id, path                 string
	kind                     *requestKind
	entry                    *entry
	kept                     bool // sent on a connection that had carried requests before
	begun, sent, ended       time.Time
	limit                    time.Duration // Deadline-Ms
	after, events            int           // Last-Event-Id and number of events of the stream
	status                   int           // 0: no response
	answerID, signature      string
	retryAfter               time.Duration
	body                     string
	err                      error // of the connection; may follow a status and part of the body
	left                     bool  // the caller closed the connection
	readWhole                bool  // the entry read the whole request and closed the connection without an answer
	extra                    bool  // bytes came that no request asked for
	prompt, bodySize, workMs int
	tenant                   int
	resumes                  string
	unnamed                  bool // without resumes in the request
}

// received returns the number of whole events in the response.
func (a *attempt) received() int { return strings.Count(a.body, "\n\n") }

// behindEnd reports whether the caller resumes a stream behind its last event.
func (a *attempt) behindEnd() bool { return a.resumes != "" && a.after >= a.events }

// answered reports whether the whole response came.
func (a *attempt) answered() bool { return a.status != 0 && a.err == nil }

// callerConnection is a connection that a caller keeps.
type callerConnection struct {
	*callerConn
	in      *bufio.Reader
	entry   *entry
	used    bool
	idle    time.Time // since then
	keepFor time.Duration
}

// caller sends requests and keeps connections, as the users' page says of requesters.
type caller struct {
	run    *deploymentRun
	prefer []*entry // in that order, those in rotation
	// unnamed says that it does not name the request whose stream it resumes.
	unnamed bool

	mu   sync.Mutex
	idle []*callerConnection
}

// connection returns a kept connection, or a new one to an entry in rotation other than
// avoid. It returns nil if no entry accepts one.
func (c *caller) connection(ctx context.Context, avoid *entry, onlyNew bool) *callerConnection {
	c.mu.Lock()
	for len(c.idle) > 0 && !onlyNew {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.idle) < conn.keepFor && conn.quiet() {
			c.mu.Unlock()
			return conn
		}
		conn.Close()
	}
	c.mu.Unlock()
	for _, e := range c.prefer {
		if e == avoid || !c.run.inRotation(e) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		raw, err := dialEntry(ctx, "tcp4", fmt.Sprintf("%s:%d", e.ip, callerPort))
		cancel()
		if err != nil {
			continue
		}
		conn := raw.(*callerConn)
		return &callerConnection{callerConn: conn, in: bufio.NewReader(conn), entry: e}
	}
	return nil
}

// quiet reports whether the entry has neither closed the connection nor sent anything.
func (conn *callerConnection) quiet() bool {
	conn.SetReadDeadline(time.Now().Add(200 * time.Microsecond))
	_, err := conn.in.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// keep keeps the connection after a response that had the header.
func (c *caller) keep(conn *callerConnection, h http.Header) {
	conn.used, conn.idle, conn.keepFor = true, time.Now(), c.run.shortestIdle()*4/5
	if s, ok := strings.CutPrefix(h.Get("Keep-Alive"), "timeout="); ok {
		if n, err := strconv.Atoi(s); err == nil {
			conn.keepFor = min(conn.keepFor, time.Duration(n)*time.Second*4/5)
		}
	}
	conn.written.Store(nil)
	conn.ended.Store(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// send sends the attempt on the connection and reads the response, until the time limit or,
// for a stream, until the caller's patience ends.
func (c *caller) send(a *attempt, conn *callerConnection) {
	a.entry, a.kept, a.begun = conn.entry, conn.used, time.Now()
	until := a.begun.Add(a.limit)
	keep := false
	defer func() {
		a.ended = time.Now()
		a.left = errors.Is(a.err, os.ErrDeadlineExceeded)
		ended := conn.ended.Load()
		a.readWhole = a.status == 0 && ended != nil && !a.sent.IsZero()
		if !keep {
			conn.Close()
		}
	}()
	conn.SetDeadline(until)
	method := http.MethodPost
	if a.kind.kind == "idempotent" {
		method = http.MethodGet
	}
	if a.err = a.write(conn, method); a.err != nil {
		return
	}
	a.sent = time.Now()
	streams := a.kind.kind == "streaming"
	if streams {
		conn.SetReadDeadline(earlier(until, time.Now().Add(a.kind.patience())))
	}
	resp, err := http.ReadResponse(conn.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	a.status, a.answerID, a.signature = resp.StatusCode, resp.Header.Get("Request-Id"), resp.Header.Get("Response-Signature")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	var body strings.Builder
	buffer := make([]byte, 32<<10)
	for a.err == nil {
		var n int
		n, a.err = resp.Body.Read(buffer)
		body.Write(buffer[:n])
		if streams && n > 0 {
			conn.SetReadDeadline(earlier(until, time.Now().Add(a.kind.patience())))
		}
	}
	if errors.Is(a.err, io.EOF) {
		a.err = nil
	}
	a.body = body.String()
	if a.err == nil {
		a.extra = conn.in.Buffered() > 0
		if keep = !resp.Close && !a.extra; keep {
			c.keep(conn, resp.Header)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// write writes the request. One body in five is sent in chunks.
func (a *attempt) write(conn io.Writer, method string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nApi-Key: key%d\r\nDeadline-Ms: %d\r\n", method, a.kind.name, a.path, a.id, a.tenant, a.limit.Milliseconds())
	if a.kind.kind == "streaming" {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: %x:60,%s:%d\r\n%s: %d\r\n", a.prompt, a.events*5, 0x5c1e07a2+len(a.kind.name), a.path, max(1, a.prompt-60), emulator.HeaderEvents, a.events)
	} else {
		fmt.Fprintf(&b, "%s: %d\r\n%s: %g\r\n", emulator.HeaderWorkMs, a.workMs, emulator.HeaderFailShare, a.kind.failShare)
	}
	if a.after > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", a.after)
		if !a.unnamed {
			fmt.Fprintf(&b, "Resumes: %s\r\n", a.resumes)
		}
	}
	body := strings.Repeat("b", a.bodySize)
	switch {
	case method == http.MethodGet:
		b.WriteString("\r\n")
	case a.bodySize%5 == 0:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", a.bodySize, body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", a.bodySize, body)
	}
	_, err := io.WriteString(conn, b.String())
	return err
}

// maxAttempts bounds the attempts of a caller for one request.
const maxAttempts = 3

// request sends a request of a kind, and further attempts while the users' page allows them.
func (c *caller) request(kind *requestKind, id string, random *rand.Rand) {
	first := attempt{
		kind: kind, path: fmt.Sprintf("%08x", random.Uint32()), events: kind.events.draw(random), prompt: kind.prompt.draw(random),
		bodySize: kind.body.draw(random), workMs: kind.work.draw(random), tenant: drawShare(random, tenantShares),
	}
	until := time.Now().Add(kind.limit)
	var avoid *entry
	after, resumes := 0, ""
	for try := range maxAttempts {
		a := first
		a.id, a.after, a.resumes, a.unnamed, a.limit = fmt.Sprintf("%s-%d", id, try), after, resumes, c.unnamed, time.Until(until)
		if a.limit < ms(20) {
			return
		}
		conn := c.connection(c.run.world.t.Context(), avoid, try > 0)
		if conn == nil {
			time.Sleep(ms(50))
			continue
		}
		c.send(&a, conn)
		c.run.record(&a)
		avoid = a.entry
		switch refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests; {
		case a.left, a.answered() && a.status < 500 && !refused:
			return
		case refused:
			wait := min(a.retryAfter, time.Until(until)/3)
			time.Sleep(wait)
		case kind.kind == "idempotent":
		case kind.resumable && a.received() > 0:
			// Also behind the last event: a caller cannot know that it was the last.
			after, resumes = after+a.received(), a.id
		case kind.once() && (a.status != 0 || a.readWhole || time.Since(a.begun) > time.Second):
			return
		}
	}
}

func drawShare(random *rand.Rand, shares []float64) int {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	v := random.Float64() * total
	for i, s := range shares {
		if v -= s; v < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// load sends requests in clumps at random times until the context ends, and then waits for
// the last response.
func (d *deploymentRun) load(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	shares := make([]float64, len(d.kinds))
	for i, k := range d.kinds {
		shares[i] = k.share
	}
	callers := make([]*caller, d.callers)
	for i := range callers {
		callers[i] = &caller{run: d, unnamed: float64(i) < d.fleet.unnamed*float64(len(callers))}
		for _, j := range random.Perm(len(d.world.entries)) {
			callers[i].prefer = append(callers[i].prefer, d.world.entries[j])
		}
	}
	next := time.Now()
	for n := 0; ctx.Err() == nil; {
		perSecond := d.perSecond * *rateFlag * float64(d.loadPercent.Load()) / 100
		next = next.Add(time.Duration(random.ExpFloat64() * float64(d.clump) / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		for range d.clump {
			kind := d.kinds[drawShare(random, shares)]
			c, id, own := callers[random.IntN(len(callers))], fmt.Sprintf("%s-%d", kind.name, n), newRandom(random.Uint64())
			n++
			group.Go(func() { c.request(kind, id, own) })
		}
	}
	group.Wait()
	for _, c := range callers {
		for _, conn := range c.idle {
			conn.Close()
		}
	}
}
