package state

import "time"

// Dispatch asks a side process to run a request once.
type Dispatch struct {
	Attempt     AttemptID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"` // of the addressed side process
	Request     Request     `cbor:"3,keyasint"`
}

// Attach asks for the state of an attempt and for its events from Offset on.
// Any entry may attach to any attempt; only the entry that dispatched the
// attempt may withdraw or cancel it.
type Attach struct {
	Attempt     AttemptID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Offset      uint64      `cbor:"3,keyasint"` // of the first requested chunk
}

// Withdraw removes a queued attempt from the queue. A running attempt is not
// affected.
type Withdraw struct{}

// Cancel ends the attempt even if it is already running.
type Cancel struct{}

// Void asks the side process to refuse the attempt from now on. The response
// is an AttemptState; its phases AttemptVoided and AttemptNotRun are receipts,
// see Claim.Receipt.
type Void struct {
	Attempt     AttemptID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Ack confirms that the complete response was received and need not be retained.
type Ack struct{}

// AttemptEvent is one of the events that a side process reports about an
// attempt: *AttemptState, *Queued, *Started, *Head, *Chunk, *Progress, *Done,
// *Refused or *Failed. The last three end the attempt.
type AttemptEvent interface{ attemptEvent() }

// AttemptState is the first event after Attach and the response to Void.
type AttemptState struct {
	Phase  Phase  `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"` // number of chunks produced so far
}

// Queued reports that the attempt waits in the queue of the side process.
type Queued struct {
	Ahead int           `cbor:"1,keyasint"` // queued attempts that will start earlier
	Wait  time.Duration `cbor:"2,keyasint"` // predicted wait, nanoseconds
}

// Started reports that the attempt was dispatched to the target. From then on
// it may have run.
type Started struct{}

// Head carries the status line and headers of a plain service's response.
type Head struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
}

// Chunk carries a piece of the response. For engines it is the data of one
// server-sent event and Offset counts events from 0; for plain services it is
// a piece of the body and Offset counts pieces from 0.
type Chunk struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Progress reports that the attempt is alive while it produces no chunks.
type Progress struct{}

// Done ends an attempt with a complete response.
type Done struct {
	Chunks  uint64      `cbor:"1,keyasint"` // number of chunks of the response
	Usage   Usage       `cbor:"2,keyasint"`
	Figures LoadFigures `cbor:"3,keyasint"`
}

// Refused ends an attempt that has not run and will not run.
type Refused struct {
	Reason     Reason        `cbor:"1,keyasint"`
	RetryAfter time.Duration `cbor:"2,keyasint"` // nanoseconds; 0 when unknown
	Figures    LoadFigures   `cbor:"3,keyasint"`
}

// Failed ends an attempt that was dispatched to the target and did not finish.
type Failed struct {
	Reason Reason `cbor:"1,keyasint"`
	// OutcomeUnknown is false when the target itself reported an error, so that
	// the outcome is known to be a failure.
	OutcomeUnknown bool   `cbor:"2,keyasint"`
	Detail         string `cbor:"3,keyasint,omitempty"`
	Status         int    `cbor:"4,keyasint,omitempty"` // HTTP status of the target's own error; 0 for none
	Usage          Usage  `cbor:"5,keyasint"`
}

func (*AttemptState) attemptEvent() {}
func (*Queued) attemptEvent()       {}
func (*Started) attemptEvent()      {}
func (*Head) attemptEvent()         {}
func (*Chunk) attemptEvent()        {}
func (*Progress) attemptEvent()     {}
func (*Done) attemptEvent()         {}
func (*Refused) attemptEvent()      {}
func (*Failed) attemptEvent()       {}

// Phase is the state of an attempt at its side process.
type Phase uint8

// The phases of an attempt.
const (
	AttemptUnseen  Phase = iota + 1 // never arrived; final when its session is fenced
	AttemptQueued                   // waits in the queue
	AttemptRunning                  // dispatched to the target
	AttemptDone                     // finished; the response is retained
	AttemptFailed                   // dispatched and ended without a complete response
	AttemptVoided                   // refused by this incarnation until the process ends
	AttemptNotRun                   // refused, withdrawn or displaced before it ran
	AttemptExpired                  // finished; the response is no longer retained
	AttemptUnknown                  // this incarnation cannot determine the phase
)

// Reason says why an attempt was refused or failed. It is also the error code
// that callers see.
type Reason string

// IsShed reports whether the reason is load shedding: the queue was full, a
// request of a higher tier displaced this one, or the target did not admit it.
func (r Reason) IsShed() bool {
	return r == ReasonQueueFull || r == ReasonDisplaced || r == ReasonNotAdmitted
}

// IsOverload reports whether the reason is load: the request was shed, or its
// deadline cannot be met.
func (r Reason) IsOverload() bool { return r.IsShed() || r == ReasonDeadline }

// The reasons for Refused.
const (
	ReasonQueueFull        Reason = "queue_full"
	ReasonDisplaced        Reason = "displaced_by_higher_tier"
	ReasonLeaving          Reason = "target_leaving"
	ReasonFenced           Reason = "session_fenced"
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonVoided           Reason = "attempt_voided"
	ReasonWithdrawn        Reason = "withdrawn"
	ReasonDeadline         Reason = "deadline_not_reachable"
	ReasonTooLarge         Reason = "request_too_large"
	ReasonNotLoaded        Reason = "model_not_loaded"
	ReasonDuplicate        Reason = "duplicate_attempt"
	ReasonNoBundle         Reason = "no_bundle_in_effect"
	ReasonUnreachable      Reason = "target_unreachable"
	ReasonNotAdmitted      Reason = "target_not_admitting"
)

// The reasons for Failed.
const (
	ReasonTargetError   Reason = "target_error"
	ReasonTargetSilent  Reason = "target_silent"
	ReasonStreamBroken  Reason = "stream_broken"
	ReasonCancelled     Reason = "cancelled"
	ReasonSideRestarted Reason = "side_process_restarted"
	ReasonTimeout       Reason = "deadline_exceeded"
	// ReasonResponseTooLarge says that the response exceeded the side process's
	// limit for one response.
	ReasonResponseTooLarge Reason = "response_too_large"
)

// Status is the load report that a side process sends on each session.
type Status struct {
	Figures       LoadFigures `cbor:"1,keyasint"`
	Leaving       bool        `cbor:"2,keyasint,omitempty"`
	BundleVersion uint64      `cbor:"3,keyasint"` // version of the bundle in effect; 0 for none
	// Cached lists hashes of prompt blocks that the engine has reported as cached
	// since the last status; Evicted lists those reported as evicted.
	Cached  []uint64 `cbor:"4,keyasint,omitempty"`
	Evicted []uint64 `cbor:"5,keyasint,omitempty"`
}

// Signature is one operator's signature over a bundle document.
type Signature struct {
	Operator  string `cbor:"1,keyasint" json:"operator"`
	Signature []byte `cbor:"2,keyasint" json:"signature"`
}

// AcceptedBundle is a bundle that a process has accepted from the log. Version
// is 0 when there is none.
type AcceptedBundle struct {
	Version    uint64      `cbor:"1,keyasint" json:"version"`
	Offset     uint64      `cbor:"2,keyasint" json:"accepted_offset"` // log offset at which the bundle was accepted
	Document   []byte      `cbor:"3,keyasint" json:"document"`
	Signatures []Signature `cbor:"4,keyasint" json:"signatures"`
}

// Reservation names an attempt before it is dispatched, so that the caller's
// key can be claimed for the attempt first.
type Reservation struct {
	Target      TargetID
	Attempt     AttemptID
	Incarnation Incarnation // of the side process of Target
}
