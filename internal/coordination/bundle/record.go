package bundle

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Kind tells the records of the bundle stream apart.
type Kind uint8

// The record kinds. Values are part of the stream format and never reused.
const (
	Proposal   Kind = iota + 1 // a signed bundle; an anchor when its base is empty
	Checkpoint                 // a bundle that its writer has in effect
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

// Record is the content of a record of the bundle stream, in CBOR. The base
// and the version are part of the document.
type Record struct {
	Kind Kind `cbor:"1,keyasint"`
	// Document is the document as signed. In the stream it is compressed, because
	// every process reads every record.
	Document   []byte            `cbor:"-"`
	Signatures []state.Signature `cbor:"3,keyasint,omitempty"`
	// Accepted is the offset at which the bundle was accepted; checkpoints only.
	Accepted uint64 `cbor:"4,keyasint,omitempty"`
	// Through is the offset up to which the writer had folded the stream with
	// this bundle still in effect; checkpoints only. A reader that has read
	// everything from Through on can judge the proposals there.
	Through uint64 `cbor:"5,keyasint,omitempty"`
}

// storedRecord is a record as it stands in the stream. Records with a Plain
// document were written by earlier releases.
type storedRecord struct {
	Record
	Plain      []byte `cbor:"2,keyasint,omitempty"`
	Compressed []byte `cbor:"6,keyasint,omitempty"` // gzip
}

// Marshal returns the bytes of the record.
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

// UnmarshalRecord parses the bytes of a record. A document above MaxDocument is
// an error.
func UnmarshalRecord(data []byte) (*Record, error) {
	s := new(storedRecord)
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode bundle record: %w", err)
	}
	s.Document = s.Plain
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
	document, err := io.ReadAll(io.LimitReader(r, MaxDocument+1))
	if err != nil {
		return nil, err
	}
	if len(document) > MaxDocument {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrDocument, MaxDocument)
	}
	return document, nil
}
