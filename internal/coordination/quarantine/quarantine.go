// Package quarantine keeps requests from targets if a part of their prompts crashes each
// target that begins to answer it. The parts are found from the requests that had no
// response when their targets ended. Entries tell each other what they have seen.
//
// Invariants:
//   - A part is blocked only if nothing with it was answered since the crashes that speak
//     against it, while the service answered other requests, on several machines, and crash
//     after crash: a request that had been sent before another crash counts as one with it,
//     because all targets may end together. Against a part that was answered within the last
//     minute, more crashes must speak.
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

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxParts is the number of parts of a prompt that are considered.
	maxParts = 256
	// maxAnswered bounds each of the two generations of parts known to be answered, which
	// together take about half a megabyte.
	maxAnswered = 1 << 12
	// maxBlocks bounds the blocked parts.
	maxBlocks = 256
)

// Key identifies a part of a prompt at a service.
type Key uint64

// KeysOf returns the keys of the parts of a prompt that requests may have in common: all
// but the last, which is the request's own.
func KeysOf(service state.Service, prompt []state.PromptPart) []Key {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, maxParts)]
	keys := make([]Key, len(shared))
	for i, part := range shared {
		keys[i] = Key(hashOf(string(service), part.ID))
	}
	return keys
}

// ContentKey returns the key of a request by its content: customer, method, host, path and
// body.
func ContentKey(customer state.Customer, c *state.Call) Key {
	d := digestOf(string(customer), c.Method, c.Host, c.URI)
	_, _ = d.Write(c.Body) // hash writes never fail
	return Key(d.Sum64())
}

func hashOf(words ...string) uint64 { return digestOf(words...).Sum64() }

// digestOf returns a digest to which the words were written.
func digestOf(words ...string) *xxhash.Digest {
	d := xxhash.New()
	for _, w := range words {
		_, _ = d.WriteString(w) // hash writes never fail
		_, _ = d.Write([]byte{0})
	}
	return d
}

// Request is what the ledger needs to know of a request.
type Request struct {
	Service  state.Service
	Parts    []Key
	Customer state.Customer
}

// Config configures a Ledger.
type Config struct {
	Self state.InstanceID
	// Others returns the other entries that have been heard lately.
	Others func(now time.Time) []state.InstanceID
	// OnChange is called, with the ledger locked, when a part is blocked, blocked for more
	// customers, or released. It must not block or call the ledger.
	OnChange func(Change)
}

// Change is a change of what is blocked.
type Change struct {
	Part     Key
	Released bool // answered again; the fields below are then meaningless
	// Probation says that the part is not blocked, but only one request is sent at a time.
	Probation bool
	// All says that the part is blocked for all customers, otherwise for those whose
	// requests were at targets that crashed.
	All     bool
	Until   time.Time // when it is tried again
	Crashes int       // that speak against it, 0 if it was learned from other entries
	Entries int       // that saw them
}

// Ledger holds what is known of parts that crash targets. It is safe for concurrent use.
type Ledger struct {
	cfg Config
	// answered holds when a part was last answered here or, if there is evidence against
	// it, elsewhere.
	answered traffic.RecentCache[Key, time.Time]

	mu          sync.Mutex
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
		cfg: c, answered: traffic.RecentCache[Key, time.Time]{GenerationLimit: maxAnswered},
		served: make(map[uint64]time.Time), evidence: newEvidenceLog(), blocks: make(map[Key]*block), sound: make(map[Key]*soundNote), refuted: make(map[state.InstanceID]int),
	}
}

// Answered records that a target has begun to answer a request, which speaks for all parts
// of its prompt.
func (l *Ledger) Answered(now time.Time, r Request) {
	for _, p := range r.Parts {
		l.answered.Set(p, now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordServed(now, hashOf(string(r.Service)))
	if len(l.evidence.all) == 0 && len(l.blocks) == 0 {
		return
	}
	for _, p := range r.Parts {
		if l.accused(p) {
			l.noteSound(p, now)
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
			l.applyEvidence(at, e.parts)
		}
	}
}

// accused reports whether there is any evidence against a part, or a block.
func (l *Ledger) accused(p Key) bool {
	return l.blocks[p] != nil || len(l.evidence.byPart[p]) > 0
}

// answeredSince reports whether the part was answered after a time.
func (l *Ledger) answeredSince(p Key, t time.Time) bool {
	at, ok := l.answered.Get(p)
	return ok && at.After(t)
}

// Crash is a request that had no response when its target crashed.
type Crash struct {
	Request
	Target  state.TargetRecord
	SentAt  time.Time
	EndedAt time.Time
}

// RecordCrash records a crash that this entry has seen. Parts that were answered since the
// request was sent do not count.
func (l *Ledger) RecordCrash(c *Crash) {
	e := &evidence{
		id: rand.Uint64(), reporter: l.cfg.Self, run: runOf(&c.Target), machine: hashOf(c.Target.Address),
		service: hashOf(string(c.Service)), customer: hashOf(string(c.Customer)),
		sentAt: c.SentAt, endedAt: c.EndedAt, reportsLeft: reportsEach,
	}
	for _, p := range c.Parts {
		if !l.answeredSince(p, c.SentAt) {
			e.parts = append(e.parts, p)
		}
	}
	if len(e.parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsent = true
	l.add(c.EndedAt, e)
}

// runOf returns a hash of one run of a target.
func runOf(t *state.TargetRecord) uint64 {
	return hashOf(string(t.ID), string(binary.LittleEndian.AppendUint64(nil, uint64(t.Started))))
}

// Suspects reports whether a part of the prompt was in a request that another target had
// when it crashed, and was not answered since. Such a request is better not sent again.
func (l *Ledger) Suspects(c *Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := runOf(&c.Target)
	return slices.ContainsFunc(c.Parts, func(p Key) bool {
		return slices.ContainsFunc(l.evidence.byPart[p], func(e *evidence) bool {
			return e.run != run && !l.answeredSince(p, e.sentAt)
		})
	})
}

// Check reports which part of the prompt, by its index, keeps a request from targets, and
// until when at least; index is -1 if none does. With begin set, the request is about to be
// sent: if it is the one that tries a blocked part again, no other is for some time.
func (l *Ledger) Check(now time.Time, r Request, begin bool) (index int, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.blocks) == 0 {
		return -1, time.Time{}
	}
	customer := hashOf(string(r.Customer))
	var trials []*block
	for i, p := range r.Parts {
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
