package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// AllEntries is the number of entries up to which all report to each other at
	// short intervals and use all targets. An interval grows with the number of
	// receivers; with more of them reports would be older than a slot is held.
	AllEntries = 48
	// NearEntries is the number of entries with which an entry shares targets beyond
	// that. Reports to them are most of the bytes between failure domains; with 48 of
	// them those took a quarter of the worth at 300 instances.
	NearEntries = 24
	// leastTargets is the least number of targets of a service in a subset, if the
	// service has that many: with few, one that fails takes a large share away.
	leastTargets = 12
)

// Position is the place of an entry among all entries in the order of a hash. The
// zero value is that of an entry that knows of no other.
//
// Entries and the targets of each service stand on a circle at equal distances,
// and an entry uses the targets on the arc around its place. Arcs overlap, so an
// entry with many callers shares its targets with neighbours that have fewer, and
// one that comes or goes moves the ends of other arcs by about one target.
type Position struct{ Index, Count int }

// arc returns the share of the circle, from 0 to 1, that an entry uses.
func (p Position) arc() float64 {
	if p.Count <= AllEntries {
		return 1
	}
	return float64(NearEntries/2) / float64(p.Count)
}

// Near reports whether the entry at index uses targets that p uses too.
func (p Position) Near(index int) bool {
	distance := max(index-p.Index, p.Index-index)
	return float64(min(distance, p.Count-distance)) <= p.arc()*float64(p.Count)
}

// subset returns the targets of a service that an entry at p uses. wide reports
// whether others than the near entries use them too.
func (p Position) subset(all []*target) (chosen []*target, wide bool) {
	share := max(p.arc(), leastTargets/float64(max(1, len(all))))
	if share >= 1 {
		return all, p.Count > AllEntries
	}
	ring := byHash(all)
	n := float64(len(ring))
	take := int(share * n)
	centre := (float64(p.Index) + 0.5) / float64(p.Count)
	first := int(centre*n+n) - take/2
	for i := range take {
		chosen = append(chosen, ring[(first+i)%len(ring)])
	}
	return chosen, share > p.arc()
}

// byHash returns the targets in the order of a hash of their ids, so that
// neighbours differ in failure domain and speed.
func byHash(targets []*target) []*target {
	return slices.SortedFunc(slices.Values(targets), func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
}

// hashOf is the hash that orders targets.
func hashOf(id state.TargetID) uint64 { return xxhash.Sum64String(string(id)) }

// Key stands for a target in reports, of which it takes fewer bytes than the id. If
// two targets have the same key, load is counted for one of them only.
type Key uint32

func (t *target) key() Key { return Key(t.hash) }
