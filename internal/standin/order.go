package standin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// fetchTimeout bounds a call to the weight store. It is below the 2 s timeout of
// the sender of an order.
const fetchTimeout = 1500 * time.Millisecond

// orderRequest is the body of POST /orders. Without adapters or role, those of
// the engine do not change.
type orderRequest struct {
	Fence    uint64            `json:"fence"`
	Load     []state.ModelSpec `json:"load"`
	Unload   []state.ModelSpec `json:"unload"`
	Adapters *[]string         `json:"adapters"`
	Role     string            `json:"role"`
}

// orderResponse is the response to an order: the state of the engine after it.
type orderResponse struct {
	Fence    uint64            `json:"fence"`
	Models   []state.ModelSpec `json:"models"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
}

func (e *engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o orderRequest
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.acceptsFence(ctx, o.Fence) {
		return
	}
	for _, m := range o.Load {
		if !e.fetchWeights(ctx, m) {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptsFenceLocked(ctx, o.Fence) { // a newer order may have been accepted during the fetch
		return
	}
	e.applyOrder(&o)
	replyJSON(ctx, fasthttp.StatusOK, orderResponse{Fence: e.highestFence, Models: e.models, Adapters: e.adapters, Role: e.role})
}

// acceptsFence is acceptsFenceLocked for callers that do not hold the mutex.
func (e *engine) acceptsFence(ctx *fasthttp.RequestCtx, fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acceptsFenceLocked(ctx, fence)
}

// acceptsFenceLocked reports whether an order with this fencing token may run. An
// engine with ChecksFence rejects a token below the highest one seen, and the
// function then writes the error response. Otherwise it updates the highest token.
// The caller holds the mutex.
func (e *engine) acceptsFenceLocked(ctx *fasthttp.RequestCtx, fence uint64) bool {
	if e.config.ChecksFence && fence < e.highestFence {
		replyError(ctx, fasthttp.StatusConflict, "old_fence", fmt.Sprintf("fence %d is older than %d", fence, e.highestFence))
		return false
	}
	e.highestFence = max(e.highestFence, fence)
	return true
}

// applyOrder changes models, adapters and role. It does not modify the slices in
// place, because load reports share them. The caller holds the mutex.
func (e *engine) applyOrder(o *orderRequest) {
	models := slices.Clone(e.models)
	for _, m := range o.Load {
		if !slices.Contains(models, m) {
			models = append(models, m)
		}
	}
	e.models = slices.DeleteFunc(models, func(m state.ModelSpec) bool { return slices.Contains(o.Unload, m) })
	if o.Adapters != nil {
		e.adapters = *o.Adapters
	}
	if o.Role != "" {
		e.role = o.Role
	}
	e.recordLoad(time.Now())
}

// fetchWeights fetches the weights of m from the weight store unless m is loaded
// or there is no weight store. On failure it returns false and writes the
// response: status 429 if the weight store responded with it, else 503.
func (e *engine) fetchWeights(ctx *fasthttp.RequestCtx, m state.ModelSpec) bool {
	e.mu.Lock()
	loaded := slices.Contains(e.models, m)
	e.mu.Unlock()
	if loaded || e.weightStoreURL == "" {
		return true
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(e.weightStoreURL + "/weights/" + url.PathEscape(m.Name) + "/" + url.PathEscape(m.Version) + "/fetch")
	req.SetConnectionClose()
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, fetchTimeout); err != nil {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "weights_unavailable", "weight store: "+err.Error())
		return false
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return true
	case fasthttp.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After"))) // replyRetryAfter turns 0 into 1
		replyRetryAfter(ctx, time.Duration(seconds)*time.Second, "fetch_rate", "weight store: too many fetches")
		return false
	default:
		replyError(ctx, fasthttp.StatusServiceUnavailable, "weights_unavailable", fmt.Sprintf("weight store: status %d", resp.StatusCode()))
		return false
	}
}
