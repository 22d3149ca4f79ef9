package gateway

import (
	"context"
	"slices"
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
	// maxBelievedCheckTime bounds the check of a target that is believed if it cannot be asked.
	maxBelievedCheckTime = 250 * time.Millisecond
	// Responses that end within endTogetherTime may have been ended by the same event.
	endTogetherTime = 25 * time.Millisecond
	// cancelTime is how long a handler may take to return after it was cancelled: those that write
	// streams notice it between two events.
	cancelTime = 150 * time.Millisecond
	// Another stream shows that its target still writes streams if it goes on for survivorTime.
	survivorTime         = 300 * time.Millisecond
	survivorPollInterval = 10 * time.Millisecond
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
	return [...]string{"none", "announced_close", "ended_together", "unconfirmed", "unannounced_close", "connection_end", "empty_resumption"}[d]
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
	streams map[*attempt]*loggedStream
	// ends are when the last responses ended, of attempts that have left. The oldest come first.
	ends []time.Time
	// refusesSince is when the target was first known to refuse connections; zero if it was not.
	refusesSince time.Time
}

// loggedStream is a stream that has begun and whose attempt has not ended.
type loggedStream struct {
	exchange Exchange
	ended    bool      // the response has ended
	endedAt  time.Time // kept because the connection has been given back; else zero
}

// receivedAt returns the earliest time at which the last data of the response may have arrived, if that
// is known.
func (s *loggedStream) receivedAt() (at time.Time, known bool) {
	if !s.endedAt.IsZero() {
		return s.endedAt, true
	}
	return receivedAt(s.exchange)
}

// endsKept bounds the ends that are remembered for each target.
const endsKept = 32

// begin records a stream.
func (l *streamLog) begin(a *attempt, ex Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.targets == nil {
		l.targets = make(map[state.TargetID]*targetStreams)
	}
	t := l.targets[a.grant.Target.ID]
	if t == nil {
		t = &targetStreams{streams: make(map[*attempt]*loggedStream)}
		l.targets[a.grant.Target.ID] = t
	}
	t.streams[a] = &loggedStream{exchange: ex}
}

// ended records that the response of a stream has ended. The stream stays known until leave.
func (l *streamLog) ended(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[a.grant.Target.ID]; t != nil && t.streams[a] != nil {
		t.streams[a].ended = true
	}
}

// keepEnd keeps when the response of a stream has ended, so that its connection can be used again.
func (l *streamLog) keepEnd(a *attempt, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[a.grant.Target.ID]; t != nil && t.streams[a] != nil {
		t.streams[a].endedAt = at
	}
}

// leave forgets a stream but for its end.
func (l *streamLog) leave(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[a.grant.Target.ID]
	if t == nil || t.streams[a] == nil {
		return
	}
	if s := t.streams[a]; s.ended {
		if at, known := s.receivedAt(); known {
			if t.ends = append(t.ends, at); len(t.ends) > endsKept {
				t.ends = t.ends[1:]
			}
		}
	}
	if delete(t.streams, a); len(t.streams) == 0 {
		delete(l.targets, a.grant.Target.ID)
	}
}

// refuses records that a target refuses connections, and has done so since the given time. It returns
// since when the target is known to.
func (l *streamLog) refuses(id state.TargetID, since time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[id]
	if t == nil {
		return since
	}
	if t.refusesSince.IsZero() || since.Before(t.refusesSince) {
		t.refusesSince = since
	}
	return t.refusesSince
}

// others returns the other streams of the target of a whose response has ended, or has not. The caller
// must hold l.mu.
func (l *streamLog) others(a *attempt, ended bool) (others []*loggedStream) {
	if t := l.targets[a.grant.Target.ID]; t != nil {
		for o, s := range t.streams {
			if o != a && s.ended == ended {
				others = append(others, s)
			}
		}
	}
	return others
}

// othersGoOn reports whether the target of a writes other streams.
func (l *streamLog) othersGoOn(a *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.others(a, false)) > 0
}

// endedTogether reports whether another stream of the target of a, whose response has ended at the
// given time, has ended at the same moment.
func (l *streamLog) endedTogether(a *attempt, end time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	near := func(at time.Time) bool { return at.Sub(end).Abs() <= endTogetherTime }
	if t := l.targets[a.grant.Target.ID]; t != nil && slices.ContainsFunc(t.ends, near) {
		return true
	}
	return slices.ContainsFunc(l.others(a, true), func(s *loggedStream) bool {
		at, known := s.receivedAt()
		return !known || near(at)
	})
}

// otherSurvives reports whether data of another stream of the target of a, whose response has ended
// at the given time, has arrived so much later that its handler was not cancelled then.
func (l *streamLog) otherSurvives(a *attempt, end time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.others(a, false), func(s *loggedStream) bool {
		at, known := receivedAt(s.exchange)
		return known && at.After(end.Add(cancelTime))
	})
}

// receivedAt returns the earliest time at which the last data of a response may have arrived, if that
// is known.
func receivedAt(ex Exchange) (at time.Time, known bool) {
	w, ok := ex.(ConnectionWatcher)
	if !ok {
		return time.Time{}, false
	}
	at, _, known = w.Received()
	return at, known
}

// checkEnd returns an error if the end of a response does not show that the response is complete: it
// may have ended because its target ends. The kernel closes the connections of a process that is
// killed like those that the process closes itself, and an HTTP server whose handlers are cancelled
// writes the last chunk, or states a length of 0 if nothing was written. empty says that the body has
// nothing.
func (a *attempt) checkEnd(head *state.Response, ex Exchange, empty bool) error {
	if head.HasLength && !(empty && mayHaveBody(a.request.call.Method, head.Status)) || !head.EndsWithConnection && !isSuccess(head.Status) {
		return nil
	}
	// What the target does behind the end is compared with when the end arrived. It may be read later.
	arrivedAt, known := receivedAt(ex)
	if !known {
		arrivedAt = time.Now()
	}
	doubt := a.doubtEnd(head, ex, arrivedAt)
	if doubt == noDoubt {
		return nil
	}
	if doubt == unconfirmed { // the target is asked on the connection of the response
		a.request.service.streams.keepEnd(a, arrivedAt)
		ex.Close(true)
	}
	ctx := a.ctx
	if !doubt.needsProof() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxBelievedCheckTime)
		defer cancel()
	}
	asked := time.Now()
	r := a.request
	served := r.service.cfg.Scheduler.Serves(a.grant)
	check := a.checkTarget(ctx, doubt)
	if check.Liveness == Leaving && !served { // by its record, which says nothing about this response
		check.Liveness, check.SameIncarnation = Unproved, true
	}
	complete, because := a.judgeEnd(doubt, check, arrivedAt, known)
	r.recordRunCheck(a, doubt, check, because, time.Since(asked))
	switch {
	case complete:
		return nil
	case doubt != connectionEnd:
		return errEndsWithHandler
	case check.Liveness == Ended:
		return errEndsWithTarget
	default:
		return errEndUnproved
	}
}

// doubtEnd returns why a response whose end arrived at arrivedAt may have ended together with its
// target.
func (a *attempt) doubtEnd(head *state.Response, ex Exchange, arrivedAt time.Time) endDoubt {
	if head.EndsWithConnection {
		return connectionEnd
	}
	if a.resumesWithoutEvent(head) {
		return emptyResumption
	}
	if head.AnnouncesClose {
		return announcedClose
	}
	w, ok := ex.(ConnectionWatcher)
	if !ok {
		return noDoubt
	}
	wait := endWatchTime
	if !a.request.service.cfg.Scheduler.Serves(a.grant) {
		wait = leavingEndWatchTime
	}
	if !w.StaysOpen(wait) {
		return unannouncedClose
	}
	if streams := &a.request.service.streams; !streams.othersGoOn(a) && streams.endedTogether(a, arrivedAt) {
		return endedTogether
	}
	if a.mayConfirm() {
		return unconfirmed
	}
	return noDoubt
}

// mayConfirm reports whether the target can be asked at little cost whether it is healthy, where a
// response that is not believed can be completed by another target.
func (a *attempt) mayConfirm() bool {
	r := a.request
	_, ok := r.service.cfg.TargetClient.(HealthChecker)
	return ok && r.route.Kind == state.StreamingRoute && r.route.Resumable && r.healthPath(a) != "" && a.mayGoOnElsewhere() && !r.service.streams.othersGoOn(a)
}

// checkTarget asks the target of a response whose end is in doubt.
func (a *attempt) checkTarget(ctx context.Context, doubt endDoubt) RunCheck {
	client, path := a.request.service.cfg.TargetClient, a.request.healthPath(a)
	if doubt == unconfirmed {
		return client.(HealthChecker).CheckHealth(ctx, &a.grant.Target, path)
	}
	pause(ctx, endSettleTime)
	return client.CheckRunning(ctx, &a.grant.Target, path)
}

// healthPath returns the path of health checks of the target of an attempt, or "" if there is none.
func (r *request) healthPath(a *attempt) string {
	return r.table.Config.HealthPaths[a.grant.Target.Service]
}

// judgeEnd decides whether a response is complete whose end is in doubt and arrived at arrivedAt, if
// that is known. because says why it is, although the check does not prove it.
func (a *attempt) judgeEnd(doubt endDoubt, check RunCheck, arrivedAt time.Time, known bool) (complete bool, because string) {
	switch {
	case check.Liveness == Running:
		return true, ""
	case a.ctx.Err() != nil: // the check was cut short
		return false, ""
	case check.Liveness == Unproved && check.SameIncarnation && doubt != emptyResumption:
		return true, "same_incarnation"
	case check.Liveness == Leaving:
		return a.judgeLeaving(doubt, arrivedAt)
	case check.Liveness == Unproved && !doubt.needsProof():
		return true, "target_not_asked"
	case doubt == connectionEnd || doubt == emptyResumption || !check.Refused || !known || a.mayGoOnElsewhere():
		return false, ""
	}
	// A server that shuts down accepts no connections, but may finish its streams.
	refusesSince := time.Now()
	if !check.IdleClosedAt.IsZero() {
		refusesSince = check.IdleClosedAt
	}
	streams := &a.request.service.streams
	refusesSince = streams.refuses(a.grant.Target.ID, refusesSince)
	if streams.endedTogether(a, arrivedAt) {
		return false, ""
	}
	if arrivedAt.After(refusesSince.Add(cancelTime)) {
		return true, "went_on_while_refusing"
	}
	if a.targetSurvives(arrivedAt) {
		return true, "other_stream_goes_on"
	}
	return false, ""
}

// judgeLeaving decides whether a response is complete whose target began to leave at about its end. A
// target that leaves may finish its responses, or cancel all of them at once.
func (a *attempt) judgeLeaving(doubt endDoubt, arrivedAt time.Time) (complete bool, because string) {
	switch {
	case doubt == emptyResumption || a.mayGoOnElsewhere() || a.request.service.streams.endedTogether(a, arrivedAt):
		return false, ""
	case doubt == announcedClose || doubt == unconfirmed:
		return true, doubt.String()
	case a.targetSurvives(arrivedAt):
		return true, "other_stream_goes_on"
	}
	return false, ""
}

// mayGoOnElsewhere reports whether the response can be completed by another target, which adds nothing
// to one that was whole: another attempt runs beside this one, or the stream may be resumed.
func (a *attempt) mayGoOnElsewhere() bool {
	if a.race.contested() {
		return true
	}
	r := a.request
	return r.route.Resumable && !r.positionUnknown && r.possibleRuns+1 < r.maxRuns()
}

// targetSurvives reports whether another stream of the target goes on for survivorTime after the end of
// this one, which arrived at arrivedAt.
func (a *attempt) targetSurvives(arrivedAt time.Time) bool {
	streams := &a.request.service.streams
	for streams.othersGoOn(a) && a.ctx.Err() == nil {
		if time.Since(arrivedAt) >= survivorTime {
			return streams.otherSurvives(a, arrivedAt)
		}
		pause(a.ctx, survivorPollInterval)
	}
	return false
}
