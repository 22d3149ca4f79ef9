package placement

import (
	"container/list"
	"slices"
	"sync"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// blockTokens is the number of tokens in a prompt block.
const blockTokens = state.PromptBlockBytes / state.BytesPerToken

// maxIndexedBlocks bounds the prefix index. With two targets a block the full
// index was measured at 12 MB, with six at 22 MB, of the 64 MB that an entry may
// use. It covers 4 million prompt tokens.
const maxIndexedBlocks = 1 << 16

// holdersPerBlock bounds the targets remembered for one block. Two targets are
// selected by affinity; the others are spill-over.
const holdersPerBlock = 6

// prefixIndex estimates which prompt blocks each target has in its cache. The
// block used least recently is dropped first. It is safe for concurrent use.
type prefixIndex struct {
	mu     sync.Mutex
	limit  int
	blocks map[uint64]*list.Element // of *indexedBlock
	recent *list.List               // front: most recently used
}

type indexedBlock struct {
	hash    uint64
	holders []state.TargetID // the most recent last
}

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// lookup returns, for each target, how many leading blocks it has cached.
func (x *prefixIndex) lookup(blocks []uint64) map[state.TargetID]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	found := make(map[state.TargetID]int)
	for i, hash := range blocks {
		e := x.blocks[hash]
		if e == nil {
			break
		}
		extended := false
		for _, t := range e.Value.(*indexedBlock).holders {
			if found[t] == i {
				found[t] = i + 1
				extended = true
			}
		}
		if !extended {
			break
		}
	}
	return found
}

// add records that target holds blocks.
func (x *prefixIndex) add(target state.TargetID, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	// Later blocks are touched first, so that a prompt loses its tail before
	// its head when the index is full.
	for _, hash := range slices.Backward(blocks) {
		x.hold(target, hash)
	}
	for x.recent.Len() > x.limit {
		oldest := x.recent.Back()
		delete(x.blocks, oldest.Value.(*indexedBlock).hash)
		x.recent.Remove(oldest)
	}
	state.Assert(len(x.blocks) <= x.limit, state.BoundedState, "prefix index exceeds its limit")
}

func (x *prefixIndex) hold(target state.TargetID, hash uint64) {
	e := x.blocks[hash]
	if e == nil {
		e = x.recent.PushFront(&indexedBlock{hash: hash})
		x.blocks[hash] = e
	}
	x.recent.MoveToFront(e)
	b := e.Value.(*indexedBlock)
	if i := slices.Index(b.holders, target); i >= 0 {
		b.holders = slices.Delete(b.holders, i, i+1)
	} else if len(b.holders) >= holdersPerBlock {
		b.holders = slices.Delete(b.holders, 0, 1)
	}
	b.holders = append(b.holders, target)
}

// remove records that target no longer holds blocks.
func (x *prefixIndex) remove(target state.TargetID, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, hash := range blocks {
		e := x.blocks[hash]
		if e == nil {
			continue
		}
		b := e.Value.(*indexedBlock)
		if i := slices.Index(b.holders, target); i >= 0 {
			b.holders = slices.Delete(b.holders, i, i+1)
		}
		if len(b.holders) == 0 {
			delete(x.blocks, hash)
			x.recent.Remove(e)
		}
	}
}
