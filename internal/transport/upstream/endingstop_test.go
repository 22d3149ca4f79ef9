package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a cancelled stream that is passed on as complete because the planned stop of the
// entry ends while the connection behind the stream is watched, or its target is asked.
func TestEndOfStopDoesNotProveStreams(t *testing.T) {
	for _, c := range []struct {
		name, header string
	}{
		{"while the connection is watched", ""},
		{"before the target is asked", "Connection: close\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			g := newGateway(New(), []string{ln.Addr().String()})
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				const event = "id: 1\ndata: x\n\n"
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sRequest-Id: %s\r\nResponse-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
					c.header, req.Header.Get("Request-Id"), len(event), event)
				time.Sleep(20 * time.Millisecond)
				ln.Close()
				io.WriteString(conn, "0\r\n\r\n")
				time.Sleep(8 * time.Millisecond)
				g.EndRequests()
				time.Sleep(4 * time.Millisecond)
			}()
			if s := serveStreams(t, g, "stream", []int{300}, func() {})[0]; s.complete {
				t.Errorf("complete after %d of 300 events", s.events.Load())
			}
		})
	}
}

// Guards against a cancelled stream that is passed on as complete because its target had announced
// that it closes the connection, and its address accepts connections that nobody serves: those who
// do not answer at all are not full.
func TestSilentAddressDoesNotProveStreams(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		conn, err := ln.Accept() // others stay in the queue of the kernel
		if err != nil {
			return
		}
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		const event = "id: 1\ndata: x\n\n"
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			req.Header.Get("Request-Id"), len(event), event)
		time.Sleep(20 * time.Millisecond)
		io.WriteString(conn, "0\r\n\r\n")
	}()
	g := newGateway(New(), []string{ln.Addr().String()})
	if s := serveStreams(t, g, "stream", []int{300}, func() {})[0]; s.complete {
		t.Errorf("complete after %d of 300 events", s.events.Load())
	}
}
