package bundle

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

const retention = time.Hour

var _ quicsession.Bundles = (*Store)(nil)

func TestMain(m *testing.M) {
	state.SetViolationHandler(func(inv state.Invariant, detail string) { panic(fmt.Sprintf("%s: %s", inv, detail)) })
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// keys holds the key pairs of three operators, from a fixed seed.
var keys = func() map[string]ed25519.PrivateKey {
	r := rand.New(rand.NewSource(1))
	m := make(map[string]ed25519.PrivateKey)
	for _, name := range []string{"anna", "ben", "cora"} {
		seed := make([]byte, ed25519.SeedSize)
		r.Read(seed)
		m[name] = ed25519.NewKeyFromSeed(seed)
	}
	return m
}()

func signers(required int, names ...string) state.Signers {
	s := state.Signers{Required: required, Keys: map[string]string{}}
	for _, n := range names {
		s.Keys[n] = base64.StdEncoding.EncodeToString(keys[n].Public().(ed25519.PublicKey))
	}
	return s
}

// initial requires the signatures of two of the three operators.
var initial = signers(2, "anna", "ben", "cora")

// document returns a valid document. Different notes make documents with otherwise
// equal contents distinct.
func document(t testing.TB, version uint64, base state.BundleID, note string) []byte {
	t.Helper()
	doc, err := Encode(&state.Bundle{
		Version: version, Base: base, Note: note, Signers: initial,
		Tiers:    []state.TierPolicy{{Name: "urgent", Timeout: state.Duration(time.Second)}},
		Policies: map[string]state.PlacementPolicy{"cost": {Picker: "best"}},
		Split:    []state.PolicyShare{{Policy: "cost", Share: 1}},
		Queue:    state.QueuePolicy{MaxCount: 1, MaxTokens: 1, MaxWindow: 1, TokenGap: state.Duration(time.Millisecond)},
		Retry:    state.RetryPolicy{Placements: 1, BackoffBase: 1, BackoffMax: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func sign(t testing.TB, doc []byte, names ...string) []state.Signature {
	t.Helper()
	var list []state.Signature
	for _, n := range names {
		s, err := Sign(doc, n, keys[n])
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
	}
	return list
}

// publish publishes doc with the signatures of anna and ben, with a timeout of 10 s.
func publish(t testing.TB, log logstream.Log, doc []byte) Published {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return Publish(ctx, log, initial, doc, sign(t, doc, "anna", "ben"))
}

func mustPublish(t testing.TB, log logstream.Log, version uint64, base state.BundleID, note string) state.BundleID {
	t.Helper()
	p := publish(t, log, document(t, version, base, note))
	if p.Outcome != OutcomeAccepted {
		t.Fatalf("publishing version %d: outcome %s: %v", version, p.Outcome, p.Err)
	}
	return p.ID
}

// proposalAt returns a record with a signed proposal at an offset.
func proposalAt(t testing.TB, offset uint64, doc []byte) logstream.Record {
	t.Helper()
	rec := Record{Kind: Proposal, Document: doc, Signatures: sign(t, doc, "anna", "ben")}
	data, err := rec.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return logstream.Record{Offset: offset, ID: fmt.Sprint(offset), Data: data}
}

// appendRecord appends a record of the bundle stream as another process would.
func appendRecord(t testing.TB, log logstream.Log, rec Record) uint64 {
	t.Helper()
	data, err := rec.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	off, err := log.Append(t.Context(), Stream, logstream.Entry{ID: logstream.NewID(), Data: data})
	if err != nil {
		t.Fatal(err)
	}
	return off
}

// applyRetention removes the records of the stream that are older than retention.
func applyRetention(t testing.TB, log *logtest.Log) {
	t.Helper()
	page, err := log.Read(t.Context(), Stream, 0, 1<<20, 0)
	if err != nil {
		return // the log is down; the next call removes the records
	}
	first := page.First
	for _, r := range page.Records {
		if time.Since(r.Time) > retention {
			first = r.Offset + 1
		}
	}
	log.Forget(Stream, first)
}

// appendProposal appends doc, signed by anna and ben, without the checks of Publish.
func appendProposal(t testing.TB, log logstream.Log, doc []byte) uint64 {
	t.Helper()
	return appendRecord(t, log, Record{Kind: Proposal, Document: doc, Signatures: sign(t, doc, "anna", "ben")})
}

// startStore runs a store until the end of the test.
func startStore(t testing.TB, log logstream.Log) *Store {
	t.Helper()
	s, stop := startStoppableStore(t, log)
	t.Cleanup(stop)
	return s
}

// startStoppableStore runs a store until the returned function is called.
func startStoppableStore(t testing.TB, log logstream.Log) (*Store, func()) {
	t.Helper()
	s := NewStore(Config{Log: log, InitialSigners: initial, Retention: retention, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	synctest.Wait()
	return s, func() { cancel(); <-done }
}

// runInBubble runs f in a synctest bubble, with simulated time and an empty log.
func runInBubble(t *testing.T, f func(t *testing.T, log *logtest.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, new(logtest.Log)) })
}

func wantVersion(t testing.TB, s *Store, version uint64, id state.BundleID) {
	t.Helper()
	synctest.Wait()
	if got := s.Bundle(); got.Version != version || id != "" && ID(got.Document) != id {
		t.Fatalf("version %d is in effect, want version %d (bundle %.12s)", got.Version, version, id)
	}
}

// Guards against telling two operators who publish on the same base at the same time
// that both bundles are in effect.
func TestConcurrentPublish(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		first := mustPublish(t, log, 1, "", "")
		s := startStore(t, log)
		log.SetDelay(20 * time.Millisecond) // both read the base before either appends
		results := make([]Published, 2)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = publish(t, log, document(t, 2, first, fmt.Sprint(i))) })
		}
		wg.Wait()
		if results[0].Outcome != OutcomeAccepted {
			results[0], results[1] = results[1], results[0]
		}
		if results[0].Outcome != OutcomeAccepted || results[1].Outcome != OutcomeSuperseded || !errors.Is(results[1].Err, ErrSuperseded) {
			t.Fatalf("outcomes %s and %s (%v), want accepted and superseded", results[0].Outcome, results[1].Outcome, results[1].Err)
		}
		time.Sleep(time.Second)
		wantVersion(t, s, 2, results[0].ID)
	})
}

// Guards against a wrong outcome or a second record when the acknowledgement of an
// append is lost.
func TestPublishLostAcknowledgement(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		log.LoseAcks(1)
		first := mustPublish(t, log, 1, "", "")
		if n := log.Appends(); n != 1 {
			t.Errorf("%d appends after a lost acknowledgement, want 1", n)
		}
		log.DropAppends(1) // no effect and no acknowledgement: the append is repeated
		mustPublish(t, log, 2, first, "")
		log.SetDown(true)
		if p := publish(t, log, document(t, 3, first, "")); p.Outcome != OutcomeNotAppended {
			t.Errorf("publish while the log is down is %s, want %s", p.Outcome, OutcomeNotAppended)
		}
	})
}

// Guards against reporting a definite outcome when the log fails between the append
// and its acknowledgement, and against a wrong outcome when the bundle is then
// published again.
func TestPublishUndetermined(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		log.LoseAcks(1)
		log.SetDelay(time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { log.SetDown(true) }) // after one read and the append
		doc := document(t, 1, "", "")
		if p := publish(t, log, doc); p.Outcome != OutcomeUndetermined || log.Appends() != 1 {
			t.Fatalf("outcome %s after %d appends, want %s after 1", p.Outcome, log.Appends(), OutcomeUndetermined)
		}
		log.SetDown(false)
		if p := publish(t, log, doc); p.Outcome != OutcomeAccepted {
			t.Fatalf("repeated publish is %s: %v", p.Outcome, p.Err)
		}
	})
}

// Guards against a restarted process that stays without a bundle while the log is down
// although a peer offers one, and against reverting that bundle later.
func TestOfferWhileLogIsDown(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		first := mustPublish(t, log, 1, "", "")
		second := mustPublish(t, log, 2, first, "")
		old := startStore(t, log)
		wantVersion(t, old, 2, second)
		log.SetDown(true)
		s := startStore(t, log)
		changes, cancel := s.Subscribe()
		defer cancel()
		wantVersion(t, s, 0, "")
		s.Offer(old.Bundle())
		wantVersion(t, s, 2, second)
		if b := <-changes; b.Version != 2 {
			t.Errorf("subscriber got version %d, want 2", b.Version)
		}
		log.SetDown(false)
		time.Sleep(5 * time.Second)
		third := mustPublish(t, log, 3, second, "")
		wantVersion(t, s, 3, third)
		s.Offer(state.AcceptedBundle{Version: 2, Document: document(t, 2, first, "")})
		wantVersion(t, s, 3, third)
	})
}

// Guards against putting a bundle into effect before the stream has been read to its
// end.
func TestNoBundleBeforeEndOfStream(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		base := mustPublish(t, log, 1, "", "")
		for v := uint64(2); v < logstream.PageLimit+10; v++ {
			doc := document(t, v, base, "")
			appendProposal(t, log, doc)
			base = ID(doc)
		}
		log.SetDelay(time.Second)
		s := startStore(t, log)
		time.Sleep(1500 * time.Millisecond) // the first page is folded
		wantVersion(t, s, 0, "")
		time.Sleep(time.Second)
		wantVersion(t, s, logstream.PageLimit+9, base)
	})
}

// Guards against losing the bundle when retention removes its record, also while the
// log is slow, and against checkpoints appended by every process instead of one.
func TestCheckpointsOutliveRetention(t *testing.T) {
	for _, delay := range []time.Duration{0, 3 * time.Second} {
		runInBubble(t, func(t *testing.T, log *logtest.Log) {
			first := mustPublish(t, log, 1, "", "")
			for range 5 {
				startStore(t, log)
			}
			log.SetDelay(delay)
			time.Sleep(retention * 3 / 2)
			log.SetDelay(0)
			// Each of the 6 quarters of the retention time needs a checkpoint; rarely, two
			// processes append one.
			if n := log.Appends(); n < 6 || n > 13 {
				t.Errorf("delay %s: %d records, want 1 bundle and about 6 checkpoints", delay, n)
			}
			applyRetention(t, log)
			s := startStore(t, log)
			wantVersion(t, s, 1, first)
			mustPublish(t, log, 2, first, "")
			wantVersion(t, s, 2, "")
		})
	}
}

// Guards against a process that accepts a proposal after retention has removed every
// record that would say whether the base is in effect. Only an anchor is accepted then.
func TestAnchorAfterEverythingWasForgotten(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		first := mustPublish(t, log, 1, "", "")
		log.Forget(Stream, 1)
		s := startStore(t, log)
		appendProposal(t, log, document(t, 2, first, ""))
		wantVersion(t, s, 0, "")
		if p := publish(t, log, document(t, 3, first, "")); p.Outcome != OutcomeSuperseded {
			t.Errorf("publish without a known base is %s, want %s", p.Outcome, OutcomeSuperseded)
		}
		anchor := mustPublish(t, log, 7, "", "anchor")
		wantVersion(t, s, 7, anchor)
		if p := publish(t, log, document(t, 9, "", "second anchor")); p.Outcome != OutcomeSuperseded {
			t.Errorf("anchor while a bundle is in effect is %s, want %s", p.Outcome, OutcomeSuperseded)
		}
	})
}

// Guards against a stale checkpoint, appended by a process that was paused, that reverts
// the bundle of another process, and against a reader that starts at the checkpoint and
// accepts a superseded proposal on the base in it.
func TestStaleCheckpoint(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		first := mustPublish(t, log, 1, "", "")
		current := startStore(t, log)
		second := mustPublish(t, log, 2, first, "winner")
		old := document(t, 1, "", "")
		stale := appendRecord(t, log, Record{Kind: Checkpoint, Document: old, AcceptedOffset: 0, InEffectUntil: 1})
		appendProposal(t, log, document(t, 2, first, "loser"))
		wantVersion(t, current, 2, second)
		log.Forget(Stream, stale)
		late := startStore(t, log)
		wantVersion(t, late, 0, "") // the stale checkpoint is not proof of what is in effect at this offset
		time.Sleep(retention / 2)   // the other process repeats its checkpoint
		wantVersion(t, late, 2, second)
		wantVersion(t, current, 2, second)
	})
}

// Guards against a process that was paused for longer than the retention time and
// accepts a proposal whose base was superseded in the meantime.
func TestGapWhilePaused(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		first := mustPublish(t, log, 1, "", "")
		paused := startStore(t, log)
		live := startStore(t, log)
		log.SetDown(true)
		time.Sleep(10 * time.Second) // the next read of either takes up to 2 s
		log.SetDown(false)
		second := document(t, 2, first, "winner")
		off := appendProposal(t, log, second)
		live.Offer(state.AcceptedBundle{Version: 2, Offset: off, Document: second, Signatures: sign(t, second, "anna", "ben")})
		loser := appendProposal(t, log, document(t, 2, first, "loser"))
		log.Forget(Stream, loser)
		time.Sleep(5 * time.Second)
		wantVersion(t, paused, 1, first)
		third := document(t, 3, ID(second), "")
		offThird := appendProposal(t, log, third)
		wantVersion(t, paused, 1, first)
		paused.Offer(state.AcceptedBundle{Version: 2, Offset: off, Document: second})
		// The proposal that was read before the offer is evaluated again.
		wantVersion(t, paused, 3, ID(third))
		if got := paused.Bundle().Offset; got != offThird {
			t.Errorf("accepted at offset %d, want %d", got, offThird)
		}
		wantVersion(t, live, 3, ID(third))
	})
}

// Guards against a new process that gets an old bundle from a peer that is behind, and
// accepts a superseded proposal on that base because retention has removed the
// proposal that was accepted.
func TestOldOfferAfterForgottenRecords(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		first := mustPublish(t, log, 1, "", "")
		second := document(t, 2, first, "winner")
		off := appendProposal(t, log, second)
		log.Forget(Stream, off+1)
		s := startStore(t, log)
		s.Offer(state.AcceptedBundle{Version: 1, Document: document(t, 1, "", "")})
		appendProposal(t, log, document(t, 2, first, "loser"))
		wantVersion(t, s, 1, first)
		s.Offer(state.AcceptedBundle{Version: 2, Offset: off, Document: second})
		wantVersion(t, s, 2, ID(second))
		third := document(t, 3, ID(second), "")
		appendProposal(t, log, third)
		wantVersion(t, s, 3, ID(third))
	})
}

// Guards against readers that keep different bundles of one version, depending on the
// order in which they adopt them.
func TestSameVersionLowerOffsetWins(t *testing.T) {
	x := &DecodedBundle{AcceptedBundle: state.AcceptedBundle{Version: 5, Offset: 100}, ID: "x"}
	y := &DecodedBundle{AcceptedBundle: state.AcceptedBundle{Version: 5, Offset: 102}, ID: "y"}
	for _, order := range [][]*DecodedBundle{{x, y}, {y, x}} {
		f := NewFold(initial)
		for _, a := range order {
			f.Adopt(a, a.Offset+1)
		}
		if f.Head() != x {
			t.Errorf("head %s, want x", f.Head().ID)
		}
	}
}

// Guards against accepting a proposal that precedes its own base in the log, in a
// reader that learned the base from a peer before it read that part of the log.
func TestProposalBeforeItsBase(t *testing.T) {
	first := document(t, 1, "", "")
	second := document(t, 2, ID(first), "")
	early := document(t, 3, ID(second), "")
	var records []logstream.Record
	for i, doc := range [][]byte{first, early, second} {
		records = append(records, proposalAt(t, uint64(i), doc))
	}
	offered, err := newDecodedBundle(state.AcceptedBundle{Document: second, Offset: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ from, offeredAt int }{{0, 0}, {0, 3}, {1, 1}, {1, 2}, {2, 2}} {
		f := NewFold(initial)
		for i := tt.from; i < len(records); i++ {
			if i == tt.offeredAt {
				f.Adopt(offered, 3)
			}
			f.Apply(records[i])
		}
		if f.Head() == nil || f.Head().ID != offered.ID {
			t.Errorf("reader from offset %d, offer at %d: head %+v, want version 2", tt.from, tt.offeredAt, f.Head())
		}
	}
}

// Guards against a complete history in a reader that adopts a bundle but has dropped
// proposals that followed it.
func TestTooManyProposalsToKeep(t *testing.T) {
	f := NewFold(initial)
	for i := range maxDeferredProposals + 5 {
		f.Apply(proposalAt(t, uint64(10+i), document(t, 2, "unknown", fmt.Sprint(i))))
	}
	a, err := newDecodedBundle(state.AcceptedBundle{Document: document(t, 1, "", ""), Offset: 11})
	if err != nil {
		t.Fatal(err)
	}
	if f.Adopt(a, 12); f.HistoryComplete() {
		t.Error("the history is complete although proposals after the bundle were dropped")
	}
	if f.Adopt(a, 10+maxDeferredProposals); !f.HistoryComplete() {
		t.Error("the history is not complete although every proposal after the bundle is kept")
	}
}

// Guards against accepting too few signatures, repeated or forged ones, and those of
// operators who are not listed.
func TestVerify(t *testing.T) {
	doc := document(t, 1, "", "")
	both := sign(t, doc, "anna", "ben")
	forged := sign(t, doc, "anna", "ben")
	forged[1].Signature = forged[0].Signature
	plain := sign(t, doc, "anna", "ben")
	plain[1].Signature = ed25519.Sign(keys["ben"], doc) // without the context
	renamed := signers(2, "anna", "ben")
	renamed.Keys["anna2"] = renamed.Keys["anna"]
	alias := sign(t, doc, "anna", "anna")
	alias[1].Operator = "anna2"
	tests := []struct {
		name    string
		doc     []byte
		sigs    []state.Signature
		signers state.Signers
		ok      bool
	}{
		{"two of three", doc, both, initial, true},
		{"with one that is not listed", doc, sign(t, doc, "anna", "cora", "ben"), signers(2, "anna", "ben"), true},
		{"none", doc, nil, initial, false},
		{"too few", doc, both[:1], initial, false},
		{"duplicate", doc, []state.Signature{both[0], both[0]}, initial, false},
		{"one key under two names", doc, alias, renamed, false},
		{"not listed", doc, sign(t, doc, "anna", "cora"), signers(2, "anna", "ben"), false},
		{"forged", doc, forged, initial, false},
		{"other use of the key", doc, plain, initial, false},
		{"other document", append(doc[:len(doc):len(doc)], ' '), both, initial, false},
		{"no signers required", doc, both, state.Signers{}, false},
	}
	for _, tt := range tests {
		err := Verify(tt.doc, tt.sigs, tt.signers)
		if (err == nil) != tt.ok || err != nil && !errors.Is(err, ErrSignature) {
			t.Errorf("%s: error %v, want ok=%t", tt.name, err, tt.ok)
		}
	}
}

// Guards against accepting a bundle that skips a version, lacks signatures or is not
// valid, in Publish and in the fold.
func TestPublishRefused(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logtest.Log) {
		first := mustPublish(t, log, 1, "", "")
		s := startStore(t, log)
		skip := document(t, 3, first, "")
		unsigned := document(t, 2, first, "")
		for name, p := range map[string]Published{
			"version skipped": publish(t, log, skip),
			"not signed":      Publish(t.Context(), log, initial, unsigned, sign(t, unsigned, "anna")),
			"not valid":       publish(t, log, []byte(`{"version":2}`)),
		} {
			if p.Outcome != OutcomeRefused {
				t.Errorf("%s: outcome %s, want %s", name, p.Outcome, OutcomeRefused)
			}
		}
		// The fold ignores the same bundles when they are appended without Publish.
		appendProposal(t, log, skip)
		appendRecord(t, log, Record{Kind: Proposal, Document: unsigned, Signatures: sign(t, unsigned, "anna")})
		log.Append(t.Context(), Stream, logstream.Entry{ID: "x", Data: []byte("no record")})
		wantVersion(t, s, 1, first)
	})
}
