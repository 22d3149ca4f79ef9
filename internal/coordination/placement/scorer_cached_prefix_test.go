package placement

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against unbounded load on a target because of its cache, and against
// hashing that outweighs a known cache hit.
func TestScoreCachedPrefix(t *testing.T) {
	for _, tc := range []struct {
		name        string
		cached      int
		rank        int // position among the affinity targets, from 1; 0 for none
		outstanding int
		want        float64
	}{
		{"nothing known", 0, 0, 0, 0},
		{"half cached", 5, 0, 0, 0.5},
		{"first by hash", 0, 1, 0, firstAffinityScore},
		{"second by hash", 0, 2, 0, secondAffinityScore},
		{"first by hash and all cached", 10, 1, 0, 1},
		{"few outstanding", 10, 1, minOverloadRequests - 1, 1},
		{"more than its share", 10, 1, 20, 0},
	} {
		a, b := &target{id: "a"}, &target{id: "b"}
		s := testEvaluation(state.Request{}, a, b)
		s.query.Blocks = make([]uint64, 10)
		c := s.candidates[0]
		c.cachedBlocks, c.outstanding, s.totalOutstanding = tc.cached, tc.outstanding, tc.outstanding
		s.affinityTargets = [][]*target{{b, b}, {a, b}, {b, a}}[tc.rank]
		c.hasAffinity = tc.rank > 0
		if got := scoreCachedPrefix(s, c); got != tc.want {
			t.Errorf("%s: score %g, want %g", tc.name, got, tc.want)
		}
	}
}
