package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// errEventTooLong is returned when the data of an event exceeds maxChunkBytes or a
// line exceeds maxLineBytes.
var errEventTooLong = errors.New("event exceeds the largest chunk")

// event is one server-sent event. Fields other than id and data are ignored.
type event struct {
	id    uint64
	hasID bool // the event has an id field
	data  []byte
}

// eventBufferBytes is the size of the read buffer of one event stream. Most events
// are about 200 bytes; a buffer for the largest event would take 64 KiB for each
// running request.
const eventBufferBytes = 4 << 10

// maxLineBytes is the length of the longest accepted line with its line ending.
const maxLineBytes = maxChunkBytes + len("data: \r\n")

// eventReader parses a stream of server-sent events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, eventBufferBytes)}
}

// readLine returns the next line with its line ending. The slice is valid until the
// next call.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		long = append(long, line...)
		if len(long) >= maxLineBytes {
			return nil, errEventTooLong
		}
		line, err = e.r.ReadSlice('\n')
	}
	long = append(long, line...)
	if len(long) > maxLineBytes {
		return nil, errEventTooLong
	}
	return long, err
}

// next returns the next event that has data. Events without data, such as
// keep-alive comments, are skipped. An event that is cut off by the end of the
// stream is dropped.
func (e *eventReader) next() (event, error) {
	var ev event
	var hasData bool
	for {
		line, err := e.readLine()
		if err != nil {
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasData {
				return ev, nil
			}
			ev = event{}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			ev.id, err = strconv.ParseUint(string(value), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("event id: %w", err)
			}
			ev.hasID = true
		case "data":
			if hasData {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
			hasData = true
			if len(ev.data) > maxChunkBytes {
				return event{}, errEventTooLong
			}
		}
	}
}
