// Package rollout decides how a canary roll-out of a software version proceeds: which
// requests go to the new version, whether it is bad, when the old targets are given up and
// when the roll-out is completed. See docs/design/rollouts.md.
//
// Invariant: the requests that all entries together send to a version in its trial phase
// stay within the share of the requests that they send to the service, plus the slack.
package rollout

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Order is the operator's request that all traffic of a service moves to a version.
type Order struct {
	Service  state.Service
	To       state.SoftwareVersion
	Duration time.Duration // from the write of the order to its time limit
	// Position is where the record of the order is in its topic. It tells a record that is
	// read again from a new order for the same version.
	Position keyedtopic.Position
}

// Phase is the progress of a roll-out. A higher phase is never left for a lower one.
type Phase uint8

// The phases of a roll-out. The numbers are part of reports between entries.
const (
	Trial     Phase = iota + 1 // a small share of the requests goes to the new version
	Handover                   // the old targets get only requests that end in time
	Completed                  // the old targets are no longer used
	Reverted                   // the new targets are no longer used
)

// String returns the name of the phase as stored in a plan.
func (p Phase) String() string {
	switch p {
	case Trial:
		return "trial"
	case Handover:
		return "handover"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	default:
		return "unknown"
	}
}

// ParsePhase returns the phase with a name, or 0 if there is none.
func ParsePhase(name string) Phase {
	for p := Trial; p <= Reverted; p++ {
		if p.String() == name {
			return p
		}
	}
	return 0
}

// Terminal reports whether the phase is the last one of its order.
func (p Phase) Terminal() bool { return p == Completed || p == Reverted }

// Plan is the agreed state of an order. The store and reports contain it.
type Plan struct {
	Order  Order
	Number uint64 // of the order, counted by service from 1 on
	Phase  Phase
	Reason string // why the phase is Reverted
	// From has the versions that the order replaces, as far as they have been listed.
	From []state.SoftwareVersion
	// TimeLeft is the time until the limit of the order. It is negative after the limit.
	TimeLeft time.Duration
}
