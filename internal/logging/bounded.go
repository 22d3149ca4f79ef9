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
	// maxQueuedLines is the number of lines that wait for a slow reader of the log.
	maxQueuedLines = 4096
	// requestLinesPerSecond bounds the lines about single requests. It allows
	// three lines for each of 250 requests a second.
	requestLinesPerSecond = 750
	requestLinesBurst     = 2 * requestLinesPerSecond
)

// droppedLines counts the lines that were not written.
var droppedLines = expvar.NewInt("log_lines_dropped")

// asyncWriter writes lines in the background, so that a slow reader of the log never
// holds up a request. Lines that find it full are dropped and counted.
type asyncWriter struct {
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	q := &asyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			// Lines that are waiting are written with one call.
			for len(q.lines) > 0 && len(line) < 32<<10 {
				line = append(line, <-q.lines...)
			}
			if _, err := w.Write(line); err != nil {
				droppedLines.Add(1)
			}
		}
	}()
	return q
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (q *asyncWriter) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		droppedLines.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *asyncWriter) Sync() error { return nil }

// rateLimitedWriter drops lines beyond a rate.
type rateLimitedWriter struct {
	zapcore.WriteSyncer
	limiter *rate.Limiter
}

// Write implements zapcore.WriteSyncer.
func (l rateLimitedWriter) Write(p []byte) (int, error) {
	if !l.limiter.Allow() {
		droppedLines.Add(1)
		return len(p), nil
	}
	return l.WriteSyncer.Write(p)
}

// Loggers is a pair of loggers that never block. Close writes what is queued.
type Loggers struct {
	// Process logs events of the process and its dependencies.
	Process *zap.Logger
	// Requests logs decisions about single requests, up to a rate.
	Requests *zap.Logger
	writer   *asyncWriter
}

// NewLoggers returns loggers that write to w from level on.
func NewLoggers(w io.Writer, level string) (*Loggers, error) {
	q := newAsyncWriter(w)
	process, err := New(q, level)
	if err != nil {
		return nil, err
	}
	requests, err := New(rateLimitedWriter{q, rate.NewLimiter(requestLinesPerSecond, requestLinesBurst)}, level)
	if err != nil {
		return nil, err
	}
	return &Loggers{Process: process, Requests: requests, writer: q}, nil
}

// Close writes the queued lines. Nothing may be logged afterwards.
func (b *Loggers) Close() {
	b.writer.closeOnce.Do(func() { close(b.writer.lines) })
	<-b.writer.done
}
