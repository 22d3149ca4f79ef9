package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

const testWindow = 10 * time.Second

// takeAll takes permissions until there are none, and returns how many it took.
func takeAll(w *WindowBudget, now time.Time, slack float64) int {
	n := 0
	for w.Take(now, slack) {
		n++
	}
	return n
}

// Guards against repeated sends beyond half of the ratio and the slack, and against
// permissions that outlast the window in which they can be used.
func TestWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &WindowBudget{Ratio: 0.2, Length: testWindow}
	for range 100 {
		w.RecordRequest(now)
	}
	if n := takeAll(w, now, 3); n != 13 {
		t.Errorf("%d repeated sends, want 13 for 100 requests at half a ratio of 0.2 and a slack of 3", n)
	}
	if w.Take(now.Add(9*time.Second), 3) {
		t.Error("a repeated send beyond the budget was allowed 9 s later")
	}
	for range 100 {
		w.RecordRequest(now.Add(10 * time.Second))
	}
	if n := takeAll(w, now.Add(30*time.Second), 3); n != 3 {
		t.Errorf("%d repeated sends 20 s after the last request, want those of the slack, 3", n)
	}
	if n := takeAll(w, now.Add(60*time.Second), 3); n != 0 {
		t.Errorf("%d repeated sends without requests since the slack was used, want 0", n)
	}
}

// Guards against two full budgets within one window, at the end of a bucket and at the
// start of another, against requests that count in several windows, and against
// permissions that gather while targets are down.
func TestNoWindowExceedsTheSum(t *testing.T) {
	const slack = 3.0
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := &WindowBudget{Ratio: 0.2, Length: testWindow}
		now, start := time.Unix(1000, 0), time.Unix(1000, 0)
		var requests, repeats []time.Time
		for now.Sub(start) < time.Minute {
			now = now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			for range random.IntN(60) {
				requests = append(requests, now)
				w.RecordRequest(now)
			}
			if random.IntN(20) == 0 {
				for range takeAll(w, now, slack) {
					// The send arrives up to a bucket later.
					repeats = append(repeats, now.Add(time.Duration(random.Int64N(int64(testWindow/windowBuckets)))))
				}
			}
		}
		for _, from := range repeats {
			within := func(times []time.Time, begin time.Time) (n int) {
				for _, at := range times {
					if !at.Before(begin) && at.Before(begin.Add(testWindow)) {
						n++
					}
				}
				return n
			}
			tolerated := 0.2*float64(max(within(requests, from), within(requests, from.Add(-testWindow)))) + slack
			if n := within(repeats, from); float64(n) > tolerated {
				t.Fatalf("seed %d: %d repeated sends within %s, tolerated %g", seed, n, testWindow, tolerated)
			}
		}
	}
}

// Guards against a process that uses its part of the slack again after a restart.
func TestSlackWaitsAfterStart(t *testing.T) {
	start := time.Unix(1000, 0)
	w := &WindowBudget{Ratio: 0.2, Length: testWindow, SlackFrom: start.Add(12 * time.Second)}
	if n := takeAll(w, start, 3); n != 0 {
		t.Errorf("%d repeated sends at the start, want 0", n)
	}
	if n := takeAll(w, start.Add(12*time.Second), 3); n != 3 {
		t.Errorf("%d repeated sends when the slack may be used, want 3", n)
	}
}

// Guards against a permission that is lost with a send that was not made.
func TestReturnedPermission(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &WindowBudget{Ratio: 0.2, Length: testWindow}
	for w.Take(now, 2) {
	}
	w.Return()
	if !w.Available(now, 2) || takeAll(w, now, 2) != 1 {
		t.Error("a returned permission cannot be taken again")
	}
	for range 5 {
		w.Return()
	}
	if n := takeAll(w, now, 2); n != 2 {
		t.Errorf("%d repeated sends, want no more than the slack, 2", n)
	}
}

// Guards against a step of the wall clock that empties or fills the budget.
func TestWindowWithClockStep(t *testing.T) {
	w := &WindowBudget{Ratio: 0.2, Length: testWindow}
	now := time.Now()
	stepped := now.Add(-time.Hour) // the wall clock and the monotonic reading step back
	if n := takeAll(w, now, 2); n != 2 {
		t.Fatalf("%d repeated sends, want 2", n)
	}
	if w.Take(stepped, 2) {
		t.Error("a repeated send beyond the slack was allowed after a clock step")
	}
}

// Guards against requests that count although the machine was suspended since they came,
// for which the steady clock stands still.
func TestWindowAfterSuspension(t *testing.T) {
	w := &WindowBudget{Ratio: 0.2, Length: testWindow}
	now := time.Now()
	for range 100 {
		w.RecordRequest(now)
	}
	w.forgetIfSuspended(15*time.Second, 5*time.Millisecond)
	if n := takeAll(w, now, 2); n != 2 {
		t.Errorf("%d repeated sends after a suspension, want those of the slack, 2", n)
	}
}
