package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// handOverInterval is the time after which a stalled attempt for which no other target
	// was found looks for one again.
	handOverInterval = 200 * time.Millisecond
	// withdrawTime is how long a target that is asked to abandon a request may take for it.
	withdrawTime = 300 * time.Millisecond
)

// handOver watches the progress of an attempt. When the target has stalled, it looks for
// another one, and ends the attempt only once that one has a slot for the request. Until
// then, and if there is none, the attempt goes on.
//
// A stream that has begun must not go on at two targets at a time. So its target is first asked
// to abandon it, where that is possible, and the attempt ends when the target has done so or when
// its host cannot be reached. A target that can be reached and does neither keeps the request,
// and the request keeps the permission to be sent once more. Other requests may run twice.
//
// The fields of the request that the search reads change only while awaiting is false.
type handOver struct {
	attempt *attempt
	ctx     context.Context // ends with the request or at its deadline

	mu       sync.Mutex
	awaiting bool // the request waits for the target
	timer    *catchUpTimer
	// limit is the time after which the target has stalled, and left what is left of it at
	// since, which is when the request began to wait.
	limit, left time.Duration
	since       time.Time
	logged      bool            // that the target has stalled
	search      *search         // in progress, or nil
	next        *dispatch.Grant // the target that takes over
	exchange    Exchange        // of the attempt; nil before the request is sent
	withdrawn   bool            // the target was asked to abandon the request
	withdrawnAt time.Time       // just before it was
	permission  bool            // to send the request once more, which is left of a hand-over that did not take place
	check       *time.Timer     // of whether it does; nil before it is asked
	hedgeAt     time.Time       // when a hedge is considered; zero for none
}

// search is one search for another target.
type search struct{ cancel context.CancelFunc }

// expect sets the time until the next progress. A limit of 0 means that no other target may
// be tried.
func (h *handOver) expect(limit time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit, h.left = limit, limit
}

// await says that the request waits for the target from now on.
func (h *handOver) await() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awaiting, h.since = true, time.Now()
	if h.limit > 0 && !h.withdrawn {
		h.startTimer(h.untilNextCheck())
	}
}

// startTimer must be called with h.mu held.
func (h *handOver) startTimer(d time.Duration) {
	if h.timer == nil {
		h.timer = newCatchUpTimer(d, h.stalled)
		return
	}
	h.timer.reset(d)
}

// sent says that the request has been sent.
func (h *handOver) sent(ex Exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchange = ex
}

// goesOn says that the target has sent something, so that the request does not wait for it.
// It returns false if another target takes over already. If the target was only asked to
// abandon the request, it keeps it.
func (h *handOver) goesOn() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pause()
	if h.next != nil && h.withdrawn && h.attempt.ctx.Err() == nil {
		h.giveBack()
	}
	return h.next == nil
}

// end says that the attempt has ended. It returns the target that takes over, or nil, and
// whether there is a permission to send the request once more.
func (h *handOver) end() (next *dispatch.Grant, permission bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pause()
	return h.next, h.next != nil || h.permission
}

// wasWithdrawn reports whether the target was asked to abandon the request.
func (h *handOver) wasWithdrawn() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.withdrawn
}

// endArrivedBefore reports whether the end of the response, which was read, is known to have arrived
// before limit.
func (h *handOver) endArrivedBefore(limit time.Time) bool {
	h.mu.Lock()
	ex, ok := h.exchange.(ConnectionWatcher)
	h.mu.Unlock()
	if !ok {
		return false
	}
	_, latest, known := ex.Received()
	return known && latest.Before(limit)
}

// endedWithdrawn reports whether the target may have ended the response, whose end was read, because it
// was asked to abandon the request.
func (h *handOver) endedWithdrawn() bool {
	h.mu.Lock()
	withdrawn, at := h.withdrawn, h.withdrawnAt
	h.mu.Unlock()
	return withdrawn && !h.endArrivedBefore(at)
}

// giveBack releases the target that was to take over. The target that was asked to abandon the
// request may do so later, so the permission is kept. The caller must hold h.mu.
func (h *handOver) giveBack() {
	h.attempt.request.service.cfg.Scheduler.Release(h.next, dispatch.Unused)
	h.next, h.permission = nil, true
}

// pause ends the wait and the search. The caller must hold h.mu.
func (h *handOver) pause() {
	if h.awaiting {
		h.awaiting = false
		h.left -= time.Since(h.since)
	}
	if h.timer != nil {
		h.timer.stop()
	}
	if h.search != nil {
		h.search.cancel()
		h.search = nil
	}
	if h.check != nil {
		h.check.Stop()
	}
}

// stalled begins the search for another target.
func (h *handOver) stalled() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.awaiting || h.search != nil || h.next != nil {
		return
	}
	hedged := h.tryHedge()
	if hedged || time.Since(h.since) < h.left {
		if !h.hedgeAt.IsZero() {
			h.startTimer(h.untilNextCheck())
		}
		return // otherwise, the timer expired in an earlier wait, and has been started again
	}
	r := h.attempt.request
	mayMoveOn := r.mayMoveOn()
	if !h.logged {
		h.logged = true
		r.logStalled(h.attempt, mayMoveOn)
	}
	if !mayMoveOn {
		h.startTimer(handOverInterval)
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.search = &search{cancel: cancel}
	go h.find(ctx, h.search, r.handOverPlacement(h.attempt))
}

// find waits for another target and cancels the attempt when there is one.
func (h *handOver) find(ctx context.Context, s *search, placement *dispatch.Request) {
	defer s.cancel()
	r := h.attempt.request
	grant, err := r.service.cfg.Scheduler.Acquire(ctx, placement)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.search == s {
		h.search = nil
		if err == nil && h.takeOver() {
			h.next, h.withdrawnAt = grant, time.Now()
			if w, ok := h.exchange.(Withdrawer); ok && r.eventForwarded && w.Withdraw() {
				h.withdrawn = true
				r.logWithdrawn(h.attempt, grant)
				h.check = time.AfterFunc(withdrawTime, func() { h.checkWithdrawal(w) })
				return
			}
			h.attempt.cancel(errStalled)
			return
		}
		h.startTimer(handOverInterval)
	}
	if err == nil {
		r.service.cfg.Scheduler.Release(grant, dispatch.Unused)
	}
}

// takeOver takes the permission to send the request to another target, unless an attempt beside
// this one has won, or has a whole response. Its check may last longer than the search, and cancelling
// it would throw the response away.
func (h *handOver) takeOver() bool {
	r := h.attempt.request
	if h.attempt.race.answerArrivedBeside(h.attempt) || !r.takeMoveOn() {
		return false
	}
	if !h.attempt.race.close(h.attempt) {
		r.service.retryBudget(r.targetService).Return()
		return false
	}
	return true
}

// checkWithdrawal ends the attempt if the target has not abandoned the request and its host
// cannot be reached.
func (h *handOver) checkWithdrawal(w Withdrawer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.awaiting || h.next == nil {
		return
	}
	if w.Reached() {
		h.giveBack()
		h.attempt.request.logWithdrawalIgnored(h.attempt)
		return
	}
	h.attempt.cancel(errStalled)
}

// mayMoveOn reports whether the request may be sent to another target now, apart from
// whether one has a slot for it.
func (r *request) mayMoveOn() bool {
	return !r.cannotResume() && r.placements < maxPlacements && r.race.runs() < r.maxRuns() && r.checkQuarantine(false) == nil &&
		r.service.retryBudget(r.targetService).Available(time.Now(), r.service.cfg.RetrySlack())
}

// takeMoveOn takes the permission to send the request to another target.
func (r *request) takeMoveOn() bool {
	if !r.mayMoveOn() || !r.takeRetry() {
		return false
	}
	if r.checkQuarantine(true) != nil {
		r.service.retryBudget(r.targetService).Return()
		return false
	}
	return true
}

// handOverPlacement returns the placement of the request at a target that takes over from
// that of an attempt. A stream that begins there and does not end in time is cut. So it is moved
// only with as much time left as its target has been silent, which shows how slow the service may
// have become.
func (r *request) handOverPlacement(a *attempt) *dispatch.Request {
	p := *r.placement
	p.Tried = append(slices.Clone(p.Tried), a.race.triedTargets()...)
	p.AlreadyAdmitted, p.HandOver = true, true
	if r.route.Kind == state.StreamingRoute && !r.streamBegun {
		p.HandOverTime = time.Since(a.progressAt)
	}
	r.describeProgress(&p)
	return &p
}

// describeProgress states in a placement how far the response has come.
func (r *request) describeProgress(p *dispatch.Request) {
	p.ResponseBegun, p.Resumed, p.RequiredSoftware = r.streamBegun, r.lastEventID != "", r.software
}

// firstResponseTimeout returns how long to wait for the response, or for the first
// event of a stream, before another target is looked for. It is 0 if the request may not
// be sent to another target.
func (r *request) firstResponseTimeout() time.Duration {
	if r.possibleRuns+1 >= r.maxRuns() {
		return 0
	}
	return r.stallLimit()
}

// stallLimit returns how long a target may be silent before the response begins.
func (r *request) stallLimit() time.Duration {
	if r.route.Kind == state.StreamingRoute {
		return max(minFirstEventTimeout, time.Duration(firstEventTimeoutFactor*float64(r.route.Objective)))
	}
	return max(minPlainTimeout, time.Duration(plainTimeoutFactor*float64(r.route.Objective)))
}

// eventGapTimeout returns how long to wait for the next event of a stream before
// another target is looked for. It is 0 if the request may not be sent to another target.
func (r *request) eventGapTimeout() time.Duration {
	if r.firstResponseTimeout() == 0 {
		return 0
	}
	return max(minEventGapTimeout, time.Duration(eventGapTimeoutFactor*float64(r.route.Gap)))
}
