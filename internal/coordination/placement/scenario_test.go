package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// simEngine is the smallest model of an engine that yields figures: a backlog
// of output tokens that drains at a constant speed.
type simEngine struct {
	speed   float64 // tokens per second
	backlog float64
}

func (e *simEngine) figures() *state.Figures {
	f := idleFigures(e.speed)
	f.RunningCount = min(f.Window, int(e.backlog/100)+1)
	f.RunningTokens = int(min(e.backlog, float64(f.Window)*100))
	f.QueuedTokens[1] = int(e.backlog) - f.RunningTokens
	f.QueuedCount[1] = f.QueuedTokens[1] / 100
	return f
}

// Guards against a slowed engine that keeps its share of the traffic.
func TestSlowedEngineLosesShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 4
		r := start(t, "entry-0", engines(n, 1), nil)
		var sims [n]simEngine
		for i := range sims {
			sims[i].speed = 1000
		}
		const step = 50 * time.Millisecond // one request of 100 tokens a step: half of the total speed
		run := func(d time.Duration) (counts [n]int) {
			for at := time.Duration(0); at < d; at += step {
				for i := range sims {
					sims[i].backlog = max(0, sims[i].backlog-sims[i].speed*step.Seconds())
					if at%(10*step) == 0 {
						r.Figures(engine(i), sims[i].figures())
					}
				}
				synctest.Wait()
				target, _ := r.send(r.query())
				for i := range sims {
					if target == engine(i) {
						sims[i].backlog += 100
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
				t.Errorf("before: %s received %d of 400, want 60 to 140", engine(i), c)
			}
		}
		sims[0].speed /= 5
		run(2 * time.Second)
		after := run(20 * time.Second)
		// Its share by speed is 200 of 3,200 tokens/s, 25 of 400 requests.
		if after[0] > 2*25 {
			t.Errorf("after: the slowed engine received %d of 400, want at most 50", after[0])
		}
		t.Logf("requests by engine before %v, after %v", before, after)
	})
}

// Guards against herding: entries that share stale figures all choose the
// target that looks best in them.
func TestNoHerdingOnStaleFigures(t *testing.T) {
	speeds := []float64{400, 400, 600, 600, 800, 800, 1000, 1000, 1200, 1200}
	for name, load := range map[string]func(i int) int{
		"idle":      func(int) int { return 0 },
		"even load": func(i int) int { return int(speeds[i]) },
		"one is idle": func(i int) int {
			if i == 0 {
				return 0
			}
			return int(speeds[i] / 4)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			const placers, each = 8, 100
			count := map[state.TargetID]int{}
			for k := range placers {
				r := start(t, state.InstanceID(fmt.Sprintf("entry-%d", k)), engines(len(speeds), placers), nil)
				for i, speed := range speeds {
					f := idleFigures(speed)
					f.RunningCount, f.RunningTokens = f.Window, load(i)
					r.Figures(engine(i), f)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				for range each {
					target, _ := r.send(r.query())
					count[target]++
				}
			}
			total := 0.0
			for _, s := range speeds {
				total += s
			}
			for i, s := range speeds {
				fair := placers * each * s / total
				if n := count[engine(i)]; float64(n) > 2*fair {
					t.Errorf("%s: %s received %d requests, fair share %.0f", name, engine(i), n, fair)
				}
			}
			t.Logf("%s: %v", name, count)
		})
	}
}

// Guards against entries that each build up their own copy of a shared prefix.
func TestPrefixAffinityAgreesBetweenEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, "entry-0", engines(10, 2), nil)
		b := start(t, "entry-1", engines(10, 2), nil)
		a.usePolicy(PrefixAffinity)
		b.usePolicy(PrefixAffinity)
		used := map[state.TargetID]bool{}
		for prefix := range uint64(20) {
			blocks := make([]uint64, affinityBlocks+2)
			for i := range blocks {
				blocks[i] = prefix*100 + uint64(i)
			}
			meet := map[state.TargetID]bool{}
			for _, r := range []*rig{a, b, a, b} {
				blocks[affinityBlocks+1] = r.seq + 1e6 // the prompts differ at the end
				target, attempt := r.send(r.query(blocks...))
				r.Ended(target, attempt, Outcome{Complete: true, Usage: state.Usage{CachedTokens: 9 * blockTokens}})
				meet[target] = true
				used[target] = true
			}
			if len(meet) > affinityCount {
				t.Errorf("prefix %d went to %d targets", prefix, len(meet))
			}
		}
		if len(used) < 6 {
			t.Errorf("20 prefixes used only %d of 10 targets", len(used))
		}
	})
}

// Guards against new work for a leaving target, whichever source says that it
// leaves, and against a restarted one that gets none for ever.
func TestLeavingTargetGetsNothing(t *testing.T) {
	members := engines(3, 1)
	listed := engines(3, 1)
	listed[0].Leaving = true
	for name, leave := range map[string]func(r *rig){
		"message": func(r *rig) { r.Leaving(engine(0)) },
		"status":  func(r *rig) { r.Status(engine(0), &state.Status{Leaving: true, Figures: *idleFigures(5000)}) },
		"list":    func(r *rig) { r.SetMembers(listed) },
		"refusal": func(r *rig) {
			r.Ended(engine(0), state.AttemptID{}, Outcome{NotRun: true, Reason: state.ReasonLeaving})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := start(t, "entry-0", members, nil)
			r.SessionOpened(engine(0), 1, &state.Status{Figures: *idleFigures(1000)})
			synctest.Wait()
			leave(r)
			if name == "status" || name == "list" {
				synctest.Wait()
			}
			for range 60 {
				if target, _ := r.send(r.query()); target == engine(0) {
					t.Fatalf("%s: the leaving target received a request", name)
				}
			}
			time.Sleep(time.Minute)
			r.SetMembers(members)
			r.SessionOpened(engine(0), 2, &state.Status{Figures: *idleFigures(5000)})
			synctest.Wait()
			if target, _ := r.send(r.query()); target != engine(0) {
				t.Errorf("%s: the restarted target received nothing", name)
			}
		})
	}
}

// Guards against an ejected target that receives more than one probe at a time,
// or none, and against a backoff that does not grow.
func TestEjectedTargetGetsOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t, "entry-0", engines(2, 1), nil)
		unknown := Outcome{Unknown: true, Reason: state.ReasonTargetSilent}
		for i := range unknownLimit {
			q := r.query()
			q.Tried = map[state.TargetID]state.Reason{engine(1): state.ReasonQueueFull}
			target, attempt := r.send(q)
			r.Ended(target, attempt, unknown)
			synctest.Wait()
			if target != engine(0) {
				t.Fatalf("attempt %d went to %s", i, target)
			}
		}
		probes := func(n int) (last state.AttemptID) {
			t.Helper()
			got := 0
			for range 20 {
				if target, attempt := r.send(r.query()); target == engine(0) {
					got, last = got+1, attempt
				}
			}
			if got != n {
				t.Fatalf("the ejected target received %d requests, want %d", got, n)
			}
			return last
		}
		probes(0)
		time.Sleep(firstBackoff)
		q := r.query()
		q.Request.Idempotent = false
		if target, _ := r.send(q); target != engine(1) {
			t.Errorf("a non-idempotent request was used as a probe")
		}
		probe := probes(1)
		r.Ended(engine(0), probe, unknown)
		synctest.Wait()
		time.Sleep(firstBackoff)
		probes(0)
		time.Sleep(firstBackoff)
		probe = probes(1)
		r.Ended(engine(0), probe, Outcome{Complete: true})
		synctest.Wait()
		if target, _ := r.send(r.query()); target != engine(0) {
			t.Errorf("the target received nothing after a successful probe")
		}
	})
}

// Guards against counters that drift: work counted twice after figures, or kept
// after the attempt has ended.
func TestCountersSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t, "entry-0", engines(1, 1), nil)
		counted := func(want int64) {
			t.Helper()
			synctest.Wait()
			if got := r.snapshot.Load().targets[engine(0)].live.count.Load(); got != want {
				t.Fatalf("%d attempts counted, want %d", got, want)
			}
		}
		_, first := r.send(r.query())
		_, second := r.send(r.query())
		counted(2)
		r.Ended(engine(0), first, Outcome{NotRun: true})
		counted(1)
		time.Sleep(settleMargin)
		_, third := r.send(r.query())
		r.Figures(engine(0), idleFigures(100))
		counted(1) // the third may have been sent after the figures were taken
		r.Ended(engine(0), second, Outcome{Complete: true})
		r.Ended(engine(0), third, Outcome{Complete: true})
		r.Ended(engine(0), third, Outcome{Complete: true})
		counted(0)
	})
}

// Guards against an entry that sheds a request while a target holds work of a
// lower tier, has room, or has shown nothing lately.
func TestLowerTierQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t, "entry-0", engines(5, 1), nil)
		report := func(i, lowest int) {
			f := idleFigures(100)
			f.RunningCount, f.QueueLimit, f.LowestQueued = f.Window, 4, state.Tier(lowest)
			f.QueuedCount[lowest] = 4
			r.Figures(engine(i), f)
		}
		report(4, 1)
		synctest.Wait()
		time.Sleep(figuresLifetime + 1)
		report(0, 1)
		report(1, 2)
		report(2, 3)
		r.Figures(engine(3), idleFigures(100))
		synctest.Wait()
		q := r.query()
		q.Tried = map[state.TargetID]state.Reason{engine(2): state.ReasonQueueFull}
		want := []state.TargetID{engine(1), engine(3), engine(4)}
		if diff := cmp.Diff(want, r.LowerTierQueued(q, 1)); diff != "" {
			t.Errorf("tier 1 (-want +got):\n%s", diff)
		}
	})
}

// Guards against a target that is avoided for ever because its last figures,
// which an idle session does not replace, showed load or a low speed.
func TestOldFiguresExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t, "entry-0", engines(2, 1), nil)
		f := idleFigures(10)
		f.RunningCount, f.RunningTokens = f.Window, 10000
		r.Figures(engine(0), f)
		r.Figures(engine(1), idleFigures(1000))
		received := func() (n int) {
			synctest.Wait()
			for range 20 {
				target, attempt := r.send(r.query())
				r.Ended(target, attempt, Outcome{Complete: true})
				synctest.Wait()
				if target == engine(0) {
					n++
				}
			}
			return n
		}
		if n := received(); n != 0 {
			t.Errorf("the loaded target received %d of 20 requests", n)
		}
		time.Sleep(speedLifetime + time.Second)
		if n := received(); n == 0 {
			t.Errorf("the target received nothing after its figures had expired")
		}
	})
}

// Guards against queued work that stays behind on a slowed engine.
func TestAlternative(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t, "entry-0", engines(2, 1), nil)
		f := idleFigures(100)
		f.RunningCount, f.RunningTokens, f.QueuedTokens[1] = f.Window, 800, 1000
		r.Figures(engine(0), f)
		r.Figures(engine(1), idleFigures(1000))
		synctest.Wait()
		best, current, ok := r.Alternative(engine(0), r.query())
		if !ok || current < 2*best+200*time.Millisecond {
			t.Errorf("best %v, current %v, ok %v: want the queued attempt to be worth moving", best, current, ok)
		}
		best, current, ok = r.Alternative(engine(1), r.query())
		if !ok || current > best {
			t.Errorf("best %v, current %v, ok %v: want the attempt to stay", best, current, ok)
		}
	})
}
