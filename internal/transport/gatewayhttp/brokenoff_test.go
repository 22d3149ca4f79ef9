package gatewayhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

// streamRequests are requests of a stream, by how their responses mark their end.
var streamRequests = map[string]string{
	"chunks":                     "POST /stream/x" + requestHead + "Content-Length: 0\r\n\r\n",
	"chunks, connection closes":  "POST /stream/x" + requestHead + "Connection: close\r\nContent-Length: 0\r\n\r\n",
	"no chunks":                  "POST /stream/x HTTP/1.0\r\nHost: 127.0.0.1\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n",
	"no chunks, connection kept": "POST /stream/x HTTP/1.0\r\nHost: 127.0.0.1\r\nRequest-Id: r\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
}

// firstEvent is what a stream has before it is broken off.
const firstEvent = "id: 1\ndata: a\n\n"

// openStream sends request and returns the response when its first event has arrived.
func openStream(t *testing.T, conn net.Conn, request string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	event := make([]byte, len(firstEvent))
	if _, err := io.ReadFull(resp.Body, event); err != nil || string(event) != firstEvent {
		t.Fatalf("event %q, error %v", event, err)
	}
	return resp
}

// expectBrokenOff reads the rest of a response, which must not look complete.
func expectBrokenOff(t *testing.T, resp *http.Response) {
	t.Helper()
	if rest, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the response goes on with %d bytes and ends as complete", len(rest))
	}
}

// Guards against a stream that looks complete because the entry's process was killed, or ended
// itself, in the middle of it: the kernel then closes the connections.
func TestStreamOfKilledEntryHasNoEnd(t *testing.T) {
	if os.Getenv("CASSIARAMP_KILLED_ENTRY") != "" {
		serveUnfinishedStreams(t)
		return
	}
	for name, request := range streamRequests {
		for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGABRT} {
			t.Run(name+", "+signal.String(), func(t *testing.T) {
				entry := exec.Command(os.Args[0], "-test.run=^TestStreamOfKilledEntryHasNoEnd$")
				entry.Env = append(os.Environ(), "CASSIARAMP_KILLED_ENTRY=1")
				out, err := entry.StdoutPipe()
				if err == nil {
					err = entry.Start()
				}
				if err != nil {
					t.Fatal(err)
				}
				defer entry.Wait() // reports the signal
				defer entry.Process.Kill()
				address, err := bufio.NewReader(out).ReadString('\n')
				if err != nil {
					t.Fatal(err)
				}
				resp := openStream(t, dial(t, strings.TrimSpace(address)), request)
				if err := entry.Process.Signal(signal); err != nil {
					t.Fatal(err)
				}
				expectBrokenOff(t, resp)
			})
		}
	}
}

// serveUnfinishedStreams writes its address and serves streams that do not go on after their
// first event.
func serveUnfinishedStreams(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	os.Stdout.WriteString(ln.Addr().String() + "\n")
	s := &Server{Log: zap.NewNop(), Gateway: newGateway(func(ctx context.Context, _ *gateway.Forward) (gateway.Exchange, error) {
		return &fakeExchange{Reader: io.MultiReader(strings.NewReader(firstEvent), untilDone{ctx})}, nil
	})}
	if err := s.serve(t.Context(), ln); err != nil {
		t.Fatal(err)
	}
}

// untilDone is a reader that returns no data and ends with its context.
type untilDone struct{ ctx context.Context }

func (r untilDone) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// panicking is a reader that panics.
type panicking struct{}

func (panicking) Read([]byte) (int, error) { panic("read") }

// Guards against a stream that looks complete because its handler has panicked, upon which
// net/http closes the connection.
func TestStreamOfPanickedHandlerHasNoEnd(t *testing.T) {
	for name, request := range streamRequests {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, func(context.Context, *gateway.Forward) (gateway.Exchange, error) {
				return &fakeExchange{Reader: io.MultiReader(strings.NewReader(firstEvent), panicking{})}, nil
			})
			expectBrokenOff(t, openStream(t, dial(t, address), request))
		})
	}
}

// Guards against a stream that looks complete because the caller has closed its sending side,
// upon which the entry ends the request.
func TestStreamOfHalfClosedCallerHasNoEnd(t *testing.T) {
	for name, request := range streamRequests {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, func(ctx context.Context, _ *gateway.Forward) (gateway.Exchange, error) {
				return &fakeExchange{Reader: io.MultiReader(strings.NewReader(firstEvent), untilDone{ctx})}, nil
			})
			conn := dial(t, address)
			resp := openStream(t, conn, request)
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			expectBrokenOff(t, resp)
		})
	}
}

// endless is a stream without an end.
type endless struct{ event string }

func (e endless) Read(p []byte) (int, error) { return copy(p, e.event), nil }

// Guards against a stream that looks complete because a planned stop has ended while its caller
// did not read, so that the handler could not end it.
func TestStreamCutByAPlannedStopHasNoEnd(t *testing.T) {
	for name, request := range streamRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &Server{Log: zap.NewNop(), Gateway: newGateway(func(context.Context, *gateway.Forward) (gateway.Exchange, error) {
				return &fakeExchange{Reader: io.MultiReader(strings.NewReader(firstEvent), endless{"data: " + strings.Repeat("a", 500) + "\n\n"})}, nil
			})}
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, end := context.WithCancel(t.Context())
			defer end()
			served := make(chan error, 1)
			go func() {
				served <- netconn.Serve(ctx, s.newHTTPServer(), &callerListener{netconn.DeliverBeforeClose(ln), s})
			}()
			resp := openStream(t, dial(t, ln.Addr().String()), request)
			time.Sleep(300 * time.Millisecond) // the buffers fill
			stopCtx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			s.Stop(stopCtx)
			if s.OpenRequests() != 1 {
				t.Fatalf("%d open requests; want the one that waits for its caller", s.OpenRequests())
			}
			end()
			if err := <-served; err != nil {
				t.Error(err)
			}
			expectBrokenOff(t, resp)
		})
	}
}

// Guards against a whole stream that looks broken off to a caller of HTTP/1.0: its connection must
// not be reset, also if the caller has not read the end when the entry closes the connection.
func TestWholeStreamWithoutChunksHasAnEnd(t *testing.T) {
	rest := strings.Repeat("data: "+strings.Repeat("a", 500)+"\n\n", 200)
	s, address := startServer(t, func(context.Context, *gateway.Forward) (gateway.Exchange, error) {
		return &fakeExchange{Reader: strings.NewReader(firstEvent + rest)}, nil
	})
	resp := openStream(t, dial(t, address), streamRequests["no chunks"])
	for s.OpenRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != rest {
		t.Errorf("%d more bytes, error %v; want %d", len(b), err, len(rest))
	}
}
