package dispatch

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Request is a request for a slot of a target.
type Request struct {
	ID      state.RequestID
	Service state.Service
	Route   string // name of the route, for the calibration table and the trials of roll-outs
	// Rank is the priority among waiting requests; 0 is the highest.
	Rank int
	// Work is the size of the request, from which the time that it takes is predicted.
	Work costmodel.Work
	// LargestWork is Work with the largest output that the request may have.
	LargestWork costmodel.Work
	// Arrived is when the first attempt of the caller was read.
	Arrived time.Time
	// ReadAt is when this attempt of the caller was read.
	ReadAt time.Time
	// Objective is the longest time from Arrived to the start of the response with
	// which the request is on time.
	Objective time.Duration
	// Deadline is when the entry gives the request up.
	Deadline time.Time
	// CallerLeaves is when the caller leaves unless the response has started; zero if it
	// waits until its deadline.
	CallerLeaves time.Time
	// ObjectiveMissed says that the objective can no longer be met. The scheduler sets
	// it.
	ObjectiveMissed bool
	// Tried are the targets that must not be chosen again.
	Tried []state.TargetID
	// RequiredSoftware is the software version that the target must have, because
	// targets of other versions cannot continue the stream; nil if any may serve it.
	RequiredSoftware *state.SoftwareVersion
	// Repeatable says that the request may run more than once, so that it may probe
	// an ejected target.
	Repeatable bool
	// typicalResponse and typicalDuration are the predicted times to the start and to the
	// end of the response at a target of usual speed without other requests.
	typicalResponse, typicalDuration time.Duration
	// Resumed says that the response continues an earlier one, so that its times tell
	// nothing about requests of this size.
	Resumed bool
	// ResponseBegun says that the caller has the start of the response, so that a refusal
	// would break it off.
	ResponseBegun bool
	// HandOver says that the request is still at a target, which has stalled, and is taken
	// from there only if it ends in time elsewhere: before its deadline and a planned stop,
	// even if it takes longestFactor times as long as predicted. It does not probe an ejected
	// target.
	HandOver bool
	// HandOverTime is the least time before the deadline with which a request with HandOver is
	// taken from its target.
	HandOverTime time.Duration
	// AlreadyAdmitted says that the request was admitted before and needs another
	// target. It is not refused for load and goes first in the queue.
	AlreadyAdmitted bool
	// versions is what a roll-out allows, as chosen last. versionsBlocked says that it allows
	// no target now, and oldOnly that no target of its new version is to be picked.
	versions                 rollout.Choice
	versionsBlocked, oldOnly bool
}

// allows reports whether the request may be sent to a target with the given record.
func (r *Request) allows(t *state.TargetRecord) bool {
	return !t.Draining && !slices.Contains(r.Tried, t.ID) && (r.RequiredSoftware == nil || *r.RequiredSoftware == t.Software) && r.allowsVersion(t)
}

// Reasons for refusals, as they appear in logs.
const (
	ReasonNoTarget = "no_target"
	ReasonOverload = "overload"
	// ReasonTooLate says that the request would be cut off by its deadline at every target.
	ReasonTooLate  = "too_late"
	ReasonPaused   = "targets_paused"
	ReasonStopping = "stopping"
	// ReasonVersion says that the only software version that can continue the stream takes no
	// requests, because it is given up.
	ReasonVersion = "version_given_up"
	// ReasonLateHandOver says that a request with HandOver would not end in time elsewhere.
	ReasonLateHandOver = "late_handover"
)

// Refusal is the error of a placement that finds no target. The request has not been
// sent.
type Refusal struct {
	Reason        string
	RetryAfter    time.Duration // time after which the caller may retry
	Ahead         int           // waiting requests that would be served before it
	PredictedWait time.Duration // 0 unless the reason is ReasonOverload or ReasonTooLate
	Limited       int           // targets of the service that state a limit; 0 unless ReasonOverload or ReasonTooLate
}

// Error implements error.
func (r *Refusal) Error() string { return "placement refused: " + r.Reason }

// Grant is a slot of a target that a request holds until Scheduler.Release.
type Grant struct {
	Target state.TargetRecord
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Used is the number of requests of all entries that were open at the target
	// before this one, and Slots that of the target's slots. These and the following
	// fields are for the log.
	Used, Slots int
	Candidates  int // targets among which the policy picked
	// Predicted is the predicted time from the grant to the start of the response.
	Predicted time.Duration
	// Events is the number of events of the response. The holder sets it before
	// Scheduler.Release; it stays 0 for a response that is not a stream.
	Events int
	Policy string // name of the policy
	// ExpiresAt is when the grant may no longer be used to send the request.
	ExpiresAt time.Time
	// RateLimit is the limit of the target that was known when the slot was granted.
	RateLimit state.RateLimit
	// RecordAge is the time since the record of the target was new or changed here. MayHaveEnded says
	// that the process of the target may have ended since, and SinceEnd how long ago the last sign of
	// that was. The target may then be another process, of another software version than the record.
	RecordAge    time.Duration
	MayHaveEnded bool
	SinceEnd     time.Duration
	// Counted says that the request counts as sent to the software version of its target, so
	// that its end is to be told to what judges versions.
	Counted bool

	relisted atomic.Bool // see Relisted

	target   *target
	request  *Request
	load     costmodel.Load // of the target before this request
	duration time.Duration  // predicted
	// predictedEnd is duration with the wait for a slot.
	predictedEnd   time.Duration
	calibrationKey calibrationKey
	grantedAt      time.Time
	endedAt        time.Time      // when Ended returned the slot; zero before, and after Release
	respondedAt    time.Time      // zero before the response starts
	versions       rollout.Choice // with the permit that the request uses, if any
}

// Relisted reports whether the target was listed with another software version while the grant was open.
// Either version may have answered then: the record by which the target was chosen may have been outdated,
// or the process before finishes its requests beside the next one.
func (g *Grant) Relisted() bool { return g.relisted.Load() }

// Outcome says how a request ended at its target.
type Outcome uint8

// The outcomes of a request.
const (
	// Served means that the target sent a complete response.
	Served Outcome = iota
	// Failed means that the target responded with an error for this request.
	Failed
	// Rejected means that the target responded that it did not run the request.
	Rejected
	// Gone means that another target now has the address; the request did not run.
	Gone
	// Unreachable means that the request was not sent, because no connection could be
	// opened.
	Unreachable
	// Unused means that the request was not sent, because the grant had expired, its target
	// has stated that it takes no requests, the entry is short of descriptors, or its holder
	// does not use it.
	Unused
	// Broken means that the response was missing, invalid or incomplete.
	Broken
	// Cancelled means that the attempt ended for a reason on the caller's side; it
	// says nothing about the target.
	Cancelled
	// Silent means that the target did not respond in time or its response stalled.
	Silent
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "rejected", "gone", "unreachable", "unused", "broken", "cancelled", "silent"}[o]
}
