package standin

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// instanceList is the platform's instance list. A change becomes visible after
// the lag.
type instanceList struct {
	srv *server
	now func() time.Time

	mu      sync.Mutex
	members map[state.InstanceID]state.Member
	history []listing // oldest first, never empty
}

// listing is the list as it was from a time on.
type listing struct {
	from time.Time
	body []byte
	etag string
}

type instancesBody struct {
	Instances []state.Member `json:"instances"`
}

func newInstanceList(c *InstancesConfig, srv *server) *instanceList {
	l := &instanceList{srv: srv, now: time.Now, members: map[state.InstanceID]state.Member{}}
	for _, m := range c.Members {
		l.members[m.Instance] = m
	}
	l.history = []listing{l.listing(time.Time{})}
	srv.faults.lag = c.Lag.Std()
	srv.handler = l.handle
	return l
}

func (l *instanceList) handle(ctx *fasthttp.RequestCtx) {
	p := segments(ctx)
	switch {
	case len(p) == 1 && p[0] == "instances" && ctx.IsGet():
		l.handleList(ctx)
	case len(p) == 3 && p[0] == "admin" && p[1] == "instances":
		l.handleChange(ctx, state.InstanceID(p[2]))
	default:
		notFound(ctx)
	}
}

func (l *instanceList) handleList(ctx *fasthttp.RequestCtx) {
	v := l.visible()
	ctx.Response.Header.Set("ETag", v.etag)
	if string(ctx.Request.Header.Peek("If-None-Match")) == v.etag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(v.body)
}

// handleChange sets one member on PUT and removes it on DELETE.
func (l *instanceList) handleChange(ctx *fasthttp.RequestCtx, id state.InstanceID) {
	if ctx.IsDelete() {
		l.change(func() { delete(l.members, id) })
		return
	}
	var m state.Member
	if !ctx.IsPut() || json.Unmarshal(ctx.PostBody(), &m) != nil || m.Instance != "" && m.Instance != id {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", "want PUT with a member whose instance is the one in the path, or DELETE")
		return
	}
	m.Instance = id
	l.change(func() { l.members[id] = m })
}

func (l *instanceList) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.history = append(l.history, l.listing(l.now()))
}

func (l *instanceList) listing(from time.Time) listing {
	sorted := slices.SortedFunc(maps.Values(l.members), func(a, b state.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	if sorted == nil {
		sorted = []state.Member{}
	}
	body, err := json.Marshal(instancesBody{Instances: sorted})
	if err != nil {
		panic(err) // members are plain text and booleans
	}
	return listing{from: from, body: body, etag: strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))}
}

// visible returns the newest listing that is at least as old as the lag, and
// drops those before it.
func (l *instanceList) visible() listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.now().Add(-l.srv.faults.currentLag())
	n := 0
	for n+1 < len(l.history) && !l.history[n+1].from.After(limit) {
		n++
	}
	l.history = l.history[n:]
	return l.history[0]
}
