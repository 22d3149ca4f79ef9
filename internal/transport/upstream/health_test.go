package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against any answer of a target that is taken for proof that it runs: a process that leaves
// answers for a while after it has cancelled its handlers. Guards also against a running target that is
// taken for one that leaves because it is full.
func TestAnswerToHealthCheck(t *testing.T) {
	const (
		self    = "Instance-Id: i-1\r\n"
		notRun  = "Not-Executed: 1\r\n"
		refusal = "503 Service Unavailable\r\n"
	)
	for _, c := range []struct {
		name, own string
		want      gateway.Liveness
		same      bool
	}{
		{"healthy", "200 OK\r\n" + self, gateway.Running, false},
		{"leaves", refusal + self, gateway.Leaving, false},
		{"leaves, states that it is full", refusal + self + "Server-Load: 8,2,8\r\n", gateway.Leaving, false},
		{"rejects with free slots", refusal + self + notRun + "Server-Load: 0,0,8\r\n", gateway.Leaving, false},
		{"rejects with all slots taken", refusal + self + notRun + "Server-Load: 8,2,8\r\n", gateway.Unproved, true},
		{"rejects while requests wait", refusal + self + notRun + "Server-Load: 7,1,8\r\n", gateway.Unproved, true},
		{"rejects and states no load", refusal + self + notRun, gateway.Unproved, true},
		{"leaves, unnamed", refusal, gateway.Leaving, false},
		{"rejects with free slots, unnamed", refusal + notRun + "Server-Load: 0,0,8\r\n", gateway.Leaving, false},
		{"rejects, unnamed", refusal + notRun, gateway.Unproved, true},
		{"limits the rate", "429 Too Many Requests\r\n" + self + notRun + "Server-Load: 0,0,8\r\n", gateway.Unproved, true},
		{"path of health checks has moved", "404 Not Found\r\n" + self, gateway.Unproved, true},
		{"path of health checks has moved, unnamed", "404 Not Found\r\n", gateway.Unproved, true},
		{"fails", "500 Internal Server Error\r\n" + self, gateway.Unproved, true},
		{"empty answer that names nobody", "200 OK\r\n", gateway.Leaving, false},
		{"waits for a slot", "", gateway.Unproved, true},
		{"another incarnation leaves", refusal + "Instance-Id: i-2\r\n", gateway.Ended, false},
		{"another incarnation is full", refusal + "Instance-Id: i-2\r\n" + notRun + "Server-Load: 8,2,8\r\n", gateway.Ended, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
				for {
					req, err := http.ReadRequest(requests)
					switch {
					case err != nil:
						return
					case req.Header.Get("Expect-Instance") != "i-1":
						respond(t, conn, misdirected("i-1"))
					case c.own != "":
						respond(t, conn, "HTTP/1.1 "+c.own+"Content-Length: 0\r\n\r\n")
					}
				}
			})
			began := time.Now()
			check := New().CheckRunning(t.Context(), &state.TargetRecord{ID: "i-1", Address: address}, "/health")
			if check.Liveness != c.want || check.SameIncarnation != c.same {
				t.Errorf("check %+v, want %s, same incarnation %t", check, c.want, c.same)
			}
			if took := time.Since(began); took >= probeTimeout {
				t.Errorf("took %s, want less than %s", took, probeTimeout)
			}
		})
	}
}

// Guards against cut streams that are passed on as complete because their target, which has cancelled
// its handlers, still accepts connections and answers.
func TestStreamsOfTargetThatLingersAreIncomplete(t *testing.T) {
	for _, route := range []string{"stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			target := startEndingTarget(t, cancelsAndLingers)
			g := newGateway(New(), []string{target.address})
			g.SetConfiguration(withHealthPath(g.Configuration()))
			leaveIdleConnections(t, g)
			for i, s := range serveStreams(t, g, route, []int{300, 300, 300, 300}, target.terminate) {
				if s.complete {
					t.Errorf("stream %d: complete after %d of 300 events", i, s.events.Load())
				}
			}
		})
	}
}

// Guards against whole streams that are broken off because the health check of their target, which is
// full, is rejected.
func TestStreamOfFullTargetIsComplete(t *testing.T) {
	for _, framing := range []string{"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n", "\r\nid: 1\ndata: x\n\n"} {
		address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			for {
				req, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				if id := req.Header.Get("Request-Id"); id != "" {
					respond(t, conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nResponse-Signature: s\r\n"+framing)
					return
				}
				respond(t, conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Load: 8,4,8\r\nInstance-Id: "+conn.LocalAddr().String()+"\r\nContent-Length: 0\r\n\r\n")
			}
		})
		g := newGateway(New(), []string{address})
		g.SetConfiguration(withHealthPath(g.Configuration()))
		out := &eventCount{}
		call := &state.Call{ID: "r", Method: http.MethodPost, URI: "/stream/1", Host: "h", Path: "/stream/1", Header: []state.HeaderField{{Name: "Request-Id", Value: "r"}}}
		if g.Serve(t.Context(), call, time.Now(), out); !out.complete || out.events.Load() != 1 {
			t.Errorf("%q: complete %t after %d events", strings.SplitN(framing, "\r\n", 2)[0], out.complete, out.events.Load())
		}
	}
}

// withHealthPath returns a newer configuration in which the service has health checks.
func withHealthPath(c *state.Configuration) *state.Configuration {
	n := *c
	n.Version++
	n.HealthPaths = map[state.Service]string{"s": "/healthz"}
	return &n
}

// Guards against cut streams that are passed on as complete because their target answers any request
// with an empty success while it ends, although targets of its service name themselves.
func TestTargetThatNamesItselfNoLonger(t *testing.T) {
	for _, c := range []struct {
		name   string
		before *state.TargetRecord // has named itself
		want   gateway.Liveness
	}{
		{"target has named itself", &state.TargetRecord{ID: "i-1", Service: "s"}, gateway.Leaving},
		{"another target of the service has", &state.TargetRecord{ID: "i-0", Service: "s"}, gateway.Leaving},
		{"target of another service has", &state.TargetRecord{ID: "i-0", Service: "other"}, gateway.Unproved},
		{"no target has", nil, gateway.Unproved},
	} {
		t.Run(c.name, func(t *testing.T) {
			var ends atomic.Bool
			address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
				for {
					req, err := http.ReadRequest(requests)
					switch {
					case err != nil:
						return
					case !ends.Load():
						respond(t, conn, healthy(req.Header.Get("Expect-Instance")))
					default:
						respond(t, conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			})
			client := New()
			if c.before != nil {
				c.before.Address = address
				if !outlivesResponse(t, client, *c.before) {
					t.Fatal("the target does not run before")
				}
			}
			ends.Store(true)
			target := state.TargetRecord{ID: "i-1", Service: "s", Address: address}
			if check := client.CheckRunning(t.Context(), &target, "/health"); check.Liveness != c.want {
				t.Errorf("check %+v, want %s", check, c.want)
			}
		})
	}
}
