package gateway

import (
	"context"
	"sync"
	"time"

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
	// survivorTime is how long another stream of a target may take to show that the target still
	// writes streams.
	survivorTime         = 300 * time.Millisecond
	survivorPollInterval = 5 * time.Millisecond
	// An event was made recently, and was not just read late, if the entry has waited minEventWait
	// for it. eventDelay is the time that it takes on its way.
	minEventWait = 2 * time.Millisecond
	eventDelay   = 20 * time.Millisecond
)

// CloseWatcher is an Exchange that can watch the connection behind the end of its response.
type CloseWatcher interface {
	// ClosedWithin reports whether the target closes the connection within wait after the end of
	// the body, which was read.
	ClosedWithin(wait time.Duration) bool
}

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
	// unannouncedClose: the target closes the connection although it had not announced that.
	unannouncedClose
	// connectionEnd: only the end of the connection marks that of the response.
	connectionEnd
)

// String returns the value as it appears in logs and names of counters.
func (d endDoubt) String() string {
	return [...]string{"none", "announced_close", "ended_together", "unannounced_close", "connection_end"}[d]
}

// needsProof reports whether only proof that the target still runs removes the doubt. Otherwise, a
// target that cannot be asked, for example because it is full, is believed.
func (d endDoubt) needsProof() bool { return d >= unannouncedClose }

// streamLog knows the streams that each target writes for this entry, to tell whether a target that
// accepts no connections any more still writes them. It is safe for concurrent use.
type streamLog struct {
	mu      sync.Mutex
	targets map[state.TargetID]*targetStreams
}

// targetStreams are the streams of one target.
type targetStreams struct {
	open map[*attempt]*streamProgress
	// refusesSince is when the target was first seen to refuse connections; zero if it was not.
	refusesSince time.Time
}

// streamProgress is what is known of a stream that has begun and whose attempt has not ended.
type streamProgress struct {
	waitedEvent time.Time // when the last event arrived for which the entry had waited
	ended       bool      // the response has ended
}

// event records an event of a stream, for which the entry has waited for the given time.
func (l *streamLog) event(a *attempt, now time.Time, waited time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.targets == nil {
		l.targets = make(map[state.TargetID]*targetStreams)
	}
	t := l.targets[a.grant.Target.ID]
	if t == nil {
		t = &targetStreams{open: make(map[*attempt]*streamProgress)}
		l.targets[a.grant.Target.ID] = t
	}
	if t.open[a] == nil {
		t.open[a] = &streamProgress{}
	}
	if waited >= minEventWait {
		t.open[a].waitedEvent = now
	}
}

// ended records that the response of a stream has ended. The stream stays known until leave.
func (l *streamLog) ended(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[a.grant.Target.ID]; t != nil && t.open[a] != nil {
		t.open[a].ended = true
	}
}

// leave forgets a stream.
func (l *streamLog) leave(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[a.grant.Target.ID]
	if t == nil {
		return
	}
	if delete(t.open, a); len(t.open) == 0 {
		delete(l.targets, a.grant.Target.ID)
	}
}

// refuses records that a target refuses connections.
func (l *streamLog) refuses(id state.TargetID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil && t.refusesSince.IsZero() {
		t.refusesSince = now
	}
}

// others returns how many other streams of the target of a have ended, and how many go on.
// survives says that one of these has got an event since the given time.
func (l *streamLog) others(a *attempt, since time.Time) (ended, open int, survives bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[a.grant.Target.ID]
	if t == nil {
		return 0, 0, false
	}
	for o, s := range t.open {
		switch {
		case o == a:
		case s.ended:
			ended++
		default:
			open++
			survives = survives || s.waitedEvent.After(since)
		}
	}
	return ended, open, survives
}

// continuedRefusing reports whether the stream has gone on after its target was seen to refuse
// connections.
func (l *streamLog) continuedRefusing(a *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[a.grant.Target.ID]
	return t != nil && !t.refusesSince.IsZero() && t.open[a] != nil && t.open[a].waitedEvent.After(t.refusesSince.Add(eventDelay))
}

// checkEnd returns an error if the end of a response does not show that the response is complete: it
// may have ended because its target ends. The kernel closes the connections of a process that is
// killed like those that the process closes itself, and an HTTP server whose handlers are cancelled
// writes the last chunk, or states a length of 0 if nothing was written. empty says that the body
// may have something and has nothing.
func (a *attempt) checkEnd(head *state.Response, ex Exchange, empty bool) error {
	if head.HasLength && !empty || !head.EndsWithConnection && !isSuccess(head.Status) {
		return nil
	}
	r, endedAt := a.request, time.Now()
	doubt := a.doubtEnd(head, ex)
	if doubt == noDoubt {
		return nil
	}
	pause(a.ctx, endSettleTime)
	asked := time.Now()
	check := r.service.cfg.TargetClient.CheckRunning(a.ctx, &a.grant.Target, r.table.Config.HealthPaths[a.grant.Target.Service])
	complete, because := a.judgeEnd(doubt, check, endedAt)
	r.recordRunCheck(a, doubt, check, because, time.Since(asked))
	switch {
	case complete:
		return nil
	case check.Liveness == Ended:
		return errEndsWithTarget
	default:
		return errEndUnproved
	}
}

// doubtEnd returns why the response may have ended together with its target.
func (a *attempt) doubtEnd(head *state.Response, ex Exchange) endDoubt {
	if head.EndsWithConnection {
		return connectionEnd
	}
	if head.AnnouncesClose {
		return announcedClose
	}
	w, ok := ex.(CloseWatcher)
	if !ok {
		return noDoubt
	}
	wait := endWatchTime
	if !a.request.service.cfg.Scheduler.Serves(a.grant) {
		wait = leavingEndWatchTime
	}
	if w.ClosedWithin(wait) {
		return unannouncedClose
	}
	if ended, open, _ := a.request.service.streams.others(a, time.Time{}); ended > 0 && open == 0 {
		return endedTogether
	}
	return noDoubt
}

// judgeEnd decides whether a response is complete whose end at endedAt is in doubt. because says why
// it is, although the check does not prove it.
func (a *attempt) judgeEnd(doubt endDoubt, check RunCheck, endedAt time.Time) (complete bool, because string) {
	r := a.request
	switch check.Liveness {
	case Running:
		return true, ""
	case Unproved:
		if !doubt.needsProof() {
			return true, "target_not_asked"
		}
	}
	if !check.Refused {
		return false, ""
	}
	// A server that shuts down accepts no connections, but may finish its streams.
	r.service.streams.refuses(a.grant.Target.ID, endedAt)
	if a.targetSurvives(endedAt) {
		return true, "other_stream_goes_on"
	}
	// The target has gone on with the stream while it accepted no connections. It may still have
	// cancelled its handlers when its time ran out, so a stream that may be resumed is.
	mayGoOn := r.route.Resumable && !r.positionUnknown && r.possibleRuns+1 < r.maxRuns()
	ended, _, _ := r.service.streams.others(a, endedAt)
	if doubt != connectionEnd && !mayGoOn && ended == 0 && r.service.streams.continuedRefusing(a) {
		return true, "went_on_while_refusing"
	}
	return false, ""
}

// targetSurvives reports whether another stream of the target goes on after the end of this one.
func (a *attempt) targetSurvives(endedAt time.Time) bool {
	ctx, cancel := context.WithTimeout(a.ctx, survivorTime)
	defer cancel()
	for {
		_, open, survives := a.request.service.streams.others(a, endedAt.Add(eventDelay))
		if survives || open == 0 || ctx.Err() != nil {
			return survives
		}
		pause(ctx, survivorPollInterval)
	}
}
