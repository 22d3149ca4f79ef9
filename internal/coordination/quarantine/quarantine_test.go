package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newLedger(self state.InstanceID) *Ledger {
	return New(Config{Self: self, Others: func(time.Time) []state.InstanceID { return nil }})
}

// request returns a request of a customer with the given shared parts and one of its own.
func request(customer state.Customer, parts ...string) Request {
	prompt := []state.PromptPart{}
	for _, p := range append(parts, "own") {
		prompt = append(prompt, state.PromptPart{ID: p})
	}
	return Request{Service: "s", Keys: KeysOf("s", prompt), Customer: customer}
}

// crash records that a target on a machine crashed under a request.
func (l *Ledger) crash(r Request, machine int, sentAt, endedAt time.Time) {
	l.RecordCrash(endedAt, &Crash{
		Request: r, Target: state.TargetRecord{ID: state.TargetID(fmt.Sprint("t", endedAt.UnixNano())), Address: fmt.Sprint("machine-", machine)},
		SentAt: sentAt, EndedAt: endedAt,
	})
}

// serves lets the service answer a sound request.
func (l *Ledger) serves(now time.Time) { l.Answered(now, request("c", "sound")) }

// crashes records n crashes under a request, one after the other from t seconds on, between
// which the service answers others. It returns the time after the last one.
func (l *Ledger) crashes(r Request, n int, t float64) float64 {
	for i := range n {
		l.crash(r, i, at(t+0.1), at(t+0.2))
		l.serves(at(t + 0.3))
		t++
	}
	return t
}

func (l *Ledger) isBlocked(now time.Time, r Request) bool {
	i, _ := l.Check(now, r, false)
	return i >= 0
}

// tell passes what is new from one entry to another, through the encoding of reports.
func tell(t *testing.T, now time.Time, from, to *Ledger) {
	t.Helper()
	r := from.Report(now, true)
	b, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var received Report
	if err := cbor.Unmarshal(b, &received); err != nil {
		t.Fatal(err)
	}
	to.Learn(now, from.cfg.Self, &received)
}

// Guards against blocking the last part of a prompt, which is the request's own, and
// against mixing up parts of different services.
func TestKeys(t *testing.T) {
	prompt := []state.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}
	keys := KeysOf("s", prompt)
	if len(keys) != 2 || keys[0] == keys[1] {
		t.Fatalf("keys %v, want two different ones", keys)
	}
	if other := KeysOf("other", prompt); other[0] == keys[0] {
		t.Error("parts of two services have the same key")
	}
	if len(KeysOf("s", prompt[2:])) != 0 || len(KeysOf("s", nil)) != 0 {
		t.Error("a prompt without shared parts has keys")
	}
}

// Guards against a part that is blocked too early, or not at all.
func TestPartIsBlockedAfterSeries(t *testing.T) {
	l, bad := newLedger("a"), request("c", "sound", "bad")
	end := l.crashes(bad, minSeries-1, 0)
	if l.isBlocked(at(end), bad) {
		t.Fatalf("blocked after %d crashes", minSeries-1)
	}
	end = l.crashes(bad, 1, end)
	if i, until := l.Check(at(end), bad, false); i != 1 || until.Before(at(end)) {
		t.Errorf("part %d blocked until %s, want part 1", i, until)
	}
	if l.isBlocked(at(end), request("c", "sound")) {
		t.Error("a request with the sound part alone is blocked")
	}
}

// Guards against blocking a part on the word of one other entry, against believing none,
// and against an entry that accuses part after part.
func TestOneEntryIsNotBelievedAlone(t *testing.T) {
	liar, l := newLedger("liar"), newLedger("b")
	l.serves(at(0))
	end := 0.0
	for n := range 2 * maxRefuted {
		good := request("c", fmt.Sprint("good-", n))
		end = liar.crashes(good, 5, end)
		l.serves(at(end))
		tell(t, at(end), liar, l)
		if _, until := l.Check(at(end), good, false); until.After(at(end).Add(2 * probationInterval)) {
			t.Fatalf("part %d: blocked until %s by the word of one other entry", n, until)
		}
		if n >= maxRefuted && l.isBlocked(at(end), good) {
			t.Errorf("part %d: on probation, although the entry was refuted %d times", n, maxRefuted)
		}
		l.Answered(at(end+1), good)
		if l.isBlocked(at(end+1), good) {
			t.Errorf("part %d: still on probation after it was answered", n)
		}
		end += 2
	}
	second := newLedger("c")
	bad := request("c", "bad")
	end = liar.crashes(bad, minSeries, end)
	second.crash(bad, 9, at(end+0.1), at(end+0.2))
	l.serves(at(end + 0.3))
	tell(t, at(end+0.3), liar, l)
	tell(t, at(end+0.3), second, l)
	if !l.isBlocked(at(end+5), bad) {
		t.Error("a part is not blocked that two other entries have seen crash targets")
	}
}

// Guards against a customer that is refused because another one names the customer's part
// in requests that crash targets.
func TestOneCustomerShutsOutNoOther(t *testing.T) {
	l, bad := newLedger("a"), request("liar", "victim's")
	end := l.crashes(bad, minCrashes, 0)
	if !l.isBlocked(at(end), bad) {
		t.Error("the customer's own requests are not blocked")
	}
	if l.isBlocked(at(end), request("victim", "victim's")) {
		t.Error("another customer's requests are blocked")
	}
	end = l.crashes(request("victim", "victim's"), 1, end)
	if !l.isBlocked(at(end), request("third", "victim's")) {
		t.Error("a part that crashes targets under requests of two customers is not blocked for all")
	}
}

// Guards against blocking the parts of sound requests that were at the same targets.
func TestCrashIsExplainedByOnePart(t *testing.T) {
	l := newLedger("a")
	bad, rare := request("c", "bad"), request("c", "rare")
	for i := range 6 {
		t0 := float64(i)
		if i%2 == 1 { // at the same targets, now and then
			l.RecordCrash(at(t0+0.2), &Crash{Request: rare, Target: state.TargetRecord{ID: state.TargetID(fmt.Sprint(i)), Address: fmt.Sprint(i)}, SentAt: at(t0 + 0.1), EndedAt: at(t0 + 0.2)})
		}
		l.RecordCrash(at(t0+0.2), &Crash{Request: bad, Target: state.TargetRecord{ID: state.TargetID(fmt.Sprint(i)), Address: fmt.Sprint(i)}, SentAt: at(t0 + 0.1), EndedAt: at(t0 + 0.2)})
		l.serves(at(t0 + 0.3))
	}
	if !l.isBlocked(at(7), bad) || l.isBlocked(at(7), rare) {
		t.Errorf("blocked: the bad part %t, the rare one %t; want the bad one only", l.isBlocked(at(7), bad), l.isBlocked(at(7), rare))
	}
}

// Guards against a part that is blocked for ever, and against several requests that try it
// at once.
func TestBlockedPartIsTriedAgain(t *testing.T) {
	l, bad := newLedger("a"), request("c", "bad")
	end := l.crashes(bad, minSeries, 0)
	hold := initialHold
	now := at(end)
	for range 3 {
		if !l.isBlocked(now.Add(hold-2*time.Second), bad) {
			t.Fatalf("tried before a hold of %s is over", hold)
		}
		now = now.Add(hold)
		if i, _ := l.Check(now, bad, true); i >= 0 {
			t.Fatalf("not tried after a hold of %s", hold)
		}
		if !l.isBlocked(now.Add(time.Millisecond), bad) {
			t.Error("a second request tries the part at once")
		}
		l.crash(bad, 3, now, now.Add(time.Second))
		now, hold = now.Add(time.Second), 2*hold
	}
	now = now.Add(hold)
	if i, _ := l.Check(now, bad, true); i >= 0 {
		t.Fatal("not tried again")
	}
	l.Answered(now.Add(time.Second), bad)
	if l.isBlocked(now.Add(time.Second), bad) {
		t.Error("blocked after it was answered")
	}
}

// Guards against entries that go on to refuse a part which another one has found to be
// answered, and against an answer that reaches nobody.
func TestAnswerReleasesAtOtherEntries(t *testing.T) {
	a, b, bad := newLedger("a"), newLedger("b"), request("c", "bad")
	end := a.crashes(bad, minSeries, 0)
	b.crash(bad, 7, at(end), at(end+0.1))
	b.serves(at(end + 0.2))
	tell(t, at(end+0.3), a, b)
	if !b.isBlocked(at(end+1), bad) {
		t.Fatal("the other entry has not learned the block")
	}
	a.Answered(at(end+2), bad)
	tell(t, at(end+2.1), a, b)
	if b.isBlocked(at(end+2.1), bad) {
		t.Error("still blocked at the other entry")
	}
}

// Guards against a process that starts and knows no block, and against one writer in the
// store that is believed alone.
func TestKeptBlocks(t *testing.T) {
	a, b, bad := newLedger("a"), newLedger("b"), request("c", "bad")
	end := a.crashes(bad, minSeries, 0)
	b.crashes(bad, minSeries, 0)
	started := newLedger("c")
	age := 10 * time.Second
	now := at(end).Add(age)
	started.LearnBlocks(now, "a", a.Blocks(at(end)), age)
	if _, until := started.Check(now, bad, false); until.After(now.Add(2 * probationInterval)) {
		t.Errorf("blocked until %s by one writer", until)
	}
	started.LearnBlocks(now, "b", b.Blocks(at(end)), age)
	if _, until := started.Check(now, bad, false); !until.After(now.Add(30 * time.Second)) {
		t.Errorf("blocked until %s by two writers, want the rest of the hold", until)
	}
}

// Guards against memory, or reports too large for a datagram, that grow with what callers
// and other entries send.
func TestMemoryIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLedger("a")
	parts := func() []Key {
		keys := make([]Key, 1+random.IntN(maxParts))
		for i := range keys {
			keys[i] = Key(random.Uint64())
		}
		return keys
	}
	for n := range 800 {
		now := at(float64(n) / 100)
		own := Request{Service: "s", Keys: parts(), Customer: "c"}
		l.crash(own, n, now.Add(-time.Millisecond), now)
		l.Answered(now, Request{Service: "s", Keys: parts()})
		var r Report
		for range 5 {
			r.Crashes = append(r.Crashes, CrashNote{ID: random.Uint64(), Run: random.Uint64(), Keys: parts()})
			r.Sound = append(r.Sound, SoundNote{Key: Key(random.Uint64())})
			r.Blocks = append(r.Blocks, BlockNote{Key: Key(random.Uint64()), All: true, HoldMillis: 1 << 31})
			r.Trials = append(r.Trials, TrialNote{Key: Key(random.Uint64())})
		}
		l.Learn(now, state.InstanceID(fmt.Sprint("peer-", n%60)), &r)
		l.Alive(now, &state.TargetRecord{ID: state.TargetID(fmt.Sprint("alive-", n))})
		if len(l.evidence.ends) > maxEvidence || len(l.evidence.unconfirmed) > maxEvidence || len(l.life) > 5*maxEvidence {
			t.Fatalf("%d ends of targets, %d of them unconfirmed, %d signs of life are remembered", len(l.evidence.ends), len(l.evidence.unconfirmed), len(l.life))
		}
		if len(l.evidence.all) > maxEvidence || len(l.blocks) > maxBlocks || len(l.sound) > maxEvidence {
			t.Fatalf("%d requests, %d blocks, %d answered parts are remembered", len(l.evidence.all), len(l.blocks), len(l.sound))
		}
		report := l.Report(now, true)
		b, err := cbor.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > 40<<10 {
			t.Fatalf("a report takes %d bytes, want at most 40 KiB", len(b))
		}
	}
	if len(KeysOf("s", make([]state.PromptPart, 10*maxParts))) > maxParts {
		t.Error("the parts of a prompt are not bounded")
	}
}

// Guards against a customer whose prompts have many parts and crash targets, and which so
// displaces the blocks of other parts.
func TestManyPartsThatCannotBeToldApart(t *testing.T) {
	l, bad := newLedger("a"), request("c", "bad")
	end := l.crashes(bad, minSeries, 0)
	for n := range 2 * maxBlocks / maxTied {
		many := Request{Service: "s", Customer: "liar"}
		for i := range maxParts {
			many.Keys = append(many.Keys, Key(1000*n+i))
		}
		end = l.crashes(many, minSeries, end)
		if !l.isBlocked(at(end), many) {
			t.Fatalf("request %d is not blocked", n)
		}
		if len(l.blocks) > maxBlocks {
			t.Fatalf("%d parts are blocked, want at most %d", len(l.blocks), maxBlocks)
		}
		if n < maxBlocks/maxTied/2 && l.blocks[bad.Keys[0]] == nil {
			t.Fatalf("the block of another part is gone after %d series of crashes", n+1)
		}
	}
}

// Guards against a report of another build, or of a faulty one, that makes an entry fail.
func TestMalformedReports(t *testing.T) {
	l, bad := newLedger("a"), request("c", "bad")
	l.crashes(bad, minSeries, 0)
	l.Learn(at(10), "b", &Report{
		Crashes: []CrashNote{{}, {ID: 1, Keys: make([]Key, maxKeys+1)}, {ID: 2, SentMillis: 1, EndedMillis: 1 << 31, Keys: bad.Keys}},
		Blocks:  []BlockNote{{}, {Key: bad.Keys[0], HoldMillis: 1}, {Key: bad.Keys[0], Customers: make([]uint64, 100), HoldMillis: 1 << 31}},
		Sound:   []SoundNote{{}}, Trials: []TrialNote{{}, {Key: bad.Keys[0]}},
	})
	if !l.isBlocked(at(20), bad) {
		t.Error("the part is no longer blocked")
	}
}

// Guards against learning nothing from targets whose addresses still accept connections, and
// against taking a target that has as many connections as it takes for one that has ended.
func TestClosedConnectionsCountOnlyIfTheTargetIsSilent(t *testing.T) {
	target := func(n int) *state.TargetRecord {
		return &state.TargetRecord{ID: state.TargetID(fmt.Sprint("t", n)), Address: fmt.Sprint("machine-", n)}
	}
	for _, alive := range []bool{false, true} {
		a, b, bad := newLedger("a"), newLedger("b"), request("c", "bad")
		for n := range minSeries {
			sentAt, endedAt := at(float64(n)), at(float64(n)+0.1)
			a.RecordCrash(endedAt, &Crash{Request: bad, Target: *target(n), SentAt: sentAt, EndedAt: endedAt, Closed: true})
			a.serves(endedAt.Add(time.Millisecond))
			if a.isBlocked(endedAt, bad) {
				t.Fatal("blocked at once")
			}
			if alive { // the other entry has responses of the target
				b.Alive(endedAt.Add(2*lifeMargin), target(n))
			}
		}
		end := at(minSeries - 1 + 0.1).Add(confirmTime)
		if !a.isBlocked(end, bad) {
			t.Fatal("not blocked after the targets were silent")
		}
		tell(t, end, a, b)
		tell(t, end.Add(50*time.Millisecond), b, a)
		if blocked := a.isBlocked(end.Add(100*time.Millisecond), bad); blocked == alive {
			t.Errorf("blocked: %t after another entry had responses of the targets: %t", blocked, alive)
		}
	}
}

// Guards against blocking sound requests that were sent to a target after its end.
func TestRequestsToAnEndedTargetAreNoEvidence(t *testing.T) {
	l, bad, late := newLedger("a"), request("c", "bad"), request("c", "late")
	for n := range 5 {
		t0 := float64(n)
		target := state.TargetRecord{ID: state.TargetID(fmt.Sprint(n)), Address: fmt.Sprint(n)}
		l.RecordCrash(at(t0+0.1), &Crash{Request: bad, Target: target, SentAt: at(t0), EndedAt: at(t0 + 0.1), Closed: true})
		l.RecordCrash(at(t0+0.3), &Crash{Request: late, Target: target, SentAt: at(t0 + 0.2), EndedAt: at(t0 + 0.3), Closed: true})
		l.serves(at(t0 + 0.4))
	}
	if !l.isBlocked(at(6), bad) || l.isBlocked(at(6), late) {
		t.Errorf("blocked: the crashing part %t, the one sent later %t; want the first only", l.isBlocked(at(6), bad), l.isBlocked(at(6), late))
	}
}

// Guards against a response of a new process under the same identifier that ends what was
// learned from the crash of the one before.
func TestResponseAfterARestartRefutesNothing(t *testing.T) {
	l, bad := newLedger("a"), request("c", "bad")
	for n := range minSeries {
		target := state.TargetRecord{ID: state.TargetID(fmt.Sprint("t", n)), Address: fmt.Sprint("machine-", n)}
		l.RecordCrash(at(float64(n)+0.1), &Crash{Request: bad, Target: target, SentAt: at(float64(n)), EndedAt: at(float64(n) + 0.1), Closed: n%2 == 0})
		l.serves(at(float64(n) + 0.2))
		l.Alive(at(float64(n)+0.1).Add(maxLifeDelay+time.Millisecond), &target)
	}
	if !l.isBlocked(at(minSeries+1), bad) {
		t.Error("what was learned from crashes has ended with responses of new processes")
	}
}

// withContent returns a request of a customer with shared parts and a body.
func withContent(customer state.Customer, body string, parts ...string) Request {
	r := request(customer, parts...)
	r.Keys = append(r.Keys, ContentKeys(customer, &state.Call{Method: "POST", Host: "h", URI: "/x", Body: []byte(body)})...)
	return r
}

// Guards against blocking the parts of a request whose content crashes targets, and against
// not blocking a part because its requests come more than once.
func TestContentExplainsItsCrashes(t *testing.T) {
	l, bad := newLedger("a"), withContent("c", "bad", "rare")
	end := l.crashes(bad, minSeries, 0)
	if i, until := l.Check(at(end), bad, false); i < 0 || !bad.Keys[i].IsContent() || until.Before(at(end-1).Add(initialContentHold)) {
		t.Fatalf("key %d is blocked until %s, want the content for %s", i, until, initialContentHold)
	}
	if other := withContent("c", "other", "rare"); l.isBlocked(at(end), other) {
		t.Error("another request with the same part is blocked")
	}
	l = newLedger("a")
	end = 0
	for n := range 3 { // two crashes each, as with a repeated send
		end = l.crashes(withContent("c", fmt.Sprint(n), "bad part"), 2, end)
	}
	if !l.isBlocked(at(end), withContent("c", "new", "bad part")) {
		t.Error("a part that crashed six targets under three requests is not blocked")
	}
}

// Guards against blocking a popular request at an entry that has not answered it itself.
func TestAnswersElsewhereSpeakForAContent(t *testing.T) {
	a, b, popular := newLedger("a"), newLedger("b"), withContent("c", "popular")
	b.Answered(at(0), popular)
	end := a.crashes(popular, 1, 1)
	tell(t, at(end), a, b)
	tell(t, at(end+0.1), b, a)
	end = a.crashes(popular, minSeries, end+0.2)
	if a.isBlocked(at(end), popular) {
		t.Error("blocked although another entry has answered it within the last minute")
	}
}

// Guards against sending all requests with a content that wait while it has all targets of a
// service down, and against refusing them once one is answered.
func TestContentIsOnProbationWhileTheServiceAnswersNothing(t *testing.T) {
	l, content := newLedger("a"), withContent("c", "new")
	for i := range minProbationCrashes {
		l.crash(content, i, at(0), at(0.1+0.001*float64(i)))
	}
	for _, now := range []time.Time{at(3), at(3).Add(probationInterval)} {
		if i, _ := l.Check(now, content, true); i >= 0 {
			t.Error("the request is not tried")
		}
		if !l.isBlocked(now, content) {
			t.Error("a second one is sent in the same moment")
		}
	}
	l.Answered(at(5), content)
	if l.isBlocked(at(5), content) {
		t.Error("blocked after it was answered")
	}
}
