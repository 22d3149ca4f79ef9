package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

var errConnectionClosed = errors.New("connection closed")

// sessionLossTimeout is how long a side process keeps a session whose entry is gone
// without notice.
const sessionLossTimeout = 15 * time.Second

// link is the network path from an entry to the side process beside one target. It
// behaves as the links of package quicsession do.
type link struct {
	entry     *entryProcess
	slot      int
	dialToken chan struct{} // semaphore of ensureSession, of capacity 1

	mu             sync.Mutex
	lastSession    uint64 // number of the last session dialled
	currentSession *session
	oneWayDelay    time.Duration // of each message
	cutUntil       time.Time     // messages are lost before this time
}

// session is one session over a link, as both of its ends see it.
type session struct {
	link        *link
	sideProcess *sideProcess
	sideSession *side.Session
	number      uint64

	entryCtx   context.Context // ends when the entry gives up the session
	endAtEntry context.CancelFunc
	sideCtx    context.Context // ends when the side process gives up the session
	endAtSide  context.CancelFunc

	openStreams atomic.Int64
	toSideDelay atomic.Int64 // extra nanoseconds for messages to the side process
	toSideLost  atomic.Bool  // messages to the side process are lost
	toEntryLost atomic.Bool  // messages to the entry are lost
	lastHeard   atomic.Int64 // Unix nanoseconds of the last message to the entry, or of the first open stream
}

// liveSession returns the session that the entry has open, or nil.
func (l *link) liveSession() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentSession == nil || l.currentSession.entryCtx.Err() != nil {
		return nil
	}
	return l.currentSession
}

// condition returns the present delay of a message and whether messages are lost.
func (l *link) condition() (delay time.Duration, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.oneWayDelay, time.Now().Before(l.cutUntil)
}

// ensureSession returns the live session. It opens one if there is none.
func (l *link) ensureSession(ctx context.Context) (*session, error) {
	select {
	case l.dialToken <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.dialToken }()
	if err := l.entry.waitRunnable(ctx); err != nil {
		return nil, err
	}
	if s := l.liveSession(); s != nil {
		return s, nil
	}
	l.mu.Lock()
	l.lastSession++
	number := l.lastSession
	l.mu.Unlock()
	s, err := l.dial(ctx, number)
	if err != nil {
		l.entry.placer.SessionLost(l.target(), err)
	}
	return s, err
}

func (l *link) target() state.TargetID { return targetName(l.slot) }

func (l *link) dial(ctx context.Context, number uint64) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	p := l.entry.world.sideAt(l.slot)
	delay, cut := l.condition()
	switch {
	case cut:
		<-ctx.Done()
		return nil, ctx.Err()
	case p == nil:
		return nil, errConnectionClosed
	}
	time.Sleep(2 * delay)
	if err := p.waitRunnable(ctx); err != nil {
		return nil, err
	}
	opened, err := p.service.OpenSession(l.entry.name, l.entry.incarnation, number)
	if err != nil {
		return nil, err
	}
	s := &session{link: l, sideProcess: p, sideSession: opened, number: number}
	s.entryCtx, s.endAtEntry = context.WithCancel(l.entry.ctx)
	s.sideCtx, s.endAtSide = context.WithCancel(p.ctx)
	s.markHeard()
	status := opened.Status()
	l.mu.Lock()
	l.currentSession = s
	l.mu.Unlock()
	l.entry.placer.SessionOpened(l.target(), p.incarnation, &status)
	go s.watchSilence()
	go s.reportStatus()
	go s.serveSide()
	return s, nil
}

func (s *session) markHeard() { s.lastHeard.Store(time.Now().UnixNano()) }

// deliverToSide waits as long as a message to the side process takes, and reports
// whether it arrives. A message in flight arrives even if the entry has given up
// the session.
func (s *session) deliverToSide() bool {
	delay, cut := s.link.condition()
	time.Sleep(delay + time.Duration(s.toSideDelay.Load()))
	return s.link.entry.waitRunnable(s.sideProcess.ctx) == nil && !cut && !s.toSideLost.Load() && s.sideProcess.waitRunnable(s.sideProcess.ctx) == nil
}

// deliverToEntry waits as long as a message to the entry takes, and reports whether
// it arrives.
func (s *session) deliverToEntry() bool {
	delay, cut := s.link.condition()
	if s.sideProcess.waitRunnable(s.sideCtx) != nil {
		return false
	}
	time.Sleep(delay)
	if cut || s.toEntryLost.Load() || s.entryCtx.Err() != nil || s.link.entry.waitRunnable(s.entryCtx) != nil {
		return false
	}
	s.markHeard()
	return true
}

// closeUnnoticed reports whether one end of the session does not learn that the
// other one has closed it.
func (s *session) closeUnnoticed() bool {
	_, cut := s.link.condition()
	return cut || s.toSideLost.Load() || s.toEntryLost.Load() || s.toSideDelay.Load() > 0
}

// fail ends the session at the entry and tells the placer why.
func (s *session) fail(err error) {
	if s.entryCtx.Err() == nil {
		s.endAtEntry()
		s.link.entry.placer.SessionLost(s.link.target(), err)
	}
}

// watchSilence ends the session at the entry when the side process has closed it or
// has sent nothing for too long.
func (s *session) watchSilence() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	closed := s.sideCtx.Done()
	for {
		select {
		case <-s.entryCtx.Done():
			return
		case <-closed:
			if !s.closeUnnoticed() {
				s.fail(errConnectionClosed)
			}
			closed = nil
		case <-ticker.C:
		}
		limit := quicsession.IdleSilenceTimeout
		if s.openStreams.Load() > 0 {
			limit = quicsession.ActiveSilenceTimeout
		}
		if time.Since(time.Unix(0, s.lastHeard.Load())) > limit && s.link.entry.waitRunnable(s.entryCtx) == nil {
			s.fail(errors.New("silent"))
		}
	}
}

// reportStatus sends load reports to the entry until the side process closes the
// session.
func (s *session) reportStatus() {
	ticker := time.NewTicker(quicsession.StatusInterval)
	defer ticker.Stop()
	var sent time.Time
	for {
		select {
		case <-s.sideCtx.Done():
			return
		case <-s.sideSession.Urgent():
		case <-ticker.C:
			if s.openStreams.Load() == 0 && time.Since(sent) < quicsession.HeartbeatInterval {
				continue
			}
		}
		sent = time.Now()
		status := s.sideSession.Status()
		if !s.deliverToEntry() {
			continue
		}
		if status.Leaving {
			s.link.entry.placer.TargetLeaving(s.link.target())
		}
		s.link.entry.placer.StatusReceived(s.link.target(), &status)
	}
}

// serveSide waits until the session is over at the side process and closes it
// there.
func (s *session) serveSide() {
	select {
	case <-s.entryCtx.Done():
		if s.closeUnnoticed() {
			select {
			case <-s.sideSession.Fenced():
				time.Sleep(time.Duration(s.toSideDelay.Load()))
			case <-time.After(sessionLossTimeout):
			case <-s.sideCtx.Done():
			}
		}
	case <-s.sideSession.Fenced():
	case <-s.sideCtx.Done():
	}
	s.endAtSide()
	s.sideSession.Close()
}

// addStream counts an open stream until the returned function is called.
func (s *session) addStream() func() {
	if s.openStreams.Add(1) == 1 {
		s.markHeard()
	}
	return sync.OnceFunc(func() { s.openStreams.Add(-1) })
}

// attemptStream implements entry.AttemptStream: it is the entry's end of a stream
// about one attempt.
type attemptStream struct {
	session       *session
	events        chan state.AttemptEvent        // that have arrived at the entry
	commands      chan func(*side.AttemptStream) // on their way to the side process
	closed        chan struct{}                  // closed by Close
	releaseStream func()                         // returned by addStream
	finalReceived bool                           // the event that ends the stream was returned
	tier          state.Tier                     // of a dispatched request; NoTier for other streams
}

// startStream opens a stream. When its first message arrives at the side process,
// firstMessage is called there and returns the side's end of the stream.
func (s *session) startStream(tier state.Tier, firstMessage func() *side.AttemptStream) *attemptStream {
	st := &attemptStream{
		session: s, events: make(chan state.AttemptEvent, 64), commands: make(chan func(*side.AttemptStream), 16),
		closed: make(chan struct{}), releaseStream: s.addStream(), tier: tier,
	}
	go func() {
		if s.deliverToSide() {
			st.relay(firstMessage())
		}
	}()
	return st
}

// relay passes the side process's events on to the entry, and the entry's commands
// to the side process, until the stream ends.
func (st *attemptStream) relay(a *side.AttemptStream) {
	ctx, cancel := context.WithCancel(st.session.sideCtx)
	defer cancel()
	defer a.Detach()
	commandsDone := make(chan struct{})
	go func() {
		defer close(commandsDone)
		defer cancel()
		st.applyCommands(ctx, a)
	}()
	for {
		e, err := a.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return
		}
		st.checkTier(e)
		if !st.session.deliverToEntry() {
			continue
		}
		select {
		case st.events <- e:
		case <-ctx.Done():
			return
		}
	}
	select {
	case <-commandsDone:
	case <-time.After(5 * time.Second):
	}
}

// checkTier reports a failure if a request is refused for load while a request of a
// lower tier is queued at the same target.
func (st *attemptStream) checkTier(e state.AttemptEvent) {
	r, ok := e.(*state.Refused)
	if !ok || st.tier == state.NoTier || r.Figures.LowestQueued == state.NoTier {
		return
	}
	switch r.Reason {
	case state.ReasonQueueFull, state.ReasonDisplaced, state.ReasonNotAdmitted:
		if r.Figures.LowestQueued.LowerThan(st.tier) {
			st.session.link.entry.world.ghost.fail("a request of tier %d was refused (%s) while one of the lower tier %d was queued", st.tier, r.Reason, r.Figures.LowestQueued)
		}
	}
}

// applyCommands applies the entry's commands at the side process, in order, until
// the entry has closed the stream and none is pending.
func (st *attemptStream) applyCommands(ctx context.Context, a *side.AttemptStream) {
	for {
		select {
		case f := <-st.commands:
			if st.session.deliverToSide() {
				f(a)
			}
			continue
		default:
		}
		select {
		case f := <-st.commands:
			if st.session.deliverToSide() {
				f(a)
			}
		case <-st.closed:
			if len(st.commands) == 0 {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (st *attemptStream) Next(ctx context.Context) (state.AttemptEvent, error) {
	if st.finalReceived {
		return nil, io.EOF
	}
	select {
	case e := <-st.events:
		switch e.(type) {
		case *state.Refused, *state.Done, *state.Failed:
			st.finalReceived = true
		}
		return e, nil
	case <-st.session.entryCtx.Done():
		return nil, entry.ErrSessionLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// queueCommand queues a command without waiting; it fails if the queue is full.
func (st *attemptStream) queueCommand(f func(*side.AttemptStream)) error {
	select {
	case st.commands <- f:
		return nil
	default:
		return errConnectionClosed
	}
}

func (st *attemptStream) Withdraw() error { return st.queueCommand((*side.AttemptStream).Withdraw) }
func (st *attemptStream) Cancel() error   { return st.queueCommand((*side.AttemptStream).Cancel) }
func (st *attemptStream) Ack() error      { return st.queueCommand((*side.AttemptStream).Ack) }

func (st *attemptStream) Close() {
	st.releaseStream()
	close(st.closed)
}

// Reserve implements entry.Peers.
func (e *entryProcess) Reserve(ctx context.Context, target state.TargetID) (state.Reservation, error) {
	s, err := e.links[target].ensureSession(ctx)
	if err != nil {
		return state.Reservation{}, err
	}
	id := state.AttemptID{Entry: e.name, Incarnation: e.incarnation, Session: s.number, Seq: e.lastAttemptSeq.Add(1)}
	return state.Reservation{Target: target, Incarnation: s.sideProcess.incarnation, Attempt: id}, nil
}

// Dispatch implements entry.Peers.
func (e *entryProcess) Dispatch(ctx context.Context, r state.Reservation, req *state.Request) (entry.AttemptStream, error) {
	if err := e.waitRunnable(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", entry.ErrNotSent, err)
	}
	s := e.links[r.Target].liveSession()
	if s == nil || s.number != r.Attempt.Session {
		return nil, fmt.Errorf("%w: session %d is over", entry.ErrNotSent, r.Attempt.Session)
	}
	d := &state.Dispatch{Attempt: r.Attempt, Incarnation: r.Incarnation, Request: *req}
	return s.startStream(req.Tier, func() *side.AttemptStream { return s.sideSession.Dispatch(d) }), nil
}

// Attach implements entry.Peers. On sessions with an even number the stream starts
// up to 2 chunks before the offset asked for; the entry must skip those chunks.
func (e *entryProcess) Attach(ctx context.Context, target state.TargetID, a *state.Attach) (entry.AttemptStream, error) {
	s, err := e.links[target].ensureSession(ctx)
	if err != nil {
		return nil, err
	}
	at := *a
	if s.number%2 == 0 {
		at.Offset -= min(at.Offset, 2)
	}
	return s.startStream(state.NoTier, func() *side.AttemptStream { return s.sideSession.Attach(&at) }), nil
}

// Void implements entry.Peers.
func (e *entryProcess) Void(ctx context.Context, target state.TargetID, v *state.Void) (state.AttemptState, error) {
	s, err := e.links[target].ensureSession(ctx)
	if err != nil {
		return state.AttemptState{}, err
	}
	defer s.addStream()()
	answer := make(chan state.AttemptState, 1)
	go func() {
		if !s.deliverToSide() {
			return
		}
		if result := s.sideSession.Void(v); s.deliverToEntry() {
			answer <- result
		}
	}()
	select {
	case result := <-answer:
		return result, nil
	case <-s.entryCtx.Done():
		return state.AttemptState{}, entry.ErrSessionLost
	case <-ctx.Done():
		return state.AttemptState{}, ctx.Err()
	}
}
