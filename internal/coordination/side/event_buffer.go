package side

import (
	"sync"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// eventBuffer holds the events of one attempt. The control goroutine writes it;
// each stream reads it at its own pace.
type eventBuffer struct {
	mu           sync.Mutex
	stage        state.AttemptEvent // the latest *state.Queued or *state.Started
	stageChanges uint64             // number of calls of setStage
	head         *state.Head
	chunks       [][]byte
	bytes        int
	end          state.AttemptEvent // *state.Done, *state.Refused or *state.Failed
	readers      map[*AttemptStream]struct{}
}

// cursor is the position of a stream in an eventBuffer.
type cursor struct {
	stageChanges uint64
	headRead     bool
	nextChunk    uint64
}

func newEventBuffer() *eventBuffer { return &eventBuffer{readers: make(map[*AttemptStream]struct{})} }

func (b *eventBuffer) setStage(e state.AttemptEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stage = e
	b.stageChanges++
	b.wakeReaders()
}

func (b *eventBuffer) setHead(h *state.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = h
	b.wakeReaders()
}

// append adds the chunk if its offset is the next one and reports whether it
// was.
func (b *eventBuffer) append(c *state.Chunk) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Offset != uint64(len(b.chunks)) {
		return false
	}
	b.chunks = append(b.chunks, c.Data)
	b.bytes += len(c.Data)
	b.wakeReaders()
	return true
}

func (b *eventBuffer) setEnd(e state.AttemptEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = e
	b.wakeReaders()
}

// size returns the number of chunks and their total size.
func (b *eventBuffer) size() (chunks uint64, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(len(b.chunks)), b.bytes
}

// addReader registers stream as a reader and returns its cursor, which starts at
// chunk offset. With skipStage the cursor starts after the current stage,
// because the reader has been told it already.
func (b *eventBuffer) addReader(stream *AttemptStream, offset uint64, skipStage bool) cursor {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers[stream] = struct{}{}
	c := cursor{nextChunk: offset}
	if skipStage {
		c.stageChanges = b.stageChanges
	}
	return c
}

func (b *eventBuffer) removeReader(stream *AttemptStream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, stream)
}

func (b *eventBuffer) hasReaders() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers) > 0
}

// wakeReaders notifies the readers of a new event. The caller holds b.mu.
func (b *eventBuffer) wakeReaders() {
	for stream := range b.readers {
		stream.notify()
	}
}

// next returns the next event for the cursor c and advances it. It returns nil
// when there is none yet. Of the stages set since the last call only the latest
// is returned.
func (b *eventBuffer) next(c *cursor) state.AttemptEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stageChanges > c.stageChanges {
		c.stageChanges = b.stageChanges
		return b.stage
	}
	if b.head != nil && !c.headRead {
		c.headRead = true
		return b.head
	}
	if c.nextChunk < uint64(len(b.chunks)) {
		e := &state.Chunk{Offset: c.nextChunk, Data: b.chunks[c.nextChunk]}
		c.nextChunk++
		return e
	}
	return b.end
}
