package gateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// crashBody is the body of a request that crashes each engine that begins to run it.
const crashBody = "crash"

// toleratedCrashesOfRequest is the number of crashes under one request from which
// learnTime counts.
const toleratedCrashesOfRequest = 3

// newPlainCrashFleet returns a fleet whose entries have routes of a plain service: /get/,
// which may be repeated, and /do/, which may not.
func newPlainCrashFleet(t *testing.T, seed uint64, entries, engines int) *crashFleet {
	t.Helper()
	f := newCrashFleet(t, seed, entries, engines)
	f.learnAfter = toleratedCrashesOfRequest
	f.crashes = func(c *state.Call) bool { return string(c.Body) == crashBody }
	for _, s := range f.entries {
		c := *s.Configuration()
		get, do := route("get", "/get/", state.IdempotentRoute, false, 2), route("do", "/do/", state.NonIdempotentRoute, false, 1)
		get.Timeout, get.Objective = time.Second, 300*time.Millisecond
		do.Timeout, do.Objective = get.Timeout, get.Objective
		c.Version, c.Routes = c.Version+1, append(c.Routes, get, do)
		s.SetConfiguration(&c)
	}
	return f
}

// promptOf returns the parts of the prompt of requests for a path. Only streams have any.
func promptOf(path string) []string {
	if strings.HasPrefix(path, "/stream/") {
		return []string{"shared"}
	}
	return nil
}

// sendCrashing sends the request that crashes engines to an entry.
func (f *crashFleet) sendCrashing(t *testing.T, entry int, path string) *startedResponder {
	return f.sendCall(t, entry, &state.Call{Path: path, APIKey: "key", Body: []byte(crashBody)}, promptOf(path)...)
}

// sendSoundCalls sends sound requests of the same customer: some have the same path and a body of
// their own, one is popular.
func (f *crashFleet) sendSoundCalls(t *testing.T, path string) {
	f.countSound(f.sendCall(t, f.random.IntN(len(f.entries)), &state.Call{Path: path, APIKey: "key", Body: fmt.Append(nil, "body ", f.sent)}, promptOf(path)...))
	f.sendPopular(t)
}

// sendPopular sends a sound request whose content is always the same.
func (f *crashFleet) sendPopular(t *testing.T) {
	f.countSound(f.sendCall(t, f.random.IntN(len(f.entries)), &state.Call{Path: "/get/popular", APIKey: "key"}))
}

// Guards against one request that comes again and again and crashes engine after engine.
// Learned from three crashes, it is kept from engines by all entries; other requests with
// the same path and customer are served.
func TestRequestThatCrashesTargetsIsKeptFromThem(t *testing.T) {
	for _, c := range []struct {
		entries, engines int
		path             string
	}{
		{3, 4, "/get/x"},
		{5, 4, "/do/x"},
		{5, 9, "/stream/x"},
		{23, 4, "/get/x"},
		{60, 24, "/do/x"},
		{60, 24, "/stream/x"},
	} {
		t.Run(fmt.Sprintf("%d entries, %s", c.entries, c.path), func(t *testing.T) {
			checkCrashingRequest(t, c.entries, c.engines, c.path, nil)
		})
	}
}

// Guards against learning nothing from engines that have ended if something still accepts
// connections at their addresses and resets them.
func TestCrashIsLearnedWhereTheAddressAcceptsConnections(t *testing.T) {
	for _, entries := range []int{3, 23, 60} {
		for _, path := range []string{"/get/x", "/do/x", "/stream/x"} {
			t.Run(fmt.Sprintf("%d entries, %s", entries, path), func(t *testing.T) {
				checkCrashingRequest(t, entries, max(4, entries/3), path, func(f *crashFleet) { f.accepting = true })
			})
		}
	}
}

// Guards against taking the first events of a response for an answer: a request may crash its
// engine in the middle of each response.
func TestRequestThatCrashesTargetsAfterSomeEventsIsKeptFromThem(t *testing.T) {
	for _, entries := range []int{3, 23, 60} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			checkCrashingRequest(t, entries, max(9, entries/3), "/stream/x", func(f *crashFleet) { f.eventsBeforeCrash = 3 })
		})
	}
}

// checkCrashingRequest lets the request come about six times a second, and checks what
// reaches the engines. prepare changes how the engines crash; nil: as usual.
func checkCrashingRequest(t *testing.T, entries, engines int, path string, prepare func(*crashFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newPlainCrashFleet(t, 1, entries, engines)
		if prepare != nil {
			prepare(f)
		}
		for tick := range 40 * 50 { // 40 s
			if tick%3 == 0 {
				f.sendSoundCalls(t, path)
			}
			if tick >= 10*50 && f.random.IntN(8) == 0 {
				f.sendCrashing(t, f.random.IntN(entries), path)
			}
			f.wait(20 * time.Millisecond)
		}
		f.checkCrashes(t)
		before, after := f.beganShare(0, 9*time.Second), f.beganShare(20*time.Second, 38*time.Second)
		if after < before/2 {
			t.Errorf("%.2f of the sound requests were served, %.2f before; want at least half", after, before)
		}
	})
}

// Guards against refusing requests that differ from one that crashes targets in the last
// byte of a long body only, or in the customer, method or path.
func TestRequestsLikeTheCrashingOneAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPlainCrashFleet(t, 1, 3, 9)
		body := append(bytes.Repeat([]byte("x"), 1<<20), 'a')
		f.crashes = func(c *state.Call) bool {
			return c.APIKey == "key" && c.Path == "/get/x" && c.Method == "" && bytes.Equal(c.Body, body)
		}
		other := append(bytes.Repeat([]byte("x"), 1<<20), 'b')
		crashing := state.Call{Path: "/get/x", APIKey: "key", Body: body}
		var alike []*startedResponder
		for tick := range 20 * 50 {
			if tick%10 == 0 {
				c := crashing
				f.sendCall(t, f.random.IntN(3), &c)
			}
			if tick%10 == 5 {
				for _, change := range []func(*state.Call){
					func(c *state.Call) { c.Body = other }, func(c *state.Call) { c.APIKey = "other" },
					func(c *state.Call) { c.Method = "PUT" }, func(c *state.Call) { c.Path = "/get/y" },
				} {
					c := crashing
					change(&c)
					out := f.sendCall(t, f.random.IntN(3), &c)
					if tick > 10*50 {
						alike = append(alike, out)
					}
				}
			}
			f.wait(20 * time.Millisecond)
		}
		f.checkCrashes(t)
		for i, out := range alike {
			if !out.began {
				t.Fatalf("request %d of %d that differs from the crashing one was not served", i, len(alike))
			}
		}
	})
}

// Guards against sending all that wait to targets that return: if one request ends all targets
// of a service in the same moment, the service answers nothing until they are back, and
// whatever has come meanwhile waits.
func TestWaitingCrashingRequestsAreNotSentTogether(t *testing.T) {
	for seed := range uint64(10) {
		for _, entries := range []int{3, 12} {
			for _, path := range []string{"/get/x", "/do/x"} {
				for _, accepting := range []bool{false, true} {
					t.Run(fmt.Sprintf("seed %d, %d entries, %s, accepting %t", seed, entries, path, accepting), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { checkWaitingCrashingRequests(t, seed, entries, path, accepting) })
					})
				}
			}
		}
	}
}

func checkWaitingCrashingRequests(t *testing.T, seed uint64, entries int, path string, accepting bool) {
	f := newPlainCrashFleet(t, seed, entries, 3)
	f.accepting, f.downTime = accepting, learnTime+300*time.Millisecond
	// Reports take less time than requests, so that a crash that another entry reports can be
	// told from a request that was sent after it.
	f.headTime, f.eventTime, f.reportDelay = 5*time.Millisecond, time.Millisecond, 2*time.Millisecond
	for _, s := range f.entries {
		c := *s.Configuration()
		c.Version, c.Routes = c.Version+1, slices.Clone(c.Routes)
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].Objective = 2*learnTime, 2*time.Second
		}
		s.SetConfiguration(&c)
	}
	for tick := range 20 * 50 {
		if tick%4 == 3 {
			f.sendSoundCalls(t, path)
		}
		if tick >= 5*50 && f.random.IntN(5) == 0 { // ten a second
			f.sendCrashing(t, f.random.IntN(entries), path)
		}
		f.wait(20 * time.Millisecond)
	}
	f.checkCrashes(t)
	if share := f.beganShare(10*time.Second, 18*time.Second); share < 0.9 {
		t.Errorf("%.2f of the sound requests were served after the targets were back, want 0.9", share)
	}
}

// checkCrashes waits for the requests and checks how many of those that crash engines
// reached them late.
func (f *crashFleet) checkCrashes(t *testing.T) {
	t.Helper()
	f.group.Wait()
	time.Sleep(restartTime)
	n := f.crashersAfterLearning()
	t.Logf("%d crashes, %d requests reached engines, %d of them %s after crash %d", len(f.crashTimes), len(f.reached), n, learnTime, f.learnAfter)
	if len(f.crashTimes) == 0 {
		t.Fatal("no engine has crashed")
	}
	if n > toleratedCrashers {
		t.Errorf("%d requests reached engines %s after crash %d or later, tolerated %d", n, learnTime, f.learnAfter, toleratedCrashers)
	}
}

// Guards against patterns of one repeated request for which the entries learn too slowly:
// seldom, in bursts, at one entry only, with entries that are restarted. It lasts longer
// than the hold of a part of a prompt.
func TestRepeatedCrashesAreBoundedForRandomPatterns(t *testing.T) {
	for seed := range uint64(*crashSeeds) {
		random := rand.New(rand.NewPCG(seed, 17))
		p := drawPattern(random)
		p.path, p.customers = []string{"/stream/x", "/get/x", "/do/x"}[random.IntN(3)], []string{"key"}
		p.body = crashBody
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPlainCrashFleet(t, seed, p.entries, p.engines)
				f.run(t, p, 90*time.Second)
				t.Logf("%+v", p)
				f.checkCrashes(t)
				if after := f.beganShare(60*time.Second, 85*time.Second); after < 0.5 {
					t.Errorf("%.2f of the sound requests were served, want at least half", after)
				}
			})
		})
	}
}
