package placement

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const testService = state.Service("plan-llm")

func TestMain(m *testing.M) {
	state.OnViolation(func(inv state.Invariant, detail string) { panic(string(inv) + ": " + detail) })
	os.Exit(m.Run())
}

// rig runs one Placer in a synctest bubble.
type rig struct {
	t *testing.T
	*Placer
	seq uint64
}

func start(t *testing.T, entry state.InstanceID, members []state.Member, c Connector) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	p := New(Config{Entry: entry, Domain: "tema-a", Seed: 7, Connector: c})
	go p.Run(ctx)
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	p.SetMembers(members)
	synctest.Wait()
	return &rig{t: t, Placer: p}
}

// usePolicy sends all traffic to one of the policies shipped.
func (r *rig) usePolicy(name string) {
	r.t.Helper()
	b := &state.Bundle{Policies: Shipped(), Split: []state.PolicyShare{{Policy: name, Share: 1}}}
	if err := r.SetBundle(b); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) query(blocks ...uint64) Query {
	r.seq++
	req := &state.Request{
		ID: state.RequestID(fmt.Sprintf("%s-%d", r.cfg.Entry, r.seq)), Kind: state.ChatCompletion, Service: testService,
		Tier: 1, Idempotent: true, PromptTokens: max(200, len(blocks)*blockTokens), MaxTokens: 100,
	}
	return Query{Request: req, Blocks: blocks, Now: time.Now()}
}

// send places a query and reports it as sent.
func (r *rig) send(q Query) (state.TargetID, state.AttemptID) {
	r.t.Helper()
	d, ok := r.Place(q)
	if !ok {
		r.t.Fatalf("not placed: %s", d.Reason)
	}
	a := state.AttemptID{Entry: r.cfg.Entry, Session: 1, Seq: r.seq}
	r.Sent(d.Target, a, q.Request, q.Blocks)
	return d.Target, a
}

func engines(n, entries int) []state.Member {
	var out []state.Member
	for i := range n {
		out = append(out, state.Member{
			Instance: state.InstanceID(fmt.Sprintf("side-%d", i)), Role: state.SideRole, Domain: "tema-a",
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Target: engine(i), Service: testService,
		})
	}
	for i := range entries {
		out = append(out, state.Member{Instance: state.InstanceID(fmt.Sprintf("entry-%d", i)), Role: state.EntryRole})
	}
	return out
}

func engine(i int) state.TargetID { return state.TargetID(fmt.Sprintf("engine-%02d", i)) }

func idleFigures(decode float64) *state.Figures {
	return &state.Figures{Taken: time.Now(), Window: 8, QueueLimit: 64, PrefillRate: 10 * decode, DecodeRate: decode, LowestQueued: state.NoTier}
}

// Guards against an entry that sends everything to one target, or to a target
// without a session never.
func TestPlaceUnknownTargets(t *testing.T) {
	for _, policy := range []string{RoundRobin, Cost} {
		synctest.Test(t, func(t *testing.T) {
			r := start(t, "entry-0", engines(4, 1), nil)
			r.usePolicy(policy)
			count := map[state.TargetID]int{}
			for range 40 {
				target, _ := r.send(r.query())
				count[target]++
			}
			for i := range 4 {
				if n := count[engine(i)]; n < 5 || n > 15 {
					t.Errorf("%s: %s received %d of 40 requests, want 5 to 15", policy, engine(i), n)
				}
			}
		})
	}
}
