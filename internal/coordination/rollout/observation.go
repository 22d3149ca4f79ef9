package rollout

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Outcome is how a request ended at a target.
type Outcome uint8

// The outcomes of requests.
const (
	// Answered is a complete response that does not blame the target, 4xx included.
	Answered Outcome = iota
	// Failed is a response that blames the target: 5xx other than 503, an invalid response, or
	// one that ends early.
	Failed
	// Refused says that the target did not run the request: 429, 503.
	Refused
	// Lost is a connection that ended without a response. The ledger finds out whether the
	// target crashed, which counts once, or goes on answering, which counts as Failed.
	Lost
	// TimedOut is a request that had no complete response within the time limit of its route.
	// It counts as a slow response, because slow targets and saturation cause time-outs too.
	TimedOut
	// Unreachable is a connection that the target did not accept; nothing was sent.
	Unreachable
	// Begun says that the response has begun and the request goes on. Ratio relates to the time
	// until its first byte or event. It is optional and precedes another outcome.
	Begun
	// Overdue says that the request goes on although it has taken Ledger.OverdueRatio times the
	// predicted time. It is optional and precedes another outcome.
	Overdue
	// Ignored says nothing of the target: the caller left, the sender cancelled the request, or
	// the quarantine knows it as the cause of a crash. If Ratio is set and already shows a slow
	// response, it counts as one.
	Ignored
)

// Observation is the end of a request at a target.
type Observation struct {
	Service  state.Service
	Target   state.TargetID
	Software state.SoftwareVersion
	Route    string
	Outcome  Outcome
	// Took is the time from sending the request to its end.
	Took time.Duration
	// OverdueBefore says that Overdue was observed for the same request before, so that its end
	// does not count as slow once more. It means nothing for Overdue itself.
	OverdueBefore bool
	// Ratio is the actual time divided by the predicted time at a target of usual speed of the
	// service, for this size and load. 0 if it is not known.
	Ratio float64
	// Slowness is how many times as long as usual the target takes, as learned before (see
	// costmodel.Service.Slowness). 0 if it is not known. It is used for old targets only: for a
	// new one it would hide a slow version.
	Slowness float64
}
