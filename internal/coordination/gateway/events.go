package gateway

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cassiaramp/cassiaramp/internal/coordination/eventstream"
)

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	data     []byte
	id       string // empty when the event has none
	hasField bool   // false for comments and empty lines
}

// maxEventBytes bounds the size of one event.
const maxEventBytes = 4 << 20

// eventReader reads the events of one response.
type eventReader struct {
	in                 *eventstream.Reader
	held               *heldResponse // by the event that was returned last
	endsWithConnection bool          // the response has neither a length nor chunks
}

func newEventReader(r io.Reader, held *heldResponse, endsWithConnection bool) *eventReader {
	return &eventReader{in: eventstream.NewReader(r, maxEventBytes, held.hold), held: held, endsWithConnection: endsWithConnection}
}

// next returns the next complete event, which takes the place of the one before. Its errors are
// those of eventstream.Reader, of heldResponse.hold, and errStrayResponse.
func (e *eventReader) next() (event, error) {
	e.held.release()
	data, err := e.in.Next()
	for err == nil && e.endsWithConnection && isResponseHead(data) {
		if err = e.skipBody(data); err == nil {
			data, err = e.in.Next()
		}
	}
	if err != nil {
		return event{}, err
	}
	ev := event{data: data}
	for name, value := range data.Fields() {
		ev.hasField = true
		if name == "id" {
			ev.id = string(value)
		}
	}
	return ev, nil
}

// isResponseHead reports whether what looks like an event is the head of another response, which
// also ends with an empty line. Targets may send one behind a response, or late. If the response
// before has neither a length nor chunks, nothing else separates the two.
func isResponseHead(data eventstream.Event) bool { return bytes.HasPrefix(data, []byte("HTTP/1.")) }

// skipBody discards the body of another response. Without a stated length, its end is not known.
func (e *eventReader) skipBody(head eventstream.Event) error {
	for name, value := range head.Fields() {
		if !strings.EqualFold(name, "Content-Length") {
			continue
		}
		n, err := strconv.Atoi(string(value))
		if err != nil || n < 0 || n > maxResponseBytes {
			break
		}
		return e.in.Skip(n)
	}
	return errStrayResponse
}

// isRepeated reports whether the caller has an event already. IDs of events increase, so that
// another target, or the same one, must have sent it before.
func (a *attempt) isRepeated(e event) bool {
	n := parseEventNumber(e.id)
	if !n.known {
		return false
	}
	if !a.passedOn.known || n.value > a.passedOn.value {
		a.passedOn = n
		return false
	}
	if a.repeated++; a.repeated == 1 {
		a.request.logRepeatedEvent(a, e)
	}
	return true
}

// eventNumber is the ID of an event as a number.
type eventNumber struct {
	value uint64
	known bool
}

// parseEventNumber returns the number of an ID. It is unknown if the ID is empty or no number.
func parseEventNumber(id string) eventNumber {
	n, err := strconv.ParseUint(id, 10, 64)
	return eventNumber{n, err == nil}
}
