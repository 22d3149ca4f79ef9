// Package eventstream reads streams of server-sent events (text/event-stream) event by event.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"iter"
)

var (
	// ErrEndsInsideEvent means that the stream ended without the blank line that ends an event.
	ErrEndsInsideEvent = errors.New("stream ended inside an event")
	// ErrTooLong means that an event exceeds the limit of its Reader.
	ErrTooLong = errors.New("event is too long")
)

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	in       *bufio.Reader
	maxBytes int
	reserve  func(bytes int) error
	// unfinished is what was read of the event at which Next failed.
	unfinished Event
}

// NewReader returns a reader of events of up to maxBytes each. reserve is called with the memory
// that an event takes, in bytes, as it grows; its error ends the reading. It may be nil.
func NewReader(r io.Reader, maxBytes int, reserve func(bytes int) error) *Reader {
	if reserve == nil {
		reserve = func(int) error { return nil }
	}
	return &Reader{in: bufio.NewReader(r), maxBytes: maxBytes, reserve: reserve}
}

// Event is one complete event as it was received, with the blank line that ends it. It may
// consist of comments only, or of the blank line.
type Event []byte

// Next returns the next event. The error is io.EOF only if the stream ended between two events.
// A stream that ends inside an event was broken off, even if nothing else shows it: a body
// without length or chunks also ends when its sender crashes.
func (r *Reader) Next() (Event, error) {
	ev, err := r.next()
	if err != nil {
		r.unfinished = ev
		return nil, err
	}
	return ev, nil
}

// Unfinished returns what was read of the event at which Next failed, up to the end of its last
// complete line, and whether it has a field, be it in the line that is incomplete.
func (r *Reader) Unfinished() (lines Event, hasField bool) {
	for range r.unfinished.Fields() {
		hasField = true
		break
	}
	return r.unfinished[:bytes.LastIndexByte(r.unfinished, '\n')+1], hasField
}

// next returns the next event. With an error, it returns what was read of it.
func (r *Reader) next() (Event, error) {
	var ev Event
	lineStart := 0 // of the last line in ev
	for {
		part, err := r.in.ReadSlice('\n')
		ev = append(ev, part...)
		if len(ev) > r.maxBytes {
			return ev, ErrTooLong
		}
		if err := r.reserve(cap(ev)); err != nil {
			return ev, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // part is not the end of its line
		case errors.Is(err, io.EOF) && len(ev) > 0:
			return ev, fmt.Errorf("%w, after %d bytes of it", ErrEndsInsideEvent, len(ev))
		case err != nil:
			return ev, err
		}
		if len(trimLineEnd(ev[lineStart:])) == 0 {
			return ev, nil
		}
		lineStart = len(ev)
	}
}

// Fields returns the names and values of the event's fields. The values are parts of the event.
func (e Event) Fields() iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for line := range bytes.Lines(e) {
			line = trimLineEnd(line)
			if len(line) == 0 || line[0] == ':' {
				continue
			}
			name, value, _ := bytes.Cut(line, []byte(":"))
			if !yield(string(name), bytes.TrimPrefix(value, []byte(" "))) {
				return
			}
		}
	}
}

// Data returns the values of the data fields, joined by line feeds, and whether there is one.
func (e Event) Data() (data []byte, ok bool) {
	for name, value := range e.Fields() {
		if name != "data" {
			continue
		}
		if ok {
			data = append(data, '\n')
		}
		data, ok = append(data, value...), true
	}
	return data, ok
}

// trimLineEnd returns the line without its CR and LF characters at the end.
func trimLineEnd(line []byte) []byte { return bytes.TrimRight(line, "\r\n") }
