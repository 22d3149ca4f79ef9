package peer

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

// ErrUnknownTarget is returned for a target without a known address.
var ErrUnknownTarget = errors.New("unknown target")

// Address says where the side process beside a target listens.
type Address struct {
	Instance state.InstanceID
	UDP      string // IP address and port
}

// Observer receives what sessions learn about targets. Calls must not block.
type Observer interface {
	SessionOpened(target state.TargetID, w *protocol.Welcome)
	StatusReceived(target state.TargetID, s *state.Status)
	TargetLeaving(target state.TargetID)
	SessionLost(target state.TargetID, err error)
	// SessionClosed tells that the session was closed because it was idle.
	SessionClosed(target state.TargetID)
}

// ClientConfig configures a Client. All fields are required.
type ClientConfig struct {
	Instance    state.InstanceID
	Incarnation state.Incarnation
	LocalIP     net.IP
	Credentials *Credentials
	Bundles     Bundles
	Observer    Observer
	Log         *zap.Logger
}

// Client holds an entry's sessions to side processes. It is safe for
// concurrent use and implements entry.Peers.
type Client struct {
	cfg ClientConfig

	seq    atomic.Uint64 // of the last attempt reserved, over all targets
	mu     sync.Mutex
	links  map[state.TargetID]*link
	closed bool
	behind catchUp
}

// link is the entry's relation to one target over successive sessions.
type link struct {
	target state.TargetID
	behind *catchUp       // of the client
	seq    *atomic.Uint64 // of the client

	dialing sync.Mutex // held while a session is opened

	mu      sync.Mutex
	address Address
	number  uint64   // of the newest session; never reused within an incarnation
	current *session // nil when there is no live session
	keep    bool     // the session stays open when idle
}

var _ entry.Peers = (*Client)(nil)

// NewClient returns a client without sessions.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, links: make(map[state.TargetID]*link)}
}

// SetAddress records where target is reached. A changed address ends the
// current session. keep says whether the session is held open when idle.
func (c *Client) SetAddress(target state.TargetID, a Address, keep bool) {
	l := c.link(target, true)
	l.mu.Lock()
	old := l.current
	changed := l.address != a
	l.address, l.keep = a, keep
	l.mu.Unlock()
	if changed && old != nil {
		old.fail(errors.New("target address changed"))
	}
}

// Forget closes the session to target and drops its address. The session
// number is kept, so that a later session still fences this one.
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

// Connect opens a session to target unless there is a live one.
func (c *Client) Connect(ctx context.Context, target state.TargetID) error {
	_, err := c.session(ctx, target)
	return err
}

// Sessions returns the number of live sessions.
func (c *Client) Sessions() int {
	c.mu.Lock()
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	c.mu.Unlock()
	n := 0
	for _, l := range links {
		if l.live() != nil {
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
		if s := l.live(); s != nil {
			s.fail(net.ErrClosed)
		}
	}
}

// Reserve implements entry.Peers.
func (c *Client) Reserve(ctx context.Context, target state.TargetID) (state.Reservation, error) {
	s, err := c.session(ctx, target)
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
	s := l.live()
	if s == nil || s.number != r.Attempt.Session {
		return nil, fmt.Errorf("dispatch to %s: %w: session %d is over", r.Target, entry.ErrNotSent, r.Attempt.Session)
	}
	return s.open(ctx, &state.Dispatch{Attempt: r.Attempt, Incarnation: r.Incarnation, Request: *req})
}

// Attach implements entry.Peers.
func (c *Client) Attach(ctx context.Context, target state.TargetID, a *state.Attach) (entry.AttemptStream, error) {
	s, err := c.session(ctx, target)
	if err != nil {
		return nil, err
	}
	return s.open(ctx, a)
}

// Void implements entry.Peers.
func (c *Client) Void(ctx context.Context, target state.TargetID, v *state.Void) (state.AttemptState, error) {
	s, err := c.session(ctx, target)
	if err != nil {
		return state.AttemptState{}, err
	}
	stream, err := s.open(ctx, v)
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
		return state.AttemptState{}, fmt.Errorf("void %s at %s: unexpected %T", v.Attempt, target, event)
	}
	return *result, nil
}

func (c *Client) link(target state.TargetID, create bool) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[target]
	if l == nil && create {
		l = &link{behind: &c.behind, target: target, seq: &c.seq}
		if !c.closed {
			c.links[target] = l
		}
	}
	return l
}

// session returns the live session to target, opening one when needed.
func (c *Client) session(ctx context.Context, target state.TargetID) (*session, error) {
	l := c.link(target, false)
	if l == nil {
		return nil, fmt.Errorf("open session to %s: %w", target, ErrUnknownTarget)
	}
	if s := l.live(); s != nil {
		return s, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if s := l.live(); s != nil {
		return s, nil
	}
	address, number, err := l.next()
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

// live returns the current session if it has not failed.
func (l *link) live() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.ctx.Err() != nil {
		return nil
	}
	return l.current
}

// next returns the address and a session number that was not used before.
func (l *link) next() (Address, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address.UDP == "" {
		return Address{}, 0, fmt.Errorf("open session to %s: %w", l.target, ErrUnknownTarget)
	}
	l.number++
	return l.address, l.number, nil
}

func (l *link) kept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keep
}

func (l *link) set(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = s
}
