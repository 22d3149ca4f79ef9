package gateway

import (
	"errors"

	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
)

// freeResponseBytes is what each response may hold without taking from the account.
const freeResponseBytes = 64 << 10

// errNoMemory means that the responses that the entry holds take all the memory that they
// may.
var errNoMemory = errors.New("no memory left for responses")

// heldResponse is the part of the account that one response holds.
type heldResponse struct{ reservation *memory.Reservation }

// hold takes what is needed to hold n bytes of the response in all.
func (h *heldResponse) hold(n int) error {
	if n > freeResponseBytes && !h.reservation.Grow(n-freeResponseBytes) {
		return errNoMemory
	}
	return nil
}

// release gives all back.
func (h *heldResponse) release() { h.reservation.Release() }

func (r *request) newHeldResponse() *heldResponse {
	return &heldResponse{r.service.cfg.Memory.Open(memory.Response, nil)}
}

// holdResponse returns the part of the memory for a response that is held until the end of
// the request. It is called while attempts run.
func (r *request) holdResponse() *heldResponse {
	h := r.newHeldResponse()
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
