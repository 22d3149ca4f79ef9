package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Counters are the counters and histograms of an entry, by route.
type Counters struct {
	mu     sync.Mutex
	counts map[string]int64
	times  map[string]*hdrhistogram.Histogram
}

// NewCounters publishes the counters under the name "gateway" when publish is
// set. Names can be published once in a process.
func NewCounters(publish bool) *Counters {
	c := &Counters{counts: make(map[string]int64), times: make(map[string]*hdrhistogram.Histogram)}
	if publish {
		expvar.Publish("gateway", expvar.Func(c.snapshot))
	}
	return c
}

// Add adds one to a counter.
func (c *Counters) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// Bounds of the latency histograms, in microseconds.
const (
	lowestTime  = 100
	highestTime = 60_000_000
	timeDigits  = 2
)

func (c *Counters) observe(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.times[name]
	if h == nil {
		h = hdrhistogram.New(lowestTime, highestTime, timeDigits)
		c.times[name] = h
	}
	// A value out of range is clamped, so recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestTime), highestTime))
}

func (c *Counters) first(r *state.Route, d time.Duration) { c.observe("first."+r.Name, d) }

func (c *Counters) snapshot() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]any, len(c.counts)+len(c.times))
	for name, n := range c.counts {
		out[name] = n
	}
	for name, h := range c.times {
		out["ms."+name] = map[string]any{
			"count": h.TotalCount(), "p50": float64(h.ValueAtQuantile(50)) / 1000, "p95": float64(h.ValueAtQuantile(95)) / 1000,
			"p99": float64(h.ValueAtQuantile(99)) / 1000, "max": float64(h.Max()) / 1000,
		}
	}
	return out
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

func (r *request) customerName() state.Customer {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

func (r *request) version() int64 {
	if r.table == nil {
		return 0
	}
	return r.table.Config.Version
}

// answering records that the response to the caller begins.
func (r *request) answering() {
	r.firstAfter = time.Since(r.arrived)
	r.service.cfg.Counters.first(r.route, r.firstAfter)
}

// whole answers with a target's complete response.
func (r *request) whole(g *dispatch.Grant, head *state.Response, body []byte) {
	r.answering()
	if err := r.out.Whole(head, body); err != nil {
		r.logCallerError("response", err)
	}
	r.done(g, head.Status, "complete")
}

// fail answers with a failure of the entry's own.
func (r *request) fail(f Failure) {
	r.service.cfg.Counters.Add("failed." + f.Kind.String() + "." + f.Reason)
	traffic.CountRequest(r.key(), failedOutcome(f.Kind))
	r.log.Info("request failed", zap.String("request", string(r.call.ID)), zap.String("route", r.routeName()),
		zap.String("customer", string(r.customerName())), zap.Int64("configuration", r.version()),
		zap.String("outcome", f.Kind.String()), zap.String("reason", f.Reason), zap.Duration("retry_after", f.RetryAfter),
		zap.Duration("after", time.Since(r.arrived)), zap.Int("runs", r.runs), zap.NamedError("cause", r.lastErr))
	if err := r.out.Fail(f); err != nil {
		r.logCallerError("failure", err)
	}
}

// abort ends a stream that cannot be completed.
func (r *request) abort(reason string) {
	r.service.cfg.Counters.Add("aborted." + reason)
	traffic.CountRequest(r.key(), traffic.Unknown)
	r.log.Info("stream aborted", zap.String("request", string(r.call.ID)), zap.String("route", r.routeName()),
		zap.String("reason", reason), zap.String("last_event", r.last), zap.Int("runs", r.runs),
		zap.Duration("after", time.Since(r.arrived)), zap.NamedError("cause", r.lastErr))
	r.out.Abort()
}

func (r *request) callerLeft() {
	r.service.cfg.Counters.Add("caller_left")
	traffic.CountRequest(r.key(), traffic.Other)
	r.log.Info("caller left", zap.String("request", string(r.call.ID)), zap.String("route", r.routeName()),
		zap.Duration("after", time.Since(r.arrived)), zap.Bool("begun", r.begun))
	r.out.Abort()
}

// done records a request that was answered by a target.
func (r *request) done(g *dispatch.Grant, status int, outcome string) {
	took := time.Since(r.arrived)
	r.service.cfg.Counters.Add("answered." + r.route.Name)
	traffic.CountRequest(r.key(), r.answeredOutcome(status))
	r.service.cfg.Counters.observe("whole."+r.route.Name, took)
	r.log.Info("request answered", zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.String("target", string(g.Target.ID)), zap.Int("status", status), zap.String("outcome", outcome),
		zap.Duration("first_after", r.firstAfter), zap.Duration("after", took), zap.Int("runs", r.runs+1),
		zap.Bool("returned", r.ask.Returned))
}

func (r *request) logChosen(g *dispatch.Grant) {
	r.log.Info("target chosen", zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.String("customer", string(r.customerName())), zap.Int("rank", r.ask.Rank), zap.Int64("configuration", r.version()),
		zap.String("policy", g.Policy), zap.String("target", string(g.Target.ID)), zap.String("domain", string(g.Target.Domain)),
		zap.Int("used", g.Used), zap.Int("slots", g.Slots), zap.Int("candidates", g.Candidates),
		zap.Duration("waited", g.Waited), zap.Duration("left", time.Until(r.deadline)), zap.Int("tried", len(r.ask.Tried)))
}

func (r *request) logRefused(f *dispatch.Refusal) {
	r.log.Info("placement refused", zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.Int("rank", r.ask.Rank), zap.String("reason", f.Reason), zap.Int("ahead", f.Waiting),
		zap.Duration("predicted", f.Predicted), zap.Duration("objective", r.route.Objective))
}

func (r *request) logEnded(g *dispatch.Grant, o dispatch.Outcome, err error, again bool) {
	r.service.cfg.Counters.Add("attempt." + o.String())
	r.log.Info("attempt failed", zap.String("request", string(r.call.ID)), zap.String("target", string(g.Target.ID)),
		zap.String("outcome", o.String()), zap.Bool("again", again), zap.Int("runs", r.runs), zap.NamedError("cause", err))
}

func (r *request) logCallerError(step string, err error) {
	r.log.Info("write to caller failed", zap.String("request", string(r.call.ID)), zap.String("step", step), zap.Error(err))
}
