package dispatch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// queueHandOver queues a request that is still at another target.
func queueHandOver(t testing.TB, s *Scheduler, c *clock, tried ...state.TargetID) *waiter {
	r := c.request(true)
	r.AlreadyAdmitted, r.HandOver, r.Tried = true, true, tried
	w, g, refusal := s.placeNow(r)
	if w == nil {
		t.Fatalf("grant %v, refusal %v; want the request to wait", g, refusal)
	}
	return w
}

// Guards against a stalled request that never gets a free slot which suits it, because many
// before it in the queue wait for other targets.
func TestStalledRequestsAreTriedInTurns(t *testing.T) {
	s, c := newTestScheduler()
	var open []*Grant
	for {
		w, g, refusal := s.placeNow(c.request(true))
		if refusal != nil {
			t.Fatal(refusal)
		}
		if w != nil {
			s.pool("s").queue.remove(w)
			break
		}
		open = append(open, g)
	}
	for range 3 * maxPassedOver {
		queueHandOver(t, s, c, open[0].Target.ID)
	}
	last := queueHandOver(t, s, c)
	s.Release(open[0], Unused)
	for range 3 {
		s.GrantFreeSlots()
	}
	if last.grant == nil || last.grant.Target.ID != open[0].Target.ID {
		t.Errorf("grant %v, want the slot that no other waiting request may take", last.grant)
	}
}

// Guards against requests that are still at a target and count as waiting too: other entries
// would leave free slots that suit none of these to them.
func TestStalledRequestsAreNotReportedAsWaiting(t *testing.T) {
	s, c := newTestScheduler()
	s.SetReport("other", Report{Waiting: map[state.Service][]int{"s": {0, 1}}})
	for {
		r := c.request(true)
		r.Rank = 1
		if w, _, refusal := s.placeNow(r); refusal != nil {
			t.Fatal(refusal)
		} else if w != nil {
			s.pool("s").queue.remove(w)
			break
		}
	}
	queueHandOver(t, s, c)
	if n := s.Report(false).Waiting["s"]; n != nil {
		t.Errorf("waiting by rank: %v, want none", n)
	}
}

// BenchmarkStalledService measures how long free slots are granted at a service that has
// stalled with many requests.
func BenchmarkStalledService(b *testing.B) {
	for _, waiting := range []int{16, 100, 300, 1000} {
		b.Run(strconv.Itoa(waiting), func(b *testing.B) {
			s, c := newTestScheduler()
			var records []state.TargetRecord
			for i := range 10 {
				records = append(records, state.TargetRecord{ID: state.TargetID(fmt.Sprint("t", i)), Service: "s", Address: strconv.Itoa(i), Domain: "a", Slots: 16, Started: 1})
			}
			s.SetTargets(records)
			for range 80 {
				if _, g, _ := s.placeNow(c.request(true)); g == nil {
					b.Fatal("no grant")
				}
			}
			c.at = c.at.Add(time.Second)
			for range waiting {
				queueHandOver(b, s, c, "t0")
			}
			for b.Loop() {
				s.GrantFreeSlots()
			}
		})
	}
}
