package side

import (
	"errors"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrFenced is returned for a session number that is 0 or not higher than all
// earlier ones of the same entry incarnation.
var ErrFenced = errors.New("session fenced")

// entryKey identifies one run of an entry process.
type entryKey struct {
	instance    state.InstanceID
	incarnation state.Incarnation
}

func entryKeyOf(id state.AttemptID) entryKey { return entryKey{id.Entry, id.Incarnation} }

// entryState is what the service knows about one run of an entry process.
type entryState struct {
	highestSession uint64    // highest session number opened
	currentSession *Session  // nil while there is no session
	lostAt         time.Time // when the last session was closed
	graceExpired   bool      // SessionGrace has passed since the last session was closed
	// newestForgotten is the highest attempt, by session and sequence number,
	// whose outcome is no longer remembered.
	newestForgotten state.AttemptID
}

// mayHaveForgotten reports whether the outcome of id may no longer be
// remembered.
func (e *entryState) mayHaveForgotten(id state.AttemptID) bool {
	f := e.newestForgotten
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
	cachedBlocks  []uint64 // hashes of stored blocks, not yet reported
	evictedBlocks []uint64 // hashes of evicted blocks, not yet reported
}

// OpenSession opens a session and fences the older ones of the same entry
// incarnation. It returns ErrFenced when number is not higher than theirs.
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
		s.evictEntry()
		e = &entryState{}
		if s.entriesEvicted {
			// This entry may be an evicted one, so any attempt of its earlier
			// sessions may be forgotten.
			e.newestForgotten = state.AttemptID{Session: sess.number - 1, Seq: math.MaxUint64}
		}
		s.entries[sess.key] = e
	}
	if sess.number <= e.highestSession {
		return ErrFenced
	}
	if e.currentSession != nil {
		close(e.currentSession.fenced)
		delete(s.sessions, e.currentSession)
	}
	e.highestSession, e.currentSession, e.graceExpired = sess.number, sess, false
	s.sessions[sess] = struct{}{}
	for id := range s.voided {
		if entryKeyOf(id) == sess.key && id.Session < sess.number {
			delete(s.voided, id)
		}
	}
	if s.leaving {
		sess.signalUrgent()
	}
	return nil
}

// evictEntry makes room in a full table of entries by evicting the one whose
// session was lost first. Entries with a session are not evicted.
func (s *Service) evictEntry() {
	if len(s.entries) < maxEntries {
		return
	}
	var oldest entryKey
	var oldestLost time.Time
	for k, e := range s.entries {
		if e.currentSession == nil && (oldestLost.IsZero() || e.lostAt.Before(oldestLost)) {
			oldest, oldestLost = k, e.lostAt
		}
	}
	if !oldestLost.IsZero() {
		delete(s.entries, oldest)
		s.entriesEvicted = true
	}
}

// Dispatch hands over an attempt. The stream reports what becomes of it.
func (sess *Session) Dispatch(d *state.Dispatch) *AttemptStream {
	stream := newAttemptStream(sess.service, d.Attempt, entryKeyOf(d.Attempt) == sess.key)
	sess.service.post(func() { sess.service.dispatch(sess, d, stream) })
	return stream
}

// Attach returns a stream with the state of an attempt of any entry and its
// events.
func (sess *Session) Attach(at *state.Attach) *AttemptStream {
	stream := newAttemptStream(sess.service, at.Attempt, entryKeyOf(at.Attempt) == sess.key)
	sess.service.post(func() { sess.service.attach(at, stream) })
	return stream
}

// Void makes the service refuse the attempt from now on unless it has run. The
// phases AttemptVoided and AttemptNotRun are receipts: the attempt has not run
// and will not.
func (sess *Session) Void(v *state.Void) state.AttemptState {
	result := state.AttemptState{Phase: state.AttemptUnknown}
	sess.service.call(func() { result = sess.service.void(v) })
	return result
}

// Status returns the current load report and the cache events since the last
// call for this session.
func (sess *Session) Status() state.Status {
	result := state.Status{Leaving: true, Figures: state.LoadFigures{LowestQueued: state.NoTier}}
	sess.service.call(func() { result = sess.service.status(sess) })
	return result
}

// Urgent receives a value when the status must be sent at once.
func (sess *Session) Urgent() <-chan struct{} { return sess.urgent }

// Fenced is closed when a newer session of the entry has been opened.
func (sess *Session) Fenced() <-chan struct{} { return sess.fenced }

// Close reports that the connection of the session has ended.
func (sess *Session) Close() { sess.service.post(func() { sess.service.closeSession(sess) }) }

func (sess *Session) signalUrgent() {
	select {
	case sess.urgent <- struct{}{}:
	default:
	}
}

func (s *Service) closeSession(sess *Session) {
	delete(s.sessions, sess)
	e := s.entries[sess.key]
	if e == nil || e.currentSession != sess {
		return
	}
	e.currentSession, e.lostAt = nil, time.Now()
}

// expireLostSessions ends the attempts of entries whose session was lost and
// not replaced within SessionGrace.
func (s *Service) expireLostSessions(now time.Time) {
	for key, e := range s.entries {
		if e.currentSession != nil || e.graceExpired || now.Sub(e.lostAt) < SessionGrace {
			continue
		}
		e.graceExpired = true
		s.endAttemptsOf(key)
	}
}

// endAttemptsOf refuses the queued attempts of the entry, cancels the running
// ones and releases the ended ones. Running and ended attempts with a key are
// kept.
func (s *Service) endAttemptsOf(key entryKey) {
	for _, a := range s.attempts {
		switch {
		case a.entry != key:
		case a.phase == state.AttemptQueued:
			s.refuseQueued(a, state.ReasonWithdrawn)
		case a.keyed:
		case a.phase == state.AttemptRunning:
			s.cancelRunning(a, state.ReasonCancelled)
		default:
			s.releaseResponse(a)
		}
	}
	s.cfg.Log.Info("lost session not replaced within the grace period, ending its attempts", zap.String("entry", string(key.instance)))
	s.schedule()
}

// status returns the status for one session and clears its cache events.
func (s *Service) status(sess *Session) state.Status {
	st := state.Status{Figures: s.figures(), Leaving: s.leaving, Cached: sess.cachedBlocks, Evicted: sess.evictedBlocks}
	if s.bundle != nil {
		st.BundleVersion = s.bundle.Version
	}
	sess.cachedBlocks, sess.evictedBlocks = nil, nil
	return st
}

// CacheChanged records cache events of the target for the next status of every
// session.
func (s *Service) CacheChanged(storedBlocks, evictedBlocks []uint64) {
	s.post(func() {
		for sess := range s.sessions {
			sess.cachedBlocks = appendBounded(sess.cachedBlocks, storedBlocks)
			sess.evictedBlocks = appendBounded(sess.evictedBlocks, evictedBlocks)
		}
	})
}

// appendBounded appends more to list and returns the newest maxCacheHashes
// elements.
func appendBounded(list, more []uint64) []uint64 {
	list = append(list, more...)
	return list[max(0, len(list)-maxCacheHashes):]
}
