package daemon

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/internal/transport/upstream"
)

// tell returns what c's reports tell of the list.
func tell(c *control, now time.Time) *mesh.Message {
	m := &mesh.Message{Instance: "reader"}
	c.tellList(now, m)
	return m
}

// Guards against a stale list of targets that entries keep telling each other is
// fresh: each hop hides the time on the way (found on trouble-1 of
// tbl-plan-grown: DRAIN 4,284 ms after a target had left).
func TestListLearnedFromOthersIsNotPassedOn(t *testing.T) {
	c := newControl(&gatewayProcess{rollout: bundle.NewRollout(state.Signers{})})
	now := time.Now()
	c.hash = 7
	c.listReported(&mesh.Message{Instance: "reader", ListAgeMillis: 10, ListHash: 7})
	if c.fresh.IsZero() || c.fresh.After(now) {
		t.Fatalf("fresh at %v, want shortly before %v", c.fresh, now)
	}
	if m := tell(c, now); m.ListHash != 0 {
		t.Errorf("age %d and hash %d are told of a list that was not read here", m.ListAgeMillis, m.ListHash)
	}
	c.read = now
	if m := tell(c, now); m.ListHash != 7 {
		t.Errorf("hash %d is told of a list that was read here, want 7", m.ListHash)
	}
	c.settling = true
	if m := tell(c, now); m.ListHash != 0 {
		t.Error("a list with targets that may be gone is told as current (DRAIN on trouble-1 of tbl-plan)")
	}
	c.settling = false
	if m := tell(c, now.Add(2*maxListAge)); m.ListHash != 0 {
		t.Error("a list that was read long ago is told as current")
	}
}

// Guards against a fetch from an entry that does not know more.
func TestDifferentFresherListIsFetched(t *testing.T) {
	c := newControl(&gatewayProcess{rollout: bundle.NewRollout(state.Signers{})})
	c.hash, c.fresh = 7, time.Now()
	c.listReported(&mesh.Message{Instance: "old", ListAgeMillis: 5000, ListHash: 8})
	select {
	case from := <-c.fetchNow:
		t.Fatalf("an older list is fetched from %s", from)
	default:
	}
	c.fresh = time.Now().Add(-time.Second)
	c.listReported(&mesh.Message{Instance: "reader", ListAgeMillis: 10, ListHash: 8})
	select {
	case from := <-c.fetchNow:
		if from != "reader" {
			t.Errorf("the list is fetched from %s", from)
		}
	default:
		t.Error("a fresher list is not fetched")
	}
}

// listHolder returns a control that published a list.
func listHolder(now time.Time, records ...state.TargetRecord) *control {
	p := &gatewayProcess{
		log: zap.NewNop(), targets: upstream.New(), gateway: gateway.New(gateway.Config{}), rollout: bundle.NewRollout(state.Signers{}),
	}
	p.scheduler = dispatch.New("a", 1, time.Now, p)
	c := newControl(p)
	for _, r := range records {
		c.list.Put(r)
	}
	c.publish(now)
	return c
}

// Guards against a fetch of the whole list by every entry for each change of it,
// which fills the link of the reader where hundreds of entries follow it.
func TestChangeOfListIsAppliedWithoutFetch(t *testing.T) {
	now := time.Now()
	records := []state.TargetRecord{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}
	reader, follower := listHolder(now, records...), listHolder(now, records...)
	if reader.hash != follower.hash {
		t.Fatal("equal lists have unequal hashes")
	}
	reader.read = now
	reader.list.Remove(now, "a")
	reader.list.Put(state.TargetRecord{ID: "b", Service: "s", Draining: true})
	reader.list.Put(state.TargetRecord{ID: "d", Service: "s"})
	reader.publish(now)
	m := tell(reader, now)
	follower.listReported(m)
	select {
	case apply := <-follower.events:
		apply(now)
	case from := <-follower.fetchNow:
		t.Fatalf("the list is fetched from %s", from)
	}
	if d := cmp.Diff(reader.targets(), follower.targets()); d != "" {
		t.Errorf("the follower's list differs: %s", d)
	}
	if follower.hash != reader.hash {
		t.Error("the follower's hash differs")
	}
}

// Guards against a change that is applied to another list than the one it is from,
// which would keep a target that has left.
func TestChangeOfAnotherListIsNotApplied(t *testing.T) {
	now := time.Now()
	a, b := state.TargetRecord{ID: "a", Service: "s"}, state.TargetRecord{ID: "b", Service: "s"}
	reader, follower := listHolder(now, a, b), listHolder(now, a)
	reader.read = now
	reader.list.Remove(now, "b")
	reader.list.Put(state.TargetRecord{ID: "c"})
	reader.publish(now)
	follower.listReported(tell(reader, now))
	select {
	case <-follower.events:
		t.Error("the change of another list is applied")
	case <-follower.fetchNow:
	}
}

// Guards against an entry that keeps an old configuration because the store does
// not answer its read (CONFIG on scale-2 of tbl-plan-grown: 11 s), and against
// fetches by all entries when a configuration is just being delivered.
func TestNewerConfigurationElsewhereIsFetched(t *testing.T) {
	p := &gatewayProcess{log: zap.NewNop(), gateway: gateway.New(gateway.Config{})}
	p.gateway.SetConfiguration(&state.Configuration{Version: 7})
	c := newControl(p)
	now := time.Now()
	asked := func() bool {
		select {
		case <-c.fetchNow:
			return true
		default:
			return false
		}
	}
	c.configurationReported(now, "a", 8)
	if asked() {
		t.Error("fetched at once")
	}
	now = now.Add(behindTime)
	c.configurationReported(now, "old", 6)
	c.configurationReported(now, "behind as well", 7)
	if asked() {
		t.Error("an older configuration is fetched")
	}
	c.configurationReported(now, "a", 8)
	if !asked() {
		t.Error("not fetched although the store does not deliver it")
	}
	c.configurationReported(now.Add(askPause/2), "a", 8)
	if asked() {
		t.Error("fetched again without a pause")
	}
	p.gateway.SetConfiguration(&state.Configuration{Version: 8})
	c.configurationReported(now, "a", 8)
	now = now.Add(2 * askPause)
	c.configurationReported(now, "a", 9)
	if asked() {
		t.Error("the next configuration is fetched at once")
	}
}

// Guards against a target that has left and comes back with the list of an entry
// that has not judged its removal yet, and against an entry that starts and gets no
// targets.
func TestSettlingListIsTakenOnlyByEntriesWithoutTargets(t *testing.T) {
	now := time.Now()
	a, b := state.TargetRecord{ID: "a", Service: "s"}, state.TargetRecord{ID: "b", Service: "s"}
	settling := listHolder(now, a, b)
	settling.fresh, settling.settling = now, true
	s := settling.snapshot()
	knows, starts := listHolder(now, a), listHolder(now)
	for _, c := range []*control{knows, starts} {
		c.adopt(now, &s, netip.AddrPort{})
	}
	if n := knows.targetCount(); n != 1 {
		t.Errorf("%d targets, want the one that has not left", n)
	}
	if n := starts.targetCount(); n != 2 {
		t.Errorf("%d targets at an entry without any, want 2", n)
	}
}
