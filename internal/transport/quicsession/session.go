package quicsession

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Application error codes that close a QUIC connection.
const (
	// codeClosed: the session was idle, the side process shuts down, or the control
	// stream ended.
	codeClosed quic.ApplicationErrorCode = 0
	// codeRefused: the handshake failed.
	codeRefused quic.ApplicationErrorCode = 1
	// codeFenced: the session number is not the highest, or a newer session was opened.
	codeFenced quic.ApplicationErrorCode = 2
	// codeFailed: the entry gave the session up because of silence, a stream error, a
	// changed or removed target address, or its own shutdown.
	codeFailed quic.ApplicationErrorCode = 3
)

// errSilenceTimeout is the cause of the end of a session that was silent for too long.
var errSilenceTimeout = errors.New("no message within the silence timeout")

// session is the entry's end of a session to a side process. It is active while it has
// open attempt streams and idle otherwise.
type session struct {
	cfg         ClientConfig
	link        *link
	number      uint64
	incarnation state.Incarnation // of the side process
	socket      *net.UDPConn
	transport   *quic.Transport
	conn        *quic.Conn
	control     sender

	ctx     context.Context
	cancel  context.CancelCauseFunc
	endOnce sync.Once

	openStreams  atomic.Int64  // number of open attempt streams
	becameActive chan struct{} // receives a value when the session becomes active; wakes watch

	mu              sync.Mutex
	lastReceived    time.Time // time of the last message of any kind
	activityChanged time.Time // time of the last change between idle and active
}

// dial opens a session to the side process at a, from a new UDP port.
func dial(ctx context.Context, cfg ClientConfig, l *link, a Address, number uint64) (*session, error) {
	remote, err := net.ResolveUDPAddr("udp", a.UDP)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: cfg.LocalIP})
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	conn, err := transport.Dial(ctx, remote, cfg.Credentials.clientTLS(a.Instance), quicConfig())
	if err != nil {
		transport.Close()
		socket.Close()
		return nil, err
	}
	connectionTraffic.track(conn)
	s := &session{cfg: cfg, link: l, number: number, socket: socket, transport: transport, conn: conn, becameActive: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	if err := s.handshake(ctx); err != nil {
		s.close(codeRefused, err)
		return nil, err
	}
	return s, nil
}

// handshake exchanges Hello and Welcome, makes the session the current one of its link
// and starts its goroutines.
func (s *session) handshake(ctx context.Context) error {
	stream, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	s.control.stream, s.control.counters = stream, controlTraffic
	in := controlTraffic.countReceived(stream)
	hello := &protocol.Hello{
		Version: protocol.Version, Instance: s.cfg.Instance, Incarnation: s.cfg.Incarnation,
		Session: s.number, BundleVersion: s.cfg.Bundles.Accepted(),
	}
	if err := s.control.send(hello); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetReadDeadline(deadline)
	}
	m, err := protocol.Read(in)
	if err != nil {
		return err
	}
	controlTraffic.messagesReceived.Add(1)
	stream.SetReadDeadline(time.Time{})
	welcome, ok := m.(*protocol.Welcome)
	if !ok {
		return fmt.Errorf("handshake: unexpected message %T, want Welcome", m)
	}
	if welcome.Target != s.link.target {
		return fmt.Errorf("handshake: the side process serves another target, %s", welcome.Target)
	}
	s.incarnation = welcome.Incarnation
	s.recordReceived()
	s.recordActivityChange()
	s.link.setCurrent(s)
	s.cfg.Observer.SessionOpened(s.link.target, welcome)
	s.link.fetcher.fetchIfNewer(s.cfg.Bundles, welcome.Status.BundleVersion, s.control.send)
	go s.readControl(in)
	go s.watch()
	return nil
}

// reserve returns a new attempt identifier that is valid on this session.
func (s *session) reserve() state.Reservation {
	return state.Reservation{
		Target:      s.link.target,
		Incarnation: s.incarnation,
		Attempt: state.AttemptID{
			Entry: s.cfg.Instance, Incarnation: s.cfg.Incarnation,
			Session: s.number, Seq: s.link.lastSeq.Add(1),
		},
	}
}

// openAttempt opens an attempt stream and sends first as its first message. Every
// error that it returns wraps entry.ErrNotSent, because a failed write is not returned
// but ends the session.
func (s *session) openAttempt(ctx context.Context, first protocol.Message) (*attemptStream, error) {
	frame, err := protocol.Encode(first)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", entry.ErrNotSent, err)
	}
	stream, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open attempt stream to %s: %w: %w", s.link.target, entry.ErrNotSent, err)
	}
	if s.openStreams.Add(1) == 1 {
		s.recordActivityChange()
		select {
		case s.becameActive <- struct{}{}:
		default:
		}
	}
	a := &attemptStream{session: s, stream: stream, commands: sender{stream: stream, counters: attemptTraffic}, events: make(chan state.AttemptEvent, maxEventsReadAhead), closed: make(chan struct{})}
	go a.readEvents()
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := stream.Write(frame); err != nil {
		// The frame may have been delivered, at least in part, so it is unknown whether
		// the attempt exists. Next returns ErrSessionLost and the caller attaches.
		s.fail(err)
	} else {
		attemptTraffic.countSent(len(frame))
	}
	return a, nil
}

// readControl handles the side process's messages on the control stream until the
// session ends.
func (s *session) readControl(r io.Reader) {
	for {
		m, err := protocol.Read(r)
		if err != nil {
			s.fail(err)
			return
		}
		controlTraffic.messagesReceived.Add(1)
		s.recordReceived()
		s.handle(m)
	}
}

// handle processes one message of the control stream.
func (s *session) handle(m protocol.Message) {
	switch m := m.(type) {
	case *state.Status:
		s.cfg.Observer.StatusReceived(s.link.target, m)
		s.link.fetcher.fetchIfNewer(s.cfg.Bundles, m.BundleVersion, s.control.send)
	case *protocol.Heartbeat:
		s.link.fetcher.fetchIfNewer(s.cfg.Bundles, m.BundleVersion, s.control.send)
	case *protocol.Leaving:
		s.cfg.Observer.TargetLeaving(s.link.target)
	default:
		handleBundleMessage(s.cfg.Bundles, m, s.control.send)
	}
}

// watch sends heartbeats, gives the session up when it is silent and closes it when it
// has been idle for too long. It wakes only when a heartbeat or the silence timeout may
// be due, because an entry has about 100 sessions.
func (s *session) watch() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastHeartbeat := time.Now()
	for {
		timer.Reset(min(s.timeUntilSilent(time.Now()), time.Until(lastHeartbeat.Add(HeartbeatInterval))) + watchSlack)
		select {
		case <-s.ctx.Done():
			return
		case <-s.becameActive:
			continue
		case <-timer.C:
		}
		now := time.Now()
		if s.isSilent(now) {
			s.fail(errSilenceTimeout)
			return
		}
		if s.idleTooLong(now) {
			// Report before closing, so that a session that is opened meanwhile is reported
			// after this one.
			s.cfg.Observer.SessionClosed(s.link.target)
			s.close(codeClosed, errors.New("session idle"))
			return
		}
		if now.Sub(lastHeartbeat) >= HeartbeatInterval {
			lastHeartbeat = now
			// A failed write needs no handling: the session then becomes silent.
			s.control.send(&protocol.Heartbeat{BundleVersion: s.cfg.Bundles.Accepted()})
		}
	}
}

// isSilent reports whether the silence timeout has passed at now.
func (s *session) isSilent(now time.Time) bool { return s.timeUntilSilent(now) < 0 }

// timeUntilSilent returns the time until the session counts as silent unless a message
// is received before. It is negative when the timeout has passed.
func (s *session) timeUntilSilent(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	untilIdleSilence := s.lastReceived.Add(IdleSilenceTimeout).Sub(now)
	if s.openStreams.Load() == 0 {
		return untilIdleSilence
	}
	silentSince := s.lastReceived
	if s.activityChanged.After(silentSince) {
		// The side process sends frequent reports only since the session became active.
		silentSince = s.activityChanged
	}
	return min(untilIdleSilence, silentSince.Add(ActiveSilenceTimeout).Sub(now))
}

// idleTooLong reports whether the session is to be closed because it is idle.
func (s *session) idleTooLong(now time.Time) bool {
	if s.link.keptOpen() || s.openStreams.Load() > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.activityChanged) > IdleCloseTimeout
}

// recordReceived records that a message was received.
func (s *session) recordReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = time.Now()
}

// recordActivityChange records a change between idle and active.
func (s *session) recordActivityChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activityChanged = time.Now()
}

// fail ends the session because of err and reports it as lost to the observer.
func (s *session) fail(err error) {
	s.endOnce.Do(func() {
		s.teardown(codeFailed, err)
		s.cfg.Observer.SessionLost(s.link.target, err)
	})
}

// close ends the session without reporting it as lost.
func (s *session) close(code quic.ApplicationErrorCode, err error) {
	s.endOnce.Do(func() { s.teardown(code, err) })
}

// teardown ends the goroutines of the session and closes its connection and socket.
func (s *session) teardown(code quic.ApplicationErrorCode, err error) {
	s.cancel(err)
	s.conn.CloseWithError(code, "")
	// Close of the transport waits for the transport's goroutines, which may in turn
	// wait for the caller, so it runs in the background.
	go func() {
		s.transport.Close()
		s.socket.Close()
	}()
}
