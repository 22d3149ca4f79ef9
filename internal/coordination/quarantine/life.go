package quarantine

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxRunsAlive bounds each of the two generations of runs of targets known to respond.
	maxRunsAlive = 1 << 9
	// lifeMargin is how long after its end a target must have responded to refute the end: a
	// response may be read late, and the ages in reports include the time on the way.
	lifeMargin = 200 * time.Millisecond
	// maxLifeDelay is how long after its end a response refutes it at most. A later one may be
	// of a new process with the same identifier that the list of targets does not show yet.
	maxLifeDelay = time.Second
)

// LifeNote says that a run of a target, identified by its hash, has responded although it
// was reported to have ended before.
type LifeNote struct {
	_         struct{} `cbor:",toarray"`
	Run       uint64
	AgeMillis uint32
}

// Alive records that a target has responded, to whatever request.
func (l *Ledger) Alive(now time.Time, target *state.TargetRecord) {
	run := runOf(target)
	l.alive.Set(run, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refute(now, run, now) {
		l.life[run], l.unsent = now, true
	}
}

// refutes reports whether a response at a time shows that a target had not ended before.
func refutes(aliveAt, endedAt time.Time) bool {
	after := aliveAt.Sub(endedAt)
	return after > lifeMargin && after <= maxLifeDelay
}

// refute marks the evidence of the end of a run as refuted if the run has responded
// afterwards, and releases what is no longer to be blocked. It reports whether there was
// such evidence.
func (l *Ledger) refute(now time.Time, run uint64, aliveAt time.Time) bool {
	if end, ended := l.evidence.ends[run]; !ended || !refutes(aliveAt, end) {
		return false
	}
	var keys []Key
	for _, e := range l.evidence.all {
		if e.run == run && e.closed && !e.refuted && refutes(aliveAt, e.endedAt) {
			e.refuted = true
			keys = append(keys, e.keys...)
		}
	}
	if len(keys) == 0 {
		return false
	}
	l.evidence.updateEnd(run)
	for _, k := range keys {
		if l.blocks[k] != nil && !l.suspects(l.judge(now, k, l.explainedRuns())) {
			l.release(k)
		}
	}
	return true
}

// aliveSince returns when this entry has had a response from a run of a target that another
// entry reports to have ended, and whether it has.
func (l *Ledger) aliveSince(run uint64, endedAt time.Time) (time.Time, bool) {
	at, ok := l.alive.Get(run)
	return at, ok && refutes(at, endedAt)
}

// learnLife applies what another entry tells of a run that was reported to have ended.
func (l *Ledger) learnLife(now time.Time, n LifeNote) {
	l.refute(now, n.Run, ago(now, n.AgeMillis))
}

// lifeNotes returns what to tell of runs that were reported to have ended.
func (l *Ledger) lifeNotes(now time.Time) []LifeNote {
	var notes []LifeNote
	for run, at := range l.life {
		if now.Sub(at) >= repeatTime {
			delete(l.life, run)
			continue
		}
		notes = append(notes, LifeNote{Run: run, AgeMillis: millis(now.Sub(at))})
	}
	return notes
}
