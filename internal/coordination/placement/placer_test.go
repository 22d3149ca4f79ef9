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
	state.SetViolationHandler(func(inv state.Invariant, detail string) { panic(string(inv) + ": " + detail) })
	os.Exit(m.Run())
}

// rig runs one Placer in a synctest bubble.
type rig struct {
	t *testing.T
	*Placer
	seq uint64
}

// startPlacer runs a Placer until the test ends and gives it the members.
func startPlacer(t *testing.T, entry state.InstanceID, members []state.Member, c Connector) *rig {
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

// usePolicy applies one of the built-in policies to all requests.
func (r *rig) usePolicy(name string) {
	r.t.Helper()
	b := &state.Bundle{Policies: BuiltInPolicies(), Split: []state.PolicyShare{{Policy: name, Share: 1}}}
	if err := r.SetBundle(b); err != nil {
		r.t.Fatal(err)
	}
}

// query returns a query for a new request whose prompt has the given blocks.
func (r *rig) query(blocks ...uint64) Query {
	r.seq++
	req := &state.Request{
		ID: state.RequestID(fmt.Sprintf("%s-%d", r.cfg.Entry, r.seq)), Kind: state.ChatCompletion, Service: testService,
		Tier: 1, Idempotent: true, PromptTokens: max(200, len(blocks)*blockTokens), MaxTokens: 100,
	}
	return Query{Request: req, Blocks: blocks, Now: time.Now()}
}

// placeAndSend places a query and reports an attempt at the chosen target as sent.
func (r *rig) placeAndSend(q Query) (state.TargetID, state.AttemptID) {
	r.t.Helper()
	d, ok := r.Place(q)
	if !ok {
		r.t.Fatalf("query not placed: %s", d.Reason)
	}
	a := state.AttemptID{Entry: r.cfg.Entry, Session: 1, Seq: r.seq}
	r.AttemptSent(d.Target, a, q.Request, q.Blocks)
	return d.Target, a
}

// testMembers returns side processes of the given number of targets, all of one
// service and failure domain, and entries.
func testMembers(targets, entries int) []state.Member {
	var out []state.Member
	for i := range targets {
		out = append(out, state.Member{
			Instance: state.InstanceID(fmt.Sprintf("side-%d", i)), Role: state.SideRole, Domain: "tema-a",
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Target: engineID(i), Service: testService,
		})
	}
	for i := range entries {
		out = append(out, state.Member{Instance: state.InstanceID(fmt.Sprintf("entry-%d", i)), Role: state.EntryRole})
	}
	return out
}

func engineID(i int) state.TargetID { return state.TargetID(fmt.Sprintf("engine-%02d", i)) }

// idleFigures returns the figures of an idle target with the given decode rate in
// tokens per second.
func idleFigures(decodeRate float64) *state.LoadFigures {
	return &state.LoadFigures{Taken: time.Now(), Window: 8, QueueLimit: 64, PrefillRate: 10 * decodeRate, DecodeRate: decodeRate, LowestQueued: state.NoTier}
}

// Guards against uneven placement while nothing is known about the targets: all
// requests on one target, or none on a target without a session.
func TestPlaceUnknownTargets(t *testing.T) {
	for _, policy := range []string{PolicyRoundRobin, PolicyCost} {
		synctest.Test(t, func(t *testing.T) {
			r := startPlacer(t, "entry-0", testMembers(4, 1), nil)
			r.usePolicy(policy)
			count := map[state.TargetID]int{}
			for range 40 {
				target, _ := r.placeAndSend(r.query())
				count[target]++
			}
			for i := range 4 {
				if n := count[engineID(i)]; n < 5 || n > 15 {
					t.Errorf("%s: %s received %d of 40 requests, want 5 to 15", policy, engineID(i), n)
				}
			}
		})
	}
}
