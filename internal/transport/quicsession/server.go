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
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Handler serves the sessions of a side process. Implementations are safe for
// concurrent use.
type Handler interface {
	// OpenSession opens a session and fences the sessions of the same entry
	// incarnation with lower numbers. It fails unless number is the highest so far.
	OpenSession(entry state.InstanceID, incarnation state.Incarnation, number uint64) (Session, error)
	// Identity returns the fields of Welcome other than the status.
	Identity() (state.InstanceID, state.Incarnation, state.TargetID, state.Service)
}

// Session is an open session at the side process.
type Session interface {
	// Dispatch starts an attempt.
	Dispatch(d *state.Dispatch) Attempt
	// Attach joins an attempt that was dispatched earlier, by any entry.
	Attach(a *state.Attach) Attempt
	// Void makes the side process refuse an attempt from now on, and returns its state.
	Void(v *state.Void) state.AttemptState
	// Status returns the current load report.
	Status() state.Status
	// Urgent returns a channel that receives a value when the status must be sent at
	// once.
	Urgent() <-chan struct{}
	// Fenced returns a channel that is closed when a newer session of the entry has
	// been opened.
	Fenced() <-chan struct{}
	// Close is called when the connection has ended.
	Close()
}

// Attempt is the side process's end of an attempt stream.
type Attempt interface {
	// Next returns the next event, and io.EOF after the one that ended the
	// attempt or after the AttemptState of an attempt that produces no events.
	Next(ctx context.Context) (state.AttemptEvent, error)
	// Withdraw takes the attempt back if it is still queued.
	Withdraw()
	// Cancel ends the attempt, also when it runs.
	Cancel()
	// Ack tells that the entry has received the whole response.
	Ack()
	// Detach is called when the stream has ended. The attempt continues.
	Detach()
}

// Server accepts the sessions of entries at a side process. The exported fields are
// required.
type Server struct {
	Credentials *Credentials
	Handler     Handler
	Bundles     Bundles
	Log         *zap.Logger

	openSessions atomic.Int64
	fetcher      bundleFetcher
	wg           sync.WaitGroup
}

// Serve accepts sessions on conn until ctx ends. Then it closes them, so that entries
// need not wait for the silence timeout, and returns nil.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	key, err := s.Credentials.statelessResetKey()
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: conn, StatelessResetKey: key}
	defer transport.Close()
	defer s.wg.Wait()
	listener, err := transport.Listen(s.Credentials.serverTLS(), quicConfig())
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
		s.wg.Go(func() {
			defer context.AfterFunc(ctx, func() { c.CloseWithError(codeClosed, "") })()
			s.serveSession(ctx, c)
		})
	}
}

// serveSession runs one session from the handshake to its end.
func (s *Server) serveSession(ctx context.Context, conn *quic.Conn) {
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
	sc := &serverSession{server: s, conn: conn, session: session, control: sender{stream: stream, counters: controlTraffic}}
	if err := sc.sendWelcome(hello); err != nil {
		conn.CloseWithError(codeRefused, "")
		return
	}
	s.Log.Info("session opened", zap.String("entry", string(hello.Instance)), zap.Uint64("session", hello.Session))
	s.openSessions.Add(1)
	defer s.openSessions.Add(-1)
	go sc.reportStatus()
	go sc.readControl(controlTraffic.countReceived(stream))
	sc.acceptAttempts()
	s.Log.Info("session closed", zap.String("entry", string(hello.Instance)), zap.Uint64("session", hello.Session))
}

// handshake accepts the control stream of a connection and returns it with the entry's
// Hello, which must name the instance that the entry's certificate is issued to.
func (s *Server) handshake(ctx context.Context, conn *quic.Conn) (*protocol.Hello, *quic.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	m, err := protocol.Read(controlTraffic.countReceived(stream))
	if err != nil {
		return nil, nil, err
	}
	controlTraffic.messagesReceived.Add(1)
	stream.SetReadDeadline(time.Time{})
	hello, ok := m.(*protocol.Hello)
	if !ok {
		return nil, nil, fmt.Errorf("handshake: unexpected message %T, want Hello", m)
	}
	if hello.Version != protocol.Version {
		return nil, nil, fmt.Errorf("handshake: protocol version %d, want %d", hello.Version, protocol.Version)
	}
	if !certificateIssuedTo(conn, hello.Instance) {
		return nil, nil, fmt.Errorf("handshake: certificate is not issued to %s", hello.Instance)
	}
	return hello, stream, nil
}

// serverSession holds the connection and the streams of one session at the side
// process.
type serverSession struct {
	server      *Server
	conn        *quic.Conn
	session     Session
	control     sender
	openStreams atomic.Int64
}

// sendWelcome answers hello and requests the entry's bundle if it is newer.
func (c *serverSession) sendWelcome(hello *protocol.Hello) error {
	w := &protocol.Welcome{Status: c.session.Status()}
	w.Instance, w.Incarnation, w.Target, w.Service = c.server.Handler.Identity()
	if err := c.control.send(w); err != nil {
		return err
	}
	c.server.fetcher.fetchIfNewer(c.server.Bundles, hello.BundleVersion, c.control.send)
	return nil
}

// reportStatus sends the status every reportInterval, and at once when it is urgent,
// until the session ends. It closes the connection of a fenced session.
func (c *serverSession) reportStatus() {
	ticker := time.NewTicker(StatusInterval)
	defer ticker.Stop()
	lastSent := time.Now()
	for {
		select {
		case <-c.conn.Context().Done():
			return
		case <-c.session.Fenced():
			c.conn.CloseWithError(codeFenced, "")
			return
		case <-c.session.Urgent():
		case <-ticker.C:
			if time.Since(lastSent) < c.reportInterval() {
				continue
			}
		}
		lastSent = time.Now()
		status := c.session.Status()
		if status.Leaving {
			c.control.send(&protocol.Leaving{})
		}
		// A failed write needs no handling: the entry notices the missing reports.
		c.control.send(&status)
	}
}

// tickMargin is how much earlier than its interval a report may be sent. Without it a
// tick that comes slightly early would delay the report to the next tick.
const tickMargin = StatusInterval / 10

// reportInterval returns the least time between two reports that are not urgent.
func (c *serverSession) reportInterval() time.Duration {
	if c.openStreams.Load() == 0 {
		return HeartbeatInterval - tickMargin
	}
	return statusInterval(int(c.server.openSessions.Load())) - tickMargin
}

// readControl handles the entry's messages on the control stream until it ends, and
// closes the connection then.
func (c *serverSession) readControl(r io.Reader) {
	for {
		m, err := protocol.Read(r)
		if err != nil {
			c.conn.CloseWithError(codeClosed, "")
			return
		}
		controlTraffic.messagesReceived.Add(1)
		if h, ok := m.(*protocol.Heartbeat); ok {
			c.server.fetcher.fetchIfNewer(c.server.Bundles, h.BundleVersion, c.control.send)
			continue
		}
		handleBundleMessage(c.server.Bundles, m, c.control.send)
	}
}

// acceptAttempts serves attempt streams until the connection ends.
func (c *serverSession) acceptAttempts() {
	for {
		stream, err := c.conn.AcceptStream(c.conn.Context())
		if err != nil {
			return
		}
		go c.serveAttempt(stream)
	}
}

// serveAttempt serves one attempt stream. Its first message says what is asked for.
func (c *serverSession) serveAttempt(stream *quic.Stream) {
	c.openStreams.Add(1)
	defer c.openStreams.Add(-1)
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(writeTimeout))
	in := attemptTraffic.countReceived(stream)
	m, err := protocol.Read(in)
	if err != nil {
		stream.CancelRead(0)
		return
	}
	attemptTraffic.messagesReceived.Add(1)
	stream.SetReadDeadline(time.Time{})
	out := &sender{stream: stream, counters: attemptTraffic}
	switch m := m.(type) {
	case *state.Dispatch:
		c.relayAttempt(c.session.Dispatch(m), stream, in, out)
	case *state.Attach:
		c.relayAttempt(c.session.Attach(m), stream, in, out)
	case *state.Void:
		result := c.session.Void(m)
		out.send(&result)
	default:
		stream.CancelRead(0)
	}
}

// relayAttempt sends the attempt's events to the entry and applies the entry's commands
// to the attempt.
func (c *serverSession) relayAttempt(a Attempt, stream *quic.Stream, in io.Reader, out *sender) {
	ctx, cancel := context.WithCancel(c.conn.Context())
	defer cancel()
	defer a.Detach()
	commandsDone := make(chan struct{})
	go func() {
		defer close(commandsDone)
		// The entry closes its end of the stream after its last command, when it wants
		// no more events. That ends the wait for the next event.
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
	// The entry acknowledges the attempt after the last event: wait for the end of its
	// commands.
	select {
	case <-commandsDone:
	case <-time.After(writeTimeout):
		stream.CancelRead(0)
	}
}

// readCommands applies the entry's commands to the attempt until the stream ends.
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
