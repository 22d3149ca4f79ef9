package side

import (
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// outcomes remembers how attempts ended whose events are no longer held, for
// Horizon and up to maxOutcomes.
type outcomes struct {
	phases map[state.AttemptID]state.Phase
	order  []ending // oldest first
}

type ending struct {
	id state.AttemptID
	at time.Time
}

func newOutcomes() *outcomes { return &outcomes{phases: make(map[state.AttemptID]state.Phase)} }

func (o *outcomes) add(id state.AttemptID, p state.Phase, now time.Time) {
	if _, ok := o.phases[id]; !ok {
		o.order = append(o.order, ending{id, now})
	}
	o.phases[id] = p
}

// expire forgets what is too old or too much and calls f for each.
func (o *outcomes) expire(now time.Time, f func(state.AttemptID)) {
	n := 0
	for n < len(o.order) && (len(o.order)-n > maxOutcomes || now.Sub(o.order[n].at) >= Horizon) {
		delete(o.phases, o.order[n].id)
		f(o.order[n].id)
		n++
	}
	o.order = slices.Delete(o.order, 0, n)
}

// remember records the outcome of an attempt that is no longer held.
func (s *Service) remember(id state.AttemptID, p state.Phase) { s.outcomes.add(id, p, time.Now()) }

// forget drops what is past the horizon.
func (s *Service) forget(now time.Time) {
	s.outcomes.expire(now, func(id state.AttemptID) {
		if e := s.entries[keyOf(id)]; e != nil && !e.forgot(id) {
			e.forgotten = id
		}
	})
	for len(s.retained.list) > 0 && now.Sub(s.retained.list[0].ended) >= Horizon {
		s.release(s.retained.list[0])
	}
}

// retention lists the attempts that have ended and are held, oldest first.
type retention struct {
	list  []*attempt
	bytes int
}

// drop takes a off the list and reports whether it was on it.
func (r *retention) drop(a *attempt) bool {
	i := slices.Index(r.list, a)
	if i < 0 {
		return false
	}
	r.list = slices.Delete(r.list, i, i+1)
	r.bytes -= a.held
	return true
}

// retain holds an ended attempt and makes room for it. Acknowledged responses
// give way first, then the oldest that no stream reads.
func (s *Service) retain(a *attempt) {
	r := s.retained
	if s.attempts[a.id] != a {
		return // released while its response was read again
	}
	r.drop(a) // an adopted response is listed before it is read
	a.ended = time.Now()
	a.req = nil // its body is not needed any more
	// The entry that cancelled an attempt does not wait for its end.
	a.delivered = a.delivered || a.stopReason == state.ReasonCancelled
	_, a.held = a.record.size()
	r.list = append(r.list, a)
	r.bytes += a.held
	if e := s.entries[a.entry]; e != nil && e.dropped && !a.keyed {
		s.release(a)
	}
	for r.bytes > MaxRetained {
		i := slices.IndexFunc(r.list, func(b *attempt) bool { return b.acked })
		if i < 0 {
			i = slices.IndexFunc(r.list, func(b *attempt) bool { return b != a && !b.record.read() })
		}
		if i < 0 {
			i = 0
		}
		s.release(r.list[i])
	}
}

// release stops holding an ended attempt. Streams that read it are not
// affected.
func (s *Service) release(a *attempt) {
	if !s.retained.drop(a) {
		return
	}
	delete(s.attempts, a.id)
	phase := a.phase
	if phase == state.AttemptDone {
		phase = state.AttemptExpired
	}
	s.remember(a.id, phase)
}

// ack notes that the owner has the whole response.
func (s *Service) ack(stream *Attempt) {
	a := s.attempts[stream.id]
	if a == nil || !stream.owner || a.ended.IsZero() {
		return
	}
	a.acked, a.delivered = true, true
	if !a.keyed {
		s.release(a)
	}
}

// detach forgets the stream. A stream that returned the last event has
// delivered the response.
func (s *Service) detach(stream *Attempt) {
	delete(s.streams, stream)
	stream.mu.Lock()
	r := stream.record
	stream.mu.Unlock()
	if r != nil {
		r.leave(stream)
	}
	if a := s.attempts[stream.id]; a != nil && stream.owner && stream.ended.Load() {
		a.delivered = true
	}
}
