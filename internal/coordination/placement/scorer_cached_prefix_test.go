package placement

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a cache hit that attracts unbounded load, and against hashing
// that outweighs a known cache hit.
func TestCachedPrefix(t *testing.T) {
	for _, tc := range []struct {
		name        string
		cached      int
		rank        int // place among the affinity targets, 0 for none
		outstanding int
		want        float64
	}{
		{"nothing known", 0, 0, 0, 0},
		{"half cached", 5, 0, 0, 0.5},
		{"first by hash", 0, 1, 0, affinityScore},
		{"second by hash", 0, 2, 0, secondAffinityScore},
		{"first by hash and all cached", 10, 1, 0, 1},
		{"few outstanding", 10, 1, smallLoad - 1, 1},
		{"more than its share", 10, 1, 20, 0},
	} {
		a, b := &target{id: "a"}, &target{id: "b"}
		s := testEvaluation(state.Request{}, a, b)
		s.query.Blocks = make([]uint64, 10)
		c := s.candidates[0]
		c.cached, c.outstanding, s.total = tc.cached, tc.outstanding, tc.outstanding
		s.affinity = [][]*target{{b, b}, {a, b}, {b, a}}[tc.rank]
		c.affinity = tc.rank > 0
		if got := cachedPrefix(s, c); got != tc.want {
			t.Errorf("%s: %g, want %g", tc.name, got, tc.want)
		}
	}
}
