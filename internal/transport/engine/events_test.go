package engine

import (
	"errors"
	"strings"
	"testing"
)

// Guards against events that are cut or refused because they exceed the read
// buffer, and against lines without a bound.
func TestLongEvents(t *testing.T) {
	for _, n := range []int{1, readBuffer - 8, readBuffer, 3*readBuffer + 1, maxChunk} {
		data := strings.Repeat("x", n)
		r := newEventReader(strings.NewReader("id: 7\ndata: " + data + "\r\n\ndata: next\n\n"))
		if e, err := r.next(); err != nil || string(e.data) != data || e.id != 7 {
			t.Errorf("%d bytes: %d bytes with id %d, error %v", n, len(e.data), e.id, err)
		}
		if e, err := r.next(); err != nil || string(e.data) != "next" {
			t.Errorf("after %d bytes: %q, error %v", n, e.data, err)
		}
	}
	for _, n := range []int{maxChunk + 1, 4 * maxChunk} {
		r := newEventReader(strings.NewReader("data: " + strings.Repeat("x", n) + "\n\n"))
		if _, err := r.next(); !errors.Is(err, errTooLong) {
			t.Errorf("%d bytes: error %v, want %v", n, err, errTooLong)
		}
	}
}
