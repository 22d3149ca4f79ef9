package front

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

var (
	doneData  = []byte("[DONE]")
	keepAlive = []byte(": keep-alive\n\n")
)

// appendEvent appends data as a server-sent event.
func appendEvent(out, data []byte) []byte {
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		out = append(out, "data: "...)
		out = append(out, line...)
		out = append(out, '\n')
	}
	return append(out, '\n')
}

// eventSink passes chunks on as server-sent events.
type eventSink struct {
	*body
	usage bool // the caller asked for the usage chunk
}

// Head implements entry.Sink. Engines have none.
func (s *eventSink) Head(*state.Head) error { return nil }

// Chunk implements entry.Sink.
func (s *eventSink) Chunk(c *state.Chunk) error {
	if bytes.Equal(c.Data, doneData) || (!s.usage && isUsageChunk(c.Data)) {
		return nil
	}
	_, err := s.Write(appendEvent(nil, c.Data))
	return err
}

// Restart implements entry.Sink.
func (s *eventSink) Restart() bool { return s.restart() }

// finish ends the stream.
func (s *eventSink) finish(r entry.Result) {
	if s.end(r) {
		return
	}
	if r.Kind == entry.Complete {
		s.Write(appendEvent(nil, doneData))
		s.writer.Close()
		return
	}
	s.Write(failureOf(r).event())
	s.writer.CloseWithError(errIncomplete)
}

// keepAlive writes a comment whenever the stream was idle, until done is closed.
func (s *eventSink) keepAlive(done <-chan struct{}) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if !s.idle(keepAliveInterval) {
			continue
		}
		if _, err := s.Write(keepAlive); err != nil {
			return
		}
	}
}

// isUsageChunk reports whether data is the chunk without choices that
// include_usage adds.
func isUsageChunk(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var chunk struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) != nil {
		return false
	}
	return len(chunk.Choices) == 0 && len(chunk.Usage) > 0 && !bytes.Equal(chunk.Usage, []byte("null"))
}
