package bundle

import (
	"context"
	"errors"
	"fmt"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Outcome is the outcome of publishing a bundle.
type Outcome string

// The outcomes of Publish and PublishToRegister.
const (
	OutcomeAccepted     Outcome = "accepted"
	OutcomeSuperseded   Outcome = "superseded"   // another bundle with the same base came first, or the base is not in effect or not known
	OutcomeRefused      Outcome = "refused"      // the document, the signatures or the version are not valid
	OutcomeNotAppended  Outcome = "not-appended" // the bundle certainly has no effect
	OutcomeUndetermined Outcome = "undetermined" // no answer about the append; publishing again is safe
)

// Published is the result of publishing a bundle. Err is the reason for any Outcome
// other than OutcomeAccepted.
type Published struct {
	Outcome Outcome
	ID      state.BundleID
	Version uint64
	// Offset is the offset of the bundle's record; valid if Appended. For a bundle that
	// is found in a register, it is the offset for the next append instead.
	Offset uint64
	// Appended is set if a record of the bundle is known to be in the stream or
	// register.
	Appended bool
	Err      error
}

// View is the result of folding the retained stream once to its end.
type View struct {
	Fold      *Fold
	First     uint64     // oldest retained offset
	Next      uint64     // offset after the last record
	Decisions []Decision // one for each record, the oldest first
}

// ReadView folds the retained stream to its end. initial lists the signers of the
// first bundle and of anchors.
func ReadView(ctx context.Context, log logstream.Log, initial state.Signers) (*View, error) {
	v := &View{Fold: NewFold(initial)}
	next, first, _, err := logstream.ReadToEnd(ctx, log, Stream, 0, v.apply)
	v.Next, v.First = next, first
	if err != nil {
		return nil, err
	}
	return v, nil
}

func (v *View) apply(r logstream.Record) { v.Decisions = append(v.Decisions, v.Fold.Apply(r)) }

// Publish appends a signed document to the bundle stream and reports whether the
// bundle was accepted. It retries the append until ctx ends. Publishing the same
// document again is safe.
func Publish(ctx context.Context, log logstream.Log, initial state.Signers, document []byte, signatures []state.Signature) Published {
	p := Published{ID: ID(document)}
	a, err := newDecodedBundle(state.AcceptedBundle{Document: document, Signatures: signatures})
	if err != nil {
		return p.withOutcome(OutcomeRefused, err)
	}
	p.Version = a.Version
	view, err := ReadView(ctx, log, initial)
	if err != nil {
		return p.withOutcome(OutcomeNotAppended, err)
	}
	if known, result := p.findOutcome(view); known {
		return result
	}
	// A bundle that the fold would ignore now is refused without an append.
	a.Offset = view.Next
	requiredSigners, err := view.Fold.requiredSigners(a)
	if err == nil {
		err = Verify(document, signatures, requiredSigners)
	}
	if err != nil {
		return p.withOutcome(outcomeOfError(err), err)
	}
	return p.appendProposal(ctx, log, view, a)
}

// appendProposal appends a as a proposal and folds the stream up to it to learn the
// outcome.
func (p Published) appendProposal(ctx context.Context, log logstream.Log, view *View, a *DecodedBundle) Published {
	rec := Record{Kind: Proposal, Document: a.Document, Signatures: a.Signatures}
	data, err := rec.Marshal()
	if err != nil {
		return p.withOutcome(OutcomeNotAppended, err)
	}
	res := logstream.Append(ctx, log, Stream, view.Next, logstream.Entry{ID: logstream.NewID(), Data: data})
	switch res.Outcome {
	case logstream.NotAppended:
		return p.withOutcome(OutcomeNotAppended, res.Err)
	case logstream.Undetermined:
		return p.withOutcome(OutcomeUndetermined, res.Err)
	}
	p.Offset, p.Appended = res.Offset, true
	if _, _, _, err := logstream.ReadToEnd(ctx, log, Stream, view.Next, view.apply); err != nil {
		return p.withOutcome(OutcomeUndetermined, fmt.Errorf("appended at offset %d, but the result could not be read: %w", res.Offset, err))
	}
	if known, result := p.findOutcome(view); known {
		return result
	}
	return p.withOutcome(OutcomeUndetermined, fmt.Errorf("appended at offset %d, but not found there", res.Offset))
}

// findOutcome looks for the bundle in what has been read and reports whether its
// outcome is known. If a copy was ignored, that settles the outcome only for the
// record at p.Offset, which this call has appended.
func (p Published) findOutcome(view *View) (bool, Published) {
	if head := view.Fold.Head(); head != nil && head.ID == p.ID {
		p.Offset, p.Appended = head.Offset, true
		return true, p.withOutcome(OutcomeAccepted, nil)
	}
	for _, d := range view.Decisions {
		if d.ID != p.ID {
			continue
		}
		if d.HeadChanged {
			p.Offset, p.Appended = d.Offset, true
			return true, p.withOutcome(OutcomeAccepted, nil)
		}
		if p.Appended && d.Offset == p.Offset {
			return true, p.withOutcome(outcomeOfError(d.Err), d.Err)
		}
	}
	return false, p
}

func (p Published) withOutcome(o Outcome, err error) Published {
	p.Outcome, p.Err = o, err
	return p
}

// outcomeOfError returns the outcome for a bundle that was ignored for the reason err.
func outcomeOfError(err error) Outcome {
	if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrUnknownBase) || errors.Is(err, ErrStaleCheckpoint) {
		return OutcomeSuperseded
	}
	return OutcomeRefused
}
