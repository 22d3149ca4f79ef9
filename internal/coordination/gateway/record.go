package gateway

import (
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Counters holds an entry's event counters and latency histograms by name. It is
// safe for concurrent use.
type Counters struct {
	mu        sync.Mutex
	counts    map[string]int64
	latencies map[string]*hdrhistogram.Histogram
}

// NewCounters returns empty counters. If publish is set, they are published as the
// expvar "gateway", which is possible once in a process.
func NewCounters(publish bool) *Counters {
	c := &Counters{counts: make(map[string]int64), latencies: make(map[string]*hdrhistogram.Histogram)}
	if publish {
		expvar.Publish("gateway", expvar.Func(c.snapshot))
	}
	return c
}

// Add increments the named counter.
func (c *Counters) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// Range and precision of the latency histograms.
const (
	minLatencyMicros = 100
	maxLatencyMicros = 60_000_000
	latencyDigits    = 2 // significant decimal digits
)

// observeLatency adds d to the named histogram.
func (c *Counters) observeLatency(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.latencies[name]
	if h == nil {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
		c.latencies[name] = h
	}
	// The value is clamped to the range, so recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (c *Counters) observeFirstResponse(r *state.Route, d time.Duration) {
	c.observeLatency("first."+r.Name, d)
}

// snapshot returns the counters, and the quantiles of the histograms in
// milliseconds.
func (c *Counters) snapshot() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]any, len(c.counts)+len(c.latencies))
	for name, n := range c.counts {
		out[name] = n
	}
	for name, h := range c.latencies {
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

func (r *request) configurationVersion() int64 {
	if r.table == nil {
		return 0
	}
	return r.table.Config.Version
}

// recordResponseStart records the time until the response to the caller begins.
func (r *request) recordResponseStart() {
	r.timeToResponse = time.Since(r.arrived)
	r.service.cfg.Counters.observeFirstResponse(r.route, r.timeToResponse)
}

// respond passes a target's complete response to the caller.
func (r *request) respond(a *attempt, head *state.Response, body []byte) {
	r.recordResponseStart()
	if err := r.responder.Respond(head, body); err != nil {
		r.logCallerError("response", err)
	}
	r.recordAnswered(a, head)
}

// fail answers the caller with an error response of the entry itself.
func (r *request) fail(f Failure) {
	r.service.cfg.Counters.Add("failed." + f.Kind.String() + "." + f.Reason)
	traffic.CountRequest(r.counterKey(), failureOutcome(f.Kind))
	r.log.Info("request failed", zap.String("request", string(r.call.ID)), zap.String("route", r.routeName()),
		zap.String("customer", string(r.customerName())), zap.Int64("configuration", r.configurationVersion()),
		zap.String("outcome", f.Kind.String()), zap.String("reason", f.Reason), zap.Duration("retry_after", f.RetryAfter),
		zap.Duration("after", time.Since(r.arrived)), zap.Int("runs", r.possibleRuns), zap.NamedError("cause", r.lastErr))
	r.recordRefusal(f.Kind)
	if err := r.responder.Fail(f); err != nil {
		r.logCallerError("failure", err)
	}
}

// abort ends a stream to the caller that cannot be completed. One that has ended, which nothing proves or
// speaks against, is completed instead.
func (r *request) abort(reason string) {
	if b := r.believable; b != nil && !r.eventMissing {
		r.log.Info("end of stream believed", zap.String("request", string(r.call.ID)), zap.String("target", string(b.attempt.grant.Target.ID)),
			zap.String("cannot_go_on", reason), zap.String("last_event", r.lastEventID), zap.Int("runs", r.possibleRuns), zap.NamedError("cause", r.lastErr))
		r.service.cfg.Counters.Add("end_believed." + reason)
		r.completeStream(b.attempt, b.head)
		return
	}
	r.service.cfg.Counters.Add("aborted." + reason)
	traffic.CountRequest(r.counterKey(), traffic.Unknown)
	r.log.Info("stream aborted", zap.String("request", string(r.call.ID)), zap.String("route", r.routeName()),
		zap.String("reason", reason), zap.String("last_event", r.lastEventID), zap.Int("runs", r.possibleRuns),
		zap.Duration("after", time.Since(r.arrived)), zap.NamedError("cause", r.lastErr))
	r.responder.Abort()
}

// handleCallerLeft ends a request whose caller disconnected.
func (r *request) handleCallerLeft() {
	r.service.cfg.Counters.Add("caller_left")
	traffic.CountRequest(r.counterKey(), traffic.Other)
	r.log.Info("caller left", zap.String("request", string(r.call.ID)), zap.String("route", r.routeName()),
		zap.Duration("after", time.Since(r.arrived)), zap.Bool("begun", r.streamBegun))
	r.responder.Abort()
}

// recordAnswered counts and logs a request that a target answered.
func (r *request) recordAnswered(a *attempt, head *state.Response) {
	g := a.grant
	r.service.cfg.Quarantine.Answered(time.Now(), r.quarantined(r.contents))
	took := time.Since(r.arrived)
	r.service.cfg.Counters.Add("answered." + r.route.Name)
	if head.EndsWithConnection {
		r.service.cfg.Counters.Add("answered_ending_with_connection." + r.route.Name)
	}
	traffic.CountRequest(r.counterKey(), r.responseOutcome(head.Status))
	r.service.cfg.Counters.observeLatency("whole."+r.route.Name, took)
	fields := []zap.Field{zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.String("target", string(g.Target.ID)), zap.Int("status", head.Status), zap.Bool("ends_with_connection", head.EndsWithConnection),
		zap.Bool("has_length", head.HasLength), zap.Bool("announces_close", head.AnnouncesClose), zap.Bool("target_serves", r.service.cfg.Scheduler.Serves(g)),
		zap.Int("events", g.Events),
		zap.Duration("first_after", r.timeToResponse), zap.Duration("after", took), zap.Int("runs", r.possibleRuns+1),
		zap.Bool("returned", r.returned()), zap.Duration("left", time.Until(r.deadline))}
	r.log.Info("request answered", append(fields, a.logTiming()...)...)
}

func (r *request) logTargetChosen(g *dispatch.Grant) {
	fields := []zap.Field{
		zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.String("customer", string(r.customerName())), zap.Int("rank", r.placement.Rank), zap.Int64("configuration", r.configurationVersion()),
		zap.String("policy", g.Policy), zap.String("target", string(g.Target.ID)), zap.String("domain", string(g.Target.Domain)), zap.String("software", string(g.Target.Software)),
		zap.Int("used", g.Used), zap.Int("slots", g.Slots), zap.Int("candidates", g.Candidates),
		zap.Duration("waited", g.Waited), zap.Duration("predicted", g.Predicted), zap.Duration("left", time.Until(r.deadline)), zap.Int("tried", len(r.placement.Tried)),
	}
	if g.RateLimit.Stated {
		fields = append(fields, zap.Float64("rate_limit", g.RateLimit.PerSecond))
	}
	if r.lastEventID != "" {
		fields = append(fields, zap.String("resume_after", r.lastEventID), zap.String("resumes", string(r.call.ResumedRequest)),
			zap.Duration("record_age", g.RecordAge), zap.Bool("may_have_ended", g.MayHaveEnded), zap.Duration("since_end", g.SinceEnd))
		if r.firstGrant != nil {
			fields = append(fields, zap.String("began_at", string(r.firstGrant.Target.ID)))
		}
		if r.software != nil {
			fields = append(fields, zap.String("began_software", string(*r.software)))
		}
	}
	r.log.Info("target chosen", fields...)
}

func (r *request) logPlacementRefused(refusal *dispatch.Refusal) {
	r.log.Info("placement refused", zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.Int("rank", r.placement.Rank), zap.String("reason", refusal.Reason), zap.Int("ahead", refusal.Ahead),
		zap.Duration("predicted", refusal.PredictedWait), zap.Duration("objective", r.route.Objective), zap.Int("limited_targets", refusal.Limited))
}

func (r *request) logOverAllowance(refusal *quota.Refusal, retryAfter time.Duration) {
	r.log.Info("over allowance", zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.String("customer", string(r.customerName())), zap.Float64("cost", r.cost), zap.Float64("level", refusal.Level),
		zap.Float64("reserve", refusal.Reserve), zap.Float64("rate", refusal.Rate), zap.Float64("depth", refusal.Depth),
		zap.Float64("unheard", refusal.Unheard), zap.Float64("unheard_limit", refusal.UnheardLimit),
		zap.Duration("age", refusal.Age), zap.Bool("returned", r.returned()), zap.Duration("retry_after", retryAfter))
}

func (r *request) logAttemptFailed(a *attempt, o dispatch.Outcome, err error, willRetry bool) {
	r.service.cfg.Counters.Add("attempt." + o.String())
	now := time.Now()
	r.log.Info("attempt failed", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.String("outcome", o.String()), zap.String("ended_by", a.endedBy()), zap.Bool("again", willRetry), zap.Int("runs", r.possibleRuns), zap.Int("events", a.grant.Events),
		zap.Duration("took", now.Sub(a.sentAt)), zap.Duration("silent", now.Sub(a.progressAt)), zap.Duration("stall_limit", a.handOver.limit), zap.Duration("left", r.deadline.Sub(now)),
		zap.String("prompt", promptText(r.call.Prompt)), zap.Uint64("content", uint64(r.contents[0])), zap.NamedError("cause", err))
}

// recordEndCheck counts the check of a response whose end was in doubt, and records it unless its target
// runs.
func (r *request) recordEndCheck(c *endCheck) {
	a, run, j := c.attempt, &c.run, &c.judgement
	r.service.cfg.Counters.Add("end_check." + run.Liveness.String())
	r.service.cfg.Counters.Add("end_doubt." + c.doubt.String())
	if run.Liveness == Running {
		return
	}
	r.service.cfg.Counters.Add("end_judged." + j.Verdict.String() + "." + j.Reason)
	fields := []zap.Field{zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.String("address", a.grant.Target.Address), zap.String("doubt", c.doubt.String()), zap.String("result", run.Liveness.String()),
		zap.String("verdict", j.Verdict.String()), zap.String("because", j.Reason),
		zap.Duration("refusing_before", j.Refusing), zap.Int("others_go_on", j.GoOn), zap.Int("ended_together", j.Together),
		zap.Float64("weight", float64(j.Sum)), zap.Float64("weight_of_others", float64(j.Others)),
		zap.Int("entries_asked", c.questions), zap.Int("entries_told", len(c.seenElsewhere)), zap.NamedError("entries_silent", c.askErr),
		zap.Bool("may_be_resumed", a.mayGoOnElsewhere()), zap.Duration("checked_after", time.Since(c.arrivedAt)),
		zap.String("asked", run.Asked), zap.String("answer", run.Answer), zap.Bool("target_serves", r.service.cfg.Scheduler.Serves(a.grant)),
		zap.Int("tries", run.Tries), zap.Duration("took", c.took), zap.Int("events", a.grant.Events)}
	r.log.Info("end of response not proved", append(fields, a.logTiming()...)...)
}

// logKept records for how long an answer that only signs show to be whole was kept beside another attempt.
func (r *request) logKept(a *attempt, until string, waited time.Duration, cause error) {
	r.service.cfg.Counters.Add("answer_kept." + until)
	r.log.Info("answer kept beside another attempt", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.Bool("hedge", a.isHedge), zap.String("until", until), zap.Duration("waited", waited), zap.NamedError("cause", cause))
}

// logStalled records that the target of an attempt has stalled. The attempt goes on until
// another target has a slot for the request. The caller must hold a.handOver.mu.
func (r *request) logStalled(a *attempt, mayMoveOn bool) {
	r.service.cfg.Counters.Add("attempt_stalled")
	r.log.Info("target stalled", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.Int("events", a.grant.Events), zap.Duration("stall_limit", a.handOver.limit), zap.Duration("silent", time.Since(a.progressAt)),
		zap.Duration("left", time.Until(r.deadline)), zap.Bool("may_move_on", mayMoveOn))
}

// logWithdrawn records that a stalled target was asked to abandon the request.
func (r *request) logWithdrawn(a *attempt, next *dispatch.Grant) {
	r.service.cfg.Counters.Add("attempt_withdrawn")
	r.log.Info("target asked to abandon request", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.String("next", string(next.Target.ID)), zap.Int("events", a.grant.Events), zap.Duration("silent", time.Since(a.progressAt)), zap.Duration("left", time.Until(r.deadline)))
}

// logWithdrawalIgnored records that a stalled target that can be reached has not abandoned the
// request, which stays there.
func (r *request) logWithdrawalIgnored(a *attempt) {
	r.service.cfg.Counters.Add("withdrawal_ignored")
	r.log.Info("target keeps request", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.Int("events", a.grant.Events), zap.Duration("silent", time.Since(a.progressAt)), zap.Duration("left", time.Until(r.deadline)))
}

// logRepeatedEvent records that a target has sent an event that the caller has.
func (r *request) logRepeatedEvent(a *attempt, e event) {
	r.service.cfg.Counters.Add("stream_with_repeated_events")
	r.log.Info("repeated event dropped", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.String("event", e.id), zap.Uint64("last", a.passedOn.value), zap.String("resume_after", a.resumeAfter), zap.Int("events", a.grant.Events))
}

// logSkippedResponses records that a target has sent other responses in a stream without length or
// chunks.
func (r *request) logSkippedResponses(a *attempt, n int) {
	r.service.cfg.Counters.Add("stream_with_other_responses")
	r.log.Info("other responses in stream skipped", zap.String("request", string(r.call.ID)), zap.String("target", string(a.grant.Target.ID)),
		zap.Int("responses", n), zap.Int("events", a.grant.Events))
}

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 8

// promptText returns the identifiers of the first parts of a prompt for a log line.
func promptText(parts []state.PromptPart) string {
	var ids []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

func (r *request) logRetryRefused() {
	r.service.cfg.Counters.Add("repeated_send_refused." + string(r.targetService))
	r.log.Info("retry budget spent", zap.String("request", string(r.call.ID)), zap.String("service", string(r.targetService)),
		zap.Float64("slack", r.service.cfg.RetrySlack()))
}

func (r *request) logCallerError(step string, err error) {
	r.log.Info("write to caller failed", zap.String("request", string(r.call.ID)), zap.String("step", step), zap.Error(err))
}
