package bundle

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// dispatchDocument returns a document for entries that send straight to targets.
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

// register keeps records in memory. Its next append fails with fail, after the
// record was taken when taken is set.
type register struct {
	records [][]byte
	fail    error
	taken   bool
}

func (r *register) Newest(context.Context) ([]byte, uint64, error) {
	if len(r.records) == 0 {
		return nil, 0, nil
	}
	return r.records[len(r.records)-1], uint64(len(r.records)), nil
}

func (r *register) Append(_ context.Context, end uint64, record []byte) error {
	if end != uint64(len(r.records)) {
		return ErrMoved
	}
	fail := r.fail
	r.fail = nil
	if fail == nil || r.taken {
		r.records = append(r.records, record)
	}
	return fail
}

func putNothing(*state.Bundle) error { return nil }

// Guards against a bundle in effect without sign-off, against a return to an
// earlier version, and against a bundle whose policies cannot be used.
func TestRolloutTakesSignedAndNewerBundles(t *testing.T) {
	r := NewRollout(initial)
	offer := func(doc []byte, put func(*state.Bundle) error, names ...string) (*Accepted, error) {
		return r.Offer(state.AcceptedBundle{Document: doc, Signatures: signatures(t, doc, names...)}, put)
	}
	one, two, three := dispatchDocument(t, 1, "", ""), dispatchDocument(t, 2, "", ""), dispatchDocument(t, 3, "", "")
	if _, err := offer(one, putNothing, "anna"); !errors.Is(err, ErrSignature) {
		t.Errorf("one of two signatures: %v", err)
	}
	if a, err := offer(two, putNothing, "anna", "ben"); err != nil || a == nil || r.Version() != 2 {
		t.Fatalf("version %d, %v", r.Version(), err)
	}
	applied := false
	older := dispatchDocument(t, 1, "", "older")
	if a, err := offer(older, func(*state.Bundle) error { applied = true; return nil }, "anna", "ben"); a != nil || err != nil || applied {
		t.Errorf("an older version was put into effect: %v, %v", a, err)
	}
	broken := errors.New("unknown scorer")
	if _, err := offer(three, func(*state.Bundle) error { return broken }, "anna", "ben"); !errors.Is(err, broken) || r.Version() != 2 {
		t.Errorf("version %d, %v", r.Version(), err)
	}
	if _, err := r.OfferRecord([]byte("noise"), 0, putNothing); err == nil {
		t.Error("a record that cannot be decoded")
	}
	if _, err := offer(document(t, 9, "", ""), putNothing, "anna", "ben"); !errors.Is(err, ErrDocument) {
		t.Errorf("a bundle of the other deployment: %v", err)
	}
}

// Guards against two publications of the same version, against a publish that is
// reported as failed though the store took it, and against a repeat that is not
// safe.
func TestPublishNewest(t *testing.T) {
	ctx, reg := t.Context(), &register{}
	publish := func(doc []byte, names ...string) Published {
		return PublishNewest(ctx, reg, initial, doc, signatures(t, doc, names...))
	}
	expect := func(p Published, want Outcome) {
		t.Helper()
		if p.Outcome != want {
			t.Errorf("%s (%v), want %s", p.Outcome, p.Err, want)
		}
	}
	one := dispatchDocument(t, 1, "", "")
	expect(publish(one, "anna"), OutcomeRefused)
	reg.fail = errors.New("no answer")
	expect(publish(one, "anna", "ben"), OutcomeUndetermined)
	reg.fail, reg.taken = errors.New("no answer"), true
	expect(publish(one, "anna", "ben"), OutcomeAccepted)
	expect(publish(one, "anna", "ben"), OutcomeAccepted)
	if len(reg.records) != 1 {
		t.Errorf("%d records", len(reg.records))
	}
	expect(publish(dispatchDocument(t, 2, "", "without base"), "anna", "ben"), OutcomeSuperseded)
	expect(publish(dispatchDocument(t, 3, ID(one), "skips one"), "anna", "ben"), OutcomeRefused)
	reg.fail, reg.taken = ErrMoved, false
	expect(publish(dispatchDocument(t, 2, ID(one), ""), "anna", "ben"), OutcomeSuperseded)
	expect(publish(dispatchDocument(t, 2, ID(one), ""), "anna", "ben"), OutcomeAccepted)
	head, end, err := ReadRegister(ctx, reg, initial)
	if err != nil || head.Version != 2 || end != 2 {
		t.Errorf("head %+v, end %d, %v", head, end, err)
	}
}
