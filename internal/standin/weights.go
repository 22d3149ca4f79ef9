package standin

import (
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// weightStore is the weight store. Fetches above its rate limit get status 429.
type weightStore struct {
	srv        *server
	fetchDelay time.Duration
	limiter    *rate.Limiter
}

func newWeightStore(c *WeightsConfig, srv *server) *weightStore {
	limit := rate.Inf
	if c.FetchesPerMinute > 0 {
		limit = rate.Limit(c.FetchesPerMinute / time.Minute.Seconds())
	}
	w := &weightStore{srv: srv, fetchDelay: c.Delay.Std(), limiter: rate.NewLimiter(limit, max(1, c.Burst))}
	srv.lagDelaysCalls = true
	srv.handler = w.handle
	return w
}

func (w *weightStore) handle(ctx *fasthttp.RequestCtx) {
	segments := pathSegments(ctx)
	if len(segments) != 4 || segments[0] != "weights" || segments[3] != "fetch" || !ctx.IsPost() {
		replyNotFound(ctx)
		return
	}
	r := w.limiter.Reserve()
	if wait := r.Delay(); wait > 0 {
		r.Cancel()
		replyRetryAfter(ctx, wait, "fetch_rate", "more fetches a minute than the weight store takes")
		return
	}
	w.srv.sleep(w.srv.faults.scaled(w.fetchDelay))
	replyJSON(ctx, fasthttp.StatusOK, state.ModelSpec{Name: segments[1], Version: segments[2]})
}
