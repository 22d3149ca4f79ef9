package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

// startTarget runs a target that serves each connection with handle. It returns its
// address and the number of connections it accepted.
func startTarget(t *testing.T, handle func(c net.Conn, requests *bufio.Reader)) (address string, opened *atomic.Int64) {
	t.Helper()
	ln := listen(t)
	opened = &atomic.Int64{}
	go acceptAll(ln, opened, handle)
	return ln.Addr().String(), opened
}

// listen returns a listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// acceptAll calls handle for each connection until the listener is closed, and counts them in opened.
func acceptAll(ln net.Listener, opened *atomic.Int64, handle func(c net.Conn, requests *bufio.Reader)) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the process is short of descriptors for now
			time.Sleep(time.Millisecond)
			continue
		}
		opened.Add(1)
		go func() {
			defer c.Close()
			handle(c, bufio.NewReader(c))
		}()
	}
}

// discardRequest reads one request and discards it. It returns false when the
// connection ends first.
func discardRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func respond(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Log(err)
	}
}

// Guards against a request that is sent on a grant that has expired, because the process was
// paused after it got the grant: the target may be leaving or take no requests by now.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	var received atomic.Int64
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			received.Add(1)
			respond(t, c, response("a", "ok"))
		}
	})
	now := time.Now()
	for name, sendBy := range map[string]time.Time{
		"paused":            now.Add(-time.Millisecond),
		"machine suspended": now.Round(0).Add(-time.Millisecond), // only the time of day went on
	} {
		f := &gateway.Forward{
			Call: &state.Call{ID: "a", Method: "POST", URI: "/x", Host: "h"}, Target: state.TargetRecord{ID: "t", Address: address},
			TimeLeft: time.Second, Holds: func() bool { return true }, SendBy: sendBy,
		}
		if _, err := New().Send(t.Context(), f); !errors.Is(err, gateway.ErrGrantExpired) || !errors.Is(err, gateway.ErrNotSent) {
			t.Errorf("%s: error %v, want that the grant has expired", name, err)
		}
	}
	if n := received.Load(); n != 0 {
		t.Errorf("the target received %d requests", n)
	}
}

func send(t *testing.T, c *Client, address string, id state.RequestID) (*state.Response, string, error) {
	t.Helper()
	return sendTo(t, c, state.TargetRecord{ID: "t", Address: address}, id)
}

func sendTo(t *testing.T, c *Client, target state.TargetRecord, id state.RequestID) (*state.Response, string, error) {
	t.Helper()
	return sendBody(t, c, target, id, []byte("body"))
}

func sendBody(t *testing.T, c *Client, target state.TargetRecord, id state.RequestID, requestBody []byte) (*state.Response, string, error) {
	t.Helper()
	ex, err := begin(t.Context(), c, target, id, requestBody)
	if err != nil {
		return nil, "", err
	}
	head, err := ex.Head()
	if err != nil {
		ex.Close(false)
		return nil, "", err
	}
	body, err := io.ReadAll(ex)
	ex.Close(err == nil)
	return head, string(body), err
}

// begin sends a request.
func begin(ctx context.Context, c *Client, target state.TargetRecord, id state.RequestID, requestBody []byte) (gateway.Exchange, error) {
	return c.Send(ctx, &gateway.Forward{
		Call:   &state.Call{ID: id, Method: "POST", URI: "/x", Host: "h", Header: []state.HeaderField{{Name: "Request-Id", Value: string(id)}}, Body: requestBody},
		Target: target, TimeLeft: time.Second, Holds: func() bool { return true }, SendBy: time.Now().Add(time.Minute),
	})
}

const responseStart = "HTTP/1.1 200 OK\r\nRequest-Id: "

func response(id, body string) string {
	return responseStart + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against opening a connection for every request: targets limit the number
// of connections and the platform charges for them.
func TestConnectionsAreReused(t *testing.T) {
	address, opened := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			respond(t, c, response("a", "ok"))
		}
	})
	client := New()
	for range 3 {
		if _, body, err := send(t, client, address, "a"); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v; want body \"ok\"", body, err)
		}
	}
	if got := opened.Load(); got != 1 {
		t.Errorf("target accepted %d connections, want 1", got)
	}
}

// Guards against taking the late response to an earlier request for the response to
// the current one.
func TestLateResponseIsSkipped(t *testing.T) {
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			respond(t, c, response("other", "bad")+response("mine", "good"))
		}
	})
	head, body, err := send(t, New(), address, "mine")
	if err != nil || body != "good" || head.RequestID != "mine" {
		t.Errorf("body %q, head %+v, error %v; want the response \"good\" to request \"mine\"", body, head, err)
	}
}

// Guards against reusing a connection on which more bytes follow a complete response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	address, opened := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			respond(t, c, response("a", "ok")+response("a", "no"))
		}
	})
	client := New()
	for range 2 {
		if _, body, err := send(t, client, address, "a"); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v; want body \"ok\"", body, err)
		}
		time.Sleep(20 * time.Millisecond) // let the extra bytes arrive
	}
	if got := opened.Load(); got != 2 {
		t.Errorf("target accepted %d connections, want 2", got)
	}
}

// Guards against sending a request on a connection that the target has closed: it
// would be unknown whether the target ran the request.
func TestClosedConnectionIsNotReused(t *testing.T) {
	address, opened := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		if discardRequest(r) {
			respond(t, c, response("a", "ok"))
		}
	})
	client := New()
	for range 2 {
		if _, _, err := send(t, client, address, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // let the close arrive
	}
	if got := opened.Load(); got != 2 {
		t.Errorf("target accepted %d connections, want 2", got)
	}
}

// Guards against accepting a response that is truncated or malformed as complete.
func TestIncompleteResponses(t *testing.T) {
	for name, text := range map[string]string{
		"length": responseStart + "a\r\nContent-Length: 10\r\n\r\nshort",
		"chunks": responseStart + "a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"chunk":  responseStart + "a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
		"head":   responseStart + "a\r\nContent-Le",
		"noise":  "what is this\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				if discardRequest(r) {
					respond(t, c, text)
				}
			})
			if _, body, err := send(t, New(), address, "a"); err == nil || errors.Is(err, gateway.ErrNotSent) {
				t.Errorf("body %q, error %v; want an error after sending", body, err)
			}
		})
	}
}

// Guards against an error that does not wrap ErrNotSent although the connection was
// refused.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	if _, _, err := send(t, New(), conntest.ClosedPort(t, conntest.Address(t), 0).String(), "a"); !errors.Is(err, gateway.ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// Guards against a target that keeps working on a request after it was cancelled.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		discardRequest(r)
		io.Copy(io.Discard, r) // until the client closes the connection
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	ex, err := New().Send(ctx, &gateway.Forward{
		Call: &state.Call{ID: "a", Method: "GET", URI: "/x", Host: "h"}, Target: state.TargetRecord{Address: address}, TimeLeft: time.Second, Holds: func() bool { return true }, SendBy: time.Now().Add(time.Minute),
	})
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := ex.Head(); err == nil {
		t.Error("Head returned a response after the request was cancelled, want an error")
	}
	<-closed
}

// Connections to a target go silent for good while new ones work. Guards against requests
// that each wait on another idle connection until they are given up: those that may not be
// repeated are then lost one by one.
func TestIdleConnectionsAreClosedWhenOneIsSilent(t *testing.T) {
	var silent atomic.Bool
	address, opened := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		old := !silent.Load()
		for discardRequest(r) {
			if old && silent.Load() {
				continue
			}
			respond(t, c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := New()
	send := func(ctx context.Context) gateway.Exchange {
		ex, err := c.Send(ctx, &gateway.Forward{
			Call: &state.Call{ID: "a", Method: "GET", URI: "/x", Host: "h"}, Target: state.TargetRecord{Address: address}, TimeLeft: 5 * time.Second, Holds: func() bool { return true }, SendBy: time.Now().Add(time.Minute),
		})
		if err != nil {
			t.Fatal(err)
		}
		return ex
	}
	var open []gateway.Exchange
	for range 3 {
		open = append(open, send(t.Context()))
	}
	for _, ex := range open {
		if _, err := ex.Head(); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, ex); err != nil {
			t.Fatal(err)
		}
		ex.Close(true)
	}
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 2*silentTime)
	defer cancel()
	if _, err := send(ctx).Head(); err == nil {
		t.Fatal("a silent connection delivered a response")
	}
	ctx, cancel = context.WithTimeout(t.Context(), 20*silentTime)
	defer cancel()
	if _, err := send(ctx).Head(); err != nil {
		t.Errorf("the request after one without response failed: %v", err)
	}
	if n := opened.Load(); n != 4 {
		t.Errorf("%d connections were opened, want 3 and a new one", n)
	}
}

// A target that names no request in its responses sends a second copy of one after the next
// request has arrived on the connection. Guards against taking that copy for the response
// to the next request.
func TestLateCopyWithoutIDIsNotTheNextResponse(t *testing.T) {
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		previous := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			own := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + req.Header.Get("Request-Id")
			respond(t, c, previous+own)
			previous = own
		}
	})
	client := New()
	for _, id := range []state.RequestID{"a", "b"} {
		if _, body, err := send(t, client, address, id); err != nil || body != string(id) {
			t.Errorf("request %s: body %q, error %v; want its own response", id, body, err)
		}
	}
}

// Guards against memory that grows with a response without end, in its head, in heads before
// it, or in the response to an earlier request. On the code as it was, 24 requests took an
// entry to 1.2 GB in a second.
func TestResponsesWithoutEndAreBounded(t *testing.T) {
	const sentAtMost = 64 << 20 // bytes; the buffers of the connection take a few megabytes
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":       {"", "HTTP/1.1 200 OK"},
		"header fields":     {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"one field":         {"HTTP/1.1 200 OK\r\nX-Field: ", "value"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"late response":     {responseStart + "other\r\n\r\n", "body"},
		"late chunks":       {responseStart + "other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address, _ := startTarget(t, func(conn net.Conn, r *bufio.Reader) {
				if !discardRequest(r) {
					return
				}
				respond(t, conn, c.start)
				piece := strings.Repeat(c.repeated, 4096)
				n := 0
				for n < sentAtMost {
					k, err := io.WriteString(conn, piece)
					n += k
					if err != nil {
						break
					}
				}
				sent <- n
			})
			if _, _, err := send(t, New(), address, "a"); err == nil {
				t.Error("no error for a response without end")
			}
			if n := <-sent; n >= sentAtMost {
				t.Errorf("%d MiB were read before the connection was closed", n>>20)
			}
		})
	}
}

// Guards against a target that is taken to be well if its address resets connections so soon
// that opening them fails, and against one that is taken to have ended because opening fails
// otherwise.
func TestClosesBeforeTheConnectionIsOpen(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		c := New()
		c.connect = func(context.Context, string, time.Duration) (net.Conn, error) {
			return nil, fmt.Errorf("connect: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", cause)})
		}
		if c.Refuses(t.Context(), "t") {
			t.Errorf("%s: refuses", cause)
		}
		if closes := c.Closes(t.Context(), "t"); closes != (cause == syscall.ECONNRESET) {
			t.Errorf("%s: closes: %t", cause, closes)
		}
	}
}

// Guards against a target that is taken to be well although its address closes each
// connection, and against one that is taken to have ended although it keeps them.
func TestCloses(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			var kept []net.Conn
			for {
				conn, err := l.Accept()
				if err != nil {
					break
				}
				if kept = append(kept, conn); !keeps {
					conn.Close()
				}
			}
			for _, conn := range kept {
				conn.Close()
			}
		}()
		c := New()
		if c.Refuses(t.Context(), l.Addr().String()) {
			t.Fatal("an open address refuses connections")
		}
		if c.Closes(t.Context(), l.Addr().String()) == keeps {
			t.Errorf("closes: %t, although the address keeps connections: %t", !keeps, keeps)
		}
		if n := len(c.idle[l.Addr().String()]); keeps && n != 1 {
			t.Errorf("%d connections are kept for requests, want the one that was opened", n)
		}
	}
}

// secondOnConnection sends two requests on one connection to a target, which answers the
// first with its identifier and the second with the given text. It returns what the client
// makes of the second.
func secondOnConnection(t *testing.T, second string) (*state.Response, string, error) {
	t.Helper()
	address, opened := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for _, text := range []string{response("a", "ok"), second} {
			if !discardRequest(r) {
				return
			}
			respond(t, c, text)
		}
	})
	client := New()
	if _, _, err := send(t, client, address, "a"); err != nil {
		t.Fatal(err)
	}
	head, body, err := send(t, client, address, "b")
	if n := opened.Load(); n != 1 {
		t.Fatalf("%d connections were opened, want both requests on one", n)
	}
	return head, body, err
}

// rejections are the heads by which a target states that it has not run a request, without
// the identifier of the request.
var rejections = map[string]string{
	"full":        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
	"misdirected": "HTTP/1.1 421 Misdirected Request\r\n",
	"idle":        "HTTP/1.1 408 Request Timeout\r\nNot-Executed: 1\r\n",
}

// A target sends a rejection on a connection that is idle, and the next request crosses it.
// Guards against taking a rejection that names no request for that of the request, which is
// then sent to a second target or refused as not run, although this one runs it.
func TestRejectionOnIdleConnectionIsNotThatOfTheNextRequest(t *testing.T) {
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			head, body, err := secondOnConnection(t, rejection+"Content-Length: 0\r\n\r\n"+response("b", "ran"))
			if err != nil || head.NotRun || body != "ran" {
				t.Errorf("head %+v, body %q, error %v; want the response of the run", head, body, err)
			}
		})
	}
}

// Guards against a response to nobody on a kept connection that is passed on as that to the
// request. The target has named the requests in its responses so far.
func TestResponseWithoutIDOnKeptConnectionIsSkipped(t *testing.T) {
	_, body, err := secondOnConnection(t, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nnobody"+response("b", "mine"))
	if err != nil || body != "mine" {
		t.Errorf("body %q, error %v; want the response to the request", body, err)
	}
}

// A target sends a rejection as soon as it has accepted a connection. Guards against taking
// it for proof that the request, which it has not read yet, did not run.
func TestRejectionWithoutIDIsNoProof(t *testing.T) {
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				respond(t, c, rejection+"Content-Length: 0\r\n\r\n")
				discardRequest(r)
			})
			if head, _, err := send(t, New(), address, "a"); err == nil || errors.Is(err, gateway.ErrNotSent) {
				t.Errorf("head %+v, error %v; want an error after sending", head, err)
			}
		})
	}
}

// Guards against a rejection that names the request and is not taken for one: the request
// would be answered as possibly run instead of being sent to another target.
func TestRejectionOfTheRequest(t *testing.T) {
	for _, name := range []string{"full", "misdirected"} {
		t.Run(name, func(t *testing.T) {
			head, _, err := secondOnConnection(t, rejections[name]+"Request-Id: b\r\nContent-Length: 0\r\n\r\n")
			if err != nil || !head.NotRun {
				t.Errorf("head %+v, error %v; want that the request did not run", head, err)
			}
		})
	}
}

// The target that a request is sent to has left its address to another one, which answers
// 421 and later sends a second copy of that. Meanwhile the list has the new target, and the
// same request is sent to it. Guards against taking the copy for its answer: the request is
// then sent to a third target although this one runs it.
func TestCopyOfMisdirectedResponseIsNotThatOfTheNextTarget(t *testing.T) {
	misdirected := rejections["misdirected"] + "Request-Id: a\r\nContent-Length: 0\r\n\r\n"
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		previous := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			own := response("a", "ran")
			if req.Header.Get("Expect-Instance") != "new" {
				own = misdirected
			}
			respond(t, c, previous+own)
			previous = own
		}
	})
	client := New()
	if head, _, err := sendTo(t, client, state.TargetRecord{ID: "old", Address: address}, "a"); err != nil || !head.NotRun {
		t.Fatalf("head %+v, error %v; want that the request is misdirected", head, err)
	}
	head, body, err := sendTo(t, client, state.TargetRecord{ID: "new", Address: address}, "a")
	if err != nil || head.NotRun || body != "ran" {
		t.Errorf("head %+v, body %q, error %v; want the response of the run", head, body, err)
	}
}
