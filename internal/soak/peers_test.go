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
	"github.com/cassiaramp/cassiaramp/internal/transport/peer"
)

var errConnection = errors.New("connection closed")

// lossTimeout is how long a side process holds a session whose entry is silent.
const lossTimeout = 15 * time.Second

// link is the way from an entry to the side process beside one target. It has
// the semantics of the links of package peer.
type link struct {
	entry   *entryProcess
	slot    int
	dialing chan struct{} // holds a token while a session is opened

	mu      sync.Mutex
	number  uint64
	current *session
	delay   time.Duration // one way
	cut     time.Time     // until when nothing passes
}

// session is one session over a link.
type session struct {
	link   *link
	peer   *sideProcess
	side   *side.Session
	number uint64

	ctx    context.Context // ends at the entry
	cancel context.CancelFunc
	server context.Context // ends at the side process
	end    context.CancelFunc

	streams  atomic.Int64
	lateUp   atomic.Int64 // extra nanoseconds for messages to the side process
	lostUp   atomic.Bool  // messages to the side process are lost
	lostDown atomic.Bool  // messages to the entry are lost
	heard    atomic.Int64 // Unix nanoseconds of the last message, or of the change to active
}

func (l *link) live() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.ctx.Err() != nil {
		return nil
	}
	return l.current
}

func (l *link) state() (delay time.Duration, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, time.Now().Before(l.cut)
}

// session returns the live session and opens one when there is none.
func (l *link) session(ctx context.Context) (*session, error) {
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.dialing }()
	if err := l.entry.gate(ctx); err != nil {
		return nil, err
	}
	if s := l.live(); s != nil {
		return s, nil
	}
	l.mu.Lock()
	l.number++
	number := l.number
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
	p := l.entry.world.side(l.slot)
	delay, cut := l.state()
	switch {
	case cut:
		<-ctx.Done()
		return nil, ctx.Err()
	case p == nil:
		return nil, errConnection
	}
	time.Sleep(2 * delay)
	if err := p.gate(ctx); err != nil {
		return nil, err
	}
	opened, err := p.service.OpenSession(l.entry.name, l.entry.incarnation, number)
	if err != nil {
		return nil, err
	}
	s := &session{link: l, peer: p, side: opened, number: number}
	s.ctx, s.cancel = context.WithCancel(l.entry.ctx)
	s.server, s.end = context.WithCancel(p.ctx)
	s.touch()
	status := opened.Status()
	l.mu.Lock()
	l.current = s
	l.mu.Unlock()
	l.entry.placer.SessionOpened(l.target(), p.incarnation, &status)
	go s.watch()
	go s.report()
	go s.serve()
	return s, nil
}

func (s *session) touch() { s.heard.Store(time.Now().UnixNano()) }

// up carries a message to the side process and reports whether it arrived. A
// message in flight arrives even when the entry has given up the session.
func (s *session) up() bool {
	delay, cut := s.link.state()
	time.Sleep(delay + time.Duration(s.lateUp.Load()))
	return s.link.entry.gate(s.peer.ctx) == nil && !cut && !s.lostUp.Load() && s.peer.gate(s.peer.ctx) == nil
}

// down carries a message to the entry and reports whether it arrived.
func (s *session) down() bool {
	delay, cut := s.link.state()
	if s.peer.gate(s.server) != nil {
		return false
	}
	time.Sleep(delay)
	if cut || s.lostDown.Load() || s.ctx.Err() != nil || s.link.entry.gate(s.ctx) != nil {
		return false
	}
	s.touch()
	return true
}

// silent reports whether the ends cannot tell each other that a session is over.
func (s *session) silent() bool {
	_, cut := s.link.state()
	return cut || s.lostUp.Load() || s.lostDown.Load() || s.lateUp.Load() > 0
}

// fail ends the session at the entry.
func (s *session) fail(err error) {
	if s.ctx.Err() == nil {
		s.cancel()
		s.link.entry.placer.SessionLost(s.link.target(), err)
	}
}

// watch gives up a silent session.
func (s *session) watch() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	closed := s.server.Done()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-closed:
			if !s.silent() {
				s.fail(errConnection)
			}
			closed = nil
		case <-ticker.C:
		}
		limit := peer.IdleSilenceTimeout
		if s.streams.Load() > 0 {
			limit = peer.ActiveSilenceTimeout
		}
		if time.Since(time.Unix(0, s.heard.Load())) > limit && s.link.entry.gate(s.ctx) == nil {
			s.fail(errors.New("silent"))
		}
	}
}

// report sends load reports.
func (s *session) report() {
	ticker := time.NewTicker(peer.StatusInterval)
	defer ticker.Stop()
	var sent time.Time
	for {
		select {
		case <-s.server.Done():
			return
		case <-s.side.Urgent():
		case <-ticker.C:
			if s.streams.Load() == 0 && time.Since(sent) < peer.HeartbeatInterval {
				continue
			}
		}
		sent = time.Now()
		status := s.side.Status()
		if !s.down() {
			continue
		}
		if status.Leaving {
			s.link.entry.placer.TargetLeaving(s.link.target())
		}
		s.link.entry.placer.StatusReceived(s.link.target(), &status)
	}
}

// serve ends the session at the side process.
func (s *session) serve() {
	select {
	case <-s.ctx.Done():
		if s.silent() {
			select {
			case <-s.side.Fenced():
				time.Sleep(time.Duration(s.lateUp.Load()))
			case <-time.After(lossTimeout):
			case <-s.server.Done():
			}
		}
	case <-s.side.Fenced():
	case <-s.server.Done():
	}
	s.end()
	s.side.Close()
}

// open counts a stream; the returned function ends it.
func (s *session) open() func() {
	if s.streams.Add(1) == 1 {
		s.touch()
	}
	return sync.OnceFunc(func() { s.streams.Add(-1) })
}

// stream implements entry.AttemptStream.
type stream struct {
	session  *session
	events   chan state.AttemptEvent
	commands chan func(*side.AttemptStream)
	closed   chan struct{}
	release  func()
	ended    bool
	tier     state.Tier // of a dispatched request; NoTier when it is not known
}

// start opens a stream whose first message makes the attempt at the side
// process.
func (s *session) start(tier state.Tier, first func() *side.AttemptStream) *stream {
	st := &stream{
		session: s, events: make(chan state.AttemptEvent, 64), commands: make(chan func(*side.AttemptStream), 16),
		closed: make(chan struct{}), release: s.open(), tier: tier,
	}
	go func() {
		if s.up() {
			st.serve(first())
		}
	}()
	return st
}

// serve relays events and commands at the side process.
func (st *stream) serve(a *side.AttemptStream) {
	ctx, cancel := context.WithCancel(st.session.server)
	defer cancel()
	defer a.Detach()
	commanded := make(chan struct{})
	go func() {
		defer close(commanded)
		defer cancel()
		st.command(ctx, a)
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
		if !st.session.down() {
			continue
		}
		select {
		case st.events <- e:
		case <-ctx.Done():
			return
		}
	}
	select {
	case <-commanded:
	case <-time.After(5 * time.Second):
	}
}

// checkTier checks that a request is not refused for load while a lower tier is
// queued at the same place.
func (st *stream) checkTier(e state.AttemptEvent) {
	r, ok := e.(*state.Refused)
	if !ok || st.tier == state.NoTier || r.Figures.LowestQueued == state.NoTier {
		return
	}
	switch r.Reason {
	case state.ReasonQueueFull, state.ReasonDisplaced, state.ReasonNotAdmitted:
		if r.Figures.LowestQueued.LowerThan(st.tier) {
			st.session.link.entry.world.ghost.fail("tier %d refused (%s) while tier %d is queued", st.tier, r.Reason, r.Figures.LowestQueued)
		}
	}
}

// command applies the entry's commands until it closes the stream.
func (st *stream) command(ctx context.Context, a *side.AttemptStream) {
	for {
		select {
		case f := <-st.commands:
			if st.session.up() {
				f(a)
			}
			continue
		default:
		}
		select {
		case f := <-st.commands:
			if st.session.up() {
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

func (st *stream) Next(ctx context.Context) (state.AttemptEvent, error) {
	if st.ended {
		return nil, io.EOF
	}
	select {
	case e := <-st.events:
		switch e.(type) {
		case *state.Refused, *state.Done, *state.Failed:
			st.ended = true
		}
		return e, nil
	case <-st.session.ctx.Done():
		return nil, entry.ErrSessionLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (st *stream) send(f func(*side.AttemptStream)) error {
	select {
	case st.commands <- f:
		return nil
	default:
		return errConnection
	}
}

func (st *stream) Withdraw() error { return st.send((*side.AttemptStream).Withdraw) }
func (st *stream) Cancel() error   { return st.send((*side.AttemptStream).Cancel) }
func (st *stream) Ack() error      { return st.send((*side.AttemptStream).Ack) }

func (st *stream) Close() {
	st.release()
	close(st.closed)
}

// Reserve implements entry.Peers.
func (e *entryProcess) Reserve(ctx context.Context, target state.TargetID) (state.Reservation, error) {
	s, err := e.links[target].session(ctx)
	if err != nil {
		return state.Reservation{}, err
	}
	id := state.AttemptID{Entry: e.name, Incarnation: e.incarnation, Session: s.number, Seq: e.seq.Add(1)}
	return state.Reservation{Target: target, Incarnation: s.peer.incarnation, Attempt: id}, nil
}

// Dispatch implements entry.Peers.
func (e *entryProcess) Dispatch(ctx context.Context, r state.Reservation, req *state.Request) (entry.AttemptStream, error) {
	if err := e.gate(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", entry.ErrNotSent, err)
	}
	s := e.links[r.Target].live()
	if s == nil || s.number != r.Attempt.Session {
		return nil, fmt.Errorf("%w: session %d is over", entry.ErrNotSent, r.Attempt.Session)
	}
	d := &state.Dispatch{Attempt: r.Attempt, Incarnation: r.Incarnation, Request: *req}
	return s.start(req.Tier, func() *side.AttemptStream { return s.side.Dispatch(d) }), nil
}

// Attach implements entry.Peers. Every other session starts before the chunk
// that was asked for, which the entry has to cope with.
func (e *entryProcess) Attach(ctx context.Context, target state.TargetID, a *state.Attach) (entry.AttemptStream, error) {
	s, err := e.links[target].session(ctx)
	if err != nil {
		return nil, err
	}
	at := *a
	if s.number%2 == 0 {
		at.Offset -= min(at.Offset, 2)
	}
	return s.start(state.NoTier, func() *side.AttemptStream { return s.side.Attach(&at) }), nil
}

// Void implements entry.Peers.
func (e *entryProcess) Void(ctx context.Context, target state.TargetID, v *state.Void) (state.AttemptState, error) {
	s, err := e.links[target].session(ctx)
	if err != nil {
		return state.AttemptState{}, err
	}
	defer s.open()()
	answer := make(chan state.AttemptState, 1)
	go func() {
		if !s.up() {
			return
		}
		if result := s.side.Void(v); s.down() {
			answer <- result
		}
	}()
	select {
	case result := <-answer:
		return result, nil
	case <-s.ctx.Done():
		return state.AttemptState{}, entry.ErrSessionLost
	case <-ctx.Done():
		return state.AttemptState{}, ctx.Err()
	}
}
