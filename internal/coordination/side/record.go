package side

import (
	"sync"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// record holds the events of one attempt. The control goroutine writes it;
// streams read it at their own pace.
type record struct {
	mu      sync.Mutex
	stage   state.AttemptEvent // the latest *state.Queued or *state.Started
	stages  uint64             // counts changes of stage
	head    *state.Head
	chunks  [][]byte
	bytes   int
	end     state.AttemptEvent // *state.Done, *state.Refused or *state.Failed
	readers map[*Attempt]struct{}
}

// cursor is a stream's place in a record.
type cursor struct {
	stages uint64
	headed bool
	chunk  uint64
}

func newRecord() *record { return &record{readers: make(map[*Attempt]struct{})} }

func (r *record) setStage(e state.AttemptEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage = e
	r.stages++
	r.wake()
}

func (r *record) setHead(h *state.Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = h
	r.wake()
}

// append adds the chunk when its offset is the next one and reports whether it
// was.
func (r *record) append(c *state.Chunk) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Offset != uint64(len(r.chunks)) {
		return false
	}
	r.chunks = append(r.chunks, c.Data)
	r.bytes += len(c.Data)
	r.wake()
	return true
}

func (r *record) setEnd(e state.AttemptEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = e
	r.wake()
}

// size returns the number of chunks and their bytes.
func (r *record) size() (chunks uint64, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint64(len(r.chunks)), r.bytes
}

// join registers a reader. The stage is skipped when skipStage is set, because
// the reader was told it already.
func (r *record) join(a *Attempt, offset uint64, skipStage bool) cursor {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers[a] = struct{}{}
	c := cursor{chunk: offset}
	if skipStage {
		c.stages = r.stages
	}
	return c
}

func (r *record) leave(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, a)
}

func (r *record) read() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.readers) > 0
}

// wake tells the readers that there is something new. r.mu is held.
func (r *record) wake() {
	for a := range r.readers {
		a.notify()
	}
}

// next returns the next event after c and advances c, or nil.
func (r *record) next(c *cursor) state.AttemptEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stages > c.stages {
		c.stages = r.stages
		return r.stage
	}
	if r.head != nil && !c.headed {
		c.headed = true
		return r.head
	}
	if c.chunk < uint64(len(r.chunks)) {
		e := &state.Chunk{Offset: c.chunk, Data: r.chunks[c.chunk]}
		c.chunk++
		return e
	}
	return r.end
}
