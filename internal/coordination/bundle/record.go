package bundle

import (
	"fmt"

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
	Kind       Kind              `cbor:"1,keyasint"`
	Document   []byte            `cbor:"2,keyasint"`
	Signatures []state.Signature `cbor:"3,keyasint,omitempty"`
	// Accepted is the offset at which the bundle was accepted; checkpoints only.
	Accepted uint64 `cbor:"4,keyasint,omitempty"`
	// Through is the offset up to which the writer had folded the stream with
	// this bundle still in effect; checkpoints only. A reader that has read
	// everything from Through on can judge the proposals there.
	Through uint64 `cbor:"5,keyasint,omitempty"`
}

// Marshal returns the bytes of the record.
func (r *Record) Marshal() ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode bundle record: %w", err)
	}
	return b, nil
}

// UnmarshalRecord parses the bytes of a record.
func UnmarshalRecord(data []byte) (*Record, error) {
	r := new(Record)
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decode bundle record: %w", err)
	}
	return r, nil
}
