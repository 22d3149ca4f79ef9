package entryhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a planned stop that loses a response which a caller reads slowly: if the
// connection is closed while a further request is unread, the kernel discards what it has not
// delivered.
func TestResponseOfStoppingEntryIsDeliveredDespiteFurtherRequests(t *testing.T) {
	piece := strings.Repeat("p", maxPlainBufferBytes)
	s, address := startServer(t, serviceFunc(func(_ context.Context, _ *state.Request, sink entry.Sink) entry.Result {
		sink.Head(&state.Head{Status: 200})
		return respondWith(completeResult, piece, piece)(nil, nil, sink)
	}))
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }), err)
	}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The listener has accepted the connection before the stop closes it.
	if resp := postOn(t, conn, bufio.NewReader(conn), "/none"); resp.Close {
		t.Fatal("the connection is closed before the stop")
	}
	s.StopAccepting()
	request := "GET /services/app/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n"
	if _, err := io.WriteString(conn, strings.Repeat(request, 1000)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lingerTime / 2) // the server responds and closes the connection
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(2*len(piece)) {
		t.Errorf("%d bytes, error %v; want %d", n, err, 2*len(piece))
	}
}
