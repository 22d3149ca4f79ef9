package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/emulator"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

// rolloutTest is an entry that follows roll-outs of the service s from v1 to v2.
type rolloutTest struct{ *storeTest }

// newRolloutTest returns an entry that is not started yet, for a store that may be shared.
func newRolloutTest(t *testing.T, store *emulator.Store, name state.InstanceID) *rolloutTest {
	s := &rolloutTest{newEntryTest(t, store, name)}
	p := s.control.p
	p.settings.Contracts = []string{platform.ContractRollout}
	p.settings.Bounds.ExposureShare, p.settings.Bounds.ExposureSlack, p.settings.Bounds.Rollback = 0.1, 50, 5*time.Second
	p.rollouts = p.newRollouts()
	p.scheduler.SetVersions(p.rollouts)
	return s
}

// start runs the entry until the test ends.
func (s *rolloutTest) start() {
	s.storeTest.start()
	stop := make(chan struct{})
	s.t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				s.control.p.scheduler.ReportOpen()
			}
		}
	}()
}

// order writes the targets of both versions and the order.
func (s *rolloutTest) order(duration time.Duration) {
	for i, version := range []string{"v1", "v2"} {
		s.store.Put(platform.TargetTopic, version, fmt.Appendf(nil, `{"Service":"s","Address":"127.0.0.1:%d","Version":%q,"Slots":4,"State":"ready","born":7}`, i+1, version))
	}
	s.store.Put(platform.ConfigurationTopic, "rollout/s", fmt.Appendf(nil, `{"Service":"s","To":"v2","DurationS":%g}`, duration.Seconds()))
}

// states returns the states of the roll-out that were written, in order.
func (s *rolloutTest) states() (states []string) {
	records, _, err := s.control.p.store.Read(s.t.Context(), platform.RolloutStatusTopic, keyedtopic.Position{}, 0)
	if err != nil {
		return nil
	}
	for _, r := range records {
		states = append(states, string(r.Value))
	}
	return states
}

func status(state string) string { return fmt.Sprintf(`{"State":%q,"To":"v2"}`, state) }

func (s *rolloutTest) waitStates(want ...string) {
	s.t.Helper()
	for i := range want {
		want[i] = status(want[i])
	}
	s.wait(fmt.Sprint("states ", want), func() bool { return slices.Equal(s.states(), want) })
	time.Sleep(3 * rolloutInterval)
	if got := s.states(); !slices.Equal(got, want) {
		s.t.Errorf("states %v, want %v", got, want)
	}
}

// calls returns the number of calls for the topics of roll-outs.
func (s *rolloutTest) calls() int {
	return s.store.Calls(platform.RolloutTopic) + s.store.Calls(platform.RolloutStatusTopic)
}

// Guards against calls to the store that cost and change nothing: before there is an order,
// and after its end.
func TestRolloutWritesOnlyWhatChanges(t *testing.T) {
	t.Parallel()
	s := newRolloutTest(t, emulator.NewStore(), "self")
	s.start()
	s.wait("no orders", s.control.plansLoaded.Load)
	if n := s.calls(); n > 0 {
		t.Errorf("%d calls without an order", n)
	}
	s.order(2 * time.Second)
	s.waitStates("active", "completed")
	before := s.calls()
	time.Sleep(10 * rolloutInterval)
	if n := s.calls() - before; n > 0 {
		t.Errorf("%d calls after the end of the roll-out", n)
	}
}

// Guards against records of another writer that end the process, or stop it from following
// the orders behind them.
func TestMalformedOrdersAreIgnored(t *testing.T) {
	t.Parallel()
	s := newRolloutTest(t, emulator.NewStore(), "self")
	for _, v := range []string{`{`, `[]`, `{"Service":"t","To":"v2","DurationS":5}`, `{"Service":"s","DurationS":5}`, `{"Service":"s","To":"v2","DurationS":-1}`, ""} {
		s.store.Put(platform.ConfigurationTopic, "rollout/s", []byte(v))
	}
	s.store.Put(platform.ConfigurationTopic, "rollout/", []byte(`{"Service":"","To":"v2","DurationS":5}`))
	s.start()
	s.wait("no orders", s.control.plansLoaded.Load)
	if got := s.control.p.rollouts.Services(); len(got) > 0 {
		t.Errorf("orders of %v", got)
	}
	s.order(2 * time.Second)
	s.waitStates("active", "completed")
}

// Guards against a verdict that the operator never reads, because the leader died after it had
// written the plan and before the status.
func TestStatusBehindPlanIsWritten(t *testing.T) {
	t.Parallel()
	s := newRolloutTest(t, emulator.NewStore(), "self")
	s.order(time.Minute)
	store := s.control.p.store
	plan := rollout.Plan{Order: rollout.Order{Service: "s", To: "v2", Duration: time.Minute, Position: keyedtopic.Position{Era: 1}}, Number: 1, Phase: rollout.Trial, TimeLeft: time.Minute}
	if err := store.PutRolloutPlan(t.Context(), 0, plan); err != nil {
		t.Fatal(err)
	}
	plan.Phase, plan.Reason = rollout.Reverted, "test"
	if err := store.PutRolloutPlan(t.Context(), 1, plan); err != nil {
		t.Fatal(err)
	}
	s.start()
	s.waitStates("active", "reverted") // the first leader had written neither
}

// Guards against states that are written twice, or never, because the store did a write and
// did not acknowledge it.
func TestRolloutWithLostAcknowledgements(t *testing.T) {
	t.Parallel()
	s := newRolloutTest(t, emulator.NewStore(), "self")
	s.start()
	s.wait("no orders", s.control.plansLoaded.Load)
	s.store.LoseAppendResponses.Store(true)
	s.order(3 * time.Second)
	s.waitStates("active")
	s.store.LoseAppendResponses.Store(false)
	s.waitStates("active", "completed")
}

// Guards against two entries that do not hear of each other and both write: each state must
// be written once.
func TestRolloutWithTwoLeaders(t *testing.T) {
	t.Parallel()
	store := emulator.NewStore()
	first, second := newRolloutTest(t, store, "self"), newRolloutTest(t, store, "other")
	first.start()
	second.start()
	first.wait("both know that there are no orders", func() bool { return first.control.plansLoaded.Load() && second.control.plansLoaded.Load() })
	first.order(2 * time.Second)
	first.waitStates("active", "completed")
}

// reportBad lets the entry learn from another one that the version is bad.
func (s *rolloutTest) reportBad() {
	plans := s.control.p.rollouts.Plans(time.Now())
	if len(plans) != 1 {
		s.t.Fatalf("plans %v, want one", plans)
	}
	p := plans[0]
	s.control.p.rollouts.Learn(time.Now(), "reporter", rollout.Report{Incarnation: 1, Sequence: 1, Services: []rollout.ServiceNote{{Bad: "test", Plan: rollout.PlanNote{
		Service: "s", To: "v2", DurationMillis: uint32(p.Order.Duration.Milliseconds()), Era: p.Order.Position.Era, Offset: p.Order.Position.Offset,
		Number: p.Number, Phase: p.Phase, TimeLeftMillis: p.TimeLeft.Milliseconds(),
	}}}})
}

// Guards against requests to a bad version while the store is down, and against a verdict that
// is lost meanwhile.
func TestVerdictWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	s := newRolloutTest(t, emulator.NewStore(), "self")
	s.start()
	s.wait("no orders", s.control.plansLoaded.Load)
	s.order(time.Minute)
	s.waitStates("active")
	s.store.Unavailable.Store(true)
	s.reportBad()
	if c := s.control.p.rollouts.Choose(time.Now(), "s", "r"); c.Kind != rollout.Except || !slices.Contains(c.Excluded, "v2") {
		t.Errorf("choice %+v, want all versions except v2", c)
	}
	time.Sleep(3 * rolloutInterval)
	s.store.Unavailable.Store(false)
	s.waitStates("active", "reverted")
}

// Guards against a decided order that starts anew, and against a status that the operator no
// longer finds, because the store has come back from a copy without plan and status.
func TestDecidedRolloutInRestoredStore(t *testing.T) {
	t.Parallel()
	s := newRolloutTest(t, emulator.NewStore(), "self")
	s.start()
	s.wait("no orders", s.control.plansLoaded.Load)
	older := s.store.Copy()
	s.order(2 * time.Second)
	s.waitStates("active", "completed")
	s.store.Restore(older)
	s.order(2 * time.Second)
	s.waitStates("active", "completed")
	plans, _, err := s.control.p.store.RolloutPlans(t.Context())
	if got := plans["s"]; err != nil || got.Number != 1 || got.Phase != rollout.Completed {
		t.Errorf("plan %+v in the store, %v, want the completed one of order 1", got, err)
	}
}

// Guards against an order that starts anew, with new permits and more time, when all entries
// restart during it.
func TestRolloutGoesOnAfterAllEntriesRestart(t *testing.T) {
	store := emulator.NewStore()
	t.Run("before", func(t *testing.T) {
		s := newRolloutTest(t, store, "self")
		s.start()
		s.wait("no orders", s.control.plansLoaded.Load)
		if s.control.p.exposureSlack() == 0 {
			t.Error("no part of the slack without a roll-out at the start")
		}
		s.order(4 * time.Second)
		s.waitStates("active")
		time.Sleep(time.Second)
	})
	s := newRolloutTest(t, store, "self")
	s.start()
	s.wait("plans known", s.control.plansLoaded.Load)
	plans := s.control.p.rollouts.Plans(time.Now())
	if len(plans) != 1 || plans[0].Number != 1 || plans[0].TimeLeft > 3*time.Second || s.control.p.exposureSlack() > 0 {
		t.Errorf("plans %+v and slack %g, want order 1 with less time left and no slack", plans, s.control.p.exposureSlack())
	}
	s.waitStates("active", "completed")
}

// Guards against an entry that learns of a new version from another entry without the order.
func TestPlansOfAnotherEntryAreAdopted(t *testing.T) {
	t.Parallel()
	s := newRolloutTest(t, emulator.NewStore(), "self")
	plan := rollout.Plan{Order: rollout.Order{Service: "s", To: "v2", Duration: time.Minute, Position: keyedtopic.Position{Era: 1}}, Number: 1, Phase: rollout.Trial, TimeLeft: time.Minute}
	s.control.adoptPlans(time.Now(), []rollout.Plan{plan}, true)
	if got := s.control.snapshot(); len(got.Plans) != 1 || got.Plans[0].Order.To != "v2" || !got.PlansComplete {
		t.Errorf("snapshot has plans %+v, complete %t", got.Plans, got.PlansComplete)
	}
	if s.control.p.exposureSlack() > 0 {
		t.Error("an entry that starts during a roll-out has a part of the slack")
	}
}

// Guards against calls to the store, reports and restrictions where the platform does not ask
// for roll-outs, even if there is an order.
func TestNoRolloutWithoutContract(t *testing.T) {
	t.Parallel()
	s := &rolloutTest{newStoreTest(t)}
	s.control.p.rollouts = s.control.p.newRollouts()
	s.order(time.Minute)
	s.putConfiguration(1)
	s.storeTest.start()
	s.waitVersion(1)
	s.wait("targets listed", func() bool { return s.control.targetCount() == 2 })
	if n := s.calls(); n > 0 {
		t.Errorf("%d calls for the topics of roll-outs", n)
	}
	if r := s.control.p.rolloutReport(time.Now()); r != nil {
		t.Errorf("report %+v", r)
	}
	if got := s.control.snapshot(); got.Plans != nil || got.PlansComplete {
		t.Errorf("snapshot with plans %+v", got.Plans)
	}
}
