package faultsoak

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// What the users tolerate of requests to a target that states a limit: within limitWindow,
// limitFactor times what the limit allows and limitSlack more. An entry is excused for
// restartExcuse after a restart.
const (
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	restartExcuse = 3 * time.Second
)

// checkRateLimits lets a target of each service state a limit during recoveryTime and some
// time more, in which an entry is stopped and started again. It reports a target that gets
// more than is tolerated.
func (w *world) checkRateLimits() {
	limited := []*engine{w.engines[0], w.engines[len(w.engines)-1]}
	for _, e := range limited {
		e.RateLimit.Store(int64(1 + w.random.IntN(6)))
	}
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(time.Duration(w.random.Int64N(int64(limitWindow))))
	stopped, stoppedAt := w.randomEntry(), time.Now()
	stopped.stop()
	time.Sleep(time.Until(from.Add(limitWindow * 3 / 2)))
	excused := func(a emulator.Arrival) bool {
		return w.entryOf(a.ID) == stopped.name && a.At.After(stoppedAt) && a.At.Before(stoppedAt.Add(stopGrace+restartExcuse))
	}
	for _, e := range limited {
		limit := float64(e.RateLimit.Swap(0))
		allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
		if got := maxInWindow(e.Arrivals(), from, excused); float64(got) > allowed {
			w.t.Errorf("%s stated a limit of %g requests a second and got %d in %s, allowed %g", e.ID, limit, got, limitWindow, allowed)
		}
	}
}

// entryOf returns the name of the entry that a request was sent to.
func (w *world) entryOf(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sentTo[id]
}

// maxInWindow returns the highest number of arrivals that are not excused within a
// limitWindow that begins at from or later.
func maxInWindow(arrivals []emulator.Arrival, from time.Time, excused func(emulator.Arrival) bool) int {
	var counted []time.Time
	for _, a := range arrivals {
		if !a.At.Before(from) && !excused(a) {
			counted = append(counted, a.At)
		}
	}
	most, first := 0, 0
	for last := range counted {
		for counted[last].Sub(counted[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
