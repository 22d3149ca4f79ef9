package dispatch

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Request asks for a target.
type Request struct {
	ID      state.RequestID
	Service state.Service
	// Rank orders requests that wait; 0 goes first.
	Rank int
	// Cost is the expected work, in milliseconds of an engine of ordinary speed;
	// 1 for plain services.
	Cost float64
	// Prefill is the part of Cost before the response begins.
	Prefill float64
	// Arrived is when the caller's request was read.
	Arrived time.Time
	// Objective is the time from Arrived to the response that is still on time.
	Objective time.Duration
	// Deadline is when the request is given up.
	Deadline time.Time
	// Returned says that the objective is missed already, because the caller was
	// refused before or because the request has waited for too long.
	Returned bool
	// Tried are the targets that must not be chosen again.
	Tried []state.TargetID
	// Repeatable requests may be sent to a target that is probed.
	Repeatable bool
	// Again marks a request that was admitted before and is placed once more. It
	// is not refused for load.
	Again bool
}

func (r *Request) tried(id state.TargetID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// Reasons for refusals, as they appear in logs.
const (
	ReasonNoTarget = "no_target"
	ReasonOverload = "overload"
)

// Refusal says why a request gets no target. It has not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	Waiting    int           // requests ahead of it
	Predicted  time.Duration // wait that was predicted
}

// Error implements error.
func (r *Refusal) Error() string { return "refused: " + r.Reason }

// Grant is a slot of a target. It must be released once.
type Grant struct {
	Target state.TargetRecord
	// Waited is the time in the queue.
	Waited time.Duration
	// Inputs of the decision, for the log.
	Used, Slots int
	Candidates  int
	Policy      string // name of the policy that chose

	target  *target
	request *Request
	sent    time.Time
	headAt  time.Time
}

// Outcome says how a request ended at its target.
type Outcome uint8

// The outcomes.
const (
	// Served is a complete response.
	Served Outcome = iota
	// Failed is a failure that the target reports of the request itself.
	Failed
	// Rejected says that the target did not run the request.
	Rejected
	// Gone says that another target has the address; the request did not run.
	Gone
	// Unreachable says that no connection could be opened.
	Unreachable
	// Broken is a response that did not come or ended early.
	Broken
	// Cancelled says that the caller left or time ran out here; it says nothing of
	// the target.
	Cancelled
	// Silent says that time ran out before the target answered at all.
	Silent
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "rejected", "gone", "unreachable", "broken", "cancelled", "silent"}[o]
}
