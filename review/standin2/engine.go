package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// An engine of a case runs as a process of its own, so that it can be killed. It answers what
// PROTOCOL.md says of engines: health checks, requests that expect another engine (421), and
// requests. What a whole answer is follows from the id of the request, so that a client can tell
// whether it got one. Answers have no length and end with their channel.
//
// The engine takes its channels from a listener that it was given by the process that started it,
// as a service of a supervisor that keeps the address open does, or a worker of a server that has
// several.
type engine struct {
	id, service string
	pieces      int
	gap         time.Duration
	runs        *os.File

	mu      sync.Mutex
	running int
	state   string // in the engine's entry
}

// listenerFD is the descriptor of the listener of an engine.
const listenerFD = 3

func runEngine(args []string) error {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &engine{state: "ready"}
	flags.StringVar(&e.id, "id", "", "Id of the engine")
	flags.StringVar(&e.service, "service", "", "service")
	flags.IntVar(&e.pieces, "pieces", 24, "pieces of an answer")
	flags.DurationVar(&e.gap, "gap", 50*time.Millisecond, "time between two pieces")
	runs := flags.String("runs", "", "file to which each run is appended")
	register := flags.String("register", "", "address at which the store takes the engine's entry")
	address := flags.String("address", "", "address of the engine")
	zone := flags.String("zone", "", "zone")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var err error
	if e.runs, err = os.OpenFile(*runs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	ln, err := net.FileListener(os.NewFile(listenerFD, "listener"))
	if err != nil {
		return err
	}
	write := make(chan struct{}, 1)
	go e.beat(*register, *address, *zone, write)
	go e.leave(write)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go e.serve(conn)
	}
}

// heartbeat is HeartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// beat keeps the entry of the engine in the platform's store.
func (e *engine) beat(register, address, zone string, write <-chan struct{}) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		state := e.state
		e.mu.Unlock()
		body, err := json.Marshal(map[string]any{
			"Service": e.service, "Address": address, "Zone": zone, "Version": "1", "Slots": slots, "State": state,
			"ColdRemainingMs": 0, "Sequence": sequence, "born": born,
		})
		if err == nil {
			if resp, err := http.Post("http://"+register+"/engines/"+e.id, "application/json", bytes.NewReader(body)); err == nil {
				resp.Body.Close()
			}
		}
		select {
		case <-write:
		case <-time.After(heartbeat):
		}
	}
}

// leave lets the engine drain from a signal on: it says so, and serves on.
func (e *engine) leave(write chan<- struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		e.mu.Lock()
		e.state = "draining"
		e.mu.Unlock()
		write <- struct{}{}
	}
}

const slots = 9

// whole returns the pieces of the whole answer to a request.
func whole(id string, n int, stream bool) (pieces []string, signature string) {
	for i := 1; i <= n; i++ {
		text := fmt.Sprintf("%s piece %d of %d.\n", id, i, n)
		if stream {
			text = fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i, id, i, n)
		}
		pieces = append(pieces, text)
	}
	sum := sha256.Sum256([]byte(strings.Join(pieces, "")))
	return pieces, hex.EncodeToString(sum[:8])
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		expected := r.Header.Get("Expect-Instance")
		e.mu.Lock()
		load, draining := fmt.Sprintf("%d,0,%d", e.running, slots), e.state == "draining"
		e.mu.Unlock()
		switch {
		case expected != "" && expected != e.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, e.id)
		case r.URL.Path == healthPath && draining:
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", e.id, load)
		case r.URL.Path == healthPath:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", e.id, load)
		case id == "":
			fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			e.run(conn, r, id, load)
			return // the answer ends with the channel
		}
	}
}

// run runs a request and writes its answer piece by piece, without a length.
func (e *engine) run(conn net.Conn, r *http.Request, id, load string) {
	e.mu.Lock()
	e.running++
	fmt.Fprintf(e.runs, "%s engine %s of %s (process %d) runs %s %s for %q\n", id, e.id, e.service, os.Getpid(), r.Method, r.URL.RequestURI(), r.Header.Get("Tenant"))
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	stream := strings.HasPrefix(r.URL.Path, streamPath)
	pieces, signature := whole(id, e.pieces, stream)
	kind := "application/octet-stream"
	if stream {
		kind = "text/event-stream"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: %s\r\nServer-Load: %s\r\nConnection: close\r\n\r\n", id, signature, kind, load); err != nil {
		return
	}
	for _, piece := range pieces {
		time.Sleep(e.gap)
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
}
