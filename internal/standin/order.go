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

// fetchTimeout bounds a call to the weight store. It is below the 2 s after
// which the sender of an order gives up.
const fetchTimeout = 1500 * time.Millisecond

// order is the body of POST /orders. Adapters and Role are left as they are
// when absent.
type order struct {
	Fence    uint64            `json:"fence"`
	Load     []state.ModelSpec `json:"load"`
	Unload   []state.ModelSpec `json:"unload"`
	Adapters *[]string         `json:"adapters"`
	Role     string            `json:"role"`
}

// orderResult is the response to an order: what the engine holds after it.
type orderResult struct {
	Fence    uint64            `json:"fence"`
	Models   []state.ModelSpec `json:"models"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
}

func (e *engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.passesFence(ctx, o.Fence) {
		return
	}
	for _, m := range o.Load {
		if !e.fetch(ctx, m) {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fenceOK(ctx, o.Fence) { // a newer order may have passed during the fetch
		return
	}
	e.apply(&o)
	reply(ctx, fasthttp.StatusOK, orderResult{Fence: e.fence, Models: e.models, Adapters: e.adapters, Role: e.role})
}

func (e *engine) passesFence(ctx *fasthttp.RequestCtx, fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fenceOK(ctx, fence)
}

// fenceOK records the number, or rejects an old one when the engine checks.
func (e *engine) fenceOK(ctx *fasthttp.RequestCtx, fence uint64) bool {
	if e.config.ChecksFence && fence < e.fence {
		fail(ctx, fasthttp.StatusConflict, "old_fence", fmt.Sprintf("fence %d is older than %d", fence, e.fence))
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// apply changes models, adapters and role. It never writes to the slices in
// place, because load figures share them.
func (e *engine) apply(o *order) {
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
	e.report(time.Now())
}

// fetch gets the weights of m unless they are loaded. On failure it writes the
// response: the weight store's own 429, or 503.
func (e *engine) fetch(ctx *fasthttp.RequestCtx, m state.ModelSpec) bool {
	e.mu.Lock()
	loaded := slices.Contains(e.models, m)
	e.mu.Unlock()
	if loaded || e.weights == "" {
		return true
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(e.weights + "/weights/" + url.PathEscape(m.Name) + "/" + url.PathEscape(m.Version) + "/fetch")
	req.SetConnectionClose()
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, fetchTimeout); err != nil {
		fail(ctx, fasthttp.StatusServiceUnavailable, "weights_unavailable", "weight store: "+err.Error())
		return false
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return true
	case fasthttp.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After"))) // 0 becomes 1 below
		failLater(ctx, time.Duration(seconds)*time.Second, "fetch_rate", "weight store: too many fetches")
		return false
	default:
		fail(ctx, fasthttp.StatusServiceUnavailable, "weights_unavailable", fmt.Sprintf("weight store: status %d", resp.StatusCode()))
		return false
	}
}
