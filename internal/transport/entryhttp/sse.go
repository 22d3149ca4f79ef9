package entryhttp

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

var (
	doneData         = []byte("[DONE]")
	keepAliveComment = []byte(": keep-alive\n\n")
)

// appendEvent appends data as a server-sent event, with one data field per line.
func appendEvent(out, data []byte) []byte {
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		out = append(out, "data: "...)
		out = append(out, line...)
		out = append(out, '\n')
	}
	return append(out, '\n')
}

// eventSink forwards the chunks of an engine as server-sent events.
type eventSink struct {
	*responseBody
	includeUsage bool // the caller asked for the usage chunk
}

// Head implements entry.Sink. Responses of engines have no head.
func (s *eventSink) Head(*state.Head) error { return nil }

// Chunk implements entry.Sink.
func (s *eventSink) Chunk(c *state.Chunk) error {
	if bytes.Equal(c.Data, doneData) || (!s.includeUsage && isUsageChunk(c.Data)) {
		return nil
	}
	_, err := s.Write(appendEvent(nil, c.Data))
	return err
}

// Restart implements entry.Sink.
func (s *eventSink) Restart() bool { return s.discardBuffered() }

// finish passes the result to the handler or ends the stream with [DONE] or an
// error event.
func (s *eventSink) finish(r entry.Result) {
	if s.deliverResult(r) {
		return
	}
	if r.Kind == entry.Complete {
		s.Write(appendEvent(nil, doneData))
		s.writer.Close()
		return
	}
	s.Write(failureForResult(r).event())
	s.writer.CloseWithError(errIncomplete)
}

// sendKeepAlives writes a comment when the stream was idle for keepAliveInterval,
// until done is closed.
func (s *eventSink) sendKeepAlives(done <-chan struct{}) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if !s.idleFor(keepAliveInterval) {
			continue
		}
		if _, err := s.Write(keepAliveComment); err != nil {
			return
		}
	}
}

// isUsageChunk reports whether data is the usage chunk, which has no choices and is
// sent because of include_usage.
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
