package gateway

import (
	"errors"
	"sync"
)

// freeResponseBytes is what each response may hold without taking from the ResponseMemory.
const freeResponseBytes = 64 << 10

// errNoMemory means that the responses that the entry holds take all the memory that they
// may.
var errNoMemory = errors.New("no memory left for responses")

// ResponseMemory bounds the bytes of responses that an entry holds at a time, so that
// responses without end cannot exhaust it. It is safe for concurrent use.
type ResponseMemory struct {
	mu   sync.Mutex
	free int
}

// NewResponseMemory returns a memory of the given number of bytes.
func NewResponseMemory(bytes int) *ResponseMemory { return &ResponseMemory{free: bytes} }

// take takes n bytes, or returns false if there are fewer left.
func (m *ResponseMemory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

func (m *ResponseMemory) give(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}

// heldResponse is the part of the memory that one response holds.
type heldResponse struct {
	memory *ResponseMemory
	taken  int
}

// hold takes what is needed to hold n bytes of the response in all.
func (h *heldResponse) hold(n int) error {
	more := n - freeResponseBytes - h.taken
	if more <= 0 {
		return nil
	}
	if !h.memory.take(more) {
		return errNoMemory
	}
	h.taken += more
	return nil
}

// release gives all back.
func (h *heldResponse) release() {
	if h.taken > 0 {
		h.memory.give(h.taken)
		h.taken = 0
	}
}

// holdResponse returns the part of the memory for a response that is held until the end of
// the request. It is called while attempts run.
func (r *request) holdResponse() *heldResponse {
	h := &heldResponse{memory: r.service.cfg.ResponseMemory}
	r.race.mu.Lock()
	defer r.race.mu.Unlock()
	r.held = append(r.held, h)
	return h
}

func (r *request) releaseHeld() {
	for _, h := range r.held {
		h.release()
	}
}
