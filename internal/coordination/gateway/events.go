package gateway

import (
	"io"
	"strconv"

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
	in interface {
		Next() (eventstream.Event, error)
	}
	unframed *eventstream.UnframedReader // in, if the response has neither a length nor chunks; else nil
	framed   *eventstream.Reader         // in, otherwise; else nil
	held     *heldResponse               // by the event that was returned last
}

func newEventReader(r io.Reader, held *heldResponse, endsWithConnection bool) *eventReader {
	in := eventstream.NewReader(r, maxEventBytes, held.hold)
	if endsWithConnection {
		unframed := &eventstream.UnframedReader{Reader: in}
		return &eventReader{in: unframed, unframed: unframed, held: held}
	}
	return &eventReader{in: in, framed: in, held: held}
}

// next returns the next complete event, which takes the place of the one before. Its errors are
// those of eventstream.Reader, of eventstream.UnframedReader and of heldResponse.hold.
func (e *eventReader) next() (event, error) {
	e.held.release()
	data, err := e.in.Next()
	if err != nil {
		return event{}, err
	}
	return newEvent(data), nil
}

func newEvent(data eventstream.Event) event {
	ev := event{data: data}
	for name, value := range data.Fields() {
		ev.hasField = true
		if name == "id" {
			ev.id = string(value)
		}
	}
	return ev
}

// unfinished returns the complete lines of the event in which a response with a length or chunks broke
// off, if there is one. Without these, what comes last may not belong to the response.
func (e *eventReader) unfinished() (event, bool) {
	if e.framed == nil {
		return event{}, false
	}
	lines, hasField := e.framed.Unfinished()
	return newEvent(lines), hasField
}

// skipped returns the number of other responses that were skipped.
func (e *eventReader) skipped() int {
	if e.unframed == nil {
		return 0
	}
	return e.unframed.Skipped
}

// isRepeated reports whether the caller has an event already. IDs of events increase, so that
// another target, or the same one, must have sent it before. Of IDs that are no numbers, only the one
// after which the stream is resumed is recognized.
func (a *attempt) isRepeated(e event) bool {
	n := parseEventNumber(e.id)
	if !n.known {
		resumes := a.begun || a.request.route.Resumable
		return resumes && a.grant.Events == 0 && e.id != "" && e.id == a.resumeAfter
	}
	a.received = eventNumber{max(n.value, a.received.value), true}
	if !a.passedOn.known || n.value > a.passedOn.value {
		a.passedOn = n
		return false
	}
	if a.repeated++; a.repeated == 1 {
		a.request.logRepeatedEvent(a, e)
	}
	return true
}

// breaksOffInside records that the response broke off inside an event which the caller does not have,
// if it did, so that the stream was not whole before it.
func (a *attempt) breaksOffInside(events *eventReader) {
	e, ok := events.unfinished()
	if !ok {
		return
	}
	isNew := a.grant.Events > 0
	if n := parseEventNumber(e.id); n.known && a.passedOn.known {
		isNew = n.value > a.passedOn.value
	}
	if isNew {
		a.request.eventMissing = true
	}
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
