package dispatch

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// slowBlend is the weight of one response in the moving average of speed.
	slowBlend = 0.15
	// failBlend is the weight of one response in the moving average of failures.
	failBlend = 0.12
	// Bounds of the measured slowness, relative to an ordinary engine. Engines of
	// one service differ up to fivefold, and slow down up to eightfold.
	minSlow, maxSlow = 0.2, 30.0
	// An ejected target is probed after firstBackoff, then after twice the time
	// before, up to maxBackoff.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// goneTime is how long no work goes to a target whose address another one has.
	// Its record lapses after three heartbeats.
	goneTime = 10 * time.Second
	// probeWait is how long a probe waits for a repeatable request. After that any
	// request is taken: a service may have no repeatable ones.
	probeWait = time.Second
	// ejectAfter failures to answer in a row eject a target.
	ejectAfter = 2
	// silentFactor times the objective without any response make a target suspect.
	silentFactor = 2
	// minSilent keeps short objectives from making targets suspect too early.
	minSilent = 300 * time.Millisecond
	// rejectPause keeps work from a target that rejected a request as full.
	rejectPause = 50 * time.Millisecond
)

// target is what this entry knows of one target.
type target struct {
	record  state.TargetRecord
	hash    uint64
	open    map[*Grant]struct{} // granted here and not released
	slow    float64             // measured time over cost, relative; 0: not measured
	failing float64             // share of recent requests that failed
	// broken counts failures to answer in a row.
	broken  int
	backoff time.Duration
	// ejectedUntil is when a probe may be sent; zero when not ejected.
	ejectedUntil time.Time
	pausedUntil  time.Time
	// elsewhere is the number of requests that other entries have open there, and
	// elsewherePrefill the work before the responses of those without one, in
	// milliseconds.
	elsewhere        int
	elsewherePrefill int
}

func newTarget(r state.TargetRecord) *target {
	return &target{record: r, hash: hashOf(r.ID), open: make(map[*Grant]struct{})}
}

// used returns the slots taken by all entries.
func (t *target) used() int { return len(t.open) + t.elsewhere }

// maxReserve is the largest share of a target's slots that is left to higher
// ranks.
const maxReserve = 0.25

// limit returns how many requests the target may have, with reserve slots left to
// higher ranks.
func (t *target) limit(reserve int) int {
	return t.record.Slots - min(reserve, int(maxReserve*float64(t.record.Slots)))
}

// slowness returns the measured slowness or the assumed one.
func (t *target) slowness(typical float64) float64 {
	if t.slow == 0 {
		return typical
	}
	return t.slow
}

// prefill returns the work before the responses of the requests sent from here
// that have none yet.
func (t *target) prefill() float64 {
	sum := 0.0
	for g := range t.open {
		if g.headAt.IsZero() {
			sum += g.request.Prefill
		}
	}
	return sum
}

const (
	// firstBase is the time to a response without any prompt, and firstPerRequest
	// what each request that runs beside adds, in milliseconds.
	firstBase       = 30.0
	firstPerRequest = 5.0
)

// firstResponse predicts the time to the response in milliseconds, for a target
// whose slowness relative to the usual one is relative.
func (t *target) firstResponse(r *Request, relative float64) float64 {
	return relative * (firstBase + firstPerRequest*float64(t.used()) + t.prefill() + float64(t.elsewherePrefill) + r.Prefill)
}

// expected returns the time that r takes here when the slots are full.
func (t *target) expected(r *Request, typical float64) time.Duration {
	return time.Duration(r.Cost * costScale * t.slowness(typical) * float64(time.Millisecond))
}

// silent reports whether a request sent there has waited for a response for much
// longer than its objective, so that new ones are better sent elsewhere.
func (t *target) silent(now time.Time) bool {
	for g := range t.open {
		limit := max(minSilent, silentFactor*g.request.Objective)
		if g.headAt.IsZero() && now.Sub(g.sent) > limit {
			return true
		}
	}
	return false
}

// eligible reports whether the target may be chosen. An ejected target takes one
// request at a time, as a probe.
func (t *target) eligible(now time.Time, r *Request) bool {
	if t.record.Draining || r.tried(t.record.ID) || now.Before(t.pausedUntil) {
		return false
	}
	if !t.ejectedUntil.IsZero() {
		return !now.Before(t.ejectedUntil) && len(t.open) == 0
	}
	return !t.silent(now)
}

// eject keeps work away for the next backoff.
func (t *target) eject(now time.Time) {
	if t.backoff == 0 {
		t.backoff = firstBackoff
	} else {
		t.backoff = min(maxBackoff, 2*t.backoff)
	}
	t.ejectedUntil = now.Add(t.backoff)
}

// learn takes over how a request ended. It reports whether the target was
// ejected or returned by it.
func (t *target) learn(now time.Time, g *Grant, o Outcome) (ejected, returned bool) {
	switch o {
	case Served:
		took := float64(now.Sub(g.sent)) / float64(time.Millisecond)
		ratio := math.Min(maxSlow, math.Max(minSlow, took/g.request.Cost/costScale))
		if t.slow == 0 {
			t.slow = ratio
		} else {
			t.slow += slowBlend * (ratio - t.slow)
		}
		t.failing -= failBlend * t.failing
	case Failed:
		t.failing += failBlend * (1 - t.failing)
	case Rejected:
		t.pausedUntil = now.Add(rejectPause)
		return false, false
	case Gone:
		// The platform's list follows; a target that starts again there is a new one.
		ejected = t.ejectedUntil.IsZero()
		t.ejectedUntil = now.Add(goneTime)
		return ejected, false
	case Unreachable, Broken, Silent:
		t.failing += failBlend * (1 - t.failing)
		t.broken++
		if o == Unreachable || t.broken >= ejectAfter || !t.ejectedUntil.IsZero() {
			ejected = t.ejectedUntil.IsZero()
			t.eject(now)
		}
		return ejected, false
	case Cancelled:
		return false, false
	}
	returned = !t.ejectedUntil.IsZero()
	t.broken, t.backoff, t.ejectedUntil = 0, 0, time.Time{}
	return false, returned
}
