package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// receivedBytes holds what a target has received, over all connections.
type receivedBytes struct {
	mu  sync.Mutex
	all []byte
}

func (r *receivedBytes) has(id state.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Contains(r.all, []byte(id))
}

// Write implements io.Writer.
func (r *receivedBytes) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, p...)
	return len(p), nil
}

// Requests are cancelled at random times while they connect and write, and the target closes
// or resets connections, new and kept ones, at random times. Guards against a request that is
// reported as not sent although the target received a part of it.
func TestNotSentMeansThatNothingWasReceived(t *testing.T) {
	random := rand.New(rand.NewPCG(43, 2))
	var delays sync.Mutex
	delay := func() time.Duration {
		delays.Lock()
		defer delays.Unlock()
		return time.Duration(random.IntN(200)) * time.Microsecond
	}
	received := &receivedBytes{}
	var open atomic.Int64 // connections
	address, _ := startTarget(t, func(c net.Conn, _ *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		requests := bufio.NewReader(io.TeeReader(c, received))
		if d := delay(); d < 20*time.Microsecond {
			c.(*net.TCPConn).SetLinger(0)
			return // more connections than the target accepts
		}
		for discardRequest(requests) {
			if _, err := io.WriteString(c, response("x", "ok")); err != nil {
				return // the request was cancelled
			}
			if d := delay(); d < 100*time.Microsecond {
				time.Sleep(delay())
				c.(*net.TCPConn).SetLinger(int(d / time.Microsecond % 2 * 10)) // 0 resets it
				return
			}
		}
	})
	client := New()
	var notSent []state.RequestID
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range 8 {
		wg.Go(func() {
			for range 250 {
				id := state.RequestID(uuid.NewString())
				ctx, cancel := context.WithCancel(t.Context())
				timer := time.AfterFunc(delay(), cancel)
				ex, err := begin(ctx, client, state.TargetRecord{ID: "t", Address: address}, id, nil)
				if errors.Is(err, gateway.ErrNotSent) {
					mu.Lock()
					notSent = append(notSent, id)
					mu.Unlock()
				}
				if err == nil {
					_, err := ex.Head()
					if err == nil {
						_, err = io.Copy(io.Discard, ex)
					}
					ex.Close(err == nil)
				}
				timer.Stop()
				cancel()
			}
		})
	}
	wg.Wait()
	client.CloseIdle(address)
	time.Sleep(20 * time.Millisecond) // let the target accept what was connected last
	for open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	for _, id := range notSent {
		if received.has(id) {
			t.Errorf("request %s was received although it is reported as not sent", id)
		}
	}
	t.Logf("%d of 2000 requests are reported as not sent", len(notSent))
}
