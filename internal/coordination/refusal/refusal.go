// Package refusal recognizes requests that come back after a refusal. A caller that is
// told when to retry sends the same request again, usually through another entry, and
// counts its deadline from its first attempt. A request is therefore recognized by its
// content together with its deadline. Entries tell each other the requests that they
// have refused.
package refusal

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// deadlineTolerance is how far the deadlines of two attempts of a request may be
	// apart: the times that requests and reports need, and deadlines in whole
	// milliseconds.
	deadlineTolerance = 100 * time.Millisecond
	// maxRemembered bounds the remembered refusals to about a megabyte.
	maxRemembered = 1 << 14
	// reportsEach is the number of reports that contain a refusal, because a report may
	// be lost.
	reportsEach = 2
)

// Key identifies the content of a request.
type Key uint32

// KeyOf returns the key of a call. It covers everything that is the same in all
// attempts of a caller, but not the identifier and the deadline.
func KeyOf(c *state.Call) Key {
	h := xxhash.New()
	for _, s := range []string{c.APIKey, c.Method, c.Host, c.URI, c.ResumeAfter} {
		_, _ = h.WriteString(s) // hash writes never fail
		_, _ = h.Write([]byte{0})
	}
	for _, p := range c.Prompt {
		_, _ = h.WriteString(p.ID)
		_, _ = h.Write([]byte{0})
	}
	counts := binary.LittleEndian.AppendUint64(nil, uint64(c.PromptTokens))
	counts = binary.LittleEndian.AppendUint64(counts, uint64(c.MaxOutputTokens))
	counts = binary.LittleEndian.AppendUint64(counts, uint64(c.EstimatedOutputTokens))
	_, _ = h.Write(counts)
	_, _ = h.Write(c.Body)
	return Key(h.Sum64())
}

// Note tells other entries of a refused request. Times are relative, because the clocks
// of instances differ.
type Note struct {
	_ struct{} `cbor:",toarray"`
	Key
	RemainingMillis uint32 // until the caller's deadline
	AgeMillis       uint32 // since the caller's first attempt arrived
}

// record is a remembered refusal.
type record struct {
	key          Key
	deadline     time.Time
	firstArrived time.Time
	reports      int // that are still to contain it; 0 for one learned from another entry
}

// Log remembers refused requests until their deadlines. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records map[Key][]record
	count   int
	unsent  []record
	// nextExpiry is when expired records are removed next.
	nextExpiry time.Time
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{records: make(map[Key][]record)} }

// Add remembers a refusal of this entry. firstArrived is when the caller's first
// attempt arrived.
func (l *Log) Add(now time.Time, key Key, deadline, firstArrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := record{key: key, deadline: deadline, firstArrived: firstArrived, reports: reportsEach}
	if l.remember(now, r) {
		l.unsent = append(l.unsent, r)
	}
}

// Returned reports whether the request was refused before, and when its first attempt
// arrived. The refusal is forgotten here.
func (l *Log) Returned(key Key, deadline time.Time) (firstArrived time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range l.records[key] {
		if r.matches(deadline) {
			l.remove(key, i)
			return r.firstArrived, true
		}
	}
	return time.Time{}, false
}

func (r record) matches(deadline time.Time) bool {
	return deadline.Sub(r.deadline).Abs() <= deadlineTolerance
}

// Unreported returns the refusals that the next report is to contain.
func (l *Log) Unreported(now time.Time) []Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	var notes []Note
	kept := l.unsent[:0]
	for _, r := range l.unsent {
		if !r.deadline.After(now) {
			continue
		}
		notes = append(notes, Note{
			Key: r.key, RemainingMillis: uint32(r.deadline.Sub(now).Milliseconds()),
			AgeMillis: uint32(max(0, now.Sub(r.firstArrived).Milliseconds())),
		})
		if r.reports--; r.reports > 0 {
			kept = append(kept, r)
		}
	}
	l.unsent = kept
	return notes
}

// HasUnreported reports whether there are refusals that a report is to contain.
func (l *Log) HasUnreported() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unsent) > 0
}

// Learn remembers the refusals in a report of another entry.
func (l *Log) Learn(now time.Time, notes []Note) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range notes {
		l.remember(now, record{
			key: n.Key, deadline: now.Add(time.Duration(n.RemainingMillis) * time.Millisecond),
			firstArrived: now.Add(-time.Duration(n.AgeMillis) * time.Millisecond),
		})
	}
}

// remember adds r unless it is known or the log is full.
func (l *Log) remember(now time.Time, r record) bool {
	l.removeExpired(now)
	if l.count >= maxRemembered {
		return false
	}
	for _, known := range l.records[r.key] {
		if known.matches(r.deadline) {
			return false
		}
	}
	l.records[r.key] = append(l.records[r.key], r)
	l.count++
	return true
}

// expiryInterval is the time between removals of expired records.
const expiryInterval = time.Second

func (l *Log) removeExpired(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(expiryInterval)
	for key, records := range l.records {
		kept := slices.DeleteFunc(records, func(r record) bool { return now.After(r.deadline.Add(deadlineTolerance)) })
		l.count -= len(records) - len(kept)
		if len(kept) == 0 {
			delete(l.records, key)
		} else {
			l.records[key] = kept
		}
	}
}

func (l *Log) remove(key Key, i int) {
	l.count--
	if kept := slices.Delete(l.records[key], i, i+1); len(kept) > 0 {
		l.records[key] = kept
		return
	}
	delete(l.records, key)
}
