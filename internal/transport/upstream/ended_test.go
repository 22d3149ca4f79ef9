package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// targetVariable marks a process that TestKilledTargetHasEnded has started as its target.
const targetVariable = "UPSTREAM_TEST_TARGET"

// serveEndlessStreams answers each request with a stream that has neither a length nor chunks, and
// prints its address.
func serveEndlessStreams(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(ln.Addr())
	t.Fatal(http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect-Instance") != "t" {
			w.Header().Set("Instance-Id", "t")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			w.Header().Set("Instance-Id", "t")
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Transfer-Encoding", "identity")
		for n := 1; r.Context().Err() == nil; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n) // an error ends the context too
			http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
	})))
}

// Guards against a killed process that is taken for one that runs, in which case its streams would
// be passed on as complete: the kernel closes its connections without a reset.
func TestKilledTargetHasEnded(t *testing.T) {
	if os.Getenv(targetVariable) != "" {
		serveEndlessStreams(t)
	}
	for range 3 {
		target := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		target.Env = append(os.Environ(), targetVariable+"=1")
		out, err := target.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := target.Start(); err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		address := strings.TrimSpace(line)
		c, record := New(), state.TargetRecord{ID: "t", Address: address}
		if !outlivesResponse(t, c, record) {
			t.Error("the target seems to have ended before it is killed")
		}
		ex, err := begin(t.Context(), c, record, "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ex.Head(); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(ex, make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if err := target.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, ex)
		target.Wait() // the error says that it was killed
		if runs := outlivesResponse(t, c, record); runs || err != nil {
			t.Errorf("stream ended with error %v, target runs: %t; want no error and false", err, runs)
		}
		ex.Close(true)
	}
}

// Guards against a target that is taken for one that runs because the kernel still accepts
// connections for it, and resets them a moment later.
func TestTargetThatClosesNewConnectionsHasEnded(t *testing.T) {
	address, _ := startTarget(t, func(c net.Conn, _ *bufio.Reader) { c.(*net.TCPConn).SetLinger(0) })
	if outlivesResponse(t, New(), state.TargetRecord{ID: "t", Address: address}) {
		t.Error("the target seems to run")
	}
}

// closingConn is a connection that its target closes as soon as it is read.
type closingConn struct{ *net.TCPConn }

func (closingConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against a target that counts as ended because it closes a connection that has been idle
// for too long.
func TestTargetThatClosesIdleConnectionHasNotEnded(t *testing.T) {
	address, _ := startTarget(t, func(conn net.Conn, r *bufio.Reader) { answerProbes(t, conn, r, "t") })
	c := New()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	idle := newConnection(closingConn{conn.(*net.TCPConn)}, address)
	idle.expiresAt = time.Now().Add(time.Hour)
	c.pushIdle(idle)
	if !outlivesResponse(t, c, state.TargetRecord{ID: "t", Address: address}) {
		t.Error("the target seems to have ended")
	}
	if n := c.ConnectionsOpened(); n != 1 {
		t.Errorf("%d connections opened, want another one than the idle one", n)
	}
}

// Guards against an idle connection that is taken for proof that the target runs: a process that
// ends, on a busy machine, may close it a while after the listener and the other connections.
func TestIdleConnectionIsNoProofThatTheTargetRuns(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, address := New(), listener.Addr().String()
	idle, err := c.dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	idle.expiresAt = time.Now().Add(time.Hour)
	c.pushIdle(idle)
	listener.Close()
	if outlivesResponse(t, c, state.TargetRecord{ID: "t", Address: address}) {
		t.Error("the target seems to run")
	}
}
