package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
)

const (
	// reasonPromptPart is the reason of a failure because a part of the prompt crashes
	// targets.
	reasonPromptPart = "prompt_part"
	// refusalTimeout bounds the check whether a target has ended. The host of an ended
	// process refuses connections at once.
	refusalTimeout = 150 * time.Millisecond
)

// quarantined returns what the quarantine needs to know of the request.
func (r *request) quarantined() quarantine.Request {
	return quarantine.Request{Service: r.targetService, Parts: r.promptParts, Customer: r.customerName()}
}

// checkPrompt reports whether a part of the prompt keeps the request from targets, and how
// long to wait until it is tried again. begin says that the request is about to be sent.
func (r *request) checkPrompt(begin bool) (wait time.Duration, blocked bool) {
	if len(r.promptParts) == 0 {
		return 0, false
	}
	now := time.Now()
	part, until := r.service.cfg.Quarantine.Check(now, r.quarantined(), begin)
	if part < 0 {
		return 0, false
	}
	r.log.Info("prompt part blocked", zap.String("request", string(r.call.ID)), zap.String("customer", string(r.customerName())),
		zap.String("part", r.call.Prompt[part].ID), zap.Uint64("key", uint64(r.promptParts[part])), zap.Duration("wait", until.Sub(now)))
	return until.Sub(now), true
}

// responseStarted records that the target has started to respond.
func (r *request) responseStarted(g *dispatch.Grant) {
	r.service.cfg.Scheduler.ResponseStarted(g)
	r.service.cfg.Quarantine.Answered(time.Now(), r.quarantined())
}

// suspectsPrompt records the crash of a target before it began to answer the request, and
// reports whether the request may have caused it: another target has crashed before under a
// part of its prompt that none has answered since. A target that leaves, or that still takes
// connections, has not crashed.
func (r *request) suspectsPrompt(ctx context.Context, g *dispatch.Grant, sentAt time.Time, o dispatch.Outcome, err error) bool {
	if o != dispatch.Broken || g.Events > 0 || !isEndOfConnection(err) || !r.service.cfg.Scheduler.Serves(g) {
		return false
	}
	endedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalTimeout)
	defer cancel()
	if !r.service.cfg.TargetClient.Refuses(ctx, g.Target.Address) {
		return false
	}
	c := &quarantine.Crash{Request: r.quarantined(), Target: g.Target, SentAt: sentAt, EndedAt: endedAt}
	r.service.cfg.Quarantine.RecordCrash(c)
	suspected := r.service.cfg.Quarantine.Suspects(c)
	r.service.cfg.Counters.Add("target_crashed_under_request")
	r.log.Info("target crashed under request", zap.String("request", string(r.call.ID)), zap.String("customer", string(r.customerName())),
		zap.String("target", string(g.Target.ID)), zap.Duration("after", endedAt.Sub(sentAt)), zap.String("prompt", promptText(r.call.Prompt)), zap.Bool("suspected", suspected))
	return suspected
}

// isEndOfConnection reports whether the target's end of the connection was closed, as at
// the end of its process, rather than lost on the way.
func isEndOfConnection(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errNoEvent, errEndsInsideEvent} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
