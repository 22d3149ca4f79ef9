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

// placementQuery returns the request as the placer needs it, with the targets
// tried so far.
func (r *requestRun) placementQuery() Query {
	return Query{Request: r.req, Blocks: r.blocks, Tried: r.tried, Now: time.Now()}
}

// chooseTarget returns the next target to try. When there is none, or the request
// has to stop, it returns false and the end of the request. While targets that
// refused for a transient reason may be tried again, it waits with backoff.
func (r *requestRun) chooseTarget(ctx context.Context) (Decision, attemptEnd, bool) {
	for {
		if ctx.Err() != nil {
			return Decision{}, r.contextEnd(ctx, r.reportedRefusal.err), false
		}
		if r.displaced() {
			return Decision{}, refusedEnd(state.ReasonDisplaced, defaultRetryAfter, nil), false
		}
		if d, ok := r.nextTarget(); ok {
			r.req.Policy = d.Policy
			r.logDecision(d)
			return d, attemptEnd{}, true
		}
		if !r.clearTransientRefusals() {
			return Decision{}, r.noTargetEnd(), false
		}
		if err := sleep(ctx, r.backoff().Delay(r.transientRetries, r.service.cfg.Random())); err != nil {
			return Decision{}, r.contextEnd(ctx, r.reportedRefusal.err), false
		}
	}
}

// nextTarget returns the placer's choice while the request may still be placed.
// After that it returns only targets that have to be asked before the request may
// be refused for load (see state.TierOrder).
func (r *requestRun) nextTarget() (Decision, bool) {
	if r.placements < r.bundle.Retry.Placements {
		if d, ok := r.service.cfg.Placer.Place(r.placementQuery()); ok {
			return d, true
		}
		if r.hasTransientRefusal() {
			return Decision{}, false // chooseTarget makes those targets eligible again
		}
	}
	return r.requiredTarget()
}

// requiredTarget returns a target that must have refused this request before the
// entry may refuse it for load: one whose queue held the request until the entry
// withdrew it, or one that may have room for its tier.
func (r *requestRun) requiredTarget() (Decision, bool) {
	r.requiredTargetsAsked = false
	for target, reason := range r.tried {
		if reason == state.ReasonWithdrawn {
			return Decision{Target: target, Policy: r.req.Policy, Reason: "return to the queue that the request was withdrawn from"}, true
		}
	}
	for _, target := range r.service.cfg.Placer.TargetsWithRoom(r.placementQuery(), r.req.Tier) {
		if _, tried := r.tried[target]; !tried {
			return Decision{Target: target, Policy: r.req.Policy, Reason: "may have room for the tier"}, true
		}
	}
	r.requiredTargetsAsked = true
	return Decision{}, false
}

// hasTransientRefusal reports whether a target that was tried may take the
// request when it is asked again.
func (r *requestRun) hasTransientRefusal() bool {
	for _, reason := range r.tried {
		if isTransient(reason) {
			return true
		}
	}
	return false
}

// clearTransientRefusals makes targets eligible again that refused for a reason
// that may have passed, such as a fenced session. It returns false when there are
// none or no placement is left.
func (r *requestRun) clearTransientRefusals() bool {
	if r.placements >= r.bundle.Retry.Placements || !r.hasTransientRefusal() {
		return false
	}
	for target, reason := range r.tried {
		if isTransient(reason) {
			delete(r.tried, target)
		}
	}
	r.transientRetries++
	return true
}

// noTargetEnd refuses the request because no target is left to try. It reports
// the refusal that recordRefusal kept.
func (r *requestRun) noTargetEnd() attemptEnd {
	end := refusedEnd(r.reportedRefusal.reason, r.reportedRefusal.retryAfter, r.reportedRefusal.err)
	if end.reason == "" {
		end.reason = ReasonNoTarget
	}
	if end.retryAfter == 0 {
		end.retryAfter = defaultRetryAfter
	}
	if end.reason.IsOverload() {
		state.Assert(r.requiredTargetsAsked, state.TierOrder, fmt.Sprintf("request %s of tier %d refused for load before every target that may have room was asked", r.req.ID, r.req.Tier))
	}
	return end
}

// logDecision logs the choice of a target and the candidates' scores.
func (r *requestRun) logDecision(d Decision) {
	r.log.Info("placement",
		zap.String("tier", r.tierName()), zap.String("policy", r.policyName()),
		zap.String("target", string(d.Target)), zap.String("reason", d.Reason),
		zap.Duration("predicted_wait", d.Wait), zap.Int("placement", r.placements+1),
		zap.String("candidates", formatCandidates(d.Candidates)))
}

// formatCandidates returns the candidates as "target:score,target:score", with
// three decimal places for each score.
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
