package bundle

import (
	"context"
	"errors"
	"fmt"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Outcome says what became of a published bundle.
type Outcome string

// The outcomes of Publish.
const (
	OutcomeAccepted     Outcome = "accepted"
	OutcomeSuperseded   Outcome = "superseded"   // another bundle with the same base came first, or the base is not in effect
	OutcomeRefused      Outcome = "refused"      // the signatures or the version do not allow it
	OutcomeNotAppended  Outcome = "not-appended" // certainly without effect
	OutcomeUndetermined Outcome = "undetermined" // the log did not say; repeating the publish is safe
)

// Published is the result of Publish. Err says why unless Outcome is
// OutcomeAccepted.
type Published struct {
	Outcome Outcome
	ID      state.BundleID
	Version uint64
	Offset  uint64 // valid when Appended
	// Appended tells that a record of the bundle is in the stream.
	Appended bool
	Err      error
}

// View is what a reader that has folded the stream once to its end knows.
type View struct {
	Fold      *Fold
	First     uint64
	Next      uint64
	Decisions []Decision
}

// ReadView folds the retained stream to its end.
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

// Publish appends a signed document and reports whether it was accepted. It
// repeats calls to the log until ctx ends. Publishing the same document again
// is safe.
func Publish(ctx context.Context, log logstream.Log, initial state.Signers, document []byte, signatures []state.Signature) Published {
	p := Published{ID: ID(document)}
	a, err := newAccepted(state.AcceptedBundle{Document: document, Signatures: signatures})
	if err != nil {
		return p.with(OutcomeRefused, err)
	}
	p.Version = a.Version
	view, err := ReadView(ctx, log, initial)
	if err != nil {
		return p.with(OutcomeNotAppended, err)
	}
	if done, result := p.decided(view); done {
		return result
	}
	// A trial run on a private fold refuses a hopeless bundle before it costs an
	// append.
	a.Offset = view.Next
	signers, err := view.Fold.signers(a)
	if err == nil {
		err = Verify(document, signatures, signers)
	}
	if err != nil {
		return p.with(outcomeOf(err), err)
	}
	return p.append(ctx, log, view, a)
}

func (p Published) append(ctx context.Context, log logstream.Log, view *View, a *Accepted) Published {
	rec := Record{Kind: Proposal, Document: a.Document, Signatures: a.Signatures}
	data, err := rec.Marshal()
	if err != nil {
		return p.with(OutcomeNotAppended, err)
	}
	res := logstream.Append(ctx, log, Stream, view.Next, logstream.Entry{ID: logstream.NewID(), Data: data})
	switch res.Outcome {
	case logstream.NotAppended:
		return p.with(OutcomeNotAppended, res.Err)
	case logstream.Undetermined:
		return p.with(OutcomeUndetermined, res.Err)
	}
	p.Offset, p.Appended = res.Offset, true
	if _, _, _, err := logstream.ReadToEnd(ctx, log, Stream, view.Next, view.apply); err != nil {
		return p.with(OutcomeUndetermined, fmt.Errorf("appended at offset %d, but the result could not be read: %w", res.Offset, err))
	}
	if done, result := p.decided(view); done {
		return result
	}
	return p.with(OutcomeUndetermined, fmt.Errorf("appended at offset %d, but not found there", res.Offset))
}

// decided looks for the bundle among the decisions read so far. A refused copy
// that is not the one appended now does not decide.
func (p Published) decided(view *View) (bool, Published) {
	if head := view.Fold.Head(); head != nil && head.ID == p.ID {
		p.Offset, p.Appended = head.Offset, true
		return true, p.with(OutcomeAccepted, nil)
	}
	for _, d := range view.Decisions {
		if d.ID != p.ID {
			continue
		}
		if d.Changed {
			p.Offset, p.Appended = d.Offset, true
			return true, p.with(OutcomeAccepted, nil)
		}
		if p.Appended && d.Offset == p.Offset {
			return true, p.with(outcomeOf(d.Err), d.Err)
		}
	}
	return false, p
}

func (p Published) with(o Outcome, err error) Published {
	p.Outcome, p.Err = o, err
	return p
}

func outcomeOf(err error) Outcome {
	if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrNoBase) || errors.Is(err, ErrStale) {
		return OutcomeSuperseded
	}
	return OutcomeRefused
}
