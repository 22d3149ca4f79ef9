// Package registry follows keyed topics of the platform's store, in which the
// newest record of each key counts.
package registry

import (
	"context"
	"errors"
	"time"
)

// ErrTrimmed says that records that were asked for are no longer retained.
var ErrTrimmed = errors.New("records are no longer retained")

// Record is a record of a keyed topic.
type Record struct {
	Key    string
	Value  []byte // empty: the key was removed
	Offset uint64
}

// Source is the store.
type Source interface {
	// Newest returns the newest record of each key and the offset to read on from.
	Newest(ctx context.Context, topic string) ([]Record, uint64, error)
	// Read returns the records from offset from on and the offset after the last
	// one. It waits up to wait for a record and fails with ErrTrimmed when from is
	// no longer retained.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) ([]Record, uint64, error)
}

// Handler is told what a topic holds. Its methods are called by one goroutine.
type Handler interface {
	// Listed is called with all keys, at first and after a gap. They are complete up
	// to offset next.
	Listed(now time.Time, records []Record, next uint64)
	// Changed is called with the records up to offset next that follow, possibly
	// none.
	Changed(now time.Time, records []Record, next uint64)
	// Failed is called when the store did not answer a call.
	Failed(now time.Time, err error)
}

// Topic is a topic that is followed.
type Topic struct {
	Name string
	// Wait is how long a read may wait for a record at the store.
	Wait time.Duration
	// Interval is the time between the ends of a read and the start of the next.
	Interval time.Duration
	// Skip reports that the content is known from elsewhere at the moment, so that
	// a read can be spared. nil: every read is needed.
	Skip func() bool
	// Resume reports, once for each cause, that the content was replaced from
	// elsewhere by what is complete up to offset next. Reading goes on from there.
	// nil: never.
	Resume func() (next uint64, ok bool)
}

// The pause after a failed call grows from firstPause to maxPause.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 1500 * time.Millisecond
	skipPause  = 100 * time.Millisecond // between questions whether to skip
)

// Follow reads the topic until ctx ends.
func Follow(ctx context.Context, source Source, topic Topic, h Handler) error {
	f := follower{source: source, topic: topic, handler: h}
	for ctx.Err() == nil {
		pause := topic.Interval
		if topic.Skip != nil && f.listed && topic.Skip() {
			pause = skipPause
		} else if err := f.step(ctx); err != nil && ctx.Err() == nil {
			h.Failed(time.Now(), err)
			f.pause = min(maxPause, max(firstPause, 2*f.pause))
			pause = f.pause
		} else {
			f.pause = 0
		}
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	return nil
}

type follower struct {
	source  Source
	topic   Topic
	handler Handler
	listed  bool
	next    uint64
	pause   time.Duration
}

func (f *follower) step(ctx context.Context) error {
	if f.topic.Resume != nil {
		if next, ok := f.topic.Resume(); ok {
			f.listed, f.next = true, next
		}
	}
	if !f.listed {
		records, next, err := f.source.Newest(ctx, f.topic.Name)
		if err != nil {
			return err
		}
		f.listed, f.next = true, next
		f.handler.Listed(time.Now(), records, next)
		return nil
	}
	records, next, err := f.source.Read(ctx, f.topic.Name, f.next, f.topic.Wait)
	if errors.Is(err, ErrTrimmed) {
		f.listed = false
		return f.step(ctx)
	}
	if err != nil {
		return err
	}
	f.next = next
	f.handler.Changed(time.Now(), records, next)
	return nil
}
