package bundle

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Register is a store that keeps only the newest record, without a retention time. A
// reader does not see every bundle, as it would in a stream, so each bundle must be
// signed by the operators that the process was started with, not by those listed in
// its base.
type Register interface {
	// Newest returns the newest record, or nil if there is none, and the offset for
	// the next append.
	Newest(ctx context.Context) (record []byte, end uint64, err error)
	// Append appends a record at offset end. The error wraps
	// keyedtopic.ErrConflict if there is another record at that offset.
	Append(ctx context.Context, end uint64, record []byte) error
}

// Rollout keeps the bundle in effect in a process that takes bundles from a Register
// and from other processes. It is safe for concurrent use.
type Rollout struct {
	signers state.Signers

	mu          sync.Mutex
	current     *DecodedBundle
	lastRefused state.BundleID // last bundle refused; it is not checked again when other processes repeat the offer
}

// NewRollout returns a Rollout without a bundle. signers must sign every bundle.
func NewRollout(signers state.Signers) *Rollout { return &Rollout{signers: signers} }

// Current returns the bundle in effect, or nil.
func (r *Rollout) Current() *DecodedBundle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Version returns the version in effect, 0 if there is none.
func (r *Rollout) Version() uint64 {
	if a := r.Current(); a != nil {
		return a.Version
	}
	return 0
}

// OfferRecord decodes a record of a Register and calls Offer with its bundle.
func (r *Rollout) OfferRecord(record []byte, offset uint64, install func(*state.Bundle) error) (*DecodedBundle, error) {
	offered, err := decodeRegisterRecord(record, offset)
	if err != nil {
		return nil, err
	}
	return r.Offer(offered, install)
}

// decodeRegisterRecord returns the bundle in a record of a Register.
func decodeRegisterRecord(record []byte, offset uint64) (state.AcceptedBundle, error) {
	rec, err := UnmarshalRecord(record)
	if err != nil {
		return state.AcceptedBundle{}, err
	}
	return state.AcceptedBundle{Offset: offset, Document: rec.Document, Signatures: rec.Signatures}, nil
}

// Offer replaces the bundle in effect by a signed bundle with a higher version. install
// puts the bundle into effect; if it returns an error, the bundle is refused. Offer
// returns nil and no error for a bundle that is not newer or is the one refused last.
func (r *Rollout) Offer(offered state.AcceptedBundle, install func(*state.Bundle) error) (*DecodedBundle, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := ID(offered.Document)
	if id == r.lastRefused || r.current != nil && id == r.current.ID {
		return nil, nil
	}
	a, err := decodeAndVerify(offered, r.signers)
	if err == nil && r.current != nil && a.Version <= r.current.Version {
		return nil, nil
	}
	if err == nil {
		err = install(a.Bundle)
	}
	if err != nil {
		r.lastRefused = id
		return nil, err
	}
	r.current = a
	return a, nil
}

// decodeAndVerify parses an offered bundle and verifies its signatures. Entries that
// read a Register send directly to targets, so the bundle must have an admission
// policy.
func decodeAndVerify(offered state.AcceptedBundle, signers state.Signers) (*DecodedBundle, error) {
	a, err := newDecodedBundle(offered)
	if err != nil {
		return nil, err
	}
	if a.Bundle.Admission == nil {
		return nil, fmt.Errorf("%w: admission: not set, but entries that send directly to targets need it", ErrDocument)
	}
	return a, Verify(a.Document, a.Signatures, signers)
}

// ReadRegister returns the bundle in a register, or nil if there is none, and the offset
// for the next append. The Offset of the bundle is set to the same value, because a
// Register does not report the offset of its record.
func ReadRegister(ctx context.Context, register Register, signers state.Signers) (*DecodedBundle, uint64, error) {
	record, end, err := register.Newest(ctx)
	if err != nil || record == nil {
		return nil, end, err
	}
	stored, err := decodeRegisterRecord(record, end)
	if err != nil {
		return nil, end, err
	}
	a, err := decodeAndVerify(stored, signers)
	if err != nil {
		return nil, end, err
	}
	return a, end, nil
}

// PublishToRegister appends a signed document to a register and reports whether the
// bundle was accepted. Publishing the same document again is safe.
func PublishToRegister(ctx context.Context, register Register, signers state.Signers, document []byte, signatures []state.Signature) Published {
	p := Published{ID: ID(document)}
	a, err := decodeAndVerify(state.AcceptedBundle{Document: document, Signatures: signatures}, signers)
	if err != nil {
		return p.withOutcome(OutcomeRefused, err)
	}
	p.Version = a.Version
	head, end, err := ReadRegister(ctx, register, signers)
	switch {
	case err != nil:
		return p.withOutcome(OutcomeNotAppended, err)
	case head != nil && head.ID == p.ID:
		p.Appended, p.Offset = true, end
		return p.withOutcome(OutcomeAccepted, nil)
	}
	if err := checkSuccessor(a, head); err != nil {
		return p.withOutcome(outcomeOfError(err), err)
	}
	rec := Record{Kind: Proposal, Document: document, Signatures: signatures}
	data, err := rec.Marshal()
	if err != nil {
		return p.withOutcome(OutcomeNotAppended, err)
	}
	if err := register.Append(ctx, end, data); err != nil {
		return p.resolveFailedAppend(ctx, register, signers, err)
	}
	p.Appended, p.Offset = true, end
	return p.withOutcome(OutcomeAccepted, nil)
}

// Keep appends a bundle that is in effect to a register that has lost it, unless the
// register holds its version or a newer one. It reports whether it appended the bundle.
func Keep(ctx context.Context, register Register, inEffect *DecodedBundle) (written bool, err error) {
	record, end, err := register.Newest(ctx)
	if err != nil {
		return false, err
	}
	if record != nil {
		stored, err := decodeRegisterRecord(record, end)
		if err != nil {
			return false, err
		}
		if a, err := newDecodedBundle(stored); err != nil || a.Version >= inEffect.Version {
			return false, err
		}
	}
	data, err := (&Record{Kind: Proposal, Document: inEffect.Document, Signatures: inEffect.Signatures}).Marshal()
	if err != nil {
		return false, err
	}
	return true, register.Append(ctx, end, data)
}

// resolveFailedAppend reads the register to find out whether an append that returned
// the error cause has stored the bundle.
func (p Published) resolveFailedAppend(ctx context.Context, register Register, signers state.Signers, cause error) Published {
	head, end, err := ReadRegister(ctx, register, signers)
	switch {
	case err == nil && head != nil && head.ID == p.ID:
		p.Appended, p.Offset = true, end
		return p.withOutcome(OutcomeAccepted, nil)
	case errors.Is(cause, keyedtopic.ErrConflict):
		return p.withOutcome(OutcomeSuperseded, cause)
	default: // the append may still take effect
		return p.withOutcome(OutcomeUndetermined, errors.Join(cause, err))
	}
}

// checkSuccessor returns the reason why a cannot replace head, which may be nil.
func checkSuccessor(a, head *DecodedBundle) error {
	switch {
	case head == nil && a.Bundle.Base != "":
		return fmt.Errorf("%w: no bundle is in effect", ErrSuperseded)
	case head == nil:
		return nil
	case a.Bundle.Base != head.ID:
		return fmt.Errorf("%w: version %d, bundle %s is in effect", ErrSuperseded, head.Version, shortID(head.ID))
	case a.Version != head.Version+1:
		return fmt.Errorf("%w: version %d follows %d", ErrVersion, a.Version, head.Version)
	default:
		return nil
	}
}
