package quarantine

import "testing"

// Guards against a request that goes on crashing targets because another request, which was
// at the same targets and was blamed first, explains the crashes.
func TestContentIsBlockedAlthoughAnotherWasAtTheSameTargets(t *testing.T) {
	l, crashing, bystander := newLedger("a"), withContent("c", "crashing"), withContent("c", "bystander")
	for i := range minSeries {
		sentAt, endedAt := at(float64(i)+0.1), at(float64(i)+0.2)
		l.crash(bystander, i, sentAt, endedAt)
		l.crash(crashing, i, sentAt, endedAt)
		l.serves(at(float64(i) + 0.3))
	}
	if end := at(minSeries); !l.isBlocked(end, crashing) {
		t.Errorf("not blocked after %d crashes that another request was at too", minSeries)
	}
}

// Guards against blocking a request for crashes under a blocked one, which was at further
// targets that crashed.
func TestBlockedContentExplainsCrashesUnderOthers(t *testing.T) {
	l, crashing, bystander := newLedger("a"), withContent("c", "crashing"), withContent("c", "bystander")
	for i := range 2 * minSeries {
		sentAt, endedAt := at(float64(i)+0.1), at(float64(i)+0.2)
		l.crash(crashing, i, sentAt, endedAt)
		if i >= minSeries {
			l.crash(bystander, i, sentAt, endedAt)
		}
		l.serves(at(float64(i) + 0.3))
	}
	if end := at(2 * minSeries); !l.isBlocked(end, crashing) || l.isBlocked(end, bystander) {
		t.Errorf("blocked: crashing request %t, bystander %t; want only the first", l.isBlocked(end, crashing), l.isBlocked(end, bystander))
	}
}
