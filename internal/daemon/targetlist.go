package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// maxListReaders is the number of entries, those with the lowest names, that read
	// the list of targets from the store. The others learn the list from the reports of
	// these, which spares calls to the store.
	maxListReaders = 2
	// secondReaderDelay is how long after the first reader the second one reads, so
	// that it has learned of a change from a report before it reads. Otherwise both
	// report a change of the same list, and the others can apply only one of the two.
	secondReaderDelay = 300 * time.Millisecond
	// maxListAge is the age of the list above which an entry reads it from the store
	// itself and no longer reports it to others.
	maxListAge = 1500 * time.Millisecond
	// changeReportTime is how long reports carry a change of the list. It is long
	// enough for a report to each entry even if some are lost.
	changeReportTime = 1500 * time.Millisecond
	// maxChangeTargets is the largest number of targets in a change that reports carry,
	// which bounds a report to a few kilobytes. After a larger change, entries fetch the
	// list.
	maxChangeTargets = 20
)

func sortTargets(records []state.TargetRecord) {
	slices.SortFunc(records, func(a, b state.TargetRecord) int { return cmp.Compare(a.ID, b.ID) })
}

// hashTargets returns a hash of a list that is sorted by sortTargets.
func hashTargets(records []state.TargetRecord) uint64 {
	var d xxhash.Digest
	for _, r := range records {
		fmt.Fprintln(&d, r) // writes to a Digest never fail
	}
	return d.Sum64()
}

// diffTargets compares two lists. It returns the targets that are new or changed in
// records and the targets of old that are missing from records.
func diffTargets(old, records []state.TargetRecord) (put, removed []state.TargetRecord) {
	previous := make(map[state.TargetID]state.TargetRecord, len(old))
	for _, r := range old {
		previous[r.ID] = r
	}
	for _, r := range records {
		if oldRecord, ok := previous[r.ID]; !ok || oldRecord != r {
			put = append(put, r)
		}
		delete(previous, r.ID)
	}
	return put, slices.Collect(maps.Values(previous))
}

// newListChange returns the change from the list old, whose hash is oldHash, to
// records, or nil if it has more than maxChangeTargets targets.
func newListChange(oldHash uint64, old, records []state.TargetRecord) *mesh.ListChange {
	put, removed := diffTargets(old, records)
	if len(put)+len(removed) > maxChangeTargets {
		return nil
	}
	c := &mesh.ListChange{FromHash: oldHash, Put: put}
	for _, r := range removed {
		c.Removed = append(c.Removed, r.ID)
	}
	return c
}

// applyListChange returns the list that results from applying c to old.
func applyListChange(old []state.TargetRecord, c *mesh.ListChange) []state.TargetRecord {
	records := slices.DeleteFunc(slices.Clone(old), func(r state.TargetRecord) bool {
		return slices.Contains(c.Removed, r.ID) ||
			slices.ContainsFunc(c.Put, func(put state.TargetRecord) bool { return put.ID == r.ID })
	})
	records = append(records, c.Put...)
	sortTargets(records)
	return records
}

// applyTargets applies records of the topic of targets to the list and publishes it.
// listed says that records holds the newest record of each target rather than the
// changes since the last call. next is the position up to which the list is then
// complete.
func (c *control) applyTargets(now time.Time, listed bool, records []keyedtopic.Record, next keyedtopic.Position) {
	c.mu.Lock()
	known := c.next
	sameEra := next.Era == known.Era
	if known.Offset == 0 || listed && !sameEra || sameEra && next.Offset > known.Offset {
		c.next = next
	}
	c.mu.Unlock()
	if sameEra && listed && next.Offset < known.Offset {
		return // a newer list was adopted while this one was read
	}
	if !sameEra && !listed {
		return // a list of another era was adopted while the records were read
	}
	var present []state.TargetRecord
	for _, r := range records {
		if !listed && r.Offset < known.Offset {
			continue // contained in a list that was adopted meanwhile
		}
		if len(r.Value) == 0 {
			c.list.Remove(now, state.TargetID(r.Key))
			continue
		}
		t, err := platform.DecodeTarget(r.Key, r.Value)
		if err != nil {
			c.p.log.Warn("target record ignored", zap.Uint64("offset", r.Offset), zap.Error(err))
			continue
		}
		present = append(present, t)
		if !listed {
			c.list.Put(t)
		}
	}
	switch {
	case listed && !sameEra && known.Offset > 0:
		ignored := c.list.Restore(now, present)
		c.p.log.Warn("list of targets read from an older copy", zap.Uint64("from_era", known.Era), zap.Uint64("era", next.Era),
			zap.Int("records", len(present)), zap.Int("ignored", ignored))
	case listed:
		c.list.Replace(now, present)
	}
	c.publish(now)
}

// mayFollow reports whether a list that is complete up to a position may replace the one
// here: it does not lack records that this one has, as far as their offsets tell. The caller
// must hold c.mu.
func (c *control) mayFollow(next keyedtopic.Position) bool {
	return next.Era != c.next.Era || next.Offset >= c.next.Offset
}

// publish passes the list to the scheduler if it has changed, and prepares the change
// for the reports to other entries.
func (c *control) publish(now time.Time) {
	records := c.list.Targets(now)
	c.mu.Lock()
	c.hasPendingRemovals = c.list.HasPendingRemovals()
	currentAt := c.listCurrentAt
	c.mu.Unlock()
	defer c.p.origins.ListCurrent(currentAt)
	sortTargets(records)
	old := c.targets()
	if slices.Equal(old, records) {
		return
	}
	c.handleTargetChanges(old, records)
	c.p.origins.SetTargets(now, records) // before a report with the same hash makes the list count as current
	c.checkMixedServices()
	c.mu.Lock()
	c.published = records
	c.lastChange, c.lastChangeAt = newListChange(c.listHash, old, records), now
	c.listHash = hashTargets(records)
	willReport := now.Sub(c.listReadAt) < maxListAge && !c.hasPendingRemovals
	c.mu.Unlock()
	if willReport {
		c.p.listChanged.Store(true)
	}
	if c.p.rollouts != nil {
		c.p.rollouts.SetTargets(now, records)
	}
	c.p.scheduler.SetTargets(records)
}

// handleTargetChanges logs the targets that are new, changed or removed, and retires
// the idle connections to the removed ones.
func (c *control) handleTargetChanges(old, records []state.TargetRecord) {
	put, removed := diffTargets(old, records)
	for _, r := range put {
		c.p.log.Info("target listed", zap.String("target", string(r.ID)), zap.String("service", string(r.Service)),
			zap.String("address", r.Address), zap.String("domain", string(r.Domain)), zap.Int("slots", r.Slots),
			zap.Bool("draining", r.Draining), zap.Int64("started", r.Started), zap.String("software", string(r.Software)))
	}
	for _, r := range removed {
		c.p.targetClient.RetireIdle(r.Address)
		c.p.log.Info("target gone", zap.String("target", string(r.ID)), zap.String("service", string(r.Service)))
	}
}

// othersReadStore implements keyedtopic.Topic.SkipRead for topics of which the others
// learn from the entries that read the list of targets.
func (c *control) othersReadStore() bool {
	return c.p.mesh.CountReadersBelow(time.Now(), c.p.settings.Instance) >= maxListReaders
}

// skipTargetRead implements keyedtopic.Topic.SkipRead. It reports whether the list of
// targets is known from other entries and recent enough.
func (c *control) skipTargetRead() bool {
	now := time.Now()
	lowerReaders := c.p.mesh.CountReadersBelow(now, c.p.settings.Instance)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch age := now.Sub(c.listCurrentAt); {
	case lowerReaders >= maxListReaders:
		return age < maxListAge
	case lowerReaders > 0:
		return age < secondReaderDelay+transitAllowance
	default:
		return false
	}
}

// addListState adds to a report the era of the store and the state of the list: the time
// since this entry read it, its hash, its offset and, for changeReportTime, the last change.
// It adds nothing of the list if this entry has not read it within maxListAge or if removals
// are pending, because the list may then hold targets that are gone.
func (c *control) addListState(now time.Time, m *mesh.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.StoreEra = c.storeEra
	if c.hasPendingRemovals || now.Sub(c.listReadAt) > maxListAge {
		return
	}
	m.ListAgeMillis, m.ListHash, m.ListEra, m.ListNext = now.Sub(c.listReadAt).Milliseconds(), c.listHash, c.next.Era, c.next.Offset
	if now.Sub(c.lastChangeAt) < changeReportTime {
		m.Change = c.lastChange
	}
}

// onListReport handles a report of an entry that has read the list from the store. If
// that list is newer than the one here and its hash is the same, the list here is
// marked as current. If the hash differs, the reported change is applied, or the list
// is fetched if there is no change or it is based on another list than the one here.
func (c *control) onListReport(m *mesh.Message) {
	if m.ListHash == 0 {
		return
	}
	currentAt := time.Now().Add(-time.Duration(m.ListAgeMillis)*time.Millisecond - transitAllowance)
	c.mu.Lock()
	newer := currentAt.After(c.listCurrentAt) && c.mayFollow(listPosition(m))
	sameList := m.ListHash == c.listHash
	if newer && sameList {
		c.listCurrentAt = currentAt
	}
	applicable := m.Change != nil && m.Change.FromHash == c.listHash
	c.mu.Unlock()
	if newer && sameList {
		c.p.origins.ListCurrent(currentAt)
	} else if newer {
		c.p.origins.NewerListReported(currentAt)
	}
	switch {
	case !newer || sameList:
	case applicable:
		select {
		case c.events <- func(now time.Time) { c.applyReportedChange(now, currentAt, m) }:
		default: // the queue is full; the next report carries the change again
		}
	default:
		c.requestFetch(m.Instance)
	}
}

// applyReportedChange applies the change of the list in report m, whose list was
// current at currentAt.
func (c *control) applyReportedChange(now, currentAt time.Time, m *mesh.Message) {
	c.mu.Lock()
	stale := c.listHash != m.Change.FromHash || !currentAt.After(c.listCurrentAt) || !c.mayFollow(listPosition(m))
	c.mu.Unlock()
	if stale {
		return
	}
	records := applyListChange(c.targets(), m.Change)
	if hashTargets(records) != m.ListHash {
		c.p.log.Warn("change of the target list does not fit", zap.String("from", string(m.Instance)))
		c.requestFetch(m.Instance)
		return
	}
	c.adoptList(now, currentAt, records, listPosition(m))
}

// listPosition returns the position up to which the list that a report describes is
// complete.
func listPosition(m *mesh.Message) keyedtopic.Position {
	return keyedtopic.Position{Era: m.ListEra, Offset: m.ListNext}
}

// adoptList replaces the list by that of another entry, which was current at currentAt
// and is complete up to next.
func (c *control) adoptList(now, currentAt time.Time, records []state.TargetRecord, next keyedtopic.Position) {
	c.mu.Lock()
	c.listCurrentAt, c.next, c.listAdopted = currentAt, next, true
	c.mu.Unlock()
	c.list.Adopt(now, records)
	c.publish(now)
}

// resumeFrom implements keyedtopic.Topic.ResumeFrom. ok says that a list was adopted
// from another entry since the last call.
func (c *control) resumeFrom() (next keyedtopic.Position, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, c.listAdopted = c.listAdopted, false
	return c.next, ok
}
