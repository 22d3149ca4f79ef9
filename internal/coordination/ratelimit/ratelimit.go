// Package ratelimit keeps all entries together to the limits that targets state in their
// responses: how many requests a second a target takes from all of them, for as long as
// its responses say so.
//
// Entries share a limit without asking each other. Each takes an equal part of the rate,
// with a token bucket of a depth of about one request. An entry that does not use its part
// lends it to the others, in its reports, until it needs it again. If a limit is too low
// for a bucket at every entry, a few of them hold one and the others lend.
//
// Invariant: at any time, the rates at which buckets fill add up to the limit at most. What
// entries send within a window is at most what fills their buckets meanwhile and what
// the buckets held before; docs/decisions/0012 has the whole sum. It rests on three delays:
//   - a report older than staleAfter does not lend any more;
//   - an entry that ends a loan takes its part again only after loanDelay, when no other
//     entry can still count on it;
//   - an entry that has just started takes no part for settleTime, in which the others
//     hear of it and it of them.
package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// staleAfter is the age from which another entry's report no longer says that it lends
	// its part. Entries report every second at least, and one report may be lost.
	staleAfter = 2500 * time.Millisecond
	// loanDelay exceeds staleAfter by the longest time that a report is under way.
	loanDelay = 3 * time.Second
	// settleTime is how long a process takes no part after its start.
	settleTime = 3 * time.Second
	// forgetAfter is the time without a report after which another entry is taken as gone.
	forgetAfter = 10 * time.Second
	// lendAfter is how long an entry leaves a permit unused before it lends its part.
	lendAfter = time.Second
	// idleAfter is the time without a request that could go to the target after which other
	// entries are preferred as holders.
	idleAfter = 3 * time.Second
	// burstTime is the time for which a bucket gathers permits beyond the first, so that
	// none are lost between two looks at the queue.
	burstTime = 100 * time.Millisecond
	// changeReserve is how many buckets may have been emptied in a window by entries that
	// no longer hold the limit when others have taken their place.
	changeReserve = 2
	// minRate is the least rate, in requests a second, at which all entries together send
	// to a target. A lower limit could hardly be seen to end.
	minRate = 0.25
	// endReportTime is how long an entry reports that a limit has ended.
	endReportTime = 4 * time.Second
	// unconfirmedTime is the time after which an entry that cannot send to a target drops a
	// limit that no other entry reports.
	unconfirmedTime = 5 * time.Second
	// countInterval is the longest time between two counts of the entries.
	countInterval = 20 * time.Millisecond
)

// MaxSendDelay is the longest time from taking a permit to sending the request. It covers
// the opening of a connection. A permit that is older must not be used.
const MaxSendDelay = 800 * time.Millisecond

// Tolerance is what the platform tolerates beyond a limit: within any Window, a target may
// get Factor times what the limit allows and Slack requests more.
type Tolerance struct {
	Window time.Duration
	Factor float64
	Slack  float64 // requests
}

// maxHolders returns how many entries may have a bucket for a target without exceeding what
// is tolerated: each bucket may hold one request at the start of a window.
func (t *Tolerance) maxHolders(limit float64) int {
	tolerated := t.Factor*limit*t.Window.Seconds() + t.Slack
	filled := sharedRate(limit) * (t.Window + MaxSendDelay + burstTime).Seconds()
	return int(min(math.MaxInt32, max(1, tolerated-filled-changeReserve)))
}

// sharedRate returns the rate that entries share for a limit.
func sharedRate(limit float64) float64 { return max(limit, minRate) }

// Config configures a Ledger.
type Config struct {
	Self      state.InstanceID
	StartedAt time.Time // of the process
	Tolerance Tolerance
}

// Ledger holds the limits that targets have stated and this entry's part of each. It is
// not safe for concurrent use.
type Ledger struct {
	cfg     Config
	targets map[state.TargetID]*target
	peers   map[state.InstanceID]*peer
	used    map[state.TargetID]bool // has the targets in the list; true: this entry sends requests to it
}

// target is what is known of the limit of one target, and this entry's part of it.
type target struct {
	limit state.RateLimit
	// observedAt orders what is known: a stated limit counts from the arrival of its
	// response, and a response without one from when its request was sent. So a response
	// that was under way when the target began to state a limit does not end it.
	observedAt time.Time
	// own is what this entry itself has observed last, at ownAt; zero for nothing. Only
	// this is reported: what others report has no exact age here.
	own   state.RateLimit
	ownAt time.Time
	// confirmedAt is when a response or a report last stated the limit.
	confirmedAt time.Time
	// reportEndUntil is until when it is reported that the limit has ended.
	reportEndUntil time.Time

	bucket
}

// New returns a ledger without limits.
func New(c Config) *Ledger {
	return &Ledger{cfg: c, targets: make(map[state.TargetID]*target), peers: make(map[state.InstanceID]*peer)}
}

// Change is a change of what is known of a target's limit.
type Change struct {
	Target   state.TargetID
	From, To state.RateLimit
	Age      time.Duration    // since the observation
	Source   state.InstanceID // the entry that observed it
}

// Observe records what a response that arrived at now, to a request that was sent at
// sentAt, states about the target's limit. It returns nil if nothing changed.
func (l *Ledger) Observe(now, sentAt time.Time, id state.TargetID, limit state.RateLimit) *Change {
	at := sentAt
	if limit.Stated {
		at = now
	}
	c := l.learn(now, at, id, limit, l.cfg.Self)
	if t := l.targets[id]; t != nil && at.After(t.ownAt) {
		if limit != t.own {
			t.reportEndUntil = now.Add(endReportTime)
		}
		t.own, t.ownAt = limit, at
	}
	return c
}

// learn records an observation unless a later one is known.
func (l *Ledger) learn(now, at time.Time, id state.TargetID, limit state.RateLimit, source state.InstanceID) *Change {
	t := l.targets[id]
	if t == nil {
		if !limit.Stated {
			return nil
		}
		t = &target{bucket: bucket{used: l.used[id]}}
		l.targets[id] = t
	}
	if !at.After(t.observedAt) {
		return nil
	}
	if limit.Stated {
		t.confirmedAt = now
	}
	before := t.limit
	if before == limit {
		t.observedAt = at
		return nil
	}
	if before.Stated {
		l.update(now, id, t)
	} else {
		t.bucket = l.newBucket(now, id, t.used)
	}
	t.limit, t.observedAt, t.countedAt = limit, at, time.Time{}
	return &Change{Target: id, From: before, To: limit, Age: now.Sub(at), Source: source}
}

// Limit returns the limit of a target that is known to be in force.
func (l *Ledger) Limit(id state.TargetID) state.RateLimit {
	if t := l.targets[id]; t != nil {
		return t.limit
	}
	return state.RateLimit{}
}

// Limited reports whether a limit of the target is in force, and the rate in requests a
// second at which this entry may send to it now.
func (l *Ledger) Limited(now time.Time, id state.TargetID) (rate float64, limited bool) {
	t := l.targets[id]
	if t == nil || !t.limit.Stated {
		return 0, false
	}
	l.update(now, id, t)
	return t.part(), true
}

// Allows reports whether this entry may send a request to the target now. Unless first is
// set, the request leaves a permit for burstTime to those that go first. The bucket gathers
// for that time beyond the first permit, so that none is lost.
func (l *Ledger) Allows(now time.Time, id state.TargetID, first bool) bool {
	t := l.targets[id]
	if t == nil || !t.limit.Stated {
		return true
	}
	t.askedAt = now
	l.update(now, id, t)
	return t.level >= 1 && (first || t.level >= t.depth())
}

// Take takes the permit for one request to the target. Each send needs one: first,
// repeated and resumed ones and probes alike.
func (l *Ledger) Take(now time.Time, id state.TargetID) {
	if t := l.targets[id]; t != nil && t.limit.Stated {
		l.update(now, id, t)
		t.take()
		t.updateLoan(now)
	}
}

// Return gives back the permit for a request that was not sent.
func (l *Ledger) Return(now time.Time, id state.TargetID) {
	if t := l.targets[id]; t != nil && t.limit.Stated {
		l.update(now, id, t)
		if t.holds {
			t.level = min(t.depth(), t.level+1)
		}
	}
}

// Update brings this entry's parts up to date and returns the limits that it drops. It must
// be called at intervals of some tens of milliseconds, so that a part follows what the
// others report.
func (l *Ledger) Update(now time.Time) []*Change {
	var dropped []*Change
	for id, t := range l.targets {
		if !t.limit.Stated {
			continue
		}
		l.update(now, id, t)
		if l.isUnconfirmed(now, t) {
			dropped = append(dropped, &Change{Target: id, From: t.limit, Age: now.Sub(t.observedAt), Source: l.cfg.Self})
			delete(l.targets, id)
		}
	}
	return dropped
}

// isUnconfirmed reports whether this entry cannot see the limit end, because it may not
// send to the target, and no other entry has reported it for some time.
func (l *Ledger) isUnconfirmed(now time.Time, t *target) bool {
	return !t.holds && len(l.peers) > 0 && now.Sub(t.confirmedAt) > unconfirmedTime && now.Sub(l.cfg.StartedAt) >= settleTime
}

// SetTargets sets which targets are in the list, and to which of them this entry sends
// requests. It lends its part of the others.
func (l *Ledger) SetTargets(uses map[state.TargetID]bool) {
	l.used = uses
	for _, p := range l.peers {
		clear(p.ranks)
	}
	for id, t := range l.targets {
		used, listed := uses[id]
		t.used = used
		if !listed {
			delete(l.targets, id)
		}
	}
}

// Forget forgets the limit of a target that has restarted.
func (l *Ledger) Forget(id state.TargetID) { delete(l.targets, id) }

// rankHash returns the hash by which entries are ordered for a target.
func rankHash(id state.TargetID, entry state.InstanceID) uint64 {
	return xxhash.Sum64String(string(id) + " " + string(entry))
}
