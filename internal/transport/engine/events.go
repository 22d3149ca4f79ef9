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

// eventReader parses a stream of server-sent events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, maxChunk+len("data: \r\n"))}
}

// next returns the next event that has data. Events without data, such as
// comments that keep the stream alive, are skipped. An event that is cut off by
// the end of the stream is dropped.
func (e *eventReader) next() (event, error) {
	var ev event
	var hasData bool
	for {
		line, err := e.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return event{}, errTooLong
		}
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
