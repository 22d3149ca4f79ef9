package gateway

import (
	"sync"
	"time"
)

const (
	// maxTimerDelay is how late a timer may be in a process that runs. After a longer delay,
	// which shows that the process was paused, what has arrived meanwhile is read for
	// catchUpTime before the timer counts.
	maxTimerDelay = 20 * time.Millisecond
	catchUpTime   = 100 * time.Millisecond
)

// catchUpTimer calls a function after a time in which the process runs.
type catchUpTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
}

// newCatchUpTimer returns a timer that calls f in its own goroutine after d.
func newCatchUpTimer(d time.Duration, f func()) *catchUpTimer {
	t := &catchUpTimer{due: time.Now().Add(d)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		if !t.catchUp() {
			f()
		}
	})
	return t
}

// catchUp starts the timer anew for catchUpTime if the process was paused when it was due.
func (t *catchUpTimer) catchUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.due) <= maxTimerDelay {
		return false
	}
	t.due = now.Add(catchUpTime)
	t.timer.Reset(catchUpTime)
	return true
}

func (t *catchUpTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Now().Add(d)
	t.timer.Reset(d)
}

func (t *catchUpTimer) stop() { t.timer.Stop() }
