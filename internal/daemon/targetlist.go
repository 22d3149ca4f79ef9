package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/registry"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// listReaders entries, those with the lowest names, read the list of targets
	// from the store. The others learn from them, which spares calls to the store.
	listReaders = 2
	// readerGap keeps the reads of two readers apart, so that the second one has
	// heard of a change before it reads. Otherwise both tell a change of the same
	// list, and the others can apply only one.
	readerGap = 300 * time.Millisecond
	// maxListAge is the age of the list from which on an entry reads for itself.
	maxListAge = 1500 * time.Millisecond
	// changeTime is how long reports carry a change of the list. It covers a report
	// to each entry and some lost ones.
	changeTime = 1500 * time.Millisecond
	// maxChange is the largest number of targets in a change that reports carry, which
	// bounds them to a few kilobytes. Entries fetch the list after larger ones.
	maxChange = 20
)

func sortTargets(records []state.TargetRecord) {
	slices.SortFunc(records, func(a, b state.TargetRecord) int { return cmp.Compare(a.ID, b.ID) })
}

// hashOf identifies the content of a sorted list.
func hashOf(records []state.TargetRecord) uint64 {
	var d xxhash.Digest
	for _, r := range records {
		fmt.Fprintln(&d, r) // a digest takes every write
	}
	return d.Sum64()
}

// diff returns the targets of records that are new or changed since old, and those
// that are gone.
func diff(old, records []state.TargetRecord) (put, gone []state.TargetRecord) {
	before := make(map[state.TargetID]state.TargetRecord, len(old))
	for _, r := range old {
		before[r.ID] = r
	}
	for _, r := range records {
		if was, ok := before[r.ID]; !ok || was != r {
			put = append(put, r)
		}
		delete(before, r.ID)
	}
	return put, slices.Collect(maps.Values(before))
}

// changeOf returns what turns the list old, whose hash is from, into records, or
// nil if that is large.
func changeOf(from uint64, old, records []state.TargetRecord) *mesh.ListChange {
	put, gone := diff(old, records)
	if len(put)+len(gone) > maxChange {
		return nil
	}
	c := &mesh.ListChange{FromHash: from, Put: put}
	for _, r := range gone {
		c.Removed = append(c.Removed, r.ID)
	}
	return c
}

// changed returns the list old after the change c.
func changed(old []state.TargetRecord, c *mesh.ListChange) []state.TargetRecord {
	records := slices.DeleteFunc(slices.Clone(old), func(r state.TargetRecord) bool {
		return slices.Contains(c.Removed, r.ID) ||
			slices.ContainsFunc(c.Put, func(put state.TargetRecord) bool { return put.ID == r.ID })
	})
	records = append(records, c.Put...)
	sortTargets(records)
	return records
}

func (c *control) applyTargets(now time.Time, listed bool, records []registry.Record, next uint64) {
	c.mu.Lock()
	have := c.next
	c.next = max(have, next)
	c.mu.Unlock()
	if listed && next < have {
		return // a newer list was taken over meanwhile
	}
	var present []state.TargetRecord
	for _, r := range records {
		if !listed && r.Offset < have {
			continue // a list that was taken over meanwhile has it
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
	if listed {
		c.list.Replace(now, present)
	}
	c.publish(now)
}

// publish gives the scheduler the list when it has changed.
func (c *control) publish(now time.Time) {
	records := c.list.Targets(now)
	c.mu.Lock()
	c.settling = c.list.HasPendingRemovals()
	c.mu.Unlock()
	sortTargets(records)
	old := c.targets()
	if slices.Equal(old, records) {
		return
	}
	c.logTargets(old, records)
	c.mu.Lock()
	c.published = records
	c.change, c.changedAt = changeOf(c.hash, old, records), now
	c.hash = hashOf(records)
	tells := now.Sub(c.read) < maxListAge && !c.settling
	c.mu.Unlock()
	if tells {
		c.p.listChanged.Store(true)
	}
	c.p.scheduler.SetTargets(records)
}

func (c *control) logTargets(old, records []state.TargetRecord) {
	put, gone := diff(old, records)
	for _, r := range put {
		c.p.log.Info("target listed", zap.String("target", string(r.ID)), zap.String("service", string(r.Service)),
			zap.String("address", r.Address), zap.String("domain", string(r.Domain)), zap.Int("slots", r.Slots),
			zap.Bool("draining", r.Draining), zap.Int64("started", r.Started))
	}
	for _, r := range gone {
		c.p.targets.CloseIdle(r.Address)
		c.p.log.Info("target gone", zap.String("target", string(r.ID)), zap.String("service", string(r.Service)))
	}
}

// skipRead reports whether the list of targets is known from other entries.
func (c *control) skipRead() bool {
	now := time.Now()
	lower := c.p.mesh.CountReadersBelow(now, c.p.settings.Instance)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch age := now.Sub(c.fresh); {
	case lower >= listReaders:
		return age < maxListAge
	case lower > 0:
		return age < readerGap+wayTime
	default:
		return false
	}
}

// tellList puts into a report the time since the list was read here and a hash of
// its content, unless it was not read lately or still holds targets that may be
// gone.
func (c *control) tellList(now time.Time, m *mesh.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settling || now.Sub(c.read) > maxListAge {
		return
	}
	m.ListAgeMillis, m.ListHash, m.ListNext = now.Sub(c.read).Milliseconds(), c.hash, c.next
	if now.Sub(c.changedAt) < changeTime {
		m.Change = c.change
	}
}

// listReported takes over that another entry has read the list from the store.
// When its content differs, the change is applied, or the list is fetched if the
// change is from another list than that known here.
func (c *control) listReported(m *mesh.Message) {
	if m.ListHash == 0 {
		return
	}
	at := time.Now().Add(-time.Duration(m.ListAgeMillis)*time.Millisecond - wayTime)
	c.mu.Lock()
	newer := at.After(c.fresh) && m.ListNext >= c.next
	same := m.ListHash == c.hash
	if newer && same {
		c.fresh = at
	}
	applies := m.Change != nil && m.Change.FromHash == c.hash
	c.mu.Unlock()
	switch {
	case !newer || same:
	case applies:
		select {
		case c.events <- func(now time.Time) { c.applyChange(now, at, m) }:
		default: // the next report tells it again
		}
	default:
		c.askFor(m.Instance)
	}
}

// applyChange takes over a change of the list that another entry read at.
func (c *control) applyChange(now, at time.Time, m *mesh.Message) {
	c.mu.Lock()
	stale := c.hash != m.Change.FromHash || !at.After(c.fresh) || m.ListNext < c.next
	c.mu.Unlock()
	if stale {
		return
	}
	records := changed(c.targets(), m.Change)
	if hashOf(records) != m.ListHash {
		c.p.log.Warn("change of the target list does not fit", zap.String("from", string(m.Instance)))
		c.askFor(m.Instance)
		return
	}
	c.takeOver(now, at, records, m.ListNext)
}

// takeOver puts the list of another entry into effect, which was current at and is
// complete up to offset next.
func (c *control) takeOver(now, at time.Time, records []state.TargetRecord, next uint64) {
	c.mu.Lock()
	c.fresh, c.next, c.adopted = at, next, true
	c.mu.Unlock()
	c.list.Adopt(records)
	c.publish(now)
}

// resume implements registry.Topic.ResumeFrom.
func (c *control) resume() (next uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, c.adopted = c.adopted, false
	return c.next, ok
}
