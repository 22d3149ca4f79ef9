package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/coordination/routing"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// admit finds the route and the customer, prepares the placement and charges the
// customer's allowance. It returns the failure to answer with, or nil.
func (r *request) admit(ctx context.Context) *Failure {
	r.recognizeReturn()
	if failure := r.findRoute(ctx); failure != nil {
		return failure
	}
	r.preparePlacement()
	if failure := r.findOrigin(ctx); failure != nil {
		return failure
	}
	r.findKeys()
	if b := r.checkQuarantine(false); b != nil {
		return &Failure{Kind: NotRun, Reason: b.reason, RetryAfter: r.capRetryAfter(b.wait)}
	}
	if r.customer != nil {
		r.cost = r.customer.PlainCost
		if r.customer.CountsTokens && r.call.HasTokenCounts {
			r.cost = float64(r.call.PromptTokens + r.call.MaxOutputTokens)
		}
		return r.takeAllowance()
	}
	return nil
}

// findRoute finds the route and the customer. It needs the head of the call only.
func (r *request) findRoute(ctx context.Context) *Failure {
	if r.table = r.service.awaitTable(ctx, r.call); r.table == nil {
		retryAfter := max(minNotReadyRetryAfter, time.Since(r.service.started))
		return &Failure{Kind: NotRun, Reason: "no_configuration", RetryAfter: r.capRetryAfter(retryAfter)}
	}
	r.route = r.table.Route(r.call.Host, r.call.Path)
	if r.route == nil {
		return &Failure{Kind: UnknownRoute, Reason: "no_route"}
	}
	r.customer = r.table.CustomerByKey(r.call.APIKey)
	if r.customer == nil && r.table.RequiresKey(r.route) {
		return &Failure{Kind: UnknownKey, Reason: "unknown_key"}
	}
	return nil
}

// takeAllowance charges the customer's allowance, or returns the failure to answer with.
func (r *request) takeAllowance() *Failure {
	refusal := r.service.cfg.Quota.Admit(time.Now(), quota.Ask{
		Customer: r.customer, Cost: r.cost, Tier: min(r.route.Tier, rankStep-1), Late: r.returnedLate(),
	})
	if refusal == nil {
		return nil
	}
	retryAfter := r.capRetryAfter(refusal.RetryAfter)
	r.logOverAllowance(refusal, retryAfter)
	return &Failure{Kind: OverAllowance, Reason: "customer_allowance", RetryAfter: retryAfter}
}

// awaitTable returns the routing table of the configuration in effect. Just after the
// start it waits for the first one, and returns nil if there is none in time.
func (s *Service) awaitTable(ctx context.Context, call *state.Call) *routing.Table {
	if t := s.table.Load(); t != nil {
		return t
	}
	wait := maxConfigurationWait
	if call.HasTimeout {
		wait = min(wait, time.Duration(configurationWaitShare*float64(call.Timeout)))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-s.configured:
	case <-ctx.Done():
	}
	return s.table.Load()
}

// recognizeReturn finds out whether an earlier attempt of the caller was refused.
func (r *request) recognizeReturn() {
	r.firstArrived = r.arrived
	if !r.call.HasTimeout {
		return
	}
	r.refusalKey = refusal.KeyOf(r.call)
	if first, ok := r.service.cfg.Refusals.Returned(r.refusalKey, r.arrived.Add(r.call.Timeout)); ok {
		r.firstArrived = first
	}
}

// recordRefusal remembers a request that was refused without having run, so that it is
// recognized when it comes back.
func (r *request) recordRefusal(k FailureKind) {
	if k != NotRun && k != OverAllowance || !r.call.HasTimeout || r.firstArrived.IsZero() {
		return
	}
	r.service.cfg.Refusals.Add(time.Now(), r.refusalKey, r.arrived.Add(r.call.Timeout), r.firstArrived)
}

// returned reports whether an earlier attempt of the caller was refused.
func (r *request) returned() bool { return r.firstArrived.Before(r.arrived) }

// returnedLate reports whether the objective had passed when this attempt arrived.
func (r *request) returnedLate() bool { return r.arrived.Sub(r.firstArrived) > r.route.Objective }

// preparePlacement sets the deadline, chooses the service and prepares the request
// to the scheduler.
func (r *request) preparePlacement() {
	wait := r.route.Timeout
	if r.call.HasTimeout && (wait <= 0 || r.call.Timeout < wait) {
		wait = r.call.Timeout
	}
	r.deadline = r.arrived.Add(wait)
	r.answerBy = r.deadline.Add(deadlineSlack)
	if r.call.HasTimeout {
		r.answerBy = r.deadline.Add(min(deadlineSlack, r.call.Timeout-wait))
	}
	r.targetService = routing.ChooseService(r.route, rand.Float64())
	r.placement = &dispatch.Request{
		ID: r.call.ID, Service: r.targetService, Rank: r.rank(), Work: expectedWork(r.call), LargestWork: largestWork(r.call), Arrived: r.firstArrived, ReadAt: r.arrived,
		Route: r.route.Name, Objective: r.route.Objective, Deadline: r.deadline, Repeatable: r.route.Repeatable(), Resumed: r.lastEventID != "",
	}
	if r.route.Patience > 0 {
		r.placement.CallerLeaves = r.arrived.Add(r.route.Patience)
	}
}

// rankStep is the number of ranks in each customer tier. Within them the route's
// tier decides.
const rankStep = 4

// rank returns the scheduling rank, of which 0 goes first. The customer's tier, if it
// has one, takes precedence over the route's.
func (r *request) rank() int {
	if r.customer != nil && r.customer.HasTier {
		return r.customer.Tier*rankStep + min(r.route.Tier, rankStep-1)
	}
	return r.route.Tier
}

// largestWork returns the size of a call with the largest output that it may have.
func largestWork(c *state.Call) costmodel.Work {
	return costmodel.Work{PromptTokens: float64(c.PromptTokens), OutputTokens: float64(c.MaxOutputTokens)}
}

// expectedWork returns the size of a call. It has no output estimate unless the caller
// gives one.
func expectedWork(c *state.Call) costmodel.Work {
	if !c.HasTokenCounts {
		return costmodel.Work{}
	}
	return costmodel.Work{PromptTokens: float64(c.PromptTokens), OutputTokens: float64(c.EstimatedOutputTokens)}
}
