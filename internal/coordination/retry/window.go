package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 10

// WindowBudget bounds the repeated sends within a sliding window to a share of the
// first sends in it plus an allowance. Processes that each keep to a budget together
// keep to the sum of their budgets. It is safe for concurrent use.
type WindowBudget struct {
	// Ratio is the number of repeated sends that each first send allows.
	Ratio float64
	// Length is the length of the window.
	Length time.Duration

	mu sync.Mutex
	// origin is the time of the first use. Buckets are numbered from it, so that clock
	// steps do no harm.
	origin  time.Time
	buckets [windowBuckets]bucket
}

// bucket counts the sends of one part of the window.
type bucket struct {
	index           int64 // number of the bucket since origin, from 1
	first, repeated int
}

// RecordFirst counts the first send of a request.
func (w *WindowBudget) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucketAt(now).first++
}

// Take counts one repeated send, or returns false and counts nothing if that would
// exceed the share of the first sends plus allowance.
func (w *WindowBudget) Take(now time.Time, allowance float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.bucketAt(now)
	first, repeated := 0, 0
	for i := range w.buckets {
		if w.buckets[i].index > current.index-windowBuckets {
			first += w.buckets[i].first
			repeated += w.buckets[i].repeated
		}
	}
	if float64(repeated+1) > w.Ratio*float64(first)+allowance {
		return false
	}
	current.repeated++
	return true
}

// bucketAt returns the bucket for now, emptied if it holds the counts of another index.
// Times before origin belong to the first bucket.
func (w *WindowBudget) bucketAt(now time.Time) *bucket {
	if w.origin.IsZero() {
		w.origin = now
	}
	index := 1 + int64(max(0, now.Sub(w.origin))/(w.Length/windowBuckets))
	b := &w.buckets[index%windowBuckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}
