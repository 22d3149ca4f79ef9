package quicsession

import (
	"errors"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against status reports on many sessions that exceed their byte budget, and
// against intervals so long that a live session counts as silent.
func TestStatusInterval(t *testing.T) {
	for n, want := range map[int]time.Duration{0: StatusInterval, 10: StatusInterval, 20: StatusInterval, 30: 750 * time.Millisecond, 40: MaxStatusInterval, 500: MaxStatusInterval} {
		if got := statusInterval(n); got != want {
			t.Errorf("%d sessions: interval %s, want %s", n, got, want)
		}
	}
	for n := 21; n <= 40; n++ {
		if bytes := float64(n) * statusSize / statusInterval(n).Seconds(); bytes > statusBudget+1 {
			t.Errorf("%d sessions: %.0f bytes/s, want at most %d", n, bytes, statusBudget)
		}
	}
	// A report that is due just after a tick is sent at the next one.
	if worst := MaxStatusInterval + StatusInterval/2; worst > ActiveSilenceTimeout {
		t.Errorf("a report may come %s after the one before, later than the silence timeout of %s", worst, ActiveSilenceTimeout)
	}
}

// Guards against noticing the silence of a session only at the next heartbeat when the
// session became active after the check was scheduled.
func TestSilenceAfterIdle(t *testing.T) {
	f, ctx := newFixture(t, "entry-1", 1, 1), testContext(t)
	r, err := f.client.Reserve(ctx, testTarget)
	if err != nil {
		t.Fatal(err)
	}
	s := f.client.link(testTarget, false).liveSession()
	stream, err := f.client.Dispatch(ctx, r, &state.Request{ID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	s.mu.Lock()
	s.lastReceived, s.activityChanged = s.lastReceived.Add(-ActiveSilenceTimeout), s.activityChanged.Add(-ActiveSilenceTimeout)
	s.mu.Unlock()
	// The next check is still scheduled by the values before the change. Only a session
	// that becomes active reschedules it.
	s.becameActive <- struct{}{}
	select {
	case err := <-f.observer.lost:
		if !errors.Is(err, errSilenceTimeout) {
			t.Errorf("session lost: %v, want %v", err, errSilenceTimeout)
		}
	case <-ctx.Done():
		t.Error("the silent session was not given up")
	}
}

// Guards against closing an idle session without telling the observer: placement would
// count it as open.
func TestIdleCloseIsReported(t *testing.T) {
	f, ctx := newFixture(t, "entry-1", 1, 1), testContext(t)
	f.client.SetAddress(testTarget, Address{Instance: "side-1", UDP: f.address}, false)
	if err := f.client.Connect(ctx, testTarget); err != nil {
		t.Fatal(err)
	}
	s := f.client.link(testTarget, false).liveSession()
	s.mu.Lock()
	s.activityChanged = s.activityChanged.Add(-IdleCloseTimeout)
	s.mu.Unlock()
	select {
	case target := <-f.observer.closed: // at the next heartbeat
		if target != testTarget {
			t.Errorf("closed session to %s reported, want %s", target, testTarget)
		}
	case err := <-f.observer.lost:
		t.Errorf("session lost: %v; want it closed", err)
	case <-ctx.Done():
		t.Error("the idle session was not closed")
	}
}
