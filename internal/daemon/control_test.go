package daemon

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/internal/transport/upstream"
)

// listStateOf returns a report that contains what c reports of the list of targets.
func listStateOf(c *control, now time.Time) *mesh.Message {
	m := &mesh.Message{Instance: "reader"}
	c.addListState(now, m)
	return m
}

// Guards against a stale list of targets that entries keep reporting to each other as
// current, because the reported age does not include the time in transit of each hop.
// A target then got work 4,284 ms after it had left.
func TestListLearnedFromOthersIsNotPassedOn(t *testing.T) {
	c := newControl(&gatewayProcess{rollout: bundle.NewRollout(state.Signers{}), origins: origin.New(time.Now(), true)})
	now := time.Now()
	c.listHash = 7
	c.onListReport(&mesh.Message{Instance: "reader", ListAgeMillis: 10, ListHash: 7})
	if c.listCurrentAt.IsZero() || c.listCurrentAt.After(now) {
		t.Fatalf("the list is current at %v, want shortly before %v", c.listCurrentAt, now)
	}
	if m := listStateOf(c, now); m.ListHash != 0 {
		t.Errorf("age %d and hash %d are reported for a list that was not read here", m.ListAgeMillis, m.ListHash)
	}
	c.listReadAt = now
	if m := listStateOf(c, now); m.ListHash != 7 {
		t.Errorf("hash %d is reported for a list that was read here, want 7", m.ListHash)
	}
	c.hasPendingRemovals = true
	if m := listStateOf(c, now); m.ListHash != 0 {
		t.Error("a list with pending removals is reported as current; targets that left would get work")
	}
	c.hasPendingRemovals = false
	if m := listStateOf(c, now.Add(2*maxListAge)); m.ListHash != 0 {
		t.Error("a list that was read long ago is reported as current")
	}
}

// Guards against fetching the list from an entry whose list is older.
func TestNewerListIsFetched(t *testing.T) {
	c := newControl(&gatewayProcess{rollout: bundle.NewRollout(state.Signers{}), origins: origin.New(time.Now(), true)})
	c.listHash, c.listCurrentAt = 7, time.Now()
	c.onListReport(&mesh.Message{Instance: "old", ListAgeMillis: 5000, ListHash: 8})
	select {
	case from := <-c.fetchRequests:
		t.Fatalf("an older list is fetched from %s", from)
	default:
	}
	c.listCurrentAt = time.Now().Add(-time.Second)
	c.onListReport(&mesh.Message{Instance: "reader", ListAgeMillis: 10, ListHash: 8})
	select {
	case from := <-c.fetchRequests:
		if from != "reader" {
			t.Errorf("the list is fetched from %s, want reader", from)
		}
	default:
		t.Error("a newer list is not fetched")
	}
}

// controlWithList returns a control that has published a list of the records.
func controlWithList(now time.Time, records ...state.TargetRecord) *control {
	p := &gatewayProcess{
		log: zap.NewNop(), targetClient: upstream.New(), gateway: gateway.New(gateway.Config{Origins: origin.New(time.Now(), true)}), quota: quota.New(quota.Config{}), rollout: bundle.NewRollout(state.Signers{}),
	}
	p.scheduler, p.origins = dispatch.New("a", 1, time.Now, p, ratelimit.New(ratelimit.Config{Self: "self"})), origin.New(now, true)
	c := newControl(p)
	for _, r := range records {
		c.list.Put(r)
	}
	c.publish(now)
	return c
}

// Guards against a fetch of the whole list by every entry after each change. With
// hundreds of entries, the fetches saturate the link of the entry that read the list.
func TestChangeOfListIsAppliedWithoutFetch(t *testing.T) {
	now := time.Now()
	records := []state.TargetRecord{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}
	reader, follower := controlWithList(now, records...), controlWithList(now, records...)
	if reader.listHash != follower.listHash {
		t.Fatal("equal lists have unequal hashes")
	}
	reader.listReadAt = now
	reader.list.Remove(now, "a")
	reader.list.Put(state.TargetRecord{ID: "b", Service: "s", Draining: true})
	reader.list.Put(state.TargetRecord{ID: "d", Service: "s"})
	reader.publish(now)
	m := listStateOf(reader, now)
	follower.onListReport(m)
	select {
	case apply := <-follower.events:
		apply(now)
	case from := <-follower.fetchRequests:
		t.Fatalf("the list is fetched from %s", from)
	}
	if d := cmp.Diff(reader.targets(), follower.targets()); d != "" {
		t.Errorf("the follower's list differs: %s", d)
	}
	if follower.listHash != reader.listHash {
		t.Error("the follower's hash differs")
	}
}

// Guards against applying a change to a list other than the one it is based on, which
// would keep a target that has left.
func TestChangeOfAnotherListIsNotApplied(t *testing.T) {
	now := time.Now()
	a, b := state.TargetRecord{ID: "a", Service: "s"}, state.TargetRecord{ID: "b", Service: "s"}
	reader, follower := controlWithList(now, a, b), controlWithList(now, a)
	reader.listReadAt = now
	reader.list.Remove(now, "b")
	reader.list.Put(state.TargetRecord{ID: "c"})
	reader.publish(now)
	follower.onListReport(listStateOf(reader, now))
	select {
	case <-follower.events:
		t.Error("a change that is based on another list is applied")
	case <-follower.fetchRequests:
	}
}

// Guards against an entry that keeps an old configuration, for 11 s in one case,
// because the store does not answer its read, and against fetches by all entries while
// the store is delivering a new configuration.
func TestNewerConfigurationElsewhereIsFetched(t *testing.T) {
	p := &gatewayProcess{log: zap.NewNop(), origins: origin.New(time.Now(), true), gateway: gateway.New(gateway.Config{Origins: origin.New(time.Now(), true)}), quota: quota.New(quota.Config{})}
	p.gateway.SetConfiguration(&state.Configuration{Version: 7})
	c := newControl(p)
	now := time.Now()
	fetchRequested := func() bool {
		select {
		case <-c.fetchRequests:
			return true
		default:
			return false
		}
	}
	c.onConfigurationReport(now, "a", 8)
	if fetchRequested() {
		t.Error("the configuration is fetched at once")
	}
	now = now.Add(configurationFetchDelay)
	c.onConfigurationReport(now, "old", 6)
	c.onConfigurationReport(now, "behind as well", 7)
	if fetchRequested() {
		t.Error("an older configuration is fetched")
	}
	c.onConfigurationReport(now, "a", 8)
	if !fetchRequested() {
		t.Error("the configuration is not fetched although the store does not deliver it")
	}
	c.onConfigurationReport(now.Add(minVersionFetchInterval/2), "a", 8)
	if fetchRequested() {
		t.Error("the configuration is fetched again before minVersionFetchInterval has passed")
	}
	p.gateway.SetConfiguration(&state.Configuration{Version: 8})
	c.onConfigurationReport(now, "a", 8)
	now = now.Add(2 * minVersionFetchInterval)
	c.onConfigurationReport(now, "a", 9)
	if fetchRequested() {
		t.Error("the next configuration is fetched at once")
	}
}

// Guards against adopting a list in which the removal of a target is still pending,
// which would bring back a target that this entry knows to be gone, and against an
// entry that starts and gets no targets because all lists have pending removals.
func TestListWithPendingRemovalsIsAdoptedOnlyByEntriesWithoutTargets(t *testing.T) {
	now := time.Now()
	a, b := state.TargetRecord{ID: "a", Service: "s"}, state.TargetRecord{ID: "b", Service: "s"}
	lister := controlWithList(now, a, b)
	lister.listCurrentAt, lister.hasPendingRemovals = now, true
	s := lister.snapshot()
	withTargets, withoutTargets := controlWithList(now, a), controlWithList(now)
	for _, c := range []*control{withTargets, withoutTargets} {
		c.adoptSnapshot(now, &s, netip.AddrPort{})
	}
	if n := withTargets.targetCount(); n != 1 {
		t.Errorf("%d targets at an entry that knows one, want 1", n)
	}
	if n := withoutTargets.targetCount(); n != 2 {
		t.Errorf("%d targets at an entry without any, want 2", n)
	}
}

// Guards against a stop that never ends: what asks or tells the goroutine of events waited for it
// although it had ended.
func TestEventsAfterTheEndOfTheLoop(t *testing.T) {
	c := newControl(&gatewayProcess{rollout: bundle.NewRollout(state.Signers{}), origins: origin.New(time.Now(), true)})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.loop(ctx); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.needsFetch()
		for range 2 * cap(c.events) {
			c.post(func(time.Time) {})
		}
	}()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Error("still waits for the goroutine of events after it has ended")
	}
}
