package entry

import (
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// tokensPerBlock is the number of tokens in a prompt block.
const tokensPerBlock = state.PromptBlockBytes / state.BytesPerToken

// blocksPerGeneration bounds each of the two generations in which the hashes of
// computed prompt blocks are kept. Two generations of 65,536 blocks cover 8 million
// prompt tokens in about 5 MB.
const blocksPerGeneration = 1 << 16

// countComputedPrefix returns the number of leading blocks that earlier attempts have
// computed.
func countComputedPrefix(computed *traffic.RecentCache[uint64, struct{}], blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := computed.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

// countPromptTokens counts the prompt tokens of an attempt that ran. computedBlocks
// is the number of leading blocks that earlier attempts had computed. Prompt tokens
// are wasted if they had been computed before but were not in the target's cache, and
// all tokens that were not in the cache are wasted if the response was not used.
func countPromptTokens(key string, req *state.Request, u state.Usage, computedBlocks int, responseUsed bool) {
	prompt := u.PromptTokens
	if prompt == 0 {
		prompt = req.PromptTokens
	}
	wasted := min(computedBlocks*tokensPerBlock, prompt) - u.CachedTokens
	if !responseUsed {
		wasted = prompt - u.CachedTokens
	}
	traffic.CountPrompt(key, prompt, wasted)
}

// trafficOutcome returns the outcome under which the traffic counters record r. A
// complete response counts as late unless inTime.
func trafficOutcome(r Result, inTime bool) traffic.Outcome {
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
