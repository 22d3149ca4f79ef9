package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a server of a service. It answers as PROTOCOL says: it serves one
// request at a time on a connection, runs up to slots requests and queues a few more, names
// the request in its answers, rejects what is meant for another instance, and drops a request
// whose connection is closed.
type engine struct {
	id, service, address string
	slots, queue         int
	ledger               *ledger
	// run answers a request that has a slot. It returns false if the connection is to be reset.
	run func(x *exchange) (keep bool)

	mu       sync.Mutex
	running  int
	waiting  int
	freed    chan struct{} // closed and replaced when a slot becomes free
	arrivals int
}

// exchange is a request at an engine.
type exchange struct {
	engine *engine
	ctx    context.Context // ends when the entry closes the connection
	conn   net.Conn
	req    *http.Request
	id     string
	number int // of the request at this engine, from 1
	run    *run
}

func (e *engine) serve(ln net.Listener) {
	e.freed = make(chan struct{})
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *engine) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := in.Peek(1); err != nil {
				cancel()
			}
		}()
		keep := e.serveRequest(ctx, c, req)
		if !keep {
			reset(c)
			cancel()
			return
		}
		<-watched
		cancel()
	}
}

// serveRequest answers a request. It returns false if the connection is to be reset.
func (e *engine) serveRequest(ctx context.Context, c net.Conn, req *http.Request) (keep bool) {
	x := &exchange{engine: e, ctx: ctx, conn: c, req: req, id: req.Header.Get("Request-Id")}
	if x.id == "" && req.URL.Path == "/healthz" {
		return x.answer("200 OK", "Instance-Id: "+e.id+"\r\n", "")
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		return x.answer("421 Misdirected Request", "Instance-Id: "+e.id+"\r\n", "")
	}
	if x.id == "" {
		return x.answer("400 Bad Request", "Not-Executed: 1\r\n", "")
	}
	if !e.enter(ctx) {
		if ctx.Err() != nil {
			return false
		}
		e.ledger.log("engine %s rejects %s: full", e.id, x.id)
		return x.answer("503 Service Unavailable", "Not-Executed: 1\r\n", "")
	}
	defer e.leave()
	e.mu.Lock()
	e.arrivals++
	x.number = e.arrivals
	e.mu.Unlock()
	x.run = e.ledger.begin(x.id, e.id, req)
	keep = e.run(x)
	e.ledger.end(x.run)
	return keep
}

// enter waits for a slot. It returns false if too many requests wait or ctx ends.
func (e *engine) enter(ctx context.Context) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots && e.waiting >= e.queue {
		return false
	}
	e.waiting++
	defer func() { e.waiting-- }()
	for e.running >= e.slots {
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		e.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	e.running++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	close(e.freed)
	e.freed = make(chan struct{})
}

func (x *exchange) head(status, fields string) string {
	e := x.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Load: %d,%d,%d\r\nKeep-Alive: timeout=30\r\n%s", status, x.id, e.running, e.waiting, e.slots, fields)
}

// answer sends an answer with a length.
func (x *exchange) answer(status, fields, body string) (sent bool) {
	_, err := io.WriteString(x.conn, x.head(status, fields)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	return err == nil
}

// signature is the field that proves that an engine made the answer.
func (x *exchange) signature() string {
	return "Response-Signature: " + x.engine.id + "." + x.id + "\r\n"
}

// beginStream sends the head of a stream in chunks.
func (x *exchange) beginStream() bool {
	_, err := io.WriteString(x.conn, x.head("200 OK", x.signature()+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	return err == nil
}

// write sends one chunk.
func (x *exchange) write(b string) bool {
	_, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(b), b)
	return err == nil
}

func (x *exchange) endStream() bool {
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}

// pause waits for d. It returns false if the entry closes the connection meanwhile.
func (x *exchange) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.ctx.Done():
		return false
	}
}

// reset closes a connection such that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// run is a run of a request at an engine.
type run struct {
	id, engine  string
	from, to    time.Time // to is zero while it runs
	resumeAfter string
	tenant      string
	outcome     string
}

// ledger writes what was sent, answered and run to record.txt, and remembers the runs.
type ledger struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	runs  map[string][]*run
}

func newLedger(out io.Writer) *ledger {
	return &ledger{out: out, start: time.Now(), runs: make(map[string][]*run)}
}

func (l *ledger) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%9.3f %s\n", time.Since(l.start).Seconds(), strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

func (l *ledger) begin(id, engine string, req *http.Request) *run {
	r := &run{id: id, engine: engine, from: time.Now(), resumeAfter: req.Header.Get("Last-Event-Id"), tenant: req.Header.Get("Tenant")}
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], r)
	l.mu.Unlock()
	l.log("engine %s runs %s (Last-Event-Id %q, Deadline-Ms %s)", engine, id, r.resumeAfter, req.Header.Get("Deadline-Ms"))
	return r
}

func (l *ledger) end(r *run) {
	l.mu.Lock()
	r.to = time.Now()
	l.mu.Unlock()
	l.log("engine %s ends the run of %s: %s", r.engine, r.id, r.outcome)
}

// of returns the runs of a request.
func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []run
	for _, r := range l.runs[id] {
		runs = append(runs, *r)
	}
	return runs
}
