package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// testEvaluation returns a evaluation with one candidate for each target, for the table
// tests of the plugins.
func testEvaluation(req state.Request, targets ...*target) *evaluation {
	s := &evaluation{
		query:    &Query{Request: &req, Now: time.Unix(1000, 0)},
		set:      initialPolicies(),
		service:  &serviceView{all: targets, typical: rates{prefill: 1000, decode: 100}, promptShare: 0.5, senders: 1},
		domain:   "tema-a",
		random:   rand.New(rand.NewPCG(1, 2)),
		rejected: map[string]int{},
	}
	s.policy = s.set.policies[Cost]
	for _, t := range targets {
		if t.live == nil {
			t.live = new(live)
		}
		t.received = s.query.Now
		s.add(t, false)
	}
	return s
}

// scored returns candidates with the given scores and equal speeds.
func scored(scores ...float64) []*candidate {
	var out []*candidate
	for i, v := range scores {
		out = append(out, &candidate{target: &target{id: engine(i)}, score: v, rates: rates{decode: 100}})
	}
	return out
}

// pickerCase is a row of a picker's table test: how often each candidate is
// expected in the sum of the wanted counts, give or take slack.
type pickerCase struct {
	name       string
	candidates []*candidate
	want       []int
	slack      int
}

// checkPicker draws with a fixed seed.
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
		if diff := cmp.Diff(tc.want, got, within(tc.slack)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}

// within treats numbers that differ by at most slack as equal.
func within(slack int) cmp.Option {
	return cmp.Comparer(func(a, b int) bool { return a-b <= slack && b-a <= slack })
}
