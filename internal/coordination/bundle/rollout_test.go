package bundle

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// dispatchDocument returns a valid document of a deployment whose entries send directly
// to targets.
func dispatchDocument(t *testing.T, version uint64, base state.BundleID, note string) []byte {
	t.Helper()
	doc, err := Encode(&state.Bundle{
		Version: version, Base: base, Note: note, Signers: initial,
		Policies:  map[string]state.PlacementPolicy{"p": {Picker: "power-of-two"}},
		Split:     []state.PolicyShare{{Policy: "p", Share: 1}},
		Admission: &state.AdmissionPolicy{RefuseShare: 0.5, MinRetryAfter: state.Duration(time.Second)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func signatures(t *testing.T, doc []byte, names ...string) []state.Signature {
	t.Helper()
	var list []state.Signature
	for _, name := range names {
		s, err := Sign(doc, name, keys[name])
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
	}
	return list
}

// fakeRegister keeps records in memory. If appendErr is set, the next append fails with
// it; the record is stored all the same if storesDespiteErr is set.
type fakeRegister struct {
	records          [][]byte
	appendErr        error
	storesDespiteErr bool
}

func (r *fakeRegister) Newest(context.Context) ([]byte, uint64, error) {
	if len(r.records) == 0 {
		return nil, 0, nil
	}
	return r.records[len(r.records)-1], uint64(len(r.records)), nil
}

func (r *fakeRegister) Append(_ context.Context, end uint64, record []byte) error {
	if end != uint64(len(r.records)) {
		return keyedtopic.ErrConflict
	}
	appendErr := r.appendErr
	r.appendErr = nil
	if appendErr == nil || r.storesDespiteErr {
		r.records = append(r.records, record)
	}
	return appendErr
}

func installNothing(*state.Bundle) error { return nil }

// Guards against putting into effect a bundle with too few signatures, with an earlier
// version, or with policies that cannot be installed.
func TestRolloutAcceptsOnlySignedNewerBundles(t *testing.T) {
	r := NewRollout(initial)
	offer := func(doc []byte, install func(*state.Bundle) error, names ...string) (*DecodedBundle, error) {
		return r.Offer(state.AcceptedBundle{Document: doc, Signatures: signatures(t, doc, names...)}, install)
	}
	one, two, three := dispatchDocument(t, 1, "", ""), dispatchDocument(t, 2, "", ""), dispatchDocument(t, 3, "", "")
	if _, err := offer(one, installNothing, "anna"); !errors.Is(err, ErrSignature) {
		t.Errorf("bundle with one of two required signatures: error %v, want ErrSignature", err)
	}
	if a, err := offer(two, installNothing, "anna", "ben"); err != nil || a == nil || r.Version() != 2 {
		t.Fatalf("signed bundle: version %d in effect, want 2; error %v", r.Version(), err)
	}
	applied := false
	older := dispatchDocument(t, 1, "", "older")
	if a, err := offer(older, func(*state.Bundle) error { applied = true; return nil }, "anna", "ben"); a != nil || err != nil || applied {
		t.Errorf("older version: accepted %v, error %v; want it ignored", a, err)
	}
	broken := errors.New("unknown scorer")
	if _, err := offer(three, func(*state.Bundle) error { return broken }, "anna", "ben"); !errors.Is(err, broken) || r.Version() != 2 {
		t.Errorf("bundle that cannot be installed: version %d in effect, want 2; error %v", r.Version(), err)
	}
	if _, err := r.OfferRecord([]byte("noise"), 0, installNothing); err == nil {
		t.Error("a record that cannot be decoded is accepted")
	}
	if _, err := offer(document(t, 9, "", ""), installNothing, "anna", "ben"); !errors.Is(err, ErrDocument) {
		t.Errorf("bundle without an admission policy: error %v, want ErrDocument", err)
	}
}

// Guards against two accepted bundles of the same version, against reporting a failure
// although the register has stored the bundle, and against a second record when the
// same bundle is published again.
func TestPublishToRegister(t *testing.T) {
	ctx, reg := t.Context(), &fakeRegister{}
	publish := func(doc []byte, names ...string) Published {
		return PublishToRegister(ctx, reg, initial, doc, signatures(t, doc, names...))
	}
	expectOutcome := func(p Published, want Outcome) {
		t.Helper()
		if p.Outcome != want {
			t.Errorf("outcome %s (%v), want %s", p.Outcome, p.Err, want)
		}
	}
	one := dispatchDocument(t, 1, "", "")
	expectOutcome(publish(one, "anna"), OutcomeRefused)
	reg.appendErr = errors.New("no answer")
	expectOutcome(publish(one, "anna", "ben"), OutcomeUndetermined)
	reg.appendErr, reg.storesDespiteErr = errors.New("no answer"), true
	expectOutcome(publish(one, "anna", "ben"), OutcomeAccepted)
	expectOutcome(publish(one, "anna", "ben"), OutcomeAccepted)
	if len(reg.records) != 1 {
		t.Errorf("%d records in the register, want 1", len(reg.records))
	}
	expectOutcome(publish(dispatchDocument(t, 2, "", "without base"), "anna", "ben"), OutcomeSuperseded)
	expectOutcome(publish(dispatchDocument(t, 3, ID(one), "skips one"), "anna", "ben"), OutcomeRefused)
	reg.appendErr, reg.storesDespiteErr = keyedtopic.ErrConflict, false
	expectOutcome(publish(dispatchDocument(t, 2, ID(one), ""), "anna", "ben"), OutcomeSuperseded)
	expectOutcome(publish(dispatchDocument(t, 2, ID(one), ""), "anna", "ben"), OutcomeAccepted)
	head, end, err := ReadRegister(ctx, reg, initial)
	if err != nil || head.Version != 2 || end != 2 {
		t.Errorf("head %+v, end %d, error %v; want version 2 and end 2", head, end, err)
	}
}

// Guards against a bundle that the store has lost and nobody writes again, and against an
// older one in place of a newer one.
func TestKeepWritesWhatTheRegisterLacks(t *testing.T) {
	first := dispatchDocument(t, 1, "", "first")
	second := dispatchDocument(t, 2, ID(first), "second")
	r := &fakeRegister{}
	for _, doc := range [][]byte{first, second} {
		if p := PublishToRegister(t.Context(), r, initial, doc, signatures(t, doc, "anna", "ben")); p.Outcome != OutcomeAccepted {
			t.Fatalf("%s: %v", p.Outcome, p.Err)
		}
	}
	inEffect, _, err := ReadRegister(t.Context(), r, initial)
	if err != nil {
		t.Fatal(err)
	}
	if written, err := Keep(t.Context(), r, inEffect); written || err != nil {
		t.Errorf("written %t, error %v, for a bundle that the register holds", written, err)
	}
	for _, kept := range []int{1, 0} {
		r.records = r.records[:kept]
		if written, err := Keep(t.Context(), r, inEffect); !written || err != nil {
			t.Errorf("written %t, error %v, for a register that has lost the bundle", written, err)
		}
		if head, _, err := ReadRegister(t.Context(), r, initial); err != nil || head.ID != inEffect.ID {
			t.Errorf("the register holds %v, error %v", head, err)
		}
	}
	older, err := decodeAndVerify(state.AcceptedBundle{Document: first, Signatures: signatures(t, first, "anna", "ben")}, initial)
	if err != nil {
		t.Fatal(err)
	}
	if written, err := Keep(t.Context(), r, older); written || err != nil {
		t.Errorf("written %t, error %v, for a bundle older than the register's", written, err)
	}
}
