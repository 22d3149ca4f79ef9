package bundle

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrMoved tells that another record was appended meanwhile.
var ErrMoved = errors.New("another bundle was published meanwhile")

// Register is a place that keeps the newest record only, and for ever. Unlike with
// a stream, a reader does not see all bundles, so each of them must be signed by
// the operators that the process was started with.
type Register interface {
	// Newest returns the newest record, nil for none, and the offset at which the
	// next one would be appended.
	Newest(ctx context.Context) (record []byte, end uint64, err error)
	// Append appends a record at offset end. The error wraps ErrMoved when another
	// one is there.
	Append(ctx context.Context, end uint64, record []byte) error
}

// Rollout keeps the bundle in effect of a process that reads a Register. It is
// safe for concurrent use.
type Rollout struct {
	signers state.Signers

	mu      sync.Mutex
	current *Accepted
	refused state.BundleID // last one refused: other processes may offer it again and again
}

// NewRollout returns a Rollout without a bundle.
func NewRollout(signers state.Signers) *Rollout { return &Rollout{signers: signers} }

// Current returns the bundle in effect, or nil.
func (r *Rollout) Current() *Accepted {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Version returns the version in effect, 0 for none.
func (r *Rollout) Version() uint64 {
	if a := r.Current(); a != nil {
		return a.Version
	}
	return 0
}

// OfferRecord takes a record of a Register. See Offer.
func (r *Rollout) OfferRecord(record []byte, offset uint64, put func(*state.Bundle) error) (*Accepted, error) {
	offered, err := fromRecord(record, offset)
	if err != nil {
		return nil, err
	}
	return r.Offer(offered, put)
}

// fromRecord decodes a record of a Register.
func fromRecord(record []byte, offset uint64) (state.AcceptedBundle, error) {
	rec, err := UnmarshalRecord(record)
	if err != nil {
		return state.AcceptedBundle{}, err
	}
	return state.AcceptedBundle{Offset: offset, Document: rec.Document, Signatures: rec.Signatures}, nil
}

// Offer takes a bundle that is signed and newer than the one in effect: put puts it
// into effect, or says why it cannot. Offer returns nil without an error for one
// that is not newer, or was refused just before.
func (r *Rollout) Offer(offered state.AcceptedBundle, put func(*state.Bundle) error) (*Accepted, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := ID(offered.Document)
	if id == r.refused || r.current != nil && id == r.current.ID {
		return nil, nil
	}
	a, err := signed(offered, r.signers)
	if err == nil && r.current != nil && a.Version <= r.current.Version {
		return nil, nil
	}
	if err == nil {
		err = put(a.Bundle)
	}
	if err != nil {
		r.refused = id
		return nil, err
	}
	r.current = a
	return a, nil
}

// signed returns a bundle for entries that send straight to targets, if signers
// allow it.
func signed(offered state.AcceptedBundle, signers state.Signers) (*Accepted, error) {
	a, err := newAccepted(offered)
	if err != nil {
		return nil, err
	}
	if a.Bundle.Admission == nil {
		return nil, fmt.Errorf("%w: admission: want the bundle of a deployment whose entries send straight to targets", ErrDocument)
	}
	return a, Verify(a.Document, a.Signatures, signers)
}

// ReadRegister returns the bundle that a register holds, or nil, and the offset
// for the next one.
func ReadRegister(ctx context.Context, register Register, signers state.Signers) (*Accepted, uint64, error) {
	record, end, err := register.Newest(ctx)
	if err != nil || record == nil {
		return nil, end, err
	}
	held, err := fromRecord(record, end)
	if err != nil {
		return nil, end, err
	}
	a, err := signed(held, signers)
	if err != nil {
		return nil, end, err
	}
	return a, end, nil
}

// PublishNewest appends a signed document to a register and reports whether it
// took effect. Publishing the same document again is safe.
func PublishNewest(ctx context.Context, register Register, signers state.Signers, document []byte, signatures []state.Signature) Published {
	p := Published{ID: ID(document)}
	a, err := signed(state.AcceptedBundle{Document: document, Signatures: signatures}, signers)
	if err != nil {
		return p.with(OutcomeRefused, err)
	}
	p.Version = a.Version
	head, end, err := ReadRegister(ctx, register, signers)
	switch {
	case err != nil:
		return p.with(OutcomeNotAppended, err)
	case head != nil && head.ID == p.ID:
		p.Appended, p.Offset = true, end
		return p.with(OutcomeAccepted, nil)
	}
	if err := follows(a, head); err != nil {
		return p.with(outcomeOf(err), err)
	}
	rec := Record{Kind: Proposal, Document: document, Signatures: signatures}
	data, err := rec.Marshal()
	if err != nil {
		return p.with(OutcomeNotAppended, err)
	}
	if err := register.Append(ctx, end, data); err != nil {
		return p.settle(ctx, register, signers, err)
	}
	p.Appended, p.Offset = true, end
	return p.with(OutcomeAccepted, nil)
}

// settle finds out what became of an append that failed.
func (p Published) settle(ctx context.Context, register Register, signers state.Signers, cause error) Published {
	head, end, err := ReadRegister(ctx, register, signers)
	switch {
	case err == nil && head != nil && head.ID == p.ID:
		p.Appended, p.Offset = true, end
		return p.with(OutcomeAccepted, nil)
	case errors.Is(cause, ErrMoved):
		return p.with(OutcomeSuperseded, cause)
	default: // it may still be executed
		return p.with(OutcomeUndetermined, errors.Join(cause, err))
	}
}

// follows reports why a cannot replace head, which may be nil.
func follows(a, head *Accepted) error {
	switch {
	case head == nil && a.Bundle.Base != "":
		return fmt.Errorf("%w: nothing is in effect", ErrSuperseded)
	case head == nil:
		return nil
	case a.Bundle.Base != head.ID:
		return fmt.Errorf("%w: version %d, bundle %s is in effect", ErrSuperseded, head.Version, short(head.ID))
	case a.Version != head.Version+1:
		return fmt.Errorf("%w: version %d follows %d", ErrVersion, a.Version, head.Version)
	default:
		return nil
	}
}
