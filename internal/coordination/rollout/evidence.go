package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRoutes bounds the routes that are judged on their own to about 400 bytes in a report.
	// Further routes are counted as one.
	maxRoutes = 12
	// maxTargets bounds the targets of a service of which evidence is kept.
	maxTargets = 1024
	// minTimes is the number of times that must be known before they are a basis for comparison.
	minTimes = 6
	// maxUnclassified bounds the times that wait for such a basis.
	maxUnclassified = 512
	// minSlowLogRatio is the binary logarithm of how many times as long as the faster requests
	// at the same target a slow one takes at least: 2.6 times. "Several times" is at least 3.
	minSlowLogRatio = 1.4
	// lowestBase is the binary logarithm of the least usual relative time of a target.
	lowestBase = -0.5
	// unknownSlow is the binary logarithm of the relative time that is slow even at the slowest
	// target that may be good: 7 times.
	unknownSlow = 2.8
	// usualPart is the part of the old version's times that are not slow. Where they vary
	// much, a slow one takes longer than 2.6 times.
	usualPart = 0.97
	// overdueTolerance is how much the limit may have grown since OverdueRatio returned it.
	overdueTolerance = 0.5
	// minUsual is the number of times from which usualPart of them is known.
	minUsual = 40
	// basePart is the quantile of the times with which a slow one is compared. It finds slow
	// parts of up to three quarters of the responses.
	basePart = 0.2
	// crashWindow is the time in which lost connections of a target are one crash.
	crashWindow = time.Second
	// lostWait is the time in which an answer of a target to any entry becomes known.
	lostWait = 1400 * time.Millisecond
	// aliveAfter is how long after a lost connection the target must have answered to have been
	// alive all the time: answers may be read late.
	aliveAfter = 200 * time.Millisecond
)

// Indices of the two sides of a comparison.
const (
	oldSide = iota
	newSide
)

// counts are the numbers of requests with each outcome.
type counts struct{ ended, failed, refused, timed, slow float64 }

func (c *counts) add(d counts, factor float64) {
	c.ended += factor * d.ended
	c.failed += factor * d.failed
	c.refused += factor * d.refused
	c.timed += factor * d.timed
	c.slow += factor * d.slow
}

// grown returns what next has more than c.
func (c counts) grown(next counts) counts {
	return counts{
		max(0, next.ended-c.ended), max(0, next.failed-c.failed), max(0, next.refused-c.refused), max(0, next.timed-c.timed), max(0, next.slow-c.slow),
	}
}

// routeEvidence is the evidence of a route.
type routeEvidence struct {
	own      [2]counts // of this entry
	ownTimes histogram // at old targets
	times    histogram // of all entries, at old targets
	comparison
}

// targetEvidence is the evidence of a target.
type targetEvidence struct {
	isNew      bool
	own        targetCounts
	all        targetCounts
	ownCrashAt time.Time
	crashAt    time.Time // of the last crash that any entry has reported
	answeredAt time.Time // to any entry, as far as known
	ownAnswer  time.Time
	changedAt  time.Time
}

// targetCounts are cumulative counts of a target.
type targetCounts struct {
	ended, failed, slow, crashes, unreachable uint32
	times                                     histogram
}

// unclassified is a time that waits for a basis for comparison.
type unclassified struct {
	route, target uint32
	side          int
	logRatio      float64
	certain       bool // whether the request has ended by itself
	overdue       bool // whether it was observed because it was slow
}

// lostRequest is a request without a response, of which it is not yet known whether its
// target crashed.
type lostRequest struct {
	route, target uint32
	side          int
	at            time.Time
}

// evidence is what has been observed of an order by all entries.
type evidence struct {
	routes   map[uint32]*routeEvidence
	targets  map[uint32]*targetEvidence
	total    comparison
	crashes  [2]float64 // of all entries
	waiting  []unclassified
	lost     []lostRequest
	slowness map[uint32]float64 // of old targets, as learned by this entry
	judgedAt time.Time
	oldEnded float64 // requests at old targets
	answered float64 // by new targets
	missed   float64 // connections that new targets did not accept
}

func newEvidence() *evidence {
	return &evidence{routes: make(map[uint32]*routeEvidence), targets: make(map[uint32]*targetEvidence), slowness: make(map[uint32]float64)}
}

// hash32 identifies a route or target in reports. 0 is for the routes beyond maxRoutes.
func hash32(s string) uint32 { return uint32(xxhash.Sum64String(s)) | 1 }

func (e *evidence) route(hash uint32) (uint32, *routeEvidence) {
	if e.routes[hash] == nil && len(e.routes) >= maxRoutes {
		hash = 0
	}
	if e.routes[hash] == nil {
		e.routes[hash] = &routeEvidence{}
	}
	return hash, e.routes[hash]
}

// target returns the evidence of a target, or nil if there are too many.
func (e *evidence) target(hash uint32, isNew bool) *targetEvidence {
	t := e.targets[hash]
	if t == nil {
		if len(e.targets) >= maxTargets {
			return nil
		}
		t = &targetEvidence{isNew: isNew}
		e.targets[hash] = t
	}
	return t
}

// observe adds an observation of this entry.
func (e *evidence) observe(now time.Time, o Observation, isNew bool) {
	side := oldSide
	if isNew {
		side = newSide
	}
	route, r := e.route(hash32(o.Route))
	target := hash32(string(o.Target))
	t := e.target(target, isNew)
	if t == nil {
		return
	}
	t.changedAt = now
	switch o.Outcome {
	case Unreachable:
		t.own.unreachable++
		t.all.unreachable++
		if isNew {
			e.missed++
		}
		return
	case Lost:
		e.lost = append(e.lost, lostRequest{route, target, side, now})
		return
	case Ignored, TimedOut, Begun, Overdue:
	case Failed:
		e.count(r, t, side, counts{ended: 1, failed: 1})
		t.answered(now)
		return
	case Refused:
		e.count(r, t, side, counts{ended: 1, refused: 1})
		return
	default:
		e.count(r, t, side, counts{ended: 1})
		t.answered(now)
	}
	if o.Outcome == Overdue || !o.OverdueBefore {
		e.observeTime(route, target, side, o)
	}
}

// count adds counts of this entry.
func (e *evidence) count(r *routeEvidence, t *targetEvidence, side int, c counts) {
	r.own[side].add(c, 1)
	r.pending[side].add(c, 1)
	e.total.pending[side].add(c, 1)
	for _, n := range []*targetCounts{&t.own, &t.all} {
		n.ended += uint32(c.ended)
		n.failed += uint32(c.failed)
		n.slow += uint32(c.slow)
	}
	if side == newSide {
		e.answered += c.ended
	}
}

// observeTime adds the time of a request to the histogram that it is compared with, and
// keeps it to be classified.
func (e *evidence) observeTime(route, target uint32, side int, o Observation) {
	ratio := o.Ratio
	if o.Outcome == TimedOut && ratio == 0 {
		ratio = math.Exp2(lowestClass + buckets/2)
	}
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	logRatio := math.Log2(ratio)
	r, t := e.routes[route], e.targets[target]
	certain := o.Outcome != Ignored && o.Outcome != Overdue
	if side == oldSide {
		if o.Slowness > 0 {
			logRatio -= math.Log2(o.Slowness)
			e.slowness[target] = o.Slowness
		}
		if certain {
			r.ownTimes.add(logRatio)
			r.times.add(logRatio)
		}
	} else {
		logRatio -= r.median()
		if certain {
			t.own.times.add(logRatio)
			t.all.times.add(logRatio)
		}
	}
	if len(e.waiting) < maxUnclassified {
		e.waiting = append(e.waiting, unclassified{route, target, side, logRatio, certain, o.Outcome == Overdue})
	}
}

// median returns the usual relative time of a route at the old version, which shows how far
// the predictions for the route are off.
func (r *routeEvidence) median() float64 {
	if r.times.count() < minTimes {
		return 0
	}
	return r.times.quantile(0.5)
}

// base returns the relative time with which times at a target are compared, and whether it
// is known.
func (e *evidence) base(u unclassified) (float64, bool) {
	if u.side == oldSide {
		h := &e.routes[u.route].times
		return h.quantile(basePart), h.count() >= minTimes
	}
	h := &e.targets[u.target].all.times
	// A target is not slower than slowTargetFactor by itself.
	return min(h.quantile(basePart), math.Log2(slowTargetFactor)), h.count() >= minTimes
}

// slowFrom returns how much longer than the base a slow time of a route is.
func (r *routeEvidence) slowFrom() float64 {
	if r.times.count() < minUsual {
		return minSlowLogRatio
	}
	return max(minSlowLogRatio, r.times.quantile(usualPart)-r.times.quantile(basePart))
}

// overdueRatio returns the ratio from which a time at a target counts as slow.
func (e *evidence) overdueRatio(route, target uint32) float64 {
	_, r := e.route(route)
	if t := e.targets[target]; t != nil && t.isNew {
		if base, known := e.base(unclassified{route: route, target: target, side: newSide}); known {
			return math.Exp2(base + r.median() + r.slowFrom())
		}
	}
	return math.Exp2(unknownSlow + r.median())
}

// classify counts the times for which there is a basis for comparison.
func (e *evidence) classify() {
	e.waiting = slices.DeleteFunc(e.waiting, func(u unclassified) bool {
		base, known := e.base(u)
		from := e.routes[u.route].slowFrom()
		limit := base + from
		if !known {
			limit = unknownSlow
		}
		if u.overdue {
			limit -= overdueTolerance
		}
		// At the slowest target that may be good as at one that is faster than usual, some
		// times are slow and others are not.
		if !known && u.logRatio < limit && u.logRatio >= lowestBase+from {
			return false
		}
		c := counts{timed: 1}
		if u.logRatio >= limit {
			c.slow = 1
		}
		if u.certain || c.slow > 0 {
			e.count(e.routes[u.route], e.targets[u.target], u.side, c)
		}
		return true
	})
}

// answered records that the target has answered this entry.
func (t *targetEvidence) answered(now time.Time) {
	t.ownAnswer = now
	if now.After(t.answeredAt) {
		t.answeredAt = now
	}
}

// settleLost decides which of the lost requests were due to crashes of their targets. Those
// at old targets count as failures in any case: fewer answers of old targets are known.
func (e *evidence) settleLost(now time.Time) {
	e.lost = slices.DeleteFunc(e.lost, func(q lostRequest) bool {
		t := e.targets[q.target]
		after := t.answeredAt.Sub(q.at)
		alive := after > aliveAfter && after <= crashWindow
		if !alive && now.Sub(q.at) < lostWait {
			return false
		}
		if alive || q.side == oldSide {
			e.count(e.routes[q.route], t, q.side, counts{ended: 1, failed: 1})
		}
		if !alive && q.at.Sub(t.ownCrashAt).Abs() > crashWindow {
			t.ownCrashAt = q.at
			t.own.crashes++
			e.crashed(t, q.at)
		}
		return true
	})
}

// crashed adds a crash of a target, unless another entry has reported the same one.
func (e *evidence) crashed(t *targetEvidence, at time.Time) {
	if !t.crashAt.IsZero() && at.Sub(t.crashAt).Abs() <= crashWindow {
		return
	}
	t.crashAt = at
	t.all.crashes++
	side := oldSide
	if t.isNew {
		side = newSide
	}
	e.total.pendingCrashes[side]++
	e.crashes[side]++
}

// unusable reports whether new targets were tried and none has answered.
func (e *evidence) unusable() bool { return e.answered == 0 && e.missed >= minUnreachable }
