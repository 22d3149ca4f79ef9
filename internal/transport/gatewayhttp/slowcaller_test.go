package gatewayhttp

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

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

// Guards against a planned stop that loses a long response to a caller that reads it slowly, if
// further requests cross the close of the connection.
func TestPlannedStopDeliversResponsesDespiteFurtherRequests(t *testing.T) {
	text := strings.Repeat("a", 512<<10)
	sent, release := make(chan struct{}), make(chan struct{})
	s := &Server{Log: zap.NewNop(), Gateway: newGateway(func(context.Context, *gateway.Forward) (gateway.Exchange, error) {
		close(sent)
		<-release
		return &fakeExchange{Reader: strings.NewReader(text)}, nil
	})}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	defer end()
	served := make(chan error, 1)
	go func() { served <- netconn.Serve(ctx, s.newHTTPServer(), ln) }()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }), err)
	}}
	conn, err := d.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := "GET /plain/x" + requestHead + "\r\n"
	if _, err := io.WriteString(conn, strings.Repeat(request, 200)); err != nil {
		t.Fatal(err)
	}
	<-sent
	stopCtx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() {
		s.Stop(stopCtx)
		end()
	}()
	for !s.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	time.Sleep(idleCloseDelay + 4*quietPeriod) // the stop would end without a request in progress
	select {
	case err := <-served:
		t.Fatalf("the server has ended before its caller has received the response; error %v", err)
	default:
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != text || !resp.Close {
		t.Errorf("%d bytes, connection closed %t, error %v; want %d and closed", len(body), resp.Close, err, len(text))
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
