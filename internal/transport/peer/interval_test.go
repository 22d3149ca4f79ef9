package peer

import (
	"errors"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against reports of many sessions that exceed their share of the control
// budget, and against reports so rare that a live session counts as silent.
func TestStatusInterval(t *testing.T) {
	for n, want := range map[int]time.Duration{0: StatusInterval, 10: StatusInterval, 20: StatusInterval, 30: 750 * time.Millisecond, 40: MaxStatusInterval, 500: MaxStatusInterval} {
		if got := statusInterval(n); got != want {
			t.Errorf("%d sessions: %s, want %s", n, got, want)
		}
	}
	for n := 21; n <= 40; n++ {
		if bytes := float64(n) * statusCost / statusInterval(n).Seconds(); bytes > statusShare+1 {
			t.Errorf("%d sessions: %.0f bytes/s, want at most %d", n, bytes, statusShare)
		}
	}
	// A report may be due just after a tick and is then sent at the next one.
	if worst := MaxStatusInterval + StatusInterval/2; worst > ActiveSilence {
		t.Errorf("a report may be %s after the last one, silence is %s", worst, ActiveSilence)
	}
}

// Guards against a session whose silence is noticed only at the next heartbeat
// because it became active after the check was scheduled.
func TestSilenceAfterIdle(t *testing.T) {
	f, ctx := newFixture(t, "entry-1", 1, 1), testContext(t)
	r, err := f.client.Reserve(ctx, testTarget)
	if err != nil {
		t.Fatal(err)
	}
	s := f.client.link(testTarget, false).live()
	stream, err := f.client.Dispatch(ctx, r, &state.Request{ID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	s.mu.Lock()
	s.heard, s.used = s.heard.Add(-ActiveSilence), s.used.Add(-ActiveSilence)
	s.mu.Unlock()
	// The check is scheduled for the time that the earlier values gave; only a
	// new activity moves it.
	s.active <- struct{}{}
	select {
	case err := <-f.observer.lost:
		if !errors.Is(err, errSilent) {
			t.Errorf("session lost: %v, want %v", err, errSilent)
		}
	case <-ctx.Done():
		t.Error("the silent session was not given up")
	}
}

// Guards against placement that counts a closed session as open.
func TestIdleCloseIsReported(t *testing.T) {
	f, ctx := newFixture(t, "entry-1", 1, 1), testContext(t)
	f.client.SetAddress(testTarget, Address{Instance: "side-1", UDP: f.address}, false)
	if err := f.client.Connect(ctx, testTarget); err != nil {
		t.Fatal(err)
	}
	s := f.client.link(testTarget, false).live()
	s.mu.Lock()
	s.used = s.used.Add(-IdleClose)
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
