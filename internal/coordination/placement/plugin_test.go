package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// testEvaluation returns an evaluation with one candidate for each target, for the
// table tests of the plugins.
func testEvaluation(req state.Request, targets ...*target) *evaluation {
	s := &evaluation{
		query:          &Query{Request: &req, Now: time.Unix(1000, 0)},
		policies:       initialPolicies(),
		service:        &serviceView{targets: targets, medianRates: tokenRates{prefill: 1000, decode: 100}, promptShare: 0.5, sendersPerTarget: 1},
		entryDomain:    "tema-a",
		random:         rand.New(rand.NewPCG(1, 2)),
		rejectedCounts: map[string]int{},
	}
	s.policy = s.policies.policies[PolicyCost]
	for _, t := range targets {
		if t.shared == nil {
			t.shared = new(sharedState)
		}
		t.figuresReceived = s.query.Now
		s.addCandidate(t, false)
	}
	return s
}

// scoredCandidates returns candidates with the given scores and equal token rates.
func scoredCandidates(scores ...float64) []*candidate {
	var out []*candidate
	for i, v := range scores {
		out = append(out, &candidate{target: &target{id: engineID(i)}, score: v, rates: tokenRates{decode: 100}})
	}
	return out
}

// pickerCase is a row of a picker's table test. want says how often each candidate
// is to be chosen, give or take tolerance, in as many draws as its counts add up
// to.
type pickerCase struct {
	name       string
	candidates []*candidate
	want       []int
	tolerance  int
}

// checkPicker tests pick with a fixed seed.
func checkPicker(t *testing.T, pick picker, cases []pickerCase) {
	t.Helper()
	for _, tc := range cases {
		s := testEvaluation(state.Request{})
		total := 0
		for _, n := range tc.want {
			total += n
		}
		got := make([]int, len(tc.candidates))
		for range total {
			chosen := pick(s, tc.candidates)
			for i, c := range tc.candidates {
				if c == chosen {
					got[i]++
				}
			}
		}
		if diff := cmp.Diff(tc.want, got, within(tc.tolerance)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}

// within treats numbers that differ by at most tolerance as equal.
func within(tolerance int) cmp.Option {
	return cmp.Comparer(func(a, b int) bool { return a-b <= tolerance && b-a <= tolerance })
}
