package logstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Fate says what became of an append.
type Fate uint8

// The fates of an append.
const (
	Appended     Fate = iota + 1 // at Result.Offset
	NotAppended                  // certainly without effect
	Undetermined                 // the record may be in the stream now or later
)

// String returns the fate in lower case.
func (f Fate) String() string {
	switch f {
	case Appended:
		return "appended"
	case NotAppended:
		return "not appended"
	default:
		return "undetermined"
	}
}

// Result is the result of Append. Err is the last error unless Fate is
// Appended.
type Result struct {
	Fate     Fate
	Offset   uint64
	Err      error
	Attempts int // append calls made
}

// Backoff between attempts at a call that failed: exponential with full jitter.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Append appends e and repeats the append under the same record id until it
// succeeds or ctx ends. A failed call whose effect is unknown is resolved by
// looking for the id from offset from on, which must not be above the end of
// the stream at the time of the call. Repeats may leave the record in the
// stream twice, so every fold treats a second copy as having no effect.
func Append(ctx context.Context, log Log, stream string, from uint64, e Entry) Result {
	res := Result{Fate: NotAppended}
	for attempt := 0; ; attempt++ {
		off, err := log.Append(ctx, stream, e)
		res.Attempts++
		if err == nil {
			return Result{Fate: Appended, Offset: off, Attempts: res.Attempts}
		}
		res.Err = fmt.Errorf("append to stream %s: %w", stream, err)
		if !errors.Is(err, ErrNotAppended) {
			res.Fate = Undetermined
		}
		if res.Fate == Undetermined {
			off, found, err := find(ctx, log, stream, from, e.ID)
			if found {
				return Result{Fate: Appended, Offset: off, Attempts: res.Attempts}
			}
			if err != nil {
				res.Err = errors.Join(res.Err, err)
			}
		}
		if sleep(ctx, backoff(attempt)) != nil {
			return res
		}
	}
}

// find looks for the record id between from and the end of the stream.
func find(ctx context.Context, log Log, stream string, from uint64, id string) (uint64, bool, error) {
	for {
		page, err := log.Read(ctx, stream, from, PageLimit, 0)
		if err != nil {
			return 0, false, fmt.Errorf("read back record %s from stream %s: %w", id, stream, err)
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

// ReadToEnd calls fold for each record from offset from to the end of the
// stream. It returns the offset after the last record, the oldest retained
// offset, and a time at which the returned end was current.
func ReadToEnd(ctx context.Context, log Log, stream string, from uint64, fold func(Record)) (next, first uint64, asOf time.Time, err error) {
	for {
		// The end is at least as recent as the time before the request.
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

// SeekTime returns an offset such that every record before it is older than t,
// or the oldest retained offset. It assumes that record times do not decrease
// by more than the caller's margin in t.
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

func backoff(attempt int) time.Duration {
	return rand.N(min(backoffMax, backoffBase<<min(attempt, 16))) + time.Millisecond
}

// sleep waits for d or until ctx ends.
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
