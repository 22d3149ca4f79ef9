package standin

import (
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// weightStore is the weight store. Fetches above its rate get status 429.
type weightStore struct {
	srv     *server
	delay   time.Duration
	limiter *rate.Limiter
}

func newWeightStore(c *WeightsConfig, srv *server) *weightStore {
	limit := rate.Inf
	if c.FetchesPerMinute > 0 {
		limit = rate.Limit(c.FetchesPerMinute / time.Minute.Seconds())
	}
	w := &weightStore{srv: srv, delay: c.Delay.Std(), limiter: rate.NewLimiter(limit, max(1, c.Burst))}
	srv.lagIsDelay = true
	srv.handler = w.handle
	return w
}

func (w *weightStore) handle(ctx *fasthttp.RequestCtx) {
	p := segments(ctx)
	if len(p) != 4 || p[0] != "weights" || p[3] != "fetch" || !ctx.IsPost() {
		notFound(ctx)
		return
	}
	r := w.limiter.Reserve()
	if wait := r.Delay(); wait > 0 {
		r.Cancel()
		failLater(ctx, wait, "fetch_rate", "more fetches a minute than the weight store takes")
		return
	}
	w.srv.pause(w.srv.faults.scaled(w.delay))
	reply(ctx, fasthttp.StatusOK, state.ModelSpec{Name: p[1], Version: p[2]})
}
