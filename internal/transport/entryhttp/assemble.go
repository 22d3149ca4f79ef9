package entryhttp

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

var errResponseTooLarge = errors.New("assembled response is too large")

// assemblingSink merges the chunks of an engine into one JSON response, for a caller
// that did not ask for a stream.
type assemblingSink struct {
	*responseBody
	merged        map[string]any
	receivedBytes int
	err           error // why the response cannot be assembled
}

// Head implements entry.Sink. Responses of engines have no head.
func (s *assemblingSink) Head(*state.Head) error { return nil }

// Chunk implements entry.Sink.
func (s *assemblingSink) Chunk(c *state.Chunk) error {
	if bytes.Equal(c.Data, doneData) {
		return nil
	}
	s.receivedBytes += len(c.Data)
	if s.receivedBytes > maxAssembledBytes {
		s.err = errResponseTooLarge
		return s.err
	}
	decoder := json.NewDecoder(bytes.NewReader(c.Data))
	decoder.UseNumber() // keeps numbers such as log probabilities as written
	var chunk map[string]any
	if err := decoder.Decode(&chunk); err != nil {
		s.err = fmt.Errorf("decode chunk %d: %w", c.Offset, err)
		return s.err
	}
	if s.merged == nil {
		s.merged = make(map[string]any)
	}
	mergeObject(s.merged, chunk)
	return nil
}

// Restart implements entry.Sink. Nothing is sent before the response is complete.
func (s *assemblingSink) Restart() bool {
	s.merged, s.receivedBytes = nil, 0
	return true
}

// finish passes the result to the handler.
func (s *assemblingSink) finish(r entry.Result) { s.deliverResult(r) }

// response returns the assembled response as JSON.
func (s *assemblingSink) response() []byte {
	out := s.merged
	if out == nil {
		out = make(map[string]any)
	}
	if object, ok := out["object"].(string); ok {
		out["object"] = strings.TrimSuffix(object, ".chunk")
	}
	choices, _ := out["choices"].([]any)
	slices.SortStableFunc(choices, func(a, b any) int { return cmp.Compare(choiceIndex(a), choiceIndex(b)) })
	for _, c := range choices {
		if choice, ok := c.(map[string]any); ok {
			deltaToMessage(choice)
		}
	}
	return mustMarshal(out)
}

// choiceIndex returns the index of a choice, 0 when it has none.
func choiceIndex(choice any) int64 {
	object, _ := choice.(map[string]any)
	number, _ := object["index"].(json.Number)
	index, err := number.Int64()
	if err != nil {
		return 0
	}
	return index
}

// deltaToMessage replaces the merged delta of a choice by a message. Choices of
// completions have no delta and stay as they are.
func deltaToMessage(choice map[string]any) {
	delta, ok := choice["delta"].(map[string]any)
	if !ok {
		return
	}
	delete(choice, "delta")
	if _, ok := delta["content"]; !ok {
		delta["content"] = nil
	}
	if _, ok := delta["role"]; !ok {
		delta["role"] = "assistant"
	}
	calls, _ := delta["tool_calls"].([]any)
	for _, c := range calls {
		// The index of a tool call appears only in chunks.
		if call, ok := c.(map[string]any); ok {
			delete(call, "index")
		}
	}
	choice["message"] = delta
}

// jsonStringBuilder concatenates strings and is encoded as one JSON string.
type jsonStringBuilder struct{ strings.Builder }

// MarshalJSON implements json.Marshaler.
func (t *jsonStringBuilder) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// replacedFields are the fields whose string values are replaced rather than
// concatenated, since some engines repeat them in each chunk.
var replacedFields = map[string]bool{
	"id": true, "object": true, "model": true, "role": true, "type": true,
	"finish_reason": true, "stop_reason": true, "system_fingerprint": true, "service_tier": true,
}

// mergeObject merges the fields of src into dst. Strings are concatenated except in
// replacedFields. Array elements with a field "index" are merged by it, others are
// appended. Objects are merged, except that "usage" is replaced. Numbers and
// booleans are replaced. A null does not replace a value.
func mergeObject(dst, src map[string]any) {
	for key, value := range src {
		dst[key] = mergeValue(key, dst[key], value)
	}
}

func mergeValue(key string, old, value any) any {
	switch v := value.(type) {
	case nil:
		return old
	case string:
		return mergeString(key, old, v)
	case map[string]any:
		dst, ok := old.(map[string]any)
		if !ok || key == "usage" {
			dst = make(map[string]any, len(v))
		}
		mergeObject(dst, v)
		return dst
	case []any:
		dst, _ := old.([]any)
		return mergeArray(dst, v)
	}
	return value
}

func mergeString(key string, old any, s string) any {
	if replacedFields[key] {
		return s
	}
	t, ok := old.(*jsonStringBuilder)
	if !ok {
		t = &jsonStringBuilder{}
	}
	t.WriteString(s)
	return t
}

// mergeArray merges elements with an index into those with the same index and
// appends the others.
func mergeArray(dst, src []any) []any {
	if dst == nil {
		dst = []any{}
	}
	for _, element := range src {
		object, isObject := element.(map[string]any)
		index, hasIndex := object["index"]
		if !isObject {
			dst = append(dst, element)
			continue
		}
		target := (map[string]any)(nil)
		if hasIndex {
			target = elementWithIndex(dst, index)
		}
		if target == nil {
			target = make(map[string]any, len(object))
			dst = append(dst, target)
		}
		mergeObject(target, object)
	}
	return dst
}

// elementWithIndex returns the object of the array whose field "index" equals index,
// nil if there is none.
func elementWithIndex(array []any, index any) map[string]any {
	for _, element := range array {
		if object, ok := element.(map[string]any); ok && object["index"] == index {
			return object
		}
	}
	return nil
}
