package placement

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// CompareWaits compares two predictions of the time to the first token for a
// request that is queued at target: best, the shortest at any other target that
// passes the filters and is not ejected, and current, that at target itself. ok
// is false when target is unknown or there is no such other target.
func (p *Placer) CompareWaits(target state.TargetID, q Query) (best, current time.Duration, ok bool) {
	t := p.snapshot.Load().targets[target]
	if t == nil {
		return 0, 0, false
	}
	s := p.evaluate(&q)
	for _, c := range s.candidates {
		if c.target.id == target || c.needsProbe {
			continue
		}
		if !ok || c.timeToFirstToken < best {
			best, ok = c.timeToFirstToken, true
		}
	}
	if !ok {
		return 0, 0, false
	}
	return best, s.queuedTimeToFirstToken(t), true
}

// queuedTimeToFirstToken predicts the time to the first token of a request that
// is already queued at t. The figures or the counters of t include the request,
// so its own cost is subtracted.
func (s *evaluation) queuedTimeToFirstToken(t *target) time.Duration {
	c := &candidate{target: t, cachedBlocks: t.expectedCachedBlocks(s.cachedBlocks[t.id])}
	s.predictDelays(c)
	cost := estimateCost(s.query.Request, c.cachedBlocks)
	ownSeconds := float64(cost.promptTokens)/c.rates.prefill + float64(cost.outputTokens)/c.rates.decode
	prefill := secondsToDuration(float64(cost.promptTokens) / c.rates.prefill)
	return max(prefill, c.timeToFirstToken-secondsToDuration(ownSeconds))
}

// TargetsWithRoom returns the targets that may have room for a request of the
// given tier. It considers the targets that pass the filters, have not been
// tried and are not ejected. Those whose figures, at most figuresLifetime old,
// show room (see hasRoom) come first. Those without such figures follow, since
// nothing shows that they are full. The entry may refuse the request for load
// only when the result is empty (guarantee P4: a higher tier is not shed before
// a lower one).
func (p *Placer) TargetsWithRoom(q Query, tier state.Tier) []state.TargetID {
	s := p.evaluate(&q)
	reserved := s.policies.reservedSlots(tier)
	var withRoom, unknown []state.TargetID
	for _, c := range s.candidates {
		t := c.target
		if _, tried := q.Tried[t.id]; tried || c.needsProbe {
			continue
		}
		switch {
		case t.figures == nil || q.Now.Sub(t.figuresReceived) > figuresLifetime:
			unknown = append(unknown, t.id)
		case t.hasRoom(tier, reserved):
			withRoom = append(withRoom, t.id)
		}
	}
	return append(withRoom, unknown...)
}

// hasRoom reports whether the figures show a queued request of a lower tier, a
// free place in the queue, or a free slot in the window for a request of the
// given tier. reserved is the number of slots that the tier leaves to higher
// tiers.
func (t *target) hasRoom(tier state.Tier, reserved int) bool {
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
	return f.RunningCount+t.queuedAtOrAbove(tier) < f.Window-reserved
}
