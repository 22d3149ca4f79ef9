// Package logstream reads from and appends to the streams of the platform's log
// service. All processes agree on a decision by applying the records of one stream to
// the same state in offset order, which is called a fold here.
package logstream

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Entry is a record to append. ID is unique to the record, so that after a lost
// acknowledgement the stream can be searched for it.
type Entry struct {
	ID   string
	Data []byte
}

// NewID returns a random record identifier.
func NewID() string { return uuid.NewString() }

// Record is a record that has been appended to a stream.
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

// ErrNotAppended is wrapped by the error of an append that certainly had no effect.
// After any other error it is unknown whether the record was appended.
var ErrNotAppended = errors.New("record not appended")

// Log is a client of the log service. Implementations are safe for concurrent use, and
// their calls return after a bounded time.
type Log interface {
	// Append appends e and returns its offset. The error wraps ErrNotAppended
	// when the record certainly was not appended.
	Append(ctx context.Context, stream string, e Entry) (uint64, error)
	// Read returns up to limit records, starting at offset from, or at the oldest
	// retained offset if from is no longer retained. If there are none, it waits for
	// one for up to wait.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// PageLimit is the largest number of records that one read asks for.
const PageLimit = 256
