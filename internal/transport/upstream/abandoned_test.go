package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// listenSmall listens with a receive buffer of a few kilobytes, so that what a target has not
// read stays in the sender's buffer.
func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); cerr != nil {
			return cerr
		}
		return err
	}}
	ln, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// A target does not read for a while, because it is paused or its link is cut. Guards against
// a request that was given up meanwhile, is delivered afterwards from the buffers of the
// connection, and runs.
func TestRequestThatWasGivenUpIsNotDelivered(t *testing.T) {
	for name, giveUp := range map[string]func(cancel func(), e *exchange){
		"caller left": func(cancel func(), e *exchange) {
			cancel()
			if _, err := e.Head(); err == nil {
				t.Error("a response to a request that was given up")
			}
		},
		"attempt ended": func(_ func(), e *exchange) { e.Close(false) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := listenSmall(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ex, err := begin(ctx, New(), state.TargetRecord{ID: "t", Address: ln.Addr().String()}, "a", longBody[:8<<10])
			if err != nil {
				t.Fatal(err)
			}
			c, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			giveUp(cancel, ex.(*exchange))
			time.Sleep(20 * time.Millisecond) // let the end of the connection arrive
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if b, err := io.ReadAll(req.Body); err == nil {
				t.Errorf("the whole request was delivered, with a body of %d bytes", len(b))
			}
		})
	}
}
