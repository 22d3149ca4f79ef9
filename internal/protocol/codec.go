package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes is the largest size of a frame without its length prefix. It
// limits a request with its prompt.
const MaxFrameBytes = 8 << 20

// MaxChunkBytes is the largest size of the data of a Chunk.
const MaxChunkBytes = 64 << 10

// frameHeaderBytes is the size of the length prefix (4 bytes, big endian) and the
// kind (1 byte). The length counts the kind and the body.
const frameHeaderBytes = 5

// ErrFrameTooLarge is returned for a frame above MaxFrameBytes, and by Read also
// for a frame of length 0. A stream that was read cannot be used afterwards.
var ErrFrameTooLarge = errors.New("frame too large")

// ErrUnknownKind is returned for a message kind that this version does not define.
var ErrUnknownKind = errors.New("unknown message kind")

// decMode limits nesting depth and element counts, so that a malicious frame
// cannot exhaust memory beyond its own size.
var decMode = mustDecMode(cbor.DecOptions{
	MaxNestedLevels:  8,
	MaxArrayElements: 1 << 16,
	MaxMapPairs:      1 << 12,
	TimeTag:          cbor.DecTagOptional,
})

// encMode encodes times in nanoseconds, because deadlines are compared across
// processes.
var encMode = mustEncMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the frame of m.
func Encode(m Message) ([]byte, error) {
	kind, ok := kindOf(m)
	if !ok {
		return nil, fmt.Errorf("encode %T: %w", m, ErrUnknownKind)
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	if len(body)+1 > MaxFrameBytes {
		return nil, fmt.Errorf("encode %T: %w: %d bytes", m, ErrFrameTooLarge, len(body))
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)+1))
	frame[4] = byte(kind)
	return append(frame, body...), nil
}

// Write writes the frame of m with a single call of w.Write.
func Write(w io.Writer, m Message) error {
	frame, err := Encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// Read reads one frame and decodes it. The result is a pointer to one of the
// message types. The error is io.EOF only if the stream ends between two frames.
func Read(r io.Reader) (Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n < 1 || n > MaxFrameBytes {
		return nil, fmt.Errorf("read frame: %w: %d bytes", ErrFrameTooLarge, n)
	}
	body := make([]byte, n-1)
	_, err := io.ReadFull(r, body)
	if errors.Is(err, io.EOF) { // of a stream that ends just after the header
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("read frame body: %w", err)
	}
	return Decode(Kind(header[4]), body)
}

// Decode decodes the body of a message of the given kind.
func Decode(kind Kind, body []byte) (Message, error) {
	m := newMessage(kind)
	if m == nil {
		return nil, fmt.Errorf("decode message: %w: %d", ErrUnknownKind, kind)
	}
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message kind %d: %w", kind, err)
	}
	return m, nil
}
