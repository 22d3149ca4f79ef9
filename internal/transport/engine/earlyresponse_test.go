package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// startEarlyTarget runs a target that responds once it has read the head of a request, calls
// closing and closes the connection. It returns a client for it.
func startEarlyTarget(t *testing.T, response string, closing func(*net.TCPConn)) *Client {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			t.Error(err)
		}
		if _, err := io.WriteString(c, response); err != nil {
			t.Error(err)
		}
		closing(c.(*net.TCPConn))
	}()
	return newTestClient(ln.Addr(), true)
}

// runLongCall sends a plain call with a body that is longer than the buffers of both ends of a
// connection on loopback, and returns the response.
func runLongCall(t *testing.T, c *Client) (status int, body string, err error) {
	t.Helper()
	request := &state.Request{ID: "r", Kind: state.PlainCall, Method: "POST", Path: "/x", Body: make([]byte, 32<<20)}
	_, err = c.Run(t.Context(), testAttempt, request, func(e state.AttemptEvent) {
		switch e := e.(type) {
		case *state.Head:
			status = e.Status
		case *state.Chunk:
			body += string(e.Data)
		}
	})
	return status, body, err
}

// Guards against losing the response of a target that responds before it has read a long body
// and closes the connection, which ends the writing of the body.
func TestResponseBeforeLongBodyIsReadIsPassedOn(t *testing.T) {
	c := startEarlyTarget(t, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", func(*net.TCPConn) {})
	if status, body, err := runLongCall(t, c); err != nil || status != http.StatusRequestEntityTooLarge || body != "no" {
		t.Errorf("status %d, body %q, error %v; want 413 and \"no\"", status, body, err)
	}
}

// Guards against taking a response without length for complete although the connection was
// reset: the kernel reports the reset to the write of the body, and an end to the read.
func TestResponseWithoutLengthIsIncompleteAfterReset(t *testing.T) {
	c := startEarlyTarget(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nincomplete", func(c *net.TCPConn) {
		time.Sleep(time.Second) // the write of the body is blocked
		c.SetLinger(0)
	})
	if status, body, err := runLongCall(t, c); err == nil {
		t.Errorf("status %d, body %q; want an error", status, body)
	}
}
