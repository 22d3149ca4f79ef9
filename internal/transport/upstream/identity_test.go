package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// outlivesResponse reports whether the target counts as running after a response without length or chunks.
func outlivesResponse(t *testing.T, c *Client, target state.TargetRecord) bool {
	t.Helper()
	return c.CheckRunning(t.Context(), &target, "/health").Liveness == gateway.Running
}

// listenerVariable marks a process that serves the inherited listener until it is killed.
const listenerVariable = "UPSTREAM_TEST_LISTENER"

// serveOneStream answers one request on the inherited listener with a stream without length or
// chunks, sends one event and waits to be killed.
func serveOneStream(t *testing.T) {
	ln, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if !discardRequest(bufio.NewReader(conn)) {
		t.Fatal("no request")
	}
	respond(t, conn, responseStart+"a\r\n\r\nid: 1\ndata: x\n\n")
	select {}
}

// Guards against a stream without length or chunks that is passed on as complete after its
// process was killed, because its address goes on accepting connections: another process holds
// the listening socket, or serves the address.
func TestAcceptingAddressIsNoProofThatTheTargetRuns(t *testing.T) {
	if os.Getenv(listenerVariable) != "" {
		serveOneStream(t)
	}
	for _, c := range []struct{ name, answer string }{
		{"nothing answers", ""},
		{"bytes that are no response", "x\r\n\r\n"},
		{"response that names nobody", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"another incarnation answers", "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		{"another incarnation is healthy", "HTTP/1.1 200 OK\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n"},
		{"response to another request", "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			file, err := ln.(*net.TCPListener).File()
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			process := exec.Command(os.Args[0], "-test.run=^TestAcceptingAddressIsNoProofThatTheTargetRuns$")
			process.Env = append(os.Environ(), listenerVariable+"=1")
			process.ExtraFiles = []*os.File{file}
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			client := New()
			target := state.TargetRecord{ID: "i-1", Address: ln.Addr().String()}
			ex, err := begin(t.Context(), client, target, "a", nil)
			if err != nil {
				t.Fatal(err)
			}
			defer ex.Close(true)
			if _, err := ex.Head(); err != nil {
				t.Fatal(err)
			}
			event := make([]byte, len("id: 1\ndata: x\n\n"))
			if _, err := io.ReadFull(ex, event); err != nil {
				t.Fatal(err)
			}
			if err := process.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			process.Wait() // the error says that it was killed
			if n, err := io.Copy(io.Discard, ex); n != 0 || err != nil {
				t.Fatalf("after the event came %d bytes and error %v, want the end", n, err)
			}
			go func() { // the process that holds the listening socket now
				for {
					conn, err := ln.Accept()
					if err != nil {
						return // closed
					}
					go func() {
						defer conn.Close()
						for requests := bufio.NewReader(conn); discardRequest(requests); {
							if c.answer != "" {
								fmt.Fprint(conn, c.answer) // the client may have closed the connection
							}
						}
					}()
				}
			}()
			if outlivesResponse(t, client, target) {
				t.Errorf("the killed process counts as running; its stream would be complete after %q", strings.TrimSpace(string(event)))
			}
		})
	}
}

// misdirected is the answer of an incarnation to a request for another one.
func misdirected(instance string) string {
	return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + instance + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// healthy is the answer of an incarnation to a health check that it passes.
func healthy(instance string) string {
	return "HTTP/1.1 200 OK\r\nInstance-Id: " + instance + "\r\nContent-Length: 0\r\n\r\n"
}

// answerProbes answers the requests on a connection as a healthy incarnation does, until the
// connection is closed.
func answerProbes(t *testing.T, conn net.Conn, requests *bufio.Reader, instance string) {
	t.Helper()
	for {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if req.Header.Get("Expect-Instance") == instance && req.Method == http.MethodGet && req.URL.Path == "/health" {
			respond(t, conn, healthy(instance))
		} else {
			respond(t, conn, misdirected(instance))
		}
	}
}

// pooled returns a client with an idle connection to the target, which must answer "/x".
func pooled(t *testing.T, target state.TargetRecord) *Client {
	t.Helper()
	client := New()
	ex, err := begin(t.Context(), client, target, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ex.Head(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, ex); err != nil {
		t.Fatal(err)
	}
	ex.Close(true)
	return client
}

// Guards against a whole stream that is broken off because its target, which runs, resets new
// connections while it is at its limit of them.
func TestTargetAtItsLimitOfConnectionsRuns(t *testing.T) {
	for _, c := range []struct {
		name           string
		resets, opened int64 // connections that are reset after the first one; connections accepted in all
		idle           bool  // whether the first one is idle in the pool
	}{
		{"idle connection", 1 << 30, 2, true}, // the second one shows that connections are not refused
		{"connections are closed meanwhile", 2, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var accepted atomic.Int64
			address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
				n := accepted.Add(1)
				if c.idle {
					n--
				}
				if 0 < n && n <= c.resets {
					conn.(*net.TCPConn).SetLinger(0)
					return
				}
				if c.idle && discardRequest(requests) {
					respond(t, conn, response("a", ""))
				}
				answerProbes(t, conn, requests, "i-1")
			})
			target, client := state.TargetRecord{ID: "i-1", Address: address}, New()
			if c.idle {
				client = pooled(t, target)
			}
			check := client.CheckRunning(t.Context(), &target, "/health")
			for accepted.Load() < c.opened && t.Context().Err() == nil {
				time.Sleep(time.Millisecond) // the target may accept after the client has connected
			}
			if n := accepted.Load(); check.Liveness != gateway.Running || n != c.opened {
				t.Errorf("check %+v after %d connections, want running after %d", check, n, c.opened)
			}
		})
	}
}

// Guards against a check that waits for a target for longer than its bound, and against an answer
// that came too late and is taken for that to the next check.
func TestLateAnswerIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = probeTimeout + 100*time.Millisecond
		release, lateWrites := make(chan struct{}), atomic.Int64{}
		client, target := New(), state.TargetRecord{ID: "i-1", Address: "i-1"}
		client.connect = func(context.Context, string, time.Duration) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if !discardRequest(bufio.NewReader(far)) {
					return
				}
				<-release
				if _, err := fmt.Fprint(far, misdirected("i-1")); err != nil {
					lateWrites.Add(1) // the client has closed the connection
				}
			}()
			return near, nil
		}
		began := time.Now()
		time.AfterFunc(late, func() { close(release) })
		check := client.CheckRunning(t.Context(), &target, "")
		if took := time.Since(began); check.Liveness != gateway.Unproved || !check.TimedOut || took != probeTimeout {
			t.Errorf("check %+v after %s, want unproved and timed out after %s", check, took, probeTimeout)
		}
		if check := client.CheckRunning(t.Context(), &target, ""); check.Liveness != gateway.Running {
			t.Errorf("check %+v of a target that answers again, want running", check)
		}
		synctest.Wait()
		if lateWrites.Load() == 0 {
			t.Error("no answer came late")
		}
	})
}

// Guards against what a target sent before its end and is read as its answer: a second copy of an
// earlier answer, or a rejection that it sends on a connection without a request.
func TestBytesOfBeforeAreNoProof(t *testing.T) {
	for name, sent := range map[string]string{
		"copy of an answer": healthy("i-1"),
		"rejection":         "HTTP/1.1 503 Service Unavailable\r\nInstance-Id: i-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
				select {
				case <-ended: // something else accepts connections
					requests.Peek(1 << 10)
					return
				default:
				}
				if name != "copy of an answer" && discardRequest(requests) {
					respond(t, conn, response("a", ""))
				}
				if discardRequest(requests) && name == "copy of an answer" {
					respond(t, conn, healthy("i-1"))
					requests.Peek(1) // the next probe, if there is one on this connection
				}
				respond(t, conn, sent)
				requests.Peek(1 << 10) // until the connection is closed
			})
			target, client := state.TargetRecord{ID: "i-1", Address: address}, New()
			if name == "copy of an answer" {
				if !outlivesResponse(t, client, target) {
					t.Fatal("the target does not run before its end")
				}
			} else {
				client = pooled(t, target)
			}
			close(ended)
			if outlivesResponse(t, client, target) {
				t.Error("the target counts as running")
			}
		})
	}
}

// Guards against an answer to a request that was sent before the end of a response and counts for
// it, and against one request for each of many responses that end at a time.
func TestChecksShareOnlyProbesThatAreSentLater(t *testing.T) {
	const responses = 50
	var asked atomic.Int64
	first, answer := make(chan struct{}), make(chan struct{})
	address, opened := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
		if !discardRequest(requests) {
			return
		}
		if asked.Add(1) == 1 {
			close(first)
			<-answer
			respond(t, conn, healthy("i-1"))
			return
		}
		answerProbesOf(t, conn, requests, "i-2") // the next incarnation
	})
	target, client := state.TargetRecord{ID: "i-1", Address: address}, New()
	before := make(chan gateway.Liveness, 1)
	go func() { before <- client.CheckRunning(t.Context(), &target, "/health").Liveness }()
	<-first
	after := make(chan gateway.Liveness, responses)
	for range responses {
		go func() { after <- client.CheckRunning(t.Context(), &target, "/health").Liveness }()
	}
	time.Sleep(probeShareTime / 2) // all of them wait for a probe
	close(answer)
	if l := <-before; l != gateway.Running {
		t.Errorf("check before the end: %s, want running", l)
	}
	for range responses {
		if l := <-after; l != gateway.Ended {
			t.Fatalf("check after the end: %s, want ended", l)
		}
	}
	if n := opened.Load(); n > 4 {
		t.Errorf("%d connections for %d responses that ended at a time, want a few", n, responses)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.probes) != 0 {
		t.Errorf("%d targets with probes that are kept, want none", len(client.probes))
	}
}

// answerProbesOf answers a probe that was read, and those that follow.
func answerProbesOf(t *testing.T, conn net.Conn, requests *bufio.Reader, instance string) {
	t.Helper()
	respond(t, conn, misdirected(instance))
	answerProbes(t, conn, requests, instance)
}

// Guards against responses of targets that do not name themselves in rejections, and can never be
// complete, and against any other answer that is taken for that of the target.
func TestTargetThatDoesNotNameItself(t *testing.T) {
	const (
		unnamed421 = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		unnamed503 = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		unnamed502 = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
		unnamed200 = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		named200   = "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
	)
	for _, c := range []struct {
		name, other, own string // answers to a probe for another instance and for its own
		want             gateway.Liveness
		timedOut         bool
	}{
		{"healthy", unnamed421, named200, gateway.Running, false},
		{"healthy, unnamed", unnamed421, unnamed200, gateway.Running, false},
		{"full", unnamed421, unnamed503, gateway.Unproved, true},
		{"another incarnation", unnamed421, unnamed421, gateway.Ended, false},
		{"proxy", unnamed421, unnamed502, gateway.Unproved, false},
		{"does not heed the instance", unnamed200, unnamed200, gateway.Unproved, false},
		{"proxy of an address where nothing runs", unnamed502, unnamed502, gateway.Unproved, false},
		{"full before it looks at the instance", unnamed503, unnamed503, gateway.Unproved, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
				req, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				if req.URL.Path != "/health" || req.Header.Get("Request-Id") != "" || req.ContentLength != 0 {
					t.Errorf("probe %v, want the path of health checks, no request ID and no body", req)
				}
				if req.Header.Get("Expect-Instance") == "i-1" {
					respond(t, conn, c.own)
				} else {
					respond(t, conn, c.other)
				}
			})
			target := state.TargetRecord{ID: "i-1", Address: address}
			if check := New().CheckRunning(t.Context(), &target, "/health"); check.Liveness != c.want || check.TimedOut != c.timedOut {
				t.Errorf("check %+v, want %s, timed out %t", check, c.want, c.timedOut)
			}
		})
	}
}

// Guards against a rejection that names nobody and is sent without a request, by the full successor
// of a target, and that is taken for the answer of the target.
func TestUnaskedRejectionIsNoProof(t *testing.T) {
	var accepted atomic.Int64
	address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
		if accepted.Add(1) == 1 {
			if discardRequest(requests) {
				respond(t, conn, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			}
			return
		}
		respond(t, conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		requests.Peek(1 << 10) // until the connection is closed
	})
	target := state.TargetRecord{ID: "i-1", Address: address}
	if check := New().CheckRunning(t.Context(), &target, "/health"); check.Liveness == gateway.Running {
		t.Errorf("check %+v, want that the target does not count as running", check)
	}
}

// Guards against a response of a target that names no requests, and that is skipped because the
// connection has carried a probe: the request would wait until its deadline.
func TestUnnamedResponseBehindProbeBelongsToRequest(t *testing.T) {
	address, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
		if discardRequest(requests) {
			respond(t, conn, healthy("i-1"))
		}
		if discardRequest(requests) {
			respond(t, conn, healthy("i-1")) // a late copy
			respond(t, conn, "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	target, client := state.TargetRecord{ID: "i-1", Address: address}, New()
	if !outlivesResponse(t, client, target) {
		t.Fatal("the target does not run")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ex, err := begin(ctx, client, target, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ex.Close(false)
	if head, err := ex.Head(); err != nil || head.Status != http.StatusOK {
		t.Errorf("head %+v, error %v; want the response", head, err)
	}
}
