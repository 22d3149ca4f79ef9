package gatewayhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

// pipeListener is a listener of connections in memory.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	callers, servers := net.Pipe()
	l.accepted <- servers
	return callers
}

// Guards against a request that is read before or long after SIGTERM, waits for a target or
// for the response of one, and is given up without an answer when the stop ends. A request
// that was not sent must be refused, any other one must be answered.
func TestPlannedStopAnswersRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Log: zap.NewNop(), Gateway: newGateway(func(ctx context.Context, _ *gateway.Forward) (gateway.Exchange, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})}
		ln := newPipeListener()
		ctx, end := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- netconn.Serve(ctx, s.newHTTPServer(), ln) }()
		var callers sync.WaitGroup
		var mu sync.Mutex
		statuses := make(map[int]int)
		send := func(n int) {
			for range n {
				c := ln.dial()
				callers.Go(func() {
					defer c.Close()
					resp, _, err := roundTrip(t, c, bufio.NewReader(c), "GET /plain/x"+requestHead+"\r\n")
					if err != nil {
						t.Errorf("no answer: %v", err)
						return
					}
					mu.Lock()
					defer mu.Unlock()
					statuses[resp.StatusCode]++
				})
			}
		}
		const requests = 12 // more than the slots of the target
		send(requests)
		synctest.Wait()
		stopCtx, cancel := context.WithTimeout(t.Context(), idleCloseDelay+time.Second)
		defer cancel()
		go func() {
			s.Stop(stopCtx)
			end()
		}()
		time.Sleep(idleCloseDelay + 50*time.Millisecond)
		send(requests)
		callers.Wait()
		if statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusServiceUnavailable]+statuses[http.StatusBadGateway] != 2*requests {
			t.Errorf("responses by status: %v; want %d, 503 and 502 only", statuses, 2*requests)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}
