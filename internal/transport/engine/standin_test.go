package engine

import (
	"testing"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/standin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a request id that the client sends in one form and uses in another
// when it resumes the stream. Servers differ in how they treat an escaped slash in a
// path, and a stream that is not found ends with an unknown outcome.
func TestResumeAtStandin(t *testing.T) {
	platform, err := standin.Start(&standin.Config{
		Seed: 1,
		Engines: []standin.EngineConfig{{
			Name: "engine-1", Address: "127.0.0.1:0", PrefillRate: 1e6, DecodeRate: 1e5, RequestRate: 2000,
			CacheTokens: 4096, Models: []state.ModelSpec{{Name: "m", Version: "1"}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	c := New(Config{Address: platform.Addr("engine-1"), Log: zap.NewNop()})
	id := state.AttemptID{Entry: "entry-1", Incarnation: 0xab, Session: 3, Seq: 4}
	request := &state.Request{
		ID: "r", Kind: state.Completion, Model: "m", Method: "POST", Path: "/v1/completions",
		Body: []byte(`{"model":"m","prompt":"trim and draft","max_tokens":8}`),
	}
	var whole, resumed [][]byte
	if _, err := c.Run(t.Context(), id, request, func(e state.AttemptEvent) { whole = append(whole, e.(*state.Chunk).Data) }); err != nil {
		t.Fatal(err)
	}
	listed, err := c.ListAttempts(t.Context())
	if err != nil || len(listed) != 1 || listed[0].Attempt != id {
		t.Fatalf("the engine lists %v, %v; want attempt %s", listed, err, id)
	}
	if _, err := c.Resume(t.Context(), id, 2, func(e state.AttemptEvent) { resumed = append(resumed, e.(*state.Chunk).Data) }); err != nil {
		t.Fatal(err)
	}
	if len(whole) < 8 || len(resumed) != len(whole)-2 {
		t.Fatalf("%d chunks, then %d from chunk 2 on", len(whole), len(resumed))
	}
	for i, data := range resumed {
		if string(data) != string(whole[i+2]) {
			t.Errorf("chunk %d is %q when resumed, was %q", i+2, data, whole[i+2])
		}
	}
}
