package placement

import "sync"

// dropThreshold is the number of waiting events from which on droppable
// events are dropped. Load reports are droppable because the next one replaces
// them, and session requests because later placements repeat them. Other events
// are always kept: there are at most a few for each open attempt, session and
// target.
const dropThreshold = 4096

// mailbox holds the events that wait for the owner. put never blocks, so that a
// Connector may report a lost session while the owner is calling it.
type mailbox struct {
	mu     sync.Mutex
	events []event
	closed bool
	wake   chan struct{} // has a value when events wait
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// put adds an event. After close it does nothing.
func (m *mailbox) put(e event, droppable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || (droppable && len(m.events) >= dropThreshold) {
		return
	}
	m.events = append(m.events, e)
	select {
	case m.wake <- struct{}{}:
	default: // the owner has been woken already
	}
}

// takeAll removes and returns the waiting events in the order of arrival.
func (m *mailbox) takeAll() []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = nil
	return events
}

func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed, m.events = true, nil
}
