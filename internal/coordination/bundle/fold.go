package bundle

import (
	"errors"
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Accepted is a bundle that a fold or a peer's fold has accepted.
type Accepted struct {
	state.AcceptedBundle
	ID     state.BundleID
	Bundle *state.Bundle
}

// newAccepted decodes and validates the document of a.
func newAccepted(a state.AcceptedBundle) (*Accepted, error) {
	b, err := Decode(a.Document)
	if err != nil {
		return nil, err
	}
	a.Version = b.Version
	return &Accepted{AcceptedBundle: a, ID: ID(a.Document), Bundle: b}, nil
}

// supersedes reports whether a replaces b, which may be nil. A higher version
// always does. Of two bundles with the same version the one accepted earlier in
// the log does; only a reader that has not read to the end can meet both.
func (a *Accepted) supersedes(b *Accepted) bool {
	switch {
	case b == nil || a.Version > b.Version:
		return true
	case a.Version < b.Version || a.ID == b.ID:
		return false
	default:
		return a.Offset < b.Offset
	}
}

// The reasons for which the fold ignores a record.
var (
	// ErrSuperseded tells that the base of a proposal is not in effect.
	ErrSuperseded = errors.New("base is superseded")
	// ErrNoBase tells that the fold has no bundle, or has missed records since,
	// and needs a checkpoint or an anchor.
	ErrNoBase = errors.New("base is not known to this reader")
	// ErrVersion tells that a version is not the one after its base.
	ErrVersion = errors.New("version does not follow its base")
	// ErrStale tells that a checkpoint has nothing new.
	ErrStale = errors.New("checkpoint is not newer")
	// ErrDuplicate tells that the proposal is in effect already.
	ErrDuplicate = errors.New("bundle is in effect already")
)

// Decision is what the fold made of one record.
type Decision struct {
	Offset  uint64
	Time    time.Time
	Kind    Kind
	ID      state.BundleID
	Version uint64
	Base    state.BundleID
	Signers []string // operators named in the record's signatures
	// Changed tells that the record replaced the head of the fold. When it did
	// not, Err says why.
	Changed bool
	Err     error
}

// Bounds of the proposals kept for a second judgement.
const (
	maxRecent      = 64
	maxRecentBytes = 8 << 20
)

// Fold folds the bundle stream. It is used by one goroutine.
//
// A reader that starts late, or that was paused for longer than the retention
// time, may meet a proposal whose base was superseded by a record that is gone.
// It judges proposals only while connected: every record since the head took
// effect has been read. A checkpoint or a peer's bundle connects it when
// everything from its Through on has been read; proposals read before that are
// kept and judged again.
type Fold struct {
	initial   state.Signers
	head      *Accepted
	through   uint64 // the head is known to be in effect up to this offset
	connected bool
	next      uint64 // offset after the last record
	// recent holds the proposals at or after recentFrom that were refused for
	// their base.
	recent      []*Accepted
	recentBytes int
	recentFrom  uint64
	checkpoint  time.Time
}

// NewFold returns a fold without a head. initial lists the signers of the first
// bundle and of anchors.
func NewFold(initial state.Signers) *Fold { return &Fold{initial: initial, connected: true} }

// Head returns the last bundle accepted, or nil.
func (f *Fold) Head() *Accepted { return f.head }

// Connected reports whether proposals are judged.
func (f *Fold) Connected() bool { return f.connected }

// Next returns the offset after the last record folded.
func (f *Fold) Next() uint64 { return f.next }

// Checkpointed returns the record time of the last checkpoint from which a new
// reader reaches the head; zero for none.
func (f *Fold) Checkpointed() time.Time { return f.checkpoint }

// Gap tells that records before first were lost to retention before they were
// read.
func (f *Fold) Gap(first uint64) {
	f.next, f.recentFrom = first, first
	f.recent, f.recentBytes = nil, 0
	f.connected = f.head != nil && f.through >= first
}

// Adopt makes a the head if it supersedes the head. a was in effect when
// everything before offset through was folded.
func (f *Fold) Adopt(a *Accepted, through uint64) bool {
	same := f.head != nil && f.head.ID == a.ID
	if same && f.connected || !same && !a.supersedes(f.head) {
		return false
	}
	if !same {
		f.head, f.through = a, through
	}
	before := f.head
	f.through = max(f.through, through)
	f.connected = f.through >= f.recentFrom
	if f.connected {
		f.rejudge()
	}
	return !same || f.head != before
}

// rejudge judges the recent proposals against a new head.
func (f *Fold) rejudge() {
	recent := f.recent
	f.recent, f.recentBytes = nil, 0
	for _, p := range recent {
		if p.Offset >= f.through {
			_ = f.propose(p) // the reason was logged at the first judgement
		}
	}
}

// Apply folds one record.
func (f *Fold) Apply(r logstream.Record) Decision {
	if r.Offset > f.next {
		f.Gap(r.Offset)
	}
	f.next = r.Offset + 1
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
	a, err := newAccepted(state.AcceptedBundle{Offset: r.Offset, Document: rec.Document, Signatures: rec.Signatures})
	if err != nil {
		d.Err = err
		return d
	}
	d.Version, d.Base = a.Version, a.Bundle.Base
	switch rec.Kind {
	case Proposal:
		d.Err = f.propose(a)
	case Checkpoint:
		a.Offset = rec.Accepted
		d.Err = f.confirm(a, rec.Through, r.Time)
	default:
		d.Err = fmt.Errorf("record kind %d is not known", rec.Kind)
	}
	d.Changed = d.Err == nil
	return d
}

// propose judges a proposal.
func (f *Fold) propose(a *Accepted) error {
	signers, err := f.signers(a)
	if err != nil {
		if !errors.Is(err, ErrVersion) && !errors.Is(err, ErrDuplicate) {
			f.remember(a)
		}
		return err
	}
	if err := Verify(a.Document, a.Signatures, signers); err != nil {
		return err
	}
	f.head, f.through, f.connected = a, a.Offset+1, true
	return nil
}

// signers returns who must have signed a, or why its base does not allow it.
func (f *Fold) signers(a *Accepted) (state.Signers, error) {
	base := a.Bundle.Base
	none := state.Signers{}
	switch {
	case f.head != nil && a.ID == f.head.ID:
		return none, ErrDuplicate
	case base == "" && (f.head == nil || !f.connected && a.Version > f.head.Version):
		// The first bundle, or an anchor after everything was forgotten.
		return f.initial, nil
	case f.head == nil || !f.connected:
		return none, ErrNoBase
	case a.Offset < f.through || base != f.head.ID:
		return none, fmt.Errorf("%w: base %s, in effect version %d %s", ErrSuperseded, short(base), f.head.Version, short(f.head.ID))
	case a.Version != f.head.Version+1:
		return none, fmt.Errorf("%w: version %d, base has %d", ErrVersion, a.Version, f.head.Version)
	default:
		return f.head.Bundle.Signers, nil
	}
}

// remember keeps a proposal for rejudge within the bounds.
func (f *Fold) remember(a *Accepted) {
	f.recent = append(f.recent, a)
	f.recentBytes += len(a.Document)
	for len(f.recent) > maxRecent || f.recentBytes > maxRecentBytes {
		f.recentBytes -= len(f.recent[0].Document)
		f.recentFrom = f.recent[0].Offset + 1
		f.recent = f.recent[1:]
	}
}

// confirm folds a checkpoint. The log is writable only by cassiaramp processes
// and operators, so a checkpoint is trusted like a bundle offered by a peer.
func (f *Fold) confirm(a *Accepted, through uint64, at time.Time) error {
	changed := f.Adopt(a, through)
	if f.connected && f.head.ID == a.ID {
		f.checkpoint = at
	}
	if !changed {
		return ErrStale
	}
	return nil
}

func short(id state.BundleID) state.BundleID { return id[:min(12, len(id))] }
