package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/retry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/routing"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxPlacements bounds the targets tried for one call, whether it ran there or
	// not.
	maxPlacements = 4
	// notReadyRetry is when a caller may come back to an entry that has no
	// configuration yet.
	notReadyRetry = 500 * time.Millisecond
	// maxBody bounds a response that is held in memory until it is complete.
	maxBody = 16 << 20 // bytes
	// lateRetry is when a caller may come back after its time was up unserved.
	lateRetry = 200 * time.Millisecond
)

// A response that may be had elsewhere is waited for this long.
const (
	firstEventFactor = 2.5 // times the objective
	minFirstEvent    = time.Second
	eventGapFactor   = 4.0 // times the longest pause
	minEventGap      = 800 * time.Millisecond
	plainFactor      = 3.0 // times the objective
	minPlain         = 250 * time.Millisecond
)

// Errors that end an attempt.
var (
	errStalled  = errors.New("no response in time")
	errInvalid  = errors.New("response is not the target's whole one")
	errTimeUp   = errors.New("time is up")
	errTooLarge = errors.New("response is too large")
)

// Config configures a Service.
type Config struct {
	Scheduler *dispatch.Scheduler
	Targets   Targets
	Quota     *quota.Ledger
	// RetryRatio, RetryWindow and RetrySlack bound repeated sends for a service.
	// RetrySlack returns this entry's part of those that all entries together may
	// send beyond the ratio.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  func() float64
	Log         *zap.Logger
	Counters    *Counters
}

// Service serves calls. It is safe for concurrent use.
type Service struct {
	cfg   Config
	table atomic.Pointer[routing.Table]

	mu      sync.Mutex
	budgets map[state.Service]*retry.WindowBudget
	// longest is the longest time that callers of a route wait, by route. One that
	// waits for less was refused before: callers count from their first attempt.
	longest map[string]time.Duration
	// computed has the latest parts of prompts.
	computed computedParts
}

// New returns a service without a configuration.
func New(cfg Config) *Service {
	return &Service{
		cfg: cfg, budgets: make(map[state.Service]*retry.WindowBudget), longest: make(map[string]time.Duration),
		computed: computedParts{GenerationLimit: maxParts},
	}
}

// SetConfiguration puts a configuration into effect unless a newer one is, and
// reports whether it did.
func (s *Service) SetConfiguration(c *state.Configuration) bool {
	for {
		old := s.table.Load()
		if old != nil && old.Config.Version >= c.Version {
			return false
		}
		if s.table.CompareAndSwap(old, routing.New(c)) {
			return true
		}
	}
}

// Configuration returns the configuration in effect, or nil.
func (s *Service) Configuration() *state.Configuration {
	if t := s.table.Load(); t != nil {
		return t.Config
	}
	return nil
}

func (s *Service) budget(service state.Service) *retry.WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.budgets[service]
	if w == nil {
		w = &retry.WindowBudget{Ratio: s.cfg.RetryRatio, Length: s.cfg.RetryWindow}
		s.budgets[service] = w
	}
	return w
}

// returned reports whether a caller that waits for wait was refused before, by so
// much that the route's objective is missed.
func (s *Service) returned(r *state.Route, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > s.longest[r.Name] {
		s.longest[r.Name] = wait
	}
	return s.longest[r.Name]-wait > r.Objective
}

// request is one call in progress.
type request struct {
	service  *Service
	call     *state.Call
	out      Responder
	log      *zap.Logger
	table    *routing.Table
	route    *state.Route
	customer *state.CustomerConfig
	cost     float64 // units of the customer's allowance
	target   state.Service
	ask      *dispatch.Request
	arrived  time.Time
	deadline time.Time

	policy     string        // that chose the last target, empty for none
	firstAfter time.Duration // from arrived to the start of the response
	lastEvent  time.Time
	longestGap time.Duration // between events

	runs    int    // attempts that may have run
	begun   bool   // a stream was begun to the caller
	last    string // identifier of the last event that was forwarded
	lastErr error
	// reported is the latest failure that a target reported, which the caller gets
	// when no other target serves the request.
	reported *reported
}

// reported is a target's complete response that tells of a failure.
type reported struct {
	grant *dispatch.Grant
	head  *state.Response
	body  []byte
}

// Serve serves a call whose body was read at arrived. ctx ends when the caller
// leaves.
func (s *Service) Serve(ctx context.Context, call *state.Call, arrived time.Time, out Responder) {
	r := &request{service: s, call: call, out: out, arrived: arrived, log: s.cfg.Log, last: call.ResumeAfter}
	if failure := r.admit(); failure != nil {
		r.fail(*failure)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errTimeUp)
	defer cancel()
	r.run(ctx)
}

// admit finds the route and the customer and takes the customer's allowance.
func (r *request) admit() *Failure {
	s := r.service
	r.table = s.table.Load()
	if r.table == nil {
		return &Failure{Kind: NotRun, Reason: "no_configuration", RetryAfter: notReadyRetry}
	}
	r.route = r.table.Route(r.call.Host, r.call.Path)
	if r.route == nil {
		return &Failure{Kind: UnknownRoute, Reason: "no_route"}
	}
	r.customer = r.table.CustomerByKey(r.call.Key)
	if r.customer == nil && r.table.RequiresKey(r.route) {
		return &Failure{Kind: UnknownKey, Reason: "unknown_key"}
	}
	r.plan()
	if r.customer != nil {
		r.cost = r.customer.PlainCost
		if r.customer.CountsTokens && r.call.HasTokens {
			r.cost = float64(r.call.PromptTokens + r.call.OutputTokens)
		}
		if wait, ok := s.cfg.Quota.Admit(r.arrived, r.customer, r.cost); !ok {
			return &Failure{Kind: OverAllowance, Reason: "customer_allowance", RetryAfter: r.capRetry(wait)}
		}
	}
	return nil
}

// plan prepares the placement.
func (r *request) plan() {
	wait := r.route.Timeout
	if r.call.HasWait && (wait <= 0 || r.call.Wait < wait) {
		wait = r.call.Wait
	}
	r.deadline = r.arrived.Add(wait)
	r.target = routing.ChooseService(r.route, rand.Float64())
	r.ask = &dispatch.Request{
		ID: r.call.ID, Service: r.target, Rank: r.rank(), Cost: expectedCost(r.call), Arrived: r.arrived,
		Objective: r.route.Objective, Deadline: r.deadline, Repeatable: r.route.Repeatable(),
		Prefill: prefillTime * float64(r.call.PromptTokens),
	}
	if r.call.HasWait {
		r.ask.Returned = r.service.returned(r.route, r.call.Wait)
	}
}

// rankStep separates the ranks of customers' tiers.
const rankStep = 4

// rank combines the tiers. That of the customer goes first.
func (r *request) rank() int {
	if r.customer != nil && r.customer.HasTier {
		return r.customer.Tier*rankStep + min(r.route.Tier, rankStep-1)
	}
	return r.route.Tier
}

// Expected work of an engine of ordinary speed, in milliseconds.
const (
	prefillTime = 1.0 / 157 // for each prompt token
	decodeCost  = 0.45      // for each output token, of which a batch makes several at once
	baseCost    = 4.0
	plainCost   = 2.5 // plain services have no tokens
	// likelyShare is the part of the most output tokens that is expected when the
	// caller gives no estimate.
	likelyShare = 0.4
)

func expectedCost(c *state.Call) float64 {
	if !c.HasTokens {
		return plainCost
	}
	output := float64(c.LikelyOutput)
	if output == 0 {
		output = likelyShare * float64(c.OutputTokens)
	}
	return baseCost + prefillTime*float64(c.PromptTokens) + decodeCost*output
}

// run places the request until it is answered or given up.
func (r *request) run(ctx context.Context) {
	for placed := 0; ; placed++ {
		grant, err := r.service.cfg.Scheduler.Acquire(ctx, r.ask)
		if err != nil {
			r.unplaced(ctx, err)
			return
		}
		r.policy = grant.Policy
		r.logChosen(grant)
		next := r.attempt(ctx, grant)
		if !next {
			return
		}
		r.ask.Tried = append(r.ask.Tried, grant.Target.ID)
		r.ask.Again = true
		if placed+1 >= maxPlacements {
			r.giveUp("no_placement_left", lateRetry)
			return
		}
	}
}

// unplaced ends a request that gets no target.
func (r *request) unplaced(ctx context.Context, err error) {
	var refusal *dispatch.Refusal
	switch {
	case errors.As(err, &refusal):
		r.logRefused(refusal)
		r.giveUp(refusal.Reason, refusal.RetryAfter)
	case errors.Is(context.Cause(ctx), errTimeUp):
		r.giveUp("time_is_up", lateRetry)
	default:
		r.callerLeft()
	}
}

// giveUp ends a request that gets no further target: truthfully as not run, or as
// unknown once an attempt may have run.
func (r *request) giveUp(reason string, retryAfter time.Duration) {
	switch {
	case r.begun:
		r.abort(reason)
	case r.reported != nil:
		r.whole(r.reported.grant, r.reported.head, r.reported.body)
	case r.runs > 0:
		r.fail(Failure{Kind: Unknown, Reason: reason})
	default:
		r.refund()
		r.fail(Failure{Kind: NotRun, Reason: reason, RetryAfter: r.capRetry(retryAfter)})
	}
}

// capRetry keeps a retry-after time within what callers honour: a third of the
// time that they have left.
func (r *request) capRetry(d time.Duration) time.Duration {
	left := time.Until(r.deadline)
	if r.call.HasWait {
		left = r.call.Wait - time.Since(r.arrived)
	}
	return max(0, min(d, left*3/10))
}

func (r *request) refund() {
	if r.customer != nil {
		r.service.cfg.Quota.Refund(time.Now(), r.customer.Name, r.cost)
	}
}

// attempt sends the request to one target. It reports whether the request may be
// placed on another one.
func (r *request) attempt(ctx context.Context, g *dispatch.Grant) (next bool) {
	a := &attempt{request: r, grant: g}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	now := time.Now()
	if r.runs == 0 && len(r.ask.Tried) == 0 {
		r.service.budget(r.target).RecordFirst(now)
	}
	outcome, err := a.run()
	r.service.cfg.Scheduler.Release(g, outcome)
	r.lastErr = err
	if err == nil {
		r.countAttempt(g, true)
		return false
	}
	return r.after(ctx, g, outcome, err)
}

// after decides what follows an attempt that did not answer the caller.
func (r *request) after(ctx context.Context, g *dispatch.Grant, outcome dispatch.Outcome, err error) (next bool) {
	mayHaveRun := outcome != dispatch.Unreachable && outcome != dispatch.Rejected && outcome != dispatch.Gone
	if mayHaveRun {
		r.countAttempt(g, false)
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeUp) {
		r.callerLeft()
		return false
	}
	if mayHaveRun {
		r.runs++
	}
	again := ctx.Err() == nil && (!mayHaveRun || r.route.Repeatable() && r.runs < r.route.MaxAttempts)
	// A target that was not reached received nothing that counts as a repeat.
	if again && outcome != dispatch.Unreachable {
		again = r.service.budget(r.target).Take(time.Now(), r.service.cfg.RetrySlack())
	}
	r.logEnded(g, outcome, err, again)
	if again {
		return true
	}
	switch {
	case r.begun:
		r.abort("stream_broken")
	case r.reported != nil:
		r.whole(r.reported.grant, r.reported.head, r.reported.body)
	case !mayHaveRun && r.runs == 0:
		r.giveUp(outcome.String(), lateRetry)
	case ctx.Err() != nil:
		r.fail(Failure{Kind: TimedOut, Reason: "time_is_up"})
	default:
		r.fail(Failure{Kind: Unknown, Reason: outcome.String()})
	}
	return false
}
