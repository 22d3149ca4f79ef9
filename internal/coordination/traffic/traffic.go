// Package traffic counts what an entry did with requests and prompts, by policy
// and tier, in the form that cassiarampctl reads.
package traffic

import "expvar"

// The counters have the key "policy/tier".
var (
	requests     = expvar.NewMap("requests")
	goodput      = expvar.NewMap("goodput")
	notRun       = expvar.NewMap("refused_not_run")
	unknown      = expvar.NewMap("outcome_unknown")
	late         = expvar.NewMap("late")
	promptTokens = expvar.NewMap("prompt_tokens")
	wastedTokens = expvar.NewMap("wasted_prefill_tokens")
)

// NoPolicy stands for the policy of a request that ended before one was chosen.
const NoPolicy = "none"

// Key returns the key of a policy, empty for none, and a tier.
func Key(policy, tier string) string {
	if policy == "" {
		policy = NoPolicy
	}
	return policy + "/" + tier
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. Goodput is InTime only.
const (
	InTime Outcome = iota + 1
	Late
	NotRun
	Unknown
	Other // failed, or its caller left
)

// Ended counts a request.
func Ended(key string, o Outcome) {
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

// Prompt counts the prompt of an attempt that ran, in tokens. Those are wasted that
// an engine computed in vain, or although one had computed them before.
func Prompt(key string, prompt, wasted int) {
	promptTokens.Add(key, int64(prompt))
	if wasted > 0 {
		wastedTokens.Add(key, int64(wasted))
	}
}
