package placement

import "sync"

// mailboxLimit bounds the events that wait for the owner. Reports of load are
// dropped beyond it, since the next one replaces them. Other events are always
// kept: there are at most a few for each open attempt, session and target.
const mailboxLimit = 4096

// mailbox holds the events that wait for the owner. Sending never blocks, so
// that a Connector may report a lost session from within a call by the owner.
type mailbox struct {
	mu      sync.Mutex
	waiting []event
	closed  bool
	wake    chan struct{} // has a value when events wait
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// put adds an event. After close it does nothing.
func (m *mailbox) put(e event, droppable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || (droppable && len(m.waiting) >= mailboxLimit) {
		return
	}
	m.waiting = append(m.waiting, e)
	select {
	case m.wake <- struct{}{}:
	default: // the owner has been woken already
	}
}

// take returns the events that wait, in order.
func (m *mailbox) take() []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.waiting
	m.waiting = nil
	return out
}

func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed, m.waiting = true, nil
}
