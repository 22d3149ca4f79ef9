package targetend

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a cut stream that is believed because its target refused a connection once, longer ago
// than the retention time: what it does from then on counts from the next refusal.
func TestRefusalLongAgoDoesNotCountAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Log{}
		s := l.Begin("t", time.Now(), func() (time.Time, bool) { return time.Now(), true })
		time.Sleep(time.Second)
		l.Refuses("t", time.Now())
		time.Sleep(6 * retention)
		if seen := l.Seen("t", s); seen.Refusing != 0 {
			t.Fatalf("refusing for %s, want that it is forgotten", seen.Refusing)
		}
		end := time.Now()
		s.End(end)
		time.Sleep(25 * ms)
		l.Refuses("t", time.Now())
		if j := Judge(End{At: end}, l.Seen("t", s)); j.Verdict == Whole {
			t.Errorf("whole because %s, refusing for %s before the end", j.Reason, j.Refusing)
		}
	})
}
