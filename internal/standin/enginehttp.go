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
	// RequestIDHeader names a request at an engine.
	RequestIDHeader = "X-Request-Id"
	// DefaultMaxTokens is generated when a request names no max_tokens.
	DefaultMaxTokens = 64
	// MaxTokensLimit bounds max_tokens.
	MaxTokensLimit = 32768
)

// The states in GET /v1/requests.
const (
	stateRunning = "running"
	stateDone    = "done"
)

// completionBody is the body of both kinds of completion.
type completionBody struct {
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

// completion is a response or one chunk of a streamed response.
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
	p := segments(ctx)
	path := string(ctx.Path())
	switch {
	case ctx.IsPost() && path == "/v1/completions":
		e.handleCompletion(ctx, false)
	case ctx.IsPost() && path == "/v1/chat/completions":
		e.handleCompletion(ctx, true)
	case ctx.IsPost() && path == "/orders":
		e.handleOrder(ctx)
	case ctx.IsGet() && path == "/v1/requests":
		e.handleRequests(ctx)
	case ctx.IsGet() && path == "/load":
		reply(ctx, fasthttp.StatusOK, e.laggingLoad(time.Now()))
	case ctx.IsGet() && path == "/cache/events":
		e.handleCacheEvents(ctx)
	case ctx.IsGet() && len(p) == 4 && p[0] == "v1" && p[1] == "requests" && p[3] == "events":
		e.handleResume(ctx, p[2])
	case ctx.IsDelete() && len(p) == 3 && p[0] == "v1" && p[1] == "requests":
		e.handleCancel(ctx, p[2])
	default:
		notFound(ctx)
	}
}

func (e *engine) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	var body completionBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.holds(body.Model) {
		fail(ctx, fasthttp.StatusNotFound, "model_not_loaded", fmt.Sprintf("model %q is not loaded", body.Model))
		return
	}
	g := e.generationFor(ctx, &body, chat)
	if g.maxTokens < 1 || g.maxTokens > MaxTokensLimit {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", fmt.Sprintf("max_tokens: %d, want 1 to %d", g.maxTokens, MaxTokensLimit))
		return
	}
	e.admit(g)
	ctx.Response.Header.Set(RequestIDHeader, g.id)
	if body.Stream {
		e.stream(ctx, g, 0)
		return
	}
	if !e.await(g) {
		fail(ctx, fasthttp.StatusServiceUnavailable, "cancelled", "the request was cancelled")
		return
	}
	reply(ctx, fasthttp.StatusOK, e.whole(g))
}

func (e *engine) generationFor(ctx *fasthttp.RequestCtx, body *completionBody, chat bool) *generation {
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
	g.chat = chat
	g.usage = body.StreamOptions.IncludeUsage
	g.maxTokens = body.MaxTokens
	if g.maxTokens == 0 {
		g.maxTokens = body.MaxCompletionTokens
	}
	if g.maxTokens == 0 {
		g.maxTokens = DefaultMaxTokens
	}
	return g
}

// await waits for the end of g. It reports whether g was completed.
func (e *engine) await(g *generation) bool {
	for {
		p := e.progress(g)
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

// stream writes the events of g from number from on. It ends without [DONE]
// when g is cancelled.
func (e *engine) stream(ctx *fasthttp.RequestCtx, g *generation, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for {
			p := e.progress(g)
			end := g.events(p)
			for ; from < end; from++ {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", from, g.event(from, p))
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

// events returns the number of events available at p: one for each token, then
// the finish reason, the usage when asked for, and [DONE].
func (g *generation) events(p progress) int {
	switch {
	case !p.done:
		return p.tokens
	case g.usage:
		return g.maxTokens + 3
	default:
		return g.maxTokens + 2
	}
}

// event returns the data of event i, which is available at p.
func (g *generation) event(i int, p progress) string {
	c := g.frame("text_completion", "chat.completion.chunk")
	switch {
	case i < g.maxTokens:
		c.Choices = []choice{g.delta(tokenOf(g.seed, i), i == 0)}
	case i == g.maxTokens:
		end := g.delta("", false)
		reason := "length"
		end.FinishReason = &reason
		c.Choices = []choice{end}
	case i == g.maxTokens+1 && g.usage:
		c.Choices = []choice{}
		c.Usage = g.usageAt(p)
	default:
		return "[DONE]"
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // completions are plain text and numbers
	}
	return string(b)
}

func (g *generation) delta(text string, first bool) choice {
	if !g.chat {
		return choice{Text: &text}
	}
	d := &chatContent{Content: text}
	if first {
		d.Role = "assistant"
	}
	return choice{Delta: d}
}

func (g *generation) frame(plain, chat string) completion {
	c := completion{ID: "cmpl-" + g.id, Object: plain, Created: g.created, Model: g.model}
	if g.chat {
		c.ID = "chatcmpl-" + g.id
		c.Object = chat
	}
	return c
}

func (g *generation) usageAt(p progress) *usage {
	u := &usage{PromptTokens: g.prompt, CompletionTokens: p.tokens, TotalTokens: g.prompt + p.tokens}
	u.Details.CachedTokens = p.cached
	return u
}

// whole returns the response to a request that was not streamed.
func (e *engine) whole(g *generation) completion {
	c := g.frame("text_completion", "chat.completion")
	text, reason := textOf(g.seed, g.maxTokens), "length"
	c.Choices = []choice{{Text: &text, FinishReason: &reason}}
	if g.chat {
		c.Choices = []choice{{Message: &chatContent{Role: "assistant", Content: text}, FinishReason: &reason}}
	}
	c.Usage = g.usageAt(e.progress(g))
	return c
}

func (e *engine) handleResume(ctx *fasthttp.RequestCtx, id string) {
	from, ok := queryUint(ctx, "from", 0)
	if !ok || from > 2*MaxTokensLimit {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", "from: want the number of an event")
		return
	}
	e.mu.Lock()
	g := e.byID[id]
	e.mu.Unlock()
	if g == nil {
		fail(ctx, fasthttp.StatusNotFound, "unknown_request", "no request "+id)
		return
	}
	ctx.Response.Header.Set(RequestIDHeader, id)
	e.stream(ctx, g, int(from))
}

type requestRow struct {
	ID     string `json:"id"`
	State  string `json:"state"` // "running" or "done"
	Events int    `json:"events"`
}

func (e *engine) handleRequests(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	rows := []requestRow{}
	for _, g := range e.finished {
		if e.byID[g.id] == g {
			rows = append(rows, requestRow{ID: g.id, State: stateDone, Events: g.events(progress{done: true})})
		}
	}
	for _, g := range e.active {
		if e.byID[g.id] == g {
			rows = append(rows, requestRow{ID: g.id, State: stateRunning, Events: int(g.generated)})
		}
	}
	e.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, map[string][]requestRow{"requests": rows})
}

// handleCancel responds with the state before the call. A finished request
// stays as it is.
func (e *engine) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	before := e.cancel(id)
	if before == "" {
		fail(ctx, fasthttp.StatusNotFound, "unknown_request", "no request "+id)
		return
	}
	reply(ctx, fasthttp.StatusOK, map[string]string{"id": id, "state": before})
}

func (e *engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	from, ok := queryUint(ctx, "from", 0)
	if !ok {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", "from: want the number of an event")
		return
	}
	e.mu.Lock()
	events, next := e.cache.visible(from, time.Now().Add(-e.lag(e.config.CacheLag)))
	e.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, map[string]any{"next": next, "events": events})
}

// holds reports whether some version of model is loaded.
func (e *engine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.models {
		if m.Name == model {
			return true
		}
	}
	return false
}
