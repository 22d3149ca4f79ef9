package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// MaxFullMeshEntries is the number of entries up to which all report to each other
	// at short intervals and use all targets. The interval grows with the number of
	// receivers: with more of them, reports would be older than the time for which a
	// slot is held.
	MaxFullMeshEntries = 48
	// NearEntries is the number of entries with which an entry shares targets and
	// exchanges reports at short intervals if there are more than MaxFullMeshEntries.
	// Reports to them are most of the bytes between failure domains; with 48 near
	// entries, these bytes cost a quarter of the value of the served requests at 300
	// instances.
	NearEntries = 16
	// minSubsetTargets is the least number of targets of a service in a subset, if the
	// service has that many. With fewer, one failed target would be a large share of
	// the subset.
	minSubsetTargets = 4
)

// Position is the position of an entry among all entries, ordered by a hash. The
// zero value is that of an entry that knows of no other.
//
// Entries and the targets of each service are placed on a ring at equal distances,
// and an entry uses the targets on the arc around its position. Arcs overlap, so an
// entry with many callers shares its targets with near entries that have fewer. An
// entry that joins or leaves moves the ends of other arcs by about one target.
type Position struct{ Index, Count int }

// arcShare returns the share of the ring, from 0 to 1, that the arc of an entry
// covers.
func (p Position) arcShare() float64 {
	if p.Count <= MaxFullMeshEntries {
		return 1
	}
	return float64(NearEntries/2) / float64(p.Count)
}

// Near reports whether the entry at index is near p: their arcs overlap.
func (p Position) Near(index int) bool {
	distance := max(index-p.Index, p.Index-index)
	return float64(min(distance, p.Count-distance)) <= p.arcShare()*float64(p.Count)
}

// chooseSubset returns the targets of a service that an entry at p uses.
// sharedBeyondNear reports whether entries other than the near ones use them too.
func (p Position) chooseSubset(all []*target) (chosen []*target, sharedBeyondNear bool) {
	share := max(p.arcShare(), minSubsetTargets/float64(max(1, len(all))))
	if share >= 1 {
		return all, p.Count > MaxFullMeshEntries
	}
	ring := sortedByHash(all)
	count := float64(len(ring))
	size := int(share * count)
	centre := (float64(p.Index) + 0.5) / float64(p.Count)
	start := int(centre*count+count) - size/2
	for i := range size {
		chosen = append(chosen, ring[(start+i)%len(ring)])
	}
	return chosen, share > p.arcShare()
}

// sortedByHash returns the targets ordered by a hash of their IDs, so that neighbours
// on the ring differ in failure domain and speed.
func sortedByHash(targets []*target) []*target {
	return slices.SortedFunc(slices.Values(targets), func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
}

// hashTargetID returns the hash that orders targets on the ring.
func hashTargetID(id state.TargetID) uint64 { return xxhash.Sum64String(string(id)) }

// TargetKey identifies a target in reports, where it takes fewer bytes than the ID. If
// two targets have the same key, load is counted for one of them only.
type TargetKey uint32

func (t *target) key() TargetKey { return TargetKey(t.hash) }
