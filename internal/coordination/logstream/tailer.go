package logstream

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// PollWait is how long a read at the end of the stream waits for a record (long
// polling).
const PollWait = 2 * time.Second

// Position is how far a reader has read a stream.
type Position struct {
	Next uint64    // offset after the last folded record
	End  uint64    // end of the stream as of AsOf
	AsOf time.Time // time at which the read that returned End was sent
}

// AtEnd reports whether every record that was in the stream at AsOf has been folded.
func (p Position) AtEnd() bool { return p.Next >= p.End }

// Tailer passes the records of one stream to Fold in offset order. It goes on after
// outages of the log and reports records that retention deleted before they were read.
// Its functions are called by the goroutine that runs Run, one at a time.
type Tailer struct {
	Log    Log
	Stream string
	// Start returns the first offset to read. It is called until it succeeds. If it
	// is nil, reading starts at offset 0, which means the oldest retained record.
	Start func(ctx context.Context) (uint64, error)
	// Fold receives each record.
	Fold func(Record)
	// Gap, if not nil, is called when the records from offset from up to but not
	// including page.First were not read and are no longer retained, before the
	// records of page are folded. The first read may already show a gap.
	Gap func(from uint64, page Page)
	// Progress, if not nil, is called after each successful read.
	Progress func(Position)
	Logger   *zap.Logger
}

// Run reads until ctx ends and returns the context's error.
func (t *Tailer) Run(ctx context.Context) error {
	next, err := t.startOffset(ctx)
	if err != nil {
		return err
	}
	failures := 0
	wait := time.Duration(0)
	for {
		asOf := time.Now()
		page, err := t.Log.Read(ctx, t.Stream, next, PageLimit, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			t.logFailure(failures, err)
			if err := sleep(ctx, backoffDelay(failures)); err != nil {
				return err
			}
			failures++
			// The first read after an outage does not wait for a record, so that
			// Progress reports at once whether the end has been reached.
			wait = 0
			continue
		}
		if failures > 0 {
			t.Logger.Info("log stream readable again", zap.String("stream", t.Stream), zap.Int("failures", failures))
			failures = 0
		}
		if page.First > next && t.Gap != nil {
			t.Logger.Info("log stream gap: records are no longer retained", zap.String("stream", t.Stream), zap.Uint64("from", next), zap.Uint64("first", page.First))
			t.Gap(next, page)
		}
		for _, r := range page.Records {
			t.Fold(r)
		}
		next = max(next, page.Next)
		if t.Progress != nil {
			t.Progress(Position{Next: next, End: page.End, AsOf: asOf})
		}
		wait = PollWait
	}
}

// startOffset calls Start until it succeeds.
func (t *Tailer) startOffset(ctx context.Context) (uint64, error) {
	if t.Start == nil {
		return 0, nil
	}
	for failures := 0; ; failures++ {
		next, err := t.Start(ctx)
		if err == nil {
			return next, nil
		}
		t.logFailure(failures, err)
		if err := sleep(ctx, backoffDelay(failures)); err != nil {
			return 0, err
		}
	}
}

// logFailure logs the first failure of an outage and every tenth after it. failures is
// the number of earlier failures.
func (t *Tailer) logFailure(failures int, err error) {
	if failures%10 == 0 {
		t.Logger.Warn("log stream read failed", zap.String("stream", t.Stream), zap.Int("failures", failures), zap.Error(err))
	}
}
