package standin

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// blockTokens is the size of a prompt block in tokens.
	blockTokens = state.PromptBlockBytes / state.BytesPerToken
	// maxCacheEvents bounds the events kept for GET /cache/events; the oldest
	// are dropped first.
	maxCacheEvents = 8192
)

// CacheEvent reports blocks that were added to an engine's prefix cache, or
// evicted from it.
type CacheEvent struct {
	Seq    uint64    `json:"seq"`
	Type   string    `json:"type"`   // "stored" or "evicted"
	Blocks []string  `json:"blocks"` // decimal block hashes
	at     time.Time // when the cache changed
}

// prefixCache is an LRU cache of prompt blocks, identified by their hashes. The
// engine's mutex guards it.
type prefixCache struct {
	capacity        int        // blocks
	recency         *list.List // block hashes, most recently used first
	blocks          map[uint64]*list.Element
	events          []CacheEvent // oldest first
	nextSeq         uint64       // sequence number of the next event
	shouldDropEvent func() bool  // called once for each event
}

// newPrefixCache returns an empty cache for the given number of tokens.
func newPrefixCache(tokens int, shouldDropEvent func() bool) *prefixCache {
	return &prefixCache{capacity: tokens / blockTokens, recency: list.New(), blocks: map[uint64]*list.Element{}, shouldDropEvent: shouldDropEvent}
}

// matchPrefix returns how many blocks at the start of blocks are cached, and
// marks those as used.
func (c *prefixCache) matchPrefix(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

// touch marks cached blocks as used. The first block becomes the most recently
// used one and so outlives the later ones, which are useless without it.
func (c *prefixCache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.recency.MoveToFront(c.blocks[blocks[i]])
	}
}

// store adds the blocks of a prefilled prompt, as many as the cache can hold,
// and evicts the least recently used blocks that exceed the capacity.
func (c *prefixCache) store(blocks []uint64, now time.Time) {
	blocks = blocks[:min(len(blocks), c.capacity)]
	var stored, evicted []uint64
	for _, h := range blocks {
		if c.blocks[h] == nil {
			c.blocks[h] = c.recency.PushFront(h)
			stored = append(stored, h)
		}
	}
	c.touch(blocks)
	for c.recency.Len() > c.capacity {
		h := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, h)
		evicted = append(evicted, h)
	}
	c.recordEvent("stored", stored, now)
	c.recordEvent("evicted", evicted, now)
}

// recordEvent appends an event. An event that is dropped still takes a sequence
// number, so that a reader can detect the gap.
func (c *prefixCache) recordEvent(kind string, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	seq := c.nextSeq
	c.nextSeq++
	if c.shouldDropEvent() {
		return
	}
	e := CacheEvent{Seq: seq, Type: kind, at: now}
	for _, h := range blocks {
		e.Blocks = append(e.Blocks, strconv.FormatUint(h, 10))
	}
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// visibleEvents returns the events with sequence number from or higher that
// happened no later than cutoff, and the sequence number to ask for next.
func (c *prefixCache) visibleEvents(from uint64, cutoff time.Time) ([]CacheEvent, uint64) {
	out, next := []CacheEvent{}, from
	for _, e := range c.events {
		if e.at.After(cutoff) {
			break
		}
		if e.Seq >= from {
			out = append(out, e)
			next = e.Seq + 1
		}
	}
	return out, next
}
