package platformclient

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
)

// Guards against platform calls that are missing from the counters.
func TestCallBytes(t *testing.T) {
	l := newLogClient(t, new(logtest.Log).Handler())
	before := newByteCounters("log")
	sent, received := before.sent.Value(), before.received.Value()
	data := make([]byte, 3000)
	if _, err := l.Append(t.Context(), "s", logstream.Entry{ID: "a", Data: data}); err != nil {
		t.Fatal(err)
	}
	// Base64 encodes 3 bytes in 4; the rest are field names and headers.
	if n := newByteCounters("log").sent.Value() - sent; n < 4000 || n > 4500 {
		t.Errorf("append of %d bytes counted as %d bytes sent, want 4000 to 4500", len(data), n)
	}
	if n := newByteCounters("log").received.Value() - received; n < 20 || n > 500 {
		t.Errorf("response counted as %d bytes received, want 20 to 500", n)
	}
	if _, err := l.Read(t.Context(), "s", 0, 1, 0); err != nil {
		t.Fatal(err)
	}
	if n := newByteCounters("log").received.Value() - received; n < 4000 {
		t.Errorf("read of %d bytes counted as %d bytes received, want at least 4000", len(data), n)
	}
}
