package rollout

import (
	"fmt"
	"math"
	"time"
)

func (s *simulation) arrive() {
	rate := s.rate
	if part := float64(s.now.Sub(s.start)) / float64(s.duration); s.burst > 0 && part > 0.3 && part < 0.6 {
		rate *= s.burst
	}
	s.at(s.now.Add(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second))), s.arrive)
	route := 0
	for x := s.rng.Float64(); route < len(s.routes)-1 && x >= s.routes[route].weight; route++ {
		x -= s.routes[route].weight
	}
	s.send(s.list[s.rng.IntN(len(s.list))], route, s.rng.Float64() < s.poison, 1)
}

// send makes an attempt of a request.
func (s *simulation) send(e *simEntry, route int, poison bool, attempt int) {
	name := fmt.Sprintf("route%d", route)
	c := e.ledger.Choose(s.now, simService, name)
	t := s.pick(c, route)
	if c.HasPermit() && (t == nil || t.open >= t.record.Slots) {
		e.ledger.ReturnPermit(s.now, simService, c)
		c = c.WithoutPermit()
		t = s.pick(c, route)
	}
	if t == nil || t.open >= 3*t.record.Slots/2 { // refused because of the load
		return
	}
	if !e.ledger.Sent(s.now, simService, t.record.Software, attempt == 1) {
		s.at(s.now.Add(time.Millisecond), func() { s.send(e, route, poison, attempt) })
		return
	}
	if s.now.Before(t.downUntil) {
		e.ledger.Observe(s.now, Observation{Service: simService, Target: t.record.ID, Software: t.record.Software, Route: name, Outcome: Unreachable})
		if attempt < 3 {
			s.at(s.now.Add(10*time.Millisecond), func() { s.send(e, route, poison, attempt+1) })
		}
		return
	}
	if s.stored.Phase == Completed && t.record.Software == "v1" {
		s.violation = "sent to an old target after completion"
	}
	s.countSent(t, attempt)
	s.serve(e, t, route, name, poison, attempt)
}

func (s *simulation) countSent(t *simTarget, attempt int) {
	if s.now.Before(s.start) || s.now.After(s.limit) {
		return
	}
	if attempt == 1 {
		s.reached++
	}
	if t.record.Software == "v2" {
		s.exposed++
		s.lastExposed = s.now
	}
}

// pick returns the less loaded one of two allowed targets.
func (s *simulation) pick(c Choice, route int) *simTarget {
	var best *simTarget
	allowed := make([]*simTarget, 0, len(s.targets))
	var old bool
	for _, t := range s.targets {
		load := float64(t.open) / float64(s.slots)
		ends := s.now.Add(time.Duration(2 * s.routes[route].seconds * t.speed * (1 + 0.4*load) * max(1, load) * float64(time.Second)))
		if (t.record.Software == "v1" || s.now.Sub(s.start) >= s.listDelay) && c.Allows(t.record.ID, t.record.Software, ends) {
			allowed = append(allowed, t)
			old = old || t.record.Software == "v1"
		}
	}
	for range min(2, len(allowed)) {
		t := allowed[s.rng.IntN(len(allowed))]
		for tries := 0; c.Kind == UntilEnd && old && t.record.Software == "v2" && tries < 30; tries++ {
			t = allowed[s.rng.IntN(len(allowed))]
		}
		if best == nil || t.open < best.open {
			best = t
		}
	}
	return best
}

// serve runs a request at a target.
func (s *simulation) serve(e *simEntry, t *simTarget, route int, name string, poison bool, attempt int) {
	r := s.routes[route]
	load := float64(t.open) / float64(s.slots)
	expected := r.seconds * (1 + 0.4*load) * max(1, load)
	seconds := expected * t.speed * math.Exp(r.spread*s.rng.NormFloat64()) * (1 + 0.2*load)
	o := Observation{Service: simService, Target: t.record.ID, Software: t.record.Software, Route: name, Slowness: t.speed / s.typical * math.Exp(0.1*s.rng.NormFloat64())}
	if s.rng.Float64() < s.background {
		o.Outcome = Failed
	}
	bad := t.record.Software == "v2" && s.misbehaves(t, route)
	if bad {
		seconds = s.applyFault(&o, seconds)
	}
	if s.now.Before(t.frozenTo) {
		seconds += t.frozenTo.Sub(s.now).Seconds()
	}
	if seconds > simTimeout.Seconds() {
		seconds, o.Outcome = simTimeout.Seconds(), TimedOut
	}
	t.open++
	t.recentRate(s.now, 1)
	done := false
	finish := func(o Observation) {
		if done {
			return
		}
		done = true
		t.open--
		o.Took = time.Duration(seconds * float64(time.Second))
		e.ledger.Observe(s.now, o)
		if bad {
			if s.badResponses++; s.badResponses == 50 {
				s.fiftiethBad = s.now
			}
		}
		if o.Outcome == Lost && attempt < 2 {
			s.send(e, route, poison, attempt+1)
		}
	}
	ledger := e.ledger
	e.aborts = append(e.aborts, func() {
		if !done {
			done = true
			t.open--
		}
	})
	lost := o
	lost.Outcome = Lost
	s.crashLost[t] = append(s.crashLost[t], func() { finish(lost) })
	o.Ratio = seconds / (expected * s.typical)
	s.at(s.now.Add(time.Duration(seconds*float64(time.Second))), func() { finish(o) })
	if limit := ledger.OverdueRatio(simService, t.record.ID, name); o.Ratio > limit {
		s.at(s.now.Add(time.Duration(limit*expected*s.typical*float64(time.Second))), func() {
			if done {
				return
			}
			overdue := o
			overdue.Outcome, overdue.Ratio = Overdue, limit
			ledger.Observe(s.now, overdue)
			o.OverdueBefore, lost.OverdueBefore = true, true
		})
	}
	if poison || bad && s.fault.kind == "crashes" {
		s.at(s.now.Add(20*time.Millisecond), func() { s.crash(t) })
	}
}

func (s *simulation) crash(t *simTarget) {
	t.downUntil = s.now.Add(1500 * time.Millisecond)
	all := s.crashLost[t]
	s.crashLost[t] = nil
	for _, lose := range all {
		lose()
	}
}

func (s *simulation) misbehaves(t *simTarget, route int) bool {
	f := s.fault
	usual := s.rate / float64(len(s.oldSpeeds))
	return s.bad && (f.route < 0 || f.route == route) && s.now.Sub(s.start) >= time.Duration(f.onset*float64(s.duration)) &&
		(!f.underLoad || float64(t.recentRate(s.now, 0)) >= 0.8*usual) && s.rng.Float64() < f.part
}

func (s *simulation) applyFault(o *Observation, seconds float64) float64 {
	switch s.fault.kind {
	case "failures":
		o.Outcome = Failed
		return seconds / 2
	case "resets":
		o.Outcome = Lost
		return seconds / 2
	case "refusals":
		o.Outcome = Refused
		return 0.002
	case "hangs":
		return 2 * simTimeout.Seconds()
	case "slow":
		return seconds * s.fault.factor
	}
	return seconds
}
