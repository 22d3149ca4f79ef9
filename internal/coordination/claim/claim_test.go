package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

func TestMain(m *testing.M) {
	state.SetViolationHandler(func(inv state.Invariant, detail string) { panic(fmt.Sprintf("%s: %s", inv, detail)) })
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// startManager runs a manager with one partition until the end of the test.
func startManager(t testing.TB, log logstream.Log, retention time.Duration) *Manager {
	t.Helper()
	m := NewManager(Config{Log: log, Partitions: 1, MaxKeys: 1000, Retention: retention, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return m
}

// runInBubble runs f in a synctest bubble, with simulated time and an empty log.
func runInBubble(t *testing.T, f func(t *testing.T, log *logtest.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, new(logtest.Log)) })
}

// claimOf returns a claim of key by entry e for the given placement.
func claimOf(key, e string, placement uint32) state.Claim {
	return state.Claim{Key: key, Placement: placement, Target: "t1", Attempt: state.AttemptID{Entry: state.InstanceID(e), Session: 1, Seq: uint64(placement)}}
}

func withReceipt(c state.Claim, receipt state.Phase) state.Claim {
	c.Receipt = receipt
	return c
}

func mustClaim(t testing.TB, m *Manager, c state.Claim, won bool, holder state.InstanceID) {
	t.Helper()
	r, err := m.Claim(t.Context(), c)
	if err != nil {
		t.Fatalf("claim of placement %d by %s: %v", c.Placement, c.Attempt.Entry, err)
	}
	if r.Won != won || r.Holder.Attempt.Entry != holder {
		t.Fatalf("claim of placement %d by %s: won=%t, holder %s; want won=%t, holder %s",
			c.Placement, c.Attempt.Entry, r.Won, r.Holder.Attempt.Entry, won, holder)
	}
}

func mustBeUnavailable(t testing.TB, m *Manager, c state.Claim) {
	t.Helper()
	if r, err := m.Claim(t.Context(), c); !errors.Is(err, entry.ErrClaimUnavailable) {
		t.Fatalf("claim: %+v, error %v; want %v", r, err, entry.ErrClaimUnavailable)
	}
}

// appendClaims appends one record of claims, as another process would.
func appendClaims(t testing.TB, log logstream.Log, claims ...state.Claim) uint64 {
	t.Helper()
	data, err := cbor.Marshal(&batch{Claims: claims})
	if err != nil {
		t.Fatal(err)
	}
	off, err := log.Append(t.Context(), StreamName(0), logstream.Entry{ID: logstream.NewID(), Data: data})
	if err != nil {
		t.Fatal(err)
	}
	return off
}

// Guards against two entries that win the same key, in whatever order they read. The
// first claim in the log wins.
func TestFirstClaimInLogWins(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		var managers [5]*Manager
		for i := range managers {
			managers[i] = startManager(t, log, time.Hour)
		}
		log.SetDelay(10 * time.Millisecond)
		var results [5]state.ClaimResult
		var wg sync.WaitGroup
		for i, m := range managers {
			wg.Go(func() {
				var err error
				if results[i], err = m.Claim(t.Context(), claimOf("k", fmt.Sprintf("e%d", i), 1)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		winners := 0
		for i, r := range results {
			if r.Won {
				winners++
			}
			if r.Holder.Attempt != results[0].Holder.Attempt {
				t.Errorf("entry %d sees holder %s, entry 0 sees %s", i, r.Holder.Attempt, results[0].Holder.Attempt)
			}
		}
		if winners != 1 {
			t.Errorf("%d winners, want 1", winners)
		}
	})
}

// Guards against losing or repeating a claim when the acknowledgement of its append is
// lost.
func TestLostAcknowledgement(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		m := startManager(t, log, time.Hour)
		log.LoseAcks(1)
		mustClaim(t, m, claimOf("k", "e1", 1), true, "e1")
		if n := log.Appends(); n != 1 {
			t.Errorf("%d appends, want 1", n)
		}
		log.DropAppends(1)
		mustClaim(t, m, claimOf("k2", "e1", 1), true, "e1")
		// A copy of the first record that arrives late changes nothing.
		appendClaims(t, log, claimOf("k", "e1", 1))
		mustClaim(t, m, claimOf("k", "e2", 1), false, "e1")
		if c, ok := m.Lookup("k"); !ok || c.Attempt.Entry != "e1" {
			t.Errorf("lookup: %v %t, want the claim of e1", c, ok)
		}
	})
}

// Guards against dispatching a request on a claim that the log has not confirmed, and
// against a refusal after the deadline.
func TestClaimWhileLogIsDown(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		m := startManager(t, log, time.Hour)
		log.SetDown(true)
		began := time.Now()
		mustBeUnavailable(t, m, claimOf("k", "e1", 1))
		if d := time.Since(began); d != MaxWait {
			t.Errorf("refused after %s, want %s", d, MaxWait)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := m.Claim(ctx, claimOf("k", "e1", 1)); !errors.Is(err, entry.ErrClaimUnavailable) || time.Since(began) != MaxWait+100*time.Millisecond {
			t.Errorf("claim with a shorter deadline: error %v after %s", err, time.Since(began))
		}
		log.SetDown(false)
		time.Sleep(5 * time.Second)
		mustClaim(t, m, claimOf("k", "e2", 1), true, "e2")
		if n := log.Appends(); n != 1 {
			t.Errorf("%d appends, want 1: claims whose callers gave up before the append must not reach the log", n)
		}
	})
}

// Guards against a second placement of a request while the first may still run.
func TestLaterPlacementNeedsReceipt(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		m := startManager(t, log, time.Hour)
		mustClaim(t, m, claimOf("k", "e1", 1), true, "e1")
		mustClaim(t, m, claimOf("k", "e2", 2), false, "e1") // without receipt
		mustClaim(t, m, withReceipt(claimOf("k", "e2", 2), state.AttemptRunning), false, "e1")
		mustClaim(t, m, withReceipt(claimOf("k", "e2", 3), state.AttemptVoided), false, "e1") // skips a placement
		other := withReceipt(claimOf("k", "e2", 2), state.AttemptVoided)
		other.Fingerprint = 1
		mustClaim(t, m, other, false, "e1") // another request under the same key
		mustClaim(t, m, withReceipt(claimOf("k", "e2", 2), state.AttemptVoided), true, "e2")
		mustClaim(t, m, withReceipt(claimOf("k", "e3", 2), state.AttemptVoided), false, "e2")
		mustClaim(t, m, withReceipt(claimOf("k", "e3", 3), state.AttemptNotRun), true, "e3")
		mustBeUnavailable(t, m, withReceipt(claimOf("unknown", "e3", 2), state.AttemptVoided))
		time.Sleep(Horizon + time.Second)
		if _, ok := m.Lookup("k"); ok {
			t.Error("the key is still held after the horizon")
		}
		mustClaim(t, m, claimOf("k", "e4", 1), true, "e4")
	})
}

// Guards against a reader that has just started and wins a key held by a claim that it
// has not read.
func TestFreshReader(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		appendClaims(t, log, claimOf("old", "e1", 1))
		time.Sleep(3 * time.Hour)
		for i := range 600 { // more than one page
			appendClaims(t, log, claimOf(fmt.Sprint("k", i), "e1", 1))
			time.Sleep(time.Second)
		}
		log.SetDown(true)
		m := startManager(t, log, time.Hour)
		mustBeUnavailable(t, m, claimOf("k1", "e2", 1))
		log.SetDown(false)
		time.Sleep(2 * time.Second)
		if !m.Ready() {
			t.Fatal("not ready after the log is back")
		}
		mustClaim(t, m, claimOf("k5", "e2", 1), false, "e1")
		mustClaim(t, m, claimOf("old", "e2", 1), true, "e2")
		if n := m.partitions[0].fold.Len(); n > 602 {
			t.Errorf("%d keys held, want only those within the horizon", n)
		}
	})
}

// Guards against a claim that wins although retention has removed records within the
// horizon, which may have held the key.
func TestHorizonLostToRetention(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		appendClaims(t, log, claimOf("k", "e1", 1))
		log.Forget(StreamName(0), 1)
		m := startManager(t, log, time.Minute)
		mustBeUnavailable(t, m, claimOf("k", "e2", 1))
		time.Sleep(Horizon + 2*horizonSlack)
		mustClaim(t, m, claimOf("k2", "e2", 1), true, "e2")
		// With a retention time above the horizon, the removed records do not matter.
		long := startManager(t, log, time.Hour)
		mustClaim(t, long, claimOf("k3", "e3", 1), true, "e3")
	})
}

// Guards against a table that grows without bound, and against a claim that wins a key
// that was evicted to keep the bound.
func TestKeyLimit(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		m := startManager(t, log, time.Hour)
		for i := range 1000 {
			appendClaims(t, log, claimOf(fmt.Sprint("k", i), "e1", 1))
		}
		synctest.Wait()
		mustBeUnavailable(t, m, claimOf("new", "e2", 1))
		mustClaim(t, m, claimOf("k7", "e2", 1), false, "e1")
		appendClaims(t, log, claimOf("one more", "e1", 1)) // by an entry with a larger table
		synctest.Wait()
		if n := m.partitions[0].fold.Len(); n != 1000 {
			t.Errorf("%d keys held, want 1000", n)
		}
		time.Sleep(Horizon + 2*horizonSlack)
		appendClaims(t, log, claimOf("later", "e1", 1))
		synctest.Wait()
		mustClaim(t, m, claimOf("k0", "e2", 1), true, "e2")
	})
}

// Guards against a claim that wins a key that was evicted before its horizon had
// passed.
func TestEvictedKeyIsInDoubt(t *testing.T) {
	f := NewFold(2)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	apply := func(c state.Claim) Result {
		data, err := cbor.Marshal(&batch{Claims: []state.Claim{c}})
		if err != nil {
			t.Fatal(err)
		}
		results, err := f.Apply(logstream.Record{Time: now, Data: data})
		if err != nil {
			t.Fatal(err)
		}
		return results[0]
	}
	for _, key := range []string{"a", "b", "c"} {
		if r := apply(claimOf(key, "e1", 1)); !r.Won || !r.Decided {
			t.Fatalf("first claim of %s: %+v", key, r)
		}
	}
	if r := apply(claimOf("a", "e2", 1)); r.Won || r.Decided {
		t.Errorf("claim of the evicted key: %+v, want it not decided", r)
	}
	now = now.Add(Horizon + 2*horizonSlack)
	if r := apply(claimOf("a", "e3", 1)); !r.Won || !r.Decided {
		t.Errorf("claim after the horizon: %+v, want it won", r)
	}
}

// Guards against one append for each claim: the log service takes only several hundred
// appends a second.
func TestGroupAppend(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		m := startManager(t, log, time.Hour)
		log.SetDelay(5 * time.Millisecond)
		const claims = 900
		var wg sync.WaitGroup
		began := time.Now()
		for i := range claims {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Microsecond) // 5,000 a second
				mustClaim(t, m, claimOf(fmt.Sprint("k", i), "e1", 1), true, "e1")
			})
		}
		wg.Wait()
		elapsed := time.Since(began)
		if n := log.Appends(); n > appendBurst+int(maxRate*elapsed.Seconds()) {
			t.Errorf("%d appends in %s, want a burst of at most %d and then at most %g a second", n, elapsed, appendBurst, maxRate)
		}
		t.Logf("%d claims in %s with %d appends", claims, elapsed, log.Appends())
	})
}

// Guards against processes that together exceed the append rate of the log service
// permanently.
func TestAppendRateAdapts(t *testing.T) {
	p := newAppendLimiter()
	for range 20 {
		p.adjustRate(2)
	}
	if got := p.bucket.Limit(); got != minRate {
		t.Errorf("rate %g after appends that were retried, want %g", got, minRate)
	}
	for range 200 {
		p.adjustRate(1)
	}
	if got := p.bucket.Limit(); got != maxRate {
		t.Errorf("rate %g after appends that succeeded at once, want %g", got, maxRate)
	}
}

// Guards against two readers of one log that disagree about a winner, for random
// records and a random offset at which the second reader starts.
func TestFoldAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		whole, late := NewFold(100), NewFold(100)
		late.Reset(unreachableOffset)
		start := rapid.IntRange(0, 10).Draw(t, "start")
		winners := make(map[string]state.AttemptID)
		for off := range rapid.IntRange(1, 40).Draw(t, "records") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
			c := claimOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"), rapid.Uint32Range(1, 3).Draw(t, "placement"))
			c.Receipt = rapid.SampledFrom([]state.Phase{0, state.AttemptVoided, state.AttemptNotRun, state.AttemptRunning}).Draw(t, "receipt")
			c.Attempt.Seq = uint64(off)
			data, _ := cbor.Marshal(&batch{Claims: []state.Claim{c}})
			rec := logstream.Record{Offset: uint64(off), Time: now, Data: data}
			a, err := whole.Apply(rec)
			if err != nil {
				t.Fatal(err)
			}
			if a[0].Won && c.Placement > 1 && c.Receipt != state.AttemptVoided && c.Receipt != state.AttemptNotRun {
				t.Fatalf("placement %d won with receipt %d", c.Placement, c.Receipt)
			}
			if a[0].Won && c.Placement > 1 && winners[c.Key] == (state.AttemptID{}) {
				t.Fatal("a placement after the first won a key without a holder")
			}
			if a[0].Won {
				winners[c.Key] = c.Attempt
			}
			if off < start {
				continue
			}
			if b, _ := late.Apply(rec); b[0].Decided && (!a[0].Decided || a[0].Won != b[0].Won || a[0].Holder != b[0].Holder) {
				t.Fatalf("offset %d: the reader of the whole log got %+v, the late one %+v", off, a[0], b[0])
			}
		}
	})
}

// Guards against a claim that wins because its attempt has the same identifier as that
// of the holder, although it is for another target.
func TestClaimForAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(logtest.Log)
		m := startManager(t, log, time.Hour)
		first, second := claimOf("k", "e1", 1), claimOf("k", "e1", 1)
		second.Target = "t2"
		log.SetDelay(10 * time.Millisecond) // both are in the log before either is folded
		results := make([]state.ClaimResult, 2)
		var wg sync.WaitGroup
		for i, c := range []state.Claim{first, second} {
			wg.Go(func() {
				var err error
				if results[i], err = m.Claim(t.Context(), c); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if results[0].Won == results[1].Won {
			t.Errorf("both claims have won=%t, want exactly one winner", results[0].Won)
		}
		for _, c := range []state.Claim{first, second} { // decided without an append
			if r, err := m.Claim(t.Context(), c); err != nil || r.Won != (r.Holder.Target == c.Target) {
				t.Errorf("repeated claim for %s: won=%t, holder at %s, error %v", c.Target, r.Won, r.Holder.Target, err)
			}
		}
	})
}
