package ratelimit

import (
	"math"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Note is what an entry reports of one target's limit.
type Note struct {
	// Limit is what the sender itself has observed, AgeMillis before the report; meaningful
	// only if Observed. What it knows from others is not passed on: it has no exact age.
	Observed  bool            `cbor:"1,keyasint,omitempty"`
	Limit     state.RateLimit `cbor:"2,keyasint,omitzero"`
	AgeMillis int64           `cbor:"3,keyasint,omitempty"`
	InForce   bool            `cbor:"4,keyasint,omitempty"` // the sender keeps to a limit
	Lends     bool            `cbor:"5,keyasint,omitempty"` // it leaves its part to the others
	Idle      bool            `cbor:"6,keyasint,omitempty"` // it has no requests for the target
}

// SameExceptAge reports whether two notes differ in their age only.
func (n Note) SameExceptAge(other Note) bool {
	n.AgeMillis = other.AgeMillis
	return n == other
}

// peer is what another entry has reported.
type peer struct {
	reportedAt time.Time
	notes      map[state.TargetID]Note
	ranks      map[state.TargetID]uint64 // hashes already computed
}

// lends reports whether the entry leaves its part to the others. Of an entry that says
// nothing, or has been silent for too long, it is assumed that it uses its part.
func (p *peer) lends(now time.Time, id state.TargetID) bool {
	return p.notes[id].Lends && now.Sub(p.reportedAt) <= staleAfter
}

// rank returns the hash by which the entry is ordered for a target.
func (p *peer) rank(id state.TargetID, instance state.InstanceID) uint64 {
	hash, ok := p.ranks[id]
	if !ok {
		hash = rankHash(id, instance)
		p.ranks[id] = hash
	}
	return hash
}

// Report returns what to report to the other entries.
func (l *Ledger) Report(now time.Time) map[state.TargetID]Note {
	var notes map[state.TargetID]Note
	for id, t := range l.targets {
		n := Note{InForce: t.limit.Stated}
		if t.limit.Stated {
			l.update(now, id, t)
			n.Lends, n.Idle = t.lends, t.idle(now)
		}
		if !t.ownAt.IsZero() && t.own == t.limit {
			n.Observed, n.Limit, n.AgeMillis = true, t.own, wholeMillis(now.Sub(t.ownAt))
		}
		if !n.InForce && !(n.Observed && now.Before(t.reportEndUntil)) {
			continue
		}
		if notes == nil {
			notes = make(map[state.TargetID]Note)
		}
		notes[id] = n
	}
	return notes
}

// wholeMillis returns d in milliseconds, rounded up.
func wholeMillis(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// ApplyReport records another entry's report. It returns the changes of limits that follow
// from it.
func (l *Ledger) ApplyReport(now time.Time, from state.InstanceID, notes map[state.TargetID]Note) []*Change {
	changes := l.Update(now) // what is due until now depends on the reports before
	p := l.peers[from]
	if p == nil {
		p = &peer{ranks: make(map[state.TargetID]uint64)}
		l.peers[from] = p
	}
	p.reportedAt, p.notes = now, notes
	for id, n := range notes {
		if _, listed := l.used[id]; !listed {
			continue
		}
		if c := l.applyNote(now, from, id, n); c != nil {
			changes = append(changes, c)
		}
	}
	return changes
}

// applyNote learns from one note.
func (l *Ledger) applyNote(now time.Time, from state.InstanceID, id state.TargetID, n Note) *Change {
	var c *Change
	if n.Observed {
		c = l.learn(now, now.Add(-time.Duration(n.AgeMillis)*time.Millisecond), id, n.Limit, from)
	}
	t := l.targets[id]
	switch {
	case t == nil:
	case t.limit.Stated && n.Observed && n.Limit.Stated:
		t.confirmedAt = now
	case !t.limit.Stated && n.InForce:
		t.reportEndUntil = now.Add(endReportTime) // the sender has not heard of the end
	}
	return c
}

// RemovePeer forgets an entry that has stopped.
func (l *Ledger) RemovePeer(from state.InstanceID) { delete(l.peers, from) }
