package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/eventstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
)

const (
	// reasonPromptPart is the reason of a failure because a part of the prompt crashes
	// targets, and reasonContent because the request itself does.
	reasonPromptPart = "prompt_part"
	reasonContent    = "crashing_request"
	// refusalTimeout bounds the check whether a target has ended. The host of an ended
	// process refuses connections at once.
	refusalTimeout = 150 * time.Millisecond
)

// findKeys determines the keys by which the quarantine knows the request.
func (r *request) findKeys() {
	r.parts, r.contents = quarantine.KeysOf(r.targetService, r.call.Prompt), quarantine.ContentKeys(r.customerName(), r.call)
	r.keys = slices.Concat(r.parts, r.contents)
}

// quarantined returns what the quarantine needs to know of the request, with some of its keys.
func (r *request) quarantined(keys []quarantine.Key) quarantine.Request {
	return quarantine.Request{Service: r.targetService, Keys: keys, Customer: r.customerName()}
}

// quarantineBlock says why the quarantine keeps a request from targets.
type quarantineBlock struct {
	reason string
	wait   time.Duration // until what crashes targets is tried again
}

// checkQuarantine returns what keeps the request from targets, or nil. begin says that the
// request is about to be sent.
func (r *request) checkQuarantine(begin bool) *quarantineBlock {
	now := time.Now()
	i, until := r.service.cfg.Quarantine.Check(now, r.quarantined(r.keys), begin)
	if i < 0 {
		return nil
	}
	b := &quarantineBlock{reason: reasonContent, wait: until.Sub(now)}
	fields := []zap.Field{zap.String("request", string(r.call.ID)), zap.String("customer", string(r.customerName())),
		zap.Uint64("key", uint64(r.keys[i])), zap.Duration("wait", b.wait)}
	if r.keys[i].IsContent() {
		r.log.Info("crashing request blocked", fields...)
		return b
	}
	b.reason = reasonPromptPart
	r.log.Info("prompt part blocked", append(fields, zap.String("part", r.call.Prompt[i].ID))...)
	return b
}

// responseStarted records that the target has started to respond, which speaks for the parts
// of the prompt. Only a whole response speaks for the content.
func (r *request) responseStarted(g *dispatch.Grant) {
	r.service.cfg.Scheduler.ResponseStarted(g)
	r.service.cfg.Quarantine.Answered(time.Now(), r.quarantined(r.parts))
}

// suspected records the crash of a target under the request, and reports whether the request
// may crash the next one too: it had no response, and another target has crashed before under
// a part of its prompt, or under its content, that none has answered since. A target that
// leaves, or whose address takes connections and keeps them, has not crashed. After the first
// event, a crash speaks against the content only.
func (r *request) suspected(ctx context.Context, g *dispatch.Grant, sentAt time.Time, o dispatch.Outcome, err error) bool {
	if o != dispatch.Broken || !isEndOfConnection(err) || !r.service.cfg.Scheduler.Serves(g) {
		return false
	}
	keys := r.keys
	if g.Events > 0 {
		keys = r.contents
	}
	c := &quarantine.Crash{Request: r.quarantined(keys), Target: g.Target, SentAt: sentAt, EndedAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalTimeout)
	if !r.service.cfg.TargetClient.Refuses(ctx, g.Target.Address) {
		// The request need not wait for the rest of the check.
		go func() {
			defer cancel()
			if c.Closed = r.service.cfg.TargetClient.Closes(ctx, g.Target.Address); c.Closed {
				r.recordCrash(c)
			}
		}()
		return false
	}
	defer cancel()
	r.recordCrash(c)
	return g.Events == 0 && r.service.cfg.Quarantine.Suspects(c)
}

// recordCrash records that a target has ended, as it seems under this request.
func (r *request) recordCrash(c *quarantine.Crash) {
	r.service.cfg.Quarantine.RecordCrash(time.Now(), c)
	r.service.cfg.Counters.Add("target_crashed_under_request")
	r.log.Info("target crashed under request", zap.String("request", string(r.call.ID)), zap.String("customer", string(c.Customer)),
		zap.String("target", string(c.Target.ID)), zap.Bool("accepts_connections", c.Closed), zap.Duration("after", c.EndedAt.Sub(c.SentAt)), zap.String("prompt", promptText(r.call.Prompt)),
		zap.Uint64("content", uint64(r.contents[0])))
}

// isEndOfConnection reports whether the target's end of the connection was closed, as at
// the end of its process, rather than lost on the way.
func isEndOfConnection(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errNoEvent, errEndsWithTarget, errEndUnproved, eventstream.ErrEndsInsideEvent} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
