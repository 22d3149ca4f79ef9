package entry

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// NoAlternative is the predicted wait elsewhere when no other target can take
// the request.
const NoAlternative time.Duration = math.MaxInt64

// Placer chooses targets and learns from what happens to attempts. It is safe
// for concurrent use and its methods do not block.
type Placer interface {
	// Place chooses a target. It returns false when no target qualifies.
	Place(q Query) (Decision, bool)
	// Sent tells that the attempt was dispatched.
	Sent(target state.TargetID, attempt state.AttemptID, req *state.Request, blocks []uint64)
	// Ended tells how an attempt ended. Every Sent is followed by one Ended. An
	// attempt that could not be dispatched ends without Sent and with the zero
	// AttemptID when it was not even reserved.
	Ended(target state.TargetID, attempt state.AttemptID, o Outcome)
	// Figures hands over load figures that came with a refusal or a completion.
	Figures(target state.TargetID, f *state.Figures)
	// Alternative returns the best predicted wait at targets that q has not
	// tried, NoAlternative when there is none, and the predicted wait of a
	// request that is queued at target.
	Alternative(target state.TargetID, q Query) (elsewhere, current time.Duration)
	// LowerTierQueued returns the candidates for q whose latest figures, at most
	// 2 s old, show a free slot or a queued request of a tier lower than tier.
	// The entry may not refuse the request for load before it has asked them.
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
	Reason     string      // why Target was picked, for the log
	Candidates []Candidate // the targets weighed
	Wait       time.Duration
}

// Candidate is one target weighed and its score from 0 to 1.
type Candidate struct {
	Target state.TargetID
	Score  float64
}

// Outcome tells how an attempt ended. At most one of Completed, NotRun and
// Unknown is set; none means that the target reported a failure or that the
// attempt was cancelled.
type Outcome struct {
	Completed bool
	NotRun    bool
	Unknown   bool
	// Unreachable is set when the session failed: nothing was sent, or the
	// attempt's fate could not be asked for.
	Unreachable bool
	Reason      state.Reason
	Usage       state.Usage // zero when the target reported none
}
