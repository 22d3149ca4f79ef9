package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/coordination/retry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/routing"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxPlacements bounds the number of targets tried for one call, including those
	// that did not run it.
	maxPlacements = 4
	// A request waits for the first configuration for maxConfigurationWait or, if that is
	// less, configurationWaitShare of its caller's time.
	maxConfigurationWait   = 2 * time.Second
	configurationWaitShare = 0.15
	// minNotReadyRetryAfter is the least retry-after time while the entry has no
	// configuration. It grows with the time since the start, because a store that has
	// not answered for long is expected to be away for longer.
	minNotReadyRetryAfter = 500 * time.Millisecond
	// maxResponseBytes bounds the body of a response that is not a stream, which is
	// held in memory until it is complete.
	maxResponseBytes = 16 << 20
	minBodyBuffer    = 4 << 10 // bytes
	// maxRejectionBytes bounds the body of a response that says that the request did not run,
	// which is discarded.
	maxRejectionBytes = 64 << 10
	// deadlineSlack is how long after the deadline a response is still read, as far as its
	// caller waits for it. Targets stop at the deadline, and what they have sent until then is
	// on its way.
	deadlineSlack = 50 * time.Millisecond
	// timeLimitUnit is that of the time limit which a target is told. It is rounded down.
	timeLimitUnit = time.Millisecond
	// shortagePause is the time from an attempt that failed because the entry was short of
	// descriptors until the request is placed again. Each request that ends frees some. A
	// request that has not run is refused after maxPlacements pauses, because another entry
	// may serve it at once.
	shortagePause = 10 * time.Millisecond
	// defaultRetryAfter is the retry-after time of a request that did not run before
	// it had used up its time or the targets that it may be sent to.
	defaultRetryAfter = 200 * time.Millisecond
)

// Timeouts after which a request that may be repeated is sent to another target:
// the given factor times the route's objective, or its longest pause between events,
// but at least the minimum.
const (
	firstEventTimeoutFactor = 2.5 // times the objective
	minFirstEventTimeout    = time.Second
	eventGapTimeoutFactor   = 4.0 // times the longest pause between events that is on time
	minEventGapTimeout      = 800 * time.Millisecond
	plainTimeoutFactor      = 3.0 // times the objective
	minPlainTimeout         = 250 * time.Millisecond
)

// Errors that end an attempt.
var (
	errStalled         = errors.New("target sent no response or event in time")
	errInvalidResponse = errors.New("response is encoded, unsigned, or has a status that is valid only for a request that did not run")
	errDeadline        = errors.New("deadline of the request passed")
	errTooLarge        = errors.New("response body is too large")
	errEndsWithdrawn   = errors.New("stream ended after its target was asked to abandon it")
	errEndsAtTimeLimit = errors.New("response ended at the time limit that its target was told")
	errEndsWithTarget  = errors.New("response without length or chunks ended together with its target")
	errEndUnproved     = errors.New("no proof that the target has outlived its response without length or chunks")
	errEndsWithHandler = errors.New("response in chunks, or empty, may have ended because its target ends")
	errEventMissing    = errors.New("resumed stream ended without the event inside which the attempt before broke off")
	errEndsEarly       = errors.New("resumed stream ended before the event after which it was to go on")
	errWriteToCaller   = errors.New("write to caller failed")
	errNoEvent         = errors.New("stream without length or chunks ended before its first event")
	errEmptyStream     = errors.New("stream with a length or in chunks ended before its first event")
)

// Config configures a Service.
type Config struct {
	Scheduler    *dispatch.Scheduler
	TargetClient TargetClient
	Quota        *quota.Ledger
	Refusals     *refusal.Log
	// Quarantine knows the parts of prompts, and the contents of requests, that crash targets.
	Quarantine *quarantine.Ledger
	// Origins remembers where streams began. AskOrigin asks other entries where the stream
	// of a request began. The error says why none knew.
	Origins   *origin.Log
	AskOrigin func(ctx context.Context, q origin.Question) (origin.Origin, error)
	// TellOrigin tells other entries at once where the streams of requests began, without waiting
	// for them.
	TellOrigin func(o origin.Origin, ids ...state.RequestID)
	// AskTargetEnd asks other entries what they have seen of a target; nil if there are none. The
	// error says which did not answer.
	AskTargetEnd func(ctx context.Context, id state.TargetID, address string) ([]targetend.Report, error)
	// RetryRatio, RetryWindow, RetrySlack and RetrySlackFrom bound the repeated sends for
	// each service as retry.WindowBudget says. RetrySlack returns this entry's part of what
	// all entries together may send beyond the ratio.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetrySlack     func() float64
	RetrySlackFrom time.Time
	// DrainTime is how long a target serves on after it has said that it leaves; 0 if that is not known.
	DrainTime time.Duration
	// Rollouts judges software versions that are rolled out; nil: none are.
	Rollouts VersionJudge
	// HedgingShare returns the extra work that hedges may do, as a share of the slot time of
	// served requests; nil or 0 for no hedges.
	HedgingShare func() float64
	// InRollout reports whether a software version of a service is in a roll-out; nil if none
	// is.
	InRollout func(state.Service, state.SoftwareVersion) bool
	// Memory bounds the bytes of responses that are held at a time.
	Memory   *memory.Account
	Log      *zap.Logger
	Counters *Counters
}

// Service serves callers' requests. It is safe for concurrent use.
type Service struct {
	cfg        Config
	started    time.Time
	table      atomic.Pointer[routing.Table]
	configured chan struct{} // closed with the first configuration
	// configuring is held while a configuration is put into effect.
	configuring sync.Mutex
	// running ends with EndRequests.
	running     context.Context
	endRequests context.CancelFunc
	targets     targetend.Log

	mu           sync.Mutex
	retryBudgets map[state.Service]*retry.WindowBudget
	hedgeBudgets map[state.Service]*retry.SlotTimeBudget
	// promptParts records which target last computed each prompt part, so that parts
	// that are computed again at another target are counted as wasted.
	promptParts promptPartTargets
}

// New returns a service without a configuration.
func New(cfg Config) *Service {
	running, end := context.WithCancel(context.Background())
	return &Service{
		cfg: cfg, started: time.Now(), configured: make(chan struct{}), running: running, endRequests: end, retryBudgets: make(map[state.Service]*retry.WindowBudget), hedgeBudgets: make(map[state.Service]*retry.SlotTimeBudget),
		promptParts: promptPartTargets{GenerationLimit: maxPromptParts},
	}
}

// SetConfiguration puts a configuration into effect unless the one in effect has the
// same or a newer version. It reports whether it did.
func (s *Service) SetConfiguration(c *state.Configuration) bool {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	// Before the configuration takes effect, so that no stream is taken up at a service to which its
	// route has just been moved. An older one may have been in effect at other entries.
	s.cfg.Origins.SetRoutes(time.Now(), c)
	old := s.table.Load()
	if old != nil && old.Config.Version >= c.Version {
		return false
	}
	s.table.Store(routing.New(c))
	if old == nil {
		close(s.configured)
	}
	return true
}

// Configuration returns the configuration in effect, or nil.
func (s *Service) Configuration() *state.Configuration {
	if t := s.table.Load(); t != nil {
		return t.Config
	}
	return nil
}

// retryBudget returns the service's budget of repeated sends.
func (s *Service) retryBudget(service state.Service) *retry.WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.retryBudgets[service]
	if w == nil {
		w = &retry.WindowBudget{Ratio: s.cfg.RetryRatio, Length: s.cfg.RetryWindow, SlackFrom: s.cfg.RetrySlackFrom}
		s.retryBudgets[service] = w
	}
	return w
}

// request is a call in progress.
type request struct {
	service       *Service
	call          *state.Call
	responder     Responder
	log           *zap.Logger
	table         *routing.Table
	route         *state.Route
	customer      *state.CustomerConfig
	cost          float64 // charged to the customer's allowance, in units
	targetService state.Service
	keys          []quarantine.Key // by which the quarantine knows the request
	// parts and contents are those of the keys that are of parts of the prompt, and of the
	// content.
	parts, contents []quarantine.Key
	placement       *dispatch.Request
	arrived         time.Time
	// firstArrived is when the caller's first attempt arrived; before arrived if that
	// was refused. The objective counts from it.
	firstArrived time.Time
	refusalKey   refusal.Key
	deadline     time.Time
	// answerBy is when an attempt is ended for the deadline.
	answerBy time.Time

	policy         string        // policy that chose the last target, empty before the first
	race           *race         // of the attempts in progress
	timeToResponse time.Duration // from arrived to the start of the response
	lastEventAt    time.Time     // when the last event was forwarded
	longestGap     time.Duration // longest pause between forwarded events

	placements    int  // number of targets that were granted
	retryTaken    bool // the permission to send the request once more has been taken and is not used
	reachedTarget bool // an attempt may have reached a target, so that the next one is a repeated send
	possibleRuns  int  // number of attempts that may have run
	streamBegun   bool // the head of a stream was sent to the caller
	// eventForwarded says that an event was sent to the caller.
	eventForwarded bool
	// software is the version of the target that wrote the first event; nil before there
	// is one. It is known from the start for a stream that is taken up.
	software *state.SoftwareVersion
	// firstGrant is that of the target that wrote the first event; nil if that was in another request.
	// originWithdrawn says that others know that the origin of the stream is unsure.
	firstGrant      *dispatch.Grant
	originWithdrawn bool
	lastEventID     string // ID of the last event that the caller has
	// positionUnknown says that a later event had none, so that no target can be told after which
	// event to resume the stream.
	positionUnknown bool
	// eventMissing says that the caller lacks an event of which a target has sent a part.
	eventMissing bool
	lastErr      error
	held         []*heldResponse // bodies of responses, one an attempt
	// targetFailure is the latest 5xx response of a target. The caller gets it if no
	// other target serves the request.
	targetFailure *failureResponse
	// believable is the end of a stream that is undecided, as long as no attempt has sent a further event.
	believable *believableEnd
}

// believableEnd is the end of a stream that is believed if the stream cannot go on at another target.
type believableEnd struct {
	attempt *attempt
	head    *state.Response
}

// failureResponse is a complete 5xx response of a target.
type failureResponse struct {
	attempt *attempt
	head    *state.Response
	body    []byte
}

// ServeHead answers a call, of which only the head was read, if the head shows that it cannot
// be served: there is no configuration, no route or no customer. It reports whether it did.
// A refusal is not remembered, because the body is a part of what the call is recognized by.
func (s *Service) ServeHead(ctx context.Context, call *state.Call, out Responder) bool {
	r := &request{service: s, call: call, responder: out, arrived: time.Now(), log: s.cfg.Log}
	ctx, release := s.untilStopped(ctx)
	defer release()
	failure := r.findRoute(ctx)
	if failure == nil {
		return false
	}
	r.fail(*failure)
	return true
}

// Serve answers a call that was read completely at arrived. ctx ends when the caller
// disconnects.
func (s *Service) Serve(ctx context.Context, call *state.Call, arrived time.Time, out Responder) {
	r := &request{service: s, call: call, responder: out, arrived: arrived, log: s.cfg.Log, lastEventID: call.ResumeAfter}
	defer r.releaseHeld()
	ctx, release := s.untilStopped(ctx)
	defer release()
	if failure := r.admit(ctx); failure != nil {
		r.fail(*failure)
		return
	}
	r.serve(ctx)
}

// serve sends the request to one target after another until it is answered or given
// up.
func (r *request) serve(ctx context.Context) {
	r.service.retryBudget(r.targetService).RecordRequest(time.Now())
	defer r.returnRetry()
	placementCtx, cancel := context.WithDeadlineCause(ctx, r.deadline, errDeadline)
	defer cancel()
	var grant *dispatch.Grant // of the target that takes over from the one before
	for {
		takesOver := grant != nil
		if !takesOver {
			var err error
			if grant, err = r.service.cfg.Scheduler.Acquire(placementCtx, r.placement); err != nil {
				r.handlePlacementError(placementCtx, err)
				return
			}
			if err = placementCtx.Err(); err != nil { // the process was paused meanwhile
				r.service.cfg.Scheduler.Release(grant, dispatch.Unused)
				r.handlePlacementError(placementCtx, err)
				return
			}
		}
		r.placements++
		r.policy = grant.Policy
		r.logTargetChosen(grant)
		sentTo := grant.Target.ID
		var tryAnother bool
		if grant, tryAnother = r.sendTo(ctx, placementCtx, grant, takesOver); !tryAnother {
			return
		}
		switch {
		case errors.Is(r.lastErr, ErrShortage):
			pause(ctx, shortagePause)
		case !errors.Is(r.lastErr, ErrGrantExpired) && !errors.Is(r.lastErr, ErrGrantWithdrawn):
			r.placement.Tried = append(r.placement.Tried, sentTo)
		}
		r.placement.AlreadyAdmitted = true
		r.describeProgress(r.placement)
		if r.placements >= maxPlacements {
			r.giveUp("no_placement_left", defaultRetryAfter)
			return
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handlePlacementError ends a request for which the scheduler granted no target.
func (r *request) handlePlacementError(ctx context.Context, err error) {
	var refusal *dispatch.Refusal
	switch {
	case errors.As(err, &refusal):
		r.logPlacementRefused(refusal)
		r.giveUp(refusal.Reason, refusal.RetryAfter)
	case errors.Is(context.Cause(ctx), errDeadline):
		r.giveUp("time_is_up", defaultRetryAfter)
	case errors.Is(context.Cause(ctx), errStopping):
		r.giveUp(dispatch.ReasonStopping, dispatch.StoppingRetryAfter)
	default:
		r.handleCallerLeft()
	}
}

// giveUp ends a request that is sent to no further target. A stream that has begun is
// aborted; otherwise the caller gets the last 5xx response of a target, or "unknown"
// if an attempt may have run, or else "not run".
func (r *request) giveUp(reason string, retryAfter time.Duration) {
	switch {
	case r.streamBegun:
		r.abort(reason)
	case r.targetFailure != nil:
		r.respond(r.targetFailure.attempt, r.targetFailure.head, r.targetFailure.body)
	case r.possibleRuns > 0:
		r.fail(Failure{Kind: UnknownOutcome, Reason: reason})
	default:
		r.refund()
		r.fail(Failure{Kind: NotRun, Reason: reason, RetryAfter: r.capRetryAfter(retryAfter)})
	}
}

// capRetryAfter limits a retry-after time to three tenths of the time that the caller
// has left. Callers honour up to a third of it.
func (r *request) capRetryAfter(d time.Duration) time.Duration {
	switch {
	case r.call.HasTimeout:
		d = min(d, (r.call.Timeout-time.Since(r.arrived))*3/10)
	case !r.deadline.IsZero():
		d = min(d, time.Until(r.deadline)*3/10)
	}
	return max(0, d)
}

// refund returns the cost of a request that did not run to the customer's allowance.
func (r *request) refund() {
	if r.customer != nil {
		r.service.cfg.Quota.Refund(time.Now(), r.customer.Name, r.cost)
	}
}

// sendTo sends the request to the granted target. It reports whether the request is
// to be placed on another one, at next unless that is nil; otherwise the request has ended.
// takesOver says that the target takes over from another one, so that takeMoveOn has checked
// that the request may be sent.
func (r *request) sendTo(ctx, placementCtx context.Context, g *dispatch.Grant, takesOver bool) (next *dispatch.Grant, tryAnother bool) {
	a := r.newAttempt(ctx, placementCtx, g)
	defer a.cancel(nil)
	r.race = a.race
	repeated := r.reachedTarget || r.retryTaken
	if !takesOver {
		if r.possibleRuns >= r.maxRuns() {
			return nil, r.holdBack(g, "no_run_left", defaultRetryAfter) // the configuration has changed meanwhile
		}
		if repeated && !r.retryTaken && !r.takeRetry() {
			return nil, r.holdBack(g, "retry_budget", defaultRetryAfter)
		}
		r.retryTaken = repeated
		if b := r.checkQuarantine(true); b != nil {
			return nil, r.holdBack(g, b.reason, b.wait)
		}
	}
	a.first, a.permission = !repeated, repeated
	end := r.runAttempts(a)
	next, r.retryTaken = end.next, end.permission
	r.lastErr = end.err
	r.reachedTarget = r.reachedTarget || end.reached
	if end.err == nil {
		r.countPromptTokens(end.last.grant, true)
		r.earnHedging(end.last)
	} else {
		tryAnother = r.afterFailedAttempt(ctx, end.last, end.outcome, end.err, end.suspected)
	}
	if next != nil && !tryAnother {
		r.service.cfg.Scheduler.Release(next, dispatch.Unused)
		next = nil
	}
	return next, tryAnother
}

// returnRetry gives back the permission to send the request once more if it was not used.
func (r *request) returnRetry() {
	if r.retryTaken {
		r.service.retryBudget(r.targetService).Return()
		r.retryTaken = false
	}
}

// holdBack ends a request that is not to be sent although it has been granted a target.
func (r *request) holdBack(g *dispatch.Grant, reason string, retryAfter time.Duration) (tryAnother bool) {
	r.service.cfg.Scheduler.Release(g, dispatch.Unused)
	r.giveUp(reason, retryAfter)
	return false
}

// takeRetry takes the permission to send the request once more, if the budget of the
// service allows it.
func (r *request) takeRetry() bool {
	if !r.service.retryBudget(r.targetService).Take(time.Now(), r.service.cfg.RetrySlack()) {
		r.logRetryRefused()
		return false
	}
	r.service.cfg.Counters.Add("repeated_send." + string(r.targetService))
	return true
}

// mayHaveRun reports whether a request may have run in an attempt that has failed.
func mayHaveRun(outcome dispatch.Outcome, err error) bool {
	// Only these prove that it did not. The outcome also rates the target.
	return !errors.Is(err, ErrNotSent) && outcome != dispatch.Rejected && outcome != dispatch.Gone
}

// afterFailedAttempt decides whether a request is placed on another target after an
// attempt that did not answer the caller. If not, it ends the request. suspected says that
// the request may crash the next target too.
func (r *request) afterFailedAttempt(ctx context.Context, a *attempt, outcome dispatch.Outcome, err error, suspected bool) (tryAnother bool) {
	mayHaveRun := mayHaveRun(outcome, err)
	if mayHaveRun {
		r.countPromptTokens(a.grant, false)
	}
	cause := context.Cause(ctx)
	if cause == nil && (!time.Now().Before(r.deadline) || errors.Is(err, errEndsAtTimeLimit)) {
		cause = errDeadline
	}
	if errors.Is(err, errWriteToCaller) || cause != nil && !errors.Is(cause, errDeadline) && !errors.Is(cause, errStopping) {
		r.handleCallerLeft()
		return false
	}
	if mayHaveRun {
		r.possibleRuns++
	}
	r.checkOrigin()
	willRetry := cause == nil && !suspected && !r.cannotResume() && r.possibleRuns < r.maxRuns()
	if willRetry && !r.retryTaken && r.reachedTarget && !r.service.retryBudget(r.targetService).Available(time.Now(), r.service.cfg.RetrySlack()) {
		willRetry = false
		r.logRetryRefused()
	}
	r.logAttemptFailed(a, outcome, err, willRetry)
	if willRetry {
		return true
	}
	switch {
	case errors.Is(cause, errStopping):
		r.giveUp(dispatch.ReasonStopping, dispatch.StoppingRetryAfter)
	case r.streamBegun:
		r.abort("stream_broken")
	case r.targetFailure != nil:
		r.respond(r.targetFailure.attempt, r.targetFailure.head, r.targetFailure.body)
	case !mayHaveRun && r.possibleRuns == 0:
		r.giveUp(outcome.String(), defaultRetryAfter)
	case cause != nil:
		r.fail(Failure{Kind: TimedOut, Reason: "time_is_up"})
	default:
		r.fail(Failure{Kind: UnknownOutcome, Reason: outcome.String()})
	}
	return false
}
