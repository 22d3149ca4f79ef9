package logging

import (
	"bytes"
	"strings"
	"testing"
)

// blockedWriter never returns from a write until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that wait for a reader of the log.
func TestLogNeverBlocks(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	b, err := NewLoggers(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	before := droppedLines.Value()
	for range 2*maxQueuedLines + requestLinesBurst {
		b.Process.Info("line")
		b.Requests.Info("line")
	}
	if droppedLines.Value() == before {
		t.Error("no line was dropped although nobody reads them")
	}
	close(w.release)
	b.Close()
}

// Guards against request lines without limit, and against process lines that are
// lost because of them.
func TestRequestLinesAreLimited(t *testing.T) {
	var out bytes.Buffer
	b, err := NewLoggers(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 * requestLinesBurst {
		b.Requests.Info("request")
	}
	b.Process.Info("process stopped")
	b.Close()
	if n := strings.Count(out.String(), "msg=request"); n < requestLinesBurst || n >= 2*requestLinesBurst {
		t.Errorf("%d lines about requests, want about %d", n, requestLinesBurst)
	}
	if !strings.Contains(out.String(), "process stopped") {
		t.Error("the line about the process is missing")
	}
}
