package bundle

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Kind is the kind of a record of the bundle stream.
type Kind uint8

// The record kinds. Values are part of the stream format and never reused.
const (
	// Proposal is a signed bundle that takes effect if the fold accepts it. A
	// proposal without a base is the first bundle or an anchor, with which operators
	// start anew after retention has removed every usable record.
	Proposal Kind = iota + 1
	// Checkpoint repeats the bundle that its writer has in effect, so that the
	// bundle outlives the retention time of its proposal.
	Checkpoint
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Proposal:
		return "proposal"
	case Checkpoint:
		return "checkpoint"
	default:
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
}

// Record is the content of a record of the bundle stream, which is written in CBOR.
// The version and the base of the bundle are part of the document.
type Record struct {
	Kind Kind `cbor:"1,keyasint"`
	// Document is the document as it was signed. In the stream it is compressed,
	// because every process reads every record.
	Document   []byte            `cbor:"-"`
	Signatures []state.Signature `cbor:"3,keyasint,omitempty"`
	// AcceptedOffset is the offset of the proposal that was accepted; set in
	// checkpoints only.
	AcceptedOffset uint64 `cbor:"4,keyasint,omitempty"`
	// InEffectUntil is the offset up to which, exclusively, the writer had folded
	// the stream with this bundle still in effect; set in checkpoints only. A reader
	// that has read everything from this offset on can evaluate the proposals there.
	InEffectUntil uint64 `cbor:"5,keyasint,omitempty"`
}

// storedRecord is the form of a record in the stream. Earlier releases wrote the
// document to Uncompressed.
type storedRecord struct {
	Record
	Uncompressed []byte `cbor:"2,keyasint,omitempty"`
	Compressed   []byte `cbor:"6,keyasint,omitempty"` // gzip
}

// Marshal returns the record in the form in which it is appended to the stream.
func (r *Record) Marshal() ([]byte, error) {
	compressed, err := compress(r.Document)
	if err != nil {
		return nil, fmt.Errorf("compress bundle document: %w", err)
	}
	b, err := cbor.Marshal(&storedRecord{Record: *r, Compressed: compressed})
	if err != nil {
		return nil, fmt.Errorf("encode bundle record: %w", err)
	}
	return b, nil
}

// UnmarshalRecord parses a record of the stream. A compressed document that expands to
// more than MaxDocumentBytes is an error.
func UnmarshalRecord(data []byte) (*Record, error) {
	s := new(storedRecord)
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode bundle record: %w", err)
	}
	s.Document = s.Uncompressed
	if s.Compressed != nil {
		var err error
		if s.Document, err = decompress(s.Compressed); err != nil {
			return nil, fmt.Errorf("decompress bundle document: %w", err)
		}
	}
	return &s.Record, nil
}

func compress(document []byte) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(document); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	document, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(document) > MaxDocumentBytes {
		return nil, fmt.Errorf("%w: more than %d bytes after decompression", ErrDocument, MaxDocumentBytes)
	}
	return document, nil
}
