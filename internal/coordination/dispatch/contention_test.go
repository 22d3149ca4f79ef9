package dispatch

import (
	"testing"
	"time"
)

// Thirty-one entries whose requests nearly fill 57 engines of four slots, of which a third is slow.
// Guards against entries that all send to the few targets that their reports show to be free, so
// that one in ten requests of the highest rank was late behind others at the engines.
func TestManyEntriesNearSaturation(t *testing.T) {
	sim := simulation{entries: 31, engines: 57, slots: 4, slowFactor: 4.4, ranks: 3, duration: 8 * time.Second, arrivalRate: constantRateWithBurst([]float64{150, 200, 260}, 2)}
	got := sim.run(t, 10)
	for rank := range 2 {
		if got[rank].onTimeShare() < minOnTimeShare {
			t.Errorf("rank %d: %.3f on time (%+v), want %g", rank, got[rank].onTimeShare(), got[rank], minOnTimeShare)
		}
	}
	if got[2].late > got[2].refused {
		t.Errorf("lowest rank: more requests are late than refused: %+v", got[2])
	}
}

// Guards against a free slot that several entries take, or none, at any time.
func TestEachFreeSlotIsOneEntrysTurn(t *testing.T) {
	for _, fleet := range []int{2, 11, 31, 103} {
		_, sharers := Position{Index: 0, Count: fleet}.amongSharers()
		for free := range 4 {
			target := &target{hash: 12345678901}
			for at := time.UnixMilli(1_000_000); at.Before(time.UnixMilli(1_001_000)); at = at.Add(7 * time.Millisecond) {
				turns := 0
				for i := range sharers {
					c := contention{active: true, period: 100 * time.Millisecond}
					c.index, c.count = Position{Index: i, Count: fleet}.amongSharers()
					if c.mayTake(target, free, at) {
						turns++
					}
				}
				if want := min(free, sharers); turns != want {
					t.Fatalf("%d entries, %d free slots: %d entries may take one, want %d", fleet, free, turns, want)
				}
			}
		}
	}
}

// Guards against an entry that leaves a slot idle which it has released itself and of which the
// others do not know, and against one that takes several instead of one.
func TestReleasedSlotMayBeTakenOnce(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	target := &target{released: []time.Time{now.Add(-time.Second), now}}
	c := contention{active: true, period: 100 * time.Millisecond, count: 11}
	if !c.mayTake(target, 0, now) {
		t.Fatal("a released slot may not be taken")
	}
	if target.takeReleased(); c.mayTake(target, 0, now) {
		t.Error("a released slot may be taken twice")
	}
}

// Guards against a service whose requests take a few milliseconds and that counts as contended
// because many of them come between two reports: its slots are free again when a report arrives.
func TestShortRequestsAreNotContended(t *testing.T) {
	s, _ := newTestScheduler()
	s.SetPosition(Position{Index: 0, Count: 31})
	s.SetReport("other", Report{Open: map[TargetKey]int{keyOf("t1"): 2, keyOf("t2"): 1}})
	p := s.pool("s")
	if p.holdTime = 300 * time.Millisecond; !s.contentionOf(p).active {
		t.Error("one free slot beside three that other entries use does not count as contended")
	}
	if p.holdTime = 20 * time.Millisecond; s.contentionOf(p).active {
		t.Error("a service of short requests counts as contended")
	}
}
