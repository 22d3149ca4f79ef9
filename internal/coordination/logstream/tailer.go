package logstream

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// PollWait is the length of a long poll.
const PollWait = 2 * time.Second

// Position is how far a reader has read.
type Position struct {
	Next uint64    // offset after the last folded record
	End  uint64    // end of the stream as of AsOf
	AsOf time.Time // sending time of the read that reported End
}

// AtEnd reports whether everything that was in the stream at AsOf is folded.
func (p Position) AtEnd() bool { return p.Next >= p.End }

// Tailer folds the records of one stream in offset order, survives outages of
// the log, and reports records lost to retention. The functions are called by
// the goroutine that runs Run, one at a time.
type Tailer struct {
	Log    Log
	Stream string
	// Start returns the first offset to read; nil stands for the oldest
	// retained offset. It is repeated until it succeeds.
	Start func(ctx context.Context) (uint64, error)
	// Fold receives each record.
	Fold func(Record)
	// Gap is called before the next Fold when records from offset from up to but
	// not including page.First were never read and are no longer retained, also
	// before the first read.
	Gap func(from uint64, page Page)
	// Progress is called after each successful read.
	Progress func(Position)
	Logger   *zap.Logger
}

// Run reads until ctx ends and returns its error.
func (t *Tailer) Run(ctx context.Context) error {
	next, err := t.start(ctx)
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
			t.failed(failures, err)
			if err := sleep(ctx, backoff(failures)); err != nil {
				return err
			}
			failures++
			// The first read after an outage does not wait, so that the reader
			// learns at once whether it is at the end.
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

func (t *Tailer) start(ctx context.Context) (uint64, error) {
	if t.Start == nil {
		return 0, nil
	}
	for failures := 0; ; failures++ {
		next, err := t.Start(ctx)
		if err == nil {
			return next, nil
		}
		t.failed(failures, err)
		if err := sleep(ctx, backoff(failures)); err != nil {
			return 0, err
		}
	}
}

// failed logs the first failure of an outage and each tenth after it.
func (t *Tailer) failed(failures int, err error) {
	if failures%10 == 0 {
		t.Logger.Warn("log stream read failed", zap.String("stream", t.Stream), zap.Int("failures", failures), zap.Error(err))
	}
}
