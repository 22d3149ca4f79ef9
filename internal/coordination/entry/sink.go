package entry

import (
	"fmt"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Sink receives one response. Its methods are called by one goroutine. An error
// tells that the caller is gone.
type Sink interface {
	// Head receives the status and headers of a plain service's response, at
	// most once and before any chunk.
	Head(h *state.Head) error
	// Chunk receives the chunks with offsets 0, 1, 2 and so on.
	Chunk(c *state.Chunk) error
	// Restart discards what was received, so that the response can come from
	// another attempt. It returns false when a part has already been passed on to
	// the caller; the sink then keeps what it has.
	Restart() bool
}

// arrival says what became of a chunk.
type arrival uint8

const (
	arrivalPassed arrival = iota
	arrivalRepeat         // offset already passed on
	arrivalGap            // an earlier offset is missing
)

// delivery puts the chunks of successive streams of one response in order.
type delivery struct {
	sink   Sink
	next   uint64 // offset of the next chunk to pass on
	passed uint64 // chunks passed on, counted apart from next for the assertion
	head   bool   // the head was passed on
	err    error  // from the sink: the caller is gone
}

// begun reports whether the sink holds a part of the response.
func (d *delivery) begun() bool { return d.head || d.next > 0 }

// setHead passes the head on unless an earlier stream already had it.
func (d *delivery) setHead(h *state.Head) {
	if d.head {
		return
	}
	d.head = true
	if d.err == nil {
		d.err = d.sink.Head(h)
	}
}

// add passes a chunk on when it is the next one.
func (d *delivery) add(c *state.Chunk) arrival {
	if c.Offset < d.next {
		return arrivalRepeat
	}
	if c.Offset > d.next {
		return arrivalGap
	}
	state.Assert(c.Offset == d.passed, state.WholeAnswer, fmt.Sprintf("chunk %d passed on after %d chunks", c.Offset, d.passed))
	d.next++
	d.passed++
	if d.err == nil {
		d.err = d.sink.Chunk(c)
	}
	return arrivalPassed
}

// restart prepares for another attempt. It returns false when the caller
// already has a part of the response.
func (d *delivery) restart() bool {
	if !d.begun() {
		return true
	}
	if d.err == nil && !d.sink.Restart() {
		return false
	}
	d.next, d.passed, d.head = 0, 0, false
	return true
}
