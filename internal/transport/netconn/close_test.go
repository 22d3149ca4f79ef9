package netconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"
)

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// writeAll writes a body of moreThanWindow bytes.
func writeAll(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(moreThanWindow))
	w.Write(make([]byte, moreThanWindow))
}

// readAll reads a response with a body of moreThanWindow bytes.
func readAll(t *testing.T, responses *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != moreThanWindow {
		t.Errorf("%d bytes, error %v; want %d", n, err, moreThanWindow)
	}
}

// Guards against losing a response that is still in the server's buffer, or on its way, when the
// server closes the connection while input is unread: the kernel discards what it has not
// delivered and resets the connection. Guards also against reading input that is not answered:
// its sender could not tell that it may be repeated.
func TestResponseBeforeCloseIsDeliveredDespiteUnreadInput(t *testing.T) {
	for name, request := range map[string]string{
		"further request": getRequest + getRequest,
		"rest of a body":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\nbody",
		"unfinished head": getRequest + "GET / HTTP",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dialWithBuffer(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				writeAll(w, r)
			})))
			if _, err := io.WriteString(conn, request); err != nil {
				t.Fatal(err)
			}
			// net/http closes at once or, after the rest of a body, 500 ms later.
			time.Sleep(time.Second)
			if _, err := io.WriteString(conn, "more input after the close"); err != nil {
				t.Fatal(err)
			}
			responses := bufio.NewReader(conn)
			readAll(t, responses)
			if _, err := responses.ReadByte(); name != "rest of a body" && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("read after the response: %v; want a reset, since input was not read", err)
			}
		})
	}
}

// Guards against the end of a server that discards the response before a request which crosses
// the close.
func TestResponseIsDeliveredWhenTheServerEnds(t *testing.T) {
	config := ListenConfig()
	ln, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served, idle := make(chan error, 1), make(chan struct{}, 1)
	server := &http.Server{Handler: http.HandlerFunc(writeAll), ConnState: func(_ net.Conn, st http.ConnState) {
		if st == http.StateIdle {
			idle <- struct{}{}
		}
	}}
	go func() { served <- Serve(ctx, server, ln) }()
	conn := dialWithBuffer(t, ln.Addr().String())
	if _, err := io.WriteString(conn, getRequest); err != nil {
		t.Fatal(err)
	}
	<-idle
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if _, err := io.WriteString(conn, getRequest); err != nil {
		t.Fatal(err)
	}
	readAll(t, bufio.NewReader(conn))
}
