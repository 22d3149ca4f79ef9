package entryhttp

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
)

// errIncomplete ends the body of a response that cannot be completed. fasthttp
// then closes the connection without the last HTTP chunk, so that the caller does
// not take the body for complete.
var errIncomplete = errors.New("response incomplete")

// bodyMode says what happens to data that is written to a responseBody.
type bodyMode uint8

const (
	modeBuffered  bodyMode = iota // buffered; nothing was sent and the status can still change
	modeStreaming                 // sent to the caller; the status cannot change any more
	modeEnded                     // the request ended before anything was sent
)

// responseBody is the body of a response. The goroutine that runs the request
// writes to it. The HTTP handler waits until the body must be streamed or the
// request has ended, and calls startStreaming in the first case.
type responseBody struct {
	bufferLimit int // bytes; above this the body must be streamed

	mu         sync.Mutex
	mode       bodyMode
	buffered   []byte
	lastWrite  time.Time
	overflowed bool          // overflow is closed
	overflow   chan struct{} // closed when the data exceed bufferLimit
	committed  chan struct{} // closed when mode is no longer modeBuffered
	result     chan entry.Result

	reader *io.PipeReader
	writer *io.PipeWriter
}

func newResponseBody(limit int) *responseBody {
	b := &responseBody{bufferLimit: limit, overflow: make(chan struct{}), committed: make(chan struct{}), result: make(chan entry.Result, 1)}
	b.reader, b.writer = io.Pipe()
	return b
}

// Write appends p. When the buffered data exceed bufferLimit, it blocks until the
// handler streams the body. A write to the stream blocks while the caller does not
// read, and fails when the caller is gone.
func (b *responseBody) Write(p []byte) (int, error) {
	b.mu.Lock()
	if b.mode == modeBuffered {
		b.buffered = append(b.buffered, p...)
		full := len(b.buffered) > b.bufferLimit
		if full && !b.overflowed {
			b.overflowed = true
			close(b.overflow)
		}
		b.mu.Unlock()
		if full {
			<-b.committed
		}
		return len(p), nil
	}
	b.lastWrite = time.Now()
	b.mu.Unlock()
	return b.writer.Write(p)
}

// discardBuffered discards what was written. It returns false when the body is
// streamed or must be, or when the request has ended.
func (b *responseBody) discardBuffered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mode != modeBuffered || b.overflowed {
		return false
	}
	b.buffered = nil
	return true
}

// startStreaming makes further writes go to the caller and returns what was
// buffered. It returns false when the request has ended before; the result is then
// received from result.
func (b *responseBody) startStreaming() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mode == modeEnded {
		return nil, false
	}
	b.mode = modeStreaming
	b.lastWrite = time.Now()
	close(b.committed)
	return b.buffered, true
}

// deliverResult passes the result to the handler. It returns false when the body is
// streamed; the sink must then end the stream.
func (b *responseBody) deliverResult(r entry.Result) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mode == modeStreaming {
		return false
	}
	b.mode = modeEnded
	close(b.committed)
	b.result <- r
	return true
}

// idleFor reports whether nothing was written to the stream for d.
func (b *responseBody) idleFor(d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.lastWrite) >= d
}

// failWrites makes writes to the stream fail with err.
func (b *responseBody) failWrites(err error) { b.reader.CloseWithError(err) }

// streamReader is the body that fasthttp sends: the buffered data, then the stream.
type streamReader struct {
	io.Reader
	pipe *io.PipeReader
}

// Close makes writes to the stream fail, since nothing reads it any more.
func (s *streamReader) Close() error { return s.pipe.Close() }
