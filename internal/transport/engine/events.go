package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// errTooLong tells that a line of an event stream exceeds maxChunk.
var errTooLong = errors.New("event exceeds the largest chunk")

// event is one server-sent event. Other fields than id and data are ignored.
type event struct {
	id   uint64
	ided bool // the event has an id
	data []byte
}

// readBuffer is the buffer of one event stream. Most events are about 200 bytes;
// a buffer for the largest event would take 64 KiB for each running request.
const readBuffer = 4 << 10

// maxLine is the longest line that is accepted, with its end.
const maxLine = maxChunk + len("data: \r\n")

// eventReader parses a stream of server-sent events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, readBuffer)}
}

// line returns the next line with its end. It is valid until the next call.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		long = append(long, line...)
		if len(long) >= maxLine {
			return nil, errTooLong
		}
		line, err = e.r.ReadSlice('\n')
	}
	long = append(long, line...)
	if len(long) > maxLine {
		return nil, errTooLong
	}
	return long, err
}

// next returns the next event that has data. Events without data, such as
// comments that keep the stream alive, are skipped. An event that is cut off by
// the end of the stream is dropped.
func (e *eventReader) next() (event, error) {
	var ev event
	var hasData bool
	for {
		line, err := e.line()
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
			ev.ided = true
		case "data":
			if hasData {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
			hasData = true
			if len(ev.data) > maxChunk {
				return event{}, errTooLong
			}
		}
	}
}
