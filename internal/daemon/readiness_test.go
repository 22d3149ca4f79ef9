package daemon

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
	"github.com/cassiaramp/cassiaramp/platform"
)

// Guards against readiness checks that leave their connections open and in time take all
// descriptors of the entry.
func TestIdleReadinessConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &gatewayProcess{log: zap.NewNop()}
		p.stopping.Store(true) // the answer needs no other part of the process
		ln := conntest.NewListener()
		ended := make(chan error, 1)
		go func() { ended <- netconn.Serve(t.Context(), p.newReadinessServer(), ln) }()
		t.Cleanup(func() {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
		conn := ln.Dial()
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET "+platform.ReadyPath+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(conn)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d, error %v", resp.StatusCode, err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(2 * readinessIdleTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := in.Peek(1); err != io.EOF {
			t.Errorf("the connection is open after %v: %v", 2*readinessIdleTimeout, err)
		}
	})
}

// Guards against clients that send bodies, send nothing, or stay connected at the readiness
// check: an entry that does not answer it gets no callers.
func TestReadinessDespiteMisbehavingClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &gatewayProcess{log: zap.NewNop()}
		p.stopping.Store(true) // the answer needs no other part of the process
		ln := conntest.NewListener()
		ended := make(chan error, 1)
		go func() { ended <- netconn.Serve(t.Context(), p.newReadinessServer(), ln) }()
		t.Cleanup(func() {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
		ask := func(request string) (status int) {
			conn := ln.Dial()
			t.Cleanup(func() { conn.Close() })
			go io.WriteString(conn, request) // an error shows in the response
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return 0
			}
			return resp.StatusCode
		}
		probe := "GET " + platform.ReadyPath + " HTTP/1.1\r\nHost: h\r\n\r\n"
		for range 2 * maxReadinessConnections {
			conn := ln.Dial()
			t.Cleanup(func() { conn.Close() })
		}
		for request, status := range map[string]int{
			probe: http.StatusServiceUnavailable,
			"GET " + platform.ReadyPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\nab":   http.StatusRequestEntityTooLarge,
			"POST " + platform.ReadyPath + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n": http.StatusRequestEntityTooLarge,
			"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 3*maxReadinessHeaderBytes):         http.StatusRequestHeaderFieldsTooLarge,
		} {
			began := time.Now()
			if got := ask(request); got != status || time.Since(began) > 0 {
				t.Errorf("%.60q: status %d after %v, want %d at once", request, got, time.Since(began), status)
			}
		}
		time.Sleep(time.Second) // net/http waits before it closes connections with unread input
	})
}
