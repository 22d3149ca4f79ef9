// Package targetlist keeps the list of targets that the store of the users' platform
// holds.
//
// Records of targets that expire during an outage of the store reappear within about
// two seconds of its return. A removal that is read right after the return therefore
// takes effect only if the target has not reappeared by then. Later removals take
// effect at once, because they are of targets that leave.
//
// A store that comes back from an older copy shows targets that have left, or drain, as
// they were. What the list knows of them stays in effect until they write a record anew.
package targetlist

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// reappearWindow is the time after the store's return within which a target whose
	// record expired may reappear.
	reappearWindow = 2200 * time.Millisecond
	// expiryWindow is the time after the store's return within which removals are
	// taken for expired records.
	expiryWindow = 500 * time.Millisecond
	// leftMemory is how long a target that has left is remembered. An older copy of the
	// store is some seconds old.
	leftMemory = time.Minute
)

// List is the list of targets. It is owned by one goroutine.
type List struct {
	targets map[state.TargetID]*listing
	// storeBackAt is when the store answered again after its last outage; zero before
	// the first one.
	storeBackAt time.Time
	storeDown   bool
	left        map[state.TargetID]departure // targets that left within leftMemory
}

// departure is the end of a target.
type departure struct {
	started int64 // as in state.TargetRecord
	at      time.Time
}

// listing is a target in the list.
type listing struct {
	record   state.TargetRecord
	removeAt time.Time // when a pending removal takes effect; zero: none is pending
}

// New returns an empty list.
func New() *List {
	return &List{targets: make(map[state.TargetID]*listing), left: make(map[state.TargetID]departure)}
}

// StoreFailed records that the store does not answer.
func (l *List) StoreFailed() { l.storeDown = true }

// StoreAnswered records that the store answers, possibly for the first time after an
// outage.
func (l *List) StoreAnswered(now time.Time) {
	if l.storeDown {
		l.storeDown = false
		l.storeBackAt = now
	}
}

// Put adds or replaces a target and cancels its pending removal.
func (l *List) Put(r state.TargetRecord) {
	l.targets[r.ID] = &listing{record: r}
	delete(l.left, r.ID)
}

// drop removes a target and remembers that it has left.
func (l *List) drop(now time.Time, id state.TargetID) {
	if m := l.targets[id]; m != nil {
		l.left[id] = departure{m.record.Started, now}
		delete(l.targets, id)
	}
	for other, d := range l.left {
		if now.Sub(d.at) > leftMemory {
			delete(l.left, other)
		}
	}
}

// Remove removes a target. During an outage of the store and for expiryWindow after
// its return, the removal is pending; it is due reappearWindow after the latest return.
func (l *List) Remove(now time.Time, id state.TargetID) {
	m := l.targets[id]
	if m == nil {
		return
	}
	if l.storeDown || now.Before(l.storeBackAt.Add(expiryWindow)) {
		if m.removeAt.IsZero() {
			m.removeAt = l.storeBackAt.Add(reappearWindow)
		}
		return
	}
	l.drop(now, id)
}

// Replace replaces the list by a full listing. Targets that are missing from it are
// removed as by Remove.
func (l *List) Replace(now time.Time, records []state.TargetRecord) {
	listed := make(map[state.TargetID]bool, len(records))
	for _, r := range records {
		listed[r.ID] = true
		l.Put(r)
	}
	for id := range l.targets {
		if !listed[id] {
			l.Remove(now, id)
		}
	}
}

// Restore replaces the list by a full listing of a store that has come back from an older
// copy. It ignores records that are older than what is known. Targets that are missing may
// reappear within reappearWindow. It returns the number of records that it ignored.
func (l *List) Restore(now time.Time, records []state.TargetRecord) (ignored int) {
	l.storeBackAt = now
	current := make([]state.TargetRecord, 0, len(records))
	for _, r := range records {
		if l.isOutdated(&r) {
			ignored++
			if known := l.targets[r.ID]; known != nil {
				current = append(current, known.record)
			}
			continue
		}
		current = append(current, r)
	}
	l.Replace(now, current)
	return ignored
}

// isOutdated reports whether a record of an older copy contradicts what is known: the
// target has left, drains, or has been started again since.
func (l *List) isOutdated(r *state.TargetRecord) bool {
	if known := l.targets[r.ID]; known != nil {
		return r.Started < known.record.Started || r.Started == known.record.Started && known.record.Draining && !r.Draining
	}
	d, ok := l.left[r.ID]
	return ok && r.Started <= d.started
}

// HasPendingRemovals reports whether removals are pending. Such a list must not be
// passed on, because other entries may know already that the targets left.
func (l *List) HasPendingRemovals() bool {
	for _, m := range l.targets {
		if !m.removeAt.IsZero() {
			return true
		}
	}
	return false
}

// Adopt replaces the list by that of another entry, which has no pending removals.
func (l *List) Adopt(now time.Time, records []state.TargetRecord) {
	adopted := make(map[state.TargetID]bool, len(records))
	for _, r := range records {
		adopted[r.ID] = true
		l.Put(r)
	}
	for id := range l.targets {
		if !adopted[id] {
			l.drop(now, id)
		}
	}
}

// Targets returns the targets in the list, after dropping those whose pending removal
// is due. None is due during an outage of the store.
func (l *List) Targets(now time.Time) []state.TargetRecord {
	records := make([]state.TargetRecord, 0, len(l.targets))
	for id, m := range l.targets {
		if !m.removeAt.IsZero() && !l.storeDown && !now.Before(m.removeAt) {
			l.drop(now, id)
			continue
		}
		records = append(records, m.record)
	}
	return records
}
