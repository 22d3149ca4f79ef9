package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"

	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
)

const (
	// endlessRequests is the number of requests that get responses without end at a time.
	endlessRequests = 24
	// maxHeldBytes is a quarter of the memory of a small instance.
	maxHeldBytes = 64 << 20
)

// heldBytes counts the bytes that were read of responses to requests that have not ended.
type heldBytes struct {
	mu            sync.Mutex
	held, highest int
}

func (h *heldBytes) add(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held += n
	h.highest = max(h.highest, h.held)
}

// endlessReader repeats a piece without end.
type endlessReader struct {
	ctx   context.Context
	piece string
	read  func(n int)
}

func (r *endlessReader) Read(p []byte) (int, error) {
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(100 * time.Microsecond):
	}
	n := 0
	for n+len(r.piece) <= len(p) {
		n += copy(p[n:], r.piece)
	}
	r.read(n)
	return n, nil
}

// Guards against memory that grows with responses that have no end: bytes that are no
// answer, until the entry closes the connection.
func TestResponsesWithoutEndAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ path, piece string }{
		"body":                  {"/once/x", "x"},
		"event":                 {"/stream/x", "x"},
		"lines without a blank": {"/stream/x", "data: x\n"},
		"comments":              {"/stream/x", ": x\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var held heldBytes
				var group sync.WaitGroup
				account := memory.New(memory.Limits{Responses: 32 << 20})
				for n := range endlessRequests {
					read := 0
					targets := &fakeTargetClient{behaviours: []behaviour{func(ctx context.Context, _ *Forward) (Exchange, error) {
						body := &endlessReader{ctx: ctx, piece: c.piece, read: func(k int) { read += k; held.add(k) }}
						return &fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: body}, nil
					}}}
					s := newService(targets)
					s.cfg.Memory = account
					group.Go(func() {
						out := &recordingResponder{}
						s.Serve(t.Context(), &state.Call{ID: state.RequestID(fmt.Sprint(n)), Host: "h", Path: c.path, APIKey: "key"}, time.Now(), out)
						held.add(-read)
						if out.ended {
							t.Error("a response without end was passed on as complete")
						}
					})
				}
				group.Wait()
				if held.highest > maxHeldBytes {
					t.Errorf("%d MiB were held at a time for %d requests, want at most %d", held.highest>>20, endlessRequests, maxHeldBytes>>20)
				}
			})
		})
	}
}
