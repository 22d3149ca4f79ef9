package bundle

import (
	"errors"
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// DecodedBundle is a proposed or accepted bundle with its parsed document.
type DecodedBundle struct {
	state.AcceptedBundle
	ID     state.BundleID
	Bundle *state.Bundle
}

// newDecodedBundle parses and validates the document of a, and takes the version from
// it.
func newDecodedBundle(a state.AcceptedBundle) (*DecodedBundle, error) {
	b, err := Decode(a.Document)
	if err != nil {
		return nil, err
	}
	a.Version = b.Version
	return &DecodedBundle{AcceptedBundle: a, ID: ID(a.Document), Bundle: b}, nil
}

// supersedes reports whether a replaces b, which may be nil. A higher version
// replaces a lower one. Of two bundles with the same version, the one accepted
// earlier in the log replaces the other; only a reader that has not read to the end
// of the log can meet both.
func (a *DecodedBundle) supersedes(b *DecodedBundle) bool {
	switch {
	case b == nil || a.Version > b.Version:
		return true
	case a.Version < b.Version || a.ID == b.ID:
		return false
	default:
		return a.Offset < b.Offset
	}
}

// Reasons for which a fold ignores a record.
var (
	// ErrSuperseded means that the base of a proposal is not, or no longer, in effect.
	ErrSuperseded = errors.New("base is superseded")
	// ErrUnknownBase means that the fold has no head or has missed records since the
	// head took effect. A proposal on a base cannot be evaluated until a checkpoint, a
	// bundle from a peer or an anchor is read.
	ErrUnknownBase = errors.New("base is not known to this reader")
	// ErrVersion means that the version of a proposal is not one above that of its
	// base.
	ErrVersion = errors.New("version does not follow its base")
	// ErrStaleCheckpoint means that a checkpoint does not change the head.
	ErrStaleCheckpoint = errors.New("checkpoint is not newer")
	// ErrDuplicate means that the proposed bundle is in effect already.
	ErrDuplicate = errors.New("bundle is in effect already")
)

// Decision is the result of folding one record.
type Decision struct {
	Offset  uint64
	Time    time.Time
	Kind    Kind
	ID      state.BundleID
	Version uint64
	Base    state.BundleID
	Signers []string // operators named in the record's signatures
	// HeadChanged is set if the record replaced the head of the fold; otherwise Err
	// says why not.
	HeadChanged bool
	Err         error
}

// Bounds of the proposals that are kept to be evaluated again.
const (
	maxDeferredProposals = 64
	maxDeferredBytes     = 8 << 20 // sum of the document sizes
)

// Fold folds the bundle stream into its head, the last bundle accepted. It is used by
// one goroutine.
//
// A reader that starts late, or that was paused for longer than the retention time,
// may read a proposal whose base was superseded by a record that retention has
// removed. The fold therefore evaluates proposals on a base only while its history
// is complete, that is, while every record since the head took effect has been read.
// A checkpoint or a peer's bundle makes an incomplete history complete if every record
// has been read from the offset up to which that bundle is known to be in effect.
// Proposals that were read before are kept for this case and evaluated again.
type Fold struct {
	initial         state.Signers
	head            *DecodedBundle
	inEffectUntil   uint64 // the head is known to be in effect up to this offset, exclusively
	historyComplete bool   // every record since the head took effect has been read
	nextOffset      uint64 // offset after the last record folded
	// deferred holds proposals that were refused because of their base. No such
	// proposal at or after deferredFrom has been missed or dropped.
	deferred       []*DecodedBundle
	deferredBytes  int
	deferredFrom   uint64
	checkpointTime time.Time
}

// NewFold returns a fold without a head. initial lists the signers of the first
// bundle and of anchors.
func NewFold(initial state.Signers) *Fold { return &Fold{initial: initial, historyComplete: true} }

// Head returns the last bundle accepted, or nil if there is none.
func (f *Fold) Head() *DecodedBundle { return f.head }

// HistoryComplete reports whether every record since the head took effect has been
// read. Otherwise proposals on a base are not evaluated.
func (f *Fold) HistoryComplete() bool { return f.historyComplete }

// NextOffset returns the offset after the last record folded.
func (f *Fold) NextOffset() uint64 { return f.nextOffset }

// CheckpointTime returns the record time of the last checkpoint from which a new
// reader arrives at the current head; zero if there is none.
func (f *Fold) CheckpointTime() time.Time { return f.checkpointTime }

// SkipTo continues at offset first after retention has removed unread records before
// it.
func (f *Fold) SkipTo(first uint64) {
	f.nextOffset, f.deferredFrom = first, first
	f.deferred, f.deferredBytes = nil, 0
	f.historyComplete = f.head != nil && f.inEffectUntil >= first
}

// Adopt makes a the head if it supersedes the current one, and reports whether the head
// changed. a is known to be in effect for a reader that has folded every record before
// offset inEffectUntil. If a is the head already, Adopt may complete the history.
func (f *Fold) Adopt(a *DecodedBundle, inEffectUntil uint64) bool {
	sameBundle := f.head != nil && f.head.ID == a.ID
	if sameBundle && f.historyComplete || !sameBundle && !a.supersedes(f.head) {
		return false
	}
	if !sameBundle {
		f.head, f.inEffectUntil = a, inEffectUntil
	}
	before := f.head
	f.inEffectUntil = max(f.inEffectUntil, inEffectUntil)
	f.historyComplete = f.inEffectUntil >= f.deferredFrom
	if f.historyComplete {
		f.reevaluateDeferred()
	}
	return !sameBundle || f.head != before
}

// reevaluateDeferred evaluates the deferred proposals against a new head or a history
// that has become complete.
func (f *Fold) reevaluateDeferred() {
	deferred := f.deferred
	f.deferred, f.deferredBytes = nil, 0
	for _, p := range deferred {
		if p.Offset >= f.inEffectUntil {
			_ = f.applyProposal(p) // the reason was reported by the first evaluation
		}
	}
}

// Apply folds one record. Records between the last one folded and r count as removed
// by retention.
func (f *Fold) Apply(r logstream.Record) Decision {
	if r.Offset > f.nextOffset {
		f.SkipTo(r.Offset)
	}
	f.nextOffset = r.Offset + 1
	d := Decision{Offset: r.Offset, Time: r.Time}
	rec, err := UnmarshalRecord(r.Data)
	if err != nil {
		d.Err = err
		return d
	}
	d.Kind, d.ID = rec.Kind, ID(rec.Document)
	for _, s := range rec.Signatures {
		d.Signers = append(d.Signers, s.Operator)
	}
	a, err := newDecodedBundle(state.AcceptedBundle{Offset: r.Offset, Document: rec.Document, Signatures: rec.Signatures})
	if err != nil {
		d.Err = err
		return d
	}
	d.Version, d.Base = a.Version, a.Bundle.Base
	switch rec.Kind {
	case Proposal:
		d.Err = f.applyProposal(a)
	case Checkpoint:
		a.Offset = rec.AcceptedOffset
		d.Err = f.applyCheckpoint(a, rec.InEffectUntil, r.Time)
	default:
		d.Err = fmt.Errorf("unknown record kind %d", rec.Kind)
	}
	d.HeadChanged = d.Err == nil
	return d
}

// applyProposal makes a the head, or returns the reason why not. A proposal that is
// refused because of its base is deferred.
func (f *Fold) applyProposal(a *DecodedBundle) error {
	requiredSigners, err := f.requiredSigners(a)
	if err != nil {
		if !errors.Is(err, ErrVersion) && !errors.Is(err, ErrDuplicate) {
			f.deferProposal(a)
		}
		return err
	}
	if err := Verify(a.Document, a.Signatures, requiredSigners); err != nil {
		return err
	}
	f.head, f.inEffectUntil, f.historyComplete = a, a.Offset+1, true
	return nil
}

// requiredSigners returns who must sign a: the signers listed in its base, or the initial
// ones for the first bundle and for an anchor. The error is the reason why a cannot
// replace the head.
func (f *Fold) requiredSigners(a *DecodedBundle) (state.Signers, error) {
	base := a.Bundle.Base
	none := state.Signers{}
	switch {
	case f.head != nil && a.ID == f.head.ID:
		return none, ErrDuplicate
	case base == "" && (f.head == nil || !f.historyComplete && a.Version > f.head.Version):
		// The first bundle, or an anchor after retention has removed the records that
		// the fold would need.
		return f.initial, nil
	case f.head == nil || !f.historyComplete:
		return none, ErrUnknownBase
	case a.Offset < f.inEffectUntil || base != f.head.ID:
		return none, fmt.Errorf("%w: base %s, in effect version %d %s", ErrSuperseded, shortID(base), f.head.Version, shortID(f.head.ID))
	case a.Version != f.head.Version+1:
		return none, fmt.Errorf("%w: version %d, base has %d", ErrVersion, a.Version, f.head.Version)
	default:
		return f.head.Bundle.Signers, nil
	}
}

// deferProposal keeps a for reevaluateDeferred and drops the oldest proposals beyond the
// bounds.
func (f *Fold) deferProposal(a *DecodedBundle) {
	f.deferred = append(f.deferred, a)
	f.deferredBytes += len(a.Document)
	for len(f.deferred) > maxDeferredProposals || f.deferredBytes > maxDeferredBytes {
		f.deferredBytes -= len(f.deferred[0].Document)
		f.deferredFrom = f.deferred[0].Offset + 1
		f.deferred = f.deferred[1:]
	}
}

// applyCheckpoint folds a checkpoint with the given record time. Only cassiaramp
// processes and operators can write to the log, so a checkpoint is trusted like a
// bundle offered by a peer.
func (f *Fold) applyCheckpoint(a *DecodedBundle, inEffectUntil uint64, at time.Time) error {
	changed := f.Adopt(a, inEffectUntil)
	if f.historyComplete && f.head.ID == a.ID {
		f.checkpointTime = at
	}
	if !changed {
		return ErrStaleCheckpoint
	}
	return nil
}

// shortID returns the first digits of id for messages.
func shortID(id state.BundleID) state.BundleID { return id[:min(12, len(id))] }
