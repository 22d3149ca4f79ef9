package engine

import (
	"errors"
	"strings"
	"testing"
)

// Guards against events that are cut off or rejected because they exceed the read
// buffer, and against lines of unlimited length.
func TestLongEvents(t *testing.T) {
	for _, n := range []int{1, eventBufferBytes - 8, eventBufferBytes, 3*eventBufferBytes + 1, maxChunkBytes} {
		data := strings.Repeat("x", n)
		r := newEventReader(strings.NewReader("id: 7\ndata: " + data + "\r\n\ndata: next\n\n"))
		if e, err := r.next(); err != nil || string(e.data) != data || e.id != 7 {
			t.Errorf("%d bytes: %d bytes with id %d, error %v", n, len(e.data), e.id, err)
		}
		if e, err := r.next(); err != nil || string(e.data) != "next" {
			t.Errorf("after %d bytes: %q, error %v", n, e.data, err)
		}
	}
	for _, n := range []int{maxChunkBytes + 1, 4 * maxChunkBytes} {
		r := newEventReader(strings.NewReader("data: " + strings.Repeat("x", n) + "\n\n"))
		if _, err := r.next(); !errors.Is(err, errEventTooLong) {
			t.Errorf("%d bytes: error %v, want %v", n, err, errEventTooLong)
		}
	}
}
