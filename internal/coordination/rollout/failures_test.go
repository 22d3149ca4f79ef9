package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

var (
	testStart = time.Unix(2_000_000, 0)
	testOrder = Order{Service: "svc", To: "v2", Duration: 20 * time.Second, Position: keyedtopic.Position{Offset: 7}}
)

// testLedger returns a ledger that knows four old and four new targets and, if the number is
// not 0, the stored plan of testOrder.
func testLedger(self state.InstanceID, others []state.InstanceID, p Plan) *Ledger {
	l := New(Config{
		Self: self, Incarnation: 1, ExposureShare: 0.1, ExposureSlack: func() float64 { return 8 }, RollbackTime: 5 * time.Second,
		Entries: func(time.Time) []state.InstanceID { return others }, MaxRouteTimeout: func() time.Duration { return 8 * time.Second },
	})
	l.SetTargets(testStart.Add(-time.Minute), testTargets())
	l.Loaded(testStart.Add(-time.Minute))
	if p.Number > 0 {
		l.StoredPlan(testStart, p)
	}
	return l
}

func testTargets() []state.TargetRecord {
	var records []state.TargetRecord
	for i := range 8 {
		records = append(records, state.TargetRecord{ID: state.TargetID(fmt.Sprint("t", i)), Service: "svc", Slots: 4, Software: state.SoftwareVersion(fmt.Sprint("v", 1+i/4))})
	}
	return records
}

func testPlan(p Phase, left time.Duration) Plan {
	return Plan{Order: testOrder, Number: 1, Phase: p, TimeLeft: left, From: []state.SoftwareVersion{"v1"}}
}

// serve sends requests to old and new targets, of which the new ones have an outcome.
func serve(l *Ledger, now time.Time, old, fresh int, outcome Outcome) {
	for i := range old {
		l.Observe(now, Observation{Service: "svc", Target: state.TargetID(fmt.Sprint("t", i%4)), Software: "v1", Route: "r", Outcome: Answered, Ratio: 1, Slowness: 1})
	}
	for i := range fresh {
		l.Observe(now, Observation{Service: "svc", Target: state.TargetID(fmt.Sprint("t", 4+i%4)), Software: "v2", Route: "r", Outcome: outcome})
	}
}

// usesNew reports whether a ledger lets any of many requests go to the new version.
func usesNew(l *Ledger, now time.Time) bool {
	for range 60 {
		if c := l.Choose(now, "svc", "r"); c.Kind != Except {
			return true
		}
		l.Sent(now, "svc", "v1", true)
	}
	return false
}

func expectDecision(t *testing.T, l *Ledger, now time.Time, phase Phase, write bool) Plan {
	t.Helper()
	p, ok := l.Decide(now, "svc")
	if ok != write || p.Phase != phase {
		t.Fatalf("Decide returned phase %s, %v; want %s, %v", p.Phase, ok, phase, write)
	}
	return p
}

// Guards against an order that is lost or repeated when its leader dies or a write is not
// acknowledged: the plan is returned until it is known to be stored, by any leader.
func TestPlanIsReturnedUntilStored(t *testing.T) {
	l := testLedger("a", nil, Plan{})
	l.SetOrder(testStart, testOrder)
	expectDecision(t, l, testStart, Trial, true)
	p := expectDecision(t, l, testStart, Trial, true)
	l.StoredPlan(testStart, p)
	expectDecision(t, l, testStart, Trial, false)
	next := testLedger("b", nil, p)
	expectDecision(t, next, testStart, Trial, false)
	if next.SetOrder(testStart, testOrder); len(next.Plans(testStart)) != 1 || next.Plans(testStart)[0].Number != 1 {
		t.Errorf("the next leader has plans %v", next.Plans(testStart))
	}
}

// Guards against requests to a bad version while the store is down, and against a decision
// that takes effect before it is stored.
func TestVerdictHoldsWithoutStore(t *testing.T) {
	l := testLedger("a", []state.InstanceID{"b"}, testPlan(Trial, 20*time.Second))
	if !usesNew(l, testStart) {
		t.Fatal("no request goes to the new version")
	}
	serve(l, testStart.Add(time.Second), 100, 30, Failed)
	now := testStart.Add(1500 * time.Millisecond)
	if usesNew(l, now) || !l.HasUnreported() {
		t.Error("the entry that sees the failures goes on or does not report at once")
	}
	if p := expectDecision(t, l, now, Reverted, true); l.Plans(now)[0].Phase != Trial || p.Reason == "" {
		t.Errorf("the plan took effect before it was stored: %v", p)
	}
	other := testLedger("b", []state.InstanceID{"a"}, testPlan(Trial, 20*time.Second))
	other.Learn(now, "a", l.Report(now))
	if usesNew(other, now) {
		t.Error("an entry goes on after it has learned the verdict")
	}
}

// Guards against an entry that the store refuses and that does not learn of an order.
func TestPlanIsLearnedFromReports(t *testing.T) {
	l := testLedger("b", []state.InstanceID{"a"}, Plan{})
	a := testLedger("a", []state.InstanceID{"b"}, testPlan(Trial, 20*time.Second))
	l.Learn(testStart.Add(time.Second), "a", a.Report(testStart.Add(time.Second)))
	if p := l.Plans(testStart.Add(time.Second)); len(p) != 1 || p[0].Phase != Trial || p[0].TimeLeft != 19*time.Second {
		t.Errorf("learned plans %v", p)
	}
}

// Guards against an entry that starts during a roll-out and uses the new version before it
// knows the plan.
func TestEntryStartsDuringRollout(t *testing.T) {
	l := New(Config{Self: "a", ExposureShare: 0.1})
	l.SetTargets(testStart, testTargets()[:7]) // three new ones
	if c := l.Choose(testStart, "svc", "r"); c.Allows("t4", "v2", testStart) || !c.Allows("t0", "v1", testStart) {
		t.Errorf("before the plans are read, the choice is %+v", c)
	}
	l.Loaded(testStart)
	if c := l.Choose(testStart, "svc", "r"); c.Kind != Any {
		t.Errorf("without an order, the choice is %+v", c)
	}
}

// Guards against an entry that hears nothing of a verdict and goes on trying the new version,
// and against one that finds no target when the old ones have stopped.
func TestEntryCutOff(t *testing.T) {
	l := testLedger("a", []state.InstanceID{"b"}, testPlan(Trial, 20*time.Second))
	now := testStart.Add(3 * time.Second)
	if usesNew(l, now) {
		t.Error("an entry without contact tries the new version")
	}
	for range unusableAfter {
		l.Observe(now, Observation{Service: "svc", Target: "t0", Software: "v1", Route: "r", Outcome: Unreachable})
	}
	if c := l.Choose(now, "svc", "r"); !c.Allows("t4", "v2", now) {
		t.Error("an entry without contact does not use the new version after the old targets are gone")
	}
}

// Guards against completion while a silent entry may have requests in progress at the old
// targets, and against requests to them after the acknowledgement.
func TestCompletionWaits(t *testing.T) {
	l := testLedger("a", []state.InstanceID{"b"}, testPlan(Handover, 20*time.Second))
	silent, b := testLedger("c", nil, testPlan(Handover, 20*time.Second)), testLedger("b", []state.InstanceID{"a"}, testPlan(Handover, 20*time.Second))
	now := testStart.Add(12 * time.Second)
	l.Learn(now, "c", silent.Report(now))
	now = testStart.Add(19 * time.Second)
	for _, e := range []*Ledger{l, b} {
		if !e.Sent(now, "svc", "v1", true) {
			t.Fatal("not sent before the acknowledgement")
		}
		e.SetOpen(now, nil)
	}
	expectDecision(t, l, testStart.Add(20*time.Second), Handover, false)
	for _, e := range []*Ledger{l, b} {
		e.Observe(now, Observation{Service: "svc", Target: "t0", Software: "v1", Route: "r"})
		if e.SetOpen(now, nil); e.Sent(now, "svc", "v1", false) {
			t.Error("sent to an old target after the acknowledgement")
		}
	}
	expectDecision(t, l, testStart.Add(19500*time.Millisecond), Handover, false) // b has not reported
	l.Learn(now, "b", b.Report(now))
	expectDecision(t, l, testStart.Add(19900*time.Millisecond), Handover, false) // c is silent since 12 s
	l.Learn(testStart.Add(20500*time.Millisecond), "b", b.Report(testStart.Add(20500*time.Millisecond)))
	expectDecision(t, l, testStart.Add(20100*time.Millisecond), Completed, true)
}

// Guards against a roll-out that starts anew when all entries restart.
func TestAllEntriesRestart(t *testing.T) {
	l := testLedger("a", nil, testPlan(Handover, 4*time.Second))
	l.SetOrder(testStart, testOrder)
	if p := l.Plans(testStart)[0]; p.Phase != Handover || p.Number != 1 || p.TimeLeft != 4*time.Second {
		t.Errorf("plan after the restart: %+v", p)
	}
}

// Guards against crashes of all new targets that prove nothing because no response fails.
func TestAllNewTargetsCrash(t *testing.T) {
	l := testLedger("a", nil, testPlan(Trial, 20*time.Second))
	for s := range 3 {
		serve(l, testStart.Add(time.Duration(s)*2*time.Second), 40, 4, Lost)
	}
	l.StoreReached(testStart.Add(8 * time.Second))
	l.Choose(testStart.Add(8*time.Second), "svc", "r")
	expectDecision(t, l, testStart.Add(8*time.Second), Reverted, true)
}

// Guards against two leaders whose plans replace each other without end.
func TestConflictingPlans(t *testing.T) {
	l := testLedger("a", nil, testPlan(Handover, 5*time.Second))
	if l.LearnPlan(testStart, testPlan(Trial, 5*time.Second)) {
		t.Error("a lower phase replaced a higher one")
	}
	if !l.LearnPlan(testStart, testPlan(Reverted, 5*time.Second)) || l.LearnPlan(testStart, testPlan(Completed, 5*time.Second)) {
		t.Error("reverted does not follow the hand-over, or a terminal phase changed")
	}
	later := testPlan(Trial, 20*time.Second)
	later.Number, later.Order.To = 2, "v3"
	if !l.LearnPlan(testStart, later) || l.LearnPlan(testStart, testPlan(Reverted, 0)) {
		t.Error("a higher number does not win")
	}
	sameNumber := later
	sameNumber.Order.To, sameNumber.Order.Position.Offset = "v4", 9
	if !l.LearnPlan(testStart, sameNumber) || l.LearnPlan(testStart, later) {
		t.Error("the later one of two orders with the same number does not win")
	}
}

// Guards against an order that is carried out again after the store has come back from an
// older copy, and against a new order that is taken for a known one.
func TestStoreComesBackFromOlderCopy(t *testing.T) {
	l := testLedger("a", nil, testPlan(Reverted, 5*time.Second))
	l.SetOrder(testStart, testOrder)
	l.StoredPlan(testStart, testPlan(Trial, 5*time.Second))
	expectDecision(t, l, testStart, Reverted, true)
	l.StoredPlan(testStart, Plan{Order: Order{Service: "svc"}})
	expectDecision(t, l, testStart, Reverted, true)
	copied := testOrder
	copied.Position.Era = 1
	if l.SetOrder(testStart, copied); l.Plans(testStart)[0].Number != 1 {
		t.Error("the order was started again after the change of era")
	}
	copied.Position.Offset++
	if l.SetOrder(testStart, copied); l.Plans(testStart)[0].Number != 2 {
		t.Error("an order that was written after the change of era was not started")
	}
}

// Guards against an order for the same version that starts anew while it is active, or after
// it is completed, or that does not after it was reverted.
func TestRepeatedOrder(t *testing.T) {
	again := testOrder
	again.Position.Offset = 9
	for phase, number := range map[Phase]uint64{Trial: 1, Handover: 1, Completed: 1, Reverted: 2} {
		l := testLedger("a", nil, testPlan(phase, 5*time.Second))
		l.SetOrder(testStart, testOrder)
		l.SetOrder(testStart, again)
		if got := l.Plans(testStart)[0].Number; got != number {
			t.Errorf("after %s, a repeated order has number %d, want %d", phase, got, number)
		}
		if number > 1 {
			continue
		}
		if p, ok := l.Decide(testStart, "svc"); !ok || p.Order.Position != again.Position {
			t.Errorf("after %s, the position of the repeated order is not stored", phase)
		}
	}
}

// Guards against exposure beyond the bound, with many entries that have few requests each and
// with one entry.
func TestExposureBound(t *testing.T) {
	for _, entries := range []int{1, 30, 400} {
		sent, exposed := 0, 0
		var others []state.InstanceID
		for i := range entries - 1 {
			others = append(others, state.InstanceID(fmt.Sprint("other", i)))
		}
		for i := range entries {
			l := testLedger(state.InstanceID(fmt.Sprint("e", i)), others, Plan{})
			l.cfg.ExposureSlack = func() float64 { return 40 / float64(entries) }
			l.StoredPlan(testStart, testPlan(Trial, 20*time.Second))
			for range 6000 / entries {
				now := testStart.Add(time.Duration(sent) * 18 * time.Second / 6000)
				l.StoreReached(now)
				version := state.SoftwareVersion("v1")
				if l.Choose(now, "svc", "r").Kind == Only {
					version = "v2"
					exposed++
				}
				if !l.Sent(now, "svc", version, true) {
					t.Fatal("not sent with a permit")
				}
				sent++
			}
		}
		if bound := 0.1*float64(sent) + 50; float64(exposed) > bound || float64(exposed) < bound/4 {
			t.Errorf("%d entries sent %d of %d to the new version; the bound is %.0f", entries, exposed, sent, bound)
		}
	}
}

// Guards against evidence that counts twice when a report is repeated or late, and against
// reports that do not stay small.
func TestReportsAreCumulativeAndSmall(t *testing.T) {
	a, b := testLedger("a", []state.InstanceID{"b"}, testPlan(Trial, 20*time.Second)), testLedger("b", []state.InstanceID{"a"}, testPlan(Trial, 20*time.Second))
	serve(a, testStart, 50, 10, Answered)
	first := a.Report(testStart)
	serve(a, testStart, 50, 10, Answered)
	second := a.Report(testStart)
	for _, r := range []Report{second, first, second} {
		b.Learn(testStart.Add(time.Millisecond), "a", r)
	}
	if got := b.services["svc"].evidence.answered; got != 20 {
		t.Errorf("learned %v answers of the new version, want 20", got)
	}
	for i := range 100 {
		a.Observe(testStart, Observation{Service: "svc", Target: state.TargetID(fmt.Sprint("n", i)), Software: "v2", Route: fmt.Sprint("r", i), Outcome: Answered, Ratio: 1})
	}
	usual := b.Report(testStart)
	usual.Services[0].Routes, usual.Services[0].Targets = a.Report(testStart).Services[0].Routes[:4], a.Report(testStart).Services[0].Targets
	if data, err := cbor.Marshal(usual); err != nil || len(data) > 500 {
		t.Errorf("a report with 4 routes has %d bytes, error %v", len(data), err)
	} else {
		t.Logf("a report with 4 routes and %d targets has %d bytes", len(usual.Services[0].Targets), len(data))
	}
	n := a.Report(testStart).Services[0]
	if len(n.Routes) > maxRoutes+1 || len(n.Targets) > maxReportedTargets {
		t.Errorf("a report has %d routes and %d targets", len(n.Routes), len(n.Targets))
	}
}

// Guards against late responses that do not count because the observation Overdue states that
// the request is overdue, as the sender knows by then: a version that delays a third of its
// responses ten times was completed.
func TestOverdueResponsesProveVersionSlow(t *testing.T) {
	l := testLedger("a", nil, testPlan(Trial, 20*time.Second))
	overdue := 0.0
	for i := 0; i < 90 && l.services["svc"].bad == ""; i++ {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		serve(l, now, 8, 0, Answered)
		o := Observation{Service: "svc", Target: state.TargetID(fmt.Sprint("t", 4+i%4)), Software: "v2", Route: "r", Ratio: 1}
		if i%3 == 0 {
			if l.services["svc"].bad == "" { // later ones are not counted
				overdue++
			}
			late := o
			late.Outcome, late.OverdueBefore, late.Ratio = Overdue, true, l.OverdueRatio("svc", o.Target, "r")
			l.Observe(now, late)
			o.OverdueBefore, o.Ratio = true, 10
		}
		l.Observe(now, o)
	}
	now := testStart.Add(10 * time.Second)
	if counts := l.services["svc"].evidence.routes[hash32("r")].own[newSide]; counts.slow != overdue {
		t.Errorf("%.0f of %.0f overdue responses count as slow", counts.slow, overdue)
	}
	expectDecision(t, l, now, Reverted, true)
}
