package side

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// outcomes remembers how attempts ended whose events are no longer held. It
// keeps at most maxOutcomes, each for RetentionPeriod.
type outcomes struct {
	phases map[state.AttemptID]state.Phase
	byAge  []endedAttempt // oldest first
}

type endedAttempt struct {
	id      state.AttemptID
	endedAt time.Time // when the outcome was added
}

func newOutcomes() *outcomes { return &outcomes{phases: make(map[state.AttemptID]state.Phase)} }

// add records p as the outcome of id. The outcome expires RetentionPeriod after
// the first call for id.
func (o *outcomes) add(id state.AttemptID, p state.Phase, now time.Time) {
	if _, ok := o.phases[id]; !ok {
		o.byAge = append(o.byAge, endedAttempt{id, now})
	}
	o.phases[id] = p
}

// expire drops the outcomes that are past RetentionPeriod, and the oldest ones
// beyond maxOutcomes, and calls f for each of them.
func (o *outcomes) expire(now time.Time, f func(state.AttemptID)) {
	n := 0
	for n < len(o.byAge) && (len(o.byAge)-n > maxOutcomes || now.Sub(o.byAge[n].endedAt) >= RetentionPeriod) {
		delete(o.phases, o.byAge[n].id)
		f(o.byAge[n].id)
		n++
	}
	o.byAge = slices.Delete(o.byAge, 0, n)
}

// remember records the outcome of an attempt that is no longer held.
func (s *Service) remember(id state.AttemptID, p state.Phase) { s.outcomes.add(id, p, time.Now()) }

// expireRetained drops outcomes and responses that are past RetentionPeriod.
func (s *Service) expireRetained(now time.Time) {
	s.outcomes.expire(now, func(id state.AttemptID) {
		if e := s.entries[entryKeyOf(id)]; e != nil && !e.mayHaveForgotten(id) {
			e.newestForgotten = id
		}
	})
	for len(s.retained.list) > 0 && now.Sub(s.retained.list[0].ended) >= RetentionPeriod {
		s.releaseResponse(s.retained.list[0])
	}
}

// retention lists the ended attempts whose events are still held, oldest first.
type retention struct {
	list  []*attempt
	bytes int // sum of their retainedBytes
}

// remove takes a off the list and reports whether it was on it.
func (r *retention) remove(a *attempt) bool {
	i := slices.Index(r.list, a)
	if i < 0 {
		return false
	}
	r.list = slices.Delete(r.list, i, i+1)
	r.bytes -= a.retainedBytes
	return true
}

// retain keeps the events of an ended attempt. To stay below MaxRetainedBytes
// it releases the oldest acknowledged attempt first, then the oldest other one
// that no stream reads, then the oldest.
func (s *Service) retain(a *attempt) {
	r := s.retained
	if s.attempts[a.id] != a {
		return // released while its response was being read from the target again
	}
	r.remove(a) // an adopted finished attempt is already listed before its response is read
	a.ended = time.Now()
	a.req = nil // its body is not needed any more
	// The entry that cancelled an attempt does not wait for its end.
	a.delivered = a.delivered || a.stopReason == state.ReasonCancelled
	_, a.retainedBytes = a.events.size()
	r.list = append(r.list, a)
	r.bytes += a.retainedBytes
	if e := s.entries[a.entry]; e != nil && e.graceExpired && !a.keyed {
		s.releaseResponse(a)
	}
	for r.bytes > MaxRetainedBytes {
		i := slices.IndexFunc(r.list, func(b *attempt) bool { return b.acked })
		if i < 0 {
			i = slices.IndexFunc(r.list, func(b *attempt) bool { return b != a && !b.events.hasReaders() })
		}
		if i < 0 {
			i = 0
		}
		s.releaseResponse(r.list[i])
	}
}

// releaseResponse drops an ended attempt and remembers only its outcome.
// Streams that are reading its events can read on.
func (s *Service) releaseResponse(a *attempt) {
	if !s.retained.remove(a) {
		return
	}
	delete(s.attempts, a.id)
	phase := a.phase
	if phase == state.AttemptDone {
		phase = state.AttemptExpired
	}
	s.remember(a.id, phase)
}

// ack handles the acknowledgement that the owner has received the whole
// response.
func (s *Service) ack(stream *AttemptStream) {
	a := s.attempts[stream.id]
	if a == nil || !stream.owner || a.ended.IsZero() {
		return
	}
	a.acked, a.delivered = true, true
	if !a.keyed {
		s.releaseResponse(a)
	}
}

// detach removes the stream. If the owner has read the last event, the response
// counts as delivered.
func (s *Service) detach(stream *AttemptStream) {
	delete(s.streams, stream)
	stream.mu.Lock()
	b := stream.events
	stream.mu.Unlock()
	if b != nil {
		b.removeReader(stream)
	}
	if a := s.attempts[stream.id]; a != nil && stream.owner && stream.ended.Load() {
		a.delivered = true
	}
}
