package upstream

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

var (
	pausedFlag     = flag.Duration("upstream.paused", 5*time.Second, "how long TestStreamsOfPausedProcess lasts")
	pausedSeedFlag = flag.Uint64("upstream.pausedseed", 1, "seed of TestStreamsOfPausedProcess")
)

const (
	// pausedTargetsEnv holds the addresses of the targets of a process that is paused.
	pausedTargetsEnv = "CASSIARAMP_TEST_PAUSED_TARGETS"
	pausedEvents     = 8 // of each stream
	pausedCallers    = 48
	longestPause     = 3800 * time.Millisecond
)

// pausedEvent returns an event of the stream of a request.
func pausedEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// pausedStream is what the caller of a stream got.
type pausedStream struct {
	ID      string
	Body    string
	Ended   bool // as complete
	Aborted bool
}

func (s *pausedStream) Respond(r *state.Response, body []byte) error {
	s.Body, s.Ended = string(body), r.Status == http.StatusOK
	return nil
}
func (s *pausedStream) BeginStream(*state.Response) error { return nil }
func (s *pausedStream) WriteEvent(b []byte) error         { s.Body += string(b); return nil }
func (s *pausedStream) EndStream() error                  { s.Ended = true; return nil }
func (s *pausedStream) Abort()                            { s.Aborted = true }
func (s *pausedStream) Fail(gateway.Failure) error        { return nil }

// stallingTargets serve streams that stall at times and, when they are asked to abandon them or
// their time is up, end them properly, break them off or go on.
type stallingTargets struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *stallingTargets) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *stallingTargets) serve(c net.Conn, requests *bufio.Reader) {
	for {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		left := make(chan struct{}) // closed when the entry has closed its sending side
		asked := make(chan struct{})
		go func() {
			defer close(asked)
			if _, err := requests.Peek(1); err != nil {
				close(left)
			}
		}()
		if !s.stream(c, req, left) {
			return
		}
		<-asked // with the next request
	}
}

// stream writes a stream in chunks. It returns whether the connection may carry a further one.
func (s *stallingTargets) stream(c net.Conn, req *http.Request, left chan struct{}) bool {
	id := req.Header.Get("Request-Id")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if absent
	limit, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	timeUp := time.After(time.Duration(limit) * time.Millisecond)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	end := func() bool { _, err := io.WriteString(c, "0\r\n\r\n"); return err == nil }
	stalls := after + 1 + s.draw(4*pausedEvents) // about a quarter of the streams do
	atLeave := s.draw(3)
	for n := after + 1; n <= pausedEvents; n++ {
		pause := time.Duration(20+s.draw(100)) * time.Millisecond
		if n == stalls {
			pause = time.Duration(600+s.draw(2500)) * time.Millisecond
		}
		noticed := left
		if atLeave == 2 {
			noticed = nil // goes on
		}
		select {
		case <-noticed:
			return atLeave == 0 && end() && false
		case <-timeUp:
			return end()
		case <-time.After(pause):
		}
		if e := pausedEvent(id, n); s.draw(200) == 0 { // breaks off
			fmt.Fprintf(c, "%x\r\n%s", len(e), e[:s.draw(len(e))])
			return false
		} else if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	return end()
}

// Streams go through a process that is stopped and continued by signals for up to longestPause, at
// targets that stall. Guards against events that are missing or come twice, and against a stream
// that ends as complete before its last event, because bytes and timers are due at once when the
// process goes on.
func TestStreamsOfPausedProcess(t *testing.T) {
	if addresses := os.Getenv(pausedTargetsEnv); addresses != "" {
		runPausedCallers(t, strings.Split(addresses, ","))
		return
	}
	s := &stallingTargets{random: rand.New(rand.NewPCG(60, *pausedSeedFlag))}
	var addresses []string
	for range 12 {
		address, _ := startTarget(t, s.serve)
		addresses = append(addresses, address)
	}
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.CommandContext(t.Context(), binary, "-test.run=^TestStreamsOfPausedProcess$", fmt.Sprintf("-upstream.paused=%s", *pausedFlag), fmt.Sprintf("-upstream.pausedseed=%d", *pausedSeedFlag))
	child.Env = append(os.Environ(), pausedTargetsEnv+"="+strings.Join(addresses, ","))
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	var pauses sync.WaitGroup
	pauses.Go(func() { pauseInSeries(t, s, child.Process, ended) })
	var whole, partial, empty int
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var got pausedStream
		if json.Unmarshal(lines.Bytes(), &got) != nil {
			continue // of the test program itself
		}
		want := ""
		for n := range pausedEvents {
			want += pausedEvent(got.ID, n+1)
		}
		switch {
		case got.Ended && got.Body == want:
			whole++
		case got.Ended, !strings.HasPrefix(want, got.Body):
			t.Errorf("%s: ended %t, aborted %t with %q", got.ID, got.Ended, got.Aborted, got.Body)
		case got.Body == "":
			empty++
		default:
			partial++
		}
	}
	close(ended)
	pauses.Wait()
	if err := child.Wait(); err != nil {
		t.Error(err)
	}
	t.Logf("%d streams whole, %d broken off, %d without an event", whole, partial, empty)
	if whole == 0 {
		t.Error("no stream is whole")
	}
}

// pauseInSeries stops a process for a while, again and again, until ended is closed.
func pauseInSeries(t *testing.T, s *stallingTargets, p *os.Process, ended chan struct{}) {
	for {
		for _, step := range []struct {
			signal syscall.Signal
			after  time.Duration
		}{
			{syscall.SIGSTOP, time.Duration(100+s.draw(900)) * time.Millisecond},
			{syscall.SIGCONT, 900*time.Millisecond + time.Duration(s.draw(int(longestPause-900*time.Millisecond)))},
		} {
			select {
			case <-ended:
				return
			case <-time.After(step.after):
			}
			if err := p.Signal(step.signal); err != nil {
				t.Log(err) // it has ended
			}
		}
	}
}

// runPausedCallers sends streams for a while and prints what their callers get.
func runPausedCallers(t *testing.T, addresses []string) {
	g := newGateway(New(), addresses)
	route := runsRoute("resume", state.StreamingRoute, true)
	route.Timeout, route.Gap = 8*time.Second, 100*time.Millisecond
	g.SetConfiguration(&state.Configuration{Version: 2, Routes: []state.Route{route}})
	until := time.Now().Add(*pausedFlag)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for caller := range pausedCallers {
		random := rand.New(rand.NewPCG(*pausedSeedFlag, uint64(caller)))
		callers.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				call := &state.Call{ID: state.RequestID(fmt.Sprintf("%d-%d", caller, n)), Method: "POST", URI: "/resume/x", Host: "h", Path: "/resume/x"}
				call.Header = []state.HeaderField{{Name: "Request-Id", Value: string(call.ID)}}
				call.HasTimeout, call.Timeout = true, time.Duration(1000+random.IntN(6000))*time.Millisecond
				got := &pausedStream{ID: string(call.ID)}
				g.Serve(t.Context(), call, time.Now(), got)
				if got.Body == "" {
					time.Sleep(100 * time.Millisecond) // refused
				}
				line, err := json.Marshal(got)
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				fmt.Println(string(line))
				mu.Unlock()
			}
		})
	}
	callers.Wait()
}
