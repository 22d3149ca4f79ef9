package rollout

import (
	"cmp"
	"slices"
	"time"
)

// routeNotes returns the counts of this entry by route.
func (e *evidence) routeNotes() []RouteNote {
	var notes []RouteNote
	for hash, r := range e.routes {
		if r.own[oldSide].ended+r.own[newSide].ended > 0 {
			notes = append(notes, RouteNote{Route: hash, Old: r.own[oldSide].note(), New: r.own[newSide].note(), OldTimes: r.ownTimes.encode()})
		}
	}
	slices.SortFunc(notes, func(a, b RouteNote) int { return cmp.Compare(a.Route, b.Route) })
	return notes
}

func (c counts) note() CountsNote {
	return CountsNote{Ended: uint32(c.ended), Failed: uint32(c.failed), Refused: uint32(c.refused), Timed: uint32(c.timed), Slow: uint32(c.slow)}
}

func (n CountsNote) counts() counts {
	return counts{float64(n.Ended), float64(n.Failed), float64(n.Refused), float64(n.Timed), float64(n.Slow)}
}

// targetNotes returns the counts of this entry of some of the targets, in turn.
func (e *evidence) targetNotes(now time.Time, sequence uint64) []TargetNote {
	var notes []TargetNote
	for hash, t := range e.targets {
		if !t.isNew && t.own.crashes == 0 || t.changedAt.IsZero() {
			continue
		}
		n := TargetNote{
			Target: hash, New: t.isNew, Ended: t.own.ended, Failed: t.own.failed, Slow: t.own.slow, Crashes: t.own.crashes, Unreachable: t.own.unreachable, Times: t.own.times.encode(),
		}
		if t.own.crashes > 0 {
			n.CrashAgeMillis = millis(now.Sub(t.ownCrashAt))
		}
		if !t.ownAnswer.IsZero() {
			n.AnswerAgeMillis = 1 + millis(now.Sub(t.ownAnswer))
		}
		notes = append(notes, n)
	}
	slices.SortFunc(notes, func(a, b TargetNote) int { return cmp.Compare(a.Target, b.Target) })
	if len(notes) <= maxReportedTargets {
		return notes
	}
	turns := uint64((len(notes) + maxReportedTargets - 1) / maxReportedTargets)
	from := int(sequence%turns) * maxReportedTargets
	return notes[from:min(len(notes), from+maxReportedTargets)]
}

// cursor is what a report of another entry said last.
type cursor struct {
	routes  map[uint32]routeCursor
	targets map[uint32]targetCounts
}

type routeCursor struct {
	counts [2]counts
	times  histogram
}

// learn adds what the report of another entry has more than its last one.
func (e *evidence) learn(now time.Time, c *cursor, n *ServiceNote) {
	if c.routes == nil {
		c.routes, c.targets = make(map[uint32]routeCursor), make(map[uint32]targetCounts)
	}
	for _, rn := range n.Routes[:min(len(n.Routes), maxRoutes+1)] {
		_, r := e.route(rn.Route)
		last := c.routes[rn.Route]
		next := routeCursor{counts: [2]counts{rn.Old.counts(), rn.New.counts()}, times: decodeHistogram(rn.OldTimes)}
		for side := range next.counts {
			d := last.counts[side].grown(next.counts[side])
			r.pending[side].add(d, 1)
			e.total.pending[side].add(d, 1)
		}
		e.answered += last.counts[newSide].grown(next.counts[newSide]).ended
		r.times.addSince(&last.times, &next.times)
		c.routes[rn.Route] = next
	}
	for i := range n.Targets {
		e.learnTarget(now, c, &n.Targets[i])
	}
}

func (e *evidence) learnTarget(now time.Time, c *cursor, n *TargetNote) {
	t := e.target(n.Target, n.New)
	if t == nil {
		return
	}
	last := c.targets[n.Target]
	next := targetCounts{n.Ended, n.Failed, n.Slow, n.Crashes, n.Unreachable, decodeHistogram(n.Times)}
	if next.ended > last.ended {
		t.all.ended += next.ended - last.ended
	}
	if next.failed > last.failed {
		t.all.failed += next.failed - last.failed
	}
	if next.slow > last.slow {
		t.all.slow += next.slow - last.slow
	}
	if next.unreachable > last.unreachable {
		t.all.unreachable += next.unreachable - last.unreachable
		if n.New {
			e.missed += float64(next.unreachable - last.unreachable)
		}
	}
	if next.crashes > last.crashes {
		e.crashed(t, now.Add(-time.Duration(n.CrashAgeMillis)*time.Millisecond))
	}
	if n.AnswerAgeMillis > 0 {
		if at := now.Add(-time.Duration(n.AnswerAgeMillis) * time.Millisecond); at.After(t.answeredAt) {
			t.answeredAt = at
		}
	}
	t.all.times.addSince(&last.times, &next.times)
	c.targets[n.Target] = next
}
