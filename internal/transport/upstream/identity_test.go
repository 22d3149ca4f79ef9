package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// outlivesResponse reports whether the target counts as running after a response without length or chunks.
func outlivesResponse(t *testing.T, c *Client, target state.TargetRecord) bool {
	t.Helper()
	return !c.HasEnded(t.Context(), target.Address)
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
