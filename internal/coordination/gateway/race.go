package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// errOutrun is the cause for which an attempt is cancelled when another one has the response.
var errOutrun = errors.New("another target has answered first")

// race holds the attempts of a request that run at the same time: one and, at times, its hedge.
// The first one that has a whole response, or the first event of a stream, wins and answers the
// caller; the others are cancelled. Attempts that fail before leave the request to the others.
//
// An attempt beside others changes no field of the request until it has won, apart from
// possibleRuns, which mu guards while attempts run.
type race struct {
	request *request
	hedges  sync.WaitGroup

	mu      sync.Mutex
	running []*attempt
	winner  *attempt
	closer  *attempt // from which another target takes over, or nil
	// ran is the number of attempts that may have run and have failed beside others.
	ran  int
	open *hedge // in progress beside another attempt, or nil
	// besideEnded is closed when an attempt beside one that keeps its answer has ended; nil if none is kept.
	besideEnded chan struct{}
	// tried are the targets of attempts that have ended.
	tried  []state.TargetID
	result raceResult
}

// raceResult is how the attempts of a race ended.
type raceResult struct {
	// last is the one that won or, without a winner, the one that ended last, and outcome and err
	// are how it ended.
	last    *attempt
	outcome dispatch.Outcome
	err     error
	// suspected says that the request may crash the next target too.
	suspected bool
	// reached says that an attempt may have reached its target.
	reached bool
	// failure is the latest 5xx response of a target, or nil.
	failure *failureResponse
	// next is the target that takes over, or nil, and permission says that there is a permission
	// to send the request once more.
	next       *dispatch.Grant
	permission bool
}

// newRace returns the race of an attempt that begins alone.
func newRace(a *attempt) *race { return &race{request: a.request, running: []*attempt{a}} }

// runAttempts runs an attempt and the hedges that are sent beside it, which ends all of them.
func (r *request) runAttempts(first *attempt) *raceResult {
	if r.hedges() {
		first.handOver.hedgeAt = first.sentAt.Add(r.service.cfg.Scheduler.HedgeDelay(first.grant))
	}
	end := first.race.run(first)
	if end.failure != nil {
		r.targetFailure = end.failure
	}
	r.placement.Tried = append(r.placement.Tried, first.race.tried...)
	return end
}

// run runs the first attempt, and waits for those that are started beside it.
func (rc *race) run(first *attempt) *raceResult {
	rc.runAttempt(first)
	rc.hedges.Wait()
	rc.request.possibleRuns += rc.ran
	return &rc.result
}

// join adds a hedge of the attempt that runs. It returns false if there is none any more, or
// more than one, or one that has won.
func (rc *race) join(a *attempt, h *hedge) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.winner != nil || rc.closer != nil || len(rc.running) != 1 || rc.running[0] != h.first {
		return false
	}
	rc.running = append(rc.running, a)
	rc.open = h
	rc.hedges.Go(func() {
		defer a.cancel(nil)
		rc.runAttempt(a)
	})
	return true
}

// alone reports whether a single attempt runs, and none has won.
func (rc *race) alone() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.winner == nil && rc.closer == nil && len(rc.running) == 1
}

// won reports whether a has won.
func (rc *race) won(a *attempt) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.winner == a
}

// contested reports whether several attempts run and none has won.
func (rc *race) contested() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.winner == nil && len(rc.running) > 1
}

// answerArrivedBeside reports whether an attempt beside a has a whole response, whose end may be in doubt.
func (rc *race) answerArrivedBeside(a *attempt) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return slices.ContainsFunc(rc.running, func(o *attempt) bool { return o != a && o.arrived.Load() })
}

// keep holds back a whole answer whose target has ended or is silent, so that only signs show that it is whole,
// while another attempt may bring one that is proved. It returns nil once the answer is to be passed on: the attempt
// beside has failed or is silent for so long that another target would take over, the time of the request is
// over, or the attempt beside keeps its answer too. Otherwise, it returns why the attempt was cancelled.
func (rc *race) keep(a *attempt) error {
	rc.mu.Lock()
	if rc.winner != nil || len(rc.running) < 2 || rc.besideEnded != nil {
		rc.mu.Unlock()
		return nil
	}
	latest := a.sentAt
	for _, o := range rc.running {
		if o.sentAt.After(latest) {
			latest = o.sentAt
		}
	}
	ended := make(chan struct{})
	rc.besideEnded = ended
	rc.mu.Unlock()
	began := time.Now()
	silent := time.NewTimer(time.Until(latest.Add(rc.request.stallLimit())))
	defer silent.Stop()
	var cause error
	until := "attempt_beside_ended"
	select {
	case <-ended:
	case <-silent.C:
		until = "attempt_beside_silent"
	case <-a.ctx.Done():
		cause = context.Cause(a.ctx)
		until = "request_ended"
	}
	rc.request.logKept(a, until, time.Since(began), cause)
	if errors.Is(cause, errDeadline) || errors.Is(cause, errStopping) {
		return nil
	}
	return cause
}

// runs returns the number of attempts of the request that run or may have run.
func (rc *race) runs() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.request.possibleRuns + len(rc.running) + rc.ran
}

// triedTargets returns the targets of all attempts.
func (rc *race) triedTargets() []state.TargetID {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	ids := slices.Clone(rc.tried)
	for _, a := range rc.running {
		ids = append(ids, a.grant.Target.ID)
	}
	return ids
}

// close says that another target takes over from a, and cancels the attempts beside it. It
// returns false if one of them has won.
func (rc *race) close(a *attempt) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.winner != nil {
		return rc.winner == a
	}
	rc.closer = a
	for _, o := range rc.running {
		if o != a {
			o.cancel(errStalled)
		}
	}
	return true
}

// claim makes a the winner, unless another attempt has won. A whole response is taken although
// another target was to take over from the attempt beside; handOver.goesOn knows whether one takes
// over from a itself.
func (rc *race) claim(a *attempt, whole bool) bool {
	rc.mu.Lock()
	if rc.winner == a {
		rc.mu.Unlock()
		return true
	}
	if rc.winner != nil || rc.closer != nil && rc.closer != a && !whole {
		rc.mu.Unlock()
		return false
	}
	rc.winner = a
	losers := slices.DeleteFunc(slices.Clone(rc.running), func(o *attempt) bool { return o == a })
	rc.request.possibleRuns += rc.ran + len(losers)
	rc.running, rc.ran = []*attempt{a}, 0
	rc.mu.Unlock()
	for _, o := range losers {
		o.cancel(errOutrun)
		o.handOver.stop()
	}
	return true
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome dispatch.Outcome
	err     error
	// lost says that it was cancelled because another one has won, ran that it may have run
	// without having answered the caller, and suspected that the request may crash the next
	// target too.
	lost, ran, suspected bool
	next                 *dispatch.Grant
	permission           bool
}

// runAttempt runs an attempt to its end, releases its slot and records how it ended.
func (rc *race) runAttempt(a *attempt) {
	r := rc.request
	var end attemptEnd
	end.outcome, end.err = a.run()
	end.next, end.permission = a.handOver.end()
	end.lost = end.err != nil && errors.Is(context.Cause(a.ctx), errOutrun)
	if end.lost {
		end.outcome = a.lostOutcome(end.outcome, end.err)
		r.service.cfg.Scheduler.Outrun(a.grant)
	}
	ratio, slowness := r.relativeTime(a.grant, end.outcome)
	r.service.cfg.Scheduler.Release(a.grant, end.outcome)
	if errors.Is(end.err, ErrNotSent) && a.permission {
		r.service.retryBudget(r.targetService).Return()
	}
	end.suspected = end.err != nil && !end.lost && r.suspected(a.ctx, a.grant, a.sentAt, end.outcome, end.err)
	a.observeVersion(end.outcome, end.err, end.suspected, ratio, slowness)
	end.ran = end.err != nil && mayHaveRun(end.outcome, end.err)

	decides, heir, settled, winner := rc.leave(a, &end)
	if settled != nil {
		settled.settle(winner)
	}
	if !decides {
		r.recordBeside(a, &end)
	}
	switch {
	case heir == nil:
	case end.suspected && heir.arrived.Load(): // its target has run the request
	case end.suspected:
		heir.cancel(errSuspected)
	default:
		heir.handOver.takeWatch(r.service.cfg.Scheduler.HedgeDelay(heir.grant))
	}
}

// leave removes an attempt that has ended. decides says that its end is that of the race, heir is
// the attempt that goes on alone, and settled the hedge that has ended with it; both may be nil.
func (rc *race) leave(a *attempt, end *attemptEnd) (decides bool, heir *attempt, settled *hedge, winner *attempt) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.running = slices.DeleteFunc(rc.running, func(o *attempt) bool { return o == a })
	decides = rc.winner == a || rc.winner == nil && len(rc.running) == 0
	res := &rc.result
	res.reached = res.reached || !errors.Is(end.err, ErrNotSent)
	res.suspected = res.suspected || end.suspected
	res.permission = res.permission || end.permission
	if end.next != nil {
		res.next = end.next
	}
	if a.failure != nil {
		res.failure = a.failure
	}
	settled, rc.open = rc.open, nil
	if rc.besideEnded != nil {
		close(rc.besideEnded)
		rc.besideEnded = nil
	}
	if decides {
		res.last, res.outcome, res.err = a, end.outcome, end.err
		return true, nil, settled, rc.winner
	}
	if !errors.Is(end.err, ErrShortage) && !errors.Is(end.err, ErrGrantExpired) && !errors.Is(end.err, ErrGrantWithdrawn) {
		rc.tried = append(rc.tried, a.grant.Target.ID)
	}
	if rc.winner == nil {
		heir = rc.running[0]
		if end.ran {
			rc.ran++
		}
	}
	return false, heir, settled, rc.winner
}

// errSuspected is the cause for which an attempt is cancelled because the request seems to have
// crashed the target of another one.
var errSuspected = errors.New("request may crash targets")

// lostOutcome returns the outcome of an attempt that was cancelled because another one has
// won. It says nothing about the target, unless that was silent for so long that the request
// would have been taken from it anyway.
func (a *attempt) lostOutcome(outcome dispatch.Outcome, err error) dispatch.Outcome {
	switch {
	case errors.Is(err, ErrNotSent):
		return dispatch.Unused
	case outcome != dispatch.Cancelled:
		return outcome
	case a.grant.Events == 0 && time.Since(a.sentAt) >= a.request.stallLimit():
		return dispatch.Silent
	default:
		return dispatch.Cancelled
	}
}

// claim makes the attempt the one that answers the caller, unless another one has won.
func (a *attempt) claim(whole bool) bool { return a.race.claim(a, whole) }
