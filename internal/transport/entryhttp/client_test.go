package entryhttp

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// engineEvents returns the events of an engine's response with two pieces of text.
func engineEvents() []string {
	event := func(choices, rest string) string {
		return fmt.Sprintf(`{"id":"x","object":"chat.completion.chunk","created":1,"model":"m","choices":[%s]%s}`, choices, rest)
	}
	return []string{
		event(`{"index":0,"delta":{"role":"assistant","content":"draft "},"finish_reason":null}`, ""),
		event(`{"index":0,"delta":{"content":"and trim"},"finish_reason":null}`, ""),
		event(`{"index":0,"delta":{},"finish_reason":"stop"}`, ""),
		event("", `,"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}`),
	}
}

func newClient(t *testing.T, service Service) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+serveOnLoopback(t, service)+"/v1/"),
		option.WithAPIKey("secret"),
		option.WithMaxRetries(0),
	)
}

var chatParams = openai.ChatCompletionNewParams{
	Model:    "m",
	Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("check the berth")},
}

// Guards against responses that a client library for the OpenAI API does not
// understand.
func TestClientLibrary(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	served := newClient(t, respondWith(completeResult, engineEvents()...))

	whole, err := served.Chat.Completions.New(ctx, chatParams)
	if err != nil {
		t.Fatal(err)
	}
	if got := whole.Choices[0].Message.Content; got != "draft and trim" || whole.Usage.TotalTokens != 5 {
		t.Errorf("assembled response %q with usage %+v", got, whole.Usage)
	}

	stream := served.Chat.Completions.NewStreaming(ctx, chatParams)
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil || text.String() != "draft and trim" {
		t.Errorf("stream %q, %v", text.String(), err)
	}

	models, err := served.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m" {
		t.Errorf("models %+v, %v", models, err)
	}
}

// Guards against errors that a client library does not recognise, or takes for the
// regular end of a stream.
func TestClientLibrarySeesErrors(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	refusing := newClient(t, respondWith(entry.Result{Kind: entry.Refused, Reason: state.ReasonQueueFull, RetryAfter: 2 * time.Second}))
	_, err := refusing.Chat.Completions.New(ctx, chatParams)
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != 429 || refused.Code != string(state.ReasonQueueFull) || refused.Response.Header.Get("Retry-After") != "2" {
		t.Errorf("refusal reported as %v", err)
	}

	breaking := newClient(t, respondWith(entry.Result{Kind: entry.Unknown, Reason: state.ReasonStreamBroken}, engineEvents()[0]))
	stream := breaking.Chat.Completions.NewStreaming(ctx, chatParams)
	for stream.Next() {
	}
	if stream.Err() == nil {
		t.Error("a broken stream ended without an error")
	}
}
