package standin

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	blockTokens = state.PromptBlockBytes / state.BytesPerToken
	// maxCacheEvents bounds the events kept for readers.
	maxCacheEvents = 8192
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq    uint64   `json:"seq"`
	Type   string   `json:"type"`   // "stored" or "evicted"
	Blocks []string `json:"blocks"` // decimal block hashes
	at     time.Time
}

// prefixCache is a cache of prompt blocks in limited memory, least recently
// used out first. The engine's mutex guards it.
type prefixCache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	next     uint64 // sequence number of the next event
	lost     func() bool
}

func newPrefixCache(tokens int, lost func() bool) *prefixCache {
	return &prefixCache{capacity: tokens / blockTokens, order: list.New(), blocks: map[uint64]*list.Element{}, lost: lost}
}

// match returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

// touch marks cached blocks as used. The first block ends as the most recent,
// because the later ones are useless without it.
func (c *prefixCache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[blocks[i]])
	}
}

// store adds the blocks of a prefilled prompt and evicts others.
func (c *prefixCache) store(blocks []uint64, now time.Time) {
	blocks = blocks[:min(len(blocks), c.capacity)]
	var stored, evicted []uint64
	for _, h := range blocks {
		if c.blocks[h] == nil {
			c.blocks[h] = c.order.PushFront(h)
			stored = append(stored, h)
		}
	}
	c.touch(blocks)
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		evicted = append(evicted, h)
	}
	c.record("stored", stored, now)
	c.record("evicted", evicted, now)
}

// record appends an event. A lost event still takes a sequence number, so that
// a reader can tell that one is missing.
func (c *prefixCache) record(kind string, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	seq := c.next
	c.next++
	if c.lost() {
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

// visible returns the events from sequence number from on that happened at
// limit or before, and the number to ask for next.
func (c *prefixCache) visible(from uint64, limit time.Time) ([]CacheEvent, uint64) {
	out, next := []CacheEvent{}, from
	for _, e := range c.events {
		if e.at.After(limit) {
			break
		}
		if e.Seq >= from {
			out = append(out, e)
			next = e.Seq + 1
		}
	}
	return out, next
}
