package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/eventstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// attempt is one send of a request to one target.
type attempt struct {
	request  *request
	grant    *dispatch.Grant
	ctx      context.Context
	cancel   context.CancelCauseFunc
	handOver *handOver
	// sentAt is when the attempt began, and progressAt when its last event arrived, or sentAt
	// before that.
	sentAt, progressAt time.Time
	first              bool        // no attempt before may have reached a target
	overdue            atomic.Bool // what judges versions was told that the response is late
	overdueTimer       *time.Timer // until then; nil if nothing judges versions
	// arrived says that the whole response, which is no stream, has arrived. Its end may be in doubt.
	arrived atomic.Bool

	race   *race
	parent context.Context // of ctx
	// isHedge says that the attempt was started beside another one, and permission that a
	// permission for a repeated send was taken for it.
	isHedge, permission bool
	// begun and resumeAfter are what the caller had of the response when the attempt began.
	begun       bool
	resumeAfter string
	// passedOn is the ID of the last event that the caller has, if it is a number.
	passedOn eventNumber
	// resumedAt is passedOn when the attempt began, and received the highest number of an event
	// that the target has sent.
	resumedAt, received eventNumber
	repeated            int               // events that the target sent although the caller has them
	failure             *failureResponse  // 5xx response of the target, or nil
	logged              *targetend.Stream // once the first event has arrived; nil before
	times               eventTimes        // of the events of a stream
	// end, timing and timingWeight are those of the end of a stream, once it has been read.
	end          endTime
	timing       targetend.Timing
	timingWeight targetend.Weight
}

// newAttempt returns an attempt at the target of a grant. ctx ends with the request, and
// placementCtx at its deadline too.
func (r *request) newAttempt(ctx, placementCtx context.Context, g *dispatch.Grant) *attempt {
	a := &attempt{request: r, grant: g, sentAt: time.Now(), parent: ctx, begun: r.streamBegun, resumeAfter: r.lastEventID}
	a.progressAt = a.sentAt
	if r.streamBegun || r.route.Resumable { // a target may begin again at 1 otherwise
		a.passedOn = parseEventNumber(a.resumeAfter)
		a.resumedAt = a.passedOn
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.handOver = &handOver{attempt: a, ctx: placementCtx}
	a.race = newRace(a)
	return a
}

// run sends the request and forwards the response. The error is nil if the
// target's response was passed to the caller.
func (a *attempt) run() (dispatch.Outcome, error) {
	r := a.request
	deadline := newCatchUpTimer(max(0, time.Until(r.answerBy)), func() { a.cancel(errDeadline) })
	defer deadline.stop()
	if !r.service.cfg.Scheduler.Sending(a.grant, a.first) {
		return dispatch.Unused, ErrGrantWithdrawn
	}
	defer a.watchOverdue()()
	if !a.isHedge { // the first attempt watches the progress of both
		a.handOver.expect(r.firstResponseTimeout())
	}
	a.handOver.await()
	ex, err := r.service.cfg.TargetClient.Send(a.ctx, &Forward{
		Call: r.call, Target: a.grant.Target, Customer: r.customerName(), TimeLeft: time.Until(r.deadline), ResumeAfter: a.resumeAfter,
		SendBy: a.grant.ExpiresAt, Holds: func() bool { return r.service.cfg.Scheduler.Holds(a.grant) },
	})
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.service.targets.Refuses(a.grant.Target.ID, time.Now())
		}
		return a.outcomeOf(err), err
	}
	a.handOver.sent(ex)
	bodyRead := false
	defer func() { ex.Close(bodyRead) }()
	head, err := ex.Head()
	if err != nil {
		return a.outcomeOf(err), err
	}
	a.observe(head)
	if head.NotRun {
		n, copyErr := io.Copy(io.Discard, io.LimitReader(ex, maxRejectionBytes))
		bodyRead = copyErr == nil && n < maxRejectionBytes
		outcome := dispatch.Rejected
		if head.Misdirected {
			outcome = dispatch.Gone
		}
		return outcome, fmt.Errorf("target %s: status %d: not run%s", a.grant.Target.ID, head.Status, pauseText(head))
	}
	if err := checkHead(head); err != nil {
		return dispatch.Broken, fmt.Errorf("target %s: status %d: %w", a.grant.Target.ID, head.Status, err)
	}
	if r.route.Kind == state.StreamingRoute && isSuccess(head.Status) {
		outcome, err := a.forwardStream(head, ex)
		bodyRead = err == nil
		return outcome, err
	}
	r.service.targets.Runs(a.grant.Target.ID, a.sentAt)
	body, err := a.readBody(ex)
	if err == nil && isSuccess(head.Status) && !a.lengthShowsEnd(head, len(body) == 0) {
		err = a.endsForEntry()
	}
	if err == nil {
		a.arrived.Store(true)
		a.handOver.goesOn() // the answer is there, however long its check takes and slowly the caller reads it
		err = a.checkEnd(head, ex, len(body) == 0)
	}
	if err != nil {
		return a.outcomeOf(err), err
	}
	bodyRead = true
	if head.Status >= http.StatusInternalServerError {
		return a.handleTargetFailure(head, body)
	}
	if a.begun {
		return dispatch.Failed, fmt.Errorf("resumed stream: status %d", head.Status)
	}
	if !a.claim(true) {
		return a.outcomeOf(errOutrun), errOutrun
	}
	r.responseStarted(a.grant)
	r.respond(a, head, body)
	return dispatch.Served, nil
}

// pauseText returns the pause that the target asks for, for an error message.
func pauseText(head *state.Response) string {
	if head.Stated.Pause == 0 {
		return ""
	}
	return fmt.Sprintf(", asks for a pause of %s", head.Stated.Pause)
}

// readBody reads a body that is not a stream. What it takes of the memory for responses is
// given back at the end of the request, because a failure may be passed on later.
func (a *attempt) readBody(ex Exchange) ([]byte, error) {
	held := a.request.holdResponse()
	body := make([]byte, 0, minBodyBuffer)
	for {
		if len(body) == cap(body) {
			if err := held.hold(2 * cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := ex.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > maxResponseBytes:
			return nil, errTooLarge
		}
	}
}

// observe records what the target states in its response. That of another target at the
// same address says nothing about this one.
func (a *attempt) observe(head *state.Response) {
	if head.Misdirected {
		return
	}
	a.request.service.cfg.Quarantine.Alive(time.Now(), &a.grant.Target)
	for _, err := range []error{head.Stated.RateLimitErr, head.Stated.PauseErr} {
		if err != nil {
			a.request.log.Warn("statement of target ignored", zap.String("request", string(a.request.call.ID)), zap.String("target", string(a.grant.Target.ID)), zap.Error(err))
		}
	}
	a.request.service.cfg.Scheduler.Observe(a.grant, head.Stated, head.HasSignature)
}

// handleTargetFailure keeps a 5xx response. If the request is repeatable, another
// target may serve it; otherwise the caller gets the kept response. Once a stream
// has begun, the response cannot be passed on and is dropped.
func (a *attempt) handleTargetFailure(head *state.Response, body []byte) (dispatch.Outcome, error) {
	err := fmt.Errorf("target %s: status %d", a.grant.Target.ID, head.Status)
	if a.begun {
		return dispatch.Failed, err
	}
	a.failure = &failureResponse{attempt: a, head: head, body: body}
	return dispatch.Failed, err
}

// checkHead rejects responses that must not reach the caller: those with a content
// encoding, a success that the target did not sign, and statuses that mean "not
// run" to the caller although the target did not state that it did not run the
// request.
func checkHead(h *state.Response) error {
	if h.HasContentEncoding || isSuccess(h.Status) && !h.HasSignature {
		return errInvalidResponse
	}
	switch h.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return errInvalidResponse
	}
	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// mayHaveBody reports whether a response to a method with a status may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && state.StatusMayHaveBody(status)
}

// outcomeOf classifies an attempt that got no complete response by its error and
// by the cause for which its context was cancelled.
func (a *attempt) outcomeOf(err error) dispatch.Outcome {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(err, ErrGrantExpired), errors.Is(err, ErrGrantWithdrawn),
		errors.Is(err, ErrNotSent) && (errors.Is(cause, errStopping) || errors.Is(cause, errDeadline)):
		return dispatch.Unused
	case errors.Is(err, ErrNotSent) && errors.Is(err, ErrShortage):
		return dispatch.Unused
	case errors.Is(err, ErrShortage):
		return dispatch.Cancelled
	case errors.Is(err, ErrNotSent) && (cause == nil || errors.Is(cause, errStalled)):
		return dispatch.Unreachable
	case errors.Is(cause, errStalled), errors.Is(cause, errDeadline), cause == nil && (a.handOver.wasWithdrawn() || errors.Is(err, errEndsAtTimeLimit)):
		return dispatch.Silent
	case cause != nil:
		return dispatch.Cancelled
	default:
		return dispatch.Broken
	}
}

// endedBy returns what ended an attempt that the target did not end itself: the stall limit,
// the deadline, the planned stop or the caller. It is empty otherwise.
func (a *attempt) endedBy() string {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errStalled), cause == nil && a.handOver.wasWithdrawn():
		return "stall_limit"
	case errors.Is(cause, errDeadline):
		return "deadline"
	case errors.Is(cause, errStopping):
		return "planned_stop"
	case errors.Is(cause, errSuspected):
		return "quarantine"
	case cause == nil:
		return ""
	default:
		return "caller"
	}
}

// forwardStream forwards the response event by event. The head is held back until
// the first complete event, so that a failure before it can still be answered with
// an error response.
func (a *attempt) forwardStream(head *state.Response, ex Exchange) (dispatch.Outcome, error) {
	r := a.request
	events := newEventReader(ex, r.newHeldResponse(), head.EndsWithConnection)
	defer events.held.release()
	defer func() {
		if n := events.skipped(); n > 0 {
			r.logSkippedResponses(a, n)
		}
	}()
	defer func() { a.logged.Leave() }()
	for {
		a.times.readyAt = time.Now()
		event, err := events.next()
		// What follows a stream leaves a doubt about its end, which only a resumption removes.
		if errors.Is(err, io.EOF) || errors.Is(err, eventstream.ErrFollowed) && !a.mayGoOnElsewhere() {
			return a.endStream(head, ex)
		}
		if err != nil {
			a.recordBreak(ex)
			a.breaksOffInside(events)
			return a.outcomeOf(err), err
		}
		a.times.add()
		a.sampleDelay(ex)
		if !a.handOver.goesOn() { // the other target continues from the event before
			r.eventMissing = r.eventMissing || event.hasField && !a.isRepeated(event)
			return dispatch.Silent, errStalled
		}
		if a.isRepeated(event) || !event.hasField && a.race.contested() {
			a.handOver.await() // neither what the caller has nor a comment is a response
			continue
		}
		if !a.claim(false) {
			return a.outcomeOf(errOutrun), errOutrun
		}
		// A comment shows only that the target is alive, not that the stream goes on.
		if event.hasField {
			a.handOver.expect(r.eventGapTimeout())
			a.countEvent(ex)
		}
		r.checkOrigin()
		a.logged.SetRead(false)
		if err := r.forwardEvent(a.grant, head, event); err != nil {
			a.cancel(err)
			return dispatch.Cancelled, err
		}
		a.logged.SetRead(true)
		a.handOver.await()
	}
}

// endStream answers the caller after the end of the response between two events, if that shows that
// the stream is complete.
func (a *attempt) endStream(head *state.Response, ex Exchange) (dispatch.Outcome, error) {
	a.recordEndTiming(head, ex)
	if !a.lengthShowsEnd(head, a.grant.Events == 0) {
		if err := a.endsForEntry(); err != nil {
			return a.outcomeOf(err), err
		}
	}
	if err := a.checkEvents(head); err != nil {
		a.recordBreak(ex)
		return dispatch.Broken, err
	}
	if !a.handOver.goesOn() { // the other target continues from the last event
		return dispatch.Silent, errStalled
	}
	if a.endsEarly() {
		return a.outcomeOf(errEndsEarly), errEndsEarly
	}
	arrivedAt, _ := a.end.arrivedAt()
	a.logged.EndTimed(arrivedAt, a.timingWeight)
	if !head.EndsWithConnection { // the slot is free while the end is checked
		a.request.service.cfg.Scheduler.Ended(a.grant)
	}
	if err := a.checkEnd(head, ex, a.grant.Events == 0); err != nil {
		return a.outcomeOf(err), err
	}
	if !a.claim(true) {
		return a.outcomeOf(errOutrun), errOutrun
	}
	return a.finishStream(head)
}

// recordBreak records that the target has broken off the response, unless this entry has caused that, also
// by the time limit that it has stated: others that end at the same moment may have been cut too.
func (a *attempt) recordBreak(ex Exchange) {
	if a.ctx.Err() != nil || a.handOver.wasWithdrawn() || a.endsForEntry() != nil {
		return
	}
	at, _ := endArrivedAt(ex)
	if a.logged != nil {
		a.logged.End(at)
		return
	}
	a.request.service.targets.Ended(a.grant.Target.ID, at)
}

// checkEvents returns an error if a response that has ended lacks events: a run begins with its first
// token, so that only the response to a resumption may have none, if none is known to be missing. HTTP
// servers state a length of 0 or write the last chunk when they cancel a handler that has written nothing.
func (a *attempt) checkEvents(head *state.Response) error {
	switch {
	case head.EndsWithConnection && !a.race.won(a) && !a.begun:
		return errNoEvent
	case a.grant.Events > 0 || !mayHaveBody(a.request.call.Method, head.Status):
		return nil
	case a.resumeAfter != "" && a.request.eventMissing:
		return errEventMissing
	case a.resumeAfter != "":
		return nil
	case head.EndsWithConnection:
		return errNoEvent
	default:
		return errEmptyStream
	}
}

// resumesWithoutEvent reports whether the response to a resumption has ended without a further event.
func (a *attempt) resumesWithoutEvent(head *state.Response) bool {
	return a.resumeAfter != "" && a.grant.Events == 0 && isSuccess(head.Status) && a.request.route.Kind == state.StreamingRoute
}

// lengthShowsEnd reports whether a response that was read to its end is complete by the length that its
// head states. A length of 0 shows nothing: HTTP servers state it if a handler returns early, without
// having written anything. empty says that the body has nothing, or that a stream has no event.
func (a *attempt) lengthShowsEnd(head *state.Response, empty bool) bool {
	return head.HasLength && !(empty && mayHaveBody(a.request.call.Method, head.Status))
}

// endsForEntry returns an error if the target may have ended a response because of this entry: it was
// asked to abandon it, or has reached the time limit that it was told. HTTP servers write the last
// chunk of a response when its handler returns early, so that chunks do not show that it is complete.
// An end that is read after that may have arrived before it: the entry does not read while it writes to
// a slow caller, or while it is paused.
func (a *attempt) endsForEntry() error {
	switch {
	case a.handOver.endedWithdrawn():
		return errEndsWithdrawn
	case time.Until(a.request.deadline) <= timeLimitUnit && !a.handOver.endArrivedBefore(a.request.deadline.Add(-timeLimitUnit)):
		return errEndsAtTimeLimit
	}
	return nil
}

// endsEarly reports whether a target that was to resume the stream has ended it before the last
// event that the caller has. Then the events that it sent are not those that the caller has, and
// its end is not that of the caller's stream.
func (a *attempt) endsEarly() bool {
	return a.resumedAt.known && a.received.known && a.received.value < a.resumedAt.value
}

// countEvent records the start of the response and the events for the cost model.
func (a *attempt) countEvent(ex Exchange) {
	if a.grant.Events == 0 {
		a.logged = a.request.service.targets.Begin(a.grant.Target.ID, a.sentAt, func() (time.Time, bool) { return receivedAt(ex) })
		a.request.responseStarted(a.grant)
		a.observeBegun()
	}
	a.grant.Events++
	a.progressAt = time.Now()
}

// finishStream completes the response after a stream that ended between two events. A resumption
// without events is answered as a complete response without a body.
func (a *attempt) finishStream(head *state.Response) (dispatch.Outcome, error) {
	r := a.request
	if head.EndsWithConnection && !r.eventForwarded {
		return dispatch.Broken, errNoEvent
	}
	if !r.streamBegun {
		r.respond(a, head, nil)
		return dispatch.Served, nil
	}
	r.completeStream(a, head)
	return dispatch.Served, nil
}

// completeStream ends the response to the caller after the last event.
func (r *request) completeStream(a *attempt, head *state.Response) {
	if err := r.responder.EndStream(); err != nil {
		r.logCallerError("end of stream", err)
	}
	r.recordAnswered(a, head)
}

// forwardEvent sends one event to the caller, preceded by the head if it is the
// first one. Its errors wrap errWriteToCaller: the caller lacks the event, so that the stream
// must not go on behind it.
func (r *request) forwardEvent(g *dispatch.Grant, head *state.Response, e event) error {
	if !r.streamBegun {
		r.streamBegun = true
		r.recordResponseStart()
		if err := r.responder.BeginStream(head); err != nil {
			return fmt.Errorf("%w: begin stream: %w", errWriteToCaller, err)
		}
	}
	r.recordEventGap()
	if e.id != "" {
		r.lastEventID = e.id
	}
	if e.hasField {
		r.positionUnknown = e.id == ""
		r.eventMissing = false
		r.believable = nil
	}
	if e.hasField && !r.eventForwarded {
		r.eventForwarded = true
		r.recordOrigin(g)
	}
	if err := r.responder.WriteEvent(e.data); err != nil {
		return fmt.Errorf("%w: event: %w", errWriteToCaller, err)
	}
	return nil
}
