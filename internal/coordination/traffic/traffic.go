// Package traffic counts the requests and prompt tokens of an entry by policy and tier,
// in the published variables that cassiarampctl reads. Both request lifecycles, entry
// and gateway, use it. The bytes on connections are counted in the transport packages.
package traffic

import "expvar"

// The published counters, each with the key "policy/tier".
var (
	requests     = expvar.NewMap("requests")
	goodput      = expvar.NewMap("goodput")
	notRun       = expvar.NewMap("refused_not_run")
	unknown      = expvar.NewMap("outcome_unknown")
	late         = expvar.NewMap("late")
	promptTokens = expvar.NewMap("prompt_tokens")
	wastedTokens = expvar.NewMap("wasted_prefill_tokens")
)

// NoPolicy is the policy in the key of requests that ended before one was chosen.
const NoPolicy = "none"

// CounterKey returns the key of the counters for a policy, empty for none, and a tier.
func CounterKey(policy, tier string) string {
	if policy == "" {
		policy = NoPolicy
	}
	return policy + "/" + tier
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. Only InTime counts as goodput.
const (
	InTime  Outcome = iota + 1 // answered within the objective
	Late                       // answered too late, or timed out
	NotRun                     // refused and not run
	Unknown                    // may have run
	Other                      // failed, or its caller left
)

// CountRequest counts a request that has ended.
func CountRequest(key string, o Outcome) {
	requests.Add(key, 1)
	switch o {
	case InTime:
		goodput.Add(key, 1)
	case Late:
		late.Add(key, 1)
	case NotRun:
		notRun.Add(key, 1)
	case Unknown:
		unknown.Add(key, 1)
	}
}

// CountPrompt counts the prompt tokens of an attempt that may have run. Wasted tokens
// are those that an engine computed in vain, or again after an engine had computed
// them before.
func CountPrompt(key string, prompt, wasted int) {
	promptTokens.Add(key, int64(prompt))
	if wasted > 0 {
		wastedTokens.Add(key, int64(wasted))
	}
}
