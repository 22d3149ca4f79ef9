package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const simService = state.Service("svc")

// fault is how the new version is bad in a simulated roll-out. The zero value is a good one.
type fault struct {
	kind      string  // failures, resets, hangs, refusals, slow, crashes
	part      float64 // of the responses
	factor    float64 // of slow
	route     int     // only this one, or -1
	onset     float64 // part of the duration after which it begins
	underLoad bool    // only at targets with at least 0.8 of the usual load of an old one
}

// simCase is a simulated roll-out.
type simCase struct {
	seed                    uint64
	entries                 int
	rate                    float64 // requests/s
	duration                time.Duration
	bad                     bool
	name                    string
	fault                   fault
	oldSpeeds, newSpeeds    []float64
	routes                  []simRoute
	background              float64 // part of the responses that fail, at both versions
	poison                  float64 // part of the requests that crash their target
	freeze, restart, cutOff bool
	burst                   float64 // factor of the rate in the middle of the trial
	loss                    float64 // of reports
	slots                   int
	listDelay               time.Duration
	leaderRestarts          bool
}

type simRoute struct{ weight, seconds, spread float64 }

type simTarget struct {
	record              state.TargetRecord
	speed               float64
	open                int
	downUntil, frozenTo time.Time
	sent                [10]int // in the last ten tenths of a second
	tenth               int64
}

// recentRate counts a request and returns the requests of the last second.
func (t *simTarget) recentRate(now time.Time, add int) int {
	tenth := now.UnixMilli() / 100
	for ; t.tenth < tenth; t.tenth++ {
		t.sent[(t.tenth+1)%10] = 0
		if tenth-t.tenth > 20 {
			t.tenth = tenth - 20
		}
	}
	t.sent[tenth%10] += add
	sum := 0
	for _, n := range t.sent {
		sum += n
	}
	return sum
}

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simEntry struct {
	id          state.InstanceID
	ledger      *Ledger
	cut         bool
	incarnation state.Incarnation
	aborts      []func() // of requests since the start
}

// simulation runs one case.
type simulation struct {
	simCase
	rng               *rand.Rand
	now, start, limit time.Time
	events            simEvents
	list              []*simEntry
	targets           []*simTarget
	typical           float64
	stored            Plan
	finishedAt        time.Time
	reached, exposed  int // between the order and its limit
	badResponses      int
	fiftiethBad       time.Time
	lastExposed       time.Time
	reason            string
	violation         string
	crashLost         map[*simTarget][]func()
}

func (s *simulation) at(t time.Time, do func()) { heap.Push(&s.events, simEvent{t, do}) }

func (s *simulation) every(first time.Time, interval time.Duration, do func()) {
	s.at(first, func() {
		do()
		s.every(first.Add(interval), interval, do)
	})
}

func (s *simulation) randomDelay(most time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(most))
}

func (s *simulation) newLedger(e *simEntry, slack float64) {
	e.incarnation++
	e.ledger = New(Config{
		Self: e.id, Incarnation: e.incarnation, ExposureShare: 0.1, ExposureSlack: func() float64 { return slack }, RollbackTime: 5 * time.Second,
		Entries: func(time.Time) []state.InstanceID {
			var ids []state.InstanceID
			for _, o := range s.list {
				if o != e && !o.cut {
					ids = append(ids, o.id)
				}
			}
			return ids
		},
		MaxRouteTimeout: func() time.Duration { return simTimeout },
		Log: func(ev Event) {
			if ev.Message == "version found bad" && ev.From == "" && s.reason == "" {
				s.reason = fmt.Sprintf("%s at %.1fs", ev.Reason, s.now.Sub(s.start).Seconds())
			}
		},
	})
}

const simTimeout = 8 * time.Second

func newSimulation(c simCase) *simulation {
	s := &simulation{simCase: c, rng: rand.New(rand.NewPCG(c.seed, 1)), now: time.Unix(1_000_000, 0), crashLost: make(map[*simTarget][]func())}
	for i, speed := range append(append([]float64{}, c.oldSpeeds...), c.newSpeeds...) {
		software := state.SoftwareVersion("v1")
		if i >= len(c.oldSpeeds) {
			software = "v2"
		} else {
			s.typical += math.Log(speed) / float64(len(c.oldSpeeds))
		}
		s.targets = append(s.targets, &simTarget{speed: speed, record: state.TargetRecord{ID: state.TargetID(fmt.Sprintf("t%d", i)), Service: simService, Slots: c.slots, Software: software}})
	}
	s.typical = math.Exp(s.typical)
	for i := range c.entries {
		e := &simEntry{id: state.InstanceID(fmt.Sprintf("e%03d", i))}
		s.newLedger(e, 0.8*50/float64(max(5, c.entries)))
		s.list = append(s.list, e)
	}
	return s
}

func (s *simulation) records(withNew bool) []state.TargetRecord {
	var records []state.TargetRecord
	for _, t := range s.targets {
		if withNew || t.record.Software == "v1" {
			records = append(records, t.record)
		}
	}
	return records
}

// run simulates the roll-out until it is decided, at most for a while beyond its limit.
func (s *simulation) run() {
	s.start = s.now.Add(simTimeout + 2*time.Second)
	s.limit = s.start.Add(s.duration)
	for i, e := range s.list {
		e.ledger.SetTargets(s.now, s.records(false))
		e.ledger.Loaded(s.now)
		s.every(s.start.Add(-900*time.Millisecond+s.randomDelay(900*time.Millisecond)), 900*time.Millisecond, func() { s.readStore(e) })
		s.every(s.start.Add(-time.Second+s.randomDelay(time.Second)), time.Second, func() { s.report(e, s.list) })
		near := []*simEntry{s.list[(i+1)%len(s.list)], s.list[(i+7)%len(s.list)], s.list[s.rng.IntN(len(s.list))]}
		s.every(s.start.Add(-s.randomDelay(100*time.Millisecond)), 100*time.Millisecond, func() {
			if e.ledger.HasUnreported() {
				s.report(e, s.list)
			} else {
				s.report(e, near)
			}
		})
		s.every(s.start.Add(-100*time.Millisecond+s.randomDelay(100*time.Millisecond)), 100*time.Millisecond, func() { e.ledger.SetOpen(s.now, nil) })
		if i == 0 {
			s.every(s.start.Add(s.randomDelay(100*time.Millisecond)), 100*time.Millisecond, func() { s.lead(e) })
		}
	}
	s.scheduleTroubles()
	s.at(s.start.Add(-time.Second), s.arrive)
	if *simDebug {
		s.every(s.start, 500*time.Millisecond, func() {
			old, neu := 0, 0
			for _, t := range s.targets {
				if t.record.Software == "v1" {
					old += t.open
				} else {
					neu += t.open
				}
			}
			d := 0
			for _, e := range s.list {
				if sv := e.ledger.services[simService]; sv != nil && sv.drained {
					d++
				}
			}
			sv := s.list[0].ledger.services[simService]
			fmt.Printf("%.1f phase %s stored %s open old %d new %d drained %d left %.1f exposed %d/%d need %v bad %q stated %d openold %d bads %d pend %.0f sums %.1f\n", s.now.Sub(s.start).Seconds(), sv.plan.Phase, s.stored.Phase, old, neu, d, s.limit.Sub(s.now).Seconds(), s.exposed, s.reached, sv.longestOld(), sv.bad, sv.statedOld, sv.oldOpen(), s.badResponses, sv.evidence.total.pending, sv.evidence.total.tests)
		})
	}
	for end := s.limit.Add(20 * time.Second); s.finishedAt.IsZero() || s.now.Before(s.limit) && s.now.Before(s.finishedAt.Add(6*time.Second)); {
		next := heap.Pop(&s.events).(simEvent)
		if s.now = next.at; s.now.After(end) {
			return
		}
		next.do()
	}
}

func (s *simulation) scheduleTroubles() {
	middle := s.start.Add(s.duration / 3)
	if s.freeze {
		s.at(middle, func() {
			s.targets[len(s.oldSpeeds)].frozenTo = s.now.Add(2 * time.Second)
			s.targets[0].frozenTo = s.now.Add(2 * time.Second)
		})
	}
	if s.restart && s.entries > 1 {
		e := s.list[s.entries-1]
		if s.leaderRestarts {
			e = s.list[0]
		}
		s.at(middle, func() {
			for _, abort := range e.aborts {
				abort()
			}
			e.aborts = nil
			s.newLedger(e, 0)
		})
	}
	if s.cutOff && s.entries > 1 {
		e := s.list[s.entries-1]
		s.at(middle, func() { e.cut = true })
		s.at(middle.Add(2500*time.Millisecond), func() { e.cut = false })
	}
}

func (s *simulation) readStore(e *simEntry) {
	if e.cut {
		return
	}
	e.ledger.StoreReached(s.now)
	e.ledger.SetTargets(s.now, s.records(s.now.Sub(s.start) >= s.listDelay))
	if s.stored.Number > 0 {
		p := s.stored
		p.TimeLeft -= s.now.Sub(s.start)
		e.ledger.StoredPlan(s.now, p)
	}
	if !s.now.Before(s.start) {
		e.ledger.SetOrder(s.now, Order{Service: simService, To: "v2", Duration: s.duration, Position: keyedtopic.Position{Offset: 7}})
	}
	e.ledger.Loaded(s.now)
}

func (s *simulation) report(e *simEntry, to []*simEntry) {
	r := e.ledger.Report(s.now)
	for _, o := range to {
		if o == e || e.cut || o.cut || s.rng.Float64() < s.loss {
			continue
		}
		o.ledger.Learn(s.now, e.id, r)
	}
}

func (s *simulation) lead(e *simEntry) {
	p, ok := e.ledger.Decide(s.now, simService)
	if !ok {
		return
	}
	decidedAt := s.now
	s.at(s.now.Add(50*time.Millisecond), func() {
		if p.Phase <= s.stored.Phase {
			return
		}
		stored := p
		stored.TimeLeft += decidedAt.Sub(s.start)
		s.stored = stored
		p.TimeLeft -= s.now.Sub(decidedAt)
		e.ledger.StoredPlan(s.now, p)
		if p.Phase.Terminal() {
			s.finishedAt = s.now
			s.reason += " " + p.Reason
			s.checkCompletion(p)
		}
	})
}

func (s *simulation) checkCompletion(p Plan) {
	for _, t := range s.targets {
		if p.Phase == Completed && t.record.Software == "v1" && t.open > 0 {
			s.violation = fmt.Sprintf("completed with %d requests in progress at %s", t.open, t.record.ID)
		}
	}
}

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
