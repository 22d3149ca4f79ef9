package gateway

import (
	"strconv"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// maxPromptParts bounds each of the two generations of remembered prompt parts, which
// together take about a megabyte. Parts that are shared or belong to a session recur
// within seconds.
const maxPromptParts = 1 << 13

// counterKey returns the key under which the request is counted.
func (r *request) counterKey() string {
	tier := "none"
	if r.placement != nil {
		tier = strconv.Itoa(r.placement.Rank)
	}
	return traffic.CounterKey(r.policy, tier)
}

// countPromptTokens counts the prompt tokens of an attempt that may have run. Parts
// that were last computed at another target count as wasted, because they are assumed
// to be computed again. If the response was not used, the whole prompt is wasted.
func (r *request) countPromptTokens(g *dispatch.Grant, responseUsed bool) {
	if !r.call.HasTokenCounts {
		return
	}
	wasted, computed := 0, &r.service.promptParts
	for _, part := range r.call.Prompt {
		if last, ok := computed.Get(part.ID); ok && last != g.Target.ID {
			wasted += part.Tokens
		}
		computed.Set(part.ID, g.Target.ID)
	}
	if !responseUsed {
		wasted = r.call.PromptTokens
	}
	traffic.CountPrompt(r.counterKey(), r.call.PromptTokens, min(wasted, r.call.PromptTokens))
}

// recordEventGap updates the longest pause between forwarded events.
func (r *request) recordEventGap() {
	now := time.Now()
	if !r.lastEventAt.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// responseOutcome returns the outcome counted for a request that a target answered.
func (r *request) responseOutcome(status int) traffic.Outcome {
	switch {
	case !isSuccess(status):
		return traffic.Other
	case r.arrived.Add(r.timeToResponse).Sub(r.firstArrived) > r.route.Objective, r.route.Gap > 0 && r.longestGap > r.route.Gap:
		return traffic.Late
	default:
		return traffic.InTime
	}
}

// failureOutcome returns the outcome counted for a request that the entry answered
// with a failure.
func failureOutcome(k FailureKind) traffic.Outcome {
	switch k {
	case UnknownOutcome:
		return traffic.Unknown
	case TimedOut:
		return traffic.Late
	default:
		return traffic.NotRun
	}
}

// promptPartTargets holds the target that last computed each prompt part, by the ID
// of the part.
type promptPartTargets = traffic.RecentCache[string, state.TargetID]
