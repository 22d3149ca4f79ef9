package entry

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

func (r *run) query() Query {
	return Query{Request: r.req, Blocks: r.blocks, Tried: r.tried, Now: time.Now()}
}

// choose picks the next target. When there is none it returns how the request
// ends.
func (r *run) choose(ctx context.Context) (Decision, ending, bool) {
	for {
		if ctx.Err() != nil {
			return Decision{}, r.stopped(ctx, r.refusal.err), false
		}
		if r.displaced() {
			return Decision{}, refused(state.ReasonDisplaced, defaultRetryAfter, nil), false
		}
		if d, ok := r.nextTarget(); ok {
			r.req.Policy = d.Policy
			r.logDecision(d)
			return d, ending{}, true
		}
		if !r.reopen() {
			return Decision{}, r.exhausted(), false
		}
		if err := sleep(ctx, r.backoff().Delay(r.reopened, r.service.cfg.Random())); err != nil {
			return Decision{}, r.stopped(ctx, r.refusal.err), false
		}
	}
}

// nextTarget asks the placer. Beyond the bound on placements, only targets that
// P4 requires to be asked are left.
func (r *run) nextTarget() (Decision, bool) {
	if r.placements < r.bundle.Retry.Placements {
		if d, ok := r.service.cfg.Placer.Place(r.query()); ok {
			return d, true
		}
		if r.hasTransient() {
			return Decision{}, false // reopen first
		}
	}
	return r.requiredTarget()
}

// requiredTarget returns a target that must refuse this request before the
// entry may refuse it for load: one from whose queue the entry itself took the
// request, or one that shows room.
func (r *run) requiredTarget() (Decision, bool) {
	r.allAsked = false
	for target, reason := range r.tried {
		if reason == state.ReasonWithdrawn {
			return Decision{Target: target, Policy: r.req.Policy, Reason: "return to the queue left before"}, true
		}
	}
	for _, target := range r.service.cfg.Placer.LowerTierQueued(r.query(), r.req.Tier) {
		if _, tried := r.tried[target]; !tried {
			return Decision{Target: target, Policy: r.req.Policy, Reason: "free slot or lower tier queued"}, true
		}
	}
	r.allAsked = true
	return Decision{}, false
}

func (r *run) hasTransient() bool {
	for _, reason := range r.tried {
		if isTransient(reason) {
			return true
		}
	}
	return false
}

// reopen lets targets be chosen again that refused for a reason that may have
// passed, such as a fenced session. It reports whether there are any.
func (r *run) reopen() bool {
	if r.placements >= r.bundle.Retry.Placements || !r.hasTransient() {
		return false
	}
	for target, reason := range r.tried {
		if isTransient(reason) {
			delete(r.tried, target)
		}
	}
	r.reopened++
	return true
}

// exhausted refuses the request because no target is left.
func (r *run) exhausted() ending {
	end := refused(r.refusal.reason, r.refusal.retryAfter, r.refusal.err)
	if end.reason == "" {
		end.reason = ReasonNoTarget
	}
	if end.retryAfter == 0 {
		end.retryAfter = defaultRetryAfter
	}
	if end.reason.ForLoad() {
		state.Assert(r.allAsked, state.TierOrder, fmt.Sprintf("request %s of tier %d refused for load before all targets were asked", r.req.ID, r.req.Tier))
	}
	return end
}

func (r *run) logDecision(d Decision) {
	r.log.Info("placement",
		zap.String("tier", r.tierName()), zap.String("policy", r.policy()),
		zap.String("target", string(d.Target)), zap.String("reason", d.Reason),
		zap.Duration("predicted_wait", d.Wait), zap.Int("placement", r.placements+1),
		zap.String("candidates", formatCandidates(d.Candidates)))
}

// formatCandidates returns the form "target:score,target:score".
func formatCandidates(candidates []Candidate) string {
	var b strings.Builder
	for i, c := range candidates {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(c.Target))
		b.WriteByte(':')
		b.WriteString(strconv.FormatFloat(c.Score, 'f', 3, 64))
	}
	return b.String()
}
