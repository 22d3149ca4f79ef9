package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// customers finds customers by bearer key in the bundle in effect.
type customers struct{ cached atomic.Pointer[customerIndex] }

type customerIndex struct {
	bundle *state.Bundle
	byKey  map[string]*state.CustomerPolicy // by hexadecimal SHA-256
}

// find returns the customer of the Authorization header.
func (c *customers) find(b *state.Bundle, authorization string) (*state.CustomerPolicy, *failure) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, invalid(http.StatusUnauthorized, codeInvalidKey, "a bearer key is required")
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	customer := c.index(b).byKey[hex.EncodeToString(sum[:])]
	if customer == nil {
		return nil, invalid(http.StatusUnauthorized, codeInvalidKey, "the bearer key is not known")
	}
	return customer, nil
}

// index returns the index of b, which is built once for each bundle.
func (c *customers) index(b *state.Bundle) *customerIndex {
	if i := c.cached.Load(); i != nil && i.bundle == b {
		return i
	}
	i := &customerIndex{bundle: b, byKey: make(map[string]*state.CustomerPolicy, len(b.Customers))}
	for n := range b.Customers {
		for _, key := range b.Customers[n].KeySHA256 {
			i.byKey[key] = &b.Customers[n]
		}
	}
	c.cached.Store(i)
	return i
}

// call is a parsed request.
type call struct {
	request state.Request
	blocks  []uint64
	stream  bool // the caller asked for server-sent events
	usage   bool // the caller asked for the usage chunk
}

// modelBody holds the fields of a model request that are used here.
type modelBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseModel parses a chat completion or completion.
func parseModel(b *state.Bundle, kind state.Kind, path string, body []byte) (*call, *state.ServicePolicy, *failure) {
	var m modelBody
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, nil, invalid(http.StatusBadRequest, codeInvalidRequest, "body: "+err.Error())
	}
	service, ok := b.ServiceForModel(m.Model)
	if !ok {
		return nil, nil, invalid(http.StatusNotFound, codeModelNotFound, fmt.Sprintf("model %q is not served", m.Model))
	}
	upstream, err := streamedBody(body)
	if err != nil {
		return nil, nil, invalid(http.StatusBadRequest, codeInvalidRequest, "body: "+err.Error())
	}
	prompt := m.promptBytes(kind)
	c := &call{stream: m.Stream, usage: m.StreamOptions.IncludeUsage, blocks: state.PromptBlocks(prompt)}
	c.request = state.Request{
		Kind: kind, Service: service.Name, Model: m.Model,
		PromptTokens: (len(prompt) + state.BytesPerToken - 1) / state.BytesPerToken,
		MaxTokens:    m.maxTokens(service),
		Method:       http.MethodPost, Path: path, Body: upstream,
		Headers:    []state.Header{{Name: "Content-Type", Value: "application/json"}},
		Idempotent: !service.NonIdempotent,
	}
	return c, service, nil
}

// streamedBody returns the body with streaming and the usage chunk turned on.
// Equal bodies give equal results, which the fingerprint of a key relies on.
func streamedBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	options := make(map[string]json.RawMessage)
	if raw := fields["stream_options"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, err
		}
	}
	if options == nil { // stream_options was null
		options = make(map[string]json.RawMessage)
	}
	options["include_usage"] = json.RawMessage("true")
	fields["stream"] = json.RawMessage("true")
	raw, err := json.Marshal(options)
	if err != nil {
		return nil, err
	}
	fields["stream_options"] = raw
	return json.Marshal(fields)
}

// maxTokens bounds the output over all choices.
func (m *modelBody) maxTokens(service *state.ServicePolicy) int {
	tokens := m.MaxCompletionTokens
	if tokens <= 0 {
		tokens = m.MaxTokens
	}
	if tokens <= 0 {
		tokens = service.MaxTokens
	}
	return tokens * max(1, m.N)
}

// promptBytes returns the bytes that the prompt blocks are computed from.
func (m *modelBody) promptBytes(kind state.Kind) []byte {
	if kind == state.Completion {
		return textOf(m.Prompt)
	}
	messages := make([]state.Message, len(m.Messages))
	for i, message := range m.Messages {
		messages[i] = state.Message{Role: message.Role, Content: string(textOf(message.Content))}
	}
	return state.ChatPrompt(messages)
}

// textOf returns a JSON string's text and any other value, such as a list of
// content parts, as written.
func textOf(raw json.RawMessage) []byte {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	return bytes.TrimSpace(raw)
}

// parsePlain parses a call of a plain service. uri is the request URI.
func parsePlain(b *state.Bundle, ctx *fasthttp.RequestCtx, uri string, body []byte) (*call, *state.ServicePolicy, *failure) {
	rest := strings.TrimPrefix(uri, servicesPrefix)
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, path := rest[:end], rest[end:]
	service, ok := b.ServiceByName(state.Service(name))
	if !ok || service.Kind != state.PlainService {
		return nil, nil, invalid(http.StatusNotFound, codeNotFound, fmt.Sprintf("plain service %q does not exist", name))
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	method := string(ctx.Method())
	c := &call{request: state.Request{
		Kind: state.PlainCall, Service: service.Name,
		Method: method, Path: path, Body: body,
		Headers:    passedHeaders(&ctx.Request.Header),
		Idempotent: method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions,
	}}
	return c, service, nil
}

// applyHeaders sets customer, tier, deadline, idempotency and key of c.
func (c *call) applyHeaders(b *state.Bundle, h *fasthttp.RequestHeader, customer *state.CustomerPolicy, service *state.ServicePolicy, now time.Time) *failure {
	r := &c.request
	r.Customer, r.Weight = customer.Name, customer.Weight
	var f *failure
	if r.Tier, f = tierOf(b, string(h.Peek(headerTier)), customer, service); f != nil {
		return f
	}
	timeout, f := timeoutOf(b, string(h.Peek(headerTimeout)), r.Tier)
	if f != nil {
		return f
	}
	r.Deadline = now.Add(timeout)
	switch v := string(h.Peek(headerIdempotent)); v {
	case "":
	case "true", "false":
		r.Idempotent = v == "true"
	default:
		return invalid(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: %q, want true or false", headerIdempotent, v))
	}
	key := string(h.Peek(headerKey))
	if len(key) > maxKey {
		return invalid(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: longer than %d bytes", headerKey, maxKey))
	}
	if key != "" && !r.Idempotent {
		sum := sha256.Sum256([]byte(string(customer.Name) + "\x00" + key))
		r.Key = hex.EncodeToString(sum[:])
	}
	return nil
}

// tierOf returns the tier asked for, or the service's default limited to the
// customer's highest.
func tierOf(b *state.Bundle, name string, customer *state.CustomerPolicy, service *state.ServicePolicy) (state.Tier, *failure) {
	highest, ok := b.TierByName(customer.HighestTier)
	if !ok {
		return 0, invalid(http.StatusForbidden, codeTierNotAllowed, "the customer has no tier")
	}
	if name == "" {
		tier, ok := b.TierByName(service.DefaultTier)
		if !ok || tier.HigherThan(highest) {
			tier = highest
		}
		return tier, nil
	}
	tier, ok := b.TierByName(name)
	if !ok {
		return 0, invalid(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: %q is not a tier", headerTier, name))
	}
	if tier.HigherThan(highest) {
		return 0, invalid(http.StatusForbidden, codeTierNotAllowed, fmt.Sprintf("tier %q is above the customer's highest tier %q", name, customer.HighestTier))
	}
	return tier, nil
}

// timeoutOf returns the timeout asked for, or the tier's.
func timeoutOf(b *state.Bundle, value string, tier state.Tier) (time.Duration, *failure) {
	if value == "" {
		return b.Tiers[tier].Timeout.Std(), nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, invalid(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: %q, want a duration above 0 and up to %s", headerTimeout, value, maxTimeout))
	}
	return d, nil
}
