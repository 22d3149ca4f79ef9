package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// reportsEach is the number of reports that contain what is new, because a report may
	// be lost. Reports to all contain it for repeatTime.
	reportsEach = 2
	repeatTime  = 5 * time.Second
	// soundInterval is the time between reports that the same part was answered.
	soundInterval = time.Second
	// maxReportedKeys bounds the keys in one report to about ten kilobytes.
	maxReportedKeys = 1 << 10
	// maxReportedCustomers bounds the customers of a block in a report. A block for more
	// than one customer is for all.
	maxReportedCustomers = 1
)

// Report is what one entry tells the others. Times are ages in milliseconds, because the
// clocks of instances differ.
type Report struct {
	Crashes []CrashNote `cbor:"1,keyasint,omitempty"`
	Sound   []SoundNote `cbor:"2,keyasint,omitempty"`
	Blocks  []BlockNote `cbor:"3,keyasint,omitempty"`
	Trials  []TrialNote `cbor:"4,keyasint,omitempty"`
	// Served has the services with crashes lately, and when they last answered a request
	// here.
	Served []ServedNote `cbor:"5,keyasint,omitempty"`
	Life   []LifeNote   `cbor:"6,keyasint,omitempty"`
	// Closed has the identifiers of those of Crashes where the address of the target still
	// accepted connections.
	Closed []uint64 `cbor:"7,keyasint,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool {
	return len(r.Crashes)+len(r.Sound)+len(r.Blocks)+len(r.Trials)+len(r.Served)+len(r.Life) == 0
}

// CrashNote is a request that had no response when its target crashed.
type CrashNote struct {
	_                               struct{} `cbor:",toarray"`
	ID                              uint64
	Run, Machine, Service, Customer uint64 // hashes
	SentMillis, EndedMillis         uint32
	Keys                            []Key
}

// SoundNote says that a part was answered.
type SoundNote struct {
	_ struct{} `cbor:",toarray"`
	Key
	AgeMillis uint32
}

// BlockNote says that a part is blocked.
type BlockNote struct {
	_ struct{} `cbor:",toarray"`
	Key
	All                     bool
	Customers               []uint64 // hashes, unless All
	SinceMillis, HoldMillis uint32
}

// TrialNote says that a request was sent to try a part that is blocked or on probation.
type TrialNote struct {
	_ struct{} `cbor:",toarray"`
	Key
	AgeMillis uint32
}

// ServedNote says that a service, identified by its hash, has answered a request.
type ServedNote struct {
	_         struct{} `cbor:",toarray"`
	Service   uint64
	AgeMillis uint32
}

// soundNote is a key that was answered although there is evidence against it, or shortly
// before there was.
type soundNote struct {
	answeredAt, reportedAt time.Time
	reportsLeft            int
}

// noteSound prepares the report that a key was answered.
func (l *Ledger) noteSound(now time.Time, p Key, answeredAt time.Time) {
	s := l.sound[p]
	if s == nil {
		if len(l.sound) >= maxEvidence {
			return // told after the next answer
		}
		s = &soundNote{}
		l.sound[p] = s
	}
	s.answeredAt = answeredAt
	if now.Sub(s.reportedAt) >= soundInterval {
		s.reportedAt, s.reportsLeft = now, reportsEach
		l.unsent = true
	}
}

// HasUnreported reports whether there is something to tell at once.
func (l *Ledger) HasUnreported() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsent
}

// Report returns what the next report is to contain. With toAll set, that includes all
// blocks and what was new lately.
func (l *Ledger) Report(now time.Time, toAll bool) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsent = false
	var r Report
	keys := 0
	for _, e := range slices.Backward(l.evidence.all) { // the newest first
		if e.reporter != l.cfg.Self || e.refuted || slices.Contains(l.evidence.unconfirmed, e) || e.reportsLeft == 0 && !(toAll && now.Sub(e.endedAt) < repeatTime) {
			continue
		}
		if keys += len(e.keys); keys > maxReportedKeys {
			break
		}
		e.reportsLeft = max(0, e.reportsLeft-1)
		if e.closed {
			r.Closed = append(r.Closed, e.id)
		}
		r.Crashes = append(r.Crashes, CrashNote{
			ID: e.id, Run: e.run, Machine: e.machine, Service: e.service, Customer: e.customer, SentMillis: millis(now.Sub(e.sentAt)), EndedMillis: millis(now.Sub(e.endedAt)), Keys: e.keys,
		})
	}
	for p, s := range l.sound {
		if s.reportsLeft > 0 || toAll && now.Sub(s.reportedAt) < repeatTime {
			s.reportsLeft = max(0, s.reportsLeft-1)
			r.Sound = append(r.Sound, SoundNote{Key: p, AgeMillis: millis(now.Sub(s.answeredAt))})
		}
		if now.Sub(s.reportedAt) >= repeatTime {
			delete(l.sound, p)
		}
	}
	for p, b := range l.blocks {
		if b.reportsLeft == 0 && !toAll {
			continue
		}
		b.reportsLeft = max(0, b.reportsLeft-1)
		if !b.probation {
			r.Blocks = append(r.Blocks, b.note(now, p))
		}
		if b.ownTrial && now.Sub(b.triedAt) < b.trialInterval() {
			r.Trials = append(r.Trials, TrialNote{Key: p, AgeMillis: millis(now.Sub(b.triedAt))})
		}
	}
	r.Served = l.servedNotes(now)
	r.Life = l.lifeNotes(now)
	return r
}

// servedNotes returns when the services with crashes within repeatTime last answered a
// request that was sent to this entry.
func (l *Ledger) servedNotes(now time.Time) []ServedNote {
	var notes []ServedNote
	for _, e := range slices.Backward(l.evidence.all) {
		if now.Sub(e.endedAt) > repeatTime {
			break
		}
		at, ok := l.served[e.service]
		known := slices.ContainsFunc(notes, func(n ServedNote) bool { return n.Service == e.service })
		if ok && !known && at.After(e.sentAt) {
			notes = append(notes, ServedNote{Service: e.service, AgeMillis: millis(now.Sub(at))})
		}
	}
	return notes
}

// note returns what to tell of a block.
func (b *block) note(now time.Time, p Key) BlockNote {
	n := BlockNote{Key: p, All: b.all, SinceMillis: millis(now.Sub(b.since)), HoldMillis: millis(b.hold)}
	if b.all {
		return n
	}
	for c := range b.customers {
		n.Customers = append(n.Customers, c)
	}
	return n
}

// millis returns d in milliseconds, within the range of its type.
func millis(d time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, d.Milliseconds())))
}

// ago returns the time that was a number of milliseconds before now.
func ago(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// Learn applies the report of another entry.
func (l *Ledger) Learn(now time.Time, from state.InstanceID, r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range r.Sound {
		answeredAt := ago(now, s.AgeMillis)
		if l.accused(s.Key) && !l.answeredSince(s.Key, answeredAt) {
			l.answered(s.Key).Set(s.Key, answeredAt)
		}
		l.releaseIfAnswered(s.Key, answeredAt)
	}
	for _, n := range r.Life {
		l.learnLife(now, n)
	}
	for _, c := range r.Crashes {
		l.learnCrash(now, from, &c, slices.Contains(r.Closed, c.ID))
	}
	for _, s := range r.Served {
		l.learnServed(ago(now, s.AgeMillis), s.Service)
	}
	for _, b := range r.Blocks {
		l.learnBlock(now, from, &b)
	}
	for _, t := range r.Trials {
		if b := l.blocks[t.Key]; b != nil && ago(now, t.AgeMillis).After(b.triedAt) {
			b.triedAt, b.ownTrial = ago(now, t.AgeMillis), false
		}
	}
}

// learnServed records that a service has answered a request of another entry, if there is
// evidence of crashes there.
func (l *Ledger) learnServed(at time.Time, service uint64) {
	if slices.ContainsFunc(l.evidence.all, func(e *evidence) bool { return e.service == service }) {
		l.recordServed(at, service)
	}
}

// learnCrash adds what another entry has seen, unless it is known. The reporter does not know
// which of the keys this entry has answered lately, so it is told.
func (l *Ledger) learnCrash(now time.Time, from state.InstanceID, c *CrashNote, closed bool) {
	if len(c.Keys) == 0 || len(c.Keys) > maxKeys {
		return
	}
	if l.evidence.byID[evidenceID{from, c.ID}] {
		return
	}
	if at, alive := l.aliveSince(c.Run, ago(now, c.EndedMillis)); closed && alive {
		l.life[c.Run], l.unsent = at, true
		return
	}
	for _, k := range c.Keys {
		if at, ok := l.answered(k).Get(k); ok && now.Sub(at) <= answeredMemory {
			l.noteSound(now, k, at)
		}
	}
	l.add(now, &evidence{
		id: c.ID, reporter: from, run: c.Run, machine: c.Machine, service: c.Service, customer: c.Customer,
		sentAt: ago(now, c.SentMillis), endedAt: ago(now, c.EndedMillis), closed: closed, keys: c.Keys,
	})
}

// learnBlock blocks a part as another entry does, if a second one says so or this entry has
// seen a crash with it. Otherwise the part is put on probation. The block ends with the
// longer of the holds.
func (l *Ledger) learnBlock(now time.Time, from state.InstanceID, n *BlockNote) {
	since, hold := ago(now, n.SinceMillis), min(maxHold, time.Duration(n.HoldMillis)*time.Millisecond)
	if hold < initialHold || len(n.Customers) > maxReportedCustomers || l.answeredSince(n.Key, since) {
		return
	}
	witnesses := l.witnessesOf(n.Key)
	witnesses[from] = true
	b := l.blocks[n.Key]
	if b == nil {
		if !l.witnessed(witnesses) && l.discredited(witnesses) {
			return
		}
		b = l.newBlock(now, n.Key)
	}
	b.accusers[from] = true
	changed := false
	if l.witnessed(witnesses) && (b.probation || hold > b.hold) {
		changed = true
		b.beginHold(since, hold)
	}
	customers := make(map[uint64]bool)
	for _, c := range n.Customers {
		customers[c] = true
	}
	if n.All && !b.all || !b.appliesToAll(customers) {
		changed = true
		b.all = b.all || n.All
		b.addCustomers(customers)
	}
	if changed {
		l.notify(n.Key, b, 0, len(witnesses))
	}
}

// witnessesOf returns the entries that have seen crashes with a part or say that it is
// blocked.
func (l *Ledger) witnessesOf(p Key) map[state.InstanceID]bool {
	entries := make(map[state.InstanceID]bool)
	for _, e := range l.evidence.byKey[p] {
		if !l.answeredSince(p, e.sentAt) {
			entries[e.reporter] = true
		}
	}
	if b := l.blocks[p]; b != nil {
		maps.Copy(entries, b.accusers)
	}
	return entries
}

// Changes returns the number of changes of what is blocked or on probation.
func (l *Ledger) Changes() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changeCount
}

// Summary is the state of a part that is blocked or on probation, for the metrics.
type Summary struct {
	Key           uint64 `json:"key"`
	Probation     bool   `json:"probation"`
	AllCustomers  bool   `json:"all_customers"`
	AgeMillis     uint32 `json:"age_ms"`
	HoldMillis    uint32 `json:"hold_ms"` // 0 on probation
	Crashes       int    `json:"crashes"` // that are remembered
	OtherAccusers int    `json:"other_accusers"`
}

// Summary returns the state of all parts that are blocked or on probation.
func (l *Ledger) Summary(now time.Time) []Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	summaries := []Summary{}
	for p, b := range l.blocks {
		summaries = append(summaries, Summary{
			Key: uint64(p), Probation: b.probation, AllCustomers: b.all, AgeMillis: millis(now.Sub(b.since)), HoldMillis: millis(b.hold),
			Crashes: len(l.runsWith(p)), OtherAccusers: len(b.accusers),
		})
	}
	return summaries
}

// Blocks returns the parts that are blocked, to be kept for processes that start.
func (l *Ledger) Blocks(now time.Time) []BlockNote {
	l.mu.Lock()
	defer l.mu.Unlock()
	var notes []BlockNote
	for p, b := range l.blocks {
		if !b.probation {
			notes = append(notes, b.note(now, p))
		}
	}
	return notes
}

// LearnBlocks applies the blocks that an entry has kept, age ago.
func (l *Ledger) LearnBlocks(now time.Time, from state.InstanceID, notes []BlockNote, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range notes {
		l.learnBlock(now.Add(-age), from, &n)
	}
}
