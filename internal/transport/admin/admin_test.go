package admin

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// Guards against reporting a process as ready when it cannot serve, so that a load
// balancer would send it work, and against an endpoint without metrics.
func TestEndpoints(t *testing.T) {
	notReady := errors.New("no bundle in effect")
	ln := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	readyErr := notReady
	go func() { served <- (&Server{Ready: func() error { return readyErr }}).Serve(ctx, ln) }()
	client := &fasthttp.HostClient{Addr: "admin", Dial: func(string) (net.Conn, error) { return ln.Dial() }}

	check := func(path string, status int, text string) {
		t.Helper()
		got, body, err := client.Get(nil, "http://admin"+path)
		if err != nil || got != status || !strings.Contains(string(body), text) {
			t.Errorf("%s: status %d, body %q, error %v; want %d with %q", path, got, body, err, status, text)
		}
	}
	check("/healthz", 200, "ok")
	check("/readyz", 503, notReady.Error())
	readyErr = nil
	check("/readyz", 200, "ready")
	check("/debug/vars", 200, "memstats")
	check("/other", 404, "")

	cancel()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
