package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// runs counts the runs of each request at all targets.
type runs struct {
	mu     sync.Mutex
	random *rand.Rand
	byID   map[string]int
	open   atomic.Int64 // connections to targets
}

func (r *runs) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *runs) record(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id]++
}

func (r *runs) of(id state.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[string(id)]
}

// serveFaulty serves a connection as a target does that mostly works. It keeps the protocol,
// but its connections break at any time, and responses come twice, late, or without a request.
func (r *runs) serveFaulty(c net.Conn, requests *bufio.Reader) {
	r.open.Add(1)
	defer r.open.Add(-1)
	write := func(text string) { io.WriteString(c, text) } // an error shows at the next read
	reset := func() { c.(*net.TCPConn).SetLinger(0) }
	if r.draw(50) == 0 {
		reset() // more connections than the target accepts
		return
	}
	late := ""
	for {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		rejection := func(named bool) string {
			text := []string{"503 Service Unavailable\r\nNot-Executed: 1", "421 Misdirected Request"}[r.draw(2)] + "\r\n"
			if named {
				text += "Request-Id: " + id + "\r\n"
			}
			return "HTTP/1.1 " + text + "Content-Length: 0\r\n\r\n"
		}
		if r.draw(30) == 0 { // before the body is read
			write(rejection(true))
			if r.draw(2) == 0 {
				reset()
			}
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		write(late)
		late = ""
		if r.draw(60) == 0 {
			write(rejection(false)) // of nobody; it was sent before the request came
		}
		fault := r.draw(60)
		if fault == 0 {
			late = rejection(true)
			write(late)
			continue
		}
		r.record(id)
		time.Sleep(time.Duration(r.draw(2000)) * time.Microsecond)
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nid: 1\n\n\n\n", id)
		switch fault {
		case 1:
			return
		case 2:
			reset()
			return
		case 3:
			write(own[:len(own)-4])
			return
		case 4:
			write(strings.Replace(own, "200 OK", "503 Service Unavailable", 1)) // of the service itself
		case 5:
			time.Sleep(60 * time.Millisecond) // longer than some requests have
		case 6:
			late = own
			fallthrough
		default:
			write(own)
		}
		if r.draw(20) == 0 {
			time.Sleep(time.Duration(r.draw(400)) * time.Microsecond)
			write(rejection(false)) // on the idle connection, which is closed
			return
		}
	}
}

type noObserver struct{}

func (noObserver) TargetEjected(state.TargetID, state.Service, dispatch.Outcome, time.Duration) {}
func (noObserver) TargetReturned(state.TargetID, state.Service)                                 {}
func (noObserver) RateLimitChanged(*ratelimit.Change)                                           {}
func (noObserver) TargetLeaving(state.TargetID, state.Service)                                  {}
func (noObserver) TargetPaused(state.TargetID, state.Service, time.Duration)                    {}

// newGateway returns a gateway whose requests go to the targets at the addresses by client.
func newGateway(client *Client, addresses []string) *gateway.Service {
	return newAskingGateway(client, addresses, nil)
}

// newAskingGateway returns a gateway as newGateway does, which asks other entries for the ends of targets
// by ask.
func newAskingGateway(client *Client, addresses []string, ask func(context.Context, state.TargetID, string) ([]targetend.Report, error)) *gateway.Service {
	scheduler := dispatch.New("a", 1, time.Now, noObserver{}, ratelimit.New(ratelimit.Config{Self: "self"}))
	var records []state.TargetRecord
	for _, address := range addresses {
		records = append(records, state.TargetRecord{ID: state.TargetID(address), Service: "s", Address: address, Slots: 8})
	}
	scheduler.SetTargets(records)
	origins := origin.New(time.Now(), true)
	origins.SetTargets(time.Now(), records)
	g := gateway.New(gateway.Config{
		Scheduler: scheduler, TargetClient: client, Quota: quota.New(quota.Config{Tolerance: quota.Tolerance{Window: time.Second}}), Refusals: refusal.NewLog(),
		Quarantine: quarantine.New(quarantine.Config{Self: "self", Others: func(time.Time) []state.InstanceID { return nil }}), Origins: origins, AskTargetEnd: ask, RetryRatio: 1, RetryWindow: time.Second, RetrySlack: func() float64 { return 100 },
		Memory: memory.New(memory.Limits{Responses: 64 << 20}), Log: zap.NewNop(), Counters: gateway.NewCounters(false),
	})
	g.SetConfiguration(&state.Configuration{Version: 1, Routes: []state.Route{
		runsRoute("once", state.NonIdempotentRoute, false), runsRoute("stream", state.StreamingRoute, false),
		runsRoute("plain", state.IdempotentRoute, false), runsRoute("resume", state.StreamingRoute, true),
	}})
	return g
}

func runsRoute(name string, kind state.RouteKind, resumable bool) state.Route {
	return state.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, Timeout: 2 * time.Second, Objective: 50 * time.Millisecond,
		MaxAttempts: 3, Split: []state.ServiceWeight{{Service: "s", Weight: 1}},
	}
}

// outcome records what the caller of a request is told.
type outcome struct {
	status int
	kind   gateway.FailureKind
}

func (o *outcome) Respond(r *state.Response, _ []byte) error { o.status = r.Status; return nil }
func (o *outcome) BeginStream(r *state.Response) error       { o.status = r.Status; return nil }
func (o *outcome) WriteEvent([]byte) error                   { return nil }
func (o *outcome) EndStream() error                          { return nil }
func (o *outcome) Abort()                                    {}
func (o *outcome) Fail(f gateway.Failure) error              { o.kind = f.Kind; return nil }

// refused reports whether the caller is told that the request did not run and never will.
func (o *outcome) refused() bool {
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return o.kind == gateway.NotRun || o.kind == gateway.OverAllowance
}

// Requests go through the gateway to targets whose connections break and whose responses come
// twice, late, or without a request; some callers leave, some requests have little time, and
// the gateway ends the last ones. Guards against a request that may run once and runs twice,
// and against one that is refused as not run but runs, on sockets of the real kernel.
func TestRunsAreAsCallersAreTold(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &runs{random: rand.New(rand.NewPCG(43, seed)), byID: make(map[string]int)}
			var addresses []string
			for range 16 {
				address, _ := startTarget(t, r.serveFaulty)
				addresses = append(addresses, address)
			}
			client := New()
			g := newGateway(client, addresses)
			var mu sync.Mutex
			outcomes := make(map[state.RequestID]*outcome)
			onlyOnce := make(map[state.RequestID]bool)
			var callers sync.WaitGroup
			for caller := range 8 {
				callers.Go(func() {
					for n := range 200 {
						route := []string{"once", "stream", "plain", "resume"}[r.draw(4)]
						call := &state.Call{ID: state.RequestID(fmt.Sprintf("%s-%d-%d", route, caller, n)), Method: "POST", URI: "/" + route + "/x", Host: "h", Path: "/" + route + "/x"}
						call.Header = []state.HeaderField{{Name: "Request-Id", Value: string(call.ID)}}
						if r.draw(4) == 0 {
							call.Body = longBody[:r.draw(256<<10)]
						}
						if r.draw(4) == 0 {
							call.HasTimeout, call.Timeout = true, time.Duration(r.draw(20000))*time.Microsecond
						}
						ctx, cancel := context.WithCancel(t.Context())
						if r.draw(8) == 0 {
							time.AfterFunc(time.Duration(r.draw(2000))*time.Microsecond, cancel)
						}
						out := &outcome{}
						g.Serve(ctx, call, time.Now(), out)
						cancel()
						mu.Lock()
						outcomes[call.ID], onlyOnce[call.ID] = out, route == "once" || route == "stream"
						last := len(outcomes) == 1550
						mu.Unlock()
						if last {
							g.EndRequests()
						}
					}
				})
			}
			callers.Wait()
			time.Sleep(20 * time.Millisecond) // let the targets accept what was connected last
			for r.open.Load() > 0 {
				for _, address := range addresses {
					client.CloseIdle(address)
				}
				time.Sleep(time.Millisecond)
			}
			refused, repeated := 0, 0
			for id, out := range outcomes {
				n := r.of(id)
				if n > 1 {
					repeated++
				}
				if n > 1 && onlyOnce[id] {
					t.Errorf("%s ran %d times: %+v", id, n, *out)
				}
				if out.refused() {
					refused++
				}
				if out.refused() && n > 0 {
					t.Errorf("%s is refused but ran: %+v", id, *out)
				}
			}
			t.Logf("%d requests: %d refused, %d ran more than once", len(outcomes), refused, repeated)
		})
	}
}
