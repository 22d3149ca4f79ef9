// Package logstream reads and appends to the streams of the platform's log
// service. Every decision that all processes must agree on is a fold over one
// stream in offset order.
package logstream

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Entry is a record to append. ID is unique per record and is what a lost
// acknowledgement is resolved by.
type Entry struct {
	ID   string
	Data []byte
}

// NewID returns a random record identifier.
func NewID() string { return uuid.NewString() }

// Record is a record as it stands in a stream.
type Record struct {
	Offset uint64
	ID     string
	Time   time.Time // assigned by the log service
	Data   []byte
}

// Page is the result of one read.
type Page struct {
	First   uint64 // oldest retained offset
	Next    uint64 // offset after the last returned record
	End     uint64 // offset after the last record of the stream
	Records []Record
}

// ErrNotAppended is wrapped by the error of an append that certainly had no
// effect. Any other error leaves the fate of the append open.
var ErrNotAppended = errors.New("record not appended")

// Log is the log service. Implementations are safe for concurrent use and give
// up a call after a bounded time.
type Log interface {
	// Append appends e and returns its offset. The error wraps ErrNotAppended
	// when the record certainly was not appended.
	Append(ctx context.Context, stream string, e Entry) (uint64, error)
	// Read returns up to limit records from offset from on. When there are none
	// it waits up to wait for one. When from is no longer retained it reads from
	// First on.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// PageLimit is the number of records asked for in one read.
const PageLimit = 256
