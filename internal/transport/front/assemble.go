package front

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

var errTooLarge = errors.New("assembled response is too large")

// wholeSink assembles the response of a caller that did not ask for a stream.
type wholeSink struct {
	*body
	merged map[string]any
	size   int
	err    error // why the response cannot be assembled
}

// Head implements entry.Sink. Engines have none.
func (s *wholeSink) Head(*state.Head) error { return nil }

// Chunk implements entry.Sink.
func (s *wholeSink) Chunk(c *state.Chunk) error {
	if bytes.Equal(c.Data, doneData) {
		return nil
	}
	s.size += len(c.Data)
	if s.size > maxWhole {
		s.err = errTooLarge
		return s.err
	}
	decoder := json.NewDecoder(bytes.NewReader(c.Data))
	decoder.UseNumber() // numbers such as log probabilities are kept as written
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

// Restart implements entry.Sink.
func (s *wholeSink) Restart() bool {
	s.merged, s.size = nil, 0
	return true
}

// finish hands the result to the handler.
func (s *wholeSink) finish(r entry.Result) { s.end(r) }

// response returns the assembled response.
func (s *wholeSink) response() []byte {
	out := s.merged
	if out == nil {
		out = make(map[string]any)
	}
	if object, ok := out["object"].(string); ok {
		out["object"] = strings.TrimSuffix(object, ".chunk")
	}
	choices, _ := out["choices"].([]any)
	slices.SortStableFunc(choices, func(a, b any) int { return cmp.Compare(indexOf(a), indexOf(b)) })
	for _, c := range choices {
		if choice, ok := c.(map[string]any); ok {
			finishChoice(choice)
		}
	}
	return mustMarshal(out)
}

// indexOf returns the index of a choice, 0 when it has none.
func indexOf(choice any) int64 {
	object, _ := choice.(map[string]any)
	number, _ := object["index"].(json.Number)
	index, err := number.Int64()
	if err != nil {
		return 0
	}
	return index
}

// finishChoice turns the merged deltas of a choice into a message.
func finishChoice(choice map[string]any) {
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
		// Only chunks number their tool calls.
		if call, ok := c.(map[string]any); ok {
			delete(call, "index")
		}
	}
	choice["message"] = delta
}

// text is a string that grows by concatenation.
type text struct{ strings.Builder }

// MarshalJSON implements json.Marshaler.
func (t *text) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// labels are the keys whose strings name something and are replaced rather than
// concatenated, since some engines repeat them in each chunk.
var labels = map[string]bool{
	"id": true, "object": true, "model": true, "role": true, "type": true,
	"finish_reason": true, "stop_reason": true, "system_fingerprint": true, "service_tier": true,
}

// mergeObject merges the fields of src into dst: strings are concatenated,
// arrays are merged by "index" and otherwise appended, objects are merged, other
// values are replaced. A null replaces nothing.
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
		into, ok := old.(map[string]any)
		if !ok || key == "usage" {
			into = make(map[string]any, len(v))
		}
		mergeObject(into, v)
		return into
	case []any:
		into, _ := old.([]any)
		return mergeArray(into, v)
	}
	return value
}

func mergeString(key string, old any, s string) any {
	if labels[key] {
		return s
	}
	t, ok := old.(*text)
	if !ok {
		t = &text{}
	}
	t.WriteString(s)
	return t
}

// mergeArray merges elements with an index into those with the same index and
// appends the others.
func mergeArray(into, add []any) []any {
	if into == nil {
		into = []any{}
	}
	for _, element := range add {
		object, isObject := element.(map[string]any)
		index, hasIndex := object["index"]
		if !isObject {
			into = append(into, element)
			continue
		}
		target := (map[string]any)(nil)
		if hasIndex {
			target = elementAt(into, index)
		}
		if target == nil {
			target = make(map[string]any, len(object))
			into = append(into, target)
		}
		mergeObject(target, object)
	}
	return into
}

// elementAt returns the object of the array whose index is index.
func elementAt(array []any, index any) map[string]any {
	for _, element := range array {
		if object, ok := element.(map[string]any); ok && object["index"] == index {
			return object
		}
	}
	return nil
}
