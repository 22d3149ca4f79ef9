package gatewayhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

// smallInstance is the account of an instance of 184 MB.
var smallInstance = memory.Limits{Total: 46 << 20, Reserve: 23 << 19, Responses: 23 << 20}

// sendPart sends the part of a request on a new connection.
func (s *stoppableServer) sendPart(part string) net.Conn {
	conn := s.ln.Dial()
	s.t.Cleanup(func() { conn.Close() })
	go io.WriteString(conn, part) // an error shows in the response
	synctest.Wait()
	return conn
}

// startLimited starts a server with an account that bodies of up to size bytes are taken from.
func startLimited(t *testing.T, size int64, limits memory.Limits) *stoppableServer {
	s := startStoppableWith(t, respond, memory.New(limits))
	s.setLimits(func(l *state.CallerLimits) { l.MaxBodyBytes = size })
	return s
}

// Guards against reading, and holding, the bodies of requests that cannot be served, and
// against closing the connection of a sound caller.
func TestHeadIsAnsweredBeforeTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
		kept    bool // the connection
	}{
		"no route":                     {"POST /none/x" + requestHead + "Content-Length: 100\r\n\r\n", http.StatusNotFound, false},
		"no route, begun body":         {"POST /none/x" + requestHead + "Content-Length: 100\r\n\r\nabc", http.StatusNotFound, false},
		"no route, begun chunk":        {"POST /none/x" + requestHead + "Transfer-Encoding: chunked\r\n\r\n64\r\na", http.StatusNotFound, false},
		"no route, whole body":         {"POST /none/x" + requestHead + "Content-Length: 3\r\n\r\nabc", http.StatusNotFound, true},
		"no route, whole chunks":       {"POST /none/x" + requestHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", http.StatusNotFound, true},
		"no route, body not asked for": {"POST /none/x" + requestHead + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", http.StatusNotFound, false},
		"no identifier":                {"POST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 100\r\n\r\n", http.StatusBadRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startStoppable(t, respond)
				defer s.waitServed()
				defer s.end()
				conn, began := s.sendPart(c.request), time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode != c.status || resp.Close == c.kept {
					t.Fatalf("response %v, error %v; want %d, and the connection kept: %t", resp, err, c.status, c.kept)
				}
				if waited := time.Since(began); waited > skipTime {
					t.Errorf("answered after %v", waited)
				}
				conn.Close()
			})
		})
	}
}

// Guards against bodies that together exceed the account, against one that is refused although
// there is memory, and against small requests that are refused because of large ones.
func TestBodiesStayWithinTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1 << 20
		s := startLimited(t, size, memory.Limits{Total: 5 * size, Reserve: size})
		defer s.waitServed()
		defer s.end()
		answers := make(chan *http.Response)
		const unfinished = 20
		for range unfinished {
			conn := s.sendPart(fmt.Sprintf("POST /plain/x%sContent-Length: %d\r\n\r\n%s", requestHead, size, strings.Repeat("a", size-1)))
			go func() {
				resp, _ := http.ReadResponse(bufio.NewReader(conn), nil) // nil without one
				answers <- resp
			}()
		}
		for what, n := range map[string]int{"small": 2, "large": size} {
			time.Sleep(time.Second) // the other bodies stall
			resp, err := http.ReadResponse(bufio.NewReader(s.sendPart(fmt.Sprintf("POST /plain/x%sContent-Length: %d\r\n\r\n%s", requestHead, n, strings.Repeat("a", n)))), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s request: %v, error %v", what, resp, err)
			}
		}
		for range unfinished {
			if resp := <-answers; resp == nil || resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("unfinished request: %v; want it answered as not run", resp)
			}
		}
		if c := s.Memory.Counts(); c.Peak > c.Limit || c.Evicted == 0 || c.Refused == 0 {
			t.Errorf("%+v; want some refused, some evicted, and the peak within the limit", c)
		}
		synctest.Wait()
		if used := s.Memory.Counts().Used; used != 0 {
			t.Errorf("%d bytes are held when all requests have ended", used)
		}
	})
}

// Guards against header sections that take many times their size in memory, that are read
// beyond the operator's limit, or that never end.
func TestHeaderSectionsAreLimitedWhileTheyAreRead(t *testing.T) {
	many := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "a%x:\r\n", i)
		}
		return b.String()
	}
	for name, c := range map[string]struct {
		request string
		memory  memory.Limits
		status  int
	}{
		"proper":                 {"GET /plain/x" + requestHead + many(250) + "\r\n", memory.Limits{}, http.StatusOK},
		"proper within a memory": {"GET /plain/x" + requestHead + "\r\n", memory.Limits{Total: 1}, http.StatusOK},
		"one-letter fields":      {"GET /plain/x" + requestHead + strings.Repeat("a:\r\n", 3000) + "\r\n", smallInstance, http.StatusOK},
		"short fields":           {"GET /plain/x" + requestHead + many(2000) + "\r\n", smallInstance, http.StatusOK},
		"too many fields":        {"GET /plain/x" + requestHead + strings.Repeat("a:\r\n", 3300) + "\r\n", smallInstance, http.StatusRequestHeaderFieldsTooLarge},
		"endless fields":         {"GET /plain/x" + requestHead + many(5000), smallInstance, http.StatusRequestHeaderFieldsTooLarge},
		"long and unfinished":    {"GET /plain/x" + requestHead + "X: " + strings.Repeat("a", 20<<10), memory.Limits{}, http.StatusRequestHeaderFieldsTooLarge},
		"no memory":              {"GET /plain/x" + requestHead + many(500) + "\r\n", memory.Limits{Total: 64 << 10}, http.StatusServiceUnavailable},
		"unfinished":             {"GET /plain/x" + requestHead + "X", memory.Limits{}, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startStoppableWith(t, respond, memory.New(c.memory))
				defer s.waitServed()
				defer s.end()
				s.setLimits(func(l *state.CallerLimits) { l.MaxHeaderBytes, l.HeaderTimeout = 16<<10, 3*time.Second })
				conn, began := s.sendPart(c.request), time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode != c.status || time.Since(began) > 3*time.Second {
					t.Errorf("response %v, error %v after %v; want %d within the operator's limit", resp, err, time.Since(began), c.status)
				}
				conn.Close()
				synctest.Wait()
				if used := s.Memory.Counts().Used; used != 0 {
					t.Errorf("%d bytes are held", used)
				}
			})
		})
	}
}

// Guards against requests of very many short fields that together exceed the account, and
// against one that is refused although there is memory.
func TestManyFieldsStayWithinTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wait := make(chan struct{})
		s := startStoppableWith(t, func(ctx context.Context, f *gateway.Forward) (gateway.Exchange, error) {
			<-wait
			return respond(ctx, f)
		}, memory.New(smallInstance))
		defer s.waitServed()
		defer s.end()
		s.setLimits(func(l *state.CallerLimits) { l.MaxHeaderBytes = 16 << 10 })
		request := "GET /plain/x" + requestHead + strings.Repeat("a:\r\n", 3000) + "\r\n"
		answers := make(chan int)
		const n = 200
		for range n {
			conn := s.sendPart(request)
			go func() {
				status := 0
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					status = resp.StatusCode
				}
				answers <- status
			}()
		}
		synctest.Wait()
		close(wait)
		statuses := make(map[int]int)
		for range n {
			statuses[<-answers]++
		}
		c := s.Memory.Counts()
		if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != n || c.Peak > c.Limit {
			t.Errorf("answers %v, %+v; want some served, the others refused, and the peak within the limit", statuses, c)
		}
		resp, err := http.ReadResponse(bufio.NewReader(s.sendPart(request)), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("after the others: response %v, error %v", resp, err)
		}
	})
}

// Guards against a charge for header sections below what they take.
func TestHeadersTakeWhatIsCharged(t *testing.T) {
	var distinct strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&distinct, "%x:\r\n", 0xa000+i)
	}
	for name, fields := range map[string]string{"one name": strings.Repeat("a:\r\n", 3000), "distinct names": distinct.String()} {
		head := "GET /plain/x" + requestHead + fields + "\r\n"
		var scanner headScanner
		scanner.scan([]byte(head))
		var before, after runtime.MemStats
		const requests = 20
		runtime.ReadMemStats(&before)
		for range requests {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			if err != nil {
				t.Fatal(err)
			}
			if _, err = platform.DecodeCall(r, nil); err != nil {
				t.Fatal(err)
			}
		}
		runtime.ReadMemStats(&after)
		allocated := int(after.TotalAlloc-before.TotalAlloc) / requests
		t.Logf("%s: a head of %d bytes allocates %d, is charged %d", name, len(head), allocated, scanner.memory())
		if allocated > scanner.memory() {
			t.Errorf("%s: a head of %d bytes allocates %d, is charged %d", name, len(head), allocated, scanner.memory())
		}
	}
}

// Guards against limits on header sections that cut a later request of a connection, or one
// that waits longer for its response than a header section may take.
func TestHeadLimitsEndWithTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStoppable(t, respond)
		defer s.waitServed()
		defer s.end()
		s.setLimits(func(l *state.CallerLimits) {
			l.HeaderTimeout, l.MaxBodyBytes = time.Second, 100<<10
		})
		conn := s.ln.Dial()
		defer conn.Close()
		in := bufio.NewReader(conn)
		body := strings.Repeat("\r\n", 10<<10) // as many lines as no header section may have
		for range 3 {
			head := fmt.Sprintf("POST /plain/x%sContent-Length: %d\r\n\r\n", requestHead, len(body))
			go func() {
				io.WriteString(conn, head) // an error shows in the response
				time.Sleep(4 * time.Second)
				io.WriteString(conn, body)
			}()
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response %v, error %v", resp, err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second) // idle
		}
	})
}

// Guards against a header section that is not counted because empty lines come before it, which
// net/http skips after a POST.
func TestEmptyLinesBeforeARequestDoNotEndItsHead(t *testing.T) {
	var h headScanner
	for _, part := range []string{"\r\n\r\n", "GET / HTTP/1.1\r\nA:", "b\r\n", "\r"} {
		h.scan([]byte(part))
	}
	if h.ended || h.lines != 2 {
		t.Errorf("%+v; want two lines and no end", h)
	}
	if h.scan([]byte("\nbody\n\n")); !h.ended || h.lines != 2 {
		t.Errorf("%+v; want the end after two lines", h)
	}
}
