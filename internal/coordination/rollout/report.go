package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxReportedTargets bounds the targets of a service in one report to about 200 bytes.
	// Further ones follow in the next reports.
	maxReportedTargets = 8
	// verdictReports is the number of reports that tell of a verdict at once, because one may
	// be lost. An acknowledgement is told as often among fewEntries and once among more, where
	// all entries acknowledge at about the same time; the next report to all repeats it.
	verdictReports = 2
	fewEntries     = 100
)

// Report is what one entry tells the others of its roll-outs. All counts are cumulative
// for the incarnation, so that a report may be lost, repeated or late.
type Report struct {
	Incarnation state.Incarnation `cbor:"1,keyasint"`
	Sequence    uint64            `cbor:"2,keyasint"` // increases with each report
	Services    []ServiceNote     `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Services) == 0 }

// ServiceNote is the plan of a service and what the sender has observed since the order.
type ServiceNote struct {
	Plan PlanNote `cbor:"1,keyasint"`
	// Bad is why the sender has found the new version to be bad, or empty.
	Bad string `cbor:"2,keyasint,omitempty"`
	// Drained says that the sender has nothing in progress at the old targets in the phase
	// Handover, and sends nothing there any more.
	Drained bool `cbor:"3,keyasint,omitempty"`
	// OldMillis is the longest time that a request took lately at an old target.
	OldMillis uint32       `cbor:"4,keyasint,omitempty"`
	Routes    []RouteNote  `cbor:"5,keyasint,omitempty"`
	Targets   []TargetNote `cbor:"6,keyasint,omitempty"`
	// Settled says that the sender also knows of the entries that have fallen silent that
	// they have nothing in progress at the old targets.
	Settled bool `cbor:"7,keyasint,omitempty"`
}

// PlanNote is a plan in a report.
type PlanNote struct {
	_              struct{} `cbor:",toarray"`
	Service        state.Service
	To             state.SoftwareVersion
	DurationMillis uint32
	Era, Offset    uint64
	Number         uint64
	Phase          Phase
	Reason         string
	From           []state.SoftwareVersion
	TimeLeftMillis int64
}

// RouteNote has the counts of a route, identified by its hash, at the old and at the new
// version, and the histogram of the relative times at the old one.
type RouteNote struct {
	_        struct{} `cbor:",toarray"`
	Route    uint32
	Old, New CountsNote
	OldTimes []byte
}

// CountsNote are the counts of a route at a version.
type CountsNote struct {
	_                                   struct{} `cbor:",toarray"`
	Ended, Failed, Refused, Timed, Slow uint32
}

// TargetNote has the counts of a target, identified by its hash. Old targets are reported
// only when they have crashed.
type TargetNote struct {
	_                                         struct{} `cbor:",toarray"`
	Target                                    uint32
	New                                       bool
	Ended, Failed, Slow, Crashes, Unreachable uint32
	CrashAgeMillis                            uint32 // since the last crash
	AnswerAgeMillis                           uint32 // since the last answer, plus 1; 0 if there was none
	Times                                     []byte
}

// note returns the plan as it goes into a report.
func (p Plan) note() PlanNote {
	return PlanNote{
		Service: p.Order.Service, To: p.Order.To, DurationMillis: millis(p.Order.Duration), Era: p.Order.Position.Era, Offset: p.Order.Position.Offset,
		Number: p.Number, Phase: p.Phase, Reason: p.Reason, From: p.From, TimeLeftMillis: p.TimeLeft.Milliseconds(),
	}
}

// plan returns the plan that a report contains.
func (n PlanNote) plan() Plan {
	return Plan{
		Order: Order{
			Service: n.Service, To: n.To, Duration: time.Duration(n.DurationMillis) * time.Millisecond,
			Position: keyedtopic.Position{Era: n.Era, Offset: n.Offset},
		},
		Number: n.Number, Phase: n.Phase, Reason: n.Reason, From: n.From, TimeLeft: time.Duration(n.TimeLeftMillis) * time.Millisecond,
	}
}

func millis(d time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, d.Milliseconds())))
}

// HasUnreported reports whether there is a verdict, a phase or an acknowledgement that is to
// be told at once.
func (l *Ledger) HasUnreported() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreported > 0
}

// Report returns what the next report to another entry is to contain.
func (l *Ledger) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreported = max(0, l.unreported-1)
	l.sequence++
	r := Report{Incarnation: l.cfg.Incarnation, Sequence: l.sequence}
	for _, name := range l.serviceNames() {
		s := l.services[name]
		l.advance(now, s)
		if s.plan.Number == 0 {
			continue
		}
		n := ServiceNote{Plan: s.planAt(now).note(), Bad: s.bad, Drained: s.drained && s.bad == "", Settled: l.settled(now, s), OldMillis: millis(s.longestOld())}
		if !s.plan.Phase.Terminal() {
			n.Routes = s.evidence.routeNotes()
			n.Targets = s.evidence.targetNotes(now, l.sequence)
		}
		r.Services = append(r.Services, n)
	}
	return r
}

// peer is another entry. Its fields of services are in servicePeer.
type peer struct {
	heardAt     time.Time
	incarnation state.Incarnation
	sequence    uint64
	ended       []state.Incarnation // earlier ones, whose reports may still arrive
}

// servicePeer is what another entry has told of a service.
type servicePeer struct {
	incarnation state.Incarnation
	drained     bool // see ServiceNote
	settled     bool
	oldTime     time.Duration
	cursor      cursor
}

// Learn takes the report of another entry.
func (l *Ledger) Learn(now time.Time, from state.InstanceID, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	if p == nil {
		p = &peer{incarnation: r.Incarnation}
		l.peers[from] = p
	}
	if slices.Contains(p.ended, r.Incarnation) {
		return
	}
	if p.incarnation != r.Incarnation {
		p.ended = append(p.ended[max(0, len(p.ended)-3):], p.incarnation)
		p.incarnation, p.sequence = r.Incarnation, 0
	}
	p.heardAt, l.contactAt = now, now
	late := r.Sequence <= p.sequence
	p.sequence = max(p.sequence, r.Sequence)
	for i := range r.Services {
		l.learnService(now, from, r.Incarnation, &r.Services[i], late)
	}
}

// learnService takes what another entry tells of a service. Of a late report only the plan
// and the verdict count, which never become outdated.
func (l *Ledger) learnService(now time.Time, from state.InstanceID, incarnation state.Incarnation, n *ServiceNote, late bool) {
	if n.Plan.Number == 0 || n.Plan.Phase < Trial || n.Plan.Phase > Reverted {
		return
	}
	p := n.Plan.plan()
	s := l.service(p.Order.Service)
	l.learnPlan(now, s, p, from)
	if n.Plan.Number != s.plan.Number || n.Plan.To != s.plan.Order.To {
		return
	}
	if n.Bad != "" && s.bad == "" {
		l.findBad(now, s, n.Bad, from)
	}
	if late || s.plan.Phase.Terminal() {
		return
	}
	sp := s.peers[from]
	if sp == nil || sp.incarnation != incarnation {
		sp = &servicePeer{incarnation: incarnation}
		s.peers[from] = sp
	}
	sp.oldTime = time.Duration(n.OldMillis) * time.Millisecond
	sp.drained, sp.settled = n.Drained, n.Settled
	s.evidence.learn(now, &sp.cursor, n)
	l.advance(now, s)
}

// Left records that another entry has ended by plan, with nothing in progress, so that it
// is not waited for.
func (l *Ledger) Left(from state.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, from)
}
