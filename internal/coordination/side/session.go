package side

import (
	"errors"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrFenced is returned for a session number that is not the highest of its
// entry incarnation.
var ErrFenced = errors.New("session fenced")

// entryKey identifies one run of an entry process.
type entryKey struct {
	instance    state.InstanceID
	incarnation state.Incarnation
}

func keyOf(id state.AttemptID) entryKey { return entryKey{id.Entry, id.Incarnation} }

// entryState is what is known about one run of an entry process.
type entryState struct {
	highest uint64   // highest session number opened
	current *Session // nil while there is no session
	lost    time.Time
	dropped bool // the grace after the loss is over
	// forgotten is the highest attempt, by session and sequence number, whose
	// outcome is no longer remembered.
	forgotten state.AttemptID
}

// forgot reports whether the outcome of id may have been forgotten.
func (e *entryState) forgot(id state.AttemptID) bool {
	f := e.forgotten
	return id.Session < f.Session || id.Session == f.Session && id.Seq <= f.Seq
}

// Session is an open session of an entry.
type Session struct {
	service *Service
	key     entryKey
	number  uint64
	urgent  chan struct{}
	fenced  chan struct{}

	// Owned by the control goroutine.
	cached  []uint64
	evicted []uint64
}

// OpenSession opens a session and fences the older ones of the same entry
// incarnation. It returns ErrFenced when number is not the highest.
func (s *Service) OpenSession(entry state.InstanceID, incarnation state.Incarnation, number uint64) (*Session, error) {
	sess := &Session{
		service: s, key: entryKey{entry, incarnation}, number: number,
		urgent: make(chan struct{}, 1), fenced: make(chan struct{}),
	}
	err := ErrStopped
	s.call(func() { err = s.open(sess) })
	if err != nil {
		return nil, fmt.Errorf("open session %d of %s: %w", number, entry, err)
	}
	return sess, nil
}

func (s *Service) open(sess *Session) error {
	if sess.number == 0 {
		return ErrFenced // numbers count from 1
	}
	e := s.entries[sess.key]
	if e == nil {
		s.boundEntries()
		e = &entryState{}
		if s.entriesForgotten {
			// This entry may be one of those forgotten.
			e.forgotten = state.AttemptID{Session: sess.number - 1, Seq: math.MaxUint64}
		}
		s.entries[sess.key] = e
	}
	if sess.number <= e.highest {
		return ErrFenced
	}
	if e.current != nil {
		close(e.current.fenced)
		delete(s.sessions, e.current)
	}
	e.highest, e.current, e.dropped = sess.number, sess, false
	s.sessions[sess] = struct{}{}
	for id := range s.voided {
		if keyOf(id) == sess.key && id.Session < sess.number {
			delete(s.voided, id)
		}
	}
	if s.leaving {
		sess.alert()
	}
	return nil
}

// boundEntries forgets the entry that was lost first when the table is full.
func (s *Service) boundEntries() {
	if len(s.entries) < maxEntries {
		return
	}
	var oldest entryKey
	var at time.Time
	for k, e := range s.entries {
		if e.current == nil && (at.IsZero() || e.lost.Before(at)) {
			oldest, at = k, e.lost
		}
	}
	if !at.IsZero() {
		delete(s.entries, oldest)
		s.entriesForgotten = true
	}
}

// Dispatch queues the request as the attempt. The stream reports what becomes
// of it.
func (c *Session) Dispatch(d *state.Dispatch) *Attempt {
	a := newAttempt(c.service, d.Attempt, keyOf(d.Attempt) == c.key)
	c.service.post(func() { c.service.dispatch(c, d, a) })
	return a
}

// Attach returns the state of an attempt of any entry and its events.
func (c *Session) Attach(at *state.Attach) *Attempt {
	a := newAttempt(c.service, at.Attempt, keyOf(at.Attempt) == c.key)
	c.service.post(func() { c.service.attach(at, a) })
	return a
}

// Void makes the service refuse the attempt from now on unless it has run. The
// phases AttemptVoided and AttemptNotRun are receipts.
func (c *Session) Void(v *state.Void) state.AttemptState {
	result := state.AttemptState{Phase: state.AttemptUnknown}
	c.service.call(func() { result = c.service.void(v) })
	return result
}

// Status returns the current load report and the cache events since the last
// one of this session.
func (c *Session) Status() state.Status {
	result := state.Status{Leaving: true, Figures: state.Figures{LowestQueued: state.NoTier}}
	c.service.call(func() { result = c.service.status(c) })
	return result
}

// Urgent receives a value when the status must be sent at once.
func (c *Session) Urgent() <-chan struct{} { return c.urgent }

// Fenced is closed when a newer session of the entry has been opened.
func (c *Session) Fenced() <-chan struct{} { return c.fenced }

// Close tells that the connection ended.
func (c *Session) Close() { c.service.post(func() { c.service.closeSession(c) }) }

func (c *Session) alert() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

func (s *Service) closeSession(c *Session) {
	delete(s.sessions, c)
	e := s.entries[c.key]
	if e == nil || e.current != c {
		return
	}
	e.current, e.lost = nil, time.Now()
}

// dropLost applies rule 12 to the attempts of entries whose session was lost and
// not replaced.
func (s *Service) dropLost(now time.Time) {
	for key, e := range s.entries {
		if e.current != nil || e.dropped || now.Sub(e.lost) < SessionGrace {
			continue
		}
		e.dropped = true
		s.dropAttempts(key)
	}
}

func (s *Service) dropAttempts(key entryKey) {
	for _, a := range s.attempts {
		switch {
		case a.entry != key:
		case a.phase == state.AttemptQueued:
			s.refuseQueued(a, state.ReasonWithdrawn)
		case a.keyed:
		case a.phase == state.AttemptRunning:
			s.stop(a, state.ReasonCancelled)
		default:
			s.release(a)
		}
	}
	s.cfg.Log.Info("session not replaced", zap.String("entry", string(key.instance)))
	s.schedule()
}

// status reports to one session. The Leaving flag also travels as a message.
func (s *Service) status(c *Session) state.Status {
	st := state.Status{Figures: s.figures(), Leaving: s.leaving, Cached: c.cached, Evicted: c.evicted}
	if s.bundle != nil {
		st.Accepted = s.bundle.Version
	}
	c.cached, c.evicted = nil, nil
	return st
}

// CacheChanged passes on cache events of the target to all sessions.
func (s *Service) CacheChanged(stored, evicted []uint64) {
	s.post(func() {
		for c := range s.sessions {
			c.cached = keepNewest(c.cached, stored)
			c.evicted = keepNewest(c.evicted, evicted)
		}
	})
}

func keepNewest(list, more []uint64) []uint64 {
	list = append(list, more...)
	return list[max(0, len(list)-maxCacheNews):]
}
