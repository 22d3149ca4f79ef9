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

const (
	// From toldTime after an entry was turned away with a pause until its end, at most
	// toleratedInPause of its requests may reach the target.
	toldTime         = 500 * time.Millisecond
	toleratedInPause = 2
	// A request that a caller sends later than drainTime after the entry passed on that a
	// target leaves may not reach the target.
	drainTime = 2 * time.Second
)

// checkPausesAndLeaving lets a target of each service ask for pauses and another one say that
// it leaves, stops an entry meanwhile, and reports requests that reach them all the same.
func (w *world) checkPausesAndLeaving() {
	last := len(w.engines) - 1
	pausing, leaving := []*engine{w.engines[0], w.engines[last]}, []*engine{w.engines[1], w.engines[last-1]}
	for _, e := range w.engines {
		e.Arrivals() // those during the faults are of earlier runs
	}
	for _, e := range pausing {
		e.PauseMs.Store(1000 + w.random.Int64N(2000))
	}
	for _, e := range leaving {
		e.Leaving.Store(true)
	}
	time.Sleep(time.Second)
	w.randomEntry().stop()
	time.Sleep(5 * time.Second)
	for _, e := range pausing {
		e.PauseMs.Store(0)
	}
	w.waitReady(10 * time.Second) // for the entry that was stopped
	for _, e := range pausing {
		arrivals := e.Arrivals()
		for _, told := range arrivals {
			if n := w.countFrom(arrivals, told, told.At.Add(toldTime), told.At.Add(told.Pause)); n > toleratedInPause {
				w.t.Errorf("%s asked %s for a pause of %s and got %d requests of it in that time, tolerated %d", e.ID, w.entryOf(told.ID), told.Pause, n, toleratedInPause)
			}
		}
	}
	for _, e := range leaving {
		arrivals := e.Arrivals()
		for _, told := range arrivals {
			if n := w.countFrom(arrivals, told, told.At.Add(drainTime), time.Now()); n > 0 {
				w.t.Errorf("%s told %s that it leaves and got %d requests of it %s later or more", e.ID, w.entryOf(told.ID), n, drainTime)
			}
		}
		e.Leaving.Store(false)
		w.mu.Lock()
		e.startedAt = time.Now() // a successor
		w.putTargetRecord(e, "ready")
		w.mu.Unlock()
	}
}

// countFrom returns the number of arrivals from one time to another that came from the entry
// that sent told, unless it was started again since.
func (w *world) countFrom(arrivals []emulator.Arrival, told emulator.Arrival, from, to time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, entry := 0, w.sentTo[told.ID]
	for _, at := range w.starts[entry] {
		if at.After(told.At) {
			return 0
		}
	}
	for _, a := range arrivals {
		if w.sentTo[a.ID] == entry && a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
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
