package rollout

import (
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Report is what one entry tells the others of its roll-outs. All counts are cumulative
// for the incarnation, so that a report may be lost, repeated or late.
type Report struct {
	Incarnation state.Incarnation `cbor:"1,keyasint"`
	Sequence    uint64            `cbor:"2,keyasint"` // increases with each report
	Services    []ServiceNote     `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Services) == 0 }

// ServiceNote is the plan of a service and what the sender has observed since the order.
type ServiceNote struct {
	Plan PlanNote `cbor:"1,keyasint"`
	// Bad is why the sender has found the new version to be bad, or empty.
	Bad string `cbor:"2,keyasint,omitempty"`
	// Drained says that the sender has nothing in progress at the old targets in the phase
	// Handover, and sends nothing there any more.
	Drained bool `cbor:"3,keyasint,omitempty"`
	// OldMillis is the longest time that a request took lately at an old target.
	OldMillis uint32       `cbor:"4,keyasint,omitempty"`
	Routes    []RouteNote  `cbor:"5,keyasint,omitempty"`
	Targets   []TargetNote `cbor:"6,keyasint,omitempty"`
}

// PlanNote is a plan in a report.
type PlanNote struct {
	_              struct{} `cbor:",toarray"`
	Service        state.Service
	To             state.SoftwareVersion
	DurationMillis uint32
	Era, Offset    uint64
	Number         uint64
	Phase          Phase
	Reason         string
	From           []state.SoftwareVersion
	TimeLeftMillis int64
}

// RouteNote has the counts of a route, identified by its hash, at the old and at the new
// version.
type RouteNote struct {
	_        struct{} `cbor:",toarray"`
	Route    uint32
	Old, New CountsNote
	// OldTimes is the histogram of the relative times at the old version; see histogram.
	OldTimes []byte
}

// CountsNote are the counts of a route at a version.
type CountsNote struct {
	_                             struct{} `cbor:",toarray"`
	Ended, Failed, Refused, Timed uint32
	Slow                          uint32
}

// TargetNote has the counts of a target, identified by its hash. Old targets are reported
// only when they have crashed.
type TargetNote struct {
	_                      struct{} `cbor:",toarray"`
	Target                 uint32
	New                    bool
	Ended, Failed, Crashes uint32
	Unreachable            uint32
	Times                  []byte
}
