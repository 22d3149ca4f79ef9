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

// Guards against a document that is changed by encoding, which would invalidate its
// signatures, and against records of earlier releases that can no longer be read.
func TestRecordRoundTrip(t *testing.T) {
	document := make([]byte, 100_000)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range document {
		document[i] = "0123456789abcdef"[r.IntN(16)]
	}
	want := &Record{Kind: Checkpoint, Document: document, Signatures: []state.Signature{{Operator: "ama", Signature: []byte{1}}}, AcceptedOffset: 7, InEffectUntil: 9}
	data, err := want.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 60_000 {
		t.Errorf("record of %d bytes for a document of %d hexadecimal digits, want at most 60000 bytes", len(data), len(document))
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
		t.Errorf("uncompressed record: document of %d bytes, error %v; want the document as written", len(got.Document), err)
	}
}

// Guards against a small record whose document decompresses to a size that exhausts
// the memory.
func TestRecordDocumentBound(t *testing.T) {
	for _, tt := range []struct {
		size int
		want error
	}{{MaxDocumentBytes, nil}, {MaxDocumentBytes + 1, ErrDocument}} {
		data, err := (&Record{Kind: Proposal, Document: make([]byte, tt.size)}).Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := UnmarshalRecord(data); !errors.Is(err, tt.want) {
			t.Errorf("document of %d bytes: error %v, want %v", tt.size, err, tt.want)
		}
	}
	if _, err := UnmarshalRecord([]byte{0xa2, 1, 1, 6, 0x42, 0, 0}); err == nil {
		t.Error("a record with damaged compressed data is accepted")
	}
}
