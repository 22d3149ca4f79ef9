package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// attempt is one send of a request to one target.
type attempt struct {
	request *request
	grant   *dispatch.Grant
	ctx     context.Context
	cancel  context.CancelCauseFunc
	stall   *time.Timer // cancels a response that may be had elsewhere; nil otherwise
}

// run sends the request and forwards the response. The error is nil when the
// caller was answered.
func (a *attempt) run() (dispatch.Outcome, error) {
	r := a.request
	a.arm(r.firstResponse())
	defer a.disarm()
	ex, err := r.service.cfg.Targets.Send(a.ctx, &Forward{
		Call: r.call, Target: a.grant.Target, Customer: r.customerName(), Left: time.Until(r.deadline), ResumeAfter: r.last,
	})
	if err != nil {
		return a.failed(err), err
	}
	whole := false
	defer func() { ex.Close(whole) }()
	head, err := ex.Head()
	if err != nil {
		return a.failed(err), err
	}
	r.service.cfg.Scheduler.ResponseStarted(a.grant)
	if head.NotRun {
		_, copyErr := io.Copy(io.Discard, io.LimitReader(ex, maxBody))
		whole = copyErr == nil
		outcome := dispatch.Rejected
		if head.Misdirected {
			outcome = dispatch.Gone
		}
		return outcome, fmt.Errorf("target %s: status %d: not run", a.grant.Target.ID, head.Status)
	}
	if err := checkHead(head); err != nil {
		return dispatch.Broken, fmt.Errorf("target %s: status %d: %w", a.grant.Target.ID, head.Status, err)
	}
	if r.route.Kind == state.StreamingRoute && success(head.Status) {
		outcome, err := a.stream(head, ex)
		whole = err == nil
		return outcome, err
	}
	body, err := io.ReadAll(io.LimitReader(ex, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLarge
	}
	if err != nil {
		return a.failed(err), err
	}
	whole = true
	if head.Status >= http.StatusInternalServerError {
		return a.targetFailed(head, body)
	}
	if r.begun {
		return dispatch.Failed, fmt.Errorf("resumed stream: status %d", head.Status)
	}
	r.whole(a.grant, head, body)
	return dispatch.Served, nil
}

// targetFailed handles a failure that the target reports: another target may
// serve what can be repeated, otherwise the caller gets the failure as it is.
func (a *attempt) targetFailed(head *state.Response, body []byte) (dispatch.Outcome, error) {
	r := a.request
	err := fmt.Errorf("target %s: status %d", a.grant.Target.ID, head.Status)
	if r.begun {
		return dispatch.Failed, err
	}
	r.reported = &reported{grant: a.grant, head: head, body: body}
	return dispatch.Failed, err
}

// checkHead rejects responses that must not reach a caller: a success without
// the target's proof, and statuses that promise "not run" though the target does
// not say so.
func checkHead(h *state.Response) error {
	if h.Encoded || success(h.Status) && !h.Signed {
		return errInvalid
	}
	switch h.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return errInvalid
	}
	return nil
}

func success(status int) bool { return status >= 200 && status < 300 }

// failed says how an attempt ended that got no complete response.
func (a *attempt) failed(err error) dispatch.Outcome {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(err, ErrNotSent) && (cause == nil || errors.Is(cause, errStalled)):
		return dispatch.Unreachable
	case errors.Is(cause, errStalled), errors.Is(cause, errTimeUp):
		return dispatch.Silent
	case cause != nil:
		return dispatch.Cancelled
	default:
		return dispatch.Broken
	}
}

// arm cancels the attempt unless something arrives within d. 0 means no limit.
func (a *attempt) arm(d time.Duration) {
	if d <= 0 {
		return
	}
	if a.stall == nil {
		a.stall = time.AfterFunc(d, func() { a.cancel(errStalled) })
		return
	}
	a.stall.Reset(d)
}

func (a *attempt) disarm() {
	if a.stall != nil {
		a.stall.Stop()
	}
}

// firstResponse returns how long the first response is waited for, 0 when it
// can't be had elsewhere.
func (r *request) firstResponse() time.Duration {
	if !r.route.Repeatable() || r.runs+1 >= r.route.MaxAttempts {
		return 0
	}
	if r.route.Kind == state.StreamingRoute {
		return max(minFirstEvent, time.Duration(firstEventFactor*float64(r.route.Objective)))
	}
	return max(minPlain, time.Duration(plainFactor*float64(r.route.Objective)))
}

func (r *request) eventGap() time.Duration {
	if r.firstResponse() == 0 {
		return 0
	}
	return max(minEventGap, time.Duration(eventGapFactor*float64(r.route.Gap)))
}

// stream forwards whole events. The head is held back until the first one, so
// that an attempt that fails before it can still be answered as a failure.
func (a *attempt) stream(head *state.Response, ex Exchange) (dispatch.Outcome, error) {
	r := a.request
	events := newEventReader(ex)
	for {
		event, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return a.failed(err), err
		}
		a.arm(r.eventGap())
		if len(event.data) > 0 {
			if ferr := r.forward(a.grant, head, event); ferr != nil {
				a.cancel(ferr)
				return dispatch.Cancelled, ferr
			}
		}
		if err != nil {
			return a.endStream(head)
		}
	}
}

func (a *attempt) endStream(head *state.Response) (dispatch.Outcome, error) {
	r := a.request
	if !r.begun {
		r.whole(a.grant, head, nil)
		return dispatch.Served, nil
	}
	if err := r.out.End(); err != nil {
		r.logCallerError("end of stream", err)
	}
	r.done(a.grant, head.Status, "complete")
	return dispatch.Served, nil
}

// forward sends one event to the caller.
func (r *request) forward(g *dispatch.Grant, head *state.Response, e event) error {
	if !r.begun {
		r.begun = true
		r.answering()
		if err := r.out.Begin(head); err != nil {
			return fmt.Errorf("begin stream to caller: %w", err)
		}
	}
	r.eventForwarded()
	if e.id != "" {
		r.last = e.id
	}
	if err := r.out.Event(e.data); err != nil {
		return fmt.Errorf("event to caller: %w", err)
	}
	return nil
}

// event is one whole event of a stream with its blank line.
type event struct {
	data []byte
	id   string // empty when the event has none
}

// maxEvent bounds one event.
const maxEvent = 4 << 20 // bytes

type eventReader struct{ in *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{in: bufio.NewReader(r)} }

// next returns the next whole event. At the complete end of the stream it
// returns what is left with io.EOF; what was read of an event when the stream
// broke is dropped.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.in.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		if len(ev.data) > maxEvent {
			return event{}, errTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return ev, err
		}
		text := trimLine(line)
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := field(text, "id"); ok {
			ev.id = id
		}
	}
}

func trimLine(line []byte) []byte {
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line
}

// field returns the value of a line of an event.
func field(line []byte, name string) (string, bool) {
	if len(line) <= len(name) || string(line[:len(name)]) != name || line[len(name)] != ':' {
		return "", false
	}
	value := line[len(name)+1:]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return string(value), true
}
