package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Further ways in which a target of these tests ends at SIGTERM, for endingVariable.
const (
	// finishesThenCancels shuts the server down and cancels all handlers that have not returned
	// after endingDrainTime.
	finishesThenCancels = "finishes handlers, then cancels"
	// cancelsInTurn shuts the server down and cancels one handler after another, every endingTurn.
	cancelsInTurn = "cancels handlers in turn"
	// cancelsAndCleansUp closes the listener, cancels the handlers and exits endingCleanUpTime
	// later, until when the connections stay open.
	cancelsAndCleansUp = "cancels handlers and cleans up"

	endingDrainTime   = 400 * time.Millisecond
	endingTurn        = 60 * time.Millisecond
	endingCleanUpTime = 300 * time.Millisecond
)

// serveEndingForm answers as serveUntilTerminated does and ends in the given way.
func serveEndingForm(t *testing.T, ending string) {
	terminated, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var mu sync.Mutex
	var cancels []context.CancelFunc // of the handlers, in the order in which they began
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(ln.Addr())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if r.Header.Get("Request-Id") == "" { // a check of the target's health
			w.Header().Set("Instance-Id", ln.Addr().String())
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "signed")
		_, text, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		events, _ := strconv.Atoi(text) // the path ends with a number
		if events > 0 {
			mu.Lock()
			cancels = append(cancels, cancel)
			mu.Unlock()
		}
		for n := 1; n <= events; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n) // an error ends the context too
			http.NewResponseController(w).Flush()
			select {
			case <-time.After(endingEventGap):
			case <-ctx.Done():
				return
			}
		}
	})}
	go server.Serve(ln)
	<-terminated.Done()
	if ending == cancelsAndCleansUp {
		ln.Close()
	} else {
		go server.Shutdown(context.Background())
	}
	if ending == finishesThenCancels {
		time.Sleep(endingDrainTime)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, cancel := range cancels {
		cancel()
		if ending == cancelsInTurn {
			time.Sleep(endingTurn)
		}
	}
	time.Sleep(endingCleanUpTime)
}

// checkEndingForm checks that no stream is passed on as complete before its last event, from a target
// that ends in the given way while the streams are under way.
func checkEndingForm(t *testing.T, ending, route string, lengths []int) {
	target := startEndingTarget(t, ending)
	g := newGateway(New(), []string{target.address})
	for i, s := range serveStreams(t, g, route, lengths, func() { target.process.Process.Signal(syscall.SIGTERM) }) {
		if s.complete && s.events.Load() != int64(lengths[i]) {
			t.Errorf("stream %d: complete after %d of %d events", i, s.events.Load(), lengths[i])
		}
	}
}

// Guards against the last of several streams that is passed on as complete when the time of a
// draining target runs out and it cancels all handlers: the others, whose end is judged first, must
// still be known.
func TestStreamsCancelledTogetherAfterDrainAreIncomplete(t *testing.T) {
	if ending := os.Getenv(endingVariable); ending != "" {
		serveEndingForm(t, ending)
		return
	}
	// The first stream ends by itself, which shows that the target accepts no connections.
	checkEndingForm(t, finishesThenCancels, "stream", []int{30, 300, 300, 300, 300})
}

// Guards against a stream that is passed on as complete because another one of its target, which
// cancels its handlers in turn, goes on for a moment.
func TestStreamsCancelledInTurnAreIncomplete(t *testing.T) {
	if ending := os.Getenv(endingVariable); ending != "" {
		serveEndingForm(t, ending)
		return
	}
	for _, route := range []string{"stream", "resume"} {
		t.Run(route, func(t *testing.T) { checkEndingForm(t, cancelsInTurn, route, []int{300, 300, 300, 300}) })
	}
}

// Guards against a cancelled stream that is passed on as complete because its target, which accepts
// no connections any more, takes longer than the watch to exit and to close the connection.
func TestStreamOfTargetThatCleansUpIsIncomplete(t *testing.T) {
	if ending := os.Getenv(endingVariable); ending != "" {
		serveEndingForm(t, ending)
		return
	}
	for _, route := range []string{"stream", "resume"} {
		t.Run(route, func(t *testing.T) { checkEndingForm(t, cancelsAndCleansUp, route, []int{300}) })
	}
}

// Guards against a whole stream that is broken off because it is the only one of a target that
// shuts its server down and finishes it.
func TestOnlyStreamOfTargetThatFinishesItIsComplete(t *testing.T) {
	if ending := os.Getenv(endingVariable); ending != "" {
		serveUntilTerminated(t, ending)
		return
	}
	target := startEndingTarget(t, finishesHandlers)
	g := newGateway(New(), []string{target.address})
	s := serveStreams(t, g, "stream", []int{60}, func() { target.process.Process.Signal(syscall.SIGTERM) })[0]
	if !s.complete || s.events.Load() != 60 {
		t.Errorf("complete %t after %d of 60 events", s.complete, s.events.Load())
	}
}

// Guards against a stream that is passed on as complete although its target closes the connection
// and ends, because bytes of no request precede the close.
func TestBytesBehindStreamDoNotHideTheEndOfItsTarget(t *testing.T) {
	const last = "0\r\n\r\n"
	const stray = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	for _, c := range []struct {
		name  string
		write func(conn net.Conn)
	}{
		{"with the last chunk", func(conn net.Conn) { io.WriteString(conn, last+stray) }},
		{"after the last chunk", func(conn net.Conn) {
			io.WriteString(conn, last)
			time.Sleep(5 * time.Millisecond)
			io.WriteString(conn, stray)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
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
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
					req.Header.Get("Request-Id"), len(event), event)
				time.Sleep(20 * time.Millisecond)
				ln.Close()
				c.write(conn)
			}()
			g := newGateway(New(), []string{ln.Addr().String()})
			if s := serveStreams(t, g, "stream", []int{300}, func() {})[0]; s.complete {
				t.Errorf("complete after %d of 300 events", s.events.Load())
			}
		})
	}
}
