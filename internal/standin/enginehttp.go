package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// RequestIDHeader carries the id of a request, by which an engine lets it be
	// resumed and cancelled and the ledger counts its runs.
	RequestIDHeader = "X-Request-Id"
	// DefaultMaxTokens is the number of tokens generated for a request that sets
	// neither max_tokens nor max_completion_tokens.
	DefaultMaxTokens = 64
	// MaxTokensLimit is the highest max_tokens that is accepted.
	MaxTokensLimit = 32768
)

// States of a run in GET /v1/requests and in the response to a cancellation.
const (
	stateRunning = "running"
	stateDone    = "done"
)

// completionRequest is the body of POST /v1/completions, with prompt, and of
// POST /v1/chat/completions, with messages.
type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Stream              bool   `json:"stream"`
	User                string `json:"user"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// completion is the body of a complete response, or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Message      *chatContent `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (e *engine) handle(ctx *fasthttp.RequestCtx) {
	segments := pathSegments(ctx)
	path := string(ctx.Path())
	switch {
	case ctx.IsPost() && path == "/v1/completions":
		e.handleCompletion(ctx, false)
	case ctx.IsPost() && path == "/v1/chat/completions":
		e.handleCompletion(ctx, true)
	case ctx.IsPost() && path == "/orders":
		e.handleOrder(ctx)
	case ctx.IsGet() && path == "/v1/requests":
		e.handleListRequests(ctx)
	case ctx.IsGet() && path == "/load":
		replyJSON(ctx, fasthttp.StatusOK, e.laggedLoad(time.Now()))
	case ctx.IsGet() && path == "/cache/events":
		e.handleCacheEvents(ctx)
	case ctx.IsGet() && len(segments) == 4 && segments[0] == "v1" && segments[1] == "requests" && segments[3] == "events":
		e.handleResume(ctx, segments[2])
	case ctx.IsDelete() && len(segments) == 3 && segments[0] == "v1" && segments[1] == "requests":
		e.handleCancel(ctx, segments[2])
	default:
		replyNotFound(ctx)
	}
}

func (e *engine) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	var body completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.hasModel(body.Model) {
		replyError(ctx, fasthttp.StatusNotFound, "model_not_loaded", fmt.Sprintf("model %q is not loaded", body.Model))
		return
	}
	g := e.generationFor(ctx, &body, chat)
	if g.maxTokens < 1 || g.maxTokens > MaxTokensLimit {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", fmt.Sprintf("max_tokens: %d, want 1 to %d", g.maxTokens, MaxTokensLimit))
		return
	}
	e.admit(g)
	ctx.Response.Header.Set(RequestIDHeader, g.id)
	if body.Stream {
		e.streamEvents(ctx, g, 0)
		return
	}
	if !e.waitForEnd(g) {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "cancelled", "the request was cancelled")
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, e.fullResponse(g))
}

// generationFor returns a new run for a request. A request without an id gets a
// random one.
func (e *engine) generationFor(ctx *fasthttp.RequestCtx, body *completionRequest, chat bool) *generation {
	prompt := []byte(body.Prompt)
	if chat {
		var messages []state.Message
		for _, m := range body.Messages {
			messages = append(messages, state.Message{Role: m.Role, Content: m.Content})
		}
		prompt = state.ChatPrompt(messages)
	}
	id := string(ctx.Request.Header.Peek(RequestIDHeader))
	if id == "" {
		id = uuid.NewString()
	}
	g := newGeneration(id, prompt)
	g.user = body.User
	g.model = body.Model
	g.isChat = chat
	g.includeUsage = body.StreamOptions.IncludeUsage
	g.maxTokens = body.MaxTokens
	if g.maxTokens == 0 {
		g.maxTokens = body.MaxCompletionTokens
	}
	if g.maxTokens == 0 {
		g.maxTokens = DefaultMaxTokens
	}
	return g
}

// waitForEnd waits until g is done or cancelled or the server stops. It reports
// whether g is done.
func (e *engine) waitForEnd(g *generation) bool {
	for {
		p := e.progressOf(g)
		if p.done || p.cancelled {
			return p.done
		}
		select {
		case <-p.changed:
		case <-e.srv.ctx.Done():
			return false
		}
	}
}

// streamEvents streams the events of g as server-sent events, beginning with the
// event number from. If g is cancelled, an error event ends the stream in place
// of [DONE].
func (e *engine) streamEvents(ctx *fasthttp.RequestCtx, g *generation, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for {
			p := e.progressOf(g)
			end := g.eventCount(p)
			for ; from < end; from++ {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", from, g.eventData(from, p))
			}
			if p.cancelled {
				w.WriteString("data: {\"error\":{\"message\":\"the request was cancelled\",\"type\":\"standin_error\",\"code\":\"cancelled\"}}\n\n")
			}
			if w.Flush() != nil || p.done || p.cancelled {
				return
			}
			select {
			case <-p.changed:
			case <-e.srv.ctx.Done():
				return
			}
		}
	})
}

// eventCount returns the number of events available at p: one for each token,
// then the finish reason, the usage if it was requested, and [DONE].
func (g *generation) eventCount(p progress) int {
	switch {
	case !p.done:
		return p.generatedTokens
	case g.includeUsage:
		return g.maxTokens + 3
	default:
		return g.maxTokens + 2
	}
}

// eventData returns the data of event i, which must be available at p.
func (g *generation) eventData(i int, p progress) string {
	c := g.newCompletion("text_completion", "chat.completion.chunk")
	switch {
	case i < g.maxTokens:
		c.Choices = []choice{g.chunkChoice(tokenFromSeed(g.textSeed, i), i == 0)}
	case i == g.maxTokens:
		last := g.chunkChoice("", false)
		reason := "length"
		last.FinishReason = &reason
		c.Choices = []choice{last}
	case i == g.maxTokens+1 && g.includeUsage:
		c.Choices = []choice{}
		c.Usage = g.usageAt(p)
	default:
		return "[DONE]"
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // completions are plain text and numbers
	}
	return string(data)
}

// chunkChoice returns the choice of one streamed chunk. The first chunk of a chat
// also contains the role.
func (g *generation) chunkChoice(text string, first bool) choice {
	if !g.isChat {
		return choice{Text: &text}
	}
	d := &chatContent{Content: text}
	if first {
		d.Role = "assistant"
	}
	return choice{Delta: d}
}

// newCompletion returns a completion without choices and usage. Its object is
// textObject for a text completion and chatObject for a chat.
func (g *generation) newCompletion(textObject, chatObject string) completion {
	c := completion{ID: "cmpl-" + g.id, Object: textObject, Created: g.created, Model: g.model}
	if g.isChat {
		c.ID = "chatcmpl-" + g.id
		c.Object = chatObject
	}
	return c
}

// usageAt returns the token usage of g at p.
func (g *generation) usageAt(p progress) *usage {
	u := &usage{PromptTokens: g.promptTokens, CompletionTokens: p.generatedTokens, TotalTokens: g.promptTokens + p.generatedTokens}
	u.Details.CachedTokens = p.cachedTokens
	return u
}

// fullResponse returns the response to a request without streaming, for which g
// must be done.
func (e *engine) fullResponse(g *generation) completion {
	c := g.newCompletion("text_completion", "chat.completion")
	text, reason := textFromSeed(g.textSeed, g.maxTokens), "length"
	c.Choices = []choice{{Text: &text, FinishReason: &reason}}
	if g.isChat {
		c.Choices = []choice{{Message: &chatContent{Role: "assistant", Content: text}, FinishReason: &reason}}
	}
	c.Usage = g.usageAt(e.progressOf(g))
	return c
}

// handleResume streams the events of a known request, beginning with the event
// number in the query argument "from".
func (e *engine) handleResume(ctx *fasthttp.RequestCtx, id string) {
	from, ok := queryUint(ctx, "from", 0)
	if !ok || from > 2*MaxTokensLimit {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", "from: want the number of an event")
		return
	}
	e.mu.Lock()
	g := e.byID[id]
	e.mu.Unlock()
	if g == nil {
		replyError(ctx, fasthttp.StatusNotFound, "unknown_request", "no request "+id)
		return
	}
	ctx.Response.Header.Set(RequestIDHeader, id)
	e.streamEvents(ctx, g, int(from))
}

// requestStatus is one element of the response of GET /v1/requests.
type requestStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`  // "running" or "done"
	Events int    `json:"events"` // number of events available
}

func (e *engine) handleListRequests(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	statuses := []requestStatus{}
	for _, g := range e.finished {
		if e.byID[g.id] == g {
			statuses = append(statuses, requestStatus{ID: g.id, State: stateDone, Events: g.eventCount(progress{done: true})})
		}
	}
	for _, g := range e.active {
		if e.byID[g.id] == g {
			statuses = append(statuses, requestStatus{ID: g.id, State: stateRunning, Events: int(g.generatedTokens)})
		}
	}
	e.mu.Unlock()
	replyJSON(ctx, fasthttp.StatusOK, map[string][]requestStatus{"requests": statuses})
}

// handleCancel cancels a request and responds with its state before the call. A
// finished request is not changed.
func (e *engine) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	previousState := e.cancel(id)
	if previousState == "" {
		replyError(ctx, fasthttp.StatusNotFound, "unknown_request", "no request "+id)
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, map[string]string{"id": id, "state": previousState})
}

func (e *engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	from, ok := queryUint(ctx, "from", 0)
	if !ok {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", "from: want the number of an event")
		return
	}
	e.mu.Lock()
	events, next := e.cache.visibleEvents(from, time.Now().Add(-e.effectiveLag(e.config.CacheLag)))
	e.mu.Unlock()
	replyJSON(ctx, fasthttp.StatusOK, map[string]any{"next": next, "events": events})
}

// hasModel reports whether some version of model is loaded.
func (e *engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.models {
		if m.Name == model {
			return true
		}
	}
	return false
}
