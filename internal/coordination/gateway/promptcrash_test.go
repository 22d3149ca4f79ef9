package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests with one part in their prompts that crash engine after engine.
// Learned from few crashes, the part is kept from engines by all entries, while sound
// requests of the same customer with the same other parts are served.
func TestPromptPartThatCrashesTargetsIsKeptFromThem(t *testing.T) {
	for _, c := range []struct {
		entries, engines int
		parts            []string // of the requests that crash engines, without their own
	}{
		{3, 9, []string{"shared", crashPart}},
		{5, 9, []string{"shared", crashPart}},
		{5, 9, []string{crashPart, "shared"}},
		{5, 9, []string{"shared", crashPart, "common"}},
		{23, 12, []string{"shared", crashPart}},
		{60, 24, []string{"shared", crashPart}},
	} {
		t.Run(fmt.Sprintf("%d entries, %s", c.entries, strings.Join(c.parts, ",")), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, 1, c.entries, c.engines)
				for tick := range 40 * 50 { // 40 s
					at := time.Duration(tick) * 20 * time.Millisecond
					if tick%2 == 0 {
						f.sendSound(t, "key", "shared")
					}
					if tick%10 == 0 {
						f.sendSound(t, "key", "shared", "common")
					}
					if tick%4 == 1 {
						f.send(t, "other", "different")
					}
					if at >= 10*time.Second && f.random.IntN(8) == 0 { // about 6 a second
						f.send(t, "key", c.parts...)
					}
					f.wait(20 * time.Millisecond)
				}
				f.group.Wait()
				time.Sleep(restartTime)
				t.Logf("%d crashes, %d requests with the part reached engines, %d of them %s after the fifth crash", len(f.crashTimes), len(f.reached), f.crashersAfterLearning(), learnTime)
				if len(f.crashTimes) == 0 {
					t.Fatal("no engine has crashed")
				}
				if n := f.crashersAfterLearning(); n > toleratedCrashers {
					t.Errorf("%d requests with the part reached engines %s after the fifth crash or later, tolerated %d", n, learnTime, toleratedCrashers)
				}
				before, after := f.beganShare(0, 9*time.Second), f.beganShare(20*time.Second, 38*time.Second)
				if after < before/2 {
					t.Errorf("%.2f of the sound requests were served, %.2f before; want at least half", after, before)
				}
			})
		})
	}
}

// crashPattern is how requests that crash engines come.
type crashPattern struct {
	entries, engines int
	path             string
	perSecond        float64
	burst            int           // requests that come at once
	pause            time.Duration // between bursts; 0: by perSecond
	customers        []string      // keys
	body             string        // of the requests that crash engines; empty: one of their own, and a part of the prompt that does
	oneEntry         time.Duration // how long they come to one entry only
	restarts         time.Duration // between restarts of an entry; 0: none
}

// drawPattern draws a pattern.
func drawPattern(random *rand.Rand) crashPattern {
	p := crashPattern{
		entries: []int{3, 5, 12, 30, 60}[random.IntN(5)], engines: 9 + random.IntN(20), path: []string{"/stream/x", "/once/x"}[random.IntN(2)],
		perSecond: []float64{0.5, 2, 6, 20}[random.IntN(4)], customers: []string{"key", "other"}[:1+random.IntN(2)],
	}
	if random.IntN(3) == 0 {
		p.burst, p.pause = 2+random.IntN(4), time.Duration(1+random.IntN(8))*time.Second
	}
	if random.IntN(4) == 0 {
		p.oneEntry = time.Duration(5+random.IntN(20)) * time.Second
	}
	if random.IntN(4) == 0 {
		p.restarts = time.Duration(2+random.IntN(8)) * time.Second
	}
	return p
}

// restart replaces the process of an entry, whose requests go on, by one that knows nothing.
func (f *crashFleet) restart(i int) {
	f.entries[i].cfg.Quarantine, f.starts[i] = f.newQuarantine(i, len(f.entries)), time.Now()
	for from, kept := range f.kept {
		f.entries[i].cfg.Quarantine.LearnBlocks(time.Now(), entryName(from), kept.blocks, time.Since(kept.at))
	}
}

// run lets requests come by the pattern, and sound ones all the time.
func (f *crashFleet) run(t *testing.T, p crashPattern, duration time.Duration) {
	nextBurst, nextRestart := 5*time.Second, 5*time.Second+p.restarts
	for tick := range int(duration / (20 * time.Millisecond)) {
		at := time.Duration(tick) * 20 * time.Millisecond
		if p.body == "" {
			f.sendSound(t, p.customers[tick%len(p.customers)], "shared")
		} else {
			f.sendSoundCalls(t, p.path)
		}
		n := 0
		switch {
		case at < 5*time.Second:
		case p.burst > 0 && at >= nextBurst:
			n, nextBurst = p.burst, at+p.pause
		case p.burst == 0 && f.random.Float64() < p.perSecond/50:
			n = 1
		}
		for range n {
			entry := f.random.IntN(len(f.entries))
			if at < 5*time.Second+p.oneEntry {
				entry = 0
			}
			if p.body == "" {
				f.sendTo(t, entry, p.path, p.customers[f.random.IntN(len(p.customers))], "shared", crashPart)
			} else {
				f.sendCrashing(t, entry, p.path)
			}
		}
		if p.restarts > 0 && at >= nextRestart {
			f.restart(f.random.IntN(len(f.entries)))
			nextRestart = at + p.restarts
		}
		f.wait(20 * time.Millisecond)
	}
	f.group.Wait()
	time.Sleep(restartTime)
}

// Guards against patterns of requests for which the entries learn too slowly: few at a
// time, bursts, all at one entry, of several customers, not repeatable, with entries that
// are restarted. It lasts longer than the first hold, so that the part is tried again.
func TestCrashesAreBoundedForRandomPatterns(t *testing.T) {
	for seed := range uint64(*crashSeeds) {
		p := drawPattern(rand.New(rand.NewPCG(seed, 7)))
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, seed, p.entries, p.engines)
				f.run(t, p, 90*time.Second)
				t.Logf("%+v: %d crashes, %d requests with the part reached engines, %d late", p, len(f.crashTimes), len(f.reached), f.crashersAfterLearning())
				if n := f.crashersAfterLearning(); n > toleratedCrashers {
					t.Errorf("%d requests with the part reached engines %s after the fifth crash or later, tolerated %d", n, learnTime, toleratedCrashers)
				}
				if after := f.beganShare(60*time.Second, 85*time.Second); after < 0.5 {
					t.Errorf("%.2f of the sound requests were served, want at least half", after)
				}
			})
		})
	}
}

// crashSeeds is the number of seeds of the random patterns.
var crashSeeds = flag.Int("crash.seeds", 12, "number of random patterns of requests that crash targets")

// Guards against a part that is kept from targets although they crash for other causes: all
// at once, some at random, one instance again and again, by turns. Requests with a part that
// few others have come too.
func TestCrashesOfOtherCausesBlockNothing(t *testing.T) {
	for name, crash := range map[string]func(f *crashFleet, n int){
		"all at once":     func(f *crashFleet, _ int) { f.crashSome(len(f.engines)) },
		"some":            func(f *crashFleet, _ int) { f.crashSome(1 + f.random.IntN(4)) },
		"one instance":    func(f *crashFleet, _ int) { f.crashEngine(f.engines[0]) },
		"one by one":      func(f *crashFleet, n int) { f.crashEngine(f.engines[n%len(f.engines)]) },
		"half, then half": func(f *crashFleet, n int) { f.crashHalf(n % 2) },
	} {
		for _, entries := range []int{3, 12, 60} {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				checkOtherCauses(t, entries, false, crash)
			})
		}
		t.Run(name+", accepting addresses", func(t *testing.T) { checkOtherCauses(t, 12, true, crash) })
	}
}

// checkOtherCauses lets engines crash again and again, and checks that no request is refused
// for its prompt or content.
func checkOtherCauses(t *testing.T, entries int, accepting bool, crash func(f *crashFleet, n int)) {
	synctest.Test(t, func(t *testing.T) {
		f := newPlainCrashFleet(t, 5, entries, 9)
		f.accepting = accepting
		crashes, nextCrash := 0, 5*time.Second
		for tick := range 60 * 50 {
			f.sendSound(t, "key", "shared")
			if tick%10 == 0 {
				f.sendPopular(t)
			}
			if tick%5 == 0 {
				f.sendSound(t, "other", "shared", fmt.Sprint("document-", f.random.IntN(200)))
			}
			if at := time.Duration(tick) * 20 * time.Millisecond; at >= nextCrash {
				crash(f, crashes)
				crashes++
				nextCrash = at + time.Duration(200+f.random.IntN(3000))*time.Millisecond
			}
			f.wait(20 * time.Millisecond)
		}
		f.group.Wait()
		time.Sleep(restartTime)
		if n := f.blockedRequests(); n > 0 {
			t.Errorf("%d of %d requests were refused for their prompts or contents after %d crashes, want none", n, f.sent, crashes)
		}
	})
}

// crashEngine crashes one engine for a reason that is in no request.
func (c *crashEngines) crashEngine(e *crashEngine) {
	c.mu.Lock()
	running := e.crashed
	c.mu.Unlock()
	if running != nil {
		c.crash(e, running)
	}
}

// crashHalf crashes every second engine, from the given one on.
func (c *crashEngines) crashHalf(from int) {
	for i := from; i < len(c.engines); i += 2 {
		c.crashEngine(c.engines[i])
	}
}

// Guards against a part that is kept from targets for ever although it no longer crashes
// them, and against customers that are refused for what only another's requests did.
func TestPartIsServedAgainWhenItCrashesNothing(t *testing.T) {
	for _, entries := range []int{3, 12} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, 1, entries, 9)
				f.run(t, crashPattern{path: "/stream/x", perSecond: 6, customers: []string{"key"}}, 20*time.Second)
				if f.blockedRequests() == 0 {
					t.Fatal("the part is not blocked")
				}
				f.mu.Lock()
				f.healed = true
				f.mu.Unlock()
				if out := f.send(t, "other", "shared", crashPart); true {
					f.wait(time.Second)
					if !out.began {
						t.Error("a customer was refused whose requests crashed nothing")
					}
				}
				served := 0
				for range 120 {
					out := f.send(t, "key", "shared", crashPart)
					f.wait(time.Second)
					if out.began {
						served++
					}
				}
				f.group.Wait()
				if served < 30 {
					t.Errorf("%d of 120 requests within 2 minutes were served, want at least 30", served)
				}
			})
		})
	}
}
