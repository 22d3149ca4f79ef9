package side

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// isKnown reports whether the attempt has arrived before or was adopted. It
// returns true also when this may have been the case and is forgotten.
func (s *Service) isKnown(id state.AttemptID) bool {
	_, current := s.attempts[id]
	_, ended := s.outcomes.phases[id]
	return current || ended || s.mayBeForgotten(id)
}

// mayBeForgotten reports whether the outcome of id may no longer be remembered.
func (s *Service) mayBeForgotten(id state.AttemptID) bool {
	e := s.entries[entryKeyOf(id)]
	if e == nil {
		return s.entriesEvicted
	}
	return e.mayHaveForgotten(id)
}

// attach answers an entry's request for the state and the events of an attempt.
func (s *Service) attach(at *state.Attach, stream *AttemptStream) {
	s.streams[stream] = struct{}{}
	if s.isKnown(at.Attempt) {
		s.bindKnown(at.Attempt, at.Offset, stream)
		return
	}
	if at.Incarnation != s.cfg.Incarnation {
		if s.recovering {
			s.afterRecovery = append(s.afterRecovery, func() { s.attach(at, stream) })
			return
		}
		stream.bind(nil, 0, true, &state.AttemptState{Phase: state.AttemptUnknown})
		return
	}
	phase := state.AttemptUnseen
	if _, ok := s.voided[at.Attempt]; ok {
		phase = state.AttemptVoided
	}
	stream.bind(nil, 0, true, &state.AttemptState{Phase: phase})
}

// bindKnown binds the stream to an attempt for which isKnown returned true.
func (s *Service) bindKnown(id state.AttemptID, offset uint64, stream *AttemptStream) {
	a := s.attempts[id]
	if a == nil {
		phase, ok := s.outcomes.phases[id]
		if !ok {
			phase = state.AttemptUnknown
		}
		stream.bind(nil, 0, true, &state.AttemptState{Phase: phase})
		return
	}
	chunks, _ := a.events.size()
	st := &state.AttemptState{Phase: a.phase, Offset: max(chunks, a.chunksAtAdoption)}
	stream.bind(a.events, offset, a.phase != state.AttemptQueued, st)
	if a.adopted && !a.fetchStarted {
		s.fetchResponse(a)
	}
}

// void makes the service refuse an attempt unless it has run, and returns the
// state of the attempt.
func (s *Service) void(v *state.Void) state.AttemptState {
	id := v.Attempt
	if a := s.attempts[id]; a != nil {
		if a.phase == state.AttemptQueued {
			s.refuseQueued(a, state.ReasonVoided)
			s.schedule()
		}
		chunks, _ := a.events.size()
		return state.AttemptState{Phase: a.phase, Offset: chunks}
	}
	if phase, ok := s.outcomes.phases[id]; ok {
		return state.AttemptState{Phase: phase}
	}
	if v.Incarnation != s.cfg.Incarnation || s.mayBeForgotten(id) {
		return state.AttemptState{Phase: state.AttemptUnknown}
	}
	return state.AttemptState{Phase: s.voidUnseen(id)}
}

// voidUnseen voids an attempt that has not arrived. When its session is fenced,
// the attempt can no longer be accepted, so nothing needs to be remembered. It
// returns AttemptUnknown when the table of voided attempts is full.
func (s *Service) voidUnseen(id state.AttemptID) state.Phase {
	if e := s.entries[entryKeyOf(id)]; e != nil && id.Session < e.highestSession {
		return state.AttemptVoided
	}
	if _, ok := s.voided[id]; ok {
		return state.AttemptVoided
	}
	if len(s.voided) >= MaxVoidedAttempts {
		s.cfg.Log.Warn("table of voided attempts is full", zap.Stringer("attempt", id))
		return state.AttemptUnknown
	}
	s.voided[id] = struct{}{}
	return state.AttemptVoided
}

// recoverAttempts asks the target for its list of attempts until it answers.
// Recovery ends after RecoveryTimeout even without an answer.
func (s *Service) recoverAttempts(ctx context.Context) {
	timeout := time.AfterFunc(RecoveryTimeout, func() { s.post(s.endRecovery) })
	defer timeout.Stop()
	for {
		listed, err := s.listAtTarget(ctx)
		if err == nil {
			s.post(func() { s.adopt(listed) })
			return
		}
		s.cfg.Log.Warn("target does not list its live streams", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(recoveryRetryInterval):
		}
	}
}

func (s *Service) listAtTarget(ctx context.Context) ([]TargetAttempt, error) {
	ctx, cancel := context.WithTimeout(ctx, targetCallTimeout)
	defer cancel()
	return s.runner.ListAttempts(ctx)
}

// adopt takes over the attempts of earlier incarnations. Those that run occupy
// slots of the window; the responses of the others are read when an entry asks
// for them. When the list arrives after RecoveryTimeout, entries may already
// have been told that the outcome of an attempt is unknown.
func (s *Service) adopt(listed []TargetAttempt) {
	for _, l := range listed {
		if s.isKnown(l.Attempt) {
			continue
		}
		a := newAdopted(l)
		s.attempts[a.id] = a
		if l.Done {
			a.phase, a.delivered = state.AttemptDone, true
			s.retain(a)
			continue
		}
		s.window.producesTokens = true
		s.occupySlot(a)
		s.fetchResponse(a)
	}
	s.cfg.Log.Info("adopted the attempts listed by the target", zap.Int("attempts", len(listed)))
	s.endRecovery()
}

// fetchResponse reads the response of an adopted attempt from the target.
func (s *Service) fetchResponse(a *attempt) {
	a.fetchStarted = true
	s.runOnTarget(a, func(ctx context.Context, emit func(state.AttemptEvent)) (state.Usage, error) {
		return s.runner.Resume(ctx, a.id, 0, emit)
	})
}

// endRecovery ends the wait for the target's list and handles the dispatches
// and attaches that were deferred until then.
func (s *Service) endRecovery() {
	if !s.recovering {
		return
	}
	s.recovering = false
	afterRecovery := s.afterRecovery
	s.afterRecovery = nil
	for _, f := range afterRecovery {
		f()
	}
	s.schedule()
}
