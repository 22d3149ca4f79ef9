package entryhttp

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

// authenticator finds the customer of a bearer key in a bundle. It caches the
// index of the last bundle.
type authenticator struct{ cached atomic.Pointer[customerIndex] }

type customerIndex struct {
	bundle    *state.Bundle
	byKeyHash map[string]*state.CustomerPolicy // by lower-case hexadecimal SHA-256 of the bearer key
}

// authenticate returns the customer whose bearer key the Authorization header
// contains.
func (a *authenticator) authenticate(b *state.Bundle, authorization string) (*state.CustomerPolicy, *failure) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, invalidRequest(http.StatusUnauthorized, codeInvalidKey, "a bearer key is required")
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	customer := a.index(b).byKeyHash[hex.EncodeToString(sum[:])]
	if customer == nil {
		return nil, invalidRequest(http.StatusUnauthorized, codeInvalidKey, "the bearer key is not known")
	}
	return customer, nil
}

// index returns the index of b and builds it when b is not the bundle of the last
// call.
func (a *authenticator) index(b *state.Bundle) *customerIndex {
	if i := a.cached.Load(); i != nil && i.bundle == b {
		return i
	}
	i := &customerIndex{bundle: b, byKeyHash: make(map[string]*state.CustomerPolicy, len(b.Customers))}
	for n := range b.Customers {
		for _, keyHash := range b.Customers[n].KeySHA256 {
			i.byKeyHash[keyHash] = &b.Customers[n]
		}
	}
	a.cached.Store(i)
	return i
}

// parsedRequest is a request to the service and how the caller wants the
// response.
type parsedRequest struct {
	request      state.Request
	promptBlocks []uint64
	stream       bool // the caller asked for server-sent events
	includeUsage bool // the caller asked for a usage chunk at the end of the stream
}

// modelBody holds the fields of a chat completion or completion that this package
// reads.
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

// parseModelRequest parses a chat completion or completion and finds the service
// that serves its model.
func parseModelRequest(b *state.Bundle, kind state.RequestKind, path string, body []byte) (*parsedRequest, *state.ServicePolicy, *failure) {
	var m modelBody
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, nil, invalidRequest(http.StatusBadRequest, codeInvalidRequest, "body: "+err.Error())
	}
	service, ok := b.ServiceForModel(m.Model)
	if !ok {
		return nil, nil, invalidRequest(http.StatusNotFound, codeModelNotFound, fmt.Sprintf("model %q is not served", m.Model))
	}
	targetBody, err := enableStreaming(body)
	if err != nil {
		return nil, nil, invalidRequest(http.StatusBadRequest, codeInvalidRequest, "body: "+err.Error())
	}
	prompt := m.promptBytes(kind)
	parsed := &parsedRequest{stream: m.Stream, includeUsage: m.StreamOptions.IncludeUsage, promptBlocks: state.PromptBlockHashes(prompt)}
	parsed.request = state.Request{
		Kind: kind, Service: service.Name, Model: m.Model,
		PromptTokens: (len(prompt) + state.BytesPerToken - 1) / state.BytesPerToken,
		MaxTokens:    m.maxTokens(service),
		Method:       http.MethodPost, Path: path, Body: targetBody,
		Headers:    []state.Header{{Name: "Content-Type", Value: "application/json"}},
		Idempotent: !service.NonIdempotent,
	}
	return parsed, service, nil
}

// enableStreaming returns the body with streaming and the usage chunk turned on.
// Equal bodies give equal results, because the fingerprint that detects the reuse
// of an idempotency key for another request is computed from the result.
func enableStreaming(body []byte) ([]byte, error) {
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
	if options == nil { // the caller set stream_options to null
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

// maxTokens returns the largest number of output tokens over all choices, computed
// from the service's expected output when the request sets no maximum.
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
func (m *modelBody) promptBytes(kind state.RequestKind) []byte {
	if kind == state.Completion {
		return promptText(m.Prompt)
	}
	messages := make([]state.Message, len(m.Messages))
	for i, message := range m.Messages {
		messages[i] = state.Message{Role: message.Role, Content: string(promptText(message.Content))}
	}
	return state.ChatPrompt(messages)
}

// promptText returns the text of a JSON string. Any other value, such as a list of
// content parts, is returned as JSON.
func promptText(raw json.RawMessage) []byte {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	return bytes.TrimSpace(raw)
}

// parsePlainRequest parses a call of a plain service. uri is the request URI, whose
// part after the service name becomes the path at the target.
func parsePlainRequest(b *state.Bundle, ctx *fasthttp.RequestCtx, uri string, body []byte) (*parsedRequest, *state.ServicePolicy, *failure) {
	rest := strings.TrimPrefix(uri, servicesPrefix)
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, path := rest[:end], rest[end:]
	service, ok := b.ServiceByName(state.Service(name))
	if !ok || service.Kind != state.PlainService {
		return nil, nil, invalidRequest(http.StatusNotFound, codeNotFound, fmt.Sprintf("plain service %q does not exist", name))
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	method := string(ctx.Method())
	parsed := &parsedRequest{request: state.Request{
		Kind: state.PlainCall, Service: service.Name,
		Method: method, Path: path, Body: body,
		Headers:    forwardedHeaders(&ctx.Request.Header),
		Idempotent: method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions,
	}}
	return parsed, service, nil
}

// applyHeaders sets customer, tier, deadline, idempotency and idempotency key of
// the request. Only a non-idempotent request has a key.
func (p *parsedRequest) applyHeaders(b *state.Bundle, h *fasthttp.RequestHeader, customer *state.CustomerPolicy, service *state.ServicePolicy, now time.Time) *failure {
	r := &p.request
	r.Customer, r.Weight = customer.Name, customer.Weight
	var f *failure
	if r.Tier, f = requestedTier(b, string(h.Peek(headerTier)), customer, service); f != nil {
		return f
	}
	timeout, f := requestedTimeout(b, string(h.Peek(headerTimeout)), r.Tier)
	if f != nil {
		return f
	}
	r.Deadline = now.Add(timeout)
	switch v := string(h.Peek(headerIdempotent)); v {
	case "":
	case "true", "false":
		r.Idempotent = v == "true"
	default:
		return invalidRequest(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: %q, want true or false", headerIdempotent, v))
	}
	key := string(h.Peek(headerIdempotencyKey))
	if len(key) > maxIdempotencyKeyBytes {
		return invalidRequest(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	if key != "" && !r.Idempotent {
		sum := sha256.Sum256([]byte(string(customer.Name) + "\x00" + key))
		r.ClaimKey = hex.EncodeToString(sum[:])
	}
	return nil
}

// requestedTier returns the tier called name. An empty name means the service's
// default tier, or the customer's highest tier if the default is above it.
func requestedTier(b *state.Bundle, name string, customer *state.CustomerPolicy, service *state.ServicePolicy) (state.Tier, *failure) {
	highest, ok := b.TierByName(customer.HighestTier)
	if !ok {
		return 0, invalidRequest(http.StatusForbidden, codeTierNotAllowed, "the customer has no tier")
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
		return 0, invalidRequest(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: %q is not a tier", headerTier, name))
	}
	if tier.HigherThan(highest) {
		return 0, invalidRequest(http.StatusForbidden, codeTierNotAllowed, fmt.Sprintf("tier %q is above the customer's highest tier %q", name, customer.HighestTier))
	}
	return tier, nil
}

// requestedTimeout returns the timeout that value states, or the tier's timeout if
// value is empty.
func requestedTimeout(b *state.Bundle, value string, tier state.Tier) (time.Duration, *failure) {
	if value == "" {
		return b.Tiers[tier].Timeout.Std(), nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, invalidRequest(http.StatusBadRequest, codeInvalidRequest, fmt.Sprintf("%s: %q, want a duration above 0 and up to %s", headerTimeout, value, maxTimeout))
	}
	return d, nil
}
