package logging

import (
	"expvar"
	"io"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines limits the lines that wait for a slow reader of the log.
	maxQueuedLines = 4096
	// requestLinesPerSecond limits the lines about individual requests. It allows
	// three lines for each of 250 requests per second.
	requestLinesPerSecond = 750
	requestLinesBurst     = 2 * requestLinesPerSecond
)

// droppedLines counts the lines that were not written, because the queue was full,
// the rate was exceeded or the write failed. A failed write of several lines counts
// as one.
var droppedLines = expvar.NewInt("log_lines_dropped")

// asyncWriter writes lines in the background, so that a slow reader of the log never
// delays a request. Lines that arrive when the queue is full are dropped and
// counted.
type asyncWriter struct {
	lines     chan []byte
	done      chan struct{} // closed when all lines are written
	closeOnce sync.Once
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			// Combines waiting lines, up to about 32 KiB, into one write.
			for len(a.lines) > 0 && len(line) < 32<<10 {
				line = append(line, <-a.lines...)
			}
			if _, err := w.Write(line); err != nil {
				droppedLines.Add(1)
			}
		}
	}()
	return a
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (a *asyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		droppedLines.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (a *asyncWriter) Sync() error { return nil }

// rateLimitedWriter drops and counts the lines that exceed the rate of its limiter.
type rateLimitedWriter struct {
	zapcore.WriteSyncer
	limiter *rate.Limiter
}

// Write implements zapcore.WriteSyncer.
func (w rateLimitedWriter) Write(p []byte) (int, error) {
	if !w.limiter.Allow() {
		droppedLines.Add(1)
		return len(p), nil
	}
	return w.WriteSyncer.Write(p)
}

// Loggers is a pair of loggers that never block their callers.
type Loggers struct {
	// Process logs events of the process and its dependencies.
	Process *zap.Logger
	// Requests logs decisions about individual requests. Its rate is limited.
	Requests *zap.Logger
	writer   *asyncWriter
}

// NewLoggers returns loggers that write events of level and above to w.
func NewLoggers(w io.Writer, level string) (*Loggers, error) {
	async := newAsyncWriter(w)
	process, err := New(async, level)
	if err != nil {
		return nil, err
	}
	requests, err := New(rateLimitedWriter{async, rate.NewLimiter(requestLinesPerSecond, requestLinesBurst)}, level)
	if err != nil {
		return nil, err
	}
	return &Loggers{Process: process, Requests: requests, writer: async}, nil
}

// Close writes the queued lines and stops the writer. The loggers must not be used
// afterwards.
func (l *Loggers) Close() {
	l.writer.closeOnce.Do(func() { close(l.writer.lines) })
	<-l.writer.done
}
