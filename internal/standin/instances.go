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

// instanceList serves the platform's instance list. A change becomes visible to
// readers after the lag.
type instanceList struct {
	srv *server
	now func() time.Time

	mu       sync.Mutex
	members  map[state.InstanceID]state.Member
	versions []listVersion // oldest first, never empty
}

// listVersion is the content of the list since a point in time, as a response
// body with its ETag.
type listVersion struct {
	since time.Time
	body  []byte
	etag  string
}

type instancesResponse struct {
	Instances []state.Member `json:"instances"`
}

func newInstanceList(c *InstancesConfig, srv *server) *instanceList {
	l := &instanceList{srv: srv, now: time.Now, members: map[state.InstanceID]state.Member{}}
	for _, m := range c.Members {
		l.members[m.Instance] = m
	}
	l.versions = []listVersion{l.newVersion(time.Time{})}
	srv.faults.lag = c.Lag.Std()
	srv.handler = l.handle
	return l
}

func (l *instanceList) handle(ctx *fasthttp.RequestCtx) {
	segments := pathSegments(ctx)
	switch {
	case len(segments) == 1 && segments[0] == "instances" && ctx.IsGet():
		l.handleList(ctx)
	case len(segments) == 3 && segments[0] == "admin" && segments[1] == "instances":
		l.handleChange(ctx, state.InstanceID(segments[2]))
	default:
		replyNotFound(ctx)
	}
}

func (l *instanceList) handleList(ctx *fasthttp.RequestCtx) {
	v := l.visibleVersion()
	ctx.Response.Header.Set("ETag", v.etag)
	if string(ctx.Request.Header.Peek("If-None-Match")) == v.etag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(v.body)
}

// handleChange adds or replaces one member on PUT, and removes it on DELETE.
func (l *instanceList) handleChange(ctx *fasthttp.RequestCtx, id state.InstanceID) {
	if ctx.IsDelete() {
		l.update(func() { delete(l.members, id) })
		return
	}
	var m state.Member
	if !ctx.IsPut() || json.Unmarshal(ctx.PostBody(), &m) != nil || m.Instance != "" && m.Instance != id {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", "want PUT with a member whose instance is the one in the path, or DELETE")
		return
	}
	m.Instance = id
	l.update(func() { l.members[id] = m })
}

// update changes the members by mutate and adds a version of the list.
func (l *instanceList) update(mutate func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mutate()
	l.versions = append(l.versions, l.newVersion(l.now()))
}

// newVersion returns the current members, sorted by instance, as a version of
// the list.
func (l *instanceList) newVersion(since time.Time) listVersion {
	sorted := slices.SortedFunc(maps.Values(l.members), func(a, b state.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	if sorted == nil {
		sorted = []state.Member{}
	}
	body, err := json.Marshal(instancesResponse{Instances: sorted})
	if err != nil {
		panic(err) // members are plain text and booleans
	}
	return listVersion{since: since, body: body, etag: strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))}
}

// visibleVersion returns the newest version that is at least as old as the lag,
// or the oldest one if there is none. It drops the versions before it.
func (l *instanceList) visibleVersion() listVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := l.now().Add(-l.srv.faults.currentLag())
	n := 0
	for n+1 < len(l.versions) && !l.versions[n+1].since.After(cutoff) {
		n++
	}
	l.versions = l.versions[n:]
	return l.versions[0]
}
