// Package quarantine keeps requests from targets if a part of their prompts, or their whole
// content, crashes each target that begins to answer it. Parts and contents are identified
// by keys. Those that crash targets are found from the requests that had no response when
// their targets ended. Entries tell each other what they have seen.
//
// Invariants:
//   - A part is blocked only if nothing with it was answered since the crashes that speak
//     against it, while the service answered other requests, on several machines, and crash
//     after crash: a request that had been sent before another crash counts as one with it,
//     because all targets may end together. Against a part that was answered within the last
//     minute, more crashes must speak.
//   - The content of a request is blocked after fewer crashes than a part, because nothing
//     else is refused with it. Crashes under one content say nothing about its parts.
//   - Another entry's word alone blocks nothing: it puts a part on probation, in which all
//     entries together send about one request a second with it, until one is answered. So do
//     a few crashes with a part of which no answer is known. What only one customer's
//     requests show is decided for that customer only.
//   - A blocked part is tried again, by one request at a time, after pauses that double.
//   - Memory is bounded, whatever callers and other entries send.
package quarantine

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxAnswered bounds each of the two generations of parts known to be answered, which
	// together take about half a megabyte. maxAnsweredContents does so for contents, most of
	// which come once; they take about a megabyte.
	maxAnswered         = 1 << 12
	maxAnsweredContents = 1 << 13
	// maxBlocks bounds the blocked keys.
	maxBlocks = 256
)

// Request is what the ledger needs to know of a request.
type Request struct {
	Service state.Service
	// Keys are those of the shared parts of its prompt and, last, of its content.
	Keys     []Key
	Customer state.Customer
}

// Config configures a Ledger.
type Config struct {
	Self state.InstanceID
	// Others returns the other entries that have been heard lately.
	Others func(now time.Time) []state.InstanceID
	// OnChange is called, with the ledger locked, when a key is blocked, blocked for more
	// customers, or released. It must not block or call the ledger.
	OnChange func(Change)
}

// Change is a change of what is blocked.
type Change struct {
	Key      Key
	Released bool // answered again; the fields below are then meaningless
	// Probation says that the key is not blocked, but only one request is sent at a time.
	Probation bool
	// All says that the key is blocked for all customers, otherwise for those whose
	// requests were at targets that crashed.
	All     bool
	Until   time.Time // when it is tried again
	Crashes int       // that speak against it, 0 if it was learned from other entries
	Entries int       // that saw them
}

// Ledger holds what is known of parts and contents that crash targets. It is safe for
// concurrent use.
type Ledger struct {
	cfg Config
	// answeredParts and answeredContents hold when a key was last answered here or, if there
	// is evidence against it, elsewhere. They are apart because contents, which seldom recur,
	// would displace the parts.
	answeredParts, answeredContents traffic.RecentCache[Key, time.Time]

	// alive holds when runs of targets, by their hashes, have last responded here.
	alive traffic.RecentCache[uint64, time.Time]

	mu          sync.Mutex
	life        map[uint64]time.Time // runs that responded after they were reported to have ended
	served      map[uint64]time.Time // when a service last answered a request here, by its hash
	evidence    evidenceLog
	blocks      map[Key]*block
	sound       map[Key]*soundNote
	unsent      bool   // something is new since the last report
	changeCount uint64 // of blocks
	// refuted counts, by entry, the parts that were on probation by its word alone and then
	// answered.
	refuted map[state.InstanceID]int
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	return &Ledger{
		cfg: c, answeredParts: traffic.RecentCache[Key, time.Time]{GenerationLimit: maxAnswered},
		answeredContents: traffic.RecentCache[Key, time.Time]{GenerationLimit: maxAnsweredContents},
		alive:            traffic.RecentCache[uint64, time.Time]{GenerationLimit: maxRunsAlive}, life: make(map[uint64]time.Time),
		served: make(map[uint64]time.Time), evidence: newEvidenceLog(), blocks: make(map[Key]*block), sound: make(map[Key]*soundNote), refuted: make(map[state.InstanceID]int),
	}
}

// answered returns the cache of answers that a key belongs to.
func (l *Ledger) answered(k Key) *traffic.RecentCache[Key, time.Time] {
	if k.IsContent() {
		return &l.answeredContents
	}
	return &l.answeredParts
}

// Answered records that a target has begun to answer a request, which speaks for all of its
// keys.
func (l *Ledger) Answered(now time.Time, r Request) {
	for _, k := range r.Keys {
		l.answered(k).Set(k, now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordServed(now, hashOf(string(r.Service)))
	if len(l.evidence.all) == 0 && len(l.blocks) == 0 {
		return
	}
	for _, p := range r.Keys {
		if l.accused(p) {
			l.noteSound(now, p, now)
		}
		l.releaseIfAnswered(p, now)
	}
}

// recordServed records that a service has answered a request, and applies the evidence that
// was not sufficient for the lack of this.
func (l *Ledger) recordServed(at time.Time, service uint64) {
	before := l.served[service]
	if !at.After(before) {
		return
	}
	l.served[service] = at
	for _, e := range l.evidence.all {
		if e.service == service && !before.After(e.sentAt) && at.After(e.sentAt) {
			l.applyEvidence(at, e.keys)
		}
	}
}

// accused reports whether there is any evidence against a part, or a block.
func (l *Ledger) accused(p Key) bool {
	return l.blocks[p] != nil || len(l.evidence.byKey[p]) > 0
}

// answeredSince reports whether the part was answered after a time.
func (l *Ledger) answeredSince(p Key, t time.Time) bool {
	at, ok := l.answered(p).Get(p)
	return ok && at.After(t)
}

// Crash is a request that had no response when its target crashed.
type Crash struct {
	Request
	Target  state.TargetRecord
	SentAt  time.Time
	EndedAt time.Time
	// Closed says that the address of the target still accepts connections, and closes them.
	// The target has ended only if it does not respond any more.
	Closed bool
}

// RecordCrash records a crash that this entry has seen. Keys that were answered since the
// request was sent do not count.
func (l *Ledger) RecordCrash(now time.Time, c *Crash) {
	e := &evidence{
		id: rand.Uint64(), reporter: l.cfg.Self, run: runOf(&c.Target), machine: hashOf(c.Target.Address),
		service: hashOf(string(c.Service)), customer: hashOf(string(c.Customer)),
		sentAt: c.SentAt, endedAt: c.EndedAt, closed: c.Closed, reportsLeft: reportsEach,
	}
	for _, p := range c.Keys {
		if !l.answeredSince(p, c.SentAt) {
			e.keys = append(e.keys, p)
		}
	}
	if len(e.keys) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsent = true
	l.add(now, e)
}

// runOf returns a hash of one run of a target.
func runOf(t *state.TargetRecord) uint64 {
	return hashOf(string(t.ID), string(binary.LittleEndian.AppendUint64(nil, uint64(t.Started))))
}

// Suspects reports whether a part of the prompt, or the content, was in a request that
// another target had when it crashed, and was not answered since. Such a request is better
// not sent again.
func (l *Ledger) Suspects(c *Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := runOf(&c.Target)
	return slices.ContainsFunc(c.Keys, func(p Key) bool {
		return slices.ContainsFunc(l.evidence.byKey[p], func(e *evidence) bool {
			return e.run != run && l.evidence.counts(e) && !l.answeredSince(p, e.sentAt)
		})
	})
}

// Check reports which of its keys, by its index, keeps a request from targets, and
// until when at least; index is -1 if none does. With begin set, the request is about to be
// sent: if it is the one that tries a blocked key again, no other is for some time.
func (l *Ledger) Check(now time.Time, r Request, begin bool) (index int, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirm(now)
	if len(l.blocks) == 0 {
		return -1, time.Time{}
	}
	customer := hashOf(string(r.Customer))
	var trials []*block
	for i, p := range r.Keys {
		b := l.blocks[p]
		if b == nil || !b.appliesTo(customer) {
			continue
		}
		if now.Before(b.until) {
			return i, b.until
		}
		if !l.mayTry(now, p, b) {
			return i, now.Add(b.trialInterval())
		}
		trials = append(trials, b)
	}
	if begin {
		for _, b := range trials {
			l.tryNow(now, b)
		}
	}
	return -1, time.Time{}
}
