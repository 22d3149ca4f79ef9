package peer

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
	codeClosed  quic.ApplicationErrorCode = 0
	codeRefused quic.ApplicationErrorCode = 1
	codeFenced  quic.ApplicationErrorCode = 2
	codeSilent  quic.ApplicationErrorCode = 3
)

// errSilent is the cause of a session that was given up for silence.
var errSilent = errors.New("no message within the silence timeout")

// session is one session of an entry to a side process.
type session struct {
	cfg         ClientConfig
	link        *link
	number      uint64
	incarnation state.Incarnation // of the side process
	socket      *net.UDPConn
	transport   *quic.Transport
	conn        *quic.Conn
	control     sender

	ctx    context.Context
	cancel context.CancelCauseFunc
	once   sync.Once

	streams atomic.Int64  // open attempt streams
	active  chan struct{} // receives a value when the session becomes active

	mu    sync.Mutex
	heard time.Time // last message of any kind
	used  time.Time // last change between idle and active
}

// dial opens a session from a new UDP port.
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
	conn, err := transport.Dial(ctx, remote, cfg.Credentials.client(a.Instance), quicConfig())
	if err != nil {
		transport.Close()
		socket.Close()
		return nil, err
	}
	connectionTraffic.track(conn)
	s := &session{cfg: cfg, link: l, number: number, socket: socket, transport: transport, conn: conn, active: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	if err := s.greet(ctx); err != nil {
		s.close(codeRefused, err)
		return nil, err
	}
	return s, nil
}

// greet exchanges Hello and Welcome and starts the session's goroutines.
func (s *session) greet(ctx context.Context) error {
	stream, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	s.control.stream, s.control.count = stream, controlTraffic
	in := controlTraffic.reader(stream)
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
		return fmt.Errorf("handshake: unexpected %T", m)
	}
	if welcome.Target != s.link.target {
		return fmt.Errorf("handshake: side process serves target %s", welcome.Target)
	}
	s.incarnation = welcome.Incarnation
	s.touch()
	s.markUsed()
	s.link.set(s)
	s.cfg.Observer.SessionOpened(s.link.target, welcome)
	s.link.behind.fetch(s.cfg.Bundles, welcome.Status.BundleVersion, s.control.send)
	go s.readControl(in)
	go s.watch()
	return nil
}

func (s *session) reserve() state.Reservation {
	return state.Reservation{
		Target:      s.link.target,
		Incarnation: s.incarnation,
		Attempt: state.AttemptID{
			Entry: s.cfg.Instance, Incarnation: s.cfg.Incarnation,
			Session: s.number, Seq: s.link.seq.Add(1),
		},
	}
}

// open opens an attempt stream with first as its first message.
func (s *session) open(ctx context.Context, first protocol.Message) (*attemptStream, error) {
	frame, err := protocol.Encode(first)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", entry.ErrNotSent, err)
	}
	stream, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open attempt stream to %s: %w: %w", s.link.target, entry.ErrNotSent, err)
	}
	if s.streams.Add(1) == 1 {
		s.markUsed()
		select {
		case s.active <- struct{}{}:
		default:
		}
	}
	a := &attemptStream{session: s, stream: stream, out: sender{stream: stream, count: attemptTraffic}, events: make(chan state.AttemptEvent, eventBuffer), done: make(chan struct{})}
	go a.read()
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := stream.Write(frame); err != nil {
		// Part of the frame may have been delivered, so the fate of the attempt
		// is open: the reader reports ErrSessionLost and the caller attaches.
		s.fail(err)
	} else {
		attemptTraffic.sent(len(frame))
	}
	return a, nil
}

// readControl handles the side process's messages until the session ends.
func (s *session) readControl(r io.Reader) {
	for {
		m, err := protocol.Read(r)
		if err != nil {
			s.fail(err)
			return
		}
		controlTraffic.messagesReceived.Add(1)
		s.touch()
		s.handle(m)
	}
}

func (s *session) handle(m protocol.Message) {
	switch m := m.(type) {
	case *state.Status:
		s.cfg.Observer.StatusReceived(s.link.target, m)
		s.link.behind.fetch(s.cfg.Bundles, m.BundleVersion, s.control.send)
	case *protocol.Heartbeat:
		s.link.behind.fetch(s.cfg.Bundles, m.BundleVersion, s.control.send)
	case *protocol.Leaving:
		s.cfg.Observer.TargetLeaving(s.link.target)
	default:
		exchangeBundle(s.cfg.Bundles, m, s.control.send)
	}
}

// watch sends heartbeats and gives the session up when it is silent. It wakes
// only when one of the two may be due, because an entry has about 100 sessions.
func (s *session) watch() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	beat := time.Now()
	for {
		timer.Reset(min(s.untilSilent(time.Now()), time.Until(beat.Add(HeartbeatInterval))) + watchSlack)
		select {
		case <-s.ctx.Done():
			return
		case <-s.active:
			continue
		case <-timer.C:
		}
		now := time.Now()
		if s.silent(now) {
			s.fail(errSilent)
			return
		}
		if s.idle(now) {
			// Told first, so that a session opened meanwhile is reported after it.
			s.cfg.Observer.SessionClosed(s.link.target)
			s.close(codeClosed, errors.New("session idle"))
			return
		}
		if now.Sub(beat) >= HeartbeatInterval {
			beat = now
			// A failed write shows up as silence.
			s.control.send(&protocol.Heartbeat{BundleVersion: s.cfg.Bundles.Accepted()})
		}
	}
}

// silent reports whether the silence timeout has passed.
func (s *session) silent(now time.Time) bool { return s.untilSilent(now) < 0 }

// untilSilent returns the time until the session counts as silent unless
// something is heard before.
func (s *session) untilSilent(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.heard.Add(IdleSilence).Sub(now)
	if s.streams.Load() == 0 {
		return idle
	}
	since := s.heard
	if s.used.After(since) {
		// The side process reports often only from here on.
		since = s.used
	}
	return min(idle, since.Add(ActiveSilence).Sub(now))
}

func (s *session) idle(now time.Time) bool {
	if s.link.kept() || s.streams.Load() > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.used) > IdleClose
}

func (s *session) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = time.Now()
}

// markUsed records a change between idle and active.
func (s *session) markUsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
}

// fail ends the session and tells the observer.
func (s *session) fail(err error) {
	s.once.Do(func() {
		s.shut(codeSilent, err)
		s.cfg.Observer.SessionLost(s.link.target, err)
	})
}

// close ends the session without a report.
func (s *session) close(code quic.ApplicationErrorCode, err error) {
	s.once.Do(func() { s.shut(code, err) })
}

func (s *session) shut(code quic.ApplicationErrorCode, err error) {
	s.cancel(err)
	s.conn.CloseWithError(code, "")
	// Closing the transport waits for its goroutines, one of which may be the
	// caller's peer, so it happens in the background.
	go func() {
		s.transport.Close()
		s.socket.Close()
	}()
}
