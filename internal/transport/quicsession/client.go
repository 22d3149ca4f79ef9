package quicsession

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrUnknownTarget is returned for a target whose address is not known.
var ErrUnknownTarget = errors.New("unknown target")

// Address identifies the side process of a target and where it listens.
type Address struct {
	Instance state.InstanceID // must match the certificate of the side process
	UDP      string           // IP address and port
}

// Observer receives the events of sessions to targets. Its methods must not block.
type Observer interface {
	// SessionOpened reports a new session and the Welcome of the side process.
	SessionOpened(target state.TargetID, w *protocol.Welcome)
	// StatusReceived reports a status message of the side process.
	StatusReceived(target state.TargetID, s *state.Status)
	// TargetLeaving reports that the target accepts no new attempts.
	TargetLeaving(target state.TargetID)
	// SessionLost reports a session that could not be opened or that ended for any
	// reason other than being idle.
	SessionLost(target state.TargetID, err error)
	// SessionClosed reports that the session is being closed because it was idle.
	SessionClosed(target state.TargetID)
}

// ClientConfig configures a Client. All fields but LocalIP are required.
type ClientConfig struct {
	Instance    state.InstanceID
	Incarnation state.Incarnation
	LocalIP     net.IP // address that sessions are opened from; nil for any
	Credentials *Credentials
	Bundles     Bundles
	Observer    Observer
	Log         *zap.Logger
}

// Client holds an entry's sessions to side processes, at most one live session per
// target. It is safe for concurrent use and implements entry.Peers.
type Client struct {
	cfg ClientConfig

	lastSeq atomic.Uint64 // sequence number of the last attempt reserved, over all targets
	mu      sync.Mutex
	links   map[state.TargetID]*link
	closed  bool
	fetcher bundleFetcher
}

// link holds what the client keeps about one target across its successive sessions.
type link struct {
	target  state.TargetID
	fetcher *bundleFetcher // shared with the client
	lastSeq *atomic.Uint64 // shared with the client

	dialMu sync.Mutex // held while a session is opened, so that one is opened at a time

	mu         sync.Mutex
	address    Address
	lastNumber uint64   // number of the newest session; never reused within an incarnation
	current    *session // the newest session, live or ended; nil before the first
	keepOpen   bool     // the session is not closed when idle
}

var _ entry.Peers = (*Client)(nil)

// NewClient returns a Client without sessions.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, links: make(map[state.TargetID]*link)}
}

// SetAddress records the address of target's side process. A changed address ends
// the current session. With keepOpen the session is not closed when idle.
func (c *Client) SetAddress(target state.TargetID, a Address, keepOpen bool) {
	l := c.link(target, true)
	l.mu.Lock()
	old := l.current
	changed := l.address != a
	l.address, l.keepOpen = a, keepOpen
	l.mu.Unlock()
	if changed && old != nil {
		old.fail(errors.New("target address changed"))
	}
}

// Forget ends the session to target and drops its address. The last session number
// is kept, so that a later session still gets a higher one and fences this one.
func (c *Client) Forget(target state.TargetID) {
	l := c.link(target, false)
	if l == nil {
		return
	}
	l.mu.Lock()
	old := l.current
	l.address = Address{}
	l.mu.Unlock()
	if old != nil {
		old.fail(errors.New("target removed"))
	}
}

// Connect opens a session to target unless there already is a live one.
func (c *Client) Connect(ctx context.Context, target state.TargetID) error {
	_, err := c.ensureSession(ctx, target)
	return err
}

// SessionCount returns the number of live sessions.
func (c *Client) SessionCount() int {
	c.mu.Lock()
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	c.mu.Unlock()
	n := 0
	for _, l := range links {
		if l.liveSession() != nil {
			n++
		}
	}
	return n
}

// Close ends all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	links := c.links
	c.links = make(map[state.TargetID]*link)
	c.mu.Unlock()
	for _, l := range links {
		if s := l.liveSession(); s != nil {
			s.fail(net.ErrClosed)
		}
	}
}

// Reserve implements entry.Peers.
func (c *Client) Reserve(ctx context.Context, target state.TargetID) (state.Reservation, error) {
	s, err := c.ensureSession(ctx, target)
	if err != nil {
		return state.Reservation{}, err
	}
	return s.reserve(), nil
}

// Dispatch implements entry.Peers.
func (c *Client) Dispatch(ctx context.Context, r state.Reservation, req *state.Request) (entry.AttemptStream, error) {
	l := c.link(r.Target, false)
	if l == nil {
		return nil, fmt.Errorf("dispatch to %s: %w: %w", r.Target, entry.ErrNotSent, ErrUnknownTarget)
	}
	s := l.liveSession()
	if s == nil || s.number != r.Attempt.Session {
		return nil, fmt.Errorf("dispatch to %s: %w: session %d has ended", r.Target, entry.ErrNotSent, r.Attempt.Session)
	}
	return s.openAttempt(ctx, &state.Dispatch{Attempt: r.Attempt, Incarnation: r.Incarnation, Request: *req})
}

// Attach implements entry.Peers.
func (c *Client) Attach(ctx context.Context, target state.TargetID, a *state.Attach) (entry.AttemptStream, error) {
	s, err := c.ensureSession(ctx, target)
	if err != nil {
		return nil, err
	}
	return s.openAttempt(ctx, a)
}

// Void implements entry.Peers.
func (c *Client) Void(ctx context.Context, target state.TargetID, v *state.Void) (state.AttemptState, error) {
	s, err := c.ensureSession(ctx, target)
	if err != nil {
		return state.AttemptState{}, err
	}
	stream, err := s.openAttempt(ctx, v)
	if err != nil {
		return state.AttemptState{}, err
	}
	defer stream.Close()
	event, err := stream.Next(ctx)
	if err != nil {
		return state.AttemptState{}, fmt.Errorf("void %s at %s: %w", v.Attempt, target, err)
	}
	result, ok := event.(*state.AttemptState)
	if !ok {
		return state.AttemptState{}, fmt.Errorf("void %s at %s: unexpected event %T", v.Attempt, target, event)
	}
	return *result, nil
}

// link returns the link to target. Without one it creates it when create is set, and
// returns nil otherwise.
func (c *Client) link(target state.TargetID, create bool) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[target]
	if l == nil && create {
		l = &link{fetcher: &c.fetcher, target: target, lastSeq: &c.lastSeq}
		if !c.closed {
			c.links[target] = l
		}
	}
	return l
}

// ensureSession returns the live session to target and opens one when there is none.
func (c *Client) ensureSession(ctx context.Context, target state.TargetID) (*session, error) {
	l := c.link(target, false)
	if l == nil {
		return nil, fmt.Errorf("open session to %s: %w", target, ErrUnknownTarget)
	}
	if s := l.liveSession(); s != nil {
		return s, nil
	}
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	if s := l.liveSession(); s != nil {
		return s, nil
	}
	address, number, err := l.allocateSession()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	s, err := dial(ctx, c.cfg, l, address, number)
	if err != nil {
		err = fmt.Errorf("open session %d to %s at %s: %w", number, target, address.UDP, err)
		c.cfg.Observer.SessionLost(target, err)
		return nil, err
	}
	return s, nil
}

// liveSession returns the current session, nil when there is none or it has ended.
func (l *link) liveSession() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.ctx.Err() != nil {
		return nil
	}
	return l.current
}

// allocateSession returns the target's address and an unused session number.
func (l *link) allocateSession() (Address, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address.UDP == "" {
		return Address{}, 0, fmt.Errorf("open session to %s: %w", l.target, ErrUnknownTarget)
	}
	l.lastNumber++
	return l.address, l.lastNumber, nil
}

// keptOpen reports whether the session is to stay open when idle.
func (l *link) keptOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keepOpen
}

// setCurrent records s as the newest session.
func (l *link) setCurrent(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = s
}
