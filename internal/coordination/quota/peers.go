package quota

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// silentAfter is the time without a report after which another entry's usage is
	// taken as unknown. Entries report every second at least.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is the time without a report after which another entry is taken as
	// gone. It covers the platform's window of 8 s, in which the entry's requests
	// still count.
	forgetAfter = 12 * time.Second
	// settleTime is how long a restarted entry takes entries that it has not heard of
	// for running. When all restart at once, each would otherwise admit as if it were
	// alone until it hears of the others.
	settleTime = 2 * time.Second
	// StoreInterval is the time between two times at which the levels are stored.
	StoreInterval = time.Second
)

// peer is what another entry has reported.
type peer struct {
	incarnation state.Incarnation
	totals      map[state.Customer]float64 // units admitted since its start
	// totalsComplete says that totals has every customer of which the entry admitted
	// requests.
	totalsComplete bool
	reportedAt     time.Time
	uptime         time.Duration // of the entry when it sent its last report
	// unmatched has the units that were reported of customers without a bucket here.
	unmatched map[state.Customer]usage
}

// recent returns the units of a customer without a bucket that the peer has reported
// within the window.
func (p *peer) recent(now time.Time, customer state.Customer, window time.Duration) float64 {
	u := p.unmatched[customer]
	if now.Sub(u.changedAt) > window {
		return 0
	}
	return u.total
}

// shareInterval is how long the share of reporting entries is used before it is computed
// anew: it is needed for each report of hundreds of entries.
const shareInterval = 20 * time.Millisecond

// reportingShare returns the share of the known entries, this one included, that have
// reported lately, and forgets those that are gone. Buckets refill at this share of
// the rate, which leaves the rest to the silent entries.
func (l *Ledger) reportingShare(now time.Time) float64 {
	if age := now.Sub(l.shareAt); age >= 0 && age < shareInterval {
		return l.share
	}
	heard := 1
	for id, p := range l.peers {
		age := now.Sub(p.reportedAt)
		if age > forgetAfter {
			delete(l.peers, id)
			continue
		}
		if age <= silentAfter {
			heard++
		}
	}
	l.share, l.shareAt = float64(heard)/float64(l.entries(now)), now
	return l.share
}

// entries returns the number of known entries, this one included.
func (l *Ledger) entries(now time.Time) int {
	if l.restarted && (l.firstAdmit.IsZero() || now.Sub(l.firstAdmit) < settleTime) {
		return 1 + max(l.expectedPeers, len(l.peers))
	}
	return 1 + len(l.peers)
}

// SetExpectedPeers sets the number of other entries that may exist, including those
// that have not reported yet.
func (l *Ledger) SetExpectedPeers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectedPeers = n
}

// reportAge returns the time since the last report of another entry, 0 if there is no
// other.
func (l *Ledger) reportAge(now time.Time) time.Duration {
	var last time.Time
	for _, p := range l.peers {
		if p.reportedAt.After(last) {
			last = p.reportedAt
		}
	}
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// TotalsChangedSince returns the units that this entry has admitted since its start,
// of those customers whose total has changed at since or later.
func (l *Ledger) TotalsChangedSince(since time.Time) map[state.Customer]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[state.Customer]float64)
	for customer, u := range l.admitted {
		if !u.changedAt.Before(since) {
			used[customer] = u.total
		}
	}
	return used
}

// Levels returns the levels of the buckets for an entry that has restarted, or nil
// while this entry does not know them itself.
func (l *Ledger) Levels(now time.Time) map[state.Customer]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.levelsUnknown {
		return nil
	}
	levels := make(map[state.Customer]float64, len(l.buckets))
	for name, b := range l.buckets {
		if b.rate == 0 {
			continue // adopted, and its limits are not known yet
		}
		refilled := now.Sub(b.updatedAt).Seconds() * b.rate
		levels[name] = math.Floor(min(b.depth, b.level+refilled))
	}
	return levels
}

// AdoptLevels sets the buckets to the levels of another entry, unless the levels are
// known here. Customers that it does not name have used nothing lately.
func (l *Ledger) AdoptLevels(now time.Time, levels map[state.Customer]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.levelsUnknown || levels == nil {
		return
	}
	l.levelsUnknown, l.levelsSince = false, now
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			b.level, b.updatedAt, b.credit = level, now, 0
		} else {
			l.buckets[name] = &bucket{level: level, updatedAt: now, depth: math.Inf(1)}
		}
	}
}

// AdoptStored learns levels that were stored before the start of this process. They count
// until another entry tells its levels.
func (l *Ledger) AdoptStored(levels map[state.Customer]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.levelsUnknown || l.stored != nil {
		return
	}
	l.stored = levels
	for name, b := range l.buckets {
		b.level = min(b.depth, b.level+l.storedLeft(name, b))
	}
}

// expireRestart makes a restarted entry that was told no levels trust its own buckets
// once it has counted for the window.
func (l *Ledger) expireRestart(now time.Time) {
	if l.levelsUnknown && now.Sub(l.firstAdmit) > l.tolerance.Window {
		l.levelsUnknown = false
	}
}

// RemovePeer forgets an entry that is stopping.
func (l *Ledger) RemovePeer(from state.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, from)
}

// Report is what another entry reports of its use.
type Report struct {
	From        state.InstanceID
	Incarnation state.Incarnation
	Uptime      time.Duration
	// Used has the units admitted since the start of the entry, of some customers or, if
	// Complete is set, of all.
	Used     map[state.Customer]float64
	Complete bool
}

// ApplyReport subtracts from the buckets what another entry has admitted since its last
// report. Because reports have totals, the next report of a customer makes up for one
// that is lost or late.
func (l *Ledger) ApplyReport(now time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[r.From]
	if p == nil || p.incarnation != r.Incarnation {
		p = &peer{incarnation: r.Incarnation, totals: make(map[state.Customer]float64), unmatched: make(map[state.Customer]usage)}
		l.peers[r.From] = p
	}
	if r.Uptime < p.uptime {
		return // an older report that was overtaken
	}
	p.reportedAt, p.uptime = now, r.Uptime
	// Nothing that an entry has admitted is in the levels here if it started later than
	// these are known, or if they are not known.
	startedAt := now.Add(-r.Uptime)
	allRecent := p.totalsComplete || r.Uptime < l.tolerance.Window && (l.levelsUnknown || startedAt.After(l.levelsSince))
	share := 1.0
	if len(r.Used) > 0 {
		share = l.reportingShare(now)
	}
	for customer, total := range r.Used {
		before, known := p.totals[customer]
		p.totals[customer] = total
		if !known && !allRecent {
			continue // what it admitted before may not be recent
		}
		if b := l.buckets[customer]; b != nil {
			if b.rate > 0 { // its limits are known
				b.refill(now, l.tolerance.Window, share)
			}
			b.subtract(now, total-before)
			continue
		}
		p.unmatched[customer] = usage{total: p.unmatched[customer].total + total - before, changedAt: now}
	}
	p.totalsComplete = p.totalsComplete || r.Complete
}
