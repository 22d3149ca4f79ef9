package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// withoutLateWork returns the default admission policy without LateWork.
func withoutLateWork() state.AdmissionPolicy {
	a := DefaultAdmission()
	a.LateWork = false
	return a
}

// burstOfLowest returns the arrival rate's factor for a burst of the lowest kind in the middle of
// a simulation.
func burstOfLowest(factor float64, lowest int, duration time.Duration) func(time.Duration, int) float64 {
	return func(at time.Duration, rank int) float64 {
		if rank == lowest && at > duration/3 && at < duration*4/5 {
			return factor
		}
		return 1
	}
}

// shareSlack is by how much a share of some hundred requests may differ by chance.
const shareSlack = 0.015

// A burst of 2.3 times of the lowest kind at 30 entries, which share 30 engines of 4 slots, a third
// of them 4.4 times as slow. Guards against all entries sending a waiting request to the same
// slot as soon as they hear that it is free: up to 57 requests were then at an engine of 4 slots,
// where those of the highest rank waited behind the others.
func TestEntriesDivideFreeSlots(t *testing.T) {
	sim := streamSimulation{entries: 30, engines: 30, slots: 4, slowFactor: 4.4, kinds: unevenKinds(145), duration: 12 * time.Second, tallyFrom: 3 * time.Second}
	sim.burst = burstOfLowest(2.3, 2, sim.duration)
	sim.admission = withoutLateWork()
	off := sim.runSeeds(t)
	sim.admission.LateWork = true
	on := sim.runSeeds(t)
	for rank := range on {
		if on[rank].onTimeShare() < off[rank].onTimeShare()-shareSlack {
			t.Errorf("rank %d: on time %.3f, without the policy %.3f", rank, on[rank].onTimeShare(), off[rank].onTimeShare())
		}
	}
	if lowest := len(on) - 1; on[lowest].onTimeShare() < off[lowest].onTimeShare()+2*shareSlack {
		t.Errorf("lowest rank: on time %.3f, without the policy %.3f, want clearly more", on[lowest].onTimeShare(), off[lowest].onTimeShare())
	}
}

// learnedScheduler returns a scheduler whose two targets of two slots need 10 ms for each event of
// a stream, and whose model has learned that estimates of the output are exact.
func learnedScheduler() (*Scheduler, *clock) {
	s, c := newTestScheduler()
	for n := range 200 {
		for _, id := range []state.TargetID{"t1", "t2"} {
			g := s.targets[id]
			w := costmodel.Work{PromptTokens: 100, OutputTokens: 100}
			s.pool("s").cost.ObserveResponse(&g.cost, w, costmodel.Load{Slots: 2}, 20*time.Millisecond)
			s.pool("s").cost.ObserveEnd(&g.cost, w, 101, time.Second, 1020*time.Millisecond)
			if n > 100 {
				s.pool("s").cost.ObservePrediction(time.Second, time.Second)
			}
		}
	}
	return s, c
}

// longRequest returns a request of 10 s that has 5 s.
func (c *clock) longRequest() *Request {
	r := c.request(true)
	r.Objective, r.Deadline = time.Second, c.at.Add(5*time.Second)
	r.Work = costmodel.Work{PromptTokens: 100, OutputTokens: 1000}
	return r
}

// Guards against engine time for a request that its deadline cuts off while others wait, and
// against refusing it where nobody waits, where it was admitted before, or where the estimates of
// the output are far off.
func TestRequestThatWouldBeCutOff(t *testing.T) {
	fill := func(s *Scheduler, c *clock) {
		for _, id := range []state.TargetID{"t1", "t2"} {
			for range 2 + DefaultAdmission().QueuedRequests {
				acquire(t, s, allowOnly(c.request(true), id))
			}
		}
	}
	s, c := learnedScheduler()
	if _, grant, refusal := s.place(c.longRequest()); grant == nil {
		t.Errorf("refusal %v with free slots, want a grant", refusal)
	}
	s, c = learnedScheduler()
	fill(s, c)
	if _, _, refusal := s.place(c.longRequest()); refusal == nil || refusal.Reason != ReasonTooLate || refusal.RetryAfter <= 0 {
		t.Errorf("refusal %+v without free slots, want %s with a retry time", refusal, ReasonTooLate)
	}
	again := c.longRequest()
	again.AlreadyAdmitted = true
	if waiting, _, refusal := s.place(again); waiting == nil {
		t.Errorf("a request that was admitted before is refused: %v", refusal)
	}
	for n := range 100 {
		s.pool("s").cost.ObservePrediction(time.Second, []time.Duration{time.Second / 5, 5 * time.Second}[n%2])
	}
	if waiting, _, refusal := s.place(c.longRequest()); waiting == nil {
		t.Errorf("a request is refused by estimates that are far off: %v", refusal)
	}
	short := c.request(true)
	short.Objective = 5 * time.Second
	if waiting, _, refusal := s.place(short); waiting == nil {
		t.Errorf("a request that would end in time does not wait: %v", refusal)
	}
}

// comparedSeeds is the number of seeds over which two policies are compared. The entries of a
// simulation run at the same time, so that even the same seed gives other figures in each run, which
// differ by more than shareSlack.
const comparedSeeds = 6

// runSeeds returns the tallies by rank of comparedSeeds runs together.
func (sim streamSimulation) runSeeds(t *testing.T) []streamTally {
	t.Helper()
	tallies := make([]streamTally, len(sim.kinds))
	for seed := range uint64(comparedSeeds) {
		one, _ := sim.run(t, 1+seed)
		for rank := range tallies {
			tallies[rank].add(one[rank])
		}
	}
	return tallies
}

// compareWithout runs a simulation with and without the policy. Ranks but the lowest must be on
// time as often with it, and refused no more often than lower ones. Shares on time cannot be
// compared between ranks: their kinds differ in objective and size.
func (sim streamSimulation) compareWithout(t *testing.T) (on, off []streamTally) {
	t.Helper()
	sim.admission = withoutLateWork()
	off = sim.runSeeds(t)
	sim.admission.LateWork = true
	on = sim.runSeeds(t)
	for rank := range len(on) - 1 {
		if on[rank].onTimeShare() < off[rank].onTimeShare()-shareSlack {
			t.Errorf("rank %d: on time %.3f, without the policy %.3f", rank, on[rank].onTimeShare(), off[rank].onTimeShare())
		}
		if on[rank].refusedShare() > on[rank+1].refusedShare()+shareSlack {
			t.Errorf("rank %d is refused more often (%v) than rank %d (%v)", rank, on[rank], rank+1, on[rank+1])
		}
	}
	return on, off
}

// wastedShare is the share of slot time spent on requests that were cut off.
func wastedShare(tallies []streamTally) float64 {
	var used, wasted time.Duration
	for _, t := range tallies {
		used += t.slotTime
		wasted += t.wasted
	}
	return wasted.Seconds() / used.Seconds()
}

// maxWastedShare bounds wastedShare. What is left are streams whose events were more than the
// estimate, or slower because of prompts that were read meanwhile.
const maxWastedShare = 0.06

// unevenFleet has engines of which a third is 4.4 times as slow, with 4 slots, and a capacity of
// about 72 requests a second.
func unevenFleet(rate float64) streamSimulation {
	return streamSimulation{entries: 5, engines: 12, slots: 4, slowFactor: 4.4, kinds: unevenKinds(rate), duration: 40 * time.Second, tallyFrom: 5 * time.Second}
}

// Steady load at 90 % of the capacity of unlike engines. Guards against requests that are refused
// or late because of the policy, and against streams at slow engines that end after their deadline.
func TestUnevenTargetsNearCapacity(t *testing.T) {
	on, _ := unevenFleet(65).compareWithout(t)
	if on[2].onTimeShare() < minOnTimeShare {
		t.Errorf("lowest rank: %.3f on time, want %g", on[2].onTimeShare(), minOnTimeShare)
	}
	if share := wastedShare(on); share > maxWastedShare {
		t.Errorf("%.3f of the slot time is spent in vain, want at most %g", share, maxWastedShare)
	}
}

// A burst of 2.3 times of the lowest kind at unlike engines. Guards against engine time for its
// requests that are cut off, at the cost of the higher ranks.
func TestBurstAtUnevenTargets(t *testing.T) {
	sim := unevenFleet(50)
	sim.burst = burstOfLowest(2.3, 2, sim.duration)
	on, off := sim.compareWithout(t)
	if share := wastedShare(on); share > max(maxWastedShare, wastedShare(off)) {
		t.Errorf("%.3f of the slot time is spent in vain, without the policy %.3f", share, wastedShare(off))
	}
}

// A burst of 2.5 times of the lowest kind at like engines of 9 slots. Guards against a policy that
// serves fewer requests where no target is slow.
func TestBurstAtLikeTargets(t *testing.T) {
	sim := streamSimulation{entries: 5, engines: 8, slots: 9, slowFactor: 1, kinds: unevenKinds(85), duration: 30 * time.Second, tallyFrom: 5 * time.Second}
	sim.burst = burstOfLowest(2.5, 2, sim.duration)
	on, off := sim.compareWithout(t)
	if on[2].onTimeShare() < off[2].onTimeShare()-2*shareSlack {
		t.Errorf("lowest rank: on time %.3f, without the policy %.3f", on[2].onTimeShare(), off[2].onTimeShare())
	}
}

// The burst at unlike engines with estimates of the output that are right, a fifth or five times
// of it. Guards against refusing requests by estimates that cannot be relied on.
func TestBurstWithWrongEstimates(t *testing.T) {
	sim := unevenFleet(50)
	sim.burst = burstOfLowest(2.3, 2, sim.duration)
	sim.hint = func(random *rand.Rand, events int) int {
		return max(1, int(float64(events)*[]float64{0.2, 1, 5}[random.IntN(3)]))
	}
	on, off := sim.compareWithout(t)
	if on[2].refused > off[2].refused+on[2].asked/25 {
		t.Errorf("lowest rank: %d of %d refused, without the policy %d", on[2].refused, on[2].asked, off[2].refused)
	}
}
