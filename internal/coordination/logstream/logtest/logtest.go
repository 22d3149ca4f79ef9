// Package logtest provides an in-memory log service that can simulate faults, for
// tests.
package logtest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
)

// ErrLost is returned by an append that may or may not have taken effect, as when its
// acknowledgement is lost.
var ErrLost = errors.New("acknowledgement lost")

var errDown = errors.New("log service unreachable")

// Log is an in-memory log service. The zero value is ready to use.
type Log struct {
	mu          sync.Mutex
	streams     map[string]*stream
	down        bool
	delay       time.Duration
	loseAcks    int
	dropAppends int
	appends     int
}

type stream struct {
	first   uint64
	records []logstream.Record
	grown   chan struct{} // closed by the next append
}

// SetDown makes every call fail without effect.
func (l *Log) SetDown(down bool) { l.update(func() { l.down = down }) }

// SetDelay delays every call by d before it takes effect.
func (l *Log) SetDelay(d time.Duration) { l.update(func() { l.delay = d }) }

// LoseAcks makes the next n appends take effect and report ErrLost.
func (l *Log) LoseAcks(n int) { l.update(func() { l.loseAcks = n }) }

// DropAppends makes the next n appends have no effect and report ErrLost.
func (l *Log) DropAppends(n int) { l.update(func() { l.dropAppends = n }) }

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Forget deletes the records of a stream before offset first, as retention does.
func (l *Log) Forget(name string, first uint64) {
	l.update(func() {
		s := l.stream(name)
		s.records = s.records[first-s.first:]
		s.first = first
	})
}

// Records returns the retained records of a stream, also while the log is down.
func (l *Log) Records(name string) []logstream.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.stream(name).records)
}

// update calls f with the log locked.
func (l *Log) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// stream returns the stream name and creates it if needed. l.mu is held.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append implements logstream.Log.
func (l *Log) Append(ctx context.Context, name string, e logstream.Entry) (uint64, error) {
	if err := l.simulateCall(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", logstream.ErrNotAppended, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropAppends > 0 {
		l.dropAppends--
		return 0, ErrLost
	}
	s := l.stream(name)
	off := s.first + uint64(len(s.records))
	s.records = append(s.records, logstream.Record{Offset: off, ID: e.ID, Time: time.Now(), Data: e.Data})
	close(s.grown)
	s.grown = make(chan struct{})
	l.appends++
	if l.loseAcks > 0 {
		l.loseAcks--
		return 0, ErrLost
	}
	return off, nil
}

// Read implements logstream.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if err := l.simulateCall(ctx); err != nil {
		return logstream.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, grown := l.page(name, from, limit)
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return logstream.Page{}, ctx.Err()
		}
	}
}

// page returns up to limit records from offset from on and a channel that is closed by
// the next append.
func (l *Log) page(name string, from uint64, limit int) (logstream.Page, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	end := s.first + uint64(len(s.records))
	from = min(max(from, s.first), end)
	records := s.records[from-s.first:]
	records = records[:min(limit, len(records))]
	return logstream.Page{First: s.first, Next: from + uint64(len(records)), End: end, Records: records}, s.grown
}

// simulateCall waits for the configured delay and returns an error if the log is down.
func (l *Log) simulateCall(ctx context.Context) error {
	l.mu.Lock()
	down, delay := l.down, l.delay
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if down {
		return errDown
	}
	return ctx.Err()
}
