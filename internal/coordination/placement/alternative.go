package placement

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Alternative compares the predicted time to the first token of a request that
// is queued at target with the shortest elsewhere. It returns false when target
// is unknown or no other target passes the filters.
func (p *Placer) Alternative(target state.TargetID, q Query) (best, current time.Duration, ok bool) {
	t := p.snapshot.Load().targets[target]
	if t == nil {
		return 0, 0, false
	}
	s := p.evaluate(&q)
	for _, c := range s.candidates {
		if c.target.id == target || c.probing {
			continue
		}
		if !ok || c.wait < best {
			best, ok = c.wait, true
		}
	}
	if !ok {
		return 0, 0, false
	}
	return best, s.queuedWait(t), true
}

// queuedWait predicts the wait of a request that is already queued at t. The
// figures or counters include the request itself, so its own work is taken off.
func (s *evaluation) queuedWait(t *target) time.Duration {
	c := &candidate{target: t, cached: t.trusted(s.cached[t.id])}
	s.predict(c)
	own := workOf(s.query.Request, c.cached)
	extra := float64(own.prompt)/c.rates.prefill + float64(own.output)/c.rates.decode
	prefill := seconds(float64(own.prompt) / c.rates.prefill)
	return max(prefill, c.wait-seconds(extra))
}

// LowerTierQueued returns the targets, other than those tried or ejected, that may have
// room for a request of the given tier: those whose figures of at most 2 s age
// show a queued request of a lower tier or a free place, followed by those
// without such figures, since nothing shows that they are full. An entry may
// refuse the request for load when the result is empty (guarantee P4).
func (p *Placer) LowerTierQueued(q Query, tier state.Tier) []state.TargetID {
	s := p.evaluate(&q)
	reserve := s.set.reserve(tier)
	var shown, unknown []state.TargetID
	for _, c := range s.candidates {
		t := c.target
		if _, tried := q.Tried[t.id]; tried || c.probing {
			continue
		}
		switch {
		case t.figures == nil || q.Now.Sub(t.received) > figuresLifetime:
			unknown = append(unknown, t.id)
		case t.hasRoom(tier, reserve):
			shown = append(shown, t.id)
		}
	}
	return append(shown, unknown...)
}

// hasRoom reports whether the figures show a queued request below tier, a free
// slot for tier or a free place in the queue.
func (t *target) hasRoom(tier state.Tier, reserve int) bool {
	f := t.figures
	if f.LowestQueued != state.NoTier && f.LowestQueued.LowerThan(tier) {
		return true
	}
	for i := int(tier) + 1; i < state.MaxTiers; i++ {
		if f.QueuedCount[i] > 0 {
			return true
		}
	}
	if f.QueueLimit > 0 && !f.QueueFull() {
		return true
	}
	return f.RunningCount+t.queuedCount(tier) < f.Window-reserve
}
