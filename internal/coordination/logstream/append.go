package logstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome says whether an append took effect.
type Outcome uint8

// The outcomes of an append.
const (
	Appended     Outcome = iota + 1 // the record is at AppendResult.Offset
	NotAppended                     // certainly without effect
	Undetermined                    // the record may be in the stream now or later
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	switch o {
	case Appended:
		return "appended"
	case NotAppended:
		return "not appended"
	default:
		return "undetermined"
	}
}

// AppendResult is the result of Append. Err is the last error, or nil if Outcome is
// Appended.
type AppendResult struct {
	Outcome  Outcome
	Offset   uint64
	Err      error
	Attempts int // calls of Log.Append
}

// Bounds of the exponential backoff with full jitter after a failed call.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Append appends e and repeats the append under the same record id until it succeeds
// or ctx ends. When a call fails and its effect is unknown, Append searches the stream
// for the id, starting at offset from, which must not be above the end of the stream
// when Append is called. Repeated appends may leave the record in the stream twice, so
// every fold must ignore a second copy.
func Append(ctx context.Context, log Log, stream string, from uint64, e Entry) AppendResult {
	res := AppendResult{Outcome: NotAppended}
	for attempt := 0; ; attempt++ {
		off, err := log.Append(ctx, stream, e)
		res.Attempts++
		if err == nil {
			return AppendResult{Outcome: Appended, Offset: off, Attempts: res.Attempts}
		}
		res.Err = fmt.Errorf("append to stream %s: %w", stream, err)
		if !errors.Is(err, ErrNotAppended) {
			res.Outcome = Undetermined
		}
		if res.Outcome == Undetermined {
			off, found, err := findRecord(ctx, log, stream, from, e.ID)
			if found {
				return AppendResult{Outcome: Appended, Offset: off, Attempts: res.Attempts}
			}
			if err != nil {
				res.Err = errors.Join(res.Err, err)
			}
		}
		if sleep(ctx, backoffDelay(attempt)) != nil {
			return res
		}
	}
}

// findRecord searches the stream from offset from to its end for the record id and
// returns its offset and whether it was found.
func findRecord(ctx context.Context, log Log, stream string, from uint64, id string) (uint64, bool, error) {
	for {
		page, err := log.Read(ctx, stream, from, PageLimit, 0)
		if err != nil {
			return 0, false, fmt.Errorf("search for record %s in stream %s: %w", id, stream, err)
		}
		for _, r := range page.Records {
			if r.ID == id {
				return r.Offset, true, nil
			}
		}
		if page.Next >= page.End {
			return 0, false, nil
		}
		from = page.Next
	}
}

// ReadToEnd calls fold for each record from offset from to the end of the stream. It
// returns the offset after the last record, the oldest retained offset, and asOf, a
// time such that no record appended before it was missed.
func ReadToEnd(ctx context.Context, log Log, stream string, from uint64, fold func(Record)) (next, first uint64, asOf time.Time, err error) {
	for {
		// The log service determines the end after this time.
		asOf = time.Now()
		page, err := log.Read(ctx, stream, from, PageLimit, 0)
		if err != nil {
			return from, first, asOf, fmt.Errorf("read stream %s from offset %d: %w", stream, from, err)
		}
		first = page.First
		for _, r := range page.Records {
			fold(r)
		}
		from = page.Next
		if page.Next >= page.End {
			return from, first, asOf, nil
		}
	}
}

// SeekTime returns an offset between first and end such that every record from first
// up to it is older than t. It searches by bisection, so if record times are not in
// order, t must be earlier than the time of interest by at least as much as record times
// decrease.
func SeekTime(ctx context.Context, log Log, stream string, first, end uint64, t time.Time) (uint64, error) {
	lo, hi := first, end
	for lo < hi {
		mid := lo + (hi-lo)/2
		page, err := log.Read(ctx, stream, mid, 1, 0)
		if err != nil {
			return 0, fmt.Errorf("seek in stream %s: %w", stream, err)
		}
		if len(page.Records) > 0 && page.Records[0].Offset == mid && page.Records[0].Time.Before(t) {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo, nil
}

// backoffDelay returns the delay after failed attempt number attempt, counted from 0.
func backoffDelay(attempt int) time.Duration {
	return rand.N(min(backoffMax, backoffBase<<min(attempt, 16))) + time.Millisecond
}

// sleep waits for d. If ctx ends first, it returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
