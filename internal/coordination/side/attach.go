package side

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// known reports whether the attempt arrived before or was adopted.
func (s *Service) known(id state.AttemptID) bool {
	_, held := s.attempts[id]
	_, ended := s.outcomes.phases[id]
	return held || ended || s.mayBeForgotten(id)
}

// mayBeForgotten reports whether the outcome of id may have been dropped.
func (s *Service) mayBeForgotten(id state.AttemptID) bool {
	e := s.entries[keyOf(id)]
	if e == nil {
		return s.entriesForgotten
	}
	return e.forgot(id)
}

// attach answers an entry that asks for an attempt.
func (s *Service) attach(at *state.Attach, stream *Attempt) {
	s.streams[stream] = struct{}{}
	if s.known(at.Attempt) {
		s.attachKnown(at.Attempt, at.Offset, stream)
		return
	}
	if at.Incarnation != s.cfg.Incarnation {
		if s.recovering {
			s.waiting = append(s.waiting, func() { s.attach(at, stream) })
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

// attachKnown binds the stream to an attempt for which known is true.
func (s *Service) attachKnown(id state.AttemptID, offset uint64, stream *Attempt) {
	a := s.attempts[id]
	if a == nil {
		phase, ok := s.outcomes.phases[id]
		if !ok {
			phase = state.AttemptUnknown
		}
		stream.bind(nil, 0, true, &state.AttemptState{Phase: phase})
		return
	}
	chunks, _ := a.record.size()
	st := &state.AttemptState{Phase: a.phase, Offset: max(chunks, a.chunksAtTarget)}
	stream.bind(a.record, offset, a.phase != state.AttemptQueued, st)
	if a.adopted && !a.fetched {
		s.fetch(a)
	}
}

// void makes the service refuse an attempt unless it has run.
func (s *Service) void(v *state.Void) state.AttemptState {
	id := v.Attempt
	if a := s.attempts[id]; a != nil {
		if a.phase == state.AttemptQueued {
			s.refuseQueued(a, state.ReasonVoided)
			s.schedule()
		}
		chunks, _ := a.record.size()
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

// voidUnseen voids an attempt that has not arrived. When its session is fenced
// it never will, so nothing needs to be remembered.
func (s *Service) voidUnseen(id state.AttemptID) state.Phase {
	if e := s.entries[keyOf(id)]; e != nil && id.Session < e.highest {
		return state.AttemptVoided
	}
	if _, ok := s.voided[id]; ok {
		return state.AttemptVoided
	}
	if len(s.voided) >= MaxVoided {
		s.cfg.Log.Warn("table of voided attempts is full", zap.Stringer("attempt", id))
		return state.AttemptUnknown
	}
	s.voided[id] = struct{}{}
	return state.AttemptVoided
}

// findLive asks the target which streams are alive until it answers.
func (s *Service) findLive(ctx context.Context) {
	limit := time.AfterFunc(RecoveryLimit, func() { s.post(s.recovered) })
	defer limit.Stop()
	for {
		live, err := s.askLive(ctx)
		if err == nil {
			s.post(func() { s.adopt(live) })
			return
		}
		s.cfg.Log.Warn("target does not list its live streams", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(recoveryRetry):
		}
	}
}

func (s *Service) askLive(ctx context.Context) ([]Live, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return s.runner.Running(ctx)
}

// adopt takes over the attempts of earlier incarnations. Those that run occupy
// the window; the responses of the others are read when an entry asks. When the
// list comes after RecoveryLimit, entries may have been told before that the
// outcome of an attempt is unknown.
func (s *Service) adopt(live []Live) {
	for _, l := range live {
		if s.known(l.Attempt) {
			continue
		}
		a := newAdopted(l)
		s.attempts[a.id] = a
		if l.Done {
			a.phase, a.delivered = state.AttemptDone, true
			s.retain(a)
			continue
		}
		s.window.tokens = true
		s.occupy(a)
		s.fetch(a)
	}
	s.cfg.Log.Info("live streams adopted", zap.Int("attempts", len(live)))
	s.recovered()
}

// fetch reads the response of an adopted attempt from the target.
func (s *Service) fetch(a *attempt) {
	a.fetched = true
	s.work(a, func(ctx context.Context, emit func(state.AttemptEvent)) (state.Usage, error) {
		return s.runner.Resume(ctx, a.id, 0, emit)
	})
}

// recovered ends the wait for the target's list.
func (s *Service) recovered() {
	if !s.recovering {
		return
	}
	s.recovering = false
	waiting := s.waiting
	s.waiting = nil
	for _, f := range waiting {
		f()
	}
	s.schedule()
}
