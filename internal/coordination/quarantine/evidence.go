package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// A target whose address accepts connections and closes them may have ended, or have as
	// many as it takes. It has ended if it does not respond to anything for confirmTime.
	confirmTime = 500 * time.Millisecond
	// evidenceMemory is how long a crash counts.
	evidenceMemory = 10 * time.Minute
	// maxEvidence bounds the requests that are remembered, and maxEvidenceOfOther those of
	// one other entry.
	maxEvidence        = 512
	maxEvidenceOfOther = maxEvidence / 4
	// A part is blocked after minSeries crashes each of which began after the one before,
	// on minMachines machines. Without other machines, after minCrashes.
	minSeries   = 3
	minMachines = 2
	// It is also blocked after minCrashes of which some overlap, if one began after another
	// or they are minMoments moments that are momentGap apart: targets that end together end
	// within milliseconds.
	minCrashes = 5
	minMoments = 3
	momentGap  = 50 * time.Millisecond
	// minMomentsOfContent replaces minMoments for the content of a request.
	minMomentsOfContent = 2
	// A part that was not answered within answeredMemory is on probation after
	// minProbationCrashes crashes on minMachines machines.
	minProbationCrashes = 3
	answeredMemory      = time.Minute
	// minSeriesOfAnswered replaces minSeries for a part that was answered within
	// answeredMemory: targets may crash again and again before they can answer anything.
	minSeriesOfAnswered = 10
	// A part is blocked only if minOtherCrashes of the crashes were not under the one request
	// that had the most: crashes under one request are explained by its content.
	minOtherCrashes = 2
	// maxTied bounds the parts that are blocked because they cannot be told apart. One would
	// do, as they come together.
	maxTied = 8
)

// evidence is a request that had no response when its target crashed.
type evidence struct {
	id       uint64 // random
	reporter state.InstanceID
	// Hashes of the run of the target, of its address, of its service and of the customer.
	run, machine, service, customer uint64
	sentAt, endedAt                 time.Time
	// closed says that the address still accepted connections. Such evidence counts from
	// confirmTime after endedAt.
	closed bool
	// refuted says that the run of the target has responded after endedAt.
	refuted     bool
	keys        []Key // without those that the reporter knew to be answered
	reportsLeft int   // reports that are still to contain it; 0 for those of others
}

// content returns the key that tells the request from others best, 0 if it is not known.
func (e *evidence) content() Key {
	if n := len(e.keys); n > 0 && e.keys[n-1].IsContent() {
		return e.keys[n-1]
	}
	return 0
}

// evidenceLog holds evidence. It bounds it by dropping the oldest.
type evidenceLog struct {
	all   []*evidence // in the order in which it was learned
	byKey map[Key][]*evidence
	byID  map[evidenceID]bool
	// ends holds when each run of a target ended, by the earliest evidence that is not refuted.
	ends map[uint64]time.Time
	// unconfirmed is closed evidence that does not count yet.
	unconfirmed []*evidence
}

// evidenceID identifies evidence over all entries.
type evidenceID struct {
	reporter state.InstanceID
	id       uint64
}

func newEvidenceLog() evidenceLog {
	return evidenceLog{byKey: make(map[Key][]*evidence), byID: make(map[evidenceID]bool), ends: make(map[uint64]time.Time)}
}

// add adds evidence. limit bounds what is remembered of its reporter.
func (l *evidenceLog) add(now time.Time, e *evidence, limit int) {
	for len(l.all) > 0 && (now.Sub(l.all[0].endedAt) > evidenceMemory || len(l.all) >= maxEvidence) {
		l.remove(0)
	}
	count, oldest := 0, 0
	for i := len(l.all) - 1; i >= 0; i-- {
		if l.all[i].reporter == e.reporter {
			count, oldest = count+1, i
		}
	}
	if count >= limit {
		l.remove(oldest)
	}
	l.all = append(l.all, e)
	l.updateEnd(e.run)
	l.byID[evidenceID{e.reporter, e.id}] = true
	for _, p := range e.keys {
		l.byKey[p] = append(l.byKey[p], e)
	}
}

func (l *evidenceLog) remove(i int) {
	e := l.all[i]
	l.all = slices.Delete(l.all, i, i+1)
	l.updateEnd(e.run)
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(other *evidence) bool { return other == e })
	delete(l.byID, evidenceID{e.reporter, e.id})
	for _, p := range e.keys {
		rest := slices.DeleteFunc(l.byKey[p], func(other *evidence) bool { return other == e })
		if l.byKey[p] = rest; len(rest) == 0 {
			delete(l.byKey, p)
		}
	}
}

// updateEnd finds out when a run of a target ended.
func (l *evidenceLog) updateEnd(run uint64) {
	delete(l.ends, run)
	for _, e := range l.all {
		if end, ok := l.ends[run]; e.run == run && !e.refuted && (!ok || e.endedAt.Before(end)) {
			l.ends[run] = e.endedAt
		}
	}
}

// counts reports whether evidence speaks against its keys. A request that was sent after the
// end of the run of its target has not caused it.
func (l *evidenceLog) counts(e *evidence) bool {
	return !e.refuted && !slices.Contains(l.unconfirmed, e) && e.sentAt.Before(l.ends[e.run])
}

// add adds evidence and blocks the parts that it is sufficient to block. The caller must
// hold l.mu.
func (l *Ledger) add(now time.Time, e *evidence) {
	limit := maxEvidenceOfOther
	if e.reporter == l.cfg.Self {
		limit = maxEvidence
	}
	l.evidence.add(now, e, limit)
	if e.closed && now.Before(e.endedAt.Add(confirmTime)) {
		l.evidence.unconfirmed = append(l.evidence.unconfirmed, e)
		return
	}
	l.apply(now, e)
}

// confirm applies the evidence of targets that have been silent for confirmTime.
func (l *Ledger) confirm(now time.Time) {
	for len(l.evidence.unconfirmed) > 0 {
		e := l.evidence.unconfirmed[0]
		if now.Before(e.endedAt.Add(confirmTime)) {
			return
		}
		l.evidence.unconfirmed = l.evidence.unconfirmed[1:]
		if !e.refuted {
			l.unsent = true
			l.apply(now, e)
		}
	}
}

// apply blocks what evidence is sufficient to block.
func (l *Ledger) apply(now time.Time, e *evidence) {
	if !l.evidence.counts(e) {
		return
	}
	for _, p := range e.keys {
		if b := l.blocks[p]; b != nil {
			l.addToBlock(now, p, b, e)
		}
	}
	l.applyEvidence(now, e.keys)
}

// verdict sums up the evidence against a key.
type verdict struct {
	key       Key
	crashes   int  // targets that crashed
	byOthers  int  // those of them not under the request that had the most
	answered  bool // the key was answered within answeredMemory
	served    bool // the service answered other requests since the first of them was sent
	series    int  // longest sequence of crashes each of which began after the one before
	moments   int
	machines  map[uint64]bool
	customers map[uint64]bool
	reporters map[state.InstanceID]bool
}

// sufficient reports whether the crashes speak against the key.
func (v *verdict) sufficient() bool {
	switch {
	case v.answered:
		return v.served && v.explainsMore() && v.series >= minSeriesOfAnswered
	case v.key.IsContent():
		return v.sufficientForContent()
	case !v.served || !v.explainsMore():
		return false
	case len(v.machines) < minMachines:
		return v.series >= minCrashes
	default:
		return v.series >= minSeries || v.crashes >= minCrashes && (v.series > 1 || v.moments >= minMoments)
	}
}

// explainsMore reports whether the key explains more crashes than the content of a single
// request does.
func (v *verdict) explainsMore() bool { return v.key.IsContent() || v.byOthers >= minOtherCrashes }

// sufficientForContent reports whether the crashes speak against the content of a request
// that was not answered lately. It may have crashed targets before the service could answer
// any other request.
func (v *verdict) sufficientForContent() bool {
	if v.series >= minCrashes {
		return true
	}
	return v.served && (v.series >= minSeries || v.crashes >= minSeries && v.moments >= minMomentsOfContent)
}

// witnessed reports whether what entries have seen suffices to block a part: this entry or
// two others are among them.
func (l *Ledger) witnessed(entries map[state.InstanceID]bool) bool {
	return entries[l.cfg.Self] || len(entries) >= 2
}

// convicts reports whether the part is to be blocked.
func (l *Ledger) convicts(v *verdict) bool { return v.sufficient() && l.witnessed(v.reporters) }

// suspects reports whether the part is to be on probation at least.
func (l *Ledger) suspects(v *verdict) bool {
	if !l.witnessed(v.reporters) && l.discredited(v.reporters) {
		return false
	}
	if v.sufficient() {
		return true
	}
	// While a content has all targets of a service down, the service answers nothing, and
	// whatever has that content and waits would be sent as soon as they are back.
	return (v.served || v.key.IsContent()) && !v.answered && v.explainsMore() && v.crashes >= minProbationCrashes && len(v.machines) >= minMachines
}

// changes reports whether the verdict changes what is blocked.
func (l *Ledger) changes(v *verdict) bool {
	b := l.blocks[v.key]
	switch {
	case b == nil:
		return l.suspects(v)
	case b.probation && l.convicts(v):
		return true
	default:
		return v.sufficient() && !b.appliesToAll(v.customers)
	}
}

// compare orders verdicts by the number of crashes that they explain.
func (v *verdict) compare(w *verdict) int {
	return cmp.Or(cmp.Compare(v.series, w.series), cmp.Compare(v.crashes, w.crashes))
}

// judge sums up the evidence against a part: requests with it that were sent after it was
// last answered. A crash that a blocked part explains does not count against others, except
// against a content that the crashes cannot tell apart from the blocked one.
func (l *Ledger) judge(now time.Time, p Key, explained map[uint64][]Key) *verdict {
	answeredAt, _ := l.answered(p).Get(p)
	v := &verdict{key: p, answered: now.Sub(answeredAt) <= answeredMemory, machines: make(map[uint64]bool), customers: make(map[uint64]bool), reporters: make(map[state.InstanceID]bool)}
	latest := make(map[uint64]*evidence) // by run, the one that was sent last
	indistinguishable := l.indistinguishable(p)
	for _, e := range l.evidence.byKey[p] {
		if !e.sentAt.After(answeredAt) || !l.evidence.counts(e) {
			continue
		}
		if by := explained[e.run]; len(by) > 0 && !slices.Contains(by, p) && !containsAll(indistinguishable, by) {
			continue
		}
		v.served = v.served || l.served[e.service].After(e.sentAt)
		v.machines[e.machine], v.customers[e.customer], v.reporters[e.reporter] = true, true, true
		if known, ok := latest[e.run]; !ok || e.sentAt.After(known.sentAt) {
			latest[e.run] = e
		}
	}
	crashes := slices.SortedFunc(maps.Values(latest), func(a, b *evidence) int { return a.endedAt.Compare(b.endedAt) })
	v.crashes = len(crashes)
	v.byOthers = v.crashes - mostUnderOneRequest(crashes)
	var endOfSeries, lastMoment time.Time
	for _, e := range crashes {
		if !e.sentAt.Before(endOfSeries) {
			v.series++
			endOfSeries = e.endedAt
		}
		if e.endedAt.Sub(lastMoment) > momentGap {
			v.moments++
		}
		lastMoment = e.endedAt
	}
	return v
}

// indistinguishable returns the blocked contents all of whose crashes were under the content p
// too. Which of them is blocked first depends on the order in which the crashes were learned.
func (l *Ledger) indistinguishable(p Key) map[Key]bool {
	if !p.IsContent() {
		return nil
	}
	same := make(map[Key]bool)
	runs := l.runsWith(p)
	for other, b := range l.blocks {
		if other == p || b.probation || !other.IsContent() {
			continue
		}
		byOther := l.runsWith(other)
		maps.DeleteFunc(byOther, func(run uint64, _ bool) bool { return runs[run] })
		same[other] = len(byOther) == 0
	}
	return same
}

// containsAll reports whether all keys are in the set.
func containsAll(set map[Key]bool, keys []Key) bool {
	return !slices.ContainsFunc(keys, func(k Key) bool { return !set[k] })
}

// mostUnderOneRequest returns the largest number of the crashes that were under requests with
// the same content.
func mostUnderOneRequest(crashes []*evidence) int {
	most, counts := min(1, len(crashes)), make(map[Key]int)
	for _, e := range crashes {
		if c := e.content(); c != 0 {
			counts[c]++
			most = max(most, counts[c])
		}
	}
	return most
}

// explainedRuns returns the blocked parts that explain the crash of each run of a target.
// Parts on probation explain nothing.
func (l *Ledger) explainedRuns() map[uint64][]Key {
	explained := make(map[uint64][]Key)
	for p, b := range l.blocks {
		if b.probation {
			continue
		}
		for run := range l.runsWith(p) {
			explained[run] = append(explained[run], p)
		}
	}
	return explained
}

// applyEvidence blocks those of the parts against which the evidence is sufficient, or puts
// them on probation. Of several, those with the most crashes go first, and then explain
// these.
func (l *Ledger) applyEvidence(now time.Time, parts []Key) {
	for parts = slices.Clone(parts); len(parts) > 0; {
		worst := l.worstOf(now, parts)
		if len(worst) == 0 {
			return
		}
		for _, v := range worst[:min(len(worst), maxTied)] {
			l.applyVerdict(now, v)
			l.releaseExplained(v.key)
		}
		for _, v := range worst {
			parts = slices.DeleteFunc(parts, func(p Key) bool { return p == v.key })
		}
	}
}

// worstOf returns the verdicts on those of the parts for which something is to change, and
// that have the most crashes: several if these cannot be told apart.
func (l *Ledger) worstOf(now time.Time, parts []Key) []*verdict {
	explained := l.explainedRuns()
	var worst []*verdict
	for _, p := range parts {
		v := l.judge(now, p, explained)
		if !l.changes(v) {
			continue
		}
		if len(worst) > 0 {
			switch order := v.compare(worst[0]); {
			case order < 0:
				continue
			case order > 0:
				worst = nil
			}
		}
		worst = append(worst, v)
	}
	return worst
}

// runsWith returns the runs of targets that crashed with a part.
func (l *Ledger) runsWith(p Key) map[uint64]bool {
	runs := make(map[uint64]bool)
	for _, e := range l.evidence.byKey[p] {
		runs[e.run] = true
	}
	return runs
}

// releaseExplained releases the other blocked parts that were only at targets whose crash
// this one explains, and not at all of them.
func (l *Ledger) releaseExplained(p Key) {
	if l.blocks[p].probation {
		return
	}
	byKey := l.runsWith(p)
	for other := range l.blocks {
		runs := l.runsWith(other)
		if other == p || len(runs) == 0 || len(runs) >= len(byKey) {
			continue
		}
		for run := range byKey {
			delete(runs, run)
		}
		if len(runs) == 0 {
			l.release(other)
		}
	}
}
