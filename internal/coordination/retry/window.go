package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 10
	// countedBuckets is the number of buckets whose requests count. The time of the one that
	// is left out covers the delay between the permission for a send and its arrival.
	countedBuckets = windowBuckets - 1
)

// WindowBudget bounds the repeated sends for one service. Each request earns permissions
// for half of Ratio repeated sends, which are lost after a window. The process also has a
// part of the slack, which is what all processes may together send beyond the ratio.
//
// The sum over all processes holds for each window of Length, whatever the load does: what
// is sent in it was earned in this window or the one before, half of Ratio for each of
// their requests and so at most Ratio for those of the window that has more, or it comes
// from the slack. A process that starts has earned nothing and may use its part of the
// slack from SlackFrom on, when what its predecessor sent is in no common window.
//
// It is safe for concurrent use.
type WindowBudget struct {
	// Ratio is the number of repeated sends that are tolerated for each request.
	Ratio float64
	// Length is the length of the window.
	Length time.Duration
	// SlackFrom is the time from which the process may use its part of the slack. It is
	// Length after its start at the earliest, unless the process had no predecessor.
	SlackFrom time.Time

	mu           sync.Mutex
	level        float64 // permissions that may be taken
	slackGranted bool    // the part of the slack has been added to level
	// origin is the time of the first use. Buckets are numbered from it, so that clock
	// steps do no harm. usedAt is the time of the last use.
	origin, usedAt time.Time
	buckets        [windowBuckets]bucket
}

// bucket counts the requests of one part of the window.
type bucket struct {
	index    int64 // number of the bucket since origin, from 1
	requests int
}

// RecordRequest counts a request, which earns permissions.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordUse(now)
	w.bucketAt(now).requests++
	w.level += w.earned(1)
}

// Available reports whether Take would succeed. slack is this process's part of the slack.
func (w *WindowBudget) Available(now time.Time, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(now, slack)
	return w.hasOne()
}

// Take takes the permission for one repeated send, which must follow at once. It returns
// false if there is none.
func (w *WindowBudget) Take(now time.Time, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(now, slack)
	if !w.hasOne() {
		return false
	}
	w.level = max(0, w.level-1)
	return true
}

// Return gives back the permission for a repeated send that was not made.
func (w *WindowBudget) Return() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.level++
}

// tolerance makes ten additions of 0.1 count as one.
const tolerance = 1e-9

// hasOne reports whether there is a permission.
func (w *WindowBudget) hasOne() bool {
	return w.level >= 1-tolerance
}

// earned returns the permissions that a number of requests earn. It is half of Ratio for
// each, because they may be used in this window and the next.
func (w *WindowBudget) earned(requests int) float64 { return w.Ratio / 2 * float64(requests) }

// update adds the part of the slack when it is due, and drops what was earned too long ago.
func (w *WindowBudget) update(now time.Time, slack float64) {
	w.recordUse(now)
	if !w.slackGranted && !now.Before(w.SlackFrom) {
		w.slackGranted = true
		w.level += slack
	}
	w.level = min(w.level, w.capacity(now, slack))
}

// capacity returns the most that the budget can hold: the part of the slack and what the
// requests that count have earned.
func (w *WindowBudget) capacity(now time.Time, slack float64) float64 {
	current, requests := w.bucketAt(now), 0
	for i := range w.buckets {
		if w.buckets[i].index > current.index-countedBuckets {
			requests += w.buckets[i].requests
		}
	}
	return slack + w.earned(requests)
}

// recordUse records the time of a use.
func (w *WindowBudget) recordUse(now time.Time) {
	if !w.usedAt.IsZero() {
		w.forgetIfSuspended(now.Round(0).Sub(w.usedAt.Round(0)), now.Sub(w.usedAt))
	}
	w.usedAt = now
}

// forgetIfSuspended forgets all requests if the time of day went on by more than a bucket
// beyond the steady clock: the machine was suspended, and the requests are older than they
// seem.
func (w *WindowBudget) forgetIfSuspended(timeOfDay, steady time.Duration) {
	if timeOfDay-steady > w.Length/windowBuckets {
		w.buckets = [windowBuckets]bucket{}
	}
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
