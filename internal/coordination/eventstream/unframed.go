package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"
)

// ErrStray means that a stream contains bytes that are not its next event. What follows them
// belongs to no known response either, and they do not show that the stream before is complete.
var ErrStray = errors.New("bytes in a stream without length or chunks are not its next event")

// ErrFollowed means that the stream has ended as far as its sender shows: what comes behind its last
// event is the head of another response, of which no length is known, or a copy of the last event
// and the end of the connection. Targets send neither in place of the rest of a stream.
var ErrFollowed = errors.New("stream without length or chunks is followed by another response or a copy of its last event")

const (
	// maxResponseBytes bounds the body of another response that is skipped.
	maxResponseBytes = 16 << 20
	// maxQuotedBytes bounds what an error quotes of stray bytes.
	maxQuotedBytes = 60
)

// UnframedReader reads the events of a response that has neither a length nor chunks. Nothing on
// the connection separates such a response from what a faulty target sends behind it, so each
// event must show that it is the next one: IDs of a stream increase. It is not safe for concurrent
// use.
type UnframedReader struct {
	*Reader
	// Skipped is the number of other responses that were skipped.
	Skipped int
	begun   bool
	lastID  uint64
	hasIDs  bool // the events so far have IDs that are numbers
	// lastSum is the checksum of the last event, and copied says that a copy of it came behind it.
	lastSum uint64
	copied  bool
}

// Next returns the next event. Its errors are those of Reader.Next, ErrStray and ErrFollowed.
func (r *UnframedReader) Next() (Event, error) {
	for {
		ev, err := r.Reader.Next()
		switch {
		case errors.Is(err, io.EOF) && r.copied:
			return nil, ErrFollowed
		case err != nil:
			return nil, err
		case len(trimLineEnd(ev)) == 0: // an empty line may precede the head of a response
			continue
		case isResponseHead(ev):
			if err := r.skipResponse(ev); err != nil {
				return nil, err
			}
			continue
		case finalStatusLine.Match(ev):
			return nil, r.followedBy(ev)
		case r.isCopy(ev):
			r.copied = true
			continue
		case !r.isNext(ev):
			return nil, strayError(ev)
		}
		r.copied = false
		return ev, nil
	}
}

// isNext reports whether an event is the next one of the stream, and remembers its ID. A comment
// belongs to any stream. Event streams are UTF-8.
func (r *UnframedReader) isNext(ev Event) bool {
	if !utf8.Valid(ev) {
		return false
	}
	known, hasField := false, false
	var id []byte
	for name, value := range ev.Fields() {
		hasField = true
		switch name {
		case "id":
			id, known = value, true
		case "data", "event", "retry":
			known = true
		}
	}
	if !hasField {
		return true
	}
	n, err := strconv.ParseUint(string(id), 10, 64)
	isNumber := err == nil
	switch {
	case !known, r.begun && isNumber != r.hasIDs, r.begun && isNumber && n <= r.lastID:
		return false
	}
	r.begun, r.hasIDs, r.lastID, r.lastSum = true, isNumber, n, sum(ev)
	return true
}

// isCopy reports whether an event is a copy of the last one, which has an ID. The checksum takes
// the place of a second copy in memory.
func (r *UnframedReader) isCopy(ev Event) bool { return r.hasIDs && sum(ev) == r.lastSum }

var sumSeed = maphash.MakeSeed()

func sum(ev Event) uint64 { return maphash.Bytes(sumSeed, ev) }

// isResponseHead reports whether what looks like an event is the head of another response, which
// also ends with an empty line. Targets may send one behind a response, or late.
func isResponseHead(ev Event) bool { return bytes.HasPrefix(ev, []byte("HTTP/1.")) }

// skipResponse discards the body of another response. Without a stated length, its end is not
// known: the error is ErrFollowed if the head is that of a final response and comes behind an event.
func (r *UnframedReader) skipResponse(head Event) error {
	for name, value := range head.Fields() {
		if !strings.EqualFold(name, "Content-Length") {
			continue
		}
		n, err := strconv.Atoi(string(value))
		if err != nil || n < 0 || n > maxResponseBytes {
			break
		}
		r.Skipped++
		return r.skip(n)
	}
	return r.followedBy(head)
}

// followedBy returns the error for the head of another response with which nothing can be read on.
func (r *UnframedReader) followedBy(head Event) error {
	if !r.begun || !finalStatusLine.Match(head) {
		return strayError(head)
	}
	r.Skipped++
	return ErrFollowed
}

// finalStatusLine matches the beginning of a final response, even if it cannot be parsed as HTTP/1:
// targets send the heads of spoiled responses too only where a response is due.
var finalStatusLine = regexp.MustCompile(`^(?i)HTTP/\d(\.\d)? [2-5]\d\d[ \r\n]`)

// skip discards the next n bytes. The error is ErrEndsInsideEvent if the stream ends before.
func (r *UnframedReader) skip(n int) error {
	_, err := r.in.Discard(n)
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w, in bytes that are no event", ErrEndsInsideEvent)
	}
	return err
}

func strayError(ev Event) error {
	return fmt.Errorf("%w: %q", ErrStray, ev[:min(len(ev), maxQuotedBytes)])
}
