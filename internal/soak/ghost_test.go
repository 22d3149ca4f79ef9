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

// maxReportedFailures is the number of failures reported for one case.
const maxReportedFailures = 5

// attemptAtTarget identifies an attempt together with the target that it reached.
type attemptAtTarget struct {
	target state.TargetID
	id     state.AttemptID
}

// ghost is the ghost state of one case: it records what really happened, compares
// it with what was reported and collects the failures.
type ghost struct {
	// killedWhileLeaving reports whether a side process was killed after it had
	// begun to leave. It then ends with running attempts, which violates the
	// invariant state.GracefulStop here; a real process that is killed does not
	// get as far as that check.
	killedWhileLeaving atomic.Bool

	mu                sync.Mutex
	failures          []string
	arrivedAttempts   map[attemptAtTarget]bool
	executedRequests  map[state.RequestID]bool
	nonIdempotentRuns map[string]attemptAtTarget // attempt that ran each non-idempotent operation
	reportedNotRun    map[state.RequestID]state.Reason
	openDeadlines     map[state.RequestID]time.Time // of the requests that have not ended
}

func newGhost() *ghost {
	return &ghost{
		arrivedAttempts: make(map[attemptAtTarget]bool), executedRequests: make(map[state.RequestID]bool),
		nonIdempotentRuns: make(map[string]attemptAtTarget), reportedNotRun: make(map[state.RequestID]state.Reason),
		openDeadlines: make(map[state.RequestID]time.Time),
	}
}

func (g *ghost) fail(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failLocked(format, args...)
}

func (g *ghost) failLocked(format string, args ...any) {
	if len(g.failures) < maxReportedFailures {
		g.failures = append(g.failures, fmt.Sprintf(format, args...))
	}
}

func (g *ghost) failureList() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failures
}

// attemptArrived records that an attempt reached its target, which runs it.
func (g *ghost) attemptArrived(target state.TargetID, id state.AttemptID, req *state.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.arrivedAttempts[attemptAtTarget{target, id}] {
		g.failLocked("attempt %s reached target %s twice", id, target)
	}
	if reason, ok := g.reportedNotRun[req.ID]; ok {
		g.failLocked("request %s runs at %s after it was reported as not run (%s)", req.ID, target, reason)
	}
	op := string(req.Body)
	if earlier, ok := g.nonIdempotentRuns[op]; ok {
		g.failLocked("non-idempotent %s ran as attempt %s at %s and again as %s at %s", op, earlier.id, earlier.target, id, target)
	}
	g.arrivedAttempts[attemptAtTarget{target, id}], g.executedRequests[req.ID] = true, true
	if !req.Idempotent {
		g.nonIdempotentRuns[op] = attemptAtTarget{target, id}
	}
}

// requestReportedNotRun records that a call was reported as not run. The report
// covers this call only: an earlier call with the same key may have run.
func (g *ghost) requestReportedNotRun(id state.RequestID, op string, reason state.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.nonIdempotentRuns[op]; ok {
		count("not run, earlier call ran: "+string(reason), 1)
	}
	g.reportedNotRun[id] = reason
	if g.executedRequests[id] {
		g.failLocked("request %s ran and was reported as not run (%s)", id, reason)
	}
}

func (g *ghost) requestStarted(id state.RequestID, deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openDeadlines[id] = deadline
}

// endGrace is how long after its deadline a request may end. It covers two round
// trips and the wait for the answer to a withdrawal.
const endGrace = 2 * time.Second

func (g *ghost) requestEnded(id state.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if late := time.Since(g.openDeadlines[id]); late > endGrace {
		g.failLocked("request %s ended %s after its deadline", id, late)
	}
	delete(g.openDeadlines, id)
}

func (g *ghost) openRequests() map[state.RequestID]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.openDeadlines)
}

// sortedKeys returns the keys of a map in ascending order, which, unlike the
// iteration order, is the same in every run.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// chunkCount returns the number of chunks, 1 to 12, in the response to an
// operation.
func chunkCount(op string) uint64 { return 1 + xxhash.Sum64String(op)%12 }

// chunkContent returns the data of one chunk of the response to an operation.
func chunkContent(op string, offset uint64) string { return fmt.Sprintf("%s#%d", op, offset) }
