package entry

import (
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// blockTokens is the number of tokens in a prompt block.
const blockTokens = state.PromptBlockBytes / state.BytesPerToken

// maxGeneration bounds each of the two generations of computed blocks. Two
// generations of 65,536 blocks cover 8 million prompt tokens in about 5 MB.
const maxGeneration = 1 << 16

// leading returns the number of leading blocks that were computed before.
func leading(computed *traffic.RecentCache[uint64, struct{}], blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := computed.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

// countAttempt counts the prompt tokens of an attempt that ran. known is the
// number of leading blocks that had been computed before it.
func countAttempt(key string, req *state.Request, u state.Usage, known int, used bool) {
	prompt := u.PromptTokens
	if prompt == 0 {
		prompt = req.PromptTokens
	}
	wasted := min(known*blockTokens, prompt) - u.CachedTokens
	if !used {
		wasted = prompt - u.CachedTokens
	}
	traffic.CountPrompt(key, prompt, wasted)
}

// outcomeOf returns how a request counts that ended.
func outcomeOf(r Result, inTime bool) traffic.Outcome {
	switch {
	case r.Kind == Complete && inTime:
		return traffic.InTime
	case r.Kind == Complete, r.Kind == TimedOut:
		return traffic.Late
	case r.Kind == Refused:
		return traffic.NotRun
	case r.Kind == Unknown:
		return traffic.Unknown
	default:
		return traffic.Other
	}
}
