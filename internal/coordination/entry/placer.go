package entry

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Placer chooses targets and learns from what happens to attempts. It is safe
// for concurrent use and its methods do not block.
type Placer interface {
	// Place chooses a target. It returns false when no target qualifies.
	Place(q Query) (Decision, bool)
	// IsLeaving reports whether target is known to leave.
	IsLeaving(target state.TargetID) bool
	// Sent tells that the attempt was dispatched.
	Sent(target state.TargetID, attempt state.AttemptID, req *state.Request, blocks []uint64)
	// Ended tells how an attempt ended. Every Sent is followed by one Ended.
	Ended(target state.TargetID, attempt state.AttemptID, o Outcome)
	// Figures hands over load figures that came with a refusal or a completion.
	Figures(target state.TargetID, f *state.Figures)
	// Alternative returns the best predicted wait at other targets and the
	// predicted wait of a request that is queued at target. It returns false
	// when there is no other target or nothing is known.
	Alternative(target state.TargetID, q Query) (best, current time.Duration, ok bool)
	// LowerTierQueued returns the candidates for q that q has not tried and that
	// may have room for a request of the tier: their latest figures, at most 2 s
	// old, show it, or there are none. The entry may not refuse the request for
	// load before it has asked them.
	LowerTierQueued(q Query, tier state.Tier) []state.TargetID
}

// Query describes the request to be placed.
type Query struct {
	Request *state.Request
	Blocks  []uint64 // prompt block hashes, see state.PromptBlocks
	// Tried lists the targets that refused or failed this request, and why.
	Tried map[state.TargetID]state.Reason
	Now   time.Time
}

// Decision is the choice of a target.
type Decision struct {
	Target     state.TargetID
	Policy     string
	Reason     string        // why Target was picked, for the log
	Candidates []Candidate   // the targets weighed
	Wait       time.Duration // predicted time to the first token at Target
}

// Candidate is one target weighed.
type Candidate struct {
	Target state.TargetID
	Score  float64       // 0 to 1
	Wait   time.Duration // predicted time to the first token
}

// Outcome tells how an attempt ended. At most one of Complete, NotRun and
// Unknown is set; none means that the target reported a failure or that the
// attempt was cancelled.
type Outcome struct {
	Usage    state.Usage // zero when the target reported none
	Complete bool        // the response arrived whole
	NotRun   bool        // refused or withdrawn
	Unknown  bool        // may have run
	Reason   state.Reason
}
