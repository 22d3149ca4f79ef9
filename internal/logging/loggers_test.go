package logging

import (
	"bytes"
	"strings"
	"testing"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against log calls that block because nothing reads the log.
func TestLoggersNeverBlock(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	loggers, err := NewLoggers(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	before := droppedLines.Value()
	for range 2*maxQueuedLines + requestLinesBurst {
		loggers.Process.Info("line")
		loggers.Requests.Info("line")
	}
	if droppedLines.Value() == before {
		t.Error("no line was dropped although the writer was blocked")
	}
	close(w.release)
	loggers.Close()
}

// Guards against an unlimited number of lines about requests, and against losing
// lines about the process because of them.
func TestRequestLinesAreLimited(t *testing.T) {
	var out bytes.Buffer
	loggers, err := NewLoggers(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 * requestLinesBurst {
		loggers.Requests.Info("request")
	}
	loggers.Process.Info("process stopped")
	loggers.Close()
	if n := strings.Count(out.String(), "msg=request"); n < requestLinesBurst || n >= 2*requestLinesBurst {
		t.Errorf("%d lines about requests, want at least %d and less than twice that", n, requestLinesBurst)
	}
	if !strings.Contains(out.String(), "process stopped") {
		t.Error("the line about the process is missing")
	}
}
