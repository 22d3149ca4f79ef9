package front

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
)

// errIncomplete ends the body of a response that cannot be completed. The
// server then closes the connection without the last HTTP chunk, so that no
// reader takes the body for whole.
var errIncomplete = errors.New("response incomplete")

// mode is the state of a response body.
type mode uint8

const (
	modeHeld     mode = iota // nothing is sent; the status can still change
	modeStreamed             // the status is sent
	modeEnded                // the result is known before anything was sent
)

// body is the body of a response. The request's goroutine writes to it; the
// HTTP handler waits until it must be streamed or the result is known.
type body struct {
	limit int // bytes held back at most

	mu        sync.Mutex
	mode      mode
	held      []byte
	wrote     time.Time
	want      bool          // ready is closed
	ready     chan struct{} // closed when the body must be streamed
	committed chan struct{} // closed when the body is streamed or ended
	result    chan entry.Result

	reader *io.PipeReader
	writer *io.PipeWriter
}

func newBody(limit int) *body {
	b := &body{limit: limit, ready: make(chan struct{}), committed: make(chan struct{}), result: make(chan entry.Result, 1)}
	b.reader, b.writer = io.Pipe()
	return b
}

// Write appends p. It blocks while the caller does not read, and fails when the
// caller is gone.
func (b *body) Write(p []byte) (int, error) {
	b.mu.Lock()
	if b.mode == modeHeld {
		b.held = append(b.held, p...)
		full := len(b.held) > b.limit
		if full && !b.want {
			b.want = true
			close(b.ready)
		}
		b.mu.Unlock()
		if full {
			<-b.committed
		}
		return len(p), nil
	}
	b.wrote = time.Now()
	b.mu.Unlock()
	return b.writer.Write(p)
}

// restart discards what was written. It returns false when the status is sent.
func (b *body) restart() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mode != modeHeld || b.want {
		return false
	}
	b.held = nil
	return true
}

// stream turns the body into a stream and returns what was held. It returns
// false when the result is known, which is then received from result.
func (b *body) stream() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mode == modeEnded {
		return nil, false
	}
	b.mode = modeStreamed
	b.wrote = time.Now()
	close(b.committed)
	return b.held, true
}

// end hands the result to the handler. It returns false when the body is
// streamed, which the caller then ends itself.
func (b *body) end(r entry.Result) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mode == modeStreamed {
		return false
	}
	b.mode = modeEnded
	close(b.committed)
	b.result <- r
	return true
}

// idle reports whether nothing was written for d.
func (b *body) idle(d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.wrote) >= d
}

// abort makes writes fail.
func (b *body) abort(err error) { b.reader.CloseWithError(err) }

// streamReader is the body given to the server: the held part, then the rest.
type streamReader struct {
	io.Reader
	pipe *io.PipeReader
}

// Close tells the writer that the server reads no further.
func (s *streamReader) Close() error { return s.pipe.Close() }
