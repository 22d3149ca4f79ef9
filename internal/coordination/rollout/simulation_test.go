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
