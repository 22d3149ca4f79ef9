package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// target serves each connection with handle and counts connections.
func target(t *testing.T, handle func(c net.Conn, requests *bufio.Reader)) (address string, opened *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	opened = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String(), opened
}

// readRequest drops one request. It returns false at the end of the connection.
func readRequest(r *bufio.Reader) bool {
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

func send(t *testing.T, c *Client, address string, id state.RequestID) (*state.Response, string, error) {
	t.Helper()
	ex, err := c.Send(t.Context(), &gateway.Forward{
		Call:   &state.Call{ID: id, Method: "POST", URI: "/x", Host: "h", Header: []state.HeaderField{{Name: "Request-Id", Value: string(id)}}, Body: []byte("body")},
		Target: state.TargetRecord{ID: "t", Address: address}, TimeLeft: time.Second,
	})
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

const whole = "HTTP/1.1 200 OK\r\nRequest-Id: "

func response(id, body string) string {
	return whole + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against new connections for every request, which targets limit and the
// platform charges for.
func TestConnectionsAreReused(t *testing.T) {
	address, opened := target(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			respond(t, c, response("a", "ok"))
		}
	})
	client := New()
	for range 3 {
		if _, body, err := send(t, client, address, "a"); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v", body, err)
		}
	}
	if got := opened.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// Guards against the late response to an earlier request being taken for that of
// the request at hand.
func TestForeignResponseIsSkipped(t *testing.T) {
	address, _ := target(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			respond(t, c, response("other", "bad")+response("mine", "good"))
		}
	})
	head, body, err := send(t, New(), address, "mine")
	if err != nil || body != "good" || head.RequestID != "mine" {
		t.Errorf("body %q of %+v, error %v", body, head, err)
	}
}

// Guards against using a connection on which bytes follow a complete response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	address, opened := target(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			respond(t, c, response("a", "ok")+response("a", "no"))
		}
	})
	client := New()
	for range 2 {
		if _, body, err := send(t, client, address, "a"); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v", body, err)
		}
		time.Sleep(20 * time.Millisecond) // the extra bytes arrive
	}
	if got := opened.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// Guards against sending a request on a connection that the target has closed,
// after which nobody knows whether it ran.
func TestClosedConnectionIsNotReused(t *testing.T) {
	address, opened := target(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			respond(t, c, response("a", "ok"))
		}
	})
	client := New()
	for range 2 {
		if _, _, err := send(t, client, address, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the close arrives
	}
	if got := opened.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// Guards against a response that ends early and looks complete.
func TestTornResponses(t *testing.T) {
	for name, text := range map[string]string{
		"length": whole + "a\r\nContent-Length: 10\r\n\r\nshort",
		"chunks": whole + "a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"chunk":  whole + "a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
		"head":   whole + "a\r\nContent-Le",
		"noise":  "what is this\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := target(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					respond(t, c, text)
				}
			})
			if _, body, err := send(t, New(), address, "a"); err == nil || errors.Is(err, gateway.ErrNotSent) {
				t.Errorf("body %q, error %v; want an error after sending", body, err)
			}
		})
	}
}

// Guards against reporting that a request was not sent, or was, when the opposite
// is true.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	if _, _, err := send(t, New(), address, "a"); !errors.Is(err, gateway.ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// Guards against a target that works on after its caller has left.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := target(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.Copy(io.Discard, r) // until the close
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	ex, err := New().Send(ctx, &gateway.Forward{
		Call: &state.Call{ID: "a", Method: "GET", URI: "/x", Host: "h"}, Target: state.TargetRecord{Address: address}, TimeLeft: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := ex.Head(); err == nil {
		t.Error("a cancelled request has a response")
	}
	<-closed
}
