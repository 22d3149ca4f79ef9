package entry

import (
	"expvar"
	"sync"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Counters by policy and tier; the key is "policy/tier". A request that ended
// before a policy was chosen counts under noPolicy.
var (
	countRequests     = expvar.NewMap("requests")
	countGoodput      = expvar.NewMap("goodput")
	countRefused      = expvar.NewMap("refused_not_run")
	countUnknown      = expvar.NewMap("outcome_unknown")
	countLate         = expvar.NewMap("late")
	countPromptTokens = expvar.NewMap("prompt_tokens")
	countWasted       = expvar.NewMap("wasted_prefill_tokens")
)

const noPolicy = "none"

// blockTokens is the number of tokens in a prompt block.
const blockTokens = state.PromptBlockBytes / state.BytesPerToken

// maxGeneration bounds each of the two generations of computedBlocks. Two
// generations of 65,536 blocks cover 8 million prompt tokens in about 5 MB.
const maxGeneration = 1 << 16

// computedBlocks remembers which prompt blocks were computed before. When the
// newer generation is full, the older one is dropped.
type computedBlocks struct {
	mu    sync.Mutex
	newer map[uint64]struct{}
	older map[uint64]struct{}
}

// leading returns the number of leading blocks that were computed before.
func (c *computedBlocks) leading(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, b := range blocks {
		if !c.has(b) {
			return i
		}
	}
	return len(blocks)
}

func (c *computedBlocks) has(b uint64) bool {
	if _, ok := c.newer[b]; ok {
		return true
	}
	_, ok := c.older[b]
	return ok
}

// add records that blocks were computed.
func (c *computedBlocks) add(blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range blocks {
		if len(c.newer) >= maxGeneration || c.newer == nil {
			c.older, c.newer = c.newer, make(map[uint64]struct{})
		}
		c.newer[b] = struct{}{}
	}
}

// countAttempt counts the prompt tokens of an attempt that ran. known is the
// number of leading blocks that had been computed before it.
func countAttempt(key string, req *state.Request, u state.Usage, known int, used bool) {
	prompt := u.PromptTokens
	if prompt == 0 {
		prompt = req.PromptTokens
	}
	countPromptTokens.Add(key, int64(prompt))
	wasted := min(known*blockTokens, prompt) - u.CachedTokens
	if !used {
		wasted = prompt - u.CachedTokens
	}
	if wasted > 0 {
		countWasted.Add(key, int64(wasted))
	}
}

// countResult counts a request that ended.
func countResult(key string, r Result, inTime bool) {
	countRequests.Add(key, 1)
	switch r.Kind {
	case Complete:
		if inTime {
			countGoodput.Add(key, 1)
		} else {
			countLate.Add(key, 1)
		}
	case Refused:
		countRefused.Add(key, 1)
	case Unknown:
		countUnknown.Add(key, 1)
	case TimedOut:
		countLate.Add(key, 1)
	}
}
