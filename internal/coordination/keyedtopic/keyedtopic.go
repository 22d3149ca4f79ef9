// Package keyedtopic follows keyed topics of the store of the users' platform, in which
// the newest record of each key is the current one.
package keyedtopic

import (
	"context"
	"errors"
	"time"
)

// ErrTrimmed means that the store no longer retains the records that were asked for.
var ErrTrimmed = errors.New("records are no longer retained")

// ErrConflict means that a conditional append was not done, because another record has the
// offset that it asked for.
var ErrConflict = errors.New("another record was appended meanwhile")

// Record is a record of a keyed topic.
type Record struct {
	Key    string
	Value  []byte // empty if the key was removed
	Offset uint64
}

// Position is a place in a topic. Offsets of different eras are not comparable.
type Position struct {
	// Era is the number of times that the store has come back from an older copy, which
	// lacks the newest records, as far as it states that; 0 if it does not. The store then
	// gives out the offsets of the missing records again.
	Era    uint64
	Offset uint64
}

// Source reads topics from the store.
type Source interface {
	// Newest returns the newest record of each key and the position at which to continue
	// with Read.
	Newest(ctx context.Context, topic string) ([]Record, Position, error)
	// Read returns the records from the position from on and the position after the last
	// one. If there are none yet, it waits up to wait. It fails with ErrTrimmed if from is
	// no longer retained.
	Read(ctx context.Context, topic string, from Position, wait time.Duration) ([]Record, Position, error)
}

// Handler receives the content of a topic. Its methods are called by one goroutine.
type Handler interface {
	// Listed is called with the newest record of each key, at first and after records
	// were trimmed before they were read. It is complete up to, but not including, next.
	Listed(now time.Time, records []Record, next Position)
	// Changed is called with the records that follow, possibly none, up to but not
	// including next.
	Changed(now time.Time, records []Record, next Position)
	// Failed is called when a call to the store failed.
	Failed(now time.Time, err error)
}

// Topic says which topic to follow, and how.
type Topic struct {
	Name string
	// ReadWait is how long a read waits at the store for a record.
	ReadWait time.Duration
	// ReadInterval is the pause between the end of a read and the start of the next.
	ReadInterval time.Duration
	// SkipRead reports whether reads are unnecessary at the moment, because the
	// content is known from elsewhere. nil: never.
	SkipRead func() bool
	// ResumeFrom reports, once for each replacement, that the content was replaced by
	// content from elsewhere that is complete up to next. Reading continues from there.
	// nil: the content is never replaced.
	ResumeFrom func() (next Position, ok bool)
	// Era returns the era of the store that other topics have shown, 0 for none, and a channel
	// that is closed when the topic is to be listed anew at once, because it has changed. A
	// waiting read would not end before the offset that it asks for is given out again. nil:
	// nothing is known of other topics.
	Era func() (era uint64, changed <-chan struct{})
}

// The pause after failed calls doubles from minRetryPause up to maxRetryPause.
const (
	minRetryPause     = 100 * time.Millisecond
	maxRetryPause     = 1500 * time.Millisecond
	skipCheckInterval = 100 * time.Millisecond // between calls of SkipRead while reads are skipped
)

// Follow reads the topic and passes its content to h until ctx ends. It returns nil
// then.
func Follow(ctx context.Context, source Source, topic Topic, h Handler) error {
	f := follower{source: source, topic: topic, handler: h}
	for ctx.Err() == nil {
		pause := topic.ReadInterval
		if topic.SkipRead != nil && f.listed && topic.SkipRead() {
			pause = skipCheckInterval
		} else if err := f.readOnce(ctx); errors.Is(err, errRelist) {
			f.listed = false
			pause = minRetryPause
		} else if err != nil && ctx.Err() == nil {
			h.Failed(time.Now(), err)
			f.failed = true
			f.retryPause = min(maxRetryPause, max(minRetryPause, 2*f.retryPause))
			pause = f.retryPause
		} else {
			f.retryPause = 0
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

// follower is the state of Follow.
type follower struct {
	source     Source
	topic      Topic
	handler    Handler
	listed     bool // the content is known up to next
	next       Position
	failed     bool // the last call failed
	retryPause time.Duration
}

// errRelist means that the topic is to be listed anew.
var errRelist = errors.New("the store has come back from an older copy")

// readOnce lists the topic or reads the records that follow, and passes them to the
// handler. The error is errRelist if the records that follow are of another era than the
// position from which they were read.
func (f *follower) readOnce(ctx context.Context) error {
	if f.topic.ResumeFrom != nil {
		if next, ok := f.topic.ResumeFrom(); ok {
			f.listed, f.next = true, next
		}
	}
	if !f.listed {
		records, next, err := f.source.Newest(ctx, f.topic.Name)
		if err != nil {
			return err
		}
		f.listed, f.next, f.failed = true, next, false
		f.handler.Listed(time.Now(), records, next)
		return nil
	}
	records, next, err := f.read(ctx)
	if errors.Is(err, ErrTrimmed) {
		f.listed = false
		return f.readOnce(ctx)
	}
	if err != nil {
		return err
	}
	if next.Era == 0 {
		next.Era = f.next.Era
	}
	if next.Era != f.next.Era {
		return errRelist
	}
	f.next, f.failed = next, false
	f.handler.Changed(time.Now(), records, next)
	return nil
}

// read reads the records that follow. The error is errRelist if another topic shows that the
// era has changed. The first read after a failure does not wait, because the store may have
// come back from an older copy meanwhile.
func (f *follower) read(ctx context.Context) ([]Record, Position, error) {
	wait := f.topic.ReadWait
	if f.failed {
		wait = 0
	}
	if f.topic.Era == nil {
		return f.source.Read(ctx, f.topic.Name, f.next, wait)
	}
	era, changed := f.topic.Era()
	if era != 0 && f.next.Era != 0 && era != f.next.Era {
		return nil, f.next, errRelist
	}
	readCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-changed:
			cancel(errRelist)
		case <-readCtx.Done():
		}
	}()
	records, next, err := f.source.Read(readCtx, f.topic.Name, f.next, wait)
	if err != nil && errors.Is(context.Cause(readCtx), errRelist) {
		return nil, next, errRelist
	}
	return records, next, err
}
