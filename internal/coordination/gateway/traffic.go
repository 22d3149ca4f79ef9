package gateway

import (
	"strconv"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// maxParts bounds each of the two generations of prompt parts remembered. Together
// they take about a megabyte; parts that are shared or belong to a session come
// again within seconds.
const maxParts = 1 << 13

// key is the key of the request's counters.
func (r *request) key() string {
	tier := "none"
	if r.ask != nil {
		tier = strconv.Itoa(r.ask.Rank)
	}
	return traffic.CounterKey(r.policy, tier)
}

// countAttempt counts the prompt of an attempt that may have run. Parts that were
// last computed at another target are taken as computed again.
func (r *request) countAttempt(g *dispatch.Grant, used bool) {
	if !r.call.HasTokens {
		return
	}
	wasted, computed := 0, &r.service.computed
	for _, part := range r.call.Prompt {
		if at, ok := computed.Get(part.ID); ok && at != g.Target.ID {
			wasted += part.Tokens
		}
		computed.Set(part.ID, g.Target.ID)
	}
	if !used {
		wasted = r.call.PromptTokens
	}
	traffic.CountPrompt(r.key(), r.call.PromptTokens, min(wasted, r.call.PromptTokens))
}

// eventForwarded keeps the longest pause between events.
func (r *request) eventForwarded() {
	now := time.Now()
	if !r.lastEvent.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
}

// answeredOutcome returns how a request counts that a target answered.
func (r *request) answeredOutcome(status int) traffic.Outcome {
	switch {
	case !success(status):
		return traffic.Other
	case r.ask.Returned, r.firstAfter > r.route.Objective, r.route.Gap > 0 && r.longestGap > r.route.Gap:
		return traffic.Late
	default:
		return traffic.InTime
	}
}

// failedOutcome returns how a request counts that the entry ended itself.
func failedOutcome(k FailureKind) traffic.Outcome {
	switch k {
	case Unknown:
		return traffic.Unknown
	case TimedOut:
		return traffic.Late
	default:
		return traffic.NotRun
	}
}

// computedParts remembers at which target a part of a prompt was last computed.
type computedParts = traffic.RecentCache[string, state.TargetID]
