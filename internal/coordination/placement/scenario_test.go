package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// simEngine models an engine as a backlog of output tokens that it processes at a
// constant rate.
type simEngine struct {
	decodeRate    float64 // tokens per second
	backlogTokens float64
}

func (e *simEngine) figures() *state.LoadFigures {
	f := idleFigures(e.decodeRate)
	f.RunningCount = min(f.Window, int(e.backlogTokens/100)+1)
	f.RunningTokens = int(min(e.backlogTokens, float64(f.Window)*100))
	f.QueuedTokens[1] = int(e.backlogTokens) - f.RunningTokens
	f.QueuedCount[1] = f.QueuedTokens[1] / 100
	return f
}

// Guards against an engine that becomes slower and still receives as many requests
// as before.
func TestSlowedEngineReceivesLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 4
		r := startPlacer(t, "entry-0", testMembers(n, 1), nil)
		var sims [n]simEngine
		for i := range sims {
			sims[i].decodeRate = 1000
		}
		const step = 50 * time.Millisecond // one request of 100 tokens per step: half of the total rate
		run := func(d time.Duration) (counts [n]int) {
			for at := time.Duration(0); at < d; at += step {
				for i := range sims {
					sims[i].backlogTokens = max(0, sims[i].backlogTokens-sims[i].decodeRate*step.Seconds())
					if at%(10*step) == 0 {
						r.FiguresReceived(engineID(i), sims[i].figures())
					}
				}
				synctest.Wait()
				target, _ := r.placeAndSend(r.query())
				for i := range sims {
					if target == engineID(i) {
						sims[i].backlogTokens += 100
						counts[i]++
					}
				}
				time.Sleep(step)
			}
			return counts
		}
		before := run(20 * time.Second)
		for i, c := range before {
			if c < 60 || c > 140 {
				t.Errorf("before it slowed: %s received %d of 400 requests, want 60 to 140", engineID(i), c)
			}
		}
		sims[0].decodeRate /= 5
		run(2 * time.Second)
		after := run(20 * time.Second)
		// Its share by token rate is 200 of 3,200 tokens/s, that is 25 of 400 requests.
		if after[0] > 2*25 {
			t.Errorf("after it slowed: the engine received %d of 400 requests, want at most 50", after[0])
		}
		t.Logf("requests by engine before %v, after %v", before, after)
	})
}

// Guards against herding, in which all entries choose the target that looks best in
// the same stale figures.
func TestNoHerdingOnStaleFigures(t *testing.T) {
	decodeRates := []float64{400, 400, 600, 600, 800, 800, 1000, 1000, 1200, 1200}
	for name, load := range map[string]func(i int) int{
		"idle":      func(int) int { return 0 },
		"even load": func(i int) int { return int(decodeRates[i]) },
		"one is idle": func(i int) int {
			if i == 0 {
				return 0
			}
			return int(decodeRates[i] / 4)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			const placers, each = 8, 100
			count := map[state.TargetID]int{}
			for k := range placers {
				r := startPlacer(t, state.InstanceID(fmt.Sprintf("entry-%d", k)), testMembers(len(decodeRates), placers), nil)
				for i, decodeRate := range decodeRates {
					f := idleFigures(decodeRate)
					f.RunningCount, f.RunningTokens = f.Window, load(i)
					r.FiguresReceived(engineID(i), f)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				for range each {
					target, _ := r.placeAndSend(r.query())
					count[target]++
				}
			}
			total := 0.0
			for _, s := range decodeRates {
				total += s
			}
			for i, s := range decodeRates {
				fair := placers * each * s / total
				if n := count[engineID(i)]; float64(n) > 2*fair {
					t.Errorf("%s: %s received %d requests, want at most twice its fair share of %.0f", name, engineID(i), n, fair)
				}
			}
			t.Logf("%s: %v", name, count)
		})
	}
}

// Guards against entries that send prompts with the same prefix to different
// targets, so that each target caches its own copy.
func TestPrefixAffinityAgreesBetweenEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startPlacer(t, "entry-0", testMembers(10, 2), nil)
		b := startPlacer(t, "entry-1", testMembers(10, 2), nil)
		a.usePolicy(PolicyPrefixAffinity)
		b.usePolicy(PolicyPrefixAffinity)
		used := map[state.TargetID]bool{}
		for prefix := range uint64(20) {
			blocks := make([]uint64, affinityPrefixBlocks+2)
			for i := range blocks {
				blocks[i] = prefix*100 + uint64(i)
			}
			prefixTargets := map[state.TargetID]bool{}
			for _, r := range []*rig{a, b, a, b} {
				blocks[affinityPrefixBlocks+1] = r.seq + 1e6 // the prompts differ at the end
				target, attempt := r.placeAndSend(r.query(blocks...))
				r.AttemptEnded(target, attempt, Outcome{Complete: true, Usage: state.Usage{CachedTokens: 9 * blockTokens}})
				synctest.Wait() // the owner has counted the end, so that targets do not look overloaded
				prefixTargets[target] = true
				used[target] = true
			}
			if len(prefixTargets) > affinityTargetCount {
				t.Errorf("prefix %d went to %d targets", prefix, len(prefixTargets))
			}
		}
		if len(used) < 6 {
			t.Errorf("20 prefixes used only %d of 10 targets", len(used))
		}
	})
}

// Guards against new work for a leaving target, whichever source reports that it is
// leaving, and against a target that receives no work after it has restarted.
func TestLeavingTargetGetsNothing(t *testing.T) {
	members := testMembers(3, 1)
	membersLeaving := testMembers(3, 1)
	membersLeaving[0].Leaving = true
	for name, leave := range map[string]func(r *rig){
		"message": func(r *rig) { r.TargetLeaving(engineID(0)) },
		"status":  func(r *rig) { r.StatusReceived(engineID(0), &state.Status{Leaving: true, Figures: *idleFigures(5000)}) },
		"list":    func(r *rig) { r.SetMembers(membersLeaving) },
		"refusal": func(r *rig) {
			r.AttemptEnded(engineID(0), state.AttemptID{}, Outcome{NotRun: true, Reason: state.ReasonLeaving})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := startPlacer(t, "entry-0", members, nil)
			r.SessionOpened(engineID(0), 1, &state.Status{Figures: *idleFigures(1000)})
			synctest.Wait()
			leave(r)
			if name == "status" || name == "list" {
				synctest.Wait()
			}
			for range 60 {
				if target, _ := r.placeAndSend(r.query()); target == engineID(0) {
					t.Fatalf("%s: the leaving target received a request", name)
				}
			}
			time.Sleep(time.Minute)
			r.SetMembers(members)
			r.SessionOpened(engineID(0), 2, &state.Status{Figures: *idleFigures(5000)})
			synctest.Wait()
			if target, _ := r.placeAndSend(r.query()); target != engineID(0) {
				t.Errorf("%s: the restarted target did not receive the next request", name)
			}
		})
	}
}

// Guards against an ejected target that receives more than one probe at a time, or
// none at all, and against a backoff that does not grow.
func TestEjectedTargetGetsOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startPlacer(t, "entry-0", testMembers(2, 1), nil)
		unknown := Outcome{Unknown: true, Reason: state.ReasonTargetSilent}
		for i := range unknownOutcomesToEject {
			q := r.query()
			q.Tried = map[state.TargetID]state.Reason{engineID(1): state.ReasonQueueFull}
			target, attempt := r.placeAndSend(q)
			r.AttemptEnded(target, attempt, unknown)
			synctest.Wait()
			if target != engineID(0) {
				t.Fatalf("attempt %d went to %s", i, target)
			}
		}
		checkProbes := func(n int) (last state.AttemptID) {
			t.Helper()
			got := 0
			for range 20 {
				if target, attempt := r.placeAndSend(r.query()); target == engineID(0) {
					got, last = got+1, attempt
				}
			}
			if got != n {
				t.Fatalf("the ejected target received %d requests, want %d", got, n)
			}
			return last
		}
		checkProbes(0)
		time.Sleep(minBackoff)
		q := r.query()
		q.Request.Idempotent = false
		if target, _ := r.placeAndSend(q); target != engineID(1) {
			t.Errorf("a non-idempotent request was used as a probe although another target is healthy")
		}
		probe := checkProbes(1)
		r.AttemptEnded(engineID(0), probe, unknown)
		synctest.Wait()
		time.Sleep(minBackoff)
		checkProbes(0)
		time.Sleep(minBackoff)
		probe = checkProbes(1)
		r.AttemptEnded(engineID(0), probe, Outcome{Complete: true})
		synctest.Wait()
		if target, _ := r.placeAndSend(r.query()); target != engineID(0) {
			t.Errorf("the target did not receive the next request after a successful probe")
		}
	})
}

// Guards against counters that become wrong: an attempt that is still counted after
// figures that include it or after its end, or that is subtracted twice.
func TestCountersDropReportedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startPlacer(t, "entry-0", testMembers(1, 1), nil)
		checkCounted := func(want int64) {
			t.Helper()
			synctest.Wait()
			if got := r.snapshot.Load().targets[engineID(0)].shared.requests.Load(); got != want {
				t.Fatalf("%d attempts counted, want %d", got, want)
			}
		}
		_, first := r.placeAndSend(r.query())
		_, second := r.placeAndSend(r.query())
		checkCounted(2)
		r.AttemptEnded(engineID(0), first, Outcome{NotRun: true})
		checkCounted(1)
		time.Sleep(minIncludedAge)
		_, third := r.placeAndSend(r.query())
		r.FiguresReceived(engineID(0), idleFigures(100))
		checkCounted(1) // the third attempt may have been sent after the figures were taken
		r.AttemptEnded(engineID(0), second, Outcome{Complete: true})
		r.AttemptEnded(engineID(0), third, Outcome{Complete: true})
		r.AttemptEnded(engineID(0), third, Outcome{Complete: true})
		checkCounted(0)
	})
}

// Guards against an entry that sheds a request while a target has queued work of a
// lower tier or room, or has sent no recent figures.
func TestTargetsWithRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startPlacer(t, "entry-0", testMembers(5, 1), nil)
		report := func(i, lowest int) {
			f := idleFigures(100)
			f.RunningCount, f.QueueLimit, f.LowestQueued = f.Window, 4, state.Tier(lowest)
			f.QueuedCount[lowest] = 4
			r.FiguresReceived(engineID(i), f)
		}
		report(4, 1)
		synctest.Wait()
		time.Sleep(figuresLifetime + 1)
		report(0, 1)
		report(1, 2)
		report(2, 3)
		r.FiguresReceived(engineID(3), idleFigures(100))
		synctest.Wait()
		q := r.query()
		q.Tried = map[state.TargetID]state.Reason{engineID(2): state.ReasonQueueFull}
		want := []state.TargetID{engineID(1), engineID(3), engineID(4)}
		if diff := cmp.Diff(want, r.TargetsWithRoom(q, 1)); diff != "" {
			t.Errorf("tier 1 (-want +got):\n%s", diff)
		}
	})
}

// Guards against a target that is avoided for ever because its last figures showed
// load or low rates. An idle session brings no new figures to replace them.
func TestOldFiguresExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startPlacer(t, "entry-0", testMembers(2, 1), nil)
		f := idleFigures(10)
		f.RunningCount, f.RunningTokens = f.Window, 10000
		r.FiguresReceived(engineID(0), f)
		r.FiguresReceived(engineID(1), idleFigures(1000))
		received := func() (n int) {
			synctest.Wait()
			for range 20 {
				target, attempt := r.placeAndSend(r.query())
				r.AttemptEnded(target, attempt, Outcome{Complete: true})
				synctest.Wait()
				if target == engineID(0) {
					n++
				}
			}
			return n
		}
		if n := received(); n != 0 {
			t.Errorf("the loaded target received %d of 20 requests, want none", n)
		}
		time.Sleep(ratesLifetime + time.Second)
		if n := received(); n == 0 {
			t.Errorf("the target received nothing after its figures had expired")
		}
	})
}

// Guards against queued attempts that stay on a slowed engine, because the entry
// withdraws them only when CompareWaits predicts an earlier start elsewhere.
func TestCompareWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startPlacer(t, "entry-0", testMembers(2, 1), nil)
		f := idleFigures(100)
		f.RunningCount, f.RunningTokens, f.QueuedTokens[1] = f.Window, 800, 1000
		r.FiguresReceived(engineID(0), f)
		r.FiguresReceived(engineID(1), idleFigures(1000))
		synctest.Wait()
		best, current, ok := r.CompareWaits(engineID(0), r.query())
		if !ok || current < 2*best+200*time.Millisecond {
			t.Errorf("best %v, current %v, ok %v: want the queued attempt to be worth moving", best, current, ok)
		}
		best, current, ok = r.CompareWaits(engineID(1), r.query())
		if !ok || current > best {
			t.Errorf("best %v, current %v, ok %v: want the attempt to stay", best, current, ok)
		}
	})
}
