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
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Handler serves the sessions of a side process. It is safe for concurrent use.
type Handler interface {
	// OpenSession opens a session and fences every lower-numbered one of the
	// same entry incarnation. It fails for a number that is not the highest.
	OpenSession(entry state.InstanceID, incarnation state.Incarnation, number uint64) (Session, error)
	// Identity returns what Welcome tells, without the status.
	Identity() (state.InstanceID, state.Incarnation, state.TargetID, state.Service)
}

// Session is an open session at the side process.
type Session interface {
	Dispatch(d *state.Dispatch) Attempt
	Attach(a *state.Attach) Attempt
	Void(v *state.Void) state.AttemptState
	// Status returns the current load report.
	Status() state.Status
	// Urgent receives a value when the status must be sent at once.
	Urgent() <-chan struct{}
	// Fenced is closed when a newer session of the entry has been opened.
	Fenced() <-chan struct{}
	// Close tells that the connection ended.
	Close()
}

// Attempt is the side process's end of an attempt stream.
type Attempt interface {
	// Next returns the next event, and io.EOF after the one that ended the
	// attempt or after the AttemptState of an attempt that produces no events.
	Next(ctx context.Context) (state.AttemptEvent, error)
	Withdraw()
	Cancel()
	Ack()
	// Detach tells that the stream is gone; the attempt goes on.
	Detach()
}

// Server accepts sessions at a side process.
type Server struct {
	Credentials *Credentials
	Handler     Handler
	Bundles     Bundles
	Log         *zap.Logger

	sessions atomic.Int64 // open
	behind   catchUp
	serving  sync.WaitGroup
}

// Serve accepts sessions on conn until ctx ends. It closes them then, so that
// entries need not wait for the silence timeout, and returns nil.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	key, err := s.Credentials.resetKey()
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: conn, StatelessResetKey: key}
	defer transport.Close()
	defer s.serving.Wait()
	listener, err := transport.Listen(s.Credentials.server(), quicConfig())
	if err != nil {
		return fmt.Errorf("listen on %s: %w", conn.LocalAddr(), err)
	}
	defer listener.Close()
	for {
		c, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept session on %s: %w", conn.LocalAddr(), err)
		}
		s.serving.Go(func() {
			defer context.AfterFunc(ctx, func() { c.CloseWithError(codeClosed, "") })()
			s.serve(ctx, c)
		})
	}
}

// serve runs one session from handshake to end.
func (s *Server) serve(ctx context.Context, conn *quic.Conn) {
	connectionTraffic.track(conn)
	hello, stream, err := s.handshake(ctx, conn)
	if err != nil {
		s.Log.Info("session refused", zap.Stringer("peer", conn.RemoteAddr()), zap.Error(err))
		conn.CloseWithError(codeRefused, "")
		return
	}
	session, err := s.Handler.OpenSession(hello.Instance, hello.Incarnation, hello.Session)
	if err != nil {
		s.Log.Info("session refused", zap.String("entry", string(hello.Instance)), zap.Uint64("session", hello.Session), zap.Error(err))
		conn.CloseWithError(codeFenced, "")
		return
	}
	defer session.Close()
	sc := &serverSession{server: s, conn: conn, session: session, control: sender{stream: stream, count: controlTraffic}}
	if err := sc.welcome(hello); err != nil {
		conn.CloseWithError(codeRefused, "")
		return
	}
	s.Log.Info("session opened", zap.String("entry", string(hello.Instance)), zap.Uint64("session", hello.Session))
	s.sessions.Add(1)
	defer s.sessions.Add(-1)
	go sc.report()
	go sc.readControl(controlTraffic.reader(stream))
	sc.acceptAttempts()
	s.Log.Info("session closed", zap.String("entry", string(hello.Instance)), zap.Uint64("session", hello.Session))
}

func (s *Server) handshake(ctx context.Context, conn *quic.Conn) (*protocol.Hello, *quic.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	m, err := protocol.Read(controlTraffic.reader(stream))
	if err != nil {
		return nil, nil, err
	}
	controlTraffic.messagesReceived.Add(1)
	stream.SetReadDeadline(time.Time{})
	hello, ok := m.(*protocol.Hello)
	if !ok {
		return nil, nil, fmt.Errorf("handshake: unexpected %T", m)
	}
	if hello.Version != protocol.Version {
		return nil, nil, fmt.Errorf("handshake: protocol version %d, want %d", hello.Version, protocol.Version)
	}
	if !identified(conn, hello.Instance) {
		return nil, nil, fmt.Errorf("handshake: certificate is not issued to %s", hello.Instance)
	}
	return hello, stream, nil
}

// serverSession is the transport state of one session at the side process.
type serverSession struct {
	server  *Server
	conn    *quic.Conn
	session Session
	control sender
	streams atomic.Int64
}

func (c *serverSession) welcome(hello *protocol.Hello) error {
	w := &protocol.Welcome{Status: c.session.Status()}
	w.Instance, w.Incarnation, w.Target, w.Service = c.server.Handler.Identity()
	if err := c.control.send(w); err != nil {
		return err
	}
	c.server.behind.fetch(c.server.Bundles, hello.BundleVersion, c.control.send)
	return nil
}

// report sends status often while attempts are open and heartbeats otherwise.
func (c *serverSession) report() {
	ticker := time.NewTicker(StatusInterval)
	defer ticker.Stop()
	sent := time.Now()
	for {
		select {
		case <-c.conn.Context().Done():
			return
		case <-c.session.Fenced():
			c.conn.CloseWithError(codeFenced, "")
			return
		case <-c.session.Urgent():
		case <-ticker.C:
			if time.Since(sent) < c.interval() {
				continue
			}
		}
		sent = time.Now()
		status := c.session.Status()
		if status.Leaving {
			c.control.send(&protocol.Leaving{})
		}
		// A failed write shows up at the entry as silence.
		c.control.send(&status)
	}
}

// tickMargin is how much earlier than its interval a report may be sent, because
// ticks are not exact.
const tickMargin = StatusInterval / 10

// interval returns the time between two reports.
func (c *serverSession) interval() time.Duration {
	if c.streams.Load() == 0 {
		return HeartbeatInterval - tickMargin
	}
	return statusInterval(int(c.server.sessions.Load())) - tickMargin
}

func (c *serverSession) readControl(r io.Reader) {
	for {
		m, err := protocol.Read(r)
		if err != nil {
			c.conn.CloseWithError(codeClosed, "")
			return
		}
		controlTraffic.messagesReceived.Add(1)
		if h, ok := m.(*protocol.Heartbeat); ok {
			c.server.behind.fetch(c.server.Bundles, h.BundleVersion, c.control.send)
			continue
		}
		exchangeBundle(c.server.Bundles, m, c.control.send)
	}
}

func (c *serverSession) acceptAttempts() {
	for {
		stream, err := c.conn.AcceptStream(c.conn.Context())
		if err != nil {
			return
		}
		go c.serveAttempt(stream)
	}
}

// serveAttempt runs one attempt stream.
func (c *serverSession) serveAttempt(stream *quic.Stream) {
	c.streams.Add(1)
	defer c.streams.Add(-1)
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(writeTimeout))
	in := attemptTraffic.reader(stream)
	m, err := protocol.Read(in)
	if err != nil {
		stream.CancelRead(0)
		return
	}
	attemptTraffic.messagesReceived.Add(1)
	stream.SetReadDeadline(time.Time{})
	out := &sender{stream: stream, count: attemptTraffic}
	switch m := m.(type) {
	case *state.Dispatch:
		c.relay(c.session.Dispatch(m), stream, in, out)
	case *state.Attach:
		c.relay(c.session.Attach(m), stream, in, out)
	case *state.Void:
		result := c.session.Void(m)
		out.send(&result)
	default:
		stream.CancelRead(0)
	}
}

// relay sends the attempt's events and applies the entry's commands.
func (c *serverSession) relay(a Attempt, stream *quic.Stream, in io.Reader, out *sender) {
	ctx, cancel := context.WithCancel(c.conn.Context())
	defer cancel()
	defer a.Detach()
	commands := make(chan struct{})
	go func() {
		defer close(commands)
		// The entry closes its end when it wants no more events, but only after
		// its last command.
		defer cancel()
		readCommands(in, a)
	}()
	for {
		event, err := a.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			stream.CancelWrite(0)
			return
		}
		if err := out.send(event); err != nil {
			return
		}
	}
	// The acknowledgement follows the last event.
	select {
	case <-commands:
	case <-time.After(writeTimeout):
		stream.CancelRead(0)
	}
}

func readCommands(r io.Reader, a Attempt) {
	for {
		m, err := protocol.Read(r)
		if err != nil {
			return
		}
		attemptTraffic.messagesReceived.Add(1)
		switch m.(type) {
		case *state.Withdraw:
			a.Withdraw()
		case *state.Cancel:
			a.Cancel()
		case *state.Ack:
			a.Ack()
		}
	}
}
