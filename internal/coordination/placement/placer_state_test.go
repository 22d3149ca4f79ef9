package placement

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// recorder is a Connector that counts its calls by target.
type recorder struct {
	connectCalls, forgetCalls map[state.TargetID]int
	onForget                  func(target state.TargetID) // called by Forget unless nil
}

func newRecorder() *recorder {
	return &recorder{connectCalls: map[state.TargetID]int{}, forgetCalls: map[state.TargetID]int{}}
}
func (c *recorder) SetAddress(state.Member, bool) {}
func (c *recorder) Connect(target state.TargetID) { c.connectCalls[target]++ }
func (c *recorder) Forget(target state.TargetID) {
	c.forgetCalls[target]++
	if c.onForget != nil {
		c.onForget(target)
	}
}

// Guards against sessions to every target, against a subset that does not prefer the
// entry's own failure domain, and against a lost session that is never reopened.
func TestSubsetSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := testMembers(60, 1)
		for i := range 50 {
			members[i].Domain = "tema-b"
		}
		c := newRecorder()
		r := startPlacer(t, "entry-0", members, c)
		if len(c.connectCalls) != subsetSize {
			t.Fatalf("%d sessions asked for, want %d", len(c.connectCalls), subsetSize)
		}
		for i := 50; i < 60; i++ {
			if c.connectCalls[engineID(i)] != 1 {
				t.Errorf("no session asked for to %s in the entry's own failure domain", engineID(i))
			}
		}
		for id := range c.connectCalls {
			r.SessionOpened(id, 1, nil)
		}
		synctest.Wait()
		r.SessionLost(engineID(55), errors.New("silent"))
		time.Sleep(3 * minBackoff)
		synctest.Wait()
		if len(c.connectCalls) != subsetSize+1 || c.connectCalls[engineID(55)] < 2 {
			t.Errorf("sessions to %d targets asked for, to the lost one %d times; want a replacement and a retry", len(c.connectCalls), c.connectCalls[engineID(55)])
		}
		r.SetMembers(members[:59])
		synctest.Wait()
		if c.forgetCalls[engineID(59)] != 1 {
			t.Errorf("a target that is no longer in the list was not forgotten")
		}
	})
}

// Guards against a target that receives no work after it has left and was restarted
// in place: only a session shows its new incarnation, so one must be asked for.
func TestRestartedTargetIsReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := startPlacer(t, "entry-0", testMembers(2, 1), c)
		r.SessionOpened(engineID(0), 1, nil)
		r.TargetLeaving(engineID(0))
		time.Sleep(time.Minute)
		synctest.Wait()
		asked := c.connectCalls[engineID(0)]
		if asked != 1 {
			t.Errorf("%d sessions asked for, want 1, since that session is still open", asked)
		}
		r.SessionLost(engineID(0), errors.New("process ended"))
		time.Sleep(maxBackoff)
		synctest.Wait()
		if c.connectCalls[engineID(0)] == asked {
			t.Fatal("no session was asked for after the process had ended")
		}
		r.SessionOpened(engineID(0), 2, nil)
		r.TargetLeaving(engineID(1))
		synctest.Wait()
		if target, _ := r.placeAndSend(r.query()); target != engineID(0) {
			t.Errorf("placed on %s", target)
		}
	})
}

// Guards against a deadlock between the owner and a connector that reports a lost
// session while the owner calls it, and against an unbounded number of waiting load
// reports.
func TestMailboxNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := startPlacer(t, "entry-0", testMembers(2*dropThreshold, 1), c)
		c.onForget = func(target state.TargetID) { r.SessionLost(target, errors.New("forgotten")) }
		r.SetMembers(testMembers(1, 1))
		synctest.Wait()
		if target, _ := r.placeAndSend(r.query()); target != engineID(0) {
			t.Errorf("placed on %s", target)
		}
	})
	m := newMailbox()
	for range 2 * dropThreshold {
		m.put(statusEvent{}, true)
	}
	m.put(attemptEndedEvent{}, false)
	if n := len(m.takeAll()); n != dropThreshold+1 {
		t.Errorf("%d events kept, want %d", n, dropThreshold+1)
	}
}

// Guards against affinity targets outside the subset to which no session is opened.
func TestAffinityTargetsConnectedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := startPlacer(t, "entry-0", testMembers(300, 1), c)
		r.usePolicy(PolicyPrefixAffinity)
		r.Place(r.query(1, 2, 3))
		for prefix := range uint64(5) {
			blocks := make([]uint64, affinityPrefixBlocks)
			blocks[affinityPrefixBlocks-1] = prefix
			r.Place(r.query(blocks...))
		}
		synctest.Wait()
		if n := len(c.connectCalls); n <= subsetSize || n > subsetSize+5*affinityTargetCount {
			t.Errorf("%d sessions asked for, want %d for the subset and 1 to %d for the prompts", n, subsetSize, 5*affinityTargetCount)
		}
	})
}

// BenchmarkPlace measures one placement of a prompt of 16,000 tokens among 600
// targets.
func BenchmarkPlace(b *testing.B) {
	p := New(Config{Entry: "entry-0", Seed: 1})
	p.owner.apply(membersEvent{members: testMembers(600, 380)})
	blocks := make([]uint64, 250)
	for i := range blocks {
		blocks[i] = uint64(i)
	}
	p.prefixes.add(engineID(1), blocks)
	q := Query{Request: &state.Request{ID: "r", Service: testService, PromptTokens: 16000}, Blocks: blocks, Now: time.Now()}
	for b.Loop() {
		p.Place(q)
	}
}

// Guards against an invalid policy that replaces a valid one.
func TestInvalidPolicyKeepsEarlier(t *testing.T) {
	p := New(Config{Entry: "entry-0"})
	valid := state.PlacementPolicy{Picker: "best"}
	if err := p.SetBundle(&state.Bundle{Policies: map[string]state.PlacementPolicy{"mine": valid}, Split: []state.PolicyShare{{Policy: "mine", Share: 1}}}); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []state.PlacementPolicy{
		{Picker: "none"},
		{Picker: "best", Filters: []string{"none"}},
		{Picker: "best", Scorers: []state.WeightedScorer{{Name: "none", Weight: 1}}},
		{Picker: "best", Scorers: []state.WeightedScorer{{Name: "predicted-delay", Weight: -1}}},
	} {
		b := &state.Bundle{
			Policies: map[string]state.PlacementPolicy{"mine": bad, "other": bad},
			Split:    []state.PolicyShare{{Policy: "other", Share: 1}},
		}
		if err := p.SetBundle(b); err == nil {
			t.Errorf("%+v: no error", bad)
		}
		set := p.policies.Load()
		if got := set.forRequest("r"); got.name != "mine" || got.pickerName != "best" {
			t.Errorf("%+v: policy %q with picker %q is in effect", bad, got.name, got.pickerName)
		}
	}
}

// Guards against a split of the requests that differs from the shares in the bundle.
func TestSplitFollowsShares(t *testing.T) {
	p := New(Config{Entry: "entry-0"})
	b := &state.Bundle{Policies: BuiltInPolicies(), Split: []state.PolicyShare{{Policy: PolicyCost, Share: 3}, {Policy: PolicyRoundRobin, Share: 1}}}
	if err := p.SetBundle(b); err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	for i := range 4000 {
		got[p.policies.Load().forRequest(state.RequestID(fmt.Sprint(i))).name]++
	}
	if diff := cmp.Diff(map[string]int{PolicyCost: 3000, PolicyRoundRobin: 1000}, got, within(120)); diff != "" {
		t.Errorf("requests by policy (-want +got):\n%s", diff)
	}
}

// Guards against an index that grows without bound, keeps evicted blocks, or counts
// blocks after the first missing one.
func TestPrefixIndex(t *testing.T) {
	x := newPrefixIndex(6)
	x.add("a", []uint64{1, 2, 3, 4})
	x.add("b", []uint64{1, 2})
	check := func(want map[state.TargetID]int, blocks ...uint64) {
		t.Helper()
		if diff := cmp.Diff(want, x.lookup(blocks)); diff != "" {
			t.Errorf("%v (-want +got):\n%s", blocks, diff)
		}
	}
	check(map[state.TargetID]int{"a": 4, "b": 2}, 1, 2, 3, 4, 5)
	x.remove("a", []uint64{2})
	check(map[state.TargetID]int{"a": 1, "b": 2}, 1, 2, 3, 4)
	x.add("c", []uint64{11, 12, 13, 14})
	check(map[state.TargetID]int{"a": 1, "b": 2}, 1, 2, 3)
	check(map[state.TargetID]int{"c": 4}, 11, 12, 13, 14)
	if len(x.blocks) != 6 || x.lru.Len() != 6 {
		t.Errorf("%d blocks and %d entries in the LRU list, want 6 of each", len(x.blocks), x.lru.Len())
	}
}

// Guards against predictions that rely on cached prefixes that the engine has
// evicted.
func TestCacheTrustFollowsUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startPlacer(t, "entry-0", testMembers(1, 1), nil)
		blocks := []uint64{1, 2, 3, 4}
		for range 20 {
			target, attempt := r.placeAndSend(r.query(blocks...))
			r.AttemptEnded(target, attempt, Outcome{Complete: true})
		}
		r.FiguresReceived(engineID(0), idleFigures(100))
		synctest.Wait()
		if got := r.snapshot.Load().targets[engineID(0)].cacheTrust; got != minCacheTrust {
			t.Errorf("cache trust %.2f after 20 responses without cached tokens, want %.2f", got, minCacheTrust)
		}
	})
}
