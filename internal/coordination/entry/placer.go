package entry

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Placer chooses targets for requests and learns from how their attempts end. It is
// safe for concurrent use and its methods do not block.
type Placer interface {
	// Place chooses a target. It returns false when no target qualifies.
	Place(q Query) (Decision, bool)
	// IsLeaving reports whether target is known to be shutting down.
	IsLeaving(target state.TargetID) bool
	// AttemptSent records that the attempt was, or may have been, dispatched.
	AttemptSent(target state.TargetID, attempt state.AttemptID, req *state.Request, blocks []uint64)
	// AttemptEnded records how an attempt ended. It is called once after every
	// AttemptSent.
	AttemptEnded(target state.TargetID, attempt state.AttemptID, o Outcome)
	// FiguresReceived records load figures that came with a refusal or a completion.
	FiguresReceived(target state.TargetID, f *state.LoadFigures)
	// CompareWaits returns the shortest predicted wait at any other target (best)
	// and the predicted wait of the request that is queued at target (current). It
	// returns false when target is unknown or there is no other target.
	CompareWaits(target state.TargetID, q Query) (best, current time.Duration, ok bool)
	// TargetsWithRoom returns the candidates for q that are not in q.Tried and that
	// may have room for a request of the tier: those whose latest figures show room
	// or a queued request of a lower tier, and those without figures of at most 2 s
	// of age. The entry must ask all of them before it may refuse the request for
	// load (see state.TierOrder).
	TargetsWithRoom(q Query, tier state.Tier) []state.TargetID
}

// Query describes the request to be placed.
type Query struct {
	Request *state.Request
	Blocks  []uint64 // prompt block hashes, see state.PromptBlockHashes
	// Tried lists the targets that refused or failed this request, and why.
	Tried map[state.TargetID]state.Reason
	Now   time.Time
}

// Decision is the target chosen for a request, and why.
type Decision struct {
	Target     state.TargetID
	Policy     string
	Reason     string        // why Target was chosen, for the log
	Candidates []Candidate   // the targets compared
	Wait       time.Duration // predicted time to the first token at Target
}

// Candidate is a target that was compared with others for a placement.
type Candidate struct {
	Target state.TargetID
	Score  float64       // 0 to 1
	Wait   time.Duration // predicted time to the first token
}

// Outcome says how an attempt ended. At most one of Complete, NotRun and Unknown is
// set. None is set when the target reported a failure, when the deadline passed or
// when the attempt was cancelled.
type Outcome struct {
	Usage    state.Usage // zero when the target reported none
	Complete bool        // the whole response arrived
	NotRun   bool        // refused or withdrawn before it ran
	Unknown  bool        // may have run
	Reason   state.Reason
}
