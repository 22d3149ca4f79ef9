package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a cut stream that is passed on as complete because its target, which has cancelled its
// only handler, leaves the connection open and idle.
func TestOnlyStreamOfTargetThatLingersIsIncomplete(t *testing.T) {
	for _, hasIdle := range []bool{false, true} {
		target := startEndingTarget(t, cancelsAndLingers)
		g := newGateway(New(), []string{target.address})
		g.SetConfiguration(withHealthPath(g.Configuration()))
		if hasIdle {
			leaveIdleConnections(t, g)
		}
		if s := serveStreams(t, g, "resume", []int{300}, target.terminate)[0]; s.complete {
			t.Errorf("idle connections %t: complete after %d of 300 events", hasIdle, s.events.Load())
		}
	}
}

// Guards against a health check at the end of each stream that costs more than one request on the
// connection of the stream.
func TestCostOfConfirmingStreams(t *testing.T) {
	const (
		streams   = 20
		endsApart = 50 * time.Millisecond // streams that end within 25 ms may have ended together
	)
	for _, c := range []struct {
		route  string
		health string // answer to a health check, but for its end
		checks int64
	}{
		{"resume", "200 OK\r\n", streams},
		{"resume", "503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Load: 8,4,8\r\n", streams}, // full
		{"stream", "200 OK\r\n", 0},
	} {
		var checks atomic.Int64
		address, opened := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			for {
				req, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				if id := req.Header.Get("Request-Id"); id != "" {
					respond(t, conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n")
					continue
				}
				checks.Add(1)
				respond(t, conn, "HTTP/1.1 "+c.health+"Instance-Id: "+conn.LocalAddr().String()+"\r\nContent-Length: 0\r\n\r\n")
			}
		})
		g := newGateway(New(), []string{address})
		g.SetConfiguration(withHealthPath(g.Configuration()))
		for i := range streams {
			s := &eventCount{}
			path := "/" + c.route + "/1"
			call := &state.Call{ID: state.RequestID(fmt.Sprint("r", i)), Method: http.MethodPost, URI: path, Host: "h", Path: path}
			call.Header = []state.HeaderField{{Name: "Request-Id", Value: string(call.ID)}}
			if g.Serve(t.Context(), call, time.Now(), s); !s.complete {
				t.Fatalf("%s, %q: stream %d is not complete", c.route, c.health, i)
			}
			time.Sleep(endsApart)
		}
		if checks.Load() != c.checks || opened.Load() != 1 {
			t.Errorf("%s, %q: %d checks, %d connections for %d streams; want %d, 1", c.route, c.health, checks.Load(), opened.Load(), streams, c.checks)
		}
	}
}
