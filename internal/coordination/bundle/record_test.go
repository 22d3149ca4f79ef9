package bundle

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a document that changes in the stream, which would break its
// signatures, and against records of earlier releases that are no longer read.
func TestRecordRoundTrip(t *testing.T) {
	document := make([]byte, 100_000)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range document {
		document[i] = "0123456789abcdef"[r.IntN(16)]
	}
	want := &Record{Kind: Checkpoint, Document: document, Signatures: []state.Signature{{Operator: "ama", Signature: []byte{1}}}, Accepted: 7, Through: 9}
	data, err := want.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 60_000 {
		t.Errorf("record of %d bytes for %d hexadecimal digits, want at most 60000", len(data), len(document))
	}
	got, err := UnmarshalRecord(data)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("record (-want +got), error %v:\n%s", err, diff)
	}
	plain, err := cbor.Marshal(map[int]any{1: Proposal, 2: document})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := UnmarshalRecord(plain); err != nil || !bytes.Equal(got.Document, document) {
		t.Errorf("plain record: %d bytes of document, error %v", len(got.Document), err)
	}
}

// Guards against a small record that takes all memory when it is read.
func TestRecordDocumentBound(t *testing.T) {
	for _, tt := range []struct {
		size int
		want error
	}{{MaxDocument, nil}, {MaxDocument + 1, ErrDocument}} {
		data, err := (&Record{Kind: Proposal, Document: make([]byte, tt.size)}).Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := UnmarshalRecord(data); !errors.Is(err, tt.want) {
			t.Errorf("document of %d bytes: error %v, want %v", tt.size, err, tt.want)
		}
	}
	if _, err := UnmarshalRecord([]byte{0xa2, 1, 1, 6, 0x42, 0, 0}); err == nil {
		t.Error("a damaged document is accepted")
	}
}
