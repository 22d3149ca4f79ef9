package entryhttp

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// onceFailingListener fails the first accept.
type onceFailingListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *onceFailingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// Guards against an entry that ends, or pauses for a second, when a connection cannot be
// accepted for lack of descriptors or buffers.
func TestCallersAreServedAfterAFailedAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := testBundle()
	s := New(Config{Bundle: func() *state.Bundle { return b }, MaxConnections: maxTestConnections, MaxBodyBytes: 1, Log: zap.NewNop()})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(&onceFailingListener{Listener: l}) }()
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	answered := make(chan error, 1)
	go func() {
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err == nil {
			resp.Body.Close()
		}
		answered <- err
	}()
	select {
	case err := <-ended:
		l.Close()
		t.Fatalf("the server ended: %v", err)
	case err := <-answered:
		if err != nil {
			t.Error(err)
		}
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}
