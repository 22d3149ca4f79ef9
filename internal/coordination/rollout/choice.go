package rollout

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ChoiceKind says how a Choice restricts the targets of a request.
type ChoiceKind uint8

// The kinds of choices.
const (
	// Any allows all targets.
	Any ChoiceKind = iota
	// Only allows only targets of Version, and of these only TrialTargets unless it is empty.
	Only
	// Except allows targets of all versions except those in Excluded.
	Except
	// UntilEnd prefers targets of versions other than Version, but only if the request is
	// predicted to end at them before EndBy. Otherwise it allows targets of Version.
	UntilEnd
)

// Choice says which targets may serve a request.
type Choice struct {
	Kind     ChoiceKind
	Version  state.SoftwareVersion   // of Only and UntilEnd: the new version
	Excluded []state.SoftwareVersion // of Except
	EndBy    time.Time               // of UntilEnd
	// TrialTargets are the targets at which the new version is tried now.
	TrialTargets []state.TargetID
	// number identifies the order of which the request has a permit, 0 if it has none.
	number uint64
}

// HasPermit reports whether the choice holds a permit, which ReturnPermit gives back if the
// request is not sent to the new version.
func (c Choice) HasPermit() bool { return c.number != 0 }

// WithoutPermit returns the choice for the same request after its permit was given back,
// as when no trial target has a free slot: all targets except those of the new version.
func (c Choice) WithoutPermit() Choice {
	if !c.HasPermit() {
		return c
	}
	return Choice{Kind: Except, Excluded: []state.SoftwareVersion{c.Version}}
}

// Allows reports whether a target of a version may serve the request. endsAt is when the
// request is predicted to end there, even if it takes long.
func (c Choice) Allows(target state.TargetID, software state.SoftwareVersion, endsAt time.Time) bool {
	switch c.Kind {
	case Only:
		return software == c.Version && (len(c.TrialTargets) == 0 || slices.Contains(c.TrialTargets, target))
	case Except:
		return !slices.Contains(c.Excluded, software)
	case UntilEnd:
		return software == c.Version || endsAt.Before(c.EndBy)
	default:
		return true
	}
}
