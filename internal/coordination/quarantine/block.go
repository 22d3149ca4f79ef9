package quarantine

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// A part is blocked for initialHold. Each time that it crashes a target again, the
	// next hold is twice as long, up to maxHold.
	initialHold = time.Minute
	maxHold     = time.Hour
	// initialContentHold replaces initialHold for the content of a request: no other request
	// waits for its trial.
	initialContentHold = 10 * time.Minute
	// blockTrialInterval is the time between two requests with a part whose hold is over,
	// and probationInterval that between two with a part on probation.
	blockTrialInterval = 10 * time.Second
	probationInterval  = time.Second
	// Entries may try a key by turns of trialTurn, in which the others hear of a trial. At
	// first one of them may in each turn, and twice as many with each rampInterval, because
	// callers with such requests may seldom come to the one whose turn it is.
	trialTurn    = 250 * time.Millisecond
	rampInterval = 30 * time.Second
	// maxRefuted is the number of an entry's accusations that were refuted after which its
	// word alone puts no part on probation.
	maxRefuted = 3
	// maxRamp bounds the exponent of the number of entries that may try a part.
	maxRamp = 16
)

// block keeps a part from targets, but for single requests that try it.
type block struct {
	// until is the end of the hold, after which the part is tried again. A part on probation
	// has no hold: until is since.
	since, until time.Time
	hold         time.Duration
	probation    bool
	// accusers are the other entries that say that the part is blocked, or that have seen
	// crashes with it.
	accusers    map[state.InstanceID]bool
	all         bool            // for all customers
	customers   map[uint64]bool // hashes of customers, unless all
	triedAt     time.Time       // when a request has tried the part last, here or elsewhere
	ownTrial    bool            // that was here
	reportsLeft int             // reports that are still to contain the block or the trial
}

// appliesTo reports whether the block is for a customer.
func (b *block) appliesTo(customer uint64) bool { return b.all || b.customers[customer] }

// addCustomers extends the block to more customers. A block for several is for all.
func (b *block) addCustomers(customers map[uint64]bool) {
	maps.Copy(b.customers, customers)
	b.all = b.all || len(b.customers) > 1
}

// appliesToAll reports whether the block is for all of the customers.
func (b *block) appliesToAll(customers map[uint64]bool) bool {
	for c := range customers {
		if !b.appliesTo(c) {
			return false
		}
	}
	return true
}

// beginHold begins a hold.
func (b *block) beginHold(at time.Time, hold time.Duration) {
	b.since, b.until, b.hold, b.probation = at, at.Add(hold), hold, false
	b.triedAt, b.ownTrial = time.Time{}, false
}

// firstHold returns the hold with which the block of a key begins.
func firstHold(k Key) time.Duration {
	if k.IsContent() {
		return initialContentHold
	}
	return initialHold
}

// trialInterval returns the time between two requests that try the part.
func (b *block) trialInterval() time.Duration {
	if b.probation {
		return probationInterval
	}
	return blockTrialInterval
}

// mayTry reports whether this entry may send a request with a part that is on probation or
// whose hold is over. Entries tell each other such requests. Only some may send them, so
// that requests which come to several entries at once do not all try the part.
func (l *Ledger) mayTry(now time.Time, p Key, b *block) bool {
	if now.Sub(b.triedAt) < b.trialInterval() {
		return false
	}
	turn, ramp := uint64(now.Sub(b.until)/trialTurn), int(now.Sub(b.until)/rampInterval)
	rank := func(id state.InstanceID) uint64 {
		text := binary.LittleEndian.AppendUint64([]byte(id), uint64(p))
		return xxhash.Sum64(binary.LittleEndian.AppendUint64(text, turn))
	}
	own, before := rank(l.cfg.Self), 0
	for _, other := range l.cfg.Others(now) {
		if rank(other) < own {
			before++
		}
	}
	return before>>min(ramp, maxRamp) == 0
}

// tryNow records that this entry sends a request with the part.
func (l *Ledger) tryNow(now time.Time, b *block) {
	b.triedAt, b.ownTrial, b.reportsLeft, l.unsent = now, true, reportsEach, true
}

// newBlock adds a probation that begins now and applies to nobody yet. If there are too many
// blocks, the one that ends first is removed.
func (l *Ledger) newBlock(now time.Time, p Key) *block {
	if len(l.blocks) >= maxBlocks {
		first := p
		for other, b := range l.blocks {
			if first == p || b.until.Before(l.blocks[first].until) {
				first = other
			}
		}
		delete(l.blocks, first)
	}
	b := &block{since: now, until: now, probation: true, customers: make(map[uint64]bool), accusers: make(map[state.InstanceID]bool)}
	l.blocks[p] = b
	return b
}

// applyVerdict puts a part on probation or blocks it, as the verdict says, or extends its
// block to more customers.
func (l *Ledger) applyVerdict(now time.Time, v *verdict) {
	b := l.blocks[v.key]
	if b == nil {
		b = l.newBlock(now, v.key)
	}
	for entry := range v.reporters {
		if entry != l.cfg.Self {
			b.accusers[entry] = true
		}
	}
	if b.probation && l.convicts(v) {
		b.beginHold(now, firstHold(v.key))
	}
	b.addCustomers(v.customers)
	l.notify(v.key, b, v.crashes, len(v.reporters))
}

// addToBlock applies a further crash with a part that is blocked or on probation. Seen by
// another entry than those that accuse the part, it ends the probation; after the end of a
// hold it begins the next one.
func (l *Ledger) addToBlock(now time.Time, p Key, b *block, e *evidence) {
	switch {
	case b.probation && len(b.accusers) > 0 && !b.accusers[e.reporter]:
		b.beginHold(now, firstHold(p))
	case !b.probation && !e.sentAt.Before(b.until):
		b.beginHold(e.endedAt, min(maxHold, 2*b.hold))
	default:
		return
	}
	b.addCustomers(map[uint64]bool{e.customer: true})
	l.notify(p, b, 1, 1)
}

// discredited reports whether an entry that accuses a part alone has been refuted too often.
func (l *Ledger) discredited(accusers map[state.InstanceID]bool) bool {
	for entry := range accusers {
		if l.refuted[entry] >= maxRefuted {
			return true
		}
	}
	return false
}

// releaseIfAnswered ends the block of a part that was answered after it began.
func (l *Ledger) releaseIfAnswered(p Key, answeredAt time.Time) {
	b := l.blocks[p]
	if b == nil || !answeredAt.After(b.since) {
		return
	}
	if b.probation && len(b.accusers) == 1 {
		for entry := range b.accusers {
			l.refuted[entry]++
		}
	}
	l.release(p)
}

func (l *Ledger) release(p Key) {
	delete(l.blocks, p)
	l.changeCount++
	if l.cfg.OnChange != nil {
		l.cfg.OnChange(Change{Key: p, Released: true})
	}
}

// notify tells the observer and the other entries of a block.
func (l *Ledger) notify(p Key, b *block, crashes, entries int) {
	b.reportsLeft, l.unsent = reportsEach, true
	l.changeCount++
	if l.cfg.OnChange != nil {
		l.cfg.OnChange(Change{Key: p, Probation: b.probation, All: b.all, Until: b.until, Crashes: crashes, Entries: entries})
	}
}
