// Package side implements the side process, a sidecar of one target: the lifecycle of
// attempts with sessions and their fencing, the queue, the adaptive window, running
// attempts, retained responses, planned stop and recovery after a restart.
//
// Service.Run is the control goroutine and owns all state. Exported methods
// send it commands; one goroutine for each running attempt calls the Runner and
// reports back the same way. The events of an attempt are published through an
// eventBuffer that only the control goroutine writes and that streams read.
package side

import "time"

// Bounds and intervals.
const (
	// ProgressInterval is the longest time for which a stream returns no event
	// after its first. It is a third of the silence timeout between entry and
	// side process.
	ProgressInterval = 500 * time.Millisecond
	// RetentionPeriod is how long the outcome of an attempt is remembered, and
	// how long the response of an attempt with a key is retained.
	RetentionPeriod = 10 * time.Minute
	// SessionGrace is how long the attempts of a lost session are kept for the
	// next session of the same entry incarnation.
	SessionGrace = 10 * time.Second
	// DrainGrace bounds the wait for undelivered responses during a planned
	// stop. It begins when nothing runs any more.
	DrainGrace = 10 * time.Second
	// LeaveNotice is the shortest duration of a planned stop. In this time entries
	// learn that the target is leaving, also when a packet is lost, and the
	// dispatches that were on their way are refused as not run.
	LeaveNotice = 500 * time.Millisecond
	// RecoveryTimeout bounds the wait for the target's list of attempts after a
	// start. No attempt starts until the list arrives or the timeout passes.
	RecoveryTimeout = 10 * time.Second
	// MaxVoidedAttempts bounds the table of attempts that were voided before
	// they arrived.
	MaxVoidedAttempts = 4096
	// MaxRetainedBytes bounds the total size of the retained responses.
	MaxRetainedBytes = 16 << 20
	// MaxResponseBytes bounds the size of one response.
	MaxResponseBytes = 16 << 20
	// maxOutcomes bounds the number of outcomes that are remembered without a
	// response. Each takes about 100 bytes.
	maxOutcomes = 1 << 16
	// maxEntries bounds the number of known entry incarnations. Only those
	// without a session are evicted, so the table grows beyond the bound while
	// all have one.
	maxEntries = 4096
	// maxCacheHashes bounds the block hashes kept for one session between two of
	// its status messages, separately for stored and evicted blocks.
	maxCacheHashes = 4096
	// maxTargetRejections is how often the target may decline to admit an
	// attempt before this attempt, or a queued one of a lower tier, is refused.
	maxTargetRejections = 3
	// minRejectionPause and maxRejectionPause bound the time for which no
	// attempt starts after the target did not admit one. The upper bound keeps
	// slots from staying unused when the target frees capacity early.
	minRejectionPause = 100 * time.Millisecond
	maxRejectionPause = 500 * time.Millisecond
	// tickInterval is how often deadlines are checked and the rates of the
	// target are sampled.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often lost sessions and the retention period are
	// checked. The check visits every known entry.
	sweepInterval = 500 * time.Millisecond
	// targetCallTimeout bounds a cancellation at the target and a request for
	// the target's list of attempts.
	targetCallTimeout = 2 * time.Second
	// recoveryRetryInterval is the pause between two requests for the target's
	// list of attempts.
	recoveryRetryInterval = 500 * time.Millisecond
	// defaultOutputTokens is the number of generated tokens assumed as the
	// maximum of a request that names none and whose service has none either.
	defaultOutputTokens = 128
	// commandBuffer is the number of commands that can wait for the control
	// goroutine before senders block.
	commandBuffer = 256
)
