package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// longBody is the body of a request that does not fit into the buffers of a connection.
var longBody = bytes.Repeat([]byte("0123456789abcdef"), 2<<20)

// startEarlyTarget runs a target that answers the first request on each connection when it
// has read its head. It then calls rest, whose reader yields the body.
func startEarlyTarget(t *testing.T, answer string, rest func(c *net.TCPConn, body io.Reader)) (target state.TargetRecord) {
	t.Helper()
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			t.Error(err)
			return
		}
		respond(t, c, answer)
		rest(c.(*net.TCPConn), r)
	})
	return state.TargetRecord{ID: "t", Address: address}
}

// Guards against an answer that is thrown away because the target did not read the whole
// body: a request that a full target rejects counts as possibly run, and a response that the
// target has made is replaced by a failure.
func TestAnswerBeforeTheWholeBodyIsReadIsTaken(t *testing.T) {
	answered := make(chan struct{}) // closed when the client has the answer
	for name, rest := range map[string]func(c *net.TCPConn, body io.Reader){
		"closes": func(*net.TCPConn, io.Reader) {},
		"resets": func(c *net.TCPConn, _ io.Reader) {
			if err := c.SetLinger(0); err != nil {
				t.Error(err)
			}
		},
		"reads on later": func(_ *net.TCPConn, body io.Reader) {
			<-answered
			io.Copy(io.Discard, body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := startEarlyTarget(t, rejections["full"]+"Request-Id: a\r\nContent-Length: 0\r\n\r\n", rest)
			if head, _, err := sendBody(t, New(), target, "a", longBody); err != nil || !head.NotRun {
				t.Errorf("head %+v, error %v; want that the request did not run", head, err)
			}
			target = startEarlyTarget(t, response("a", "ok"), rest)
			if _, body, err := sendBody(t, New(), target, "a", longBody); err != nil || body != "ok" {
				t.Errorf("body %q, error %v; want the response", body, err)
			}
		})
	}
	close(answered)
}

// Guards against a next request that is sent where the target still waits for the rest of the
// body: it would take the request for a part of the body.
func TestConnectionIsNotReusedBeforeTheWholeBodyIsSent(t *testing.T) {
	received := make(chan []byte, 2)
	readOn := make(chan struct{})
	target := startEarlyTarget(t, response("a", "ok"), func(_ *net.TCPConn, body io.Reader) {
		<-readOn
		b, _ := io.ReadAll(body) // ends with the connection, which may be reset
		received <- b
	})
	client := New()
	for range 2 {
		if _, body, err := sendBody(t, client, target, "a", longBody); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v; want the response", body, err)
		}
	}
	close(readOn)
	for range 2 {
		if b := <-received; !bytes.HasPrefix(longBody, b) {
			t.Errorf("the target received %d bytes that are not the beginning of the body", len(b))
		}
	}
}

// A response without length or chunks is complete when its connection is closed. Guards
// against one that looks complete although the connection was reset: only one of a read and a
// write learns of the reset, the other sees the end.
func TestResetResponseToALongBodyIsIncomplete(t *testing.T) {
	for range 20 {
		read := make(chan struct{})
		target := startEarlyTarget(t, responseStart+"a\r\n\r\npart", func(c *net.TCPConn, _ io.Reader) {
			<-read
			if err := c.SetLinger(0); err != nil {
				t.Error(err)
			}
		})
		ex, err := begin(t.Context(), New(), target, "a", longBody)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ex.Head(); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(ex, make([]byte, len("part"))); err != nil {
			t.Fatal(err)
		}
		close(read)
		if _, err := io.ReadAll(ex); err == nil {
			t.Fatal("the response looks complete")
		}
		ex.Close(false)
	}
}

// Guards against a long request whose writing counts as unfinished although the target has
// answered all of it: its connection would not be reused, or a response that ends with the
// connection would look incomplete.
func TestLongRequestIsWrittenWhenItIsAnswered(t *testing.T) {
	address, opened := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for n := range 6 {
			if !discardRequest(r) {
				t.Error("a request did not arrive")
				return
			}
			if n < 5 {
				respond(t, c, response("a", "ok"))
			} else {
				respond(t, c, responseStart+"a\r\n\r\nok")
			}
		}
	})
	client := New()
	for range 6 {
		if _, body, err := sendBody(t, client, state.TargetRecord{ID: "t", Address: address}, "a", longBody); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v; want the response", body, err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// Guards against giving up a request whose target reads a long body only after a while: its
// connection has a closed window meanwhile.
func TestTargetReadsLongBodyLater(t *testing.T) {
	t.Parallel()
	const pause = 3 * time.Second
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			t.Error(err)
			return
		}
		time.Sleep(pause)
		if n, err := io.Copy(io.Discard, req.Body); err != nil || n != int64(len(longBody)) {
			t.Errorf("target read %d bytes of the body, error %v; want %d", n, err, len(longBody))
		}
		respond(t, c, response("a", "ok"))
	})
	ex, err := begin(t.Context(), New(), state.TargetRecord{ID: "t", Address: address}, "a", longBody)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = ex.Head(); err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(ex)
	ex.Close(err == nil)
	if err != nil || string(body) != "ok" {
		t.Errorf("body %q, error %v; want the response", body, err)
	}
}
