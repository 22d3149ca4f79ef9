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
	// maxBelievedCheckTime bounds the check of a target that is believed if it cannot be asked.
	maxBelievedCheckTime = 250 * time.Millisecond
	// Responses that end within endTogetherTime may have been ended by the same event.
	endTogetherTime = 25 * time.Millisecond
	// cancelTime is how long a handler may take to return after it was cancelled.
	cancelTime = 100 * time.Millisecond
)

// CloseWatcher is an Exchange that can watch the connection behind the end of its response.
type CloseWatcher interface {
	// ClosedWithin reports whether the target closes the connection within wait after the end of
	// the body, which was read.
	ClosedWithin(wait time.Duration) bool
	// ReceivedAt returns when the last data of the response arrived, also if it has not been read;
	// ok is false if that is not known.
	ReceivedAt() (at time.Time, ok bool)
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
	open map[*attempt]*openStream
	// refusesSince is when the target was first known to refuse connections; zero if it was not.
	refusesSince time.Time
}

// openStream is a stream that has begun and whose attempt has not ended.
type openStream struct {
	exchange Exchange
	ended    bool // the response has ended
}

// begin records a stream.
func (l *streamLog) begin(a *attempt, ex Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.targets == nil {
		l.targets = make(map[state.TargetID]*targetStreams)
	}
	t := l.targets[a.grant.Target.ID]
	if t == nil {
		t = &targetStreams{open: make(map[*attempt]*openStream)}
		l.targets[a.grant.Target.ID] = t
	}
	t.open[a] = &openStream{exchange: ex}
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

// refuses records that a target refuses connections, and has done so since the given time.
func (l *streamLog) refuses(id state.TargetID, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil && (t.refusesSince.IsZero() || since.Before(t.refusesSince)) {
		t.refusesSince = since
	}
}

// refusesSince returns when a target was first known to refuse connections; zero if it was not.
func (l *streamLog) refusesSince(id state.TargetID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		return t.refusesSince
	}
	return time.Time{}
}

// others returns what is known of the other streams of the target of a, whose response has ended at
// the given time: how many of them have ended at the same moment, how many go on, and whether data of
// one of these has arrived so much later that its handler was not cancelled then.
func (l *streamLog) others(a *attempt, end time.Time) (together, open int, survives bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[a.grant.Target.ID]
	if t == nil {
		return 0, 0, false
	}
	for o, s := range t.open {
		at, known := receivedAt(s.exchange)
		switch {
		case o == a:
		case !s.ended:
			open++
			survives = survives || known && at.After(end.Add(cancelTime))
		case !known || at.Sub(end).Abs() <= endTogetherTime:
			together++
		}
	}
	return together, open, survives
}

// receivedAt returns when the last data of a response arrived, if that is known.
func receivedAt(ex Exchange) (at time.Time, known bool) {
	if w, ok := ex.(CloseWatcher); ok {
		return w.ReceivedAt()
	}
	return time.Time{}, false
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
	r := a.request
	arrivedAt, known := receivedAt(ex)
	if !known {
		arrivedAt = time.Now()
	}
	doubt := a.doubtEnd(head, ex, arrivedAt)
	if doubt == noDoubt {
		return nil
	}
	ctx := a.ctx
	if !doubt.needsProof() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxBelievedCheckTime)
		defer cancel()
	}
	pause(ctx, endSettleTime)
	asked := time.Now()
	check := r.service.cfg.TargetClient.CheckRunning(ctx, &a.grant.Target, r.table.Config.HealthPaths[a.grant.Target.Service])
	complete, because := a.judgeEnd(doubt, check, arrivedAt, known)
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

// doubtEnd returns why a response whose end arrived at arrivedAt may have ended together with its
// target.
func (a *attempt) doubtEnd(head *state.Response, ex Exchange, arrivedAt time.Time) endDoubt {
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
	if together, open, _ := a.request.service.streams.others(a, arrivedAt); together > 0 && open == 0 {
		return endedTogether
	}
	return noDoubt
}

// judgeEnd decides whether a response is complete whose end is in doubt. because says why it is,
// although the check does not prove it. Of a response that was read late, only the time at which its
// end arrived, if it is known, can be compared with what the target did.
func (a *attempt) judgeEnd(doubt endDoubt, check RunCheck, arrivedAt time.Time, known bool) (complete bool, because string) {
	r := a.request
	switch {
	case check.Liveness == Running:
		return true, ""
	case check.Liveness == Unproved && !doubt.needsProof():
		return true, "target_not_asked"
	case !check.Refused || !known:
		return false, ""
	}
	// A server that shuts down accepts no connections, but may finish its streams.
	refusesSince := time.Now()
	if !check.IdleClosedAt.IsZero() {
		refusesSince = check.IdleClosedAt
	}
	r.service.streams.refuses(a.grant.Target.ID, refusesSince)
	if a.targetSurvives(arrivedAt) {
		return true, "other_stream_goes_on"
	}
	if since := r.service.streams.refusesSince(a.grant.Target.ID); !since.IsZero() {
		refusesSince = since
	}
	// The target has gone on with the response while it accepted no connections. It may still have
	// cancelled its handlers when its time ran out, so a stream that may be resumed is.
	mayGoOn := r.route.Resumable && !r.positionUnknown && r.possibleRuns+1 < r.maxRuns()
	together, _, _ := r.service.streams.others(a, arrivedAt)
	if doubt != connectionEnd && !mayGoOn && together == 0 && arrivedAt.After(refusesSince.Add(cancelTime)) {
		return true, "went_on_while_refusing"
	}
	return false, ""
}

// targetSurvives reports whether another stream of the target goes on after the end of this one, which
// arrived at arrivedAt.
func (a *attempt) targetSurvives(arrivedAt time.Time) bool {
	ctx, cancel := context.WithTimeout(a.ctx, survivorTime)
	defer cancel()
	for seen := false; ; {
		_, open, survives := a.request.service.streams.others(a, arrivedAt)
		switch {
		case survives && seen:
			return true
		case open == 0 || ctx.Err() != nil:
			return false
		}
		// What has arrived may be the end of the other stream, which is read meanwhile.
		seen = survives
		pause(ctx, survivorPollInterval)
	}
}
