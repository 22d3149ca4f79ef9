package placement

import (
	"container/list"
	"slices"
	"sync"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// blockTokens is the number of tokens in a prompt block.
const blockTokens = state.PromptBlockBytes / state.BytesPerToken

// maxIndexedBlocks bounds the prefix index to 4 million prompt tokens. Full, it
// takes 12 MB with two targets per block and 22 MB with six, of the 64 MB that an
// entry may use.
const maxIndexedBlocks = 1 << 16

// maxTargetsPerBlock bounds the targets recorded for one block. Two of them are
// selected by affinity; the others have received spill-over.
const maxTargetsPerBlock = 6

// prefixIndex estimates which prompt blocks each target has in its cache. When it
// is full, the least recently used blocks are dropped. It is safe for concurrent
// use.
type prefixIndex struct {
	mu        sync.Mutex
	maxBlocks int
	blocks    map[uint64]*list.Element // by block hash; values are *indexedBlock
	lru       *list.List               // front: most recently used
}

type indexedBlock struct {
	hash    uint64
	targets []state.TargetID // most recent last
}

func newPrefixIndex(maxBlocks int) *prefixIndex {
	return &prefixIndex{maxBlocks: maxBlocks, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// lookup returns, for each target, how many leading blocks it has cached.
func (x *prefixIndex) lookup(blocks []uint64) map[state.TargetID]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	cached := make(map[state.TargetID]int)
	for i, hash := range blocks {
		e := x.blocks[hash]
		if e == nil {
			break
		}
		extended := false
		for _, t := range e.Value.(*indexedBlock).targets {
			if cached[t] == i {
				cached[t] = i + 1
				extended = true
			}
		}
		if !extended {
			break
		}
	}
	return cached
}

// add records that target has blocks in its cache.
func (x *prefixIndex) add(target state.TargetID, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	// The last block is added first, so that a full index drops the end of a
	// prompt before its beginning.
	for _, hash := range slices.Backward(blocks) {
		x.addBlock(target, hash)
	}
	for x.lru.Len() > x.maxBlocks {
		oldest := x.lru.Back()
		delete(x.blocks, oldest.Value.(*indexedBlock).hash)
		x.lru.Remove(oldest)
	}
	state.Assert(len(x.blocks) <= x.maxBlocks, state.BoundedState, "prefix index exceeds its limit")
}

// addBlock makes the block the most recently used one and target its most recent
// target.
func (x *prefixIndex) addBlock(target state.TargetID, hash uint64) {
	e := x.blocks[hash]
	if e == nil {
		e = x.lru.PushFront(&indexedBlock{hash: hash})
		x.blocks[hash] = e
	}
	x.lru.MoveToFront(e)
	b := e.Value.(*indexedBlock)
	if i := slices.Index(b.targets, target); i >= 0 {
		b.targets = slices.Delete(b.targets, i, i+1)
	} else if len(b.targets) >= maxTargetsPerBlock {
		b.targets = slices.Delete(b.targets, 0, 1)
	}
	b.targets = append(b.targets, target)
}

// remove records that target no longer has blocks in its cache.
func (x *prefixIndex) remove(target state.TargetID, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, hash := range blocks {
		e := x.blocks[hash]
		if e == nil {
			continue
		}
		b := e.Value.(*indexedBlock)
		if i := slices.Index(b.targets, target); i >= 0 {
			b.targets = slices.Delete(b.targets, i, i+1)
		}
		if len(b.targets) == 0 {
			delete(x.blocks, hash)
			x.lru.Remove(e)
		}
	}
}
