// Package side implements the attempt lifecycle at a side process: sessions and
// their fencing, the queue, the adaptive window, running attempts, retained
// responses, planned stop and recovery after a restart.
//
// Service.Run is the control goroutine and owns all state. Exported methods
// send it commands; one goroutine for each running attempt calls the Runner and
// reports back the same way. Response chunks are published through a record
// that the control goroutine alone writes and attempt streams read.
package side

import "time"

// Bounds and intervals.
const (
	// ProgressInterval is the longest time for which a stream stays without an
	// event. It is a third of the silence limit between entry and side process.
	ProgressInterval = 500 * time.Millisecond
	// Horizon is how long the outcome of an attempt is remembered, and the
	// response of a keyed one retained.
	Horizon = 10 * time.Minute
	// SessionGrace is how long the attempts of a lost session wait for the next
	// session of the same entry incarnation.
	SessionGrace = 10 * time.Second
	// DrainGrace bounds the wait for undelivered responses once nothing runs.
	DrainGrace = 10 * time.Second
	// RecoveryLimit bounds the wait for the target's list of live streams after
	// a start. Nothing is sent to the target before.
	RecoveryLimit = 10 * time.Second
	// MaxVoided bounds the table of voided attempts.
	MaxVoided = 4096
	// MaxRetained bounds the bytes of retained responses.
	MaxRetained = 16 << 20
	// MaxResponse bounds the bytes of one response.
	MaxResponse = 16 << 20
	// maxOutcomes bounds the outcomes remembered without a response, at about
	// 100 bytes each.
	maxOutcomes = 1 << 16
	// maxEntries bounds the entry incarnations remembered.
	maxEntries = 4096
	// maxCacheNews bounds the block hashes kept for one session between two of
	// its status messages.
	maxCacheNews = 4096
	// maxAdmissions is how often the target may turn an attempt away before the
	// attempt, or a queued one of a lower tier, is refused for it.
	maxAdmissions = 3
	// minAdmissionHold and maxAdmissionHold bound the time without new starts
	// after the target turned an attempt away. The upper bound keeps a slot from
	// staying unused when the target frees capacity early.
	minAdmissionHold = 100 * time.Millisecond
	maxAdmissionHold = 500 * time.Millisecond
	// tickInterval is how often deadlines are checked and speeds sampled.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often lost sessions and the horizon are checked,
	// which visits every entry that was ever seen.
	sweepInterval = 500 * time.Millisecond
	// cancelTimeout bounds a cancellation at the target.
	cancelTimeout = 2 * time.Second
	// recoveryRetry is the pause between two requests for the live streams.
	recoveryRetry = 500 * time.Millisecond
	// defaultOutput is the expected number of generated tokens of a request
	// that names no maximum and whose service has none either.
	defaultOutput = 128
	// commandBuffer is the number of commands that wait for the control
	// goroutine before senders block.
	commandBuffer = 256
)
