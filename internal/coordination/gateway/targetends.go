package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// endWatchTime is how long the connection of a response without a stated length is watched
	// behind its end. An HTTP server that shuts down closes it at once. leavingEndWatchTime is that
	// of a target that is to leave, whose end is expected.
	endWatchTime        = 25 * time.Millisecond
	leavingEndWatchTime = 100 * time.Millisecond
	// A server that shuts down may still answer for a moment after it has ended its responses, so
	// that it is asked endSettleTime later.
	endSettleTime = 25 * time.Millisecond
	// maxBelievedCheckTime bounds the check of a target that is believed if it cannot be asked.
	maxBelievedCheckTime = 250 * time.Millisecond
	// survivorPollInterval is the time between looks at the other streams of a target.
	survivorPollInterval = 10 * time.Millisecond
	// announcementTime is how long after an end the list of targets may say that the target had begun to
	// leave: entries learn of it half a second later than those that ask the target.
	announcementTime = 700 * time.Millisecond
)

// endDoubt is why the end of a response does not show that the response is complete.
type endDoubt uint8

const (
	noDoubt endDoubt = iota
	// announcedClose: the target closes the connection, as it had announced, so that nothing shows
	// that it outlives the response.
	announcedClose
	// endedTogether: all streams that the target writes for this entry have ended at the same
	// moment.
	endedTogether
	// endedBetweenEvents: the end came between two events, as that of a cancelled handler does, and no
	// other stream of the target goes on here.
	endedBetweenEvents
	// unconfirmed: the connection stays open and idle, as it does while a target that has cancelled
	// its handlers lingers, and no other stream of the target goes on here.
	unconfirmed
	// unannouncedClose: the connection does not stay open and idle behind the response although
	// the target had not announced that.
	unannouncedClose
	// connectionEnd: only the end of the connection marks that of the response.
	connectionEnd
	// emptyResumption: a stream that was resumed ends without a further event, as it does if its
	// target cancels the handler.
	emptyResumption
)

// String returns the value as it appears in logs and names of counters.
func (d endDoubt) String() string {
	return [...]string{"none", "announced_close", "ended_together", "ended_between_events", "unconfirmed", "unannounced_close", "connection_end", "empty_resumption"}[d]
}

// needsProof reports whether only proof that the target still runs removes the doubt. Otherwise, a
// target that cannot be asked, for example because it is full, is believed.
func (d endDoubt) needsProof() bool { return d >= unannouncedClose }

// endCheck checks an end of a response that does not show that the response is complete.
type endCheck struct {
	attempt  *attempt
	exchange Exchange
	// arrivedAt is when the end arrived, if timeKnown is set.
	arrivedAt time.Time
	timeKnown bool
	doubt     endDoubt
	withdrawn bool // the target closes the connection because the entry has closed its side
	drained   bool // the target need not serve any more; set when the end is judged
	promised  bool // the target had said before that it leaves, and its process still answers
	run       RunCheck
	took      time.Duration // of the check
	judgement targetend.Judgement
	// seenElsewhere is what other entries have told, questions how often they were asked, and askErr
	// says which did not answer.
	seenElsewhere []targetend.Report
	questions     int
	askErr        error
}

// Reasons of a judgement that does not come from package targetend.
const (
	becauseTargetRuns  = "target_runs"
	becauseNotAsked    = "target_not_asked"
	becauseCutShort    = "check_cut_short"
	becauseTimeUnknown = "time_of_end_unknown"
	becauseNoEvent     = "no_event"
	// The target that answered is full.
	becauseSameIncarnation = "same_incarnation"
	becauseBeganToLeave    = "began_to_leave"
	becausePromised        = "may_be_whole_as_promised"
	becauseAnnounced       = "announced_meanwhile"
	becauseLikelyWhole     = "likely_whole"
)

// checkEnd returns an error if the end of a response does not show that the response is complete: it
// may have ended because its target ends. The kernel closes the connections of a process that is
// killed like those that the process closes itself, and an HTTP server whose handlers are cancelled
// writes the last chunk, or states a length of 0 if nothing was written. empty says that the body has
// nothing.
func (a *attempt) checkEnd(head *state.Response, ex Exchange, empty bool) error {
	if a.lengthShowsEnd(head, empty) || !head.EndsWithConnection && !isSuccess(head.Status) {
		return nil
	}
	// What the target does behind the end is compared with when the end arrived. It may be read later.
	c := &endCheck{attempt: a, exchange: ex}
	c.arrivedAt, c.timeKnown = endArrivedAt(ex)
	if c.findDoubt(head); c.doubt == noDoubt {
		a.learnTiming()
		return nil
	}
	c.askTarget()
	c.judge()
	a.request.recordEndCheck(c)
	if c.run.Liveness == Running {
		a.learnTiming()
	}
	if a.timingWeight > 0 && c.judgement.Verdict == targetend.Undecided && c.mayBeBelieved() {
		a.request.believable = &believableEnd{attempt: a, head: head}
	}
	switch {
	case c.judgement.Verdict == targetend.Whole && c.isBySigns():
		return a.race.keep(a)
	case c.judgement.Verdict == targetend.Whole:
		return nil
	case c.doubt != connectionEnd:
		return errEndsWithHandler
	case c.run.Liveness == Ended:
		return errEndsWithTarget
	default:
		return errEndUnproved
	}
}

// isBySigns reports whether only signs can show that the response is whole: its target has ended or is silent.
func (c *endCheck) isBySigns() bool {
	silent := c.run.Liveness == Unproved && !c.run.SameIncarnation && c.doubt.needsProof()
	return c.run.Liveness == Ended || silent
}

// findDoubt finds why the response may have ended together with its target.
func (c *endCheck) findDoubt(head *state.Response) {
	w, ok := c.exchange.(ConnectionWatcher)
	switch {
	case head.EndsWithConnection:
		c.doubt = connectionEnd
	case c.attempt.resumesWithoutEvent(head):
		c.doubt = emptyResumption
	case head.AnnouncesClose:
		c.doubt = announcedClose
	case !ok:
		c.doubt = noDoubt
	case !w.StaysOpen(c.watchTime()) && !c.closedAtLimit():
		c.doubt = unannouncedClose
		if c.withdrawn = c.attempt.handOver.wasWithdrawn(); c.withdrawn {
			c.doubt = announcedClose
		}
	case c.endedWithOthers():
		c.doubt = endedTogether
	case c.endedBetweenEvents():
		c.doubt = endedBetweenEvents
	case c.mayConfirm():
		c.doubt = unconfirmed
	}
}

// closedAtLimit reports whether the entry itself has closed the connection, because the time limit of the
// request has ended, so that the close says nothing of the target.
func (c *endCheck) closedAtLimit() bool { return errors.Is(context.Cause(c.attempt.ctx), errDeadline) }

// mayConfirm reports whether the target can be asked at little cost whether it is healthy, where a
// response that is not believed can be completed by another target.
func (c *endCheck) mayConfirm() bool {
	return c.attempt.request.route.Kind == state.StreamingRoute && c.hasHealthChecks() && c.attempt.mayGoOnElsewhere() && len(c.seenHere().Open) == 0
}

// hasHealthChecks reports whether the target can be asked for its health.
func (c *endCheck) hasHealthChecks() bool {
	_, ok := c.attempt.request.service.cfg.TargetClient.(HealthChecker)
	return ok && c.healthPath() != ""
}

// healthPath returns the path of health checks of the target, or "" if there is none.
func (c *endCheck) healthPath() string {
	a := c.attempt
	return a.request.table.Config.HealthPaths[a.grant.Target.Service]
}

// watchTime returns how long the connection is watched behind the end.
func (c *endCheck) watchTime() time.Duration {
	if c.targetLeaves() {
		return leavingEndWatchTime
	}
	return endWatchTime
}

// targetLeaves reports whether the end of the target is expected.
func (c *endCheck) targetLeaves() bool {
	return !c.attempt.request.service.cfg.Scheduler.Serves(c.attempt.grant)
}

// targetDrained reports whether the target had said so long before the end that it leaves that it need not
// serve any more.
func (c *endCheck) targetDrained() bool {
	cfg := &c.attempt.request.service.cfg
	if cfg.DrainTime == 0 {
		return false
	}
	since := cfg.Scheduler.LeavesSince(c.attempt.grant)
	return !since.IsZero() && c.arrivedAt.After(since.Add(cfg.DrainTime))
}

// endedWithOthers reports whether all streams of the target have ended at the same moment as this one.
// Other entries are asked only where the end of the target is expected and it writes no other stream for
// this one.
func (c *endCheck) endedWithOthers() bool {
	seen := c.seenHere()
	j := targetend.Judge(c.end(), seen)
	if j.Together == 0 && j.GoOn == 0 && (c.targetLeaves() || seen.Refusing > 0) {
		c.askOthers()
		j = c.judgeByAll()
	}
	return j.Together > 0 && j.GoOn == 0
}

// endedBetweenEvents reports whether the timing of the end speaks for a cancelled handler, and no other
// stream of the target goes on here.
func (c *endCheck) endedBetweenEvents() bool {
	return len(c.seenHere().Open) == 0 && targetend.Judge(targetend.End{At: c.arrivedAt, Timing: c.attempt.timingWeight}).Verdict == targetend.Cut
}

// askTarget asks the target whether it still runs.
func (c *endCheck) askTarget() {
	a := c.attempt
	ctx := a.ctx
	if !c.doubt.needsProof() {
		var cancel context.CancelFunc
		ctx, cancel = c.believedCheckContext()
		defer cancel()
	}
	left := c.targetLeaves() || c.announcedAtBegin()
	asked := time.Now()
	if c.doubt == unconfirmed || c.doubt == endedBetweenEvents && c.hasHealthChecks() {
		c.checkHealth(ctx)
	} else {
		pause(ctx, endSettleTime)
		asked = time.Now()
		c.checkRunning(ctx)
	}
	c.took = time.Since(asked)
	c.promised = c.run.Liveness == Leaving && left && c.doubt != emptyResumption
}

// believedCheckContext returns the context of a check after which a target that is silent is believed. It may
// last beyond the time limit of the request, or the end of a planned stop: a check that they cut short shows
// nothing, and the caller has all events.
func (c *endCheck) believedCheckContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.attempt.ctx), maxBelievedCheckTime)
	stop := context.AfterFunc(c.attempt.ctx, func() {
		if !c.mayOutlast() {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// mayOutlast reports whether the check may go on although the context of the attempt has ended.
func (c *endCheck) mayOutlast() bool {
	cause := context.Cause(c.attempt.ctx)
	return !c.doubt.needsProof() && (errors.Is(cause, errDeadline) || errors.Is(cause, errStopping))
}

// checkHealth asks for the health of the target, on the connection of the response if that is still idle.
func (c *endCheck) checkHealth(ctx context.Context) {
	c.exchange.Close(true)
	client := c.attempt.request.service.cfg.TargetClient.(HealthChecker)
	c.run = client.CheckHealth(ctx, &c.attempt.grant.Target, c.healthPath())
}

// checkRunning asks whether the target runs. Where nothing else can complete the response, a target that
// is silent is asked until the caller, who has all events, waits no longer: its process may have been
// stopped for a while.
func (c *endCheck) checkRunning(ctx context.Context) {
	a := c.attempt
	again := c.doubt.needsProof() && !a.mayGoOnElsewhere()
	for {
		c.run = a.request.service.cfg.TargetClient.CheckRunning(ctx, &a.grant.Target, c.healthPath())
		if !again || !c.run.TimedOut || c.run.SameIncarnation || ctx.Err() != nil || c.timeKnown && c.isLikelyWhole() {
			return
		}
	}
}

// judge decides whether the response is complete.
func (c *endCheck) judge() {
	a := c.attempt
	log := &a.request.service.targets
	undecided := func(reason string) { c.judgement = targetend.Judgement{Reason: reason} }
	whole := func(reason string) { c.judgement.Verdict, c.judgement.Reason = targetend.Whole, reason }
	c.drained = c.targetDrained()
	if c.run.Liveness == Ended { // behind a relay, connections are accepted and closed in place of refused
		log.Refuses(a.grant.Target.ID, c.refusesSince())
	}
	switch {
	case c.run.Liveness == Running:
		log.Accepts(a.grant.Target.ID)
		whole(becauseTargetRuns)
	case a.ctx.Err() != nil && !c.mayOutlast():
		undecided(becauseCutShort)
	case c.run.Liveness == Unproved && c.run.SameIncarnation && c.doubt != emptyResumption:
		whole(becauseSameIncarnation)
	case c.run.Liveness == Unproved && !c.doubt.needsProof():
		whole(becauseNotAsked)
	case c.doubt == emptyResumption && c.run.Liveness == Leaving && c.isAnnouncedMeanwhile():
		whole(becauseAnnounced)
	case c.doubt == emptyResumption:
		undecided(becauseNoEvent)
	case c.promised:
		c.judgePromised()
	case c.run.Liveness == Leaving:
		c.judgeLeaving()
	case !c.timeKnown && c.doubt != connectionEnd:
		undecided(becauseTimeUnknown)
	default:
		c.judgeByStreams()
	}
	if c.judgement.IsLikelyWhole() {
		whole(becauseLikelyWhole)
	}
}

// isLikelyWhole reports whether the signs that are known so far speak for a whole response.
func (c *endCheck) isLikelyWhole() bool {
	j := c.judgeByAll()
	return j.IsLikelyWhole()
}

// judgePromised judges the end of a response whose target had said before that it leaves, and still answers.
// Such a target is to serve on, so that only what speaks for a cut shows one. Where nothing does, neither
// other streams nor other entries are asked for more. A stream that is open elsewhere and may have ended since does
// not outweigh the timing of a cut.
func (c *endCheck) judgePromised() {
	if c.judgeSoFar(); c.judgement.SpeaksForCut() {
		c.judgeByStreams()
	}
	if j := &c.judgement; j.Verdict == targetend.Undecided && !j.EndsLikeCut() {
		j.Verdict, j.Reason = targetend.Whole, becausePromised
	}
}

// judgeLeaving judges the end of a response whose target answers that it leaves, and is not known to have said
// so before. Such a target may finish its responses, or cancel all of them at once.
func (c *endCheck) judgeLeaving() {
	c.judgeByStreams()
	j := &c.judgement
	switch {
	case j.Verdict != targetend.Undecided:
	case c.mayBeBelieved() && !c.attempt.mayGoOnElsewhere():
		j.Verdict, j.Reason = targetend.Whole, becauseBeganToLeave
	case !j.EndsLikeCut() && c.isAnnouncedMeanwhile():
		j.Verdict, j.Reason = targetend.Whole, becauseAnnounced
	}
}

// mayBeBelieved reports whether an end that is undecided is believed if the stream cannot go on elsewhere: the
// target answers that it leaves, no other stream ended with it, and its timing is not that of a cut.
func (c *endCheck) mayBeBelieved() bool {
	keepsConnection := c.doubt == announcedClose || c.doubt == unconfirmed || c.doubt == endedBetweenEvents
	return c.run.Liveness == Leaving && keepsConnection && c.judgement.Others == 0 && !c.judgement.EndsLikeCut()
}

// isAnnouncedMeanwhile waits for the list of targets to say that the target leaves, as it had answered, and
// reports whether it does and the same process still answers: it is to serve on then.
func (c *endCheck) isAnnouncedMeanwhile() bool {
	for !c.targetLeaves() {
		if !c.waitUntil(min(c.sinceEnd()+survivorPollInterval, announcementTime)) {
			return false
		}
	}
	run := c.attempt.request.service.cfg.TargetClient.CheckRunning(c.attempt.ctx, &c.attempt.grant.Target, c.healthPath())
	return run.Liveness == Leaving || run.Liveness == Running || run.SameIncarnation
}

// refusesSince returns since when the target that was asked serves no connections, as far as it is known. Behind
// a relay, which refuses none, idle ones may have been closed at the relay's own idle timeout.
func (c *endCheck) refusesSince() time.Time {
	if c.run.IdleClosedAt.IsZero() || !c.run.Refused {
		return time.Now()
	}
	return c.run.IdleClosedAt
}

// seenHere returns what this entry has seen of the target, apart from the response itself.
func (c *endCheck) seenHere() targetend.Report {
	a := c.attempt
	return a.request.service.targets.Seen(a.grant.Target.ID, a.logged)
}

// judgeByStreams judges by the other streams of a target that accepts no connections: a server that
// shuts down may finish its streams. As long as others go on here, it waits to see whether they survive.
// Other entries are asked where that does not decide, once more if streams go on there or none answered.
func (c *endCheck) judgeByStreams() {
	for c.judgeSoFar() && c.judgement.GoOn > 0 && c.waitUntil(min(c.sinceEnd()+survivorPollInterval, targetend.SurvivalTime)) {
	}
	if !c.judgement.NeedsOthers() {
		return
	}
	c.askOthers()
	c.judgeSoFar()
	if c.mayLearnMore() {
		c.waitUntil(targetend.SurvivalTime)
		c.askOthers()
		c.judgeSoFar()
	}
}

// mayLearnMore reports whether other entries, which were asked, may decide the end a little later.
func (c *endCheck) mayLearnMore() bool {
	unanswered := len(c.seenElsewhere) == 0 && c.askErr != nil
	return c.questions > 0 && c.judgement.Verdict != targetend.Whole && (unanswered || c.judgement.GoOn > 0) && c.attempt.ctx.Err() == nil
}

// judgeSoFar judges by what is known, and reports whether that leaves the end undecided.
func (c *endCheck) judgeSoFar() (undecided bool) {
	c.judgement = c.judgeByAll()
	return c.judgement.Verdict == targetend.Undecided
}

// judgeByAll judges by what this entry and those that were asked have seen.
func (c *endCheck) judgeByAll() targetend.Judgement {
	reports := append(slices.Clone(c.seenElsewhere), c.seenHere())
	if c.run.Liveness == Ended && !c.run.Refused {
		// Other entries tell idle connections that a relay has closed like a refusal of the target.
		for i := range c.seenElsewhere {
			reports[i].Refusing = 0
		}
	}
	return targetend.Judge(c.end(), reports...)
}

// end describes the end of the response.
func (c *endCheck) end() targetend.End {
	return targetend.End{At: c.arrivedAt, Timing: c.attempt.timingWeight, Unmarked: c.doubt == connectionEnd, Drained: c.drained, Promised: c.promised, Expected: c.isExpected()}
}

// isExpected reports whether a target that leaves is likely to finish the response: it took the request
// although it was to leave, or it had finished its work on a plain response before it wrote the body.
func (c *endCheck) isExpected() bool {
	kind := c.attempt.request.route.Kind
	return c.announcedAtBegin() || kind == state.IdempotentRoute || kind == state.NonIdempotentRoute
}

// announcedAtBegin reports whether the target had announced the close of the connection when the response began.
func (c *endCheck) announcedAtBegin() bool { return c.doubt == announcedClose && !c.withdrawn }

// sinceEnd returns the time since the end of the response.
func (c *endCheck) sinceEnd() time.Duration { return time.Since(c.arrivedAt) }

// waitUntil waits until a time after the end of the response. It returns false if that has passed, or if
// the check is cut short.
func (c *endCheck) waitUntil(afterEnd time.Duration) bool {
	ctx := c.attempt.ctx
	left := afterEnd - c.sinceEnd()
	if left <= 0 {
		return false
	}
	pause(ctx, left)
	return ctx.Err() == nil
}

// askOthers asks other entries what they have seen of the target. The earlier answer of an entry counts until
// it has answered again: it may be silent later.
func (c *endCheck) askOthers() {
	a := c.attempt
	cfg := &a.request.service.cfg
	if cfg.AskTargetEnd == nil {
		return
	}
	c.questions++
	cfg.Counters.Add("end_peers.asked")
	answers, err := cfg.AskTargetEnd(a.ctx, a.grant.Target.ID, a.grant.Target.Address)
	c.askErr = err
	if len(answers) == 0 {
		return
	}
	cfg.Counters.Add("end_peers.told")
	c.seenElsewhere = slices.DeleteFunc(c.seenElsewhere, func(earlier targetend.Report) bool {
		return earlier.Entry != "" && slices.ContainsFunc(answers, func(r targetend.Report) bool { return r.Entry == earlier.Entry })
	})
	c.seenElsewhere = append(c.seenElsewhere, answers...)
}

// TargetSeen returns what this entry has seen of a target at an address, for another entry.
func (s *Service) TargetSeen(id state.TargetID, address string) targetend.Seen {
	seen := s.targets.Seen(id, nil).Seen
	if at := s.cfg.TargetClient.IdleClosedAt(id, address); !at.IsZero() {
		seen.Refusing = max(seen.Refusing, time.Since(at))
	}
	return seen
}

// mayGoOnElsewhere reports whether the stream may be resumed at another target.
func (a *attempt) mayGoOnElsewhere() bool {
	r := a.request
	return r.route.Resumable && !r.cannotResume() && r.possibleRuns+1 < r.maxRuns()
}
