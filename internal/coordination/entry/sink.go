package entry

import (
	"fmt"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Sink receives the response to one request. Its methods are called by one
// goroutine. An error of Head or Chunk means that the caller is gone.
type Sink interface {
	// Head receives the status and headers of a plain service's response, at
	// most once and before any chunk.
	Head(h *state.Head) error
	// Chunk receives the chunks with offsets 0, 1, 2 and so on.
	Chunk(c *state.Chunk) error
	// Restart discards what the sink has received, so that another attempt can
	// deliver the response from its start. It returns false, and discards nothing,
	// when a part has already been passed on to the caller.
	Restart() bool
}

// chunkResult says what forwardChunk did with a chunk.
type chunkResult uint8

const (
	chunkForwarded chunkResult = iota
	chunkDuplicate             // dropped: a chunk with this offset was passed on before
	chunkGap                   // not passed on: an earlier chunk is missing
)

// delivery passes one response on to a sink, in order and without repetition, while
// its chunks arrive on several streams of an attempt, which may overlap.
type delivery struct {
	sink            Sink
	nextOffset      uint64 // offset of the next chunk to pass on
	forwardedChunks uint64 // counted apart from nextOffset, for the assertion in forwardChunk
	headForwarded   bool   // the status and headers were passed on
	sinkErr         error  // the sink's first error: the caller is gone, and nothing more is passed on
}

// hasOutput reports whether the sink has received a part of the response.
func (d *delivery) hasOutput() bool { return d.headForwarded || d.nextOffset > 0 }

// forwardHead passes the status and headers on unless an earlier stream delivered
// them.
func (d *delivery) forwardHead(h *state.Head) {
	if d.headForwarded {
		return
	}
	d.headForwarded = true
	if d.sinkErr == nil {
		d.sinkErr = d.sink.Head(h)
	}
}

// forwardChunk passes c on if it is the next chunk of the response.
func (d *delivery) forwardChunk(c *state.Chunk) chunkResult {
	if c.Offset < d.nextOffset {
		return chunkDuplicate
	}
	if c.Offset > d.nextOffset {
		return chunkGap
	}
	state.Assert(c.Offset == d.forwardedChunks, state.WholeAnswer, fmt.Sprintf("chunk %d passed on after %d chunks", c.Offset, d.forwardedChunks))
	d.nextOffset++
	d.forwardedChunks++
	if d.sinkErr == nil {
		d.sinkErr = d.sink.Chunk(c)
	}
	return chunkForwarded
}

// restart prepares for the response of another attempt. It returns false when the
// caller already has a part of the response.
func (d *delivery) restart() bool {
	if !d.hasOutput() {
		return true
	}
	if d.sinkErr == nil && !d.sink.Restart() {
		return false
	}
	d.nextOffset, d.forwardedChunks, d.headForwarded = 0, 0, false
	return true
}
