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

// recorder is a Connector that records the sessions asked for.
type recorder struct {
	connected, forgotten map[state.TargetID]int
	onForget             func(target state.TargetID)
}

func newRecorder() *recorder {
	return &recorder{connected: map[state.TargetID]int{}, forgotten: map[state.TargetID]int{}}
}
func (c *recorder) SetAddress(state.Member, bool) {}
func (c *recorder) Connect(target state.TargetID) { c.connected[target]++ }
func (c *recorder) Forget(target state.TargetID) {
	c.forgotten[target]++
	if c.onForget != nil {
		c.onForget(target)
	}
}

// Guards against sessions to every target, against a subset that prefers other
// failure domains, and against a lost session that is never opened again.
func TestSubsetSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := engines(60, 1)
		for i := range 50 {
			members[i].Domain = "tema-b"
		}
		c := newRecorder()
		r := start(t, "entry-0", members, c)
		if len(c.connected) != subsetSize {
			t.Fatalf("%d sessions asked for, want %d", len(c.connected), subsetSize)
		}
		for i := 50; i < 60; i++ {
			if c.connected[engine(i)] != 1 {
				t.Errorf("no session to %s in the own failure domain", engine(i))
			}
		}
		for id := range c.connected {
			r.SessionOpened(id, 1, nil)
		}
		synctest.Wait()
		r.SessionLost(engine(55), errors.New("silent"))
		time.Sleep(3 * firstBackoff)
		synctest.Wait()
		if len(c.connected) != subsetSize+1 || c.connected[engine(55)] < 2 {
			t.Errorf("%d targets asked for, the lost one %d times; want a replacement and a new try", len(c.connected), c.connected[engine(55)])
		}
		r.SetMembers(members[:59])
		synctest.Wait()
		if c.forgotten[engine(59)] != 1 {
			t.Errorf("a target that left the list was not forgotten")
		}
	})
}

// Guards against a target that is restarted in place after it has left and gets
// nothing for ever, since only a session shows its new incarnation.
func TestRestartedTargetIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := start(t, "entry-0", engines(2, 1), c)
		r.SessionOpened(engine(0), 1, nil)
		r.Leaving(engine(0))
		time.Sleep(time.Minute)
		synctest.Wait()
		asked := c.connected[engine(0)]
		if asked != 1 {
			t.Errorf("asked %d times for a session although there is one", asked)
		}
		r.SessionLost(engine(0), errors.New("process ended"))
		time.Sleep(lastBackoff)
		synctest.Wait()
		if c.connected[engine(0)] == asked {
			t.Fatal("no session was asked for after the process had ended")
		}
		r.SessionOpened(engine(0), 2, nil)
		r.Leaving(engine(1))
		synctest.Wait()
		if target, _ := r.send(r.query()); target != engine(0) {
			t.Errorf("placed on %s", target)
		}
	})
}

// Guards against a deadlock of the owner with a connector that reports the
// sessions it closes, and against reports that are kept without bound.
func TestMailboxNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := start(t, "entry-0", engines(2*mailboxLimit, 1), c)
		c.onForget = func(target state.TargetID) { r.SessionLost(target, errors.New("forgotten")) }
		r.SetMembers(engines(1, 1))
		synctest.Wait()
		if target, _ := r.send(r.query()); target != engine(0) {
			t.Errorf("placed on %s", target)
		}
	})
	m := newMailbox()
	for range 2 * mailboxLimit {
		m.put(statusEvent{}, true)
	}
	m.put(endedEvent{}, false)
	if n := len(m.take()); n != mailboxLimit+1 {
		t.Errorf("%d events kept, want %d", n, mailboxLimit+1)
	}
}

// Guards against prompts whose targets by hash are never connected.
func TestAffinityTargetsConnectedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecorder()
		r := start(t, "entry-0", engines(300, 1), c)
		r.usePolicy(PrefixAffinity)
		r.Place(r.query(1, 2, 3))
		for prefix := range uint64(5) {
			blocks := make([]uint64, affinityBlocks)
			blocks[affinityBlocks-1] = prefix
			r.Place(r.query(blocks...))
		}
		synctest.Wait()
		if n := len(c.connected); n <= subsetSize || n > subsetSize+5*affinityCount {
			t.Errorf("%d sessions asked for, want %d and up to %d for the prompts", n, subsetSize, 5*affinityCount)
		}
	})
}

// BenchmarkPlace measures one placement of a prompt of 16,000 tokens among 600
// targets.
func BenchmarkPlace(b *testing.B) {
	p := New(Config{Entry: "entry-0", Seed: 1})
	p.owner.apply(membersEvent{members: engines(600, 380)})
	blocks := make([]uint64, 250)
	for i := range blocks {
		blocks[i] = uint64(i)
	}
	p.prefixes.add(engine(1), blocks)
	q := Query{Request: &state.Request{ID: "r", Service: testService, PromptTokens: 16000}, Blocks: blocks, Now: time.Now()}
	for b.Loop() {
		p.Place(q)
	}
}

// Guards against an invalid policy that takes the place of a valid one.
func TestInvalidPolicyKeepsEarlier(t *testing.T) {
	p := New(Config{Entry: "entry-0"})
	mine := state.PlacementPolicy{Picker: "best"}
	if err := p.SetBundle(&state.Bundle{Policies: map[string]state.PlacementPolicy{"mine": mine}, Split: []state.PolicyShare{{Policy: "mine", Share: 1}}}); err != nil {
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

// Guards against a split that differs from the shares in the bundle.
func TestSplitFollowsShares(t *testing.T) {
	p := New(Config{Entry: "entry-0"})
	b := &state.Bundle{Policies: Shipped(), Split: []state.PolicyShare{{Policy: Cost, Share: 3}, {Policy: RoundRobin, Share: 1}}}
	if err := p.SetBundle(b); err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	for i := range 4000 {
		got[p.policies.Load().forRequest(state.RequestID(fmt.Sprint(i))).name]++
	}
	if diff := cmp.Diff(map[string]int{Cost: 3000, RoundRobin: 1000}, got, within(120)); diff != "" {
		t.Errorf("requests by policy (-want +got):\n%s", diff)
	}
}

// Guards against an index that grows without bound, keeps evicted blocks, or
// counts blocks behind a gap.
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
	if len(x.blocks) != 6 || x.recent.Len() != 6 {
		t.Errorf("%d blocks in %d places, want 6", len(x.blocks), x.recent.Len())
	}
}

// Guards against trust in cached prefixes that the engine has evicted.
func TestCacheTrustFollowsUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t, "entry-0", engines(1, 1), nil)
		blocks := []uint64{1, 2, 3, 4}
		for range 20 {
			target, attempt := r.send(r.query(blocks...))
			r.Ended(target, attempt, Outcome{Complete: true})
		}
		r.Figures(engine(0), idleFigures(100))
		synctest.Wait()
		if got := r.snapshot.Load().targets[engine(0)].cacheTrust; got != leastTrust {
			t.Errorf("trust %.2f after 20 misses, want %.2f", got, leastTrust)
		}
	})
}
