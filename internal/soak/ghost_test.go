package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// maxFaults bounds the faults reported for one case.
const maxFaults = 5

// placed is an attempt at its target.
type placed struct {
	target state.TargetID
	id     state.AttemptID
}

// ghost records what really happened in one case.
type ghost struct {
	// crashed tells that a process was killed while it was leaving. It then ends
	// with running attempts, as a real one does without a check.
	crashed atomic.Bool

	mu      sync.Mutex
	faults  []string
	arrived map[placed]bool
	ran     map[state.RequestID]bool
	once    map[string]placed // non-idempotent operations that have run, and as which attempt
	notRun  map[state.RequestID]state.Reason
	open    map[state.RequestID]time.Time // deadlines of the requests that have not ended
}

func newGhost() *ghost {
	return &ghost{
		arrived: make(map[placed]bool), ran: make(map[state.RequestID]bool),
		once: make(map[string]placed), notRun: make(map[state.RequestID]state.Reason),
		open: make(map[state.RequestID]time.Time),
	}
}

func (g *ghost) fail(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failLocked(format, args...)
}

func (g *ghost) failLocked(format string, args ...any) {
	if len(g.faults) < maxFaults {
		g.faults = append(g.faults, fmt.Sprintf(format, args...))
	}
}

func (g *ghost) faultList() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// reached notes that a request arrived at its target.
func (g *ghost) reached(target state.TargetID, id state.AttemptID, req *state.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.arrived[placed{target, id}] {
		g.failLocked("attempt %s reached target %s twice", id, target)
	}
	if reason, ok := g.notRun[req.ID]; ok {
		g.failLocked("request %s runs at %s after it was reported as not run (%s)", req.ID, target, reason)
	}
	op := string(req.Body)
	if earlier, ok := g.once[op]; ok {
		g.failLocked("non-idempotent %s ran as attempt %s at %s and again as %s at %s", op, earlier.id, earlier.target, id, target)
	}
	g.arrived[placed{target, id}], g.ran[req.ID] = true, true
	if !req.Idempotent {
		g.once[op] = placed{target, id}
	}
}

// refused notes that a call was reported as not run. An earlier call with the
// same key may have run, of which the report says nothing.
func (g *ghost) refused(id state.RequestID, op string, reason state.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.once[op]; ok {
		count("not run, earlier call ran: "+string(reason), 1)
	}
	g.notRun[id] = reason
	if g.ran[id] {
		g.failLocked("request %s ran and was reported as not run (%s)", id, reason)
	}
}

func (g *ghost) begun(id state.RequestID, deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[id] = deadline
}

// endGrace is how long after its deadline a request may end: two round trips
// and the wait for the answer to a withdrawal.
const endGrace = 2 * time.Second

func (g *ghost) ended(id state.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if late := time.Since(g.open[id]); late > endGrace {
		g.failLocked("request %s ended %s after its deadline", id, late)
	}
	delete(g.open, id)
}

func (g *ghost) stillOpen() map[state.RequestID]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.open)
}

// sortedKeys returns the keys in an order that is the same in every run.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// chunks returns the number of chunks of the response to an operation.
func chunks(op string) uint64 { return 1 + xxhash.Sum64String(op)%12 }

// content returns one chunk of the response to an operation.
func content(op string, offset uint64) string { return fmt.Sprintf("%s#%d", op, offset) }
