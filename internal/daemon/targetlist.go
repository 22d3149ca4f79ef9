package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
)

// maxChange is the largest number of targets in a change that reports carry, which
// bounds them to a few kilobytes. Entries fetch the list after larger ones.
const maxChange = 20

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
	c := &mesh.ListChange{From: from, Put: put}
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
