package emulator

import (
	"context"
	"errors"
	"sync"
	"time"
)

// slotQueue gives slots to requests in order of arrival.
type slotQueue struct {
	mu      sync.Mutex
	running int
	waiting []chan struct{}
	reading time.Time // prompts are read until then
}

// readPrompt returns how long it takes until a prompt is read that takes d by itself.
func (q *slotQueue) readPrompt(d time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now(); q.reading.Before(now) {
		q.reading = now
	}
	q.reading = q.reading.Add(d)
	return time.Until(q.reading)
}

var (
	errQueueFull   = errors.New("queue full")
	errTimeInQueue = errors.New("time limit passed in queue")
)

// enter waits for a slot, which the caller gives back with leave. It fails if limit requests
// wait, when the context ends, or at the deadline.
func (q *slotQueue) enter(ctx context.Context, slots, limit int, deadline time.Time) error {
	q.mu.Lock()
	if q.running < slots {
		q.running++
		q.mu.Unlock()
		return nil
	}
	if len(q.waiting) >= limit {
		q.mu.Unlock()
		return errQueueFull
	}
	granted := make(chan struct{})
	q.waiting = append(q.waiting, granted)
	q.mu.Unlock()
	err := errTimeInQueue
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-time.After(time.Until(deadline)):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, c := range q.waiting {
		if c == granted {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return err
		}
	}
	q.leaveLocked() // the slot was granted meanwhile
	return err
}

func (q *slotQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaveLocked()
}

func (q *slotQueue) leaveLocked() {
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	close(q.waiting[0])
	q.waiting = q.waiting[1:]
}

func (q *slotQueue) load() (running, waiting int, reading bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), time.Now().Before(q.reading)
}
